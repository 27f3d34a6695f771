//! Demand for models, at any controller and whether or not there is a leader.
//!
//! Of all who ask for one model at one node, one flight goes out: it reads the job and the model's record, and where
//! the model is asleep it begins the next generation by one transaction, guarded by both. Whoever loses reads again and
//! follows what stands there. A node that hears of demand for a model that is up tells the leader now and then; where
//! it can't, it says so in the record, and a sleep that was decided without it fails on its guard.

use crate::jobs::admission::peer_answer;
use crate::models::Known;
use crate::{Destination, Node, Pending, frontend};
use model::{Asked, Rec, Rule, asked};
use std::collections::HashMap;
use wire::admin;
use wire::api::{Condition, Item, JobSpec, Revision, Transaction, Write};
use wire::http::{Request, Response};
use wire::models::{DEMAND, Demand, ModelStatus};
use wire::peer::{self, PeerRequest, PeerResponse};
use wire::records::{self, JobRecord, Record};

const TIMEOUT_MS: u64 = 900;
const FORWARD_TIMEOUT_MS: u64 = 3000;
/// What was read of a model that is up is told again for so long.
const FRESH_MS: u64 = 500;
/// Flights at once, and who may wait for all of them; who comes beyond is told to come again.
const MOST_FLIGHTS: usize = 256;
const MOST_WAITING: usize = 4096;
/// Times that a flight begins anew after it was overtaken.
const MOST_TRIES: u32 = 5;
/// Models that a node remembers demand for.
const MOST_HEARD: usize = 16_384;

/// Who waits to hear how a model stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Waiter {
    Door(u64),
    Peer(u64),
    Frontend(u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    Job,
    Record,
    Write,
}

#[derive(Default)]
pub(crate) struct Wakes {
    /// When each model was last wanted, as this node has heard, and when it last told the leader.
    heard: HashMap<String, u64>,
    said: HashMap<String, u64>,
    /// How models stood that were up a moment ago.
    told: HashMap<String, Fresh>,
    flights: HashMap<String, Flight>,
    waiting: usize,
    swept_at: u64,
}

struct Fresh {
    at: u64,
    told: ModelStatus,
    say_again_ms: u64,
}

#[derive(Default)]
struct Flight {
    waiters: Vec<Waiter>,
    /// The leader could not be told: the record is to say that the model is wanted.
    touch: bool,
    tries: u32,
    job: Option<(Box<JobSpec>, Rule, u64)>,
    /// What is being written.
    rec: Option<Rec>,
}

impl Wakes {
    /// When a model was last wanted; 0 for never.
    pub fn heard(&self, model: &str) -> u64 {
        self.heard.get(model).copied().unwrap_or(0)
    }

    pub fn forget(&mut self, model: &str) {
        self.heard.remove(model);
        self.said.remove(model);
        self.told.remove(model);
    }

    pub fn forget_told(&mut self) {
        self.told.clear();
    }

    fn hears(&mut self, model: &str, now: u64) {
        if self.heard.len() < MOST_HEARD || self.heard.contains_key(model) {
            self.heard.insert(model.to_owned(), now);
        }
    }
}

impl Node {
    /// A model is wanted: true if this was a request for it at the operators' door.
    pub(crate) fn demand_at_door(&mut self, conn: u64, request: &Request) -> bool {
        if request.path != DEMAND || self.tuning.door < 1.0 {
            return false;
        }
        match admin::decode::<Demand>(&request.body) {
            _ if request.method != "POST" => {
                self.deny_demand(Waiter::Door(conn), 405, "method not allowed")
            }
            Ok(Demand { model }) => self.demand(&model, Waiter::Door(conn)),
            Err(e) => self.deny_demand(Waiter::Door(conn), 400, &e.to_string()),
        }
        true
    }

