//! How long the fleet went without a leader that its workers could find.

use super::{START, World};

/// Spells without a leader that stands for as long as a worker takes to ask every node.
#[derive(Debug)]
pub(super) struct Steady {
    /// Who leads, and since when.
    leader: Option<(usize, u64)>,
    /// Until when one has led that workers could find.
    until: u64,
    longest: u64,
}

impl Default for Steady {
    fn default() -> Self {
        Steady {
            leader: None,
            until: START,
            longest: 0,
        }
    }
}

impl Steady {
    pub(super) fn note(&mut self, now: u64, leader: Option<usize>, round_ms: u64) {
        let same = self.leader.filter(|(node, _)| Some(*node) == leader);
        self.leader = same.or(leader.map(|node| (node, now)));
        if let Some((_, since)) = self.leader.filter(|(_, since)| now >= since + round_ms) {
            self.longest = self.longest.max(since.saturating_sub(self.until));
            self.until = now;
        }
    }
}

impl World {
    /// How long a worker may take to find who leads: a second for each node that it asks, and one more for its report.
    pub fn round_ms(&self) -> u64 {
        1000 * (self.plan.nodes as u64 + 1)
    }

    /// The longest spell without a leader that stood for such a round.
    pub fn longest_unled_ms(&self) -> u64 {
        self.steady.longest.max(self.now - self.steady.until)
    }
}
