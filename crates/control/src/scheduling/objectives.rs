//! Service-level objectives as deadlines of the jobs that they cover.

use crate::jobs::job::JobIndex;
use crate::scheduling::entitlement::Holds;
use wire::api::{JobSpec, Kind};
use wire::settings::Objective;

#[cfg(test)]
mod tests;

/// How soon jobs of a class are expected to start, by each aim for it.
pub(super) fn wait_aims<'a>(
    aims: &'a [Objective],
    class: &'a str,
) -> impl Iterator<Item = f64> + 'a {
    let own = aims
        .iter()
        .filter(move |a| a.kind == "wait" && a.class.as_deref() == Some(class));
    own.filter_map(|a| a.within_s)
}

/// How soon work within a guarantee is expected to start.
pub(super) fn guarantee_aim(aims: &[Objective]) -> Option<f64> {
    aims.iter()
        .filter(|a| a.kind == "guarantee")
        .filter_map(|a| a.within_s)
        .reduce(f64::min)
}

/// How soon after its arrival a job that has waited for `age` should start: the first aim that can still be kept.
fn told(aims: &[Objective], class: &str, guarantee: Option<f64>, age: f64) -> Option<f64> {
    wait_aims(aims, class)
        .chain(guarantee)
        .filter(|within| *within > age)
        .reduce(f64::min)
}

/// What users were told to expect.
pub(super) struct Aims<'a> {
    pub all: &'a [Objective],
}

impl Aims<'_> {
    /// What users were told to expect is a deadline too: the first that can still be kept. Who is furthest below what
    /// it is due by the tree has the earliest of those alike.
    pub fn with_deadline(
        &self,
        job: plan::Job,
        spec: &JobSpec,
        holds: &Holds,
        ix: JobIndex,
    ) -> plan::Job {
        let share = holds.fulfilled.get(&job.team).copied().unwrap_or(1.0);
        let promise = guarantee_aim(self.all)
            .filter(|_| job.held > 0)
            .map(|within| within * share);
        let told = match spec.kind {
            Kind::Gang => told(self.all, &spec.class, promise, -job.arrival),
            // An array starts task by task: what is left of it is no less promised for being late.
            _ => promise,
        };
        let told = told.map(|within| within + job.estimate);
        let due = spec.deadline_s.into_iter().chain(told).reduce(f64::min);
        // What a tree entitles to stays due, also when the wait that users were told is over.
        let promised = if holds.is_nested(ix) {
            job.held > 0
        } else {
            promise.is_some_and(|within| within + job.arrival > 0.0)
        };
        plan::Job {
            due: due.map(|d| d + job.arrival),
            promised,
            ..job
        }
    }
}
