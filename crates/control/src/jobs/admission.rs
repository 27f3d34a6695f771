//! Requests of users and peers. Any controller serves them: accepts go straight to the state service, and questions
//! about jobs to [`crate::jobs::query`].

use crate::jobs::forwarding::ForwardedRequest;
use crate::jobs::query::{Question, Why};
use crate::leadership::election::Role;
use crate::leadership::election::SHARD;
use crate::{Destination, Node, Pending, Requester};
use wire::api::{Conflict, ErrorBody, Guard, JobSpec, JobState, Stage, Txn, Write};
use wire::http::{Request, Response};
use wire::peer::{self, Answer, Ask};
use wire::records::{self, JobRecord, Record};
use wire::submission::{self, Fault, Malformed};

const CANCEL_TIMEOUT_MS: u64 = 3500;
const ACCEPT_TIMEOUT_MS: u64 = 700;
/// Users wait 5 s for a submission, of which our own try has taken some.
const SUBMIT_WAITS_MS: u64 = 3500;

/// Whoever meets trouble that may be over at any time comes back after so many seconds.
const SOON_S: u32 = 1;

/// A submission that is being accepted, since when, and how often that was tried before.
pub(crate) struct Submission {
    pub requester: Requester,
    pub spec: Box<JobSpec>,
    pub at: u64,
    pub tries: u32,
}

/// What a peer answered; anything else than an answer is none.
pub(crate) fn peer_answer(response: Option<Response>) -> Option<Answer> {
    response
        .filter(|r| r.status == 200)
        .and_then(|r| peer::decode(&r.body).ok())
}

/// Whether nothing but another version of a document stood against a transaction.
fn only_heads_failed(response: &Response) -> bool {
    let failed = wire::decode::<Conflict>(&response.body)
        .map(|c| c.failed)
        .unwrap_or_default();
    !failed.is_empty() && failed.iter().all(|key| key.starts_with(records::SHARED))
}

impl Node {
    pub(crate) fn client(&mut self, conn: u64, request: Request) {
        let path = request.path.split('?').next().unwrap_or("");
        let job = path.strip_prefix("/work/");
        match (request.method.as_str(), path, job) {
            ("POST", "/hello", _) => self.heartbeat_received(conn, &request.body),
            ("POST", "/work", _) => self.sent_in(conn, &request.body),
            ("GET", "/ready", _) => self.ready(conn),
            ("GET", _, Some(id)) if !id.contains('/') => {
                let id = id.to_owned();
                self.query_for(Requester::User(conn), id, Why::Query)
            }
            ("POST", _, Some(rest)) if let Some(id) = rest.strip_suffix("/cancel") => {
                let id = id.to_owned();
                self.cancel_asked(conn, id)
            }
            (_, "/hello" | "/work" | "/ready", _) => self.refuse(conn, 405, "method not allowed"),
            (_, _, Some(id)) if !id.contains('/') || id.ends_with("/cancel") => {
                self.refuse(conn, 405, "method not allowed")
            }
            _ => self.refuse(conn, 404, "no such path"),
        }
    }

    /// A node that lives is healthy. It may know nothing yet, or not be served: it still tells what others know or can
    /// take, and refuses the rest at once, where a removal sends its users away for up to a minute and can't tell one
    /// node's trouble from all nodes'.
    fn ready(&mut self, conn: u64) {
        self.respond(
            conn,
            200,
            wire::encode(&ErrorBody {
                error: String::new(),
            }),
            None,
        )
    }

    /// An error, with the time to come back where coming back helps: soon, but where this node is too busy, which is
    /// then over by and by.
    pub(crate) fn refuse(&mut self, conn: u64, status: u16, why: &str) {
        let retry_after_s = match status {
            429 => Some(self.turn_away()),
            503 => Some(SOON_S),
            _ => None,
        };
        self.stats.shed += u64::from(retry_after_s.is_some());
        let body = wire::encode(&ErrorBody {
            error: why.to_owned(),
        });
        self.respond(conn, status, body, retry_after_s);
    }

