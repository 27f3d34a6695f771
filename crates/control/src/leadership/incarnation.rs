//! One incarnation of a node: from the start of its process to its end.
//!
//! A node that begins knows that the incarnation before it is over, since both would listen on the same addresses. If
//! that one led the fleet, nobody needs to wait for its lease to run out. Weighed in docs/safety.md under "A new life".
//!
//! Nothing here takes over; [`crate::leadership::election`] does, by a transaction that is guarded as any other.

use wire::records::LeaderRecord;

/// The present incarnation of this node.
pub(crate) struct Incarnation {
    /// Drawn anew by each process; never 0, which stands in records from before there were marks.
    id: u64,
    /// This incarnation has led the fleet. From then on a record of another one under our name is one of a process
    /// that lives beside us by mistake.
    has_led: bool,
}

impl Incarnation {
    /// A process has started.
    pub fn new(seed: u64) -> Self {
        // Numbers that any reader of the records can hold exactly.
        Incarnation {
            id: fastrand::Rng::with_seed(!seed).u64(1..1 << 53),
            has_led: false,
        }
    }

    /// What stands in the leader records of this incarnation.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// It has become the leader.
    pub fn note_leadership(&mut self) {
        self.has_led = true;
    }

    /// Whether another incarnation under this node's name wrote it.
    pub fn is_from_other_incarnation(&self, record: &LeaderRecord, node: &str) -> bool {
        record.node == node && record.incarnation != self.id
    }

    /// Whether the leader that wrote it can only have ended. Two processes of one name take over from each other once
    /// at most: who has led the fleet waits like everybody else.
    pub fn may_supersede(&self, record: &LeaderRecord, node: &str) -> bool {
        self.is_from_other_incarnation(record, node) && !self.has_led
    }
}
