//! Zones that are cut off whole: a node inside, named by the leader, keeps the leases of its zone's workers alive for a
//! bounded time under the leader's token. It gives no orders, and knows of none.
//!
//! The leader names it again with each peer status (once a second), with the machines on which something is that was
//! cancelled; those are not kept. Of later cancels the lease delegate hears nothing, so that it stops in time; see
//! [`crate::leadership::lease_bound`] and docs/safety.md. It writes nothing down: what it was told ends with its process.

use crate::Node;
use crate::leadership::lease_bound::bound_ms;
use std::collections::BTreeSet;
use std::ops::Range;
use wire::api::{Heartbeat, Orders};
use wire::peer::LeaseDelegation;
use wire::settings::Workers;

/// More machines than this are not excepted one by one: then nothing is delegated.
const MAX_EXCEPTED_MACHINES: usize = 64;

/// Claims that are looked at for each machine that may be excepted.
const CLAIMS_PER_EXCEPTED_MACHINE: usize = 8;

/// A peer and a machine that fell silent within this time are taken to have been cut off together.
const SAME_OUTAGE_MS: u64 = 10_000;

/// A lease delegate answers only once a later leader had time to be found: this part of a lease, in milliseconds of
/// each of its seconds.
const START_DELAY_MS_PER_LEASE_S: f64 = 250.0;

/// What the leader has said last.
pub(crate) struct Delegation {
    /// When it was asked, by this node's clock: it has known of all cancels up to then.
    asked_at: u64,
    terms: LeaseDelegation,
}

impl Delegation {
    /// When answers may be given.
    fn answer_window(&self, workers: &Workers) -> Range<u64> {
        let from = self.asked_at + (workers.lease_s * START_DELAY_MS_PER_LEASE_S) as u64;
        let until = self.asked_at + bound_ms(workers);
        from..until
    }

    fn excepts(&self, machine: &String) -> bool {
        self.terms.except.contains(machine)
    }
}

impl Node {
    /// What the leader lets a peer keep: its zone's machines, but those with something on them that was cancelled.
    pub(crate) fn delegation_for(&self, peer: usize) -> Option<LeaseDelegation> {
        let shard = self
            .shard
            .as_ref()
            .filter(|_| self.may_decide() && self.tuning.keepers > 0.0)?;
        let zone = &self.settings.peers.get(peer)?.zone;
        debug_assert!(
            shard.unwanted_is_right(),
            "a cancelled job with claims that nobody noted"
        );
        let jobs = shard.unwanted.iter().filter_map(|job| shard.job(*job));
        let machines = jobs
            .flat_map(|j| j.claimed.values().flatten())
            .filter_map(|(m, _)| shard.machine(*m));
        let except = machines.filter(|m| m.zone == *zone).map(|m| m.name.clone());
        let except: BTreeSet<String> = except
            .take(MAX_EXCEPTED_MACHINES * CLAIMS_PER_EXCEPTED_MACHINE)
            .collect();
        (except.len() <= MAX_EXCEPTED_MACHINES).then(|| LeaseDelegation {
            token: shard.token,
            except: except.into_iter().collect(),
        })
    }

    /// Keeps what the leader has said, asked at `asked_at`.
    pub(crate) fn note_delegation(&mut self, asked_at: u64, delegation: Option<LeaseDelegation>) {
        if let Some(terms) = delegation.filter(|terms| terms.except.len() <= MAX_EXCEPTED_MACHINES)
        {
            self.delegation = Some(Delegation { asked_at, terms });
        }
    }

    /// The answer of a lease delegate to a worker, if it may give one.
    pub(crate) fn delegate_answer(&self, heartbeat: &Heartbeat) -> Option<Vec<u8>> {
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

    /// How much longer than their leases tasks in a silent zone may live: a lease delegate stood there when it was last heard.
    pub(crate) fn delegated_ms(&self, zone: &str, heard_at: u64) -> u64 {
        let peers = self.settings.peers.iter().enumerate();
        let delegate_was_up = peers
            .filter(|(_, p)| p.zone == zone)
            .any(|(i, _)| self.last_heard_at(i) + SAME_OUTAGE_MS > heard_at);
        if delegate_was_up && self.tuning.keepers > 0.0 {
            bound_ms(&self.settings.cluster.workers)
        } else {
            0
        }
    }
}
