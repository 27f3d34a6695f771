//! Admission of submitted jobs. Any controller can admit a job, by one conditional transaction with the state service,
//! so that a repeated submission is accepted only once.

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
/// Maximum number of retries of a submission that the state service was too busy for.
const MAX_RETRIES: u32 = 3;
/// No retry is scheduled after this time since the first attempt.
const RETRY_WINDOW_MS: u64 = 700;
/// Delay before each retry.
const RETRY_DELAY_MS: Range<u64> = 60..200;
/// Time left for a forwarded submission. Users wait 5 s, of which this node's own attempt has used a part.
const FORWARDED_SUBMIT_DEADLINE_MS: u64 = 3500;

/// A submission that is being accepted, with the time of the first attempt and the number of earlier ones.
pub(crate) struct Submission {
    pub requester: Requester,
    pub spec: Box<JobSpec>,
    pub started_at: u64,
    pub retries: u32,
}

/// Whether a transaction failed only on conditions about the versions of documents.
fn only_heads_failed(response: &Response) -> bool {
    let failed = wire::decode::<Conflict>(&response.body)
        .map(|c| c.failed)
        .unwrap_or_default();
    !failed.is_empty() && failed.iter().all(|key| key.starts_with(records::SHARED))
}

/// Conditions that hold only while the job has neither a live record nor an end record.
fn absence_conditions(id: &str) -> [Condition; 2] {
    let is_absent = |key| Condition { key, version: 0 };
    [records::live_key(id), records::end_key(id)].map(is_absent)
}

impl Node {
    /// Handles a submission by a user.
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

    /// Handles a malformed submission. If a job with its id was accepted before, the answer is the state of that job.
    fn malformed(&mut self, requester: Requester, id: String, fault: Fault) {
        if !wire::ids::valid_job_id(&id) {
            return self.answer_error(requester, 400, &fault.to_string());
        }
        self.query_for(requester, id, Purpose::Malformed(fault));
    }

