//! Service-level objectives as deadlines of the jobs that they cover.

use crate::jobs::job::JobIndex;
use crate::scheduling::entitlement::Entitlement;
use wire::api::{JobSpec, Kind};
use wire::settings::Objective;

#[cfg(test)]
mod tests;

/// How soon jobs of a class are expected to start, by each objective for it.
pub(super) fn wait_objectives<'a>(
    objectives: &'a [Objective],
    class: &'a str,
) -> impl Iterator<Item = f64> + 'a {
    let own = objectives
        .iter()
        .filter(move |o| o.kind == "wait" && o.class.as_deref() == Some(class));
    own.filter_map(|o| o.within_s)
}

/// How soon work within a guarantee is expected to start.
pub(super) fn guarantee_objective(objectives: &[Objective]) -> Option<f64> {
    objectives
        .iter()
        .filter(|o| o.kind == "guarantee")
        .filter_map(|o| o.within_s)
        .reduce(f64::min)
}

/// How soon after its arrival a job that has waited for `age_s` should start: the first objective that can still be kept.
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

/// What users were told to expect.
pub(super) struct Objectives<'a> {
    pub all: &'a [Objective],
}

impl Objectives<'_> {
    /// What users were told to expect is a deadline too: the first that can still be kept. Who is furthest below what
    /// it is due by the tree has the earliest of those alike.
    pub fn with_deadline(
        &self,
        job: plan::Job,
        spec: &JobSpec,
        entitlement: &Entitlement,
        job_index: JobIndex,
    ) -> plan::Job {
        let share = entitlement.fulfilled.get(&job.team).copied().unwrap_or(1.0);
        let guaranteed = guarantee_objective(self.all)
            .filter(|_| job.held > 0)
            .map(|within| within * share);
        let target = match spec.kind {
            Kind::Gang => wait_target(self.all, &spec.class, guaranteed, -job.arrival),
            // An array starts task by task: what is left of it is no less promised for being late.
            _ => guaranteed,
        };
        let target = target.map(|within| within + job.estimate);
        let due = spec.deadline_s.into_iter().chain(target).reduce(f64::min);
        // What a tree entitles to stays due, also when the wait that users were told is over.
        let promised = if entitlement.is_nested(job_index) {
            job.held > 0
        } else {
            guaranteed.is_some_and(|within| within + job.arrival > 0.0)
        };
        plan::Job {
            due: due.map(|d| d + job.arrival),
            promised,
            ..job
        }
    }
}
