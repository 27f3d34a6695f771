//! Which controller a worker heartbeats to.
//!
//! A small fleet heartbeats to the leader. With more machines than an operator's setting allows, the leader sends its
//! workers to the other controllers, which hand their heartbeats on in batches ([`crate::agents::relay`]): the leader then serves
//! a few connections instead of thousands. Only the way changes. A heartbeat that is forwarded is the worker's own, and
//! its answer is the leader's own, with its token.

use crate::Node;
use crate::store::rate_budget::Bucket;
use reach::{Caller, Leader, Turn, Ways};
use std::hash::{DefaultHasher, Hash, Hasher};
use wire::api::Heartbeat;

/// Workers that the leader sends to another controller in a second, so that they don't all arrive at once: at least so
/// many, and as many as send all of them away in so many seconds.
const MIN_REDIRECTS_PER_S: f64 = 50.0;
const REDIRECT_ALL_WITHIN_S: f64 = 40.0;
/// To [`reach`], the other controllers are one host, which never changes and whose token no worker has seen: all that
/// it judges by is who was sent there and comes back.
const OTHER_CONTROLLERS: Leader = Leader {
    node: 0,
    token: 1,
    avoided: false,
};
const UNSEEN_TOKEN: u64 = 0;
/// Heartbeats are spread until this part of the machines that spread them is left.
const SPREAD_STOP_SHARE: f64 = 0.8;

/// Whether heartbeats go by way of all controllers, as far as this one knows.
pub(crate) struct Routing {
    is_spread: bool,
    redirects: Bucket,
    /// Which workers were sent away, and whether they reached where they were sent.
    ways: Ways,
}

impl Routing {
    /// All heartbeats go to the leader, until it says otherwise.
    pub fn new() -> Self {
        Routing {
            is_spread: false,
            redirects: Bucket::new(MIN_REDIRECTS_PER_S),
            ways: Ways::default(),
        }
    }
}

impl Node {
    /// Whether workers send their heartbeats to any controller, by the leader's last word.
    pub(crate) fn is_spread(&self) -> bool {
        self.routing.is_spread && self.relays()
    }

    /// The leader's word, as a peer hears it. It is kept while the leader changes, so that the next leader is not met by
    /// the whole fleet at once.
    pub(crate) fn spread_heard(&mut self, is_spread: bool) {
        if !self.leads() {
            self.routing.is_spread = is_spread;
        }
    }

    /// The leader looks at the number of its machines.
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
                "heartbeats by way of all controllers: {is_spread}, for {machines} machines"
            );
            self.routing.is_spread = is_spread;
        }
    }

    /// The controller that a worker that sends its heartbeats to the leader should rather send them to. One that comes back is left
    /// with the leader, and others of its zone too until one of them got there.
    pub(crate) fn redirect_target(&mut self, heartbeat: &Heartbeat) -> Option<String> {
        let now = self.now.mono;
        if !self.is_spread() || !self.may_decide() || self.routing.redirects.level(now) < 1.0 {
            return None;
        }
        let shard = self.shard.as_ref()?;
        if !shard.machines.contains(&heartbeat.machine) {
            return None;
        }
        let peer = self.relay_for(heartbeat)?;
        let caller = Caller {
            machine: &heartbeat.machine,
            zone: &heartbeat.zone,
            token: UNSEEN_TOKEN,
        };
        if self.routing.ways.came(now, &caller, OTHER_CONTROLLERS) == Turn::Take {
            return None;
        }
        self.routing.redirects.take(now, 1.0);
        Some(self.settings.peers[peer].node.clone())
    }

    /// One of the controllers that were heard of lately: in the worker's zone if there is one, else by its name.
    fn relay_for(&self, heartbeat: &Heartbeat) -> Option<usize> {
        let peers = 0..self.settings.peers.len();
        let alive: Vec<usize> = peers.filter(|peer| self.is_heard(*peer)).collect();
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
