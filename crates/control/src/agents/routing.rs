//! Decides which controller a worker sends its heartbeats to.
//!
//! In a small fleet, all workers send them to the leader. With more machines than the operator's setting
//! `direct_machines`, the leader redirects workers to the other controllers, which forward heartbeats in batches
//! ([`crate::agents::relay`]), so that it serves a few connections instead of thousands. Only the path changes: a
//! forwarded heartbeat is the worker's own, and the reply is the leader's own, with its token.

use crate::Node;
use crate::store::rate_budget::TokenBucket;
use reach::{Leader, LeaderReachability, ReportRoute, Reporter};
use std::hash::{DefaultHasher, Hash, Hasher};
use wire::api::Heartbeat;

/// The leader limits how many workers it redirects per second, so that they don't all arrive at once: this many or,
/// in a larger fleet, as many as redirect all of them within [`REDIRECT_ALL_WITHIN_S`].
const MIN_REDIRECTS_PER_S: f64 = 50.0;
const REDIRECT_ALL_WITHIN_S: f64 = 40.0;
/// All other controllers, as one host that never changes and whose token no worker has seen. With that, [`reach`]
/// estimates reachability only from the workers that were redirected there and come back.
const OTHER_CONTROLLERS: Leader = Leader {
    node: 0,
    token: 1,
    accepts_no_workers: false,
};
const UNSEEN_TOKEN: u64 = 0;
/// Hysteresis: spreading stops when the machines fall to this share of the number that starts it.
const SPREAD_STOP_SHARE: f64 = 0.8;

/// Whether heartbeats are spread over all controllers, as far as this one knows.
pub(crate) struct Routing {
    is_spread: bool,
    redirects: TokenBucket,
    /// Which workers were redirected, and whether they reached their target.
    reachability: LeaderReachability,
}

impl Routing {
    /// All heartbeats go to the leader until it says otherwise.
    pub fn new() -> Self {
        Routing {
            is_spread: false,
            redirects: TokenBucket::new(MIN_REDIRECTS_PER_S),
            reachability: LeaderReachability::default(),
        }
    }
}

impl Node {
    /// Whether workers send their heartbeats to any controller, according to the leader's last status.
    pub(crate) fn is_spread(&self) -> bool {
        self.routing.is_spread && self.may_relay()
    }

    /// Notes whether heartbeats are spread, according to the leader's status. The value is kept while the leader
    /// changes, so that the next leader doesn't receive the heartbeats of the whole fleet at once.
    pub(crate) fn note_spread(&mut self, is_spread: bool) {
        if !self.leads() {
            self.routing.is_spread = is_spread;
        }
    }

    /// On the leader, decides from the number of machines whether to spread heartbeats.
    pub(crate) fn routing_tick(&mut self) {
        let Some(shard) = self.shard.as_ref().filter(|shard| shard.loaded) else {
            return;
        };
        let machines = shard.machines.count() as f64;
        let threshold = match self.routing.is_spread {
            true => self.tuning.direct_machines * SPREAD_STOP_SHARE,
            false => self.tuning.direct_machines,
        };
        let is_spread = machines > threshold && !self.settings.peers.is_empty();
        let redirects_per_s = (machines / REDIRECT_ALL_WITHIN_S).max(MIN_REDIRECTS_PER_S);
        self.routing.redirects.set_rate(redirects_per_s);
        if is_spread != self.routing.is_spread {
            log::info!(
                "heartbeats spread over all controllers: {is_spread}, with {machines} machines"
            );
            self.routing.is_spread = is_spread;
        }
    }

    /// The controller to redirect a worker to that sent its heartbeat to the leader, if any. A worker that was
    /// redirected and comes back stays with the leader, and after repeated failures so do others of its zone, until
    /// one of them has reached its target.
    pub(crate) fn redirect_target(&mut self, heartbeat: &Heartbeat) -> Option<String> {
        let now = self.now.mono;
        if !self.is_spread() || !self.may_decide() || self.routing.redirects.available(now) < 1.0 {
            return None;
        }
        let shard = self.shard.as_ref()?;
        if !shard.machines.contains(&heartbeat.machine) {
            return None;
        }
        let peer = self.relay_for(heartbeat)?;
        let reporter = Reporter {
            machine: &heartbeat.machine,
            zone: &heartbeat.zone,
            token: UNSEEN_TOKEN,
        };
        if self
            .routing
            .reachability
            .route_report(now, &reporter, OTHER_CONTROLLERS)
            == ReportRoute::Accept
        {
            return None;
        }
        self.routing.redirects.take(now, 1.0);
        Some(self.settings.peers[peer].node.clone())
    }

    /// A controller that was heard recently, in the worker's zone if there is one. A hash of the machine's name selects
    /// among several.
    fn relay_for(&self, heartbeat: &Heartbeat) -> Option<usize> {
        let peers = 0..self.settings.peers.len();
        let alive: Vec<usize> = peers.filter(|peer| self.has_recent_status(*peer)).collect();
        let in_zone = |peer: &&usize| self.settings.peers[**peer].zone == heartbeat.zone;
        let same_zone: Vec<usize> = alive.iter().filter(in_zone).copied().collect();
        let candidates = if same_zone.is_empty() {
            alive
        } else {
            same_zone
        };
        let mut hasher = DefaultHasher::new();
        heartbeat.machine.hash(&mut hasher);
        let index = hasher.finish().checked_rem(candidates.len() as u64)?;
        candidates.get(index as usize).copied()
    }
}