    /// Handles a well-formed submission, from a user or forwarded by a peer.
    pub(super) fn submit(&mut self, requester: Requester, spec: JobSpec) {
        if let Err(fault) = self.check_form(&spec) {
            return self.malformed(requester, spec.id, fault);
        }
        if let Some(state) = self.final_states.get(&spec.id) {
            return self.answer_state(requester, state);
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
        // The transaction for an infeasible job has conditions only and writes nothing.
        let writes = self.validated(&spec, self.now.wall).is_ok();
        if !self.has_room_to_admit(requester, writes) {
            return self.answer_error(requester, 429, "busy");
        }
        // The leader watches all acceptances, its own included, and charges them to its write budget when it sees them.
        let counted_here = writes && !self.leads();
        self.writes.take(now, if counted_here { 1.0 } else { 0.0 });
        self.accept(Submission {
            requester,
            spec: Box::new(spec),
            started_at: now,
            retries: 0,
        });
    }

    /// Checks what does not depend on the documents and machine types in force.
    fn check_form(&self, spec: &JobSpec) -> Result<(), Fault> {
        spec.check()?;
        // With tighter limits announced, a job that was accepted under the earlier limits must not be refused on
        // resubmission. The size is then checked with the feasibility, which is conditional on the job's absence.
        if self.write_limits.are_tight() {
            return Ok(());
        }
        // Measured without the data bound at acceptance: a resubmission must not be refused because of a later
        // document.
        let rec = JobRecord::new(spec.clone(), self.now.wall, SHARD);
        if self.is_storable(&rec) {
            Ok(())
        } else {
            Err(Fault::body("too large to be kept"))
        }
    }

    /// Handles a submission while this node, just started, does not know the machine types. A peer may know them.
    fn submit_without_catalog(&mut self, requester: Requester, spec: JobSpec) {
        match requester {
            Requester::User(conn) => self.forward_submission(conn, Box::new(spec)),
            Requester::Peer(_) => self.answer_error(requester, 503, "machine types not known yet"),
        }
    }

    /// Whether this node is the leader, may decide, and has the job in memory.
    fn leads_and_knows(&self, id: &str) -> bool {
        let shard = self.shard.as_ref().filter(|_| self.may_decide());
        shard.is_some_and(|shard| shard.jobs.contains(id))
    }

    /// Whether the request budget, and for a write the write budget, allows one more submission now.
    fn has_room_to_admit(&mut self, requester: Requester, writes: bool) -> bool {
        let conn = match requester {
            Requester::User(conn) => Some(conn),
            Requester::Peer(_) => None,
        };
        if writes {
            self.has_room_for(conn)
        } else {
            self.requests.available(self.now.mono) >= 1.0
        }
    }

    /// Accepts a job, or refuses it as infeasible. Both take one transaction, whose conditions are that the job is not
    /// known yet and that the documents it was checked against are still in force.
    fn accept(&mut self, submission: Submission) {
        let Submission {
            requester,
            spec,
            started_at,
            ..
        } = &submission;
        // The time of acceptance is that of the first attempt.
        let wall = self.now.wall - (self.now.mono - started_at);
        // What is bound to the job depends on the document versions in force, so these must be known.
        let Some(mut conditions) = self.head_conditions() else {
            // This node has not read the shared state yet; a peer may have.
            return match requester {
                Requester::User(conn) if self.shared.revision == 0 => {
                    self.forward_submission(*conn, submission.spec)
                }
                _ => self.retry_accept_later(submission),
            };
        };
        conditions.extend(absence_conditions(&spec.id));
        // Checked on each attempt, since another document version may have come into force meanwhile.
        let (writes, infeasible) = match self.validated(spec, wall) {
            Ok(rec) => {
                let record = Record::Job(Box::new(rec));
                (vec![Write::put(records::live_key(&spec.id), record)], None)
            }
            Err(why) => (Vec::new(), Some(why)),
        };
        let body = wire::encode(&Transaction { conditions, writes });
        let pending = Pending::Accept {
            submission,
            infeasible,
            answer_mark: self.answer_history.mark(),
        };
        self.send(
            Destination::State,
            "POST",
            "/txn".into(),
            body,
            ACCEPT_TIMEOUT_MS,
            pending,
        );
    }

    /// Schedules another attempt after a random delay, if retries and time are left.
    fn retry_accept_later(&mut self, submission: Submission) {
        let now = self.now.mono;
        let Submission {
            requester,
            started_at,
            retries,
            ..
        } = submission;
        if retries >= MAX_RETRIES || now >= started_at + RETRY_WINDOW_MS {
            // An earlier attempt may have been accepted; a retry by the requester gets the outcome.
            return self.answer_error(requester, 503, "the state service is not available");
        }
        let due = now + self.rng.u64(RETRY_DELAY_MS);
        self.retries.push_back((
            due,
            Submission {
                retries: retries + 1,
                ..submission
            },
        ));
    }

    /// Handles the state service's answer to a transaction of [`Node::accept`], or its absence.
    pub(crate) fn accept_answered(
        &mut self,
        submission: Submission,
        infeasible: Option<Infeasible>,
        answer_mark: u64,
        response: Option<Response>,
    ) {
        let requester = submission.requester;
        match (response.as_ref().map(|r| r.status), infeasible) {
            // The state service may be unavailable to this node only, so another may accept the job at once. If our own
            // transaction has succeeded, that node will find the job known.
            (None | Some(503), _) if let Requester::User(conn) = requester => {
                self.forward_submission(conn, submission.spec)
            }
            // The refusal is as old as its transaction, so whatever this node has answered since takes precedence.
            (Some(200), Some(_))
                if self
                    .answer_history
                    .may_have_answered_since(&submission.spec.id, answer_mark) =>
            {
                self.query_for(requester, submission.spec.id, Purpose::Resubmission)
            }
            (Some(200), Some(why)) => {
                log::debug!("job {}: refused, can never run: {why}", submission.spec.id);
                self.answer_error(requester, 422, &format!("can never run: {why}"))
            }
            (Some(200), None) => {
                self.stats.accepted += 1;
                log::debug!("job {}: accepted", submission.spec.id);
                self.answer_accepted(requester, unstarted(submission.spec.id))
            }
            // Checked against a document version that is no longer in force: neither accepted nor refused.
            (Some(409), _) if response.is_some_and(|r| only_heads_failed(&r)) => {
                self.reread_shared(0);
                self.retry_accept_later(submission)
            }
            (Some(409), _) => self.query_for(requester, submission.spec.id, Purpose::Resubmission),
            (Some(429 | 503), _) => self.retry_accept_later(submission),
            // The job may have been accepted; a retry by the requester gets the outcome.
            _ => self.answer_error(requester, 503, "the state service is not available"),
        }
    }

    fn forward_submission(&mut self, conn: u64, spec: Box<JobSpec>) {
        let deadline = self.now.mono + FORWARDED_SUBMIT_DEADLINE_MS;
        self.forward(ForwardedRequest {
            conn,
            request: Box::new(PeerRequest::Submit { spec }),
            deadline,
            fault: None,
        });
    }

    /// Repeats the submissions whose retry delay has passed.
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
