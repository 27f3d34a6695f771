//! When the leader's next plan is due.

use crate::jobs::job::JobIndex;
use crate::scheduling::urgent::Urgent;

/// Rentals are looked at this far apart.
const RENTALS_INTERVAL_MS: u64 = 1000;

/// What asks for a plan, and when the last ones were made.
pub(crate) struct PlanTriggers {
    /// Something has changed since the last full plan.
    requested: bool,
    planned_at: u64,
    /// The job at which the last full plan was stopped by its bound of steps.
    pub stopped_at: Option<JobIndex>,
    /// Plans for urgent work alone.
    pub urgent: Urgent,
    rentals_due_at: u64,
}

impl Default for PlanTriggers {
    /// A new leader plans at once.
    fn default() -> Self {
        PlanTriggers {
            requested: true,
            planned_at: 0,
            stopped_at: None,
            urgent: Urgent::default(),
            rentals_due_at: 0,
        }
    }
}

impl PlanTriggers {
    /// Something has changed that the next full plan should see.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Whether a full plan is due, where plans are this far apart; without any request half as often.
    pub fn is_due(&self, now: u64, interval: u64) -> bool {
        (self.requested && now >= self.planned_at + interval)
            || now >= self.planned_at + 2 * interval
    }

    /// A full plan is made now.
    pub fn planned(&mut self, now: u64) {
        self.requested = false;
        self.planned_at = now;
    }

    /// Whether it is time to look whether machines are to be rented.
    pub fn rentals_due(&self, now: u64) -> bool {
        now >= self.rentals_due_at
    }

    /// Rentals are looked at now.
    pub fn rentals_considered(&mut self, now: u64) {
        self.rentals_due_at = now + RENTALS_INTERVAL_MS;
    }
}
