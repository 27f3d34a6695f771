//! Forwarding of users' requests to a peer that may be able to answer them, and the choice of the peer. The status that
//! nodes exchange once a second only guides the choice: the chosen peer applies its own checks.

use crate::jobs::peer_requests::peer_answer;
use crate::{Destination, Node, Pending, Requester};
use wire::http::Response;
use wire::peer::{self, PeerRequest, PeerResponse};
use wire::submission::Fault;

/// Timeout of a forwarded request.
const FORWARD_TIMEOUT_MS: u64 = 1500;
/// How long a peer that left a request unanswered is skipped, unless it answers something else meanwhile.
const PEER_BACKOFF_MS: u64 = 1000;
/// How long the state service is considered unavailable to this node after a refusal or a timeout.
const STATE_DOWN_MS: u64 = 3000;
/// With less time left than this, the request is not forwarded.
const MIN_REMAINING_MS: u64 = 100;

/// How peers have answered the requests that were sent to them on behalf of users.
#[derive(Debug, Default)]
pub(crate) struct PeerResponsiveness {
    by_peer: Vec<Responsiveness>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Responsiveness {
    answered_at: u64,
    /// The peer is skipped until then.
    backoff_until: u64,
}

impl PeerResponsiveness {
    fn entry(&mut self, peer: usize) -> &mut Responsiveness {
        if self.by_peer.len() <= peer {
            self.by_peer.resize(peer + 1, Responsiveness::default());
        }
        &mut self.by_peer[peer]
    }

    /// Whether a peer is skipped now.
    pub fn is_backing_off(&self, peer: usize, now: u64) -> bool {
        let peer = self.by_peer.get(peer);
        peer.is_some_and(|peer| now < peer.backoff_until)
    }

    /// Records whether the request sent at `sent` was answered. A timeout counts only if the peer has answered nothing
    /// since the request was sent.
    fn record_outcome(&mut self, peer: usize, sent: u64, answered: bool, now: u64) {
        let peer = self.entry(peer);
        if answered {
            peer.answered_at = now;
            peer.backoff_until = 0;
        } else if peer.answered_at <= sent {
            peer.backoff_until = now + PEER_BACKOFF_MS;
        }
    }
}

/// A user's request that is forwarded to a peer.
pub(crate) struct ForwardedRequest {
    pub conn: u64,
    pub request: Box<PeerRequest>,
    /// The user does not wait beyond this time.
    pub deadline: u64,
    /// The fault of a malformed submission, which is forwarded as a lookup. It is the answer if the job was never
    /// accepted.
    pub fault: Option<Fault>,
}

impl ForwardedRequest {
    fn job(&self) -> Option<&str> {
        match &*self.request {
            PeerRequest::Submit { spec } => Some(&spec.id),
            PeerRequest::Lookup { job, .. } => Some(job),
            _ => None,
        }
    }
}

impl Node {
    /// Records whether a peer answered the request that was sent to it at `sent`.
    pub(crate) fn record_peer_outcome(&mut self, peer: usize, sent: u64, answered: bool) {
        self.responsiveness
            .record_outcome(peer, sent, answered, self.now.mono);
    }

    /// The peer that is the leader, as far as this node knows.
    pub(crate) fn leader_peer(&self) -> Option<usize> {
        let leader = self.leader_name()?;
        self.peer_named(&leader)
    }

    /// Index of the peer with this node name.
    pub(crate) fn peer_named(&self, node: &str) -> Option<usize> {
        self.settings.peers.iter().position(|p| p.node == node)
    }

    /// Whether the state service seems unavailable to this node. It may still answer others.
    pub(crate) fn state_down(&self) -> bool {
        self.state_failed_at
            .is_some_and(|at| self.now.mono < at + STATE_DOWN_MS)
    }

