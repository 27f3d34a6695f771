//! Lease delegation for zones that are partitioned as a whole: a node in the zone, appointed by the leader, renews the
//! leases of the zone's workers for a bounded time under the leader's token. It neither issues orders nor knows of any.
//!
//! The leader renews the delegation with each peer status (once a second). It lists the machines that still run
//! cancelled tasks; their leases are not renewed. The lease delegate does not learn of later cancellations, so it stops
//! after a bounded time; see [`crate::leadership::lease_bound`] and docs/safety.md. A delegation is kept in memory only
//! and ends with the delegate's process.

use crate::Node;
use crate::leadership::lease_bound::renewal_bound_ms;
use std::collections::BTreeSet;
use std::ops::Range;
use wire::api::{Heartbeat, Orders};
use wire::peer::LeaseDelegation;
use wire::settings::Workers;

/// Maximum number of machines excepted from a delegation. If more would have to be, nothing is delegated.
const MAX_EXCEPTED_MACHINES: usize = 64;

/// Number of claims that are examined for each machine that may be excepted.
const CLAIMS_PER_EXCEPTED_MACHINE: usize = 8;

/// A peer and a machine that fell silent within this time of each other are assumed to be in the same partition.
const SAME_OUTAGE_MS: u64 = 10_000;

/// A lease delegate answers only after workers have had time to find a later leader: this many milliseconds for each
/// second of a worker's lease.
const START_DELAY_MS_PER_LEASE_S: f64 = 250.0;

/// The latest delegation by the leader.
pub(crate) struct Delegation {
    /// When the leader was asked, by this node's clock. The delegation takes account of all cancellations up to then.
    asked_at: u64,
    terms: LeaseDelegation,
}

impl Delegation {
    /// The time in which the delegate may answer heartbeats.
    fn answer_window(&self, workers: &Workers) -> Range<u64> {
        let from = self.asked_at + (workers.lease_s * START_DELAY_MS_PER_LEASE_S) as u64;
        let until = self.asked_at + renewal_bound_ms(workers);
        from..until
    }

    fn excepts(&self, machine: &String) -> bool {
        self.terms.except.contains(machine)
    }
}

impl Node {
    /// The leader's delegation to a peer: the machines of the peer's zone except those that still run cancelled tasks.
    pub(crate) fn delegation_for(&self, peer: usize) -> Option<LeaseDelegation> {
        let shard = self
            .shard
            .as_ref()
            .filter(|_| self.may_decide() && self.tuning.keepers > 0.0)?;
        let zone = &self.settings.peers.get(peer)?.zone;
        debug_assert!(
            shard.is_cancelled_with_claims_complete(),
            "a cancelled job with claims is missing from `cancelled_with_claims`"
        );
        let jobs = shard
            .cancelled_with_claims
            .iter()
            .filter_map(|job| shard.job(*job));
        let machines = jobs
            .flat_map(|j| j.claimed.values().flatten())
            .filter_map(|(m, _)| shard.machine(*m));
        let except = machines.filter(|m| m.zone == *zone).map(|m| m.name.clone());
        let except: BTreeSet<String> = except
            .take(MAX_EXCEPTED_MACHINES * CLAIMS_PER_EXCEPTED_MACHINE)
            .collect();
        (except.len() <= MAX_EXCEPTED_MACHINES).then(|| LeaseDelegation {
            token: shard.token(),
            except: except.into_iter().collect(),
        })
    }

    /// Stores the delegation that the leader sent in answer to the request of `asked_at`.
    pub(crate) fn note_delegation(&mut self, asked_at: u64, delegation: Option<LeaseDelegation>) {
        if let Some(terms) = delegation.filter(|terms| terms.except.len() <= MAX_EXCEPTED_MACHINES)
        {
            self.delegation = Some(Delegation { asked_at, terms });
        }
    }

    /// The answer of this lease delegate to a worker's heartbeat; `None` if it may not answer.
    pub(crate) fn answer_as_delegate(&self, heartbeat: &Heartbeat) -> Option<Vec<u8>> {
        let delegation = self.delegation.as_ref()?;
        let token = delegation.terms.token;
        let answer_window = delegation.answer_window(&self.settings.cluster.workers);
        let highest = heartbeat.token.max(self.highest_token());
        let may_answer = answer_window.contains(&self.now.mono)
            && heartbeat.zone == self.settings.zone
            && highest <= token
            && !delegation.excepts(&heartbeat.machine);
        may_answer.then(|| {
            wire::encode(&Orders {
                token,
                agent_epoch: None,
                orders: Vec::new(),
            })
        })
    }

    /// How much longer than their leases, in milliseconds, tasks in a silent zone may live because a lease delegate was
    /// up there at `heard_at`, when the machine was last heard from.
    pub(crate) fn delegated_lease_extension_ms(&self, zone: &str, heard_at: u64) -> u64 {
        let peers = self.settings.peers.iter().enumerate();
        let delegate_was_up = peers
            .filter(|(_, p)| p.zone == zone)
            .any(|(i, _)| self.last_heard_at(i) + SAME_OUTAGE_MS > heard_at);
        if delegate_was_up && self.tuning.keepers > 0.0 {
            renewal_bound_ms(&self.settings.cluster.workers)
        } else {
            0
        }
    }
}
