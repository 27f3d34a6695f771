//! How far a node is behind its time, and how much less often it plans for it.
//!
//! A node is short of processor time when its ticks come late. Reports, lease renewals, ends and cancels are served as
//! they come; plans are what can wait, so they are made less often until half of the time is left for the rest.

/// Plans are at most this many times as far apart as in a node that keeps its time.
pub const MAX_FACTOR: f64 = 5.0;
/// Part of the time that ticks may be late before plans give way.
const TARGET_LATENESS: f64 = 0.5;
/// The distance changes by at most this factor from one plan to the next.
const MAX_STEP_FACTOR: f64 = 2.0;
/// Lateness is looked at over about this time, in milliseconds.
const WINDOW_MS: f64 = 3000.0;
/// No work takes so long: the process stood still, and is not short of time when it goes on.
const SUSPENSION_MS: f64 = 5000.0;

/// A node's pace. Times are milliseconds of its steady clock.
#[derive(Debug, Clone, Copy)]
pub struct PlanPacing {
    ticked_at: Option<u64>,
    /// Part of the latest time by which ticks were late.
    lateness: f64,
    factor: f64,
}

impl Default for PlanPacing {
    fn default() -> Self {
        PlanPacing {
            ticked_at: None,
            lateness: 0.0,
            factor: 1.0,
        }
    }
}

impl PlanPacing {
    /// A tick that was due so long after the one before.
    pub fn ticked(&mut self, now: u64, due_after: u64) {
        let Some(previous) = self.ticked_at.replace(now) else {
            return;
        };
        let elapsed_ms = now.saturating_sub(previous) as f64;
        let late_ms = now.saturating_sub(previous + due_after) as f64;
        if elapsed_ms > 0.0 && elapsed_ms < SUSPENSION_MS {
            let weight = (elapsed_ms / WINDOW_MS).min(1.0);
            self.lateness += (late_ms / elapsed_ms - self.lateness) * weight;
        }
    }

    /// A plan has been made: the next one is sooner or later by how late ticks are.
    pub fn planned(&mut self) {
        let change =
            (self.lateness / TARGET_LATENESS).clamp(1.0 / MAX_STEP_FACTOR, MAX_STEP_FACTOR);
        self.factor = (self.factor * change).clamp(1.0, MAX_FACTOR);
    }

    /// A time between two plans, as this node keeps it now.
    pub fn interval(&self, base_ms: u64) -> u64 {
        (base_ms as f64 * self.factor) as u64
    }
}
