//! Timing of urgent plans. Jobs of the highest priority don't wait for the next full plan: a plan for them alone is
//! made when one arrives, and repeated while some wait, less often when it makes no progress.

use crate::overload::plan_pacing::PlanPacing;
use wire::api::{JobSpec, Kind, Priority};

/// The shortest interval between urgent plans, in milliseconds.
const MIN_INTERVAL_MS: u64 = 150;
/// The longest interval, after repeated plans without progress.
const MAX_INTERVAL_MS: u64 = 1000;

/// Whether a job is planned as soon as it arrives. Services run for long, so they can wait for a full plan.
pub(crate) fn is_urgent(spec: &JobSpec) -> bool {
    spec.priority == Priority::Production && spec.kind != Kind::Service
}

/// When the next urgent plan is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct UrgentPlanTimer {
    has_waiting: bool,
    planned_at: u64,
    interval_ms: u64,
}

impl Default for UrgentPlanTimer {
    fn default() -> Self {
        UrgentPlanTimer {
            has_waiting: false,
            planned_at: 0,
            interval_ms: MIN_INTERVAL_MS,
        }
    }
}

impl UrgentPlanTimer {
    /// Notes the arrival of a job.
    pub fn note_arrival(&mut self, spec: &JobSpec) {
        if is_urgent(spec) {
            self.has_waiting = true;
            self.interval_ms = MIN_INTERVAL_MS;
        }
    }

    /// Whether an urgent plan is due, given how much the node's pacing stretches the interval.
    pub fn is_due(&self, now: u64, plan_pacing: &PlanPacing) -> bool {
        self.has_waiting && now >= self.planned_at + plan_pacing.interval(self.interval_ms)
    }

    /// Notes a plan: whether urgent work still waits, and whether the plan made progress. Without progress the interval
    /// doubles, so that jobs that fit nowhere don't take processor time from others.
    pub fn note_plan(&mut self, now: u64, still_waits: bool, made_progress: bool) {
        self.planned_at = now;
        self.has_waiting = still_waits;
        self.interval_ms = if made_progress {
            MIN_INTERVAL_MS
        } else {
            (self.interval_ms * 2).min(MAX_INTERVAL_MS)
        };
    }
}
