//! When those who are turned away are asked to come back: after as long as it takes to serve all who were turned away
//! before them, so that an overloaded node is not asked the same again and again in the meantime.
//!
//! ```
//! use control::overload::load_shedding::LoadShedding;
//! let mut shedding = LoadShedding::default();
//! assert_eq!(shedding.turn_away(0, 10.0), 1);
//! (0..50).for_each(|_| { shedding.turn_away(0, 10.0); });
//! assert_eq!(shedding.turn_away(0, 10.0), 6);
//! // Five seconds later they have been served.
//! assert_eq!(shedding.turn_away(5500, 10.0), 1);
//! ```

/// Nobody is sent away for longer, in seconds: by then another node may have room.
pub const LONGEST_S: u32 = 10;

/// Requests that were turned away and are still to be served.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadShedding {
    queued: f64,
    /// Milliseconds of the node's steady clock.
    updated_at: u64,
}

impl LoadShedding {
    /// One more is turned away, by a node that serves so many a second. Returns the seconds after which to come back.
    pub fn turn_away(&mut self, now: u64, served_per_s: f64) -> u32 {
        let served_per_s = served_per_s.max(1.0);
        let served = now.saturating_sub(self.updated_at) as f64 / 1000.0 * served_per_s;
        self.updated_at = self.updated_at.max(now);
        let max_queued = served_per_s * f64::from(LONGEST_S);
        self.queued = ((self.queued - served).max(0.0) + 1.0).min(max_queued);
        let wait_s = 1.0 + self.queued / served_per_s;
        (wait_s as u32).min(LONGEST_S)
    }
}
