//! Estimates how many changes per second the state service accepts, if the settings announce a lower rate.
//!
//! The settings do not say when the lower rate takes effect; only refused writes show it. After several refusals
//! within a short time, this node keeps to the lower rate until no write has been refused for a while. A wrong
//! estimate costs no more than some refusals or a short delay, so unlike the limits on record sizes it is reverted.

use crate::Node;
use crate::leadership::election::{FOLLOWER_WRITE_SHARE, LEADER_WRITE_SHARE};

/// This many refusals within `REFUSAL_WINDOW_MS` mean that the lower rate is in effect.
const REFUSAL_THRESHOLD: u32 = 3;
const REFUSAL_WINDOW_MS: u64 = 2000;
/// How long this node keeps to the lower rate after the last refusal.
const REDUCED_RATE_MS: u64 = 30_000;

/// The current estimate, and the refusals it is based on. Times are of this node's monotonic clock.
#[derive(Debug, Default)]
pub(crate) struct WriteRate {
    refusals: u32,
    window_start: u64,
    reduced_until: u64,
    is_reduced: bool,
}

impl WriteRate {
    /// Records a write that was refused because of the rate of changes.
    pub fn note_refusal(&mut self, now: u64) {
        if now >= self.window_start + REFUSAL_WINDOW_MS {
            (self.refusals, self.window_start) = (0, now);
        }
        self.refusals += 1;
        if self.refusals >= REFUSAL_THRESHOLD || self.is_reduced {
            self.reduced_until = now + REDUCED_RATE_MS;
        }
    }

    /// Returns whether the lower rate applies, and whether that has changed since the last call.
    fn update(&mut self, now: u64) -> (bool, bool) {
        let reduced = now < self.reduced_until;
        (
            reduced,
            std::mem::replace(&mut self.is_reduced, reduced) != reduced,
        )
    }
}

impl Node {
    /// Changes per second that all controllers together may make, by the current estimate.
    pub(crate) fn changes_per_s(&self) -> f64 {
        if self.write_rate.is_reduced {
            self.write_limits.changes_per_s()
        } else {
            self.settings.cluster.state.write_rps
        }
    }

    /// This node's share of that rate.
    fn share_of_writes(&self) -> f64 {
        let share = if self.leads() {
            LEADER_WRITE_SHARE
        } else {
            FOLLOWER_WRITE_SHARE
        };
        self.changes_per_s() * share
    }

    /// Records a write that was refused because of the rate of changes, if the settings announce a lower rate.
    pub(crate) fn note_rate_refusal(&mut self) {
        if self.write_limits.changes_per_s() < self.settings.cluster.state.write_rps {
            self.write_rate.note_refusal(self.now.mono);
        }
    }

    pub(crate) fn write_rate_tick(&mut self) {
        let (reduced, changed) = self.write_rate.update(self.now.mono);
        if changed {
            log::info!(
                "state service: {} changes a second are taken to be borne",
                if reduced { "fewer" } else { "all" }
            );
            self.set_write_rate(self.share_of_writes());
        }
    }
}
