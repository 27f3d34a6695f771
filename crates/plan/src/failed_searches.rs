//! What is known without a look: a job finds no place where one alike has found none, since room only shrinks while a
//! plan is made.

use crate::Job;
use crate::job_kind::JobKind;
use std::collections::HashMap;

/// Ways to look for places; each has machines that it passes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum SearchKind {
    Service,
    Tasks,
    Gang,
    /// Machines that can be cleared.
    Preemption,
    /// Room to come.
    FutureCapacity,
}

/// A search that failed.
struct FailedSearch {
    /// A job that stays longer finds no more.
    estimate: f64,
    /// Places that were found all the same.
    found: u32,
}

/// Searches that failed in this plan.
#[derive(Default)]
pub(crate) struct FailedSearches {
    failed: HashMap<(JobKind, SearchKind), Vec<FailedSearch>>,
}

/// Jobs whose places depend on nothing but what [`JobKind`] says.
fn depends_on_kind_only(job: &Job) -> bool {
    let has_zone = job.one_zone && job.zones.iter().any(|(_, n)| *n > 0);
    job.avoid.is_empty() && !job.spread && !has_zone
}

impl FailedSearches {
    /// A job has found only so many places.
    pub fn add(&mut self, job: &Job, search: SearchKind, found: u32) {
        if !depends_on_kind_only(job) {
            return;
        }
        let all = self.failed.entry((JobKind::of(job), search)).or_default();
        // What says less than the new one is not needed any more.
        all.retain(|old| old.estimate < job.estimate || old.found < found);
        all.push(FailedSearch {
            estimate: job.estimate,
            found,
        });
    }

    /// Whether a job is known to find fewer than `want` places.
    pub fn is_known_to_fail(&self, job: &Job, search: SearchKind, want: u32) -> bool {
        let Some(all) = self.failed.get(&(JobKind::of(job), search)) else {
            return false;
        };
        depends_on_kind_only(job)
            && all
                .iter()
                .any(|failed| failed.estimate <= job.estimate && failed.found < want)
    }

    /// Room that was kept is open for a while: nothing is known.
    pub fn clear(&mut self) {
        self.failed.clear();
    }
}
