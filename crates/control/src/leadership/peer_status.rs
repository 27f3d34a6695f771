//! Status messages that the nodes exchange once a second: who leads, which nodes the state service answers, and which
//! tokens are known.
//!
//! Information on reachability only influences which node acts. Information on tokens is evidence on which
//! [`crate::leadership::lease_bound`] relies.

use crate::jobs::peer_requests::peer_answer;
use crate::leadership::token_range::TokenRange;
use crate::{Destination, Node, Pending};
use wire::http::Response;
use wire::peer::{self, PeerRequest, PeerResponse, PeerStatus};

/// Interval of status requests, and their timeout.
const INTERVAL_MS: u64 = 1000;
/// A peer's status is ignored once it is older than this.
const MAX_AGE_MS: u64 = 3000;
/// A node counts as served by the state service if it was answered within this time: a watch is answered every 5 s.
const STATE_CONTACT_MS: u64 = 6500;
/// Tokens from this one on are implausible: the state service's counter does not get this high.
pub(crate) const FIRST_IMPLAUSIBLE_TOKEN: u64 = 1 << 31;

/// The latest status of each peer and when it was received.
#[derive(Debug, Default)]
pub(crate) struct PeerStatusTable {
    asked_at: u64,
    by_peer: Vec<Option<(u64, PeerStatus)>>,
}

impl Node {
    /// Requests the status of all peers once a second.
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

    /// The status that this node sends to its peers.
    pub(crate) fn peer_status(&self) -> PeerStatus {
        let now = self.now.mono;
        let tokens = self
            .shard
            .as_ref()
            .filter(|_| self.may_decide())
            .map(|shard| shard.tokens);
        PeerStatus {
            node: self.settings.node.clone(),
            state_ms: self.state_served_at.map(|at| now.saturating_sub(at)),
            // Until the counter has been read, this node does not know which tokens it knew before it was restarted.
            token: (self.shared.revision > 0).then(|| self.highest_token()),
            leads: tokens.map(TokenRange::last),
            leads_from: tokens.map(TokenRange::first),
            hears_no_agents: self
                .shard
                .as_ref()
                .is_some_and(|shard| shard.receives_no_heartbeats(now)),
            down: self.state_served_at.is_none() || self.state_down(),
            spreads: self.leads() && self.is_spread(),
            delegation: None,
        }
    }

    /// Stores a peer's status, from a request or an answer. Rejects an unknown node name and an implausible token.
    pub(crate) fn store_peer_status(&mut self, peer_status: PeerStatus) -> Option<usize> {
        let peer = self.peer_named(&peer_status.node)?;
        if peer_status
            .leads
            .max(peer_status.token)
            .is_some_and(|t| t >= FIRST_IMPLAUSIBLE_TOKEN)
        {
            self.stats.bad_answers += 1;
            return None;
        }
        if let Some(token) = peer_status.leads {
            self.note_spread(peer_status.spreads);
            self.leadership_claimed(peer_status.node.clone(), token);
        }
        let now = self.now.mono;
        self.peer_statuses
            .by_peer
            .resize_with(self.settings.peers.len(), || None);
        self.peer_statuses.by_peer[peer] = Some((now, peer_status));
        Some(peer)
    }

    /// Handles a peer's answer to the status request that was sent at `sent`.
    pub(crate) fn peer_status_received(
        &mut self,
        sent: u64,
        peer: usize,
        response: Option<Response>,
    ) {
        let Some(PeerResponse::PeerStatus(peer_status)) = peer_answer(response) else {
            return;
        };
        // Only the leader may delegate, and only under its own token.
        let delegation = peer_status
            .delegation
            .clone()
            .filter(|terms| peer_status.leads == Some(terms.token));
        let token = peer_status.token;
        if self.store_peer_status(peer_status) == Some(peer) {
            self.attestation_received(sent, peer, token);
            self.note_delegation(sent, delegation);
        }
    }

    /// Whether a peer reports that it is the leader and receives no heartbeats from workers.
    pub(crate) fn reports_no_heartbeats(&self, peer: usize) -> bool {
        self.fresh_status(peer)
            .is_some_and(|peer_status| peer_status.hears_no_agents)
    }

    /// The tokens that a peer uses as the leader with this token, as far as it has said so.
    pub(crate) fn tokens_of_leader(&self, peer: usize, token: u64) -> TokenRange {
        let status = self
            .fresh_status(peer)
            .filter(|status| status.leads == Some(token));
        TokenRange::of_leader(token, status.and_then(|status| status.leads_from))
    }

    /// Whether a peer reports that the state service does not serve it; `None` without a recent status of that peer.
    pub(crate) fn reports_state_down(&self, peer: usize) -> Option<bool> {
        self.fresh_status(peer).map(|peer_status| peer_status.down)
    }

    /// When a status of a peer was last received; 0 for never.
    pub(crate) fn last_heard_at(&self, peer: usize) -> u64 {
        self.peer_statuses
            .by_peer
            .get(peer)
            .and_then(Option::as_ref)
            .map_or(0, |(at, _)| *at)
    }

    /// Whether there is a recent status of a peer.
    pub(crate) fn has_recent_status(&self, peer: usize) -> bool {
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

    /// Whether another node may be able to lead instead of this one: a peer reports that the state service answers it,
    /// or there is no recent status of any peer, so that nothing rules it out.
    pub(crate) fn may_have_successor(&self) -> bool {
        let reaches_state = |(age, status): (u64, &PeerStatus)| {
            status
                .state_ms
                .is_some_and(|ms| ms.saturating_add(age) < STATE_CONTACT_MS)
        };
        self.fresh_statuses().next().is_none() || self.fresh_statuses().any(reaches_state)
    }
}
