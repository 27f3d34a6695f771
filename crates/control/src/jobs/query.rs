//! Queries of job states. A query is answered from cached final states, by the leader while its lease is valid, or from
//! a fresh read of the state service, made by this node or by a peer that the service answers. All steps share one
//! deadline.

use crate::jobs::forwarding::ForwardedRequest;
use crate::jobs::job::{Job, unstarted};
use crate::jobs::peer_requests::peer_answer;
use crate::{Destination, Node, Pending, Requester};
use wire::api::{Item, JobState};
use wire::http::Response;
use wire::peer::{PeerRequest, PeerResponse};
use wire::records::{self, EndRecord};
use wire::submission::Fault;

/// Why a job's state is looked up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A query by a user.
    Query,
    /// A resubmission of a known job, to be answered with its current state.
    Resubmission,
    /// A malformed submission. A job with its id may have been accepted before.
    Malformed(Fault),
    /// A cancellation of a job that the leader does not hold in memory.
    Cancel,
}

/// A lookup of a job that is not answered yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Lookup {
    pub requester: Requester,
    pub job: String,
    pub purpose: Purpose,
    /// The requester does not wait beyond this time.
    pub deadline: u64,
    /// The leader has been asked, or need not be asked.
    pub past_leader: bool,
    /// [`crate::jobs::answer_history::AnswerHistory::mark`] at the start of its reads.
    pub answer_mark: u64,
}

/// Users wait 2 s for a state, and a peer that asks on behalf of a user waits less.
const USER_DEADLINE_MS: u64 = 1800;
const PEER_DEADLINE_MS: u64 = 1000;
const READ_TIMEOUT_MS: u64 = 900;
const LEADER_TIMEOUT_MS: u64 = 700;
/// Minimum timeout of a request. With less time left, the job is not read again.
const MIN_REMAINING_MS: u64 = 50;

impl Lookup {
    fn timeout(&self, now: u64, max_ms: u64) -> u64 {
        self.deadline
            .saturating_sub(now)
            .clamp(MIN_REMAINING_MS, max_ms)
    }

    /// The user's connection, if another node could answer as well as this one.
    fn user(&self) -> Option<u64> {
        match self.requester {
            Requester::User(conn) if !matches!(self.purpose, Purpose::Cancel) => Some(conn),
            _ => None,
        }
    }
}

impl Node {
    /// A lookup that starts now.
    pub(crate) fn new_lookup(&self, requester: Requester, job: String, purpose: Purpose) -> Lookup {
        let wait_ms = if matches!(requester, Requester::User(_)) {
            USER_DEADLINE_MS
        } else {
            PEER_DEADLINE_MS
        };
        Lookup {
            requester,
            job,
            purpose,
            deadline: self.now.mono + wait_ms,
            past_leader: false,
            answer_mark: 0,
        }
    }

    /// Looks up a job's state for a requester.
    pub(crate) fn query_for(&mut self, requester: Requester, id: String, purpose: Purpose) {
        let lookup = self.new_lookup(requester, id, purpose);
        self.query(lookup);
    }

    /// Performs a lookup: from local knowledge, else by the leader, else by a read of the state service.
    pub(crate) fn query(&mut self, mut lookup: Lookup) {
        if !wire::ids::valid_job_id(&lookup.job) {
            return self.answer_error(lookup.requester, 404, "no such job");
        }
        if let Some(state) = self.local_state(&lookup.job) {
            return self.answer_state(lookup.requester, state);
        }
        lookup.past_leader |= self.leads();
        let now = self.now.mono;
        let leader = self
            .leader_peer()
            .filter(|peer| !lookup.past_leader && !self.responsiveness.is_backing_off(*peer, now));
        match leader {
            Some(peer) => {
                let request = PeerRequest::Query {
                    job: lookup.job.clone(),
                };
                let timeout = lookup.timeout(now, LEADER_TIMEOUT_MS);
                let pending = Pending::PeerQuery {
                    lookup,
                    peer,
                    sent: now,
                };
                self.send_peer_request(peer, &request, timeout, pending);
            }
            None => self.read_job(lookup),
        }
    }

    /// The state of a job as far as this node knows it without a request.
    fn local_state(&self, id: &str) -> Option<JobState> {
        self.final_states
            .get(id)
            .or_else(|| self.state_as_leader(id))
    }

    /// Whether this node, as the leader, has read the job's record.
    fn has_loaded_job(&self, id: &str) -> bool {
        let shard = self.shard.as_ref();
        let job = shard.and_then(|shard| shard.job(shard.jobs.index_of(id)?));
        job.is_some_and(|job| job.spec.is_some())
    }

    /// The state of a job in the leader's memory, while its lease is valid. A job that has been loaded is live even
    /// before recovery is complete, since only the leader can end it. A job whose end record is being written is left
    /// out: others may have read and reported its end already.
    pub(crate) fn state_as_leader(&self, id: &str) -> Option<JobState> {
        let shard = self.shard.as_ref().filter(|_| self.has_valid_lease())?;
        let known = |j: &&Job| j.spec.is_some() && !j.may_have_ended();
        shard
            .job(shard.jobs.index_of(id)?)
            .filter(known)
            .map(Job::state)
    }

    /// Handles the leader's answer to a query. Without a state in it, the record is read.
    pub(crate) fn query_answered(
        &mut self,
        mut lookup: Lookup,
        peer: usize,
        sent: u64,
        response: Option<Response>,
    ) {
        self.record_peer_outcome(peer, sent, response.is_some());
        match peer_answer(response) {
            Some(PeerResponse::State(state)) if state.id == lookup.job => {
                self.answer_state(lookup.requester, state)
            }
            _ => {
                lookup.past_leader = true;
                self.read_job(lookup)
            }
        }
    }

