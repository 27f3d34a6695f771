//! How many changes a second the state service is taken to bear, where the settings name a smaller rate to come.
//!
//! When it begins is not said: it shows by refused writes. From some of them in a short time on, the smaller rate is
//! kept to, until none was refused for a while. A wrong guess either way costs refusals or a little time and nothing
//! else, so unlike the sizes of records this one is taken back.

use crate::Node;
use crate::leadership::election::{LEADER_WRITES, OTHER_WRITES};

/// So many refusals within this time, in milliseconds, say that the smaller rate holds.
const REFUSAL_THRESHOLD: u32 = 3;
const REFUSAL_WINDOW_MS: u64 = 2000;
/// After the last of them it is kept to for so long.
const REDUCED_RATE_MS: u64 = 30_000;

/// What refusals have said so far. Times are of this node's steady clock.
#[derive(Debug, Default)]
pub(crate) struct WriteRate {
    refusals: u32,
    window_start: u64,
    reduced_until: u64,
    is_reduced: bool,
}

impl WriteRate {
    /// A write was refused since there were too many.
    pub fn note_refusal(&mut self, now: u64) {
        if now >= self.window_start + REFUSAL_WINDOW_MS {
            (self.refusals, self.window_start) = (0, now);
        }
        self.refusals += 1;
        if self.refusals >= REFUSAL_THRESHOLD || self.is_reduced {
            self.reduced_until = now + REDUCED_RATE_MS;
        }
    }

    /// Whether the smaller rate is to be kept to; the second says that this is new.
    fn update(&mut self, now: u64) -> (bool, bool) {
        let reduced = now < self.reduced_until;
        (
            reduced,
            std::mem::replace(&mut self.is_reduced, reduced) != reduced,
        )
    }
}

impl Node {
    /// Changes that all controllers together may make in a second, as far as is known.
    pub(crate) fn changes_per_s(&self) -> f64 {
        if self.write_rate.is_reduced {
            self.write_limits.changes_per_s()
        } else {
            self.settings.cluster.state.write_rps
        }
    }

    /// This node's own part of them.
    fn share_of_writes(&self) -> f64 {
        let share = if self.leads() {
            LEADER_WRITES
        } else {
            OTHER_WRITES
        };
        self.changes_per_s() * share
    }

    /// A write was refused since there were too many.
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