    /// Chooses the peer for a forwarded request: the leader, else a peer that reports the state service as available,
    /// else a peer without a recent report. If all report it as unavailable, a lookup still goes to the leader, which
    /// is the most likely to know the end of a job.
    fn forwarding_target(&mut self, request: &PeerRequest) -> Option<usize> {
        let now = self.now.mono;
        let peers = 0..self.settings.peers.len();
        let candidates: Vec<usize> = peers
            .filter(|p| !self.responsiveness.is_backing_off(*p, now))
            .collect();
        let reporting_down = |down: Option<bool>| -> Vec<usize> {
            let candidates = candidates.iter().copied();
            candidates
                .filter(|peer| self.reports_state_down(*peer) == down)
                .collect()
        };
        let (served, unreported) = (reporting_down(Some(false)), reporting_down(None));
        let is_lookup = matches!(request, PeerRequest::Lookup { .. });
        let past_leader = matches!(
            request,
            PeerRequest::Lookup {
                past_leader: true,
                ..
            }
        );
        let leader = self
            .leader_peer()
            .filter(|p| !past_leader && candidates.contains(p));
        if let Some(leader) = leader.filter(|p| self.reports_state_down(*p) != Some(true)) {
            return Some(leader);
        }
        let targets = if served.is_empty() {
            unreported
        } else {
            served
        };
        if targets.is_empty() {
            return leader.filter(|_| is_lookup);
        }
        Some(targets[self.rng.usize(0..targets.len())])
    }

    /// Forwards a user's request to a peer, or refuses it if there is none or too little time.
    pub(crate) fn forward(&mut self, forwarded: ForwardedRequest) {
        let now = self.now.mono;
        let target = if forwarded.deadline < now + MIN_REMAINING_MS {
            None
        } else {
            self.forwarding_target(&forwarded.request)
        };
        let Some(peer) = target else {
            self.stats.unanswered +=
                u64::from(matches!(*forwarded.request, PeerRequest::Lookup { .. }));
            return self.refuse(forwarded.conn, 503, "the state service is not available");
        };
        self.stats.forwarded += 1;
        let body = peer::encode(&*forwarded.request);
        let timeout = (forwarded.deadline - now).min(FORWARD_TIMEOUT_MS);
        let pending = Pending::Forward {
            forwarded,
            peer,
            sent: now,
            answer_mark: self.answer_history.mark(),
        };
        self.send(
            Destination::Peer(peer),
            "POST",
            peer::PATH.into(),
            body,
            timeout,
            pending,
        );
    }

    /// Handles a peer's answer to a forwarded request. A peer that gives none is skipped for a while, and another is
    /// asked if there is time.
    pub(crate) fn forward_answered(
        &mut self,
        forwarded: ForwardedRequest,
        peer: usize,
        sent: u64,
        answer_mark: u64,
        response: Option<Response>,
    ) {
        self.record_peer_outcome(peer, sent, response.is_some());
        if response.is_none() && self.responsiveness.is_backing_off(peer, self.now.mono) {
            return self.forward(forwarded);
        }
        let conn = forwarded.conn;
        match peer_answer(response) {
            Some(PeerResponse::State(state)) => self.answer_state(Requester::User(conn), state),
            Some(PeerResponse::Accepted(state)) => {
                self.answer_accepted(Requester::User(conn), state)
            }
            Some(PeerResponse::Refused { status, why }) => {
                self.refused_by_peer(&forwarded, answer_mark, status, &why)
            }
            _ => self.refuse(conn, 503, "the state service is not available"),
        }
    }

    /// Passes a peer's refusal on to the user. A negative answer is as old as the peer's reads, so whatever this node
    /// has answered since the request was forwarded takes precedence.
    fn refused_by_peer(
        &mut self,
        forwarded: &ForwardedRequest,
        answer_mark: u64,
        status: u16,
        why: &str,
    ) {
        let conn = forwarded.conn;
        let why = if why.is_empty() {
            "refused by a peer"
        } else {
            peer::bounded(why)
        };
        if let Some(job) = forwarded
            .job()
            .filter(|_| matches!(status, 400 | 404 | 422))
        {
            if let Some(state) = self.final_states.get(job) {
                return self.answer_state(Requester::User(conn), state);
            }
            if self
                .answer_history
                .may_have_answered_since(job, answer_mark)
            {
                return self.refuse(conn, 503, "undecided");
            }
        }
        match (status, forwarded.fault) {
            // The job was never accepted, so the fault of the submission is the answer.
            (404, Some(fault)) => self.refuse(conn, 400, &fault.to_string()),
            (400 | 404 | 422 | 429, _) => self.refuse(conn, status, why),
            _ => self.refuse(conn, 503, why),
        }
    }
}