    /// Looks the job up in the state service, first under its live key and then under its end key. Jobs only move in
    /// that direction, so a job under neither key was never accepted.
    pub(crate) fn read_job(&mut self, mut lookup: Lookup) {
        let now = self.now.mono;
        lookup.answer_mark = self.answer_history.mark();
        // If the state service does not answer this node, or its request budget is used up, a peer is asked instead.
        if let Some(conn) = lookup.user()
            && (self.state_down() || self.requests.available(now) < 1.0)
        {
            return self.forward_lookup(conn, lookup);
        }
        if self.requests.available(now) < 1.0 {
            return self.refuse_unanswered(&lookup, "busy");
        }
        let timeout = lookup.timeout(now, READ_TIMEOUT_MS);
        let key = records::live_key(&lookup.job);
        self.read_key(&key, timeout, Pending::ReadLive { lookup });
    }

    fn read_key(&mut self, key: &str, timeout_ms: u64, pending: Pending) {
        let path = format!("/keys/{key}");
        self.send(
            Destination::State,
            "GET",
            path,
            Vec::new(),
            timeout_ms,
            pending,
        );
    }

    /// Handles the read of the job's live record.
    pub(crate) fn live_record_received(&mut self, lookup: Lookup, response: Option<Response>) {
        match response.map(|r| r.status) {
            Some(200) if lookup.purpose == Purpose::Cancel && self.has_loaded_job(&lookup.job) => {
                self.cancel(&lookup.job, lookup.requester)
            }
            Some(200) if lookup.purpose == Purpose::Cancel => self.answer_error(
                lookup.requester,
                503,
                "the leader has not loaded the job yet",
            ),
            Some(200) => {
                let known = self.local_state(&lookup.job);
                let state = known.unwrap_or(unstarted(lookup.job));
                self.answer_state(lookup.requester, state);
            }
            Some(404) => {
                let timeout = lookup.timeout(self.now.mono, READ_TIMEOUT_MS);
                let key = records::end_key(&lookup.job);
                self.read_key(&key, timeout, Pending::ReadEnd { lookup });
            }
            status => self.read_failed(lookup, status),
        }
    }

    /// Handles the read of the job's end record.
    pub(crate) fn end_record_received(&mut self, lookup: Lookup, response: Option<Response>) {
        let response = match response {
            Some(r) if r.status == 200 => r,
            Some(r) if r.status == 404 => return self.not_found(lookup),
            other => return self.read_failed(lookup, other.map(|r| r.status)),
        };
        let Some(item) = self.decode_answer::<Item<EndRecord>>("state service", &response) else {
            return self.refuse_unanswered(&lookup, "unreadable record");
        };
        let EndRecord { stage, done, .. } = item.value;
        let state = JobState {
            id: lookup.job,
            stage,
            done,
            running: 0,
        };
        self.answer_state(lookup.requester, state)
    }

    /// The job is under neither key. Whatever this node has learned since the reads began is newer and takes
    /// precedence.
    fn not_found(&mut self, lookup: Lookup) {
        if lookup.purpose == Purpose::Cancel && self.has_loaded_job(&lookup.job) {
            return self.cancel(&lookup.job, lookup.requester);
        }
        if let Some(state) = self.local_state(&lookup.job) {
            return self.answer_state(lookup.requester, state);
        }
        if self.has_loaded_job(&lookup.job)
            || self
                .answer_history
                .may_have_answered_since(&lookup.job, lookup.answer_mark)
        {
            return self.reread_job(lookup);
        }
        match lookup.purpose {
            Purpose::Malformed(fault) => {
                self.answer_error(lookup.requester, 400, &fault.to_string())
            }
            // Its record made the acceptance fail a moment ago and is not found now. A retry by the user will be
            // decided anew.
            Purpose::Resubmission => self.answer_error(lookup.requester, 503, "undecided"),
            Purpose::Query | Purpose::Cancel => {
                self.answer_error(lookup.requester, 404, "no such job")
            }
        }
    }

    /// Reads the job again if there is time before the deadline.
    fn reread_job(&mut self, lookup: Lookup) {
        if self.now.mono + MIN_REMAINING_MS < lookup.deadline {
            self.read_job(lookup)
        } else {
            self.refuse_unanswered(&lookup, "undecided")
        }
    }

    /// The state service gave no usable answer. If it was silent or refused with 503, that may concern only this node,
    /// so a peer is asked on behalf of a user.
    fn read_failed(&mut self, lookup: Lookup, status: Option<u16>) {
        match lookup.user().filter(|_| matches!(status, None | Some(503))) {
            Some(conn) => self.forward_lookup(conn, lookup),
            None => self.refuse_unanswered(&lookup, "the state service is not available"),
        }
    }

    /// Forwards a lookup to a peer that the state service may be answering.
    fn forward_lookup(&mut self, conn: u64, lookup: Lookup) {
        let request = PeerRequest::Lookup {
            job: lookup.job,
            past_leader: lookup.past_leader,
        };
        let fault = match lookup.purpose {
            Purpose::Malformed(fault) => Some(fault),
            _ => None,
        };
        self.forward(ForwardedRequest {
            conn,
            request: Box::new(request),
            deadline: lookup.deadline,
            fault,
        });
    }

    /// Refuses a lookup that could not be answered, and counts it.
    fn refuse_unanswered(&mut self, lookup: &Lookup, why: &str) {
        self.stats.unanswered += 1;
        self.answer_error(lookup.requester, 503, why);
    }
}