    /// The same from a peer.
    pub(crate) fn demand_of_peer(&mut self, conn: u64, model: &str, leader: bool) {
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
        let wakes = &mut self.models.wakes;
        if let Some(flight) = wakes.flights.get_mut(model) {
            if wakes.waiting >= MOST_WAITING {
                return self.deny_demand(waiter, 503, "too many ask at once");
            }
            flight.waiters.push(waiter);
            wakes.waiting += 1;
            return;
        }
        if let Some(fresh) = wakes.told.get(model).filter(|f| now < f.at + FRESH_MS) {
            let (told, again) = (fresh.told.clone(), fresh.say_again_ms);
            wakes.hears(model, now);
            self.notify_leader(model, again);
            return self.tell_demand(waiter, &told);
        }
        if wakes.flights.len() >= MOST_FLIGHTS {
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
        let flight = Flight {
            waiters: vec![waiter],
            ..Flight::default()
        };
        self.models.wakes.waiting += 1;
        self.take_off(model, flight);
    }

    fn take_off(&mut self, model: &str, flight: Flight) {
        self.models.wakes.flights.insert(model.to_owned(), flight);
        // The leader has read all, and knows of each change that it has not made itself soon enough.
        let here = self
            .may_decide()
            .then(|| self.models.known(model))
            .flatten();
        let job = self
            .shard
            .as_ref()
            .and_then(|p| p.job(*p.job_index.get(model)?));
        let job = job
            .filter(|j| !j.is_ending())
            .and_then(|j| Some((j.spec.clone()?, j.version)));
        if let Some((known, (spec, version))) = here.zip(job) {
            if self.rule_found(model, spec, version) {
                self.record_found(model, known);
            }
            return;
        }
        self.flight_reads(model, Step::Job);
    }

    fn flight_reads(&mut self, model: &str, step: Step) {
        let key = if step == Step::Job {
            records::live_key(model)
        } else {
            records::model_key(model)
        };
        let what = Pending::Wake {
            model: model.to_owned(),
            step,
        };
        self.send(
            Destination::State,
            "GET",
            format!("/keys/{key}"),
            Vec::new(),
            TIMEOUT_MS,
            what,
        );
    }

    /// The rule that the flight's job belongs to; without one the flight ends.
    fn rule_found(&mut self, model: &str, spec: Box<JobSpec>, version: u64) -> bool {
        let rule = self.models.rule(&spec);
        if let Some((flight, rule)) = self.models.wakes.flights.get_mut(model).zip(rule) {
            flight.job = Some((spec, rule, version));
            return true;
        }
        self.flight_fails(model, 404, "no rule makes it a model");
        false
    }

    pub(crate) fn wake_received(&mut self, model: String, step: Step, response: Option<Response>) {
        if !self.models.wakes.flights.contains_key(&model) {
            return;
        }
        let status = response.as_ref().map(|r| r.status);
        match (step, status) {
            (Step::Job, Some(200)) => {
                let item = response.and_then(|r| self.read::<Item<JobRecord>>("state service", &r));
                let Some(item) = item else {
                    return self.flight_fails(&model, 503, "unreadable record");
                };
                if self.rule_found(&model, Box::new(item.value.spec), item.version) {
                    self.flight_reads(&model, Step::Record);
                }
            }
            (Step::Job, Some(404)) => {
                self.models.wakes.forget(&model);
                self.flight_fails(&model, 404, "no such job, or it has ended")
            }
            (Step::Record, Some(200)) => {
                let item = response.and_then(|r| self.read::<Item<Rec>>("state service", &r));
                let Some(item) = item else {
                    return self.flight_fails(&model, 503, "unreadable record");
                };
                self.record_found(
                    &model,
                    Known {
                        rec: item.value,
                        stamp: item.version,
                    },
                );
            }
            (Step::Record, Some(404)) => self.record_found(&model, Known::default()),
            (Step::Write, Some(200)) => {
                let revision = response.and_then(|r| wire::decode::<Revision>(&r.body).ok());
                let rec = self
                    .models
                    .wakes
                    .flights
                    .get_mut(&model)
                    .and_then(|f| f.rec.take());
                let (Some(Revision { revision }), Some(rec)) = (revision, rec) else {
                    return self.flight_again(&model);
                };
                if rec.phase == model::Phase::Waking {
                    log::info!("model {model}: generation {} begins", rec.generation);
                }
                if self.may_decide() {
                    self.model_stands(
                        &model,
                        Known {
                            rec: rec.clone(),
                            stamp: revision,
                        },
                    );
                }
                self.flight_lands(&model, &rec, &Asked::Follow);
            }
            // Somebody else was first, or the job has ended; or nobody can say whether this one went through.
            (Step::Write, Some(409) | None) => self.flight_again(&model),
            _ => self.flight_fails(&model, 503, "state service not available"),
        }
    }

    /// Reads again what stands there: a transaction that may have gone through shows there, and one that comes late
    /// finds another stamp.
    fn flight_again(&mut self, model: &str) {
        let Some(flight) = self.models.wakes.flights.get_mut(model) else {
            return;
        };
        flight.tries += 1;
        if flight.tries >= MOST_TRIES {
            return self.flight_fails(model, 503, "state service not available");
        }
        self.flight_reads(model, Step::Job);
    }

    fn record_found(&mut self, model: &str, known: Known) {
        let (now, wall) = (self.now.mono, self.now.wall);
        let node = self.settings.node.clone();
        let Some(flight) = self.models.wakes.flights.get_mut(model) else {
            return;
        };
        let Some((spec, rule, version)) = &flight.job else {
            return;
        };
        let asked = asked(&known.rec, rule, spec.tasks, &node, wall);
        let (version, touch) = (*version, flight.touch);
        let rec = match &asked {
            Asked::Wake(rec) => Some((**rec).clone()),
            Asked::Follow if touch => known.rec.touched(wall),
            _ => None,
        };
        let Some(rec) = rec else {
            return self.flight_lands(model, &known.rec, &asked);
        };
        if self.requests.level(now) < 1.0 || self.writes.level(now) < 1.0 {
            return self.flight_fails(model, 503, "busy");
        }
        self.writes.take(now, 1.0);
        let key = records::model_key(model);
        let guards = vec![
            Condition {
                key: key.clone(),
                version: known.stamp,
            },
            Condition {
                key: records::live_key(model),
                version,
            },
        ];
        let body = wire::encode(&Transaction {
            conditions: guards,
            writes: vec![Write::put(key, Record::Model(rec.clone()))],
        });
        if let Some(flight) = self.models.wakes.flights.get_mut(model) {
            flight.rec = Some(rec);
        }
        let what = Pending::Wake {
            model: model.to_owned(),
            step: Step::Write,
        };
        self.send(
            Destination::State,
            "POST",
            "/txn".into(),
            body,
            TIMEOUT_MS,
            what,
        );
    }

    fn flight_over(&mut self, model: &str) -> Option<Flight> {
        let flight = self.models.wakes.flights.remove(model)?;
        self.models.wakes.waiting -= flight.waiters.len();
        Some(flight)
    }

    /// The model stands so: everybody who waits is told.
    fn flight_lands(&mut self, model: &str, rec: &Rec, asked: &Asked) {
        let now = self.now.mono;
        let Some(flight) = self.flight_over(model) else {
            return;
        };
        let Some((spec, rule, _)) = &flight.job else {
            return;
        };
        let told = self.model_told(spec, rec, asked);
        if rec.is_up() {
            let again = rule.say_again_ms();
            let wakes = &mut self.models.wakes;
            if wakes.told.len() >= MOST_HEARD {
                wakes.told.clear();
            }
            wakes.told.insert(
                model.to_owned(),
                Fresh {
                    at: now,
                    told: told.clone(),
                    say_again_ms: again,
                },
            );
            if !flight.waiters.is_empty() {
                wakes.hears(model, now);
            }
            if !flight.touch {
                self.notify_leader(model, again);
            }
        }
        for waiter in flight.waiters {
            self.tell_demand(waiter, &told);
        }
    }

    fn flight_fails(&mut self, model: &str, status: u16, why: &str) {
        let Some(flight) = self.flight_over(model) else {
            return;
        };
        for waiter in flight.waiters {
            self.deny_demand(waiter, status, why);
        }
    }

    /// Demand for a model that is up: its leader is told, unless it was not long ago.
    fn notify_leader(&mut self, model: &str, again_ms: u64) {
        let now = self.now.mono;
        if self.leads()
            || self
                .models
                .wakes
                .said
                .get(model)
                .is_some_and(|at| now < at + again_ms)
        {
            return;
        }
        let said = &mut self.models.wakes.said;
        if said.len() >= MOST_HEARD {
            said.clear();
        }
        said.insert(model.to_owned(), now);
        let Some(leader) = self.leader_peer() else {
            return self.touch_record(model);
        };
        let body = peer::encode(&PeerRequest::Wake {
            model: model.to_owned(),
            leader: true,
        });
        let what = Pending::LeaderNotified {
            model: model.to_owned(),
        };
        self.send(
            Destination::Peer(leader),
            "POST",
            peer::PATH.into(),
            body,
            TIMEOUT_MS,
            what,
        );
    }

    pub(crate) fn leader_notified(&mut self, model: &str, response: Option<Response>) {
        if !matches!(peer_answer(response), Some(PeerResponse::Model(_))) {
            self.touch_record(model);
        }
    }

    /// The leader could not be told, so the record is.
    fn touch_record(&mut self, model: &str) {
        if let Some(flight) = self.models.wakes.flights.get_mut(model) {
            flight.touch = true;
        } else if self.models.wakes.flights.len() < MOST_FLIGHTS
            && self.requests.level(self.now.mono) >= 1.0
        {
            self.take_off(
                model,
                Flight {
                    touch: true,
                    ..Flight::default()
                },
            );
        } else {
            // Said again with the next demand.
            self.models.wakes.said.remove(model);
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

    pub(crate) fn demand_forwarded(&mut self, waiter: Waiter, response: Option<Response>) {
        match peer_answer(response) {
            Some(PeerResponse::Model(told)) => self.tell_demand(waiter, &told),
            Some(PeerResponse::Refused { status, why }) => {
                self.deny_demand(waiter, status, peer::bounded(&why))
            }
            _ => self.deny_demand(waiter, 503, "state service not available"),
        }
    }

    fn tell_demand(&mut self, waiter: Waiter, told: &ModelStatus) {
        match waiter {
            Waiter::Door(conn) => self.respond(conn, 200, admin::encode(told), None),
            Waiter::Peer(conn) => self.respond(
                conn,
                200,
                peer::encode(&PeerResponse::Model(Box::new(told.clone()))),
                None,
            ),
            Waiter::Frontend(tag) => {
                self.frontend_over(tag, frontend::Answer::Model(Box::new(told.clone())))
            }
        }
    }

    fn deny_demand(&mut self, waiter: Waiter, status: u16, why: &str) {
        match waiter {
            Waiter::Door(conn) => {
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
                self.frontend_over(tag, frontend::Answer::Busy)
            }
            Waiter::Frontend(tag) => self.frontend_over(tag, frontend::Answer::Refused),
        }
    }

    /// Forgets, now and then, what is too old to matter.
    pub(crate) fn wakes_tick(&mut self) {
        let now = self.now.mono;
        let wakes = &mut self.models.wakes;
        if now < wakes.swept_at + 10_000 {
            return;
        }
        wakes.swept_at = now;
        wakes.told.retain(|_, f| now < f.at + FRESH_MS);
        // Longer than any model may be idle and awake.
        let week = 8 * 86_400_000;
        wakes.heard.retain(|_, at| now < *at + week);
        wakes.said.retain(|_, at| now < *at + week);
    }
}
