//! Demand for models, at any controller and whether or not there is a leader.
//!
//! Requests are coalesced: of all who ask for one model at one node, one wake-up is sent out
//! ([`crate::models::wake_up`]). It reads the job and the model's record, and where the model is asleep it begins the
//! next generation by one transaction, guarded by both. Whoever loses reads again and follows what stands there. A node
//! that hears of demand for a model that is up tells the leader now and then; where it can't, it says so in the record,
//! and a sleep that was decided without it fails on its guard.

use crate::jobs::peer_requests::peer_answer;
use crate::models::wake_up::WakeUp;
use crate::{Destination, Node, Pending, frontend};
use std::collections::HashMap;
use wire::admin;
use wire::http::{Request, Response};
use wire::models::{DEMAND, Demand, ModelStatus};
use wire::peer::{self, PeerRequest, PeerResponse};

/// What whoever waits is told while the state service does not serve this node.
pub(super) const UNAVAILABLE: &str = "state service not available";
const TIMEOUT_MS: u64 = 900;
const FORWARD_TIMEOUT_MS: u64 = 3000;
/// What is too old is forgotten so often, and demand after so long: longer than any model may be idle and awake.
const SWEEP_INTERVAL_MS: u64 = 10_000;
const DEMAND_RETENTION_MS: u64 = 8 * 86_400_000;
/// What was read of a model that is up is told again for so long.
const CACHE_TTL_MS: u64 = 500;
/// Wake-ups at once, and who may wait for all of them; who comes beyond is told to come again.
const MAX_WAKE_UPS: usize = 256;
const MAX_WAITERS: usize = 4096;
/// Models that a node remembers demand for.
pub(super) const MAX_MODELS: usize = 16_384;

/// Who waits to hear how a model stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Waiter {
    Operator(u64),
    Peer(u64),
    Frontend(u64),
}

#[derive(Default)]
pub(crate) struct DemandState {
    /// When each model was last wanted, as this node has heard, and when it last told the leader.
    demanded_at: HashMap<String, u64>,
    notified_at: HashMap<String, u64>,
    /// How models stood that were up a moment ago.
    pub(super) cached: HashMap<String, CachedStatus>,
    /// Wake-ups in flight, by model.
    pub(super) wake_ups: HashMap<String, WakeUp>,
    /// Those who wait for all of them.
    pub(super) waiting: usize,
    swept_at: u64,
}

/// The status of a model that was up a moment ago.
pub(super) struct CachedStatus {
    pub(super) at: u64,
    pub(super) status: ModelStatus,
    pub(super) notify_interval_ms: u64,
}

impl DemandState {
    /// When a model was last wanted; 0 for never.
    pub fn last_demand(&self, model: &str) -> u64 {
        self.demanded_at.get(model).copied().unwrap_or(0)
    }

    /// Forgets a model that is gone.
    pub fn forget(&mut self, model: &str) {
        self.demanded_at.remove(model);
        self.notified_at.remove(model);
        self.cached.remove(model);
    }

    /// Forgets how models stood: other rules are in force.
    pub fn forget_cached(&mut self) {
        self.cached.clear();
    }

    /// A model is wanted now.
    pub(super) fn note_demand(&mut self, model: &str, now: u64) {
        if self.demanded_at.len() < MAX_MODELS || self.demanded_at.contains_key(model) {
            self.demanded_at.insert(model.to_owned(), now);
        }
    }
}

impl Node {
    /// A model is wanted: true if this was a request for it to the operators' API.
    pub(crate) fn operator_demand(&mut self, conn: u64, request: &Request) -> bool {
        if request.path != DEMAND || self.tuning.door < 1.0 {
            return false;
        }
        match admin::decode::<Demand>(&request.body) {
            _ if request.method != "POST" => {
                self.deny_demand(Waiter::Operator(conn), 405, "method not allowed")
            }
            Ok(Demand { model }) => self.demand(&model, Waiter::Operator(conn)),
            Err(e) => self.deny_demand(Waiter::Operator(conn), 400, &e.to_string()),
        }
        true
    }

    /// The same from a peer.
    pub(crate) fn peer_demand(&mut self, conn: u64, model: &str, leader: bool) {
        if leader && !self.may_decide() {
            return self.respond(conn, 200, peer::encode(&PeerResponse::NotNow), None);
        }
        self.demand(model, Waiter::Peer(conn));
    }

    /// Somebody wants a model, and is told how it stands once that is sure.
    pub(crate) fn demand(&mut self, model: &str, waiter: Waiter) {
        let now = self.now.mono;
        if !self.models.in_force() || !wire::ids::valid_job_id(model) {
            return self.deny_demand(waiter, 404, "no such model");
        }
        let demand = &mut self.models.demand;
        if let Some(wake_up) = demand.wake_ups.get_mut(model) {
            if demand.waiting >= MAX_WAITERS {
                return self.deny_demand(waiter, 503, "too many ask at once");
            }
            wake_up.waiters.push(waiter);
            demand.waiting += 1;
            return;
        }
        if let Some(cached) = demand
            .cached
            .get(model)
            .filter(|cached| now < cached.at + CACHE_TTL_MS)
        {
            let (status, notify_interval_ms) = (cached.status.clone(), cached.notify_interval_ms);
            demand.note_demand(model, now);
            self.notify_leader(model, notify_interval_ms);
            return self.answer_demand(waiter, &status);
        }
        if demand.wake_ups.len() >= MAX_WAKE_UPS {
            return self.deny_demand(waiter, 503, "too many models are asked for at once");
        }
        // A node that the state service does not serve hands it on, once.
        let forwarded = matches!(waiter, Waiter::Peer(_));
        if self.state_down() && !forwarded && !self.settings.peers.is_empty() {
            return self.forward_demand(model, waiter);
        }
        if self.requests.level(now) < 1.0 {
            return self.deny_demand(waiter, 503, "busy");
        }
        let wake_up = WakeUp::for_waiter(waiter);
        self.models.demand.waiting += 1;
        self.start_wake_up(model, wake_up);
    }

