//! The incarnation of a node: one run of its process.
//!
//! A starting node knows that its previous incarnation has ended, since both would listen on the same addresses. If
//! that incarnation was the leader, the node need not wait for its lease to expire. docs/safety.md discusses the
//! trade-offs.
//!
//! This module only decides whether that applies; [`crate::leadership::election`] takes over, in a transaction with the
//! same conditions as any other.

use wire::records::LeaderRecord;

/// The current incarnation of this node.
pub(crate) struct Incarnation {
    /// Chosen at random by each process; never 0, the value in records that were written before incarnations had ids.
    id: u64,
    /// Whether this incarnation has been the leader. From then on, a leader record of another incarnation under this
    /// node's name was written by a second process that runs under the same name by mistake.
    has_led: bool,
}

impl Incarnation {
    /// Starts a new incarnation, with an id derived from `seed`.
    pub fn new(seed: u64) -> Self {
        // Below 2^53, so that every reader of the records can represent the id exactly.
        Incarnation {
            id: fastrand::Rng::with_seed(!seed).u64(1..1 << 53),
            has_led: false,
        }
    }

    /// The id that this incarnation writes into its leader records.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Notes that this incarnation has become the leader.
    pub fn note_leadership(&mut self) {
        self.has_led = true;
    }

    /// Whether another incarnation of the node named `node` wrote the record.
    pub fn is_from_other_incarnation(&self, record: &LeaderRecord, node: &str) -> bool {
        record.node == node && record.incarnation != self.id
    }

    /// Whether the leader that wrote the record must have ended. An incarnation that has led waits for the lease to
    /// expire like any other node, so two processes with the same name take over from each other at most once.
    pub fn may_supersede(&self, record: &LeaderRecord, node: &str) -> bool {
        self.is_from_other_incarnation(record, node) && !self.has_led
    }
}
