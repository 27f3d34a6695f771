//! Load shedding: when a rejected client should retry. The delay is the time that it takes to serve all clients that
//! were rejected before it, so that an overloaded node does not receive the same requests over and over.
//!
//! ```
//! use control::overload::load_shedding::LoadShedding;
//! let mut shedding = LoadShedding::default();
//! assert_eq!(shedding.record_rejection(0, 10.0), 1);
//! (0..50).for_each(|_| { shedding.record_rejection(0, 10.0); });
//! assert_eq!(shedding.record_rejection(0, 10.0), 6);
//! // After five seconds that backlog has been served.
//! assert_eq!(shedding.record_rejection(5500, 10.0), 1);
//! ```

/// Maximum retry delay in seconds: by then, another node may have capacity.
pub const MAX_RETRY_AFTER_S: u32 = 10;

/// Estimate of the rejected requests that are still to come back and be served.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadShedding {
    queued: f64,
    /// When `queued` was last updated, in milliseconds of the node's steady clock.
    updated_at: u64,
}

impl LoadShedding {
    /// Counts one more request rejected by a node that serves `served_per_s` requests a second. Returns the retry delay
    /// in seconds.
    pub fn record_rejection(&mut self, now: u64, served_per_s: f64) -> u32 {
        let served_per_s = served_per_s.max(1.0);
        let served = now.saturating_sub(self.updated_at) as f64 / 1000.0 * served_per_s;
        self.updated_at = self.updated_at.max(now);
        let max_queued = served_per_s * f64::from(MAX_RETRY_AFTER_S);
        self.queued = ((self.queued - served).max(0.0) + 1.0).min(max_queued);
        let wait_s = 1.0 + self.queued / served_per_s;
        (wait_s as u32).min(MAX_RETRY_AFTER_S)
    }
}
