//! Admission of submissions. Any controller admits them, by one transaction with the state service, so that a repeated
//! submission is accepted once.

use crate::jobs::feasibility::Infeasible;
use crate::jobs::forwarding::ForwardedRequest;
use crate::jobs::job::unstarted;
use crate::jobs::query::Purpose;
use crate::leadership::election::SHARD;
use crate::{Destination, Node, Pending, Requester};
use std::ops::Range;
use wire::api::{Condition, Conflict, JobSpec, Transaction, Write};
use wire::http::Response;
use wire::peer::PeerRequest;
use wire::records::{self, JobRecord, Record};
use wire::submission::{self, Fault, Malformed};

const ACCEPT_TIMEOUT_MS: u64 = 700;
/// A submission that the state service was too busy for is tried again so often, for so long, each time after this long.
const MAX_RETRIES: u32 = 3;
const RETRY_WINDOW_MS: u64 = 700;
const RETRY_DELAY_MS: Range<u64> = 60..200;
/// Users wait 5 s for a submission, of which our own try has taken some.
const FORWARDED_SUBMIT_DEADLINE_MS: u64 = 3500;

/// A submission that is being accepted, since when, and how often that was tried before.
pub(crate) struct Submission {
    pub requester: Requester,
    pub spec: Box<JobSpec>,
    pub at: u64,
    pub tries: u32,
}

/// Whether nothing but another version of a document stood against a transaction.
fn only_heads_failed(response: &Response) -> bool {
    let failed = wire::decode::<Conflict>(&response.body)
        .map(|c| c.failed)
        .unwrap_or_default();
    !failed.is_empty() && failed.iter().all(|key| key.starts_with(records::SHARED))
}

/// Guards that hold only while the job is neither live nor ended.
fn absence_conditions(id: &str) -> [Condition; 2] {
    let is_absent = |key| Condition { key, version: 0 };
    [records::live_key(id), records::end_key(id)].map(is_absent)
}

impl Node {
    /// What a user sent as a submission.
    pub(super) fn submission_received(&mut self, conn: u64, body: &[u8]) {
        let read = submission::read(body);
        let id = read
            .as_ref()
            .map_or_else(|m| m.id.as_deref(), |spec| Some(&spec.id));
        if id.is_some_and(|id| self.is_reserved_for_frontend(conn, id)) {
            let fault = Fault {
                field: "nameId",
                why: "is reserved",
            };
            return self.refuse(conn, 400, &fault.to_string());
        }
        match read {
            Ok(spec) => self.submit(Requester::User(conn), spec),
            Err(Malformed {
                fault,
                id: Some(id),
            }) => self.malformed(Requester::User(conn), id, fault),
            Err(Malformed { fault, id: None }) => self.refuse(conn, 400, &fault.to_string()),
        }
    }

    /// A submission with a fault. A repeat of an accepted job is told its state whatever came with its id.
    fn malformed(&mut self, requester: Requester, id: String, fault: Fault) {
        if !wire::ids::valid_job_id(&id) {
            return self.answer_error(requester, 400, &fault.to_string());
        }
        self.query_for(requester, id, Purpose::Malformed(fault));
    }

    /// A submission of a user, or one that a peer forwards for its user.
    pub(super) fn submit(&mut self, requester: Requester, spec: JobSpec) {
        if let Err(fault) = self.check_form(&spec) {
            return self.malformed(requester, spec.id, fault);
        }
        if let Some(state) = self.final_states.get(&spec.id) {
            return self.tell(requester, state);
        }
        if self.catalog().is_none() {
            return self.submit_without_catalog(requester, spec);
        }
        if self.leads_and_knows(&spec.id) {
            return self.query_for(requester, spec.id, Purpose::Query);
        }
        if self.state_down()
            && let Requester::User(conn) = requester
        {
            return self.forward_submission(conn, Box::new(spec));
        }
        let now = self.now.mono;
        // What can never run writes nothing.
        let writes = self.validated(&spec, self.now.wall).is_ok();
        if !self.has_room_to_admit(requester, writes) {
            return self.answer_error(requester, 429, "busy");
        }
        // The leader sees all accepts, its own too, and counts them when they have been made.
        let counted_here = writes && !self.leads();
        self.writes.take(now, if counted_here { 1.0 } else { 0.0 });
        self.accept(Submission {
            requester,
            spec: Box::new(spec),
            at: now,
            tries: 0,
        });
    }

    /// Whether a submission is one at all, whatever is in force now.
    fn check_form(&self, spec: &JobSpec) -> Result<(), Fault> {
        spec.check()?;
        // Where smaller limits are to come, what was accepted under larger ones must not be refused: the judgement says
        // it, under the conditions of the job's absence.
        if self.write_limits.are_tight() {
            return Ok(());
        }
        // As it is without what is bound to it: a repeat must not be refused for a later document.
        let rec = JobRecord::new(spec.clone(), self.now.wall, SHARD);
        if self.is_storable(&rec) {
            Ok(())
        } else {
            Err(Fault::body("too large to be kept"))
        }
    }

    /// This node has only begun, and another may know the machine types.
    fn submit_without_catalog(&mut self, requester: Requester, spec: JobSpec) {
        match requester {
            Requester::User(conn) => self.forward_submission(conn, Box::new(spec)),
            Requester::Peer(_) => self.answer_error(requester, 503, "machine types not known yet"),
        }
    }

