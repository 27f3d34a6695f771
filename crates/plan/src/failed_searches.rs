//! Cache of failed searches: a job finds no machines where an equivalent one found none, since free capacity only
//! shrinks while a plan is made.

use crate::Job;
use crate::job_kind::JobKind;
use std::collections::HashMap;

/// Kinds of searches, which differ in the machines that they skip.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum SearchKind {
    /// For machines for services, reserved ones included.
    Service,
    /// For machines for tasks of arrays.
    Tasks,
    /// For machines for all tasks of a gang.
    Gang,
    /// For machines that can be freed by preemption.
    Preemption,
    /// For capacity that becomes free later.
    FutureCapacity,
}

/// A search that failed.
struct FailedSearch {
    /// Run time of the job. A job that runs longer finds no more places.
    estimate: f64,
    /// Number of tasks that were found a place for.
    found: u32,
}

/// The searches that failed in this plan.
#[derive(Default)]
pub(crate) struct FailedSearches {
    failed: HashMap<(JobKind, SearchKind), Vec<FailedSearch>>,
}

/// Whether the machines that a job can use depend on nothing but its [`JobKind`].
fn depends_on_kind_only(job: &Job) -> bool {
    let has_zone = job.one_zone && job.tasks_by_zone.iter().any(|(_, n)| *n > 0);
    job.excluded_machines.is_empty() && !job.spread && !has_zone
}

impl FailedSearches {
    /// Records that a search found places for only `found` tasks of a job.
    pub fn add(&mut self, job: &Job, search: SearchKind, found: u32) {
        if !depends_on_kind_only(job) {
            return;
        }
        let all = self.failed.entry((JobKind::of(job), search)).or_default();
        // Entries that the new one implies are dropped.
        all.retain(|old| old.estimate < job.estimate || old.found < found);
        all.push(FailedSearch {
            estimate: job.estimate,
            found,
        });
    }

    /// Whether it is known that fewer than `want` tasks of a job would be found a place.
    pub fn is_known_to_fail(&self, job: &Job, search: SearchKind, want: u32) -> bool {
        let Some(all) = self.failed.get(&(JobKind::of(job), search)) else {
            return false;
        };
        depends_on_kind_only(job)
            && all
                .iter()
                .any(|failed| failed.estimate <= job.estimate && failed.found < want)
    }

    /// Forgets all failed searches. Needed when reserved machines are opened or closed, since capacity has grown then.
    pub fn clear(&mut self) {
        self.failed.clear();
    }
}
