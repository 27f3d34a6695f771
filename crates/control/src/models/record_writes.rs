//! The leader's guarded transactions for models' records, which are retried until their outcome is known.

use crate::leadership::election::SHARD;
use crate::models::VersionedRecord;
use crate::state_requests::encode_transaction;
use crate::{Node, Pending};
use model::Rec;
use std::ops::Range;
use wire::api::{Condition, Item, Revision, Write};
use wire::http::Response;
use wire::records::{self, Record};

const TIMEOUT_MS: u64 = 1500;
/// Delay before a transaction is sent again.
const RETRY_MS: Range<u64> = 100..400;

/// A transaction of the leader: the record that it writes (`None` if it removes the record), and when it is sent again.
pub(super) struct RecordWrite {
    record: Option<Rec>,
    body: Vec<u8>,
    step: WriteStep,
    state: SendState,
}

enum WriteStep {
    Transaction,
    /// The transaction failed or was not answered: the record has to be read before anything else is written.
    ReadBack,
}

enum SendState {
    /// Not sent before this time.
    Due {
        at: u64,
    },
    InFlight,
}

impl RecordWrite {
    /// Whether it is to be sent now.
    pub fn is_due(&self, now: u64) -> bool {
        matches!(self.state, SendState::Due { at } if at <= now)
    }
}

impl Node {
    /// Starts a transaction for a model's record. Its guards are the leader's record, the known version of the model's
    /// record, and the version of the job's record if one is given (0: the job must not exist).
    pub(super) fn write_record(
        &mut self,
        model: &str,
        record: Option<Rec>,
        record_version: u64,
        job_version: Option<u64>,
    ) {
        let Some(shard) = &self.shard else { return };
        let key = records::model_key(model);
        let mut conditions = vec![
            Condition {
                key: records::leader_key(SHARD),
                version: shard.leader_version,
            },
            Condition {
                key: key.clone(),
                version: record_version,
            },
        ];
        conditions.extend(job_version.map(|version| Condition {
            key: records::live_key(model),
            version,
        }));
        let change = match &record {
            Some(record) => Write::put(key, Record::Model(record.clone())),
            None => Write::Remove { key },
        };
        let body = encode_transaction(conditions, vec![change]);
        let write = RecordWrite {
            record,
            body,
            step: WriteStep::Transaction,
            state: SendState::Due { at: 0 },
        };
        self.models
            .leader_state
            .writes
            .insert(model.to_owned(), write);
        self.send_record_write(model);
    }

    /// Sends a transaction, or the read that determines its outcome, if the rate budgets have room.
    pub(super) fn send_record_write(&mut self, model: &str) {
        let now = self.now.mono;
        if self.requests.available(now) < 1.0 || self.writes.available(now) < 1.0 {
            return;
        }
        let term = self.term;
        let Some(write) = self.models.leader_state.writes.get_mut(model) else {
            return;
        };
        write.state = SendState::InFlight;
        let pending = Pending::ModelWrite {
            term,
            model: model.to_owned(),
        };
        if let WriteStep::ReadBack = write.step {
            let path = format!("/keys/{}", records::model_key(model));
            return self.get_state(path, TIMEOUT_MS, pending);
        }
        let body = write.body.clone();
        self.writes.take(now, 1.0);
        self.post_transaction(body, TIMEOUT_MS, pending);
    }

    /// Handles the answer to a transaction, or to the read that determines its outcome.
    pub(crate) fn model_written(&mut self, model: String, response: Option<Response>) {
        let now = self.now.mono;
        let delay_ms = self.rng.u64(RETRY_MS);
        let Some(write) = self.models.leader_state.writes.get_mut(&model) else {
            return;
        };
        write.state = SendState::Due { at: now + delay_ms };
        let is_decoded = match write.step {
            WriteStep::Transaction => self.transaction_answered(&model, response),
            WriteStep::ReadBack => self.record_read_back(&model, response),
        };
        if is_decoded {
            self.models.mark_for_check(&model);
        }
    }

    /// Returns false if the transaction was made but its answer can't be decoded.
    fn transaction_answered(&mut self, model: &str, response: Option<Response>) -> bool {
        let status = response.as_ref().map(|response| response.status);
        let Some(write) = self.models.leader_state.writes.get_mut(model) else {
            return true;
        };
        match status {
            Some(200) => {}
            Some(429 | 503) => return true,
            // Another node has written the record or the job has ended, or nothing is known: the record is read.
            _ => {
                write.step = WriteStep::ReadBack;
                return true;
            }
        }
        let revision = response.and_then(|r| wire::decode::<Revision>(&r.body).ok());
        let Some(Revision { revision }) = revision else {
            write.step = WriteStep::ReadBack;
            return false;
        };
        let record = write.record.take();
        self.models.leader_state.writes.remove(model);
        match record {
            Some(record) => self.record_written(model, record, revision),
            None => self.record_removed(model),
        }
        true
    }

    fn record_written(&mut self, model: &str, record: Rec, record_version: u64) {
        let (phase, generation) = (record.phase, record.generation);
        log::info!("model {model}: {phase:?}, generation {generation}");
        self.record_observed(
            model,
            VersionedRecord {
                record,
                record_version,
            },
        );
    }

    /// Handles the record that was read to learn the outcome of a transaction; false if it can't be decoded.
    fn record_read_back(&mut self, model: &str, response: Option<Response>) -> bool {
        match response.as_ref().map(|response| response.status) {
            Some(200) => {}
            Some(404) => {
                self.models.leader_state.writes.remove(model);
                self.record_removed(model);
                return true;
            }
            _ => return true,
        }
        let item = response.and_then(|r| wire::decode::<Item<Rec>>(&r.body).ok());
        let Some(item) = item else { return false };
        self.models.leader_state.writes.remove(model);
        let known = VersionedRecord {
            record: item.value,
            record_version: item.version,
        };
        self.record_observed(model, known);
        true
    }

    fn record_removed(&mut self, model: &str) {
        self.models.leader_state.records.remove(model);
        self.models.leader_state.retained_machines.remove(model);
        self.models.demand.forget(model);
    }

    /// Removes the record of one model whose job is over.
    pub(super) fn remove_ended_record(&mut self) {
        let Some(shard) = &self.shard else { return };
        let leader_state = &mut self.models.leader_state;
        let Some(model) = leader_state.ended_models.pop_first() else {
            return;
        };
        let is_live = shard
            .jobs
            .index_of(&model)
            .and_then(|job_index| shard.job(job_index))
            .is_some_and(|job| !job.is_end_recorded());
        let Some(record_version) = leader_state
            .records
            .get(&model)
            .map(|known| known.record_version)
            .filter(|_| !is_live)
        else {
            return;
        };
        if leader_state.writes.contains_key(&model) {
            leader_state.ended_models.insert(model);
            return;
        }
        // The guard requires that the job has no record: this node may not know yet of a job that was accepted a moment
        // ago.
        self.write_record(&model, None, record_version, Some(0));
    }
}
