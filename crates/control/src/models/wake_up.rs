//! A wake-up serves all who request the same model at this node. It reads the job and the model's record, and begins
//! the next generation if the model is asleep, by one transaction that is guarded by both.

use crate::models::VersionedRecord;
use crate::models::demand::{CachedStatus, MAX_MODELS, UNAVAILABLE, Waiter};
use crate::state_requests::encode_transaction;
use crate::{Node, Pending};
use model::{DemandDecision, Rec, Rule, decide_demand};
use wire::api::{Condition, Item, JobSpec, Revision, Write};
use wire::http::Response;
use wire::models::ModelStatus;
use wire::records::{self, JobRecord, Record};

const TIMEOUT_MS: u64 = 900;
/// The most attempts of a wake-up whose transactions conflict with others or have no known outcome.
const MAX_TRIES: u32 = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WakeUpStep {
    Job,
    Record,
    Write,
}

#[derive(Default)]
pub(super) struct WakeUp {
    /// Who is answered when the wake-up ends.
    pub(super) waiters: Vec<Waiter>,
    /// The leader could not be notified, so the demand has to be written to the record.
    pub(super) must_record_demand: bool,
    tries: u32,
    job: Option<WantedJob>,
    /// The record that is being written.
    record: Option<Rec>,
}

/// The job that a wake-up is for, as it was read.
struct WantedJob {
    spec: Box<JobSpec>,
    rule: Rule,
    /// The version of the job's record, which guards the transaction.
    version: u64,
}

impl WakeUp {
    /// The wake-up for the first request for a model.
    pub fn for_waiter(waiter: Waiter) -> WakeUp {
        WakeUp {
            waiters: vec![waiter],
            ..WakeUp::default()
        }
    }

    /// A wake-up without a waiter: it records a demand that the leader could not be notified of.
    pub fn for_leader() -> WakeUp {
        WakeUp {
            must_record_demand: true,
            ..WakeUp::default()
        }
    }
}

/// A transaction that writes a model's record if neither the record nor the job has changed since they were read.
fn record_transaction(model: &str, record: &Rec, record_version: u64, job_version: u64) -> Vec<u8> {
    let key = records::model_key(model);
    let conditions = vec![
        Condition {
            key: key.clone(),
            version: record_version,
        },
        Condition {
            key: records::live_key(model),
            version: job_version,
        },
    ];
    encode_transaction(
        conditions,
        vec![Write::put(key, Record::Model(record.clone()))],
    )
}

impl Node {
    /// Starts a wake-up: from the leader's memory on the leader, otherwise by reading the records.
    pub(super) fn start_wake_up(&mut self, model: &str, wake_up: WakeUp) {
        self.models
            .demand
            .wake_ups
            .insert(model.to_owned(), wake_up);
        // The leader has read all records, and learns soon enough of changes that it has not made itself.
        let known = self
            .may_decide()
            .then(|| self.models.known(model))
            .flatten();
        let job = self
            .shard
            .as_ref()
            .and_then(|shard| shard.job(shard.jobs.index_of(model)?));
        let job = job
            .filter(|job| !job.is_ending())
            .and_then(|job| Some((job.spec.clone()?, job.version)));
        if let Some((known, (spec, version))) = known.zip(job) {
            if self.rule_found(model, spec, version) {
                self.record_found(model, known);
            }
            return;
        }
        self.read_for_wake_up(model, WakeUpStep::Job);
    }

    fn read_for_wake_up(&mut self, model: &str, step: WakeUpStep) {
        let key = if step == WakeUpStep::Job {
            records::live_key(model)
        } else {
            records::model_key(model)
        };
        let pending = Pending::WakeUp {
            model: model.to_owned(),
            step,
        };
        self.get_state(format!("/keys/{key}"), TIMEOUT_MS, pending);
    }

    /// Finds the rule for the wake-up's job; without one, the wake-up fails and this returns false.
    fn rule_found(&mut self, model: &str, spec: Box<JobSpec>, version: u64) -> bool {
        let rule = self.models.rule(&spec);
        if let Some((wake_up, rule)) = self.models.demand.wake_ups.get_mut(model).zip(rule) {
            wake_up.job = Some(WantedJob {
                spec,
                rule,
                version,
            });
            return true;
        }
        self.fail_wake_up(model, 404, "no rule matches this job, so it is not a model");
        false
    }

    /// Handles the answer to a step of a wake-up that has not ended.
    pub(crate) fn wake_up_received(
        &mut self,
        model: String,
        step: WakeUpStep,
        response: Option<Response>,
    ) {
        if !self.models.demand.wake_ups.contains_key(&model) {
            return;
        }
        match step {
            WakeUpStep::Job => self.wake_up_job_read(&model, response),
            WakeUpStep::Record => self.wake_up_record_read(&model, response),
            WakeUpStep::Write => self.wake_up_written(&model, response),
        }
    }

    fn wake_up_job_read(&mut self, model: &str, response: Option<Response>) {
        match response.as_ref().map(|r| r.status) {
            Some(200) => {}
            Some(404) => {
                self.models.demand.forget(model);
                return self.fail_wake_up(model, 404, "no such job, or it has ended");
            }
            _ => return self.fail_wake_up(model, 503, UNAVAILABLE),
        }
        let Some(item) = self.read_state::<Item<JobRecord>>(response) else {
            return self.fail_wake_up(model, 503, "the record can't be decoded");
        };
        if self.rule_found(model, Box::new(item.value.spec), item.version) {
            self.read_for_wake_up(model, WakeUpStep::Record);
        }
    }

