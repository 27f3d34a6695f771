//! How long a leader may keep workers' leases alive.
//!
//! A worker kills its tasks once the last heartbeat that was answered was sent more than `lease_s` ago, so each answer
//! lets them live that much longer. A leader that can't renew its own lease hears of no cancel that a later leader
//! tells users; what it renews must be gone within `cancel_s` of the first such cancel. Derived in docs/safety.md.
//!
//! Nothing here gives an order or decides who owns.

use crate::Node;
use crate::leadership::role::Role;
use wire::settings::Workers;

/// Two clocks that drift apart by 0.05% each, doubled.
const DRIFT: f64 = 0.002;
/// Workers look at their lease now and then, and an end takes a moment.
const SLACK_MS: f64 = 2000.0;

/// How long, in milliseconds, answers may go on after the last moment at which no other node can have told anybody
/// of a cancel: what is renewed at its end is gone `cancel_s` after that moment.
pub fn bound_ms(workers: &Workers) -> u64 {
    let left = workers.cancel_s * (1.0 - DRIFT) - workers.lease_s * (1.0 + DRIFT);
    (left * 1000.0 - SLACK_MS).max(0.0) as u64
}

/// What the other nodes have said since this one became unsure. All of them have to say it, in answer to the same
/// question.
#[derive(Debug, Default)]
pub struct Attestations {
    /// When the question was sent that all have answered.
    complete_at: Option<u64>,
    /// When the last question was sent, and which peers have answered it.
    asked_at: u64,
    answered: Vec<bool>,
}

impl Attestations {
    /// All peers are asked anew.
    pub fn ask(&mut self, now: u64, peers: usize) {
        self.asked_at = now;
        self.answered = vec![false; peers];
        self.check_complete(now);
    }

    /// A peer attests what was asked at `sent`.
    pub fn answer(&mut self, sent: u64, peer: usize) {
        if sent == self.asked_at
            && let Some(answered) = self.answered.get_mut(peer)
        {
            *answered = true;
            self.check_complete(sent);
        }
    }

    /// When the last question was sent that all peers have answered.
    pub fn complete_at(&self) -> Option<u64> {
        self.complete_at
    }

    fn check_complete(&mut self, sent: u64) {
        if self.answered.iter().all(|a| *a) {
            self.complete_at = self.complete_at.max(Some(sent));
        }
    }
}

impl Node {
    /// Whether an answer to a worker may renew its lease now.
    pub(crate) fn may_renew(&self) -> bool {
        // What has not been read back yet may have been cancelled long ago.
        let Some(shard) = self.shard.as_ref().filter(|p| p.loaded) else {
            return false;
        };
        let Role::Leader(lease) = self.role else {
            return false;
        };
        let attested = shard.attestations.complete_at();
        let confirmed_at = attested.map_or(lease.renewed_at, |at| at.max(lease.renewed_at));
        self.has_valid_lease()
            || self.now.mono < confirmed_at + bound_ms(&self.settings.cluster.workers)
    }

    /// All others are asked now what they know.
    pub(crate) fn begin_attestation_round(&mut self, now: u64, peers: usize) {
        if let Some(shard) = &mut self.shard {
            shard.attestations.ask(now, peers);
        }
    }

    /// A peer has answered what was sent then: the highest token that it knows of, if it has read the counter.
    pub(crate) fn attestation_received(&mut self, sent: u64, peer: usize, token: Option<u64>) {
        if let Some(shard) = &mut self.shard
            && token.is_some_and(|t| t <= shard.token)
        {
            shard.attestations.answer(sent, peer);
        }
    }
}
