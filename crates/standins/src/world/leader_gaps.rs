//! Measures how long the fleet was without a leader that workers could find.

use super::{START_MS, World};

/// Tracks the time without a stable leader. A leader is stable once it has led for as long as a worker needs to ask
/// every node.
#[derive(Debug)]
pub(super) struct LeaderGaps {
    /// The current leader, and since when it leads.
    leader: Option<(usize, u64)>,
    /// The last time at which there was a stable leader.
    led_until: u64,
    longest_ms: u64,
}

impl Default for LeaderGaps {
    fn default() -> Self {
        LeaderGaps {
            leader: None,
            led_until: START_MS,
            longest_ms: 0,
        }
    }
}

impl LeaderGaps {
    pub(super) fn note(&mut self, now: u64, leader: Option<usize>, round_ms: u64) {
        let same = self.leader.filter(|(node, _)| Some(*node) == leader);
        self.leader = same.or(leader.map(|node| (node, now)));
        if let Some((_, since)) = self.leader.filter(|(_, since)| now >= since + round_ms) {
            self.longest_ms = self.longest_ms.max(since.saturating_sub(self.led_until));
            self.led_until = now;
        }
    }
}

impl World {
    /// How long a worker may need to find the leader: one second for each node that it asks, and one more for its
    /// report.
    pub fn round_ms(&self) -> u64 {
        1000 * (self.plan.nodes as u64 + 1)
    }

    /// The longest time without a stable leader.
    pub fn longest_unled_ms(&self) -> u64 {
        self.leader_gaps
            .longest_ms
            .max(self.now - self.leader_gaps.led_until)
    }
}
