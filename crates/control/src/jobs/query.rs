//! Questions about jobs. They are answered from known ends, by the leader while it is sure of its lease, or from a
//! fresh read of the state service, by this node or by a peer that is served; each step takes what time is left.

use crate::jobs::admission::peer_answer;
use crate::jobs::forwarding::ForwardedRequest;
use crate::jobs::job::Job;
use crate::{Destination, Node, Pending, Requester};
use wire::api::{Item, JobState, Stage};
use wire::http::Response;
use wire::peer::{self, PeerRequest, PeerResponse};
use wire::records::{self, EndRecord};
use wire::submission::Fault;

/// Why a job's state is looked up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Why {
    /// A user asks.
    Query,
    /// A repeated submission, to be answered with the current state.
    Known,
    /// A submission with a fault. Its job may have been accepted all the same.
    Malformed(Fault),
    /// A cancel of a job that the leader does not know.
    Cancel,
}

/// A question that is still to be answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Question {
    pub requester: Requester,
    pub job: String,
    pub why: Why,
    /// Whoever asks waits until then.
    pub until: u64,
    /// The leader has been asked, or need not be.
    pub past_leader: bool,
    /// What had been said here when its reads began.
    pub mark: u64,
}

/// Users wait 2 s for a state, and peers that ask for them less.
const USER_WAITS_MS: u64 = 1800;
const PEER_WAITS_MS: u64 = 1000;
const READ_TIMEOUT_MS: u64 = 900;
const OWNER_TIMEOUT_MS: u64 = 700;
/// With less time left than this, nobody else is asked.
const LEAST_MS: u64 = 50;

impl Question {
    fn timeout(&self, now: u64, most: u64) -> u64 {
        self.until.saturating_sub(now).clamp(LEAST_MS, most)
    }

    /// The user that another node may answer as well as this one.
    fn user(&self) -> Option<u64> {
        match self.requester {
            Requester::User(conn) if !matches!(self.why, Why::Cancel) => Some(conn),
            _ => None,
        }
    }
}

impl Node {
    pub(crate) fn question(&self, requester: Requester, job: String, why: Why) -> Question {
        let waits = if matches!(requester, Requester::User(_)) {
            USER_WAITS_MS
        } else {
            PEER_WAITS_MS
        };
        Question {
            requester,
            job,
            why,
            until: self.now.mono + waits,
            past_leader: false,
            mark: 0,
        }
    }

    pub(crate) fn query_for(&mut self, requester: Requester, id: String, why: Why) {
        let question = self.question(requester, id, why);
        self.query(question);
    }

    pub(crate) fn query(&mut self, mut q: Question) {
        if !wire::ids::valid_job_id(&q.job) {
            return self.deny(q.requester, 404, "no such job");
        }
        if let Some(state) = self.known_here(&q.job) {
            return self.tell(q.requester, state);
        }
        q.past_leader |= self.leads();
        let now = self.now.mono;
        match self
            .leader_peer()
            .filter(|p| !q.past_leader && !self.responsiveness.rests(*p, now))
        {
            Some(peer) => {
                let body = peer::encode(&PeerRequest::Query { job: q.job.clone() });
                let timeout = q.timeout(now, OWNER_TIMEOUT_MS);
                let what = Pending::PeerQuery {
                    question: q,
                    peer,
                    sent: now,
                };
                self.send(
                    Destination::Peer(peer),
                    "POST",
                    peer::PATH.into(),
                    body,
                    timeout,
                    what,
                );
            }
            None => self.read_job(q),
        }
    }

    /// What is known without asking anybody.
    fn known_here(&self, id: &str) -> Option<JobState> {
        self.final_states.get(id).or_else(|| self.state_here(id))
    }

    /// Whether the leader has read the job.
    fn holds(&self, id: &str) -> bool {
        let job = self
            .shard
            .as_ref()
            .and_then(|p| p.job(*p.job_index.get(id)?));
        job.is_some_and(|j| j.spec.is_some())
    }

    /// What the leader knows, while it is sure. Jobs that it has read back are live even before all else has been read:
    /// nobody but itself can end them. One whose end is on its way may have ended: others may have read and told so.
    pub(crate) fn state_here(&self, id: &str) -> Option<JobState> {
        let shard = self.shard.as_ref().filter(|_| self.has_valid_lease())?;
        let known = |j: &&Job| j.spec.is_some() && !j.may_be_over();
        shard
            .job(*shard.job_index.get(id)?)
            .filter(known)
            .map(Job::state)
    }

    pub(crate) fn peer_queried(
        &mut self,
        mut q: Question,
        peer: usize,
        sent: u64,
        r: Option<Response>,
    ) {
        self.peer_heard(peer, sent, r.is_some());
        match peer_answer(r) {
            Some(PeerResponse::State(state)) if state.id == q.job => self.tell(q.requester, state),
            _ => {
                q.past_leader = true;
                self.read_job(q)
            }
        }
    }

