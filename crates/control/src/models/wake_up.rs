//! A wake-up: one request for all at this node who want the same model. It reads the job and the model's record, and
//! begins the next generation where the model is asleep, by one transaction that is guarded by both.

use crate::models::Known;
use crate::models::demand::{Fresh, MOST_HEARD, UNAVAILABLE, Waiter};
use crate::state_requests::encode_transaction;
use crate::{Node, Pending};
use model::{Asked, Rec, Rule, asked};
use wire::api::{Guard, Item, JobSpec, Revision, Write};
use wire::http::Response;
use wire::models::Told;
use wire::records::{self, JobRecord, Record};

const TIMEOUT_MS: u64 = 900;
/// Times that a flight begins anew after it was overtaken.
const MOST_TRIES: u32 = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    Job,
    Record,
    Write,
}

#[derive(Default)]
pub(super) struct Flight {
    pub(super) waiters: Vec<Waiter>,
    /// The leader could not be told: the record is to say that the model is wanted.
    pub(super) touch: bool,
    tries: u32,
    job: Option<(Box<JobSpec>, Rule, u64)>,
    /// What is being written.
    rec: Option<Rec>,
}

impl Flight {
    pub fn for_waiter(waiter: Waiter) -> Flight {
        Flight {
            waiters: vec![waiter],
            ..Flight::default()
        }
    }

    /// Nobody waits for it: it writes down a demand that the leader could not be told of.
    pub fn for_leader() -> Flight {
        Flight {
            touch: true,
            ..Flight::default()
        }
    }
}

/// Writes a model's record, if neither the record nor its job has changed since they were read.
fn record_transaction(model: &str, rec: &Rec, stamp: u64, job_version: u64) -> Vec<u8> {
    let key = records::model_key(model);
    let guards = vec![
        Guard {
            key: key.clone(),
            version: stamp,
        },
        Guard {
            key: records::live_key(model),
            version: job_version,
        },
    ];
    encode_transaction(guards, vec![Write::put(key, Record::Model(rec.clone()))])
}

impl Node {
    pub(super) fn take_off(&mut self, model: &str, flight: Flight) {
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
        self.get_state(format!("/keys/{key}"), TIMEOUT_MS, what);
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
        match step {
            Step::Job => self.job_of_flight_read(&model, response),
            Step::Record => self.record_of_flight_read(&model, response),
            Step::Write => self.flight_written(&model, response),
        }
    }

    fn job_of_flight_read(&mut self, model: &str, response: Option<Response>) {
        match response.as_ref().map(|r| r.status) {
            Some(200) => {}
            Some(404) => {
                self.models.wakes.forget(model);
                return self.flight_fails(model, 404, "no such job, or it has ended");
            }
            _ => return self.flight_fails(model, 503, UNAVAILABLE),
        }
        let Some(item) = self.read_state::<Item<JobRecord>>(response) else {
            return self.flight_fails(model, 503, "unreadable record");
        };
        if self.rule_found(model, Box::new(item.value.spec), item.version) {
            self.flight_reads(model, Step::Record);
        }
    }

    fn record_of_flight_read(&mut self, model: &str, response: Option<Response>) {
        match response.as_ref().map(|r| r.status) {
            Some(200) => {}
            Some(404) => return self.record_found(model, Known::default()),
            _ => return self.flight_fails(model, 503, UNAVAILABLE),
        }
        let Some(item) = self.read_state::<Item<Rec>>(response) else {
            return self.flight_fails(model, 503, "unreadable record");
        };
        let known = Known {
            rec: item.value,
            stamp: item.version,
        };
        self.record_found(model, known);
    }

    fn flight_written(&mut self, model: &str, response: Option<Response>) {
        match response.as_ref().map(|r| r.status) {
            Some(200) => {}
            // Somebody else was first, or the job has ended; or nobody can say whether this one went through.
            Some(409) | None => return self.flight_again(model),
            _ => return self.flight_fails(model, 503, UNAVAILABLE),
        }
        let revision = response.and_then(|r| wire::decode::<Revision>(&r.body).ok());
        let flight = self.models.wakes.flights.get_mut(model);
        let rec = flight.and_then(|flight| flight.rec.take());
        let (Some(Revision { revision }), Some(rec)) = (revision, rec) else {
            return self.flight_again(model);
        };
        if rec.phase == model::Phase::Waking {
            log::info!("model {model}: generation {} begins", rec.generation);
        }
        if self.may_decide() {
            let known = Known {
                rec: rec.clone(),
                stamp: revision,
            };
            self.record_observed(model, known);
        }
        self.flight_lands(model, &rec, &Asked::Follow);
    }

    /// Reads again what stands there: a transaction that may have gone through shows there, and one that comes late
    /// finds another stamp.
    fn flight_again(&mut self, model: &str) {
        let Some(flight) = self.models.wakes.flights.get_mut(model) else {
            return;
        };
        flight.tries += 1;
        if flight.tries >= MOST_TRIES {
            return self.flight_fails(model, 503, UNAVAILABLE);
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
        let body = record_transaction(model, &rec, known.stamp, version);
        if let Some(flight) = self.models.wakes.flights.get_mut(model) {
            flight.rec = Some(rec);
        }
        let what = Pending::Wake {
            model: model.to_owned(),
            step: Step::Write,
        };
        self.post_transaction(body, TIMEOUT_MS, what);
    }

    fn flight_over(&mut self, model: &str) -> Option<Flight> {
        let flight = self.models.wakes.flights.remove(model)?;
        self.models.wakes.waiting -= flight.waiters.len();
        Some(flight)
    }

    /// The model stands so: everybody who waits is told.
    fn flight_lands(&mut self, model: &str, rec: &Rec, asked: &Asked) {
        let Some(flight) = self.flight_over(model) else {
            return;
        };
        let Some((spec, rule, _)) = &flight.job else {
            return;
        };
        let told = self.model_status(spec, rec, asked);
        if rec.is_up() {
            self.model_is_up(model, rule.say_again_ms(), &flight, &told);
        }
        for waiter in flight.waiters {
            self.tell_demand(waiter, &told);
        }
    }

    /// Remembers how a model stands that is up, for those who ask next, and tells the leader of the demand.
    fn model_is_up(&mut self, model: &str, say_again_ms: u64, flight: &Flight, told: &Told) {
        let now = self.now.mono;
        let wakes = &mut self.models.wakes;
        if wakes.told.len() >= MOST_HEARD {
            wakes.told.clear();
        }
        let fresh = Fresh {
            at: now,
            told: told.clone(),
            say_again_ms,
        };
        wakes.told.insert(model.to_owned(), fresh);
        if !flight.waiters.is_empty() {
            wakes.hears(model, now);
        }
        if !flight.touch {
            self.notify_leader(model, say_again_ms);
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
}
