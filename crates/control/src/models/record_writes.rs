//! The leader's transactions for models' records: each under guards, and sent again until its outcome is known.

use crate::leadership::election::SHARD;
use crate::models::Known;
use crate::state_requests::encode_transaction;
use crate::{Node, Pending};
use model::Rec;
use wire::api::{Guard, Item, Revision, Write};
use wire::http::Response;
use wire::records::{self, Record};

const TIMEOUT_MS: u64 = 1500;

/// A transaction of the leader's: what it writes, or that it takes the record away; and when it is sent again.
pub(super) struct Out {
    rec: Option<Rec>,
    pub(super) busy: bool,
    pub(super) retry_at: u64,
    body: Vec<u8>,
    /// A try was not answered: what stands there has to be read before anything else is written.
    outcome_unknown: bool,
}

impl Node {
    /// One transaction of the leader's about a model: under the guard of its own record, of the model's record as it was
    /// known, and of the job, which must not have ended.
    pub(super) fn write_model(
        &mut self,
        model: &str,
        rec: Option<Rec>,
        stamp: u64,
        job: Option<u64>,
    ) {
        let Some(shard) = &self.shard else { return };
        let key = records::model_key(model);
        let mut guards = vec![
            Guard {
                key: records::leader_key(SHARD),
                version: shard.leader_version,
            },
            Guard {
                key: key.clone(),
                version: stamp,
            },
        ];
        guards.extend(job.map(|version| Guard {
            key: records::live_key(model),
            version,
        }));
        let write = match &rec {
            Some(rec) => Write::put(key, Record::Model(rec.clone())),
            None => Write::Remove { key },
        };
        let body = encode_transaction(guards, vec![write]);
        let out = Out {
            rec,
            busy: false,
            retry_at: 0,
            body,
            outcome_unknown: false,
        };
        self.models.owned.out.insert(model.to_owned(), out);
        self.send_model(model);
    }

    pub(super) fn send_model(&mut self, model: &str) {
        let now = self.now.mono;
        if self.requests.level(now) < 1.0 || self.writes.level(now) < 1.0 {
            return;
        }
        let term = self.term;
        let Some(out) = self.models.owned.out.get_mut(model) else {
            return;
        };
        out.busy = true;
        let what = Pending::ModelWrite {
            term,
            model: model.to_owned(),
        };
        if out.outcome_unknown {
            let path = format!("/keys/{}", records::model_key(model));
            return self.get_state(path, TIMEOUT_MS, what);
        }
        let body = out.body.clone();
        self.writes.take(now, 1.0);
        self.post_transaction(body, TIMEOUT_MS, what);
    }

    /// The end of a transaction, or of the read that follows one whose end is not known.
    pub(crate) fn model_written(&mut self, model: String, response: Option<Response>) {
        let now = self.now.mono;
        let wait = self.rng.u64(100..400);
        let status = response.as_ref().map(|r| r.status);
        let Some(out) = self.models.owned.out.get_mut(&model) else {
            return;
        };
        out.busy = false;
        out.retry_at = now + wait;
        match (out.outcome_unknown, status) {
            (false, Some(200)) => {
                let revision = response.and_then(|r| wire::decode::<Revision>(&r.body).ok());
                let Some(Revision { revision }) = revision else {
                    out.outcome_unknown = true;
                    return;
                };
                let rec = out.rec.clone();
                self.models.owned.out.remove(&model);
                match rec {
                    Some(rec) => {
                        log::info!(
                            "model {model}: {:?}, generation {}",
                            rec.phase,
                            rec.generation
                        );
                        self.model_stands(
                            &model,
                            Known {
                                rec,
                                stamp: revision,
                            },
                        );
                    }
                    None => self.record_gone(&model),
                }
            }
            // Another node has written it meanwhile, or the job has ended: what stands there is read.
            (false, Some(429 | 503)) => {}
            (false, _) => out.outcome_unknown = true,
            (true, Some(200)) => {
                let item = response.and_then(|r| wire::decode::<Item<Rec>>(&r.body).ok());
                let Some(item) = item else { return };
                self.models.owned.out.remove(&model);
                self.model_stands(
                    &model,
                    Known {
                        rec: item.value,
                        stamp: item.version,
                    },
                );
            }
            (true, Some(404)) => {
                self.models.owned.out.remove(&model);
                self.record_gone(&model);
            }
            (true, _) => {}
        }
        self.models.is_due(&model);
    }

    fn record_gone(&mut self, model: &str) {
        self.models.owned.recs.remove(model);
        self.models.owned.kept.remove(model);
        self.models.wakes.forget(model);
    }

    /// Records of jobs that are over go, one at a time.
    pub(super) fn take_over_records(&mut self) {
        let Some(shard) = &self.shard else { return };
        let owned = &mut self.models.owned;
        let Some(model) = owned.over.pop_first() else {
            return;
        };
        let open = shard
            .job_index
            .get(&model)
            .and_then(|ix| shard.job(*ix))
            .is_some_and(|j| !j.is_over());
        let Some(stamp) = owned.recs.get(&model).map(|k| k.stamp).filter(|_| !open) else {
            return;
        };
        if owned.out.contains_key(&model) {
            owned.over.insert(model);
            return;
        }
        // Only of a job that is over: one that was accepted a moment ago may be unknown here.
        self.write_model(&model, None, stamp, Some(0));
    }
}
