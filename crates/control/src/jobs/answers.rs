//! Answers to a requester, which is a user or a peer. They keep the session guarantees of
//! [`crate::jobs::answer_history`].

use crate::jobs::query::Purpose;
use crate::{Node, Requester};
use wire::api::JobState;
use wire::peer::PeerResponse;

impl Node {
    /// Answers with an error. A user gets it through [`Node::refuse`], a peer as a refusal with the same status.
    pub(crate) fn answer_error(&mut self, requester: Requester, status: u16, why: &str) {
        match requester {
            Requester::User(conn) => self.refuse(conn, status, why),
            Requester::Peer(conn) => self.answer_peer(conn, &PeerResponse::refused(status, why)),
        }
    }

    /// Answers with the state of a job. If this node learned the job's final state while `state` was being fetched, the
    /// final state is sent instead.
    pub(crate) fn answer_state(&mut self, requester: Requester, state: JobState) {
        if state.stage.is_final() {
            self.final_states
                .insert_if_absent(&state.id, state.stage, state.done);
        }
        self.answer_history.record(&state.id);
        let state = self.final_states.get(&state.id).unwrap_or(state);
        match requester {
            Requester::User(conn) => self.respond(conn, 200, wire::encode(&state), None),
            Requester::Peer(conn) => self.answer_peer(conn, &PeerResponse::State(state)),
        }
    }

    /// Answers that a job was accepted. The job may already have ended by the time the acceptance is confirmed; its
    /// final state is sent then.
    pub(crate) fn answer_accepted(&mut self, requester: Requester, state: JobState) {
        if self.final_states.get(&state.id).is_some() {
            return self.answer_state(requester, state);
        }
        self.answer_history.record(&state.id);
        match requester {
            Requester::User(conn) => self.respond(conn, 201, wire::encode(&state), None),
            Requester::Peer(conn) => self.answer_peer(conn, &PeerResponse::Accepted(state)),
        }
    }

    /// Handles a cancellation of a job that the leader does not hold in memory. For a user, the record in the state
    /// service decides; a peer is told that the job is unknown and reads the record itself.
    pub(crate) fn cancel_unknown(&mut self, requester: Requester, job: &str) {
        match requester {
            Requester::User(_) => {
                let lookup = self.new_lookup(requester, job.to_owned(), Purpose::Cancel);
                self.read_job(lookup)
            }
            Requester::Peer(conn) => self.answer_peer(conn, &PeerResponse::Unknown),
        }
    }

    /// Answers that this node can neither give the state of the job nor decide about it at present.
    pub(crate) fn answer_undecided(&mut self, requester: Requester) {
        match requester {
            Requester::User(conn) => self.refuse(conn, 503, "cannot be decided at present"),
            Requester::Peer(conn) => self.answer_peer(conn, &PeerResponse::NotNow),
        }
    }
}