    /// Whether the leader, while it is sure of its lease, has the job in memory.
    fn leads_and_knows(&self, id: &str) -> bool {
        let shard = self.shard.as_ref().filter(|_| self.may_decide());
        shard.is_some_and(|shard| shard.jobs.contains(id))
    }

    /// Whether the state service may be asked for one more submission now.
    fn has_room_to_admit(&mut self, requester: Requester, writes: bool) -> bool {
        let conn = match requester {
            Requester::User(conn) => Some(conn),
            Requester::Peer(_) => None,
        };
        if writes {
            self.has_room_for(conn)
        } else {
            self.requests.level(self.now.mono) >= 1.0
        }
    }

    /// Accepts a job, or refuses it for good: both in one transaction, which holds only if the job is not known yet
    /// and the documents that it was judged by are in force.
    fn accept(&mut self, submission: Submission) {
        let Submission {
            requester,
            spec,
            at,
            ..
        } = &submission;
        // The acceptance counts from the first try.
        let wall = self.now.wall - (self.now.mono - at);
        // What can be bound, and to what, is for the versions in force to say.
        let Some(mut conditions) = self.head_conditions() else {
            // A peer has read what this node has not yet.
            return match requester {
                Requester::User(conn) if self.shared.revision == 0 => {
                    self.forward_submission(*conn, submission.spec)
                }
                _ => self.retry_accept_later(submission),
            };
        };
        conditions.extend(absence_conditions(&spec.id));
        // Judged each time: between two tries another version may have come into force.
        let (writes, denied) = match self.validated(spec, wall) {
            Ok(rec) => {
                let record = Record::Job(Box::new(rec));
                (vec![Write::put(records::live_key(&spec.id), record)], None)
            }
            Err(why) => (Vec::new(), Some(why)),
        };
        let body = wire::encode(&Transaction { conditions, writes });
        let what = Pending::Accept {
            submission,
            denied,
            mark: self.answer_history.mark(),
        };
        self.send(
            Destination::State,
            "POST",
            "/txn".into(),
            body,
            ACCEPT_TIMEOUT_MS,
            what,
        );
    }

    /// Once more in a moment, if there is time for it.
    fn retry_accept_later(&mut self, submission: Submission) {
        let now = self.now.mono;
        let Submission {
            requester,
            at,
            tries,
            ..
        } = submission;
        if tries >= MAX_RETRIES || now >= at + RETRY_WINDOW_MS {
            // It may be accepted all the same: the retry will be told.
            return self.answer_error(requester, 503, "state service not available");
        }
        let again = now + self.rng.u64(RETRY_DELAY_MS);
        self.retries.push_back((
            again,
            Submission {
                tries: tries + 1,
                ..submission
            },
        ));
    }

    /// The state service has answered a transaction of [`Node::accept`], or not.
    pub(crate) fn accept_answered(
        &mut self,
        submission: Submission,
        denied: Option<Infeasible>,
        mark: u64,
        response: Option<Response>,
    ) {
        let requester = submission.requester;
        match (response.as_ref().map(|r| r.status), denied) {
            // Only this node may be refused, or not heard: another may take the job at once. Should our own try
            // have gone through, it will find the job known.
            (None | Some(503), _) if let Requester::User(conn) = requester => {
                self.forward_submission(conn, submission.spec)
            }
            // The denial is as old as its transaction: what this node has told since is newer.
            (Some(200), Some(_)) if self.answer_history.since(&submission.spec.id, mark) => {
                self.query_for(requester, submission.spec.id, Purpose::Resubmission)
            }
            (Some(200), Some(why)) => {
                log::debug!("job {}: can never run: {why}", submission.spec.id);
                self.answer_error(requester, 422, &format!("can never run: {why}"))
            }
            (Some(200), None) => {
                self.stats.accepted += 1;
                log::debug!("job {}: accepted", submission.spec.id);
                self.answer_accepted(requester, unstarted(submission.spec.id))
            }
            // Judged and bound by a version that is no longer in force, and neither accepted nor refused.
            (Some(409), _) if response.is_some_and(|r| only_heads_failed(&r)) => {
                self.reread_shared(0);
                self.retry_accept_later(submission)
            }
            (Some(409), _) => self.query_for(requester, submission.spec.id, Purpose::Resubmission),
            (Some(429 | 503), _) => self.retry_accept_later(submission),
            // It may be accepted all the same: the retry will be told.
            _ => self.answer_error(requester, 503, "state service not available"),
        }
    }

    fn forward_submission(&mut self, conn: u64, spec: Box<JobSpec>) {
        let deadline = self.now.mono + FORWARDED_SUBMIT_DEADLINE_MS;
        self.forward(ForwardedRequest {
            conn,
            ask: Box::new(PeerRequest::Submit { spec }),
            deadline,
            fault: None,
        });
    }

    /// Tries again what the state service was too busy for.
    pub(crate) fn admission_tick(&mut self) {
        let now = self.now.mono;
        for _ in 0..self.retries.len() {
            let Some((due, submission)) = self.retries.pop_front() else {
                return;
            };
            if due <= now {
                self.accept(submission);
            } else {
                self.retries.push_back((due, submission));
            }
        }
    }
}
