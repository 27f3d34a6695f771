//! Answers to whoever asked, a user or a peer, within the session guarantees of [`crate::jobs::answer_history`].

use crate::jobs::query::Purpose;
use crate::{Node, Requester};
use wire::api::JobState;
use wire::peer::PeerResponse;

impl Node {
    /// An error for a requester, as [`Node::refuse`] says it to a user.
    pub(crate) fn answer_error(&mut self, requester: Requester, status: u16, why: &str) {
        match requester {
            Requester::User(conn) => self.refuse(conn, status, why),
            Requester::Peer(conn) => self.answer_peer(conn, &PeerResponse::refused(status, why)),
        }
    }

    /// Gives a requester the state of a job. It may have been under way while this node heard of the job's end, which it
    /// gives way to.
    pub(crate) fn tell(&mut self, requester: Requester, state: JobState) {
        if state.stage.is_final() {
            self.final_states.put(&state.id, state.stage, state.done);
        }
        self.answer_history.note(&state.id);
        let state = self.final_states.get(&state.id).unwrap_or(state);
        match requester {
            Requester::User(conn) => self.respond(conn, 200, wire::encode(&state), None),
            Requester::Peer(conn) => self.answer_peer(conn, &PeerResponse::State(state)),
        }
    }

    /// Tells that a job has been accepted just now. That may have taken longer than its life.
    pub(crate) fn answer_accepted(&mut self, requester: Requester, state: JobState) {
        if self.final_states.get(&state.id).is_some() {
            return self.tell(requester, state);
        }
        self.answer_history.note(&state.id);
        match requester {
            Requester::User(conn) => self.respond(conn, 201, wire::encode(&state), None),
            Requester::Peer(conn) => self.answer_peer(conn, &PeerResponse::Accepted(state)),
        }
    }

    /// A cancel of a job that the leader has not in memory: its record decides.
    pub(crate) fn cancel_unknown(&mut self, requester: Requester, job: &str) {
        match requester {
            Requester::User(_) => {
                let question = self.question(requester, job.to_owned(), Purpose::Cancel);
                self.read_job(question)
            }
            Requester::Peer(conn) => self.answer_peer(conn, &PeerResponse::Unknown),
        }
    }

    /// Says that nothing is known or can be decided now.
    pub(crate) fn not_now(&mut self, requester: Requester) {
        match requester {
            Requester::User(conn) => self.refuse(conn, 503, "not sure now"),
            Requester::Peer(conn) => self.answer_peer(conn, &PeerResponse::NotNow),
        }
    }
}