    fn wake_up_record_read(&mut self, model: &str, response: Option<Response>) {
        match response.as_ref().map(|r| r.status) {
            Some(200) => {}
            Some(404) => return self.record_found(model, VersionedRecord::default()),
            _ => return self.fail_wake_up(model, 503, UNAVAILABLE),
        }
        let Some(item) = self.read_state::<Item<Rec>>(response) else {
            return self.fail_wake_up(model, 503, "the record can't be decoded");
        };
        let known = VersionedRecord {
            record: item.value,
            record_version: item.version,
        };
        self.record_found(model, known);
    }

    fn wake_up_written(&mut self, model: &str, response: Option<Response>) {
        match response.as_ref().map(|r| r.status) {
            Some(200) => {}
            // Another node was first or the job has ended (409), or it is not known whether the transaction was made.
            Some(409) | None => return self.retry_wake_up(model),
            _ => return self.fail_wake_up(model, 503, UNAVAILABLE),
        }
        let revision = response.and_then(|r| wire::decode::<Revision>(&r.body).ok());
        let wake_up = self.models.demand.wake_ups.get_mut(model);
        let record = wake_up.and_then(|wake_up| wake_up.record.take());
        let (Some(Revision { revision }), Some(record)) = (revision, record) else {
            return self.retry_wake_up(model);
        };
        if record.phase == model::Phase::Waking {
            log::info!("model {model}: generation {} begins", record.generation);
        }
        if self.may_decide() {
            let known = VersionedRecord {
                record: record.clone(),
                record_version: revision,
            };
            self.record_observed(model, known);
        }
        self.complete_wake_up(model, &record, &DemandDecision::Follow);
    }

    /// Reads the job and the record again: a transaction that was made shows in the record, and one that arrives late
    /// finds another version of the record.
    fn retry_wake_up(&mut self, model: &str) {
        let Some(wake_up) = self.models.demand.wake_ups.get_mut(model) else {
            return;
        };
        wake_up.tries += 1;
        if wake_up.tries >= MAX_TRIES {
            return self.fail_wake_up(model, 503, UNAVAILABLE);
        }
        self.read_for_wake_up(model, WakeUpStep::Job);
    }

    fn record_found(&mut self, model: &str, known: VersionedRecord) {
        let (now, wall) = (self.now.mono, self.now.wall);
        let node = self.settings.node.clone();
        let Some(wake_up) = self.models.demand.wake_ups.get_mut(model) else {
            return;
        };
        let Some(WantedJob {
            spec,
            rule,
            version,
        }) = &wake_up.job
        else {
            return;
        };
        let decision = decide_demand(&known.record, rule, spec.tasks, &node, wall);
        let (version, must_record_demand) = (*version, wake_up.must_record_demand);
        let record = match &decision {
            DemandDecision::Wake(record) => Some((**record).clone()),
            DemandDecision::Follow if must_record_demand => known.record.with_demand_at(wall),
            _ => None,
        };
        let Some(record) = record else {
            return self.complete_wake_up(model, &known.record, &decision);
        };
        if self.requests.available(now) < 1.0 || self.writes.available(now) < 1.0 {
            return self.fail_wake_up(model, 503, "busy");
        }
        self.writes.take(now, 1.0);
        let body = record_transaction(model, &record, known.record_version, version);
        if let Some(wake_up) = self.models.demand.wake_ups.get_mut(model) {
            wake_up.record = Some(record);
        }
        let pending = Pending::WakeUp {
            model: model.to_owned(),
            step: WakeUpStep::Write,
        };
        self.post_transaction(body, TIMEOUT_MS, pending);
    }

    fn remove_wake_up(&mut self, model: &str) -> Option<WakeUp> {
        let wake_up = self.models.demand.wake_ups.remove(model)?;
        self.models.demand.waiting -= wake_up.waiters.len();
        Some(wake_up)
    }

    /// Ends a wake-up and answers all its waiters with the model's status.
    fn complete_wake_up(&mut self, model: &str, record: &Rec, decision: &DemandDecision) {
        let Some(wake_up) = self.remove_wake_up(model) else {
            return;
        };
        let Some(WantedJob { spec, rule, .. }) = &wake_up.job else {
            return;
        };
        let status = self.model_status(spec, record, decision);
        if record.is_up() {
            self.model_is_up(model, rule.demand_refresh_ms(), &wake_up, &status);
        }
        for waiter in wake_up.waiters {
            self.answer_demand(waiter, &status);
        }
    }

    /// Caches the status of a model that is up, for the next requests, and notifies the leader of the demand.
    fn model_is_up(
        &mut self,
        model: &str,
        notify_interval_ms: u64,
        wake_up: &WakeUp,
        status: &ModelStatus,
    ) {
        let now = self.now.mono;
        let demand = &mut self.models.demand;
        if demand.cached.len() >= MAX_MODELS {
            demand.cached.clear();
        }
        let cached = CachedStatus {
            at: now,
            status: status.clone(),
            notify_interval_ms,
        };
        demand.cached.insert(model.to_owned(), cached);
        if !wake_up.waiters.is_empty() {
            demand.note_demand(model, now);
        }
        if !wake_up.must_record_demand {
            self.notify_leader(model, notify_interval_ms);
        }
    }

    fn fail_wake_up(&mut self, model: &str, status: u16, why: &str) {
        let Some(wake_up) = self.remove_wake_up(model) else {
            return;
        };
        for waiter in wake_up.waiters {
            self.refuse_demand(waiter, status, why);
        }
    }
}
