//! How long a leader may renew workers' leases.
//!
//! A worker kills its tasks once more than `lease_s` has passed since it sent the last heartbeat that was answered, so
//! each answer extends their life by that much. A leader that cannot renew its own lease does not learn of
//! cancellations that a later leader confirms to users, so every task whose lease it renews must have ended within
//! `cancel_s` of the first such cancellation. The bound is derived in docs/safety.md.
//!
//! This module neither issues orders nor decides who leads.

use crate::Node;
use crate::leadership::role::Role;
use wire::settings::Workers;

/// Relative drift of two clocks of 0.05% each, doubled for safety.
const DRIFT: f64 = 0.002;
/// Workers check their lease only periodically, and ending a task takes some time.
const SLACK_MS: f64 = 2000.0;

/// How long, in milliseconds, heartbeats may be answered after the last moment at which no other node can have
/// confirmed a cancellation to anybody. A task whose lease is renewed at the end of that time is gone `cancel_s` after
/// that moment.
pub fn renewal_bound_ms(workers: &Workers) -> u64 {
    let left = workers.cancel_s * (1.0 - DRIFT) - workers.lease_s * (1.0 + DRIFT);
    (left * 1000.0 - SLACK_MS).max(0.0) as u64
}

/// Peers' attestations that they know of no later leader. They count only if all peers have answered the same round.
#[derive(Debug, Default)]
pub struct Attestations {
    /// When the latest round that all peers have answered was sent.
    last_complete_round_at: Option<u64>,
    /// When the current round was sent, and which peers have answered it.
    asked_at: u64,
    answered: Vec<bool>,
}

impl Attestations {
    /// Starts a new round of requests to all peers.
    pub fn begin_round(&mut self, now: u64, peers: usize) {
        self.asked_at = now;
        self.answered = vec![false; peers];
        self.check_complete(now);
    }

    /// Notes that a peer has attested the round that was sent at `sent`.
    pub fn record_answer(&mut self, sent: u64, peer: usize) {
        if sent == self.asked_at
            && let Some(answered) = self.answered.get_mut(peer)
        {
            *answered = true;
            self.check_complete(sent);
        }
    }

    /// When the latest round that all peers have answered was sent.
    pub fn last_complete_round_at(&self) -> Option<u64> {
        self.last_complete_round_at
    }

    fn check_complete(&mut self, sent: u64) {
        if self.answered.iter().all(|a| *a) {
            self.last_complete_round_at = self.last_complete_round_at.max(Some(sent));
        }
    }
}

impl Node {
    /// Whether an answer to a worker's heartbeat may renew its lease now.
    pub(crate) fn may_renew_worker_leases(&self) -> bool {
        // Jobs that have not been read back yet may have been cancelled long ago.
        let Some(shard) = self.shard.as_ref().filter(|shard| shard.loaded) else {
            return false;
        };
        let Role::Leader(lease) = self.role else {
            return false;
        };
        let attested = shard.attestations.last_complete_round_at();
        let confirmed_at = attested.map_or(lease.renewed_at, |at| at.max(lease.renewed_at));
        self.has_valid_lease()
            || self.now.mono < confirmed_at + renewal_bound_ms(&self.settings.cluster.workers)
    }

    /// Starts a round of attestations; the requests are the peer status requests that are sent at `now`.
    pub(crate) fn begin_attestation_round(&mut self, now: u64, peers: usize) {
        if let Some(shard) = &mut self.shard {
            shard.attestations.begin_round(now, peers);
        }
    }

    /// Handles a peer's answer to the round that was sent at `sent`. `token` is the highest token that the peer knows
    /// of, `None` if it has not read the counter.
    pub(crate) fn attestation_received(&mut self, sent: u64, peer: usize, token: Option<u64>) {
        if let Some(shard) = &mut self.shard
            && token.is_some_and(|t| t <= shard.token())
        {
            shard.attestations.record_answer(sent, peer);
        }
    }
}
