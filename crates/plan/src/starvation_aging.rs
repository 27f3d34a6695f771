//! Jobs that have waited long go before younger ones: first among their own urgency, at last before all.
//!
//! The stretch weighs a wait against the work, so the largest jobs wait longest, and urgency has no end to its
//! precedence at all. This is the bound to both: a promised start at the latest. Nothing is stopped for it that would
//! not be stopped without it.

use crate::state::PlanState;
use crate::{Job, Secs, Shape};
use std::cmp::Reverse;

/// One task in so many of an array that is old starts before the rest has its turn.
const FIRST_SHARE_DIVISOR: u32 = 16;

/// How long jobs wait before their age counts.
#[derive(Debug, Clone, Copy)]
pub struct AgingThresholds {
    /// From then on a job goes before younger ones of its urgency, and with a first share before all others.
    pub old: Secs,
    /// From then on all of it goes before others.
    pub latest: Secs,
}

impl Default for AgingThresholds {
    fn default() -> Self {
        AgingThresholds {
            old: Secs::INFINITY,
            latest: Secs::INFINITY,
        }
    }
}

/// What an old job has before others: so many of its tasks, counting those that have places.
pub fn first_share(shape: Shape, tasks: u32) -> u32 {
    if shape == Shape::Array {
        tasks.div_ceil(FIRST_SHARE_DIVISOR)
    } else {
        tasks
    }
}

impl AgingThresholds {
    /// How many of a job's waiting tasks go before all others.
    fn tasks_before_all(&self, job: &Job) -> u32 {
        if job.shape == Shape::Gang || -job.arrival >= self.latest {
            return job.pending;
        }
        let placed: u32 = job.zones.iter().map(|(_, n)| n).sum();
        first_share(job.shape, job.tasks)
            .saturating_sub(placed)
            .min(job.pending)
    }
}

impl PlanState<'_> {
    /// Whether a job's age counts. That of a gang does only before what is more urgent: among its own, whole machines for
    /// who is late already would make others late too.
    pub(crate) fn is_aged(&self, job: &Job) -> bool {
        let counts = match job.shape {
            Shape::Array => true,
            Shape::Gang => job.priority < self.highest_pending_priority,
            Shape::Service => false,
        };
        counts && job.waits && -job.arrival >= self.input.aging.old
    }

    /// Serves the old, the longest wait first.
    pub(crate) fn serve_aged(&mut self, left: &mut [u32]) {
        let (jobs, aging) = (&self.input.jobs, &self.input.aging);
        let mut order: Vec<usize> = (0..jobs.len())
            .filter(|i| self.is_aged(&jobs[*i]))
            .collect();
        // What a tree entitles to would call its places back.
        let nested = !self.input.groups.is_empty();
        let key = |j: &Job| Reverse(nested && j.held > 0);
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
                self.start_or_wait(i, left);
            } else {
                let want = aging.tasks_before_all(job).min(left[i]);
                left[i] -= self.start_tasks(i, want, true);
            }
        }
    }
}
