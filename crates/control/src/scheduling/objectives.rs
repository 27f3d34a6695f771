//! Turns service-level objectives into deadlines of the jobs that they cover.

use crate::jobs::job::JobIndex;
use crate::scheduling::entitlement::Entitlement;
use wire::api::{JobSpec, Kind};
use wire::settings::Objective;

#[cfg(test)]
mod tests;

/// The wait objectives of a class, in seconds.
pub(super) fn wait_objectives<'a>(
    objectives: &'a [Objective],
    class: &'a str,
) -> impl Iterator<Item = f64> + 'a {
    let own = objectives
        .iter()
        .filter(move |o| o.kind == "wait" && o.class.as_deref() == Some(class));
    own.filter_map(|o| o.within_s)
}

/// The strictest wait objective for work within a guarantee, in seconds.
pub(super) fn guarantee_objective(objectives: &[Objective]) -> Option<f64> {
    objectives
        .iter()
        .filter(|o| o.kind == "guarantee")
        .filter_map(|o| o.within_s)
        .reduce(f64::min)
}

/// The wait objective to plan for, in seconds after arrival: the earliest that a job of age `age_s` can still meet.
fn wait_target(
    objectives: &[Objective],
    class: &str,
    guarantee: Option<f64>,
    age_s: f64,
) -> Option<f64> {
    wait_objectives(objectives, class)
        .chain(guarantee)
        .filter(|within| *within > age_s)
        .reduce(f64::min)
}

/// The service-level objectives of the cluster's settings.
pub(super) struct Objectives<'a> {
    pub all: &'a [Objective],
}

impl Objectives<'_> {
    /// Sets the deadline of a job: the earlier of its own and the first objective that can still be met. For guaranteed
    /// work, the objective is scaled by the fulfilled share, so that the least fulfilled team goes first.
    pub fn with_deadline(
        &self,
        job: plan::Job,
        spec: &JobSpec,
        entitlement: &Entitlement,
        job_index: JobIndex,
    ) -> plan::Job {
        let share = entitlement.fulfilled.get(&job.team).copied().unwrap_or(1.0);
        let guaranteed = guarantee_objective(self.all)
            .filter(|_| job.guarantee_levels > 0)
            .map(|within| within * share);
        let target = match spec.kind {
            Kind::Gang => wait_target(self.all, &spec.class, guaranteed, -job.arrival),
            // An array starts task by task: its remaining tasks keep the objective even if it was missed.
            _ => guaranteed,
        };
        let target = target.map(|within| within + job.estimate);
        let due = spec.deadline_s.into_iter().chain(target).reduce(f64::min);
        // With nested quotas, work within a guarantee stays due even after the wait objective was missed.
        let is_within_guarantee = if entitlement.is_nested(job_index) {
            job.guarantee_levels > 0
        } else {
            guaranteed.is_some_and(|within| within + job.arrival > 0.0)
        };
        plan::Job {
            deadline: due.map(|d| d + job.arrival),
            is_within_guarantee,
            ..job
        }
    }
}