    /// Counts one more who is turned away, and says when to come back.
    fn turn_away(&mut self) -> u32 {
        let served_per_s = self.accepts_per_s();
        self.load_shedding.turn_away(self.now.mono, served_per_s)
    }

    /// What a user sent as a submission.
    fn sent_in(&mut self, conn: u64, body: &[u8]) {
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
            return self.deny(requester, 400, &fault.to_string());
        }
        self.query_for(requester, id, Why::Malformed(fault));
    }

    fn submit(&mut self, requester: Requester, spec: JobSpec) {
        if let Err(fault) = spec.check() {
            return self.malformed(requester, spec.id, fault);
        }
        // As it is without what is bound to it: a repeat must not be refused for a later document.
        if !self.is_storable(&JobRecord::new(spec.clone(), self.now.wall, SHARD)) {
            return self.malformed(requester, spec.id, Fault::body("too large to be kept"));
        }
        if let Some(state) = self.final_states.get(&spec.id) {
            return self.tell(requester, state);
        }
        if self.catalog().is_none() {
            // It has only begun; another may know them.
            return match requester {
                Requester::User(conn) => self.forward_submission(conn, Box::new(spec)),
                Requester::Peer(_) => self.deny(requester, 503, "machine types not known yet"),
            };
        }
        if self.may_decide()
            && let Some(shard) = &self.shard
            && shard.job_index.contains_key(&spec.id)
        {
            return self.query_for(requester, spec.id, Why::Query);
        }
        let now = self.now.mono;
        if self.state_down()
            && let Requester::User(conn) = requester
        {
            return self.forward_submission(conn, Box::new(spec));
        }
        let conn = if let Requester::User(conn) = requester {
            Some(conn)
        } else {
            None
        };
        // What can never run writes nothing.
        let writes = self.validated(&spec, self.now.wall).is_ok();
        let room = if writes {
            self.has_room_for(conn)
        } else {
            self.requests.level(now) >= 1.0
        };
        if !room {
            return self.deny(requester, 429, "busy");
        }
        // The leader sees all accepts, its own too, and counts them when they have been made.
        self.writes
            .take(now, if writes && !self.leads() { 1.0 } else { 0.0 });
        self.accept(Submission {
            requester,
            spec: Box::new(spec),
            at: now,
            tries: 0,
        });
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
        let Some(mut guards) = self.head_guards() else {
            // A peer has read what this node has not yet.
            return match requester {
                Requester::User(conn) if self.shared.revision == 0 => {
                    self.forward_submission(*conn, submission.spec)
                }
                _ => self.accept_later(submission),
            };
        };
        guards.extend([
            Guard {
                key: records::live_key(&spec.id),
                version: 0,
            },
            Guard {
                key: records::end_key(&spec.id),
                version: 0,
            },
        ]);
        // Judged each time: between two tries another version may have come into force.
        let (writes, denied) = match self.validated(spec, wall) {
            Ok(rec) => (
                vec![Write::put(
                    records::live_key(&spec.id),
                    Record::Job(Box::new(rec)),
                )],
                None,
            ),
            Err(why) => (Vec::new(), Some(why)),
        };
        let body = wire::encode(&Txn { guards, writes });
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
    fn accept_later(&mut self, submission: Submission) {
        let now = self.now.mono;
        let Submission {
            requester,
            at,
            tries,
            ..
        } = submission;
        if tries >= 3 || now >= at + 700 {
            // It may be accepted all the same: the retry will be told.
            return self.deny(requester, 503, "state service not available");
        }
        let again = now + self.rng.u64(60..200);
        self.retries.push_back((
            again,
            Submission {
                tries: tries + 1,
                ..submission
            },
        ));
    }

    pub(crate) fn accepted(
        &mut self,
        submission: Submission,
        denied: Option<&'static str>,
        mark: u64,
        r: Option<Response>,
    ) {
        let requester = submission.requester;
        match (r.as_ref().map(|r| r.status), denied) {
            // Only this node may be refused, or not heard: another may take the job at once. Should our own try
            // have gone through, it will find the job known.
            (None | Some(503), _) if let Requester::User(conn) = requester => {
                self.forward_submission(conn, submission.spec)
            }
            // The denial is as old as its transaction: what this node has told since is newer.
            (Some(200), Some(_)) if self.answer_history.since(&submission.spec.id, mark) => {
                self.query_for(requester, submission.spec.id, Why::Known)
            }
            (Some(200), Some(why)) => {
                log::debug!("job {}: can never run: {why}", submission.spec.id);
                self.deny(requester, 422, &format!("can never run: {why}"))
            }
            (Some(200), None) => {
                self.stats.accepted += 1;
                log::debug!("job {}: accepted", submission.spec.id);
                let state = JobState {
                    id: submission.spec.id,
                    stage: Stage::Pending,
                    done: 0,
                    running: 0,
                };
                self.tell_accepted(requester, state)
            }
            // Judged and bound by a version that is no longer in force, and neither accepted nor refused.
            (Some(409), _) if r.is_some_and(|r| only_heads_failed(&r)) => {
                self.reread_shared(0);
                self.accept_later(submission)
            }
            (Some(409), _) => self.query_for(requester, submission.spec.id, Why::Known),
            (Some(429 | 503), _) => self.accept_later(submission),
            // It may be accepted all the same: the retry will be told.
            _ => self.deny(requester, 503, "state service not available"),
        }
    }

    fn forward_submission(&mut self, conn: u64, spec: Box<JobSpec>) {
        let until = self.now.mono + SUBMIT_WAITS_MS;
        self.forward(ForwardedRequest {
            conn,
            ask: Box::new(Ask::Submit { spec }),
            until,
            fault: None,
        });
    }

    pub(crate) fn door_tick(&mut self) {
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

    pub(crate) fn leader_peer(&self) -> Option<usize> {
        let leader = self.leader_name()?;
        self.peer_named(&leader)
    }

    pub(crate) fn peer_named(&self, node: &str) -> Option<usize> {
        self.settings.peers.iter().position(|p| p.node == node)
    }

    fn cancel_asked(&mut self, conn: u64, id: String) {
        if !wire::ids::valid_job_id(&id) {
            return self.refuse(conn, 404, "no such job");
        }
        if self.leads() {
            return self.cancel(&id, Requester::User(conn));
        }
        if let Some(state) = self.final_states.get(&id) {
            return self.tell(Requester::User(conn), state);
        }
        let Some(peer) = self.leader_peer() else {
            return self.refuse(conn, 503, "no owner now");
        };
        let body = peer::encode(&Ask::Cancel { job: id.clone() });
        let what = Pending::PeerCancel { conn, job: id };
        self.send(
            Destination::Peer(peer),
            "POST",
            peer::PATH.into(),
            body,
            CANCEL_TIMEOUT_MS,
            what,
        );
    }

    pub(crate) fn peer_cancelled(&mut self, conn: u64, job: String, r: Option<Response>) {
        match peer_answer(r) {
            Some(Answer::State(state)) if state.id == job => {
                self.tell(Requester::User(conn), state)
            }
            Some(Answer::Unknown) => {
                let question = self.question(Requester::User(conn), job, Why::Cancel);
                self.read_job(question)
            }
            _ => self.refuse(conn, 503, "the owner does not answer"),
        }
    }

    pub(crate) fn peer(&mut self, conn: u64, request: &Request) {
        if self.operator_demand(conn, request) || self.admin_requested(conn, request) {
            return;
        }
        let ask = if request.method == "POST" && request.path == peer::PATH {
            peer::decode::<Ask>(&request.body).ok()
        } else {
            None
        };
        match ask {
            Some(Ask::Query { job }) => {
                let unknown = if self.may_decide() {
                    Answer::Unknown
                } else {
                    Answer::NotNow
                };
                match self.state_here(&job) {
                    Some(state) => self.tell(Requester::Peer(conn), state),
                    None => self.respond(conn, 200, peer::encode(&unknown), None),
                }
            }
            Some(Ask::Cancel { job }) => self.cancel(&job, Requester::Peer(conn)),
            Some(Ask::Submit { spec }) => self.submit(Requester::Peer(conn), *spec),
            Some(Ask::Lookup { job, past_leader }) => {
                let question = self.question(Requester::Peer(conn), job, Why::Query);
                self.query(Question {
                    past_leader,
                    ..question
                })
            }
            Some(Ask::Leads { node, token }) => {
                self.leader_asserted(node, token);
                self.respond(conn, 200, peer::encode(&Answer::NotNow), None);
            }
            Some(Ask::PeerStatus(peer_status)) => {
                let Some(peer) = self.peer_status_seen(peer_status) else {
                    return self.refuse(
                        conn,
                        400,
                        "view: from nobody we know, or a token that can't be",
                    );
                };
                let peer_status = peer::PeerStatus {
                    delegation: self.delegation_for(peer),
                    ..self.peer_status()
                };
                self.respond(
                    conn,
                    200,
                    peer::encode(&Answer::PeerStatus(peer_status)),
                    None,
                );
            }
            Some(Ask::Reports { node, reports }) => {
                self.relayed_heartbeats_received(conn, &node, reports)
            }
            Some(Ask::Tell {
                machine,
                addr,
                body,
            }) => self.tell_asked(conn, &machine, &addr, body.into_vec()),
            Some(Ask::Wake { model, leader }) => self.peer_demand(conn, &model, leader),
            None => self.refuse(conn, 400, "not understood"),
        }
    }

    /// An error for an asker, as [`Node::refuse`] says it to a user.
    pub(crate) fn deny(&mut self, requester: Requester, status: u16, why: &str) {
        match requester {
            Requester::User(conn) => self.refuse(conn, status, why),
            Requester::Peer(conn) => {
                self.respond(conn, 200, peer::encode(&Answer::refused(status, why)), None)
            }
        }
    }

    /// Gives an asker the state of a job. It may have been under way while this node heard of the job's end, which it
    /// gives way to.
    pub(crate) fn tell(&mut self, requester: Requester, state: JobState) {
        if state.stage.is_final() {
            self.final_states.put(&state.id, state.stage, state.done);
        }
        self.answer_history.note(&state.id);
        let state = self.final_states.get(&state.id).unwrap_or(state);
        match requester {
            Requester::User(conn) => self.respond(conn, 200, wire::encode(&state), None),
            Requester::Peer(conn) => {
                self.respond(conn, 200, peer::encode(&Answer::State(state)), None)
            }
        }
    }

    /// Tells that a job has been accepted just now. That may have taken longer than its life.
    pub(crate) fn tell_accepted(&mut self, requester: Requester, state: JobState) {
        if self.final_states.get(&state.id).is_some() {
            return self.tell(requester, state);
        }
        self.answer_history.note(&state.id);
        match requester {
            Requester::User(conn) => self.respond(conn, 201, wire::encode(&state), None),
            Requester::Peer(conn) => {
                self.respond(conn, 200, peer::encode(&Answer::Accepted(state)), None)
            }
        }
    }

    /// A cancel of a job that the leader has not in memory: its record decides.
    pub(crate) fn unknown(&mut self, requester: Requester, job: &str) {
        match requester {
            Requester::User(_) => {
                let question = self.question(requester, job.to_owned(), Why::Cancel);
                self.read_job(question)
            }
            Requester::Peer(conn) => self.respond(conn, 200, peer::encode(&Answer::Unknown), None),
        }
    }

    pub(crate) fn not_now(&mut self, requester: Requester) {
        match requester {
            Requester::User(conn) => self.refuse(conn, 503, "not sure now"),
            Requester::Peer(conn) => self.respond(conn, 200, peer::encode(&Answer::NotNow), None),
        }
    }

    /// For the log: what this node is.
    pub fn role_name(&self) -> &'static str {
        match self.role {
            Role::Leader { .. } if self.has_valid_lease() => "owner",
            Role::Leader { .. } => "owner, unsure",
            Role::Candidate { .. } => "candidate",
            Role::Follower { .. } => "follower",
        }
    }
}
