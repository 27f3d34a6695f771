//! Zones that are cut off whole: a node inside, named by the leader, keeps the leases of its zone's workers alive for a
//! bounded time under the leader's token. It gives no orders, and knows of none.
//!
//! The leader names it again with each view (once a second), with the machines on which something is that was
//! cancelled; those are not kept. Of later cancels the lease delegate hears nothing, so that it stops in time; see
//! [`crate::leadership::lease_bound`] and docs/safety.md. It writes nothing down: what it was told ends with its process.

use crate::Node;
use crate::leadership::lease_bound::bound_ms;
use wire::api::{Heartbeat, Orders};
use wire::peer::LeaseDelegation;

/// More machines than this are not named one by one: then nobody is.
const EXCEPT: usize = 64;

/// A peer and a machine that fell silent within this time are taken to have been cut off together.
const TOGETHER_MS: u64 = 10_000;

/// What the leader has said last.
pub(crate) struct Delegation {
    /// When it was asked, by this node's clock: it has known of all cancels up to then.
    asked: u64,
    delegation: LeaseDelegation,
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
        let jobs = shard.unwanted.iter().filter_map(|ix| shard.job(*ix));
        let machines = jobs
            .flat_map(|j| j.claimed.values().flatten())
            .filter_map(|(m, _)| shard.machine(*m));
        let except = machines.filter(|m| m.zone == *zone).map(|m| m.name.clone());
        let except: std::collections::BTreeSet<String> = except.take(EXCEPT * 8).collect();
        (except.len() <= EXCEPT).then(|| LeaseDelegation {
            token: shard.token,
            except: except.into_iter().collect(),
        })
    }

    pub(crate) fn note_delegation(&mut self, asked: u64, delegation: Option<LeaseDelegation>) {
        if let Some(delegation) = delegation.filter(|k| k.except.len() <= EXCEPT) {
            self.delegation = Some(Delegation { asked, delegation });
        }
    }

    /// The answer of a lease delegate, if it may give one. It waits until a later leader had time to be found.
    pub(crate) fn keeps(&self, heartbeat: &Heartbeat) -> Option<Vec<u8>> {
        let Delegation { asked, delegation } = self.delegation.as_ref()?;
        let workers = &self.settings.cluster.workers;
        let from = asked + (workers.lease_s * 250.0) as u64;
        let until = asked + bound_ms(workers);
        let in_time = (from..until).contains(&self.now.mono);
        let highest = heartbeat.token.max(self.highest_token());
        let ours = heartbeat.zone == self.settings.zone && highest <= delegation.token;
        let kept = in_time && ours && !delegation.except.contains(&heartbeat.machine);
        kept.then(|| {
            wire::encode(&Orders {
                token: delegation.token,
                agent_epoch: None,
                orders: Vec::new(),
            })
        })
    }

    /// How much longer than their leases tasks in a silent zone may live: a lease delegate stood there when it was last heard.
    pub(crate) fn kept_ms(&self, zone: &str, heard_at: u64) -> u64 {
        let peers = self.settings.peers.iter().enumerate();
        let stood = peers
            .filter(|(_, p)| p.zone == zone)
            .any(|(i, _)| self.last_peer_status(i) + TOGETHER_MS > heard_at);
        if stood && self.tuning.keepers > 0.0 {
            bound_ms(&self.settings.cluster.workers)
        } else {
            0
        }
    }
}
