//! When the leader's next plan is due.

use crate::jobs::job::JobIndex;
use crate::scheduling::urgent::UrgentPlanTimer;

/// Interval at which new rentals are considered.
const RENTALS_INTERVAL_MS: u64 = 1000;

/// Requests for plans, and when the last ones were made.
pub(crate) struct PlanTriggers {
    /// Whether something has changed since the last full plan.
    requested: bool,
    planned_at: u64,
    /// The job at which the last full plan reached its limit of steps.
    pub stopped_at: Option<JobIndex>,
    /// Triggers of plans for urgent jobs alone.
    pub urgent: UrgentPlanTimer,
    rentals_due_at: u64,
}

impl Default for PlanTriggers {
    /// A new leader plans immediately.
    fn default() -> Self {
        PlanTriggers {
            requested: true,
            planned_at: 0,
            stopped_at: None,
            urgent: UrgentPlanTimer::default(),
            rentals_due_at: 0,
        }
    }
}

impl PlanTriggers {
    /// Requests a full plan because something has changed.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Whether a full plan is due. Plans are made at this interval if requested, and at twice the interval otherwise.
    pub fn is_due(&self, now: u64, interval: u64) -> bool {
        (self.requested && now >= self.planned_at + interval)
            || now >= self.planned_at + 2 * interval
    }

    /// Records that a full plan is being made.
    pub fn note_plan(&mut self, now: u64) {
        self.requested = false;
        self.planned_at = now;
    }

    /// Whether it is time to consider renting machines.
    pub fn rentals_due(&self, now: u64) -> bool {
        now >= self.rentals_due_at
    }

    /// Records that rentals are being considered.
    pub fn rentals_considered(&mut self, now: u64) {
        self.rentals_due_at = now + RENTALS_INTERVAL_MS;
    }
}
