//! Adapts the interval between plans to the processor time that the node has.
//!
//! A node is short of processor time when its ticks run late. Heartbeats, lease renewals, task ends and cancellations
//! are served as they arrive. Plans can wait, so they are made less often until half of the time is left for everything
//! else.

/// Upper bound of the factor by which the interval between plans is lengthened.
pub const MAX_INTERVAL_FACTOR: f64 = 5.0;
/// Fraction of the time by which ticks may run late before plans are made less often.
const TARGET_LATENESS: f64 = 0.5;
/// The interval changes by at most this factor from one plan to the next.
const MAX_STEP_FACTOR: f64 = 2.0;
/// Lateness is averaged over about this time, in milliseconds.
const WINDOW_MS: f64 = 3000.0;
/// No work takes this long. After a longer gap between ticks the process was suspended, which is no sign of overload,
/// so the gap is ignored.
const SUSPENSION_MS: f64 = 5000.0;

/// The lateness of a node's ticks and the pace of its plans. Times are in milliseconds of its steady clock.
#[derive(Debug, Clone, Copy)]
pub struct PlanPacing {
    ticked_at: Option<u64>,
    /// Fraction of the recent time by which ticks were late, as a moving average.
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
    /// Records a tick that was due `due_after` milliseconds after the previous one.
    pub fn record_tick(&mut self, now: u64, due_after: u64) {
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

    /// Records that a plan was made, and adapts the interval until the next one to the lateness of ticks.
    pub fn record_plan(&mut self) {
        let change =
            (self.lateness / TARGET_LATENESS).clamp(1.0 / MAX_STEP_FACTOR, MAX_STEP_FACTOR);
        self.factor = (self.factor * change).clamp(1.0, MAX_INTERVAL_FACTOR);
    }

    /// The current interval between plans, given the interval `base_ms` of a node without overload.
    pub fn interval(&self, base_ms: u64) -> u64 {
        (base_ms as f64 * self.factor) as u64
    }
}
