//! Work of the highest priority does not wait for the next full plan: a plan for it alone is made as it arrives, and
//! again while it lacks places, so often as it gets on.

use crate::overload::plan_pacing::PlanPacing;
use wire::api::{JobSpec, Kind, Priority};

/// Urgent plans are at least this far apart, in milliseconds.
const MIN_INTERVAL_MS: u64 = 150;
/// While they bring nothing, up to this far.
const MAX_INTERVAL_MS: u64 = 1000;

/// Whether a job is placed as it arrives. Services run for long, and can wait for a full plan.
pub(crate) fn is_urgent(spec: &JobSpec) -> bool {
    spec.priority == Priority::Production && spec.kind != Kind::Service
}

/// When the next urgent plan is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Urgent {
    has_waiting: bool,
    planned_at: u64,
    interval_ms: u64,
}

impl Default for Urgent {
    fn default() -> Self {
        Urgent {
            has_waiting: false,
            planned_at: 0,
            interval_ms: MIN_INTERVAL_MS,
        }
    }
}

impl Urgent {
    /// A job has come.
    pub fn arrived(&mut self, spec: &JobSpec) {
        if is_urgent(spec) {
            self.has_waiting = true;
            self.interval_ms = MIN_INTERVAL_MS;
        }
    }

    /// Whether a plan is due, of a node that keeps this pace.
    pub fn is_due(&self, now: u64, plan_pacing: &PlanPacing) -> bool {
        self.has_waiting && now >= self.planned_at + plan_pacing.interval(self.interval_ms)
    }

    /// A plan that had urgent work in it, or none: whether some still waits, and whether it made progress. Plans that bring
    /// nothing come ever less often, so that what fits nowhere takes no time from others.
    pub fn planned(&mut self, now: u64, still_waits: bool, made_progress: bool) {
        self.planned_at = now;
        self.has_waiting = still_waits;
        self.interval_ms = if made_progress {
            MIN_INTERVAL_MS
        } else {
            (self.interval_ms * 2).min(MAX_INTERVAL_MS)
        };
    }
}