    /// Looks the job up in the state service: first among the live, then among the ended, since jobs only
    /// move that way; a job that is in neither was never accepted.
    pub(crate) fn read_job(&mut self, mut q: Question) {
        let now = self.now.mono;
        q.mark = self.answer_history.mark();
        // A node that is not served, or has asked for all that it may, leaves it to another.
        if let Some(conn) = q.user()
            && (self.state_down() || self.requests.level(now) < 1.0)
        {
            return self.look_elsewhere(conn, q);
        }
        if self.requests.level(now) < 1.0 {
            return self.unanswered(&q, "busy");
        }
        let path = format!("/keys/{}", records::live_key(&q.job));
        let timeout = q.timeout(now, READ_TIMEOUT_MS);
        self.send(
            Destination::State,
            "GET",
            path,
            Vec::new(),
            timeout,
            Pending::ReadLive { question: q },
        );
    }

    pub(crate) fn live_read(&mut self, q: Question, r: Option<Response>) {
        match r.map(|r| r.status) {
            Some(200) if q.why == Why::Cancel && self.holds(&q.job) => {
                self.cancel(&q.job, q.requester)
            }
            Some(200) if q.why == Why::Cancel => {
                self.deny(q.requester, 503, "the owner does not know the job yet")
            }
            Some(200) => {
                let read = || JobState {
                    id: q.job.clone(),
                    stage: Stage::Pending,
                    done: 0,
                    running: 0,
                };
                let state = self.known_here(&q.job).unwrap_or_else(read);
                self.tell(q.requester, state);
            }
            Some(404) => {
                let path = format!("/keys/{}", records::end_key(&q.job));
                let timeout = q.timeout(self.now.mono, READ_TIMEOUT_MS);
                self.send(
                    Destination::State,
                    "GET",
                    path,
                    Vec::new(),
                    timeout,
                    Pending::ReadEnd { question: q },
                );
            }
            status => self.unread(q, status),
        }
    }

    pub(crate) fn end_read(&mut self, q: Question, r: Option<Response>) {
        let r = match r {
            Some(r) if r.status == 200 || r.status == 404 => r,
            r => return self.unread(q, r.map(|r| r.status)),
        };
        if r.status == 200 {
            let Some(item) = self.read::<Item<EndRecord>>("state service", &r) else {
                return self.unanswered(&q, "unreadable record");
            };
            let EndRecord { stage, done, .. } = item.value;
            return self.tell(
                q.requester,
                JobState {
                    id: q.job,
                    stage,
                    done,
                    running: 0,
                },
            );
        }
        self.not_found(q)
    }

    /// A job was in neither place. What this node has learned since it began to look is newer.
    fn not_found(&mut self, q: Question) {
        if q.why == Why::Cancel && self.holds(&q.job) {
            return self.cancel(&q.job, q.requester);
        }
        if let Some(state) = self.known_here(&q.job) {
            return self.tell(q.requester, state);
        }
        if self.holds(&q.job) || self.answer_history.since(&q.job, q.mark) {
            return self.read_again(q);
        }
        match q.why {
            Why::Malformed(fault) => self.deny(q.requester, 400, &fault.to_string()),
            // Its record was in the way a moment ago; the user's retry will find out.
            Why::Known => self.deny(q.requester, 503, "undecided"),
            Why::Query | Why::Cancel => self.deny(q.requester, 404, "no such job"),
        }
    }

    /// Once more, if whoever asks still waits for that long.
    fn read_again(&mut self, q: Question) {
        if self.now.mono + LEAST_MS < q.until {
            self.read_job(q)
        } else {
            self.unanswered(&q, "undecided")
        }
    }

    /// The state service did not answer. Only this node may be refused, or not heard.
    fn unread(&mut self, q: Question, status: Option<u16>) {
        match q.user().filter(|_| matches!(status, None | Some(503))) {
            Some(conn) => self.look_elsewhere(conn, q),
            None => self.unanswered(&q, "state service not available"),
        }
    }

    fn look_elsewhere(&mut self, conn: u64, q: Question) {
        let ask = PeerRequest::Lookup {
            job: q.job,
            past_leader: q.past_leader,
        };
        let fault = if let Why::Malformed(fault) = q.why {
            Some(fault)
        } else {
            None
        };
        self.forward(ForwardedRequest {
            conn,
            ask: Box::new(ask),
            until: q.until,
            fault,
        });
    }

    fn unanswered(&mut self, q: &Question, why: &str) {
        self.stats.unanswered += 1;
        self.deny(q.requester, 503, why);
    }
}
