//! Forwarding a user's request to a peer that may be better placed, and choosing which. What nodes say of themselves once
//! a second only chooses: whoever is asked answers by its own rules.

use crate::jobs::peer_requests::peer_answer;
use crate::{Destination, Node, Pending, Requester};
use wire::http::Response;
use wire::peer::{self, PeerRequest, PeerResponse};
use wire::submission::Fault;

/// A peer has this long to answer for us.
const FORWARD_TIMEOUT_MS: u64 = 1500;
/// A peer that has left something unanswered is not asked for so long, unless it says something.
const PEER_BACKOFF_MS: u64 = 1000;
/// After a refusal, or silence, the state service is taken to be out of reach for so long.
const STATE_DOWN_MS: u64 = 3000;
/// With less time left than this, nobody else is asked.
const MIN_REMAINING_MS: u64 = 100;

/// How peers have answered what they were asked for users.
#[derive(Debug, Default)]
pub(crate) struct PeerResponsiveness {
    by_peer: Vec<Responsiveness>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Responsiveness {
    answered_at: u64,
    /// It is passed over until then.
    backoff_until: u64,
}

impl PeerResponsiveness {
    fn entry(&mut self, peer: usize) -> &mut Responsiveness {
        if self.by_peer.len() <= peer {
            self.by_peer.resize(peer + 1, Responsiveness::default());
        }
        &mut self.by_peer[peer]
    }

    /// Whether a peer is passed over now.
    pub fn is_backing_off(&self, peer: usize, now: u64) -> bool {
        let peer = self.by_peer.get(peer);
        peer.is_some_and(|peer| now < peer.backoff_until)
    }

    /// What was sent then has been answered, or not. Silence counts only if nothing has been answered since.
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

/// A user's request that a peer is to answer.
pub(crate) struct ForwardedRequest {
    pub conn: u64,
    pub ask: Box<PeerRequest>,
    /// Whoever asks waits no longer.
    pub deadline: u64,
    /// A malformed submission is only looked up: what is wrong with it, for a job that was never accepted.
    pub fault: Option<Fault>,
}

impl ForwardedRequest {
    fn job(&self) -> Option<&str> {
        match &*self.ask {
            PeerRequest::Submit { spec } => Some(&spec.id),
            PeerRequest::Lookup { job, .. } => Some(job),
            _ => None,
        }
    }
}

impl Node {
    /// A peer has answered what was sent to it then, or not.
    pub(crate) fn record_peer_outcome(&mut self, peer: usize, sent: u64, answered: bool) {
        self.responsiveness
            .record_outcome(peer, sent, answered, self.now.mono);
    }

    /// The peer that leads the fleet, as far as is known here.
    pub(crate) fn leader_peer(&self) -> Option<usize> {
        let leader = self.leader_name()?;
        self.peer_named(&leader)
    }

    /// The peer of this name.
    pub(crate) fn peer_named(&self, node: &str) -> Option<usize> {
        self.settings.peers.iter().position(|p| p.node == node)
    }

    /// Whether the state service seems not to serve this node now; others may be served.
    pub(crate) fn state_down(&self) -> bool {
        self.state_bad_at
            .is_some_and(|at| self.now.mono < at + STATE_DOWN_MS)
    }

    /// Whom a request is forwarded to: the leader, or another that says it is served, or one that says nothing. If all say
    /// that they are not served, only a job's end may still be known, best to the leader.
    fn forwarding_target(&mut self, ask: &PeerRequest) -> Option<usize> {
        let now = self.now.mono;
        let peers = 0..self.settings.peers.len();
        let candidates: Vec<usize> = peers
            .filter(|p| !self.responsiveness.is_backing_off(*p, now))
            .collect();
        let reporting_down = |down: Option<bool>| -> Vec<usize> {
            let candidates = candidates.iter().copied();
            candidates
                .filter(|peer| self.says_down(*peer) == down)
                .collect()
        };
        let (served, unreported) = (reporting_down(Some(false)), reporting_down(None));
        let is_lookup = matches!(ask, PeerRequest::Lookup { .. });
        let past_leader = matches!(
            ask,
            PeerRequest::Lookup {
                past_leader: true,
                ..
            }
        );
        let leader = self
            .leader_peer()
            .filter(|p| !past_leader && candidates.contains(p));
        if let Some(leader) = leader.filter(|p| self.says_down(*p) != Some(true)) {
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

    /// Forwards a user's request on.
    pub(crate) fn forward(&mut self, forwarded: ForwardedRequest) {
        let now = self.now.mono;
        let target = if forwarded.deadline < now + MIN_REMAINING_MS {
            None
        } else {
            self.forwarding_target(&forwarded.ask)
        };
        let Some(peer) = target else {
            self.stats.unanswered +=
                u64::from(matches!(*forwarded.ask, PeerRequest::Lookup { .. }));
            return self.refuse(forwarded.conn, 503, "state service not available");
        };
        self.stats.forwarded += 1;
        let body = peer::encode(&*forwarded.ask);
        let timeout = (forwarded.deadline - now).min(FORWARD_TIMEOUT_MS);
        let what = Pending::Forward {
            forwarded,
            peer,
            sent: now,
            mark: self.answer_history.mark(),
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

    /// A peer's answer to what was forwarded to it. One that gives none rests, so another is asked while there is time.
    pub(crate) fn forward_answered(
        &mut self,
        forwarded: ForwardedRequest,
        peer: usize,
        sent: u64,
        mark: u64,
        response: Option<Response>,
    ) {
        self.record_peer_outcome(peer, sent, response.is_some());
        if response.is_none() && self.responsiveness.is_backing_off(peer, self.now.mono) {
            return self.forward(forwarded);
        }
        let conn = forwarded.conn;
        match peer_answer(response) {
            Some(PeerResponse::State(state)) => self.tell(Requester::User(conn), state),
            Some(PeerResponse::Accepted(state)) => {
                self.answer_accepted(Requester::User(conn), state)
            }
            Some(PeerResponse::Refused { status, why }) => {
                self.refused_by_peer(&forwarded, mark, status, &why)
            }
            _ => self.refuse(conn, 503, "state service not available"),
        }
    }

    /// The user hears the peer's reason as if he had asked there. A denial is as old as the peer's reads: what this node
    /// has told since is newer.
    fn refused_by_peer(&mut self, forwarded: &ForwardedRequest, mark: u64, status: u16, why: &str) {
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
                return self.tell(Requester::User(conn), state);
            }
            if self.answer_history.since(job, mark) {
                return self.refuse(conn, 503, "undecided");
            }
        }
        match (status, forwarded.fault) {
            // Never accepted, so that what is wrong with it counts.
            (404, Some(fault)) => self.refuse(conn, 400, &fault.to_string()),
            (400 | 404 | 422 | 429, _) => self.refuse(conn, status, why),
            _ => self.refuse(conn, 503, why),
        }
    }
}
