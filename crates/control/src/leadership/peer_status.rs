//! What the nodes tell each other once a second: who leads, whom the state service answers, which tokens are known.
//!
//! What it says of reach only chooses who acts. What it says of tokens is proof for [`crate::leadership::lease_bound`].

use crate::jobs::peer_requests::peer_answer;
use crate::{Destination, Node, Pending};
use wire::http::Response;
use wire::peer::{self, PeerRequest, PeerResponse, PeerStatus};

/// Nodes ask each other this often; an answer that takes longer is none.
const INTERVAL_MS: u64 = 1000;
/// A peer's status is believed for so long.
const MAX_AGE_MS: u64 = 3000;
/// The state service answers a node that has heard from it within this time: its watch says something every 5 s.
const STATE_CONTACT_MS: u64 = 6500;
/// Where the service does not count this high, nobody has a token above it.
pub(crate) const TOKEN_BOUND: u64 = 1 << 31;

/// The newest status of each peer, with its time.
#[derive(Debug, Default)]
pub(crate) struct PeerStatusTable {
    asked_at: u64,
    by_peer: Vec<Option<(u64, PeerStatus)>>,
}

impl Node {
    /// Asks all peers, once a second.
    pub(crate) fn peer_status_tick(&mut self) {
        let now = self.now.mono;
        let peers = self.settings.peers.len();
        if now < self.peer_statuses.asked_at + INTERVAL_MS {
            return;
        }
        self.peer_statuses.asked_at = now;
        self.peer_statuses.by_peer.resize_with(peers, || None);
        self.begin_attestation_round(now, peers);
        let body = peer::encode(&PeerRequest::PeerStatus(self.peer_status()));
        for peer in 0..peers {
            let pending = Pending::PeerStatus { sent: now, peer };
            self.send(
                Destination::Peer(peer),
                "POST",
                peer::PATH.into(),
                body.clone(),
                INTERVAL_MS,
                pending,
            );
        }
    }

    /// What this node tells its peers.
    pub(crate) fn peer_status(&self) -> PeerStatus {
        let now = self.now.mono;
        PeerStatus {
            node: self.settings.node.clone(),
            state_ms: self.state_good_at.map(|at| now.saturating_sub(at)),
            // Until the counter has been read, nothing is known of what this node was before it began.
            token: (self.shared.revision > 0).then(|| self.highest_token()),
            leads: self
                .shard
                .as_ref()
                .filter(|_| self.may_decide())
                .map(|p| p.token),
            hears_no_agents: self.shard.as_ref().is_some_and(|p| p.hears_no_agents(now)),
            down: self.state_good_at.is_none() || self.state_down(),
            spreads: self.leads() && self.is_spread(),
            delegation: None,
        }
    }

    /// A peer's status, as it asked or answered. A name or a token that can't be is refused.
    pub(crate) fn peer_status_seen(&mut self, peer_status: PeerStatus) -> Option<usize> {
        let peer = self.peer_named(&peer_status.node)?;
        if peer_status
            .leads
            .max(peer_status.token)
            .is_some_and(|t| t >= TOKEN_BOUND)
        {
            self.stats.bad_answers += 1;
            return None;
        }
        if let Some(token) = peer_status.leads {
            self.spread_heard(peer_status.spreads);
            self.leader_asserted(peer_status.node.clone(), token);
        }
        let now = self.now.mono;
        self.peer_statuses
            .by_peer
            .resize_with(self.settings.peers.len(), || None);
        self.peer_statuses.by_peer[peer] = Some((now, peer_status));
        Some(peer)
    }

    /// A peer's answer, to what was asked at `sent`.
    pub(crate) fn peer_status_received(
        &mut self,
        sent: u64,
        peer: usize,
        response: Option<Response>,
    ) {
        let Some(PeerResponse::PeerStatus(peer_status)) = peer_answer(response) else {
            return;
        };
        // Nobody but the leader has anything to keep, and only under its own token.
        let delegation = peer_status
            .delegation
            .clone()
            .filter(|terms| peer_status.leads == Some(terms.token));
        let token = peer_status.token;
        if self.peer_status_seen(peer_status) == Some(peer) {
            self.attestation_received(sent, peer, token);
            self.note_delegation(sent, delegation);
        }
    }

    /// Whether a peer says that it leads the fleet and hears no worker.
    pub(crate) fn hears_no_agents(&self, peer: usize) -> bool {
        self.fresh_status(peer)
            .is_some_and(|peer_status| peer_status.hears_no_agents)
    }

    /// Whether a peer says that the state service does not serve it; nothing if it has not said anything lately.
    pub(crate) fn says_down(&self, peer: usize) -> Option<bool> {
        self.fresh_status(peer).map(|peer_status| peer_status.down)
    }

    /// When a peer was last heard; 0 for never.
    pub(crate) fn last_heard_at(&self, peer: usize) -> u64 {
        self.peer_statuses
            .by_peer
            .get(peer)
            .and_then(Option::as_ref)
            .map_or(0, |(at, _)| *at)
    }

    /// Whether a peer was heard lately.
    pub(crate) fn is_heard(&self, peer: usize) -> bool {
        self.fresh_status(peer).is_some()
    }

    fn fresh_status(&self, peer: usize) -> Option<&PeerStatus> {
        let (at, peer_status) = self.peer_statuses.by_peer.get(peer)?.as_ref()?;
        (self.now.mono < at + MAX_AGE_MS).then_some(peer_status)
    }

    fn fresh_statuses(&self) -> impl Iterator<Item = (u64, &PeerStatus)> {
        let now = self.now.mono;
        let fresh = self
            .peer_statuses
            .by_peer
            .iter()
            .flatten()
            .filter(move |(at, _)| now < at + MAX_AGE_MS);
        fresh.map(move |(at, peer_status)| (now - at, peer_status))
    }

    /// Whether another node could lead the fleet in this one's place, as far as anybody can say: one that the state
    /// service answers, or, while no peer says anything, perhaps any.
    pub(crate) fn could_be_followed(&self) -> bool {
        let reaches_state = |(age, status): (u64, &PeerStatus)| {
            status
                .state_ms
                .is_some_and(|ms| ms.saturating_add(age) < STATE_CONTACT_MS)
        };
        self.fresh_statuses().next().is_none() || self.fresh_statuses().any(reaches_state)
    }
}