    /// Demand for a model that is up: its leader is told, unless it was not long ago.
    pub(super) fn notify_leader(&mut self, model: &str, notify_interval_ms: u64) {
        let now = self.now.mono;
        if self.leads()
            || self
                .models
                .demand
                .notified_at
                .get(model)
                .is_some_and(|at| now < at + notify_interval_ms)
        {
            return;
        }
        let notified_at = &mut self.models.demand.notified_at;
        if notified_at.len() >= MAX_MODELS {
            notified_at.clear();
        }
        notified_at.insert(model.to_owned(), now);
        let Some(leader) = self.leader_peer() else {
            return self.touch_record(model);
        };
        let body = peer::encode(&PeerRequest::Wake {
            model: model.to_owned(),
            leader: true,
        });
        let pending = Pending::LeaderNotified {
            model: model.to_owned(),
        };
        self.send(
            Destination::Peer(leader),
            "POST",
            peer::PATH.into(),
            body,
            TIMEOUT_MS,
            pending,
        );
    }

    /// Whether the leader has heard of the demand.
    pub(crate) fn leader_notified(&mut self, model: &str, response: Option<Response>) {
        if !matches!(peer_answer(response), Some(PeerResponse::Model(_))) {
            self.touch_record(model);
        }
    }

    /// The leader could not be told, so the record is.
    fn touch_record(&mut self, model: &str) {
        if let Some(wake_up) = self.models.demand.wake_ups.get_mut(model) {
            wake_up.touch = true;
        } else if self.models.demand.wake_ups.len() < MAX_WAKE_UPS
            && self.requests.level(self.now.mono) >= 1.0
        {
            self.start_wake_up(model, WakeUp::for_leader());
        } else {
            // Said again with the next demand.
            self.models.demand.notified_at.remove(model);
        }
    }

    fn forward_demand(&mut self, model: &str, waiter: Waiter) {
        let any = self.rng.usize(0..self.settings.peers.len());
        let to = Destination::Peer(self.leader_peer().unwrap_or(any));
        let body = peer::encode(&PeerRequest::Wake {
            model: model.to_owned(),
            leader: false,
        });
        self.send(
            to,
            "POST",
            peer::PATH.into(),
            body,
            FORWARD_TIMEOUT_MS,
            Pending::WakeForward { waiter },
        );
    }

    /// What a peer has answered to a demand that was handed on.
    pub(crate) fn demand_forwarded(&mut self, waiter: Waiter, response: Option<Response>) {
        match peer_answer(response) {
            Some(PeerResponse::Model(status)) => self.answer_demand(waiter, &status),
            Some(PeerResponse::Refused { status, why }) => {
                self.deny_demand(waiter, status, peer::bounded(&why))
            }
            _ => self.deny_demand(waiter, 503, UNAVAILABLE),
        }
    }

    /// Tells whoever waits how a model stands.
    pub(super) fn answer_demand(&mut self, waiter: Waiter, status: &ModelStatus) {
        match waiter {
            Waiter::Operator(conn) => self.respond(conn, 200, admin::encode(status), None),
            Waiter::Peer(conn) => self.respond(
                conn,
                200,
                peer::encode(&PeerResponse::Model(Box::new(status.clone()))),
                None,
            ),
            Waiter::Frontend(tag) => {
                self.answer_frontend(tag, frontend::Answer::Model(Box::new(status.clone())))
            }
        }
    }

    /// Tells whoever waits why that can't be said.
    pub(super) fn deny_demand(&mut self, waiter: Waiter, status: u16, why: &str) {
        match waiter {
            Waiter::Operator(conn) => {
                let refused = admin::Refused {
                    error: why.to_owned(),
                    ..admin::Refused::default()
                };
                let retry = (status == 503).then_some(1);
                self.respond(conn, status, admin::encode(&refused), retry);
            }
            Waiter::Peer(conn) => self.respond(
                conn,
                200,
                peer::encode(&PeerResponse::refused(status, why)),
                None,
            ),
            Waiter::Frontend(tag) if status == 503 => {
                self.answer_frontend(tag, frontend::Answer::Busy)
            }
            Waiter::Frontend(tag) => self.answer_frontend(tag, frontend::Answer::Refused),
        }
    }

    /// Forgets, now and then, what is too old to matter.
    pub(crate) fn demand_tick(&mut self) {
        let now = self.now.mono;
        let demand = &mut self.models.demand;
        if now < demand.swept_at + SWEEP_INTERVAL_MS {
            return;
        }
        demand.swept_at = now;
        demand
            .cached
            .retain(|_, cached| now < cached.at + CACHE_TTL_MS);
        demand
            .demanded_at
            .retain(|_, at| now < *at + DEMAND_RETENTION_MS);
        demand
            .notified_at
            .retain(|_, at| now < *at + DEMAND_RETENTION_MS);
    }
}
