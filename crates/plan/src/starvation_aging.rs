//! Aging against starvation: jobs that have waited for long go before younger ones, at first among jobs of their own
//! priority and at last before all.
//!
//! The stretch weighs a wait against the work, so the largest jobs wait longest, and jobs of higher priority may keep
//! coming without end. Aging bounds both waits. It causes no additional preemptions.

use crate::state::PlanState;
use crate::{Job, Secs, Shape};
use std::cmp::Reverse;

/// One in this many tasks of an aged array belongs to its first share, which starts before all other jobs.
const FIRST_SHARE_DIVISOR: u32 = 16;

/// The waiting times from which on jobs are aged.
#[derive(Debug, Clone, Copy)]
pub struct AgingThresholds {
    /// From this wait on a job goes before younger ones of its priority, and its first share before all others.
    pub aged_after: Secs,
    /// From this wait on all of its tasks go before all others.
    pub first_of_all_after: Secs,
}

impl Default for AgingThresholds {
    fn default() -> Self {
        AgingThresholds {
            aged_after: Secs::INFINITY,
            first_of_all_after: Secs::INFINITY,
        }
    }
}

/// How many tasks of an aged job go before all other jobs, those on machines included.
pub fn first_share(shape: Shape, tasks: u32) -> u32 {
    if shape == Shape::Array {
        tasks.div_ceil(FIRST_SHARE_DIVISOR)
    } else {
        tasks
    }
}

impl AgingThresholds {
    /// How many of an aged job's pending tasks go before all other jobs.
    fn tasks_before_all(&self, job: &Job) -> u32 {
        if job.shape == Shape::Gang || -job.arrival >= self.first_of_all_after {
            return job.pending;
        }
        let placed: u32 = job.tasks_by_zone.iter().map(|(_, n)| n).sum();
        first_share(job.shape, job.tasks)
            .saturating_sub(placed)
            .min(job.pending)
    }
}

impl PlanState<'_> {
    /// Whether a job is aged. A gang is only while jobs of higher priority are pending: among jobs of its own priority,
    /// whole machines for a gang that is late already would make others late too.
    pub(crate) fn is_aged(&self, job: &Job) -> bool {
        let counts = match job.shape {
            Shape::Array => true,
            Shape::Gang => job.priority < self.highest_pending_priority,
            Shape::Service => false,
        };
        counts && job.awaits_first_start && -job.arrival >= self.input.aging.aged_after
    }

    /// Serves aged jobs, the longest wait first.
    pub(crate) fn serve_aged(&mut self, remaining: &mut [u32]) {
        let (jobs, aging) = (&self.input.jobs, &self.input.aging);
        let mut order: Vec<usize> = (0..jobs.len())
            .filter(|i| self.is_aged(&jobs[*i]))
            .collect();
        // Jobs that nested guarantees cover go first: they would only preempt the others again.
        let has_nested_quotas = !self.input.groups.is_empty();
        let key = |j: &Job| Reverse(has_nested_quotas && j.guarantee_levels > 0);
        order.sort_by(|a, b| {
            let (x, y) = (&jobs[*a], &jobs[*b]);
            key(x)
                .cmp(&key(y))
                .then(x.arrival.total_cmp(&y.arrival))
                .then(a.cmp(b))
        });
        for i in order {
            if self.is_past_soft_limit() {
                break;
            }
            let job = &jobs[i];
            if job.shape == Shape::Gang {
                self.start_or_wait(i, remaining);
            } else {
                let want = aging.tasks_before_all(job).min(remaining[i]);
                remaining[i] -= self.start_tasks(i, want, true);
            }
        }
    }
}
