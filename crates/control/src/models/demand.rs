//! Demand for models, at any controller and whether or not there is a leader.
//!
//! Requests are coalesced: a node has one wake-up for all who request the same model ([`crate::models::wake_up`]). It
//! reads the job and the model's record and, if the model is asleep, begins the next generation by one transaction
//! that is guarded by both. A node whose transaction conflicts reads again and follows the record that it finds. A node
//! that sees demand for a model that is up notifies the leader from time to time. If it can't, it writes the demand to
//! the record, so that the guard fails for a sleep that was decided without knowing of it.

use crate::jobs::peer_requests::peer_answer;
use crate::models::wake_up::WakeUp;
use crate::{Destination, Node, Pending, frontend};
use std::collections::HashMap;
use wire::admin;
use wire::http::{Request, Response};
use wire::models::{DEMAND, Demand, ModelStatus};
use wire::peer::{self, PeerRequest, PeerResponse};

/// The answer to waiters while the state service does not serve this node.
pub(super) const UNAVAILABLE: &str = "the state service is not available";
const TIMEOUT_MS: u64 = 900;
const FORWARD_TIMEOUT_MS: u64 = 3000;
/// Interval between removals of old entries.
const SWEEP_INTERVAL_MS: u64 = 10_000;
/// How long demand is remembered: longer than any model may be idle and awake.
const DEMAND_RETENTION_MS: u64 = 8 * 86_400_000;
/// How long the status of a model that is up is served from the cache.
const CACHE_TTL_MS: u64 = 500;
/// The most wake-ups at a time; further requests are refused for now.
const MAX_WAKE_UPS: usize = 256;
/// The most waiters of all wake-ups; further requests are refused for now.
const MAX_WAITERS: usize = 4096;
/// The most models that a node remembers demand for.
pub(super) const MAX_MODELS: usize = 16_384;

/// Who waits for the status of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Waiter {
    Operator(u64),
    Peer(u64),
    Frontend(u64),
}

#[derive(Default)]
pub(crate) struct DemandState {
    /// When this node last saw demand for each model.
    demanded_at: HashMap<String, u64>,
    /// When this node last notified the leader of it.
    notified_at: HashMap<String, u64>,
    /// Statuses of models that were up a moment ago.
    pub(super) cached: HashMap<String, CachedStatus>,
    /// Wake-ups in flight, by model.
    pub(super) wake_ups: HashMap<String, WakeUp>,
    /// The number of waiters of all wake-ups.
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
    /// When this node last saw demand for a model; 0 for never.
    pub fn last_demand(&self, model: &str) -> u64 {
        self.demanded_at.get(model).copied().unwrap_or(0)
    }

    /// Removes all entries of a model that does not exist any more.
    pub fn forget(&mut self, model: &str) {
        self.demanded_at.remove(model);
        self.notified_at.remove(model);
        self.cached.remove(model);
    }

    /// Clears the cache, after the rules have changed.
    pub fn forget_cached(&mut self) {
        self.cached.clear();
    }

    /// Notes demand for a model.
    pub(super) fn note_demand(&mut self, model: &str, now: u64) {
        if self.demanded_at.len() < MAX_MODELS || self.demanded_at.contains_key(model) {
            self.demanded_at.insert(model.to_owned(), now);
        }
    }
}

impl Node {
    /// Serves a request of the operators' API for a model; false if the request is another one.
    pub(crate) fn operator_demand(&mut self, conn: u64, request: &Request) -> bool {
        if request.path != DEMAND || self.tuning.door < 1.0 {
            return false;
        }
        match admin::decode::<Demand>(&request.body) {
            _ if request.method != "POST" => {
                self.refuse_demand(Waiter::Operator(conn), 405, "method not allowed")
            }
            Ok(Demand { model }) => self.demand(&model, Waiter::Operator(conn)),
            Err(e) => self.refuse_demand(Waiter::Operator(conn), 400, &e.to_string()),
        }
        true
    }

    /// Serves a peer's request for a model; one that is meant for the leader only is refused by other nodes.
    pub(crate) fn peer_demand(&mut self, conn: u64, model: &str, leader: bool) {
        if leader && !self.may_decide() {
            return self.respond(conn, 200, peer::encode(&PeerResponse::NotNow), None);
        }
        self.demand(model, Waiter::Peer(conn));
    }

    /// Serves demand for a model; the waiter is answered once the model's status is certain.
    pub(crate) fn demand(&mut self, model: &str, waiter: Waiter) {
        let now = self.now.mono;
        if !self.models.in_force() || !wire::ids::valid_job_id(model) {
            return self.refuse_demand(waiter, 404, "no such model");
        }
        let demand = &mut self.models.demand;
        if let Some(wake_up) = demand.wake_ups.get_mut(model) {
            if demand.waiting >= MAX_WAITERS {
                return self.refuse_demand(waiter, 503, "too many requests are waiting");
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
            return self.refuse_demand(waiter, 503, "too many models are being woken up");
        }
        // A node that the state service does not serve forwards the demand, at most once.
        let forwarded = matches!(waiter, Waiter::Peer(_));
        if self.state_down() && !forwarded && !self.settings.peers.is_empty() {
            return self.forward_demand(model, waiter);
        }
        if self.requests.available(now) < 1.0 {
            return self.refuse_demand(waiter, 503, "busy");
        }
        let wake_up = WakeUp::for_waiter(waiter);
        self.models.demand.waiting += 1;
        self.start_wake_up(model, wake_up);
    }

    /// Notifies the leader of demand for a model that is up, unless this was done a short time ago.
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
            return self.write_demand_to_record(model);
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

    /// Handles the leader's answer to a notification of demand.
    pub(crate) fn leader_notified(&mut self, model: &str, response: Option<Response>) {
        if !matches!(peer_answer(response), Some(PeerResponse::Model(_))) {
            self.write_demand_to_record(model);
        }
    }

    /// Writes demand to the record, since the leader could not be notified.
    fn write_demand_to_record(&mut self, model: &str) {
        if let Some(wake_up) = self.models.demand.wake_ups.get_mut(model) {
            wake_up.must_record_demand = true;
        } else if self.models.demand.wake_ups.len() < MAX_WAKE_UPS
            && self.requests.available(self.now.mono) >= 1.0
        {
            self.start_wake_up(model, WakeUp::for_leader());
        } else {
            // The next demand tries again.
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
            Pending::ForwardedDemand { waiter },
        );
    }

    /// Handles a peer's answer to demand that was forwarded to it.
    pub(crate) fn demand_forwarded(&mut self, waiter: Waiter, response: Option<Response>) {
        match peer_answer(response) {
            Some(PeerResponse::Model(status)) => self.answer_demand(waiter, &status),
            Some(PeerResponse::Refused { status, why }) => {
                self.refuse_demand(waiter, status, peer::bounded(&why))
            }
            _ => self.refuse_demand(waiter, 503, UNAVAILABLE),
        }
    }

    /// Answers a waiter with the status of a model.
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

    /// Refuses a waiter's request.
    pub(super) fn refuse_demand(&mut self, waiter: Waiter, status: u16, why: &str) {
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

    /// Removes old entries from time to time.
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
