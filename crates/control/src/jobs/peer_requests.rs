//! Requests from peers. A request that a peer forwards on behalf of a user goes only to the leader and the state
//! service; it is not forwarded a second time.

use crate::jobs::query::{Lookup, Purpose};
use crate::{Destination, Node, Pending, Requester};
use wire::http::{Request, Response};
use wire::peer::{self, PeerRequest, PeerResponse, PeerStatus};

/// A peer's answer; `None` for an error status or an unreadable body.
pub(crate) fn peer_answer(response: Option<Response>) -> Option<PeerResponse> {
    response
        .filter(|r| r.status == 200)
        .and_then(|r| peer::decode(&r.body).ok())
}

impl Node {
    /// Handles a request on the peers' port. Operators' requests arrive there too.
    pub(crate) fn peer_request(&mut self, conn: u64, request: &Request) {
        if self.operator_demand(conn, request) || self.admin_requested(conn, request) {
            return;
        }
        let is_peer_request = request.method == "POST" && request.path == peer::PATH;
        match is_peer_request.then(|| peer::decode::<PeerRequest>(&request.body).ok()) {
            Some(Some(decoded)) => self.dispatch_peer_request(conn, decoded),
            _ => self.refuse(conn, 400, "unreadable peer request"),
        }
    }

    /// Dispatches a request from a peer by its kind.
    fn dispatch_peer_request(&mut self, conn: u64, request: PeerRequest) {
        match request {
            PeerRequest::Query { job } => self.queried_as_leader(conn, &job),
            PeerRequest::Cancel { job } => self.cancel(&job, Requester::Peer(conn)),
            PeerRequest::Submit { spec } => self.submit(Requester::Peer(conn), *spec),
            PeerRequest::Lookup { job, past_leader } => {
                let lookup = self.new_lookup(Requester::Peer(conn), job, Purpose::Query);
                self.query(Lookup {
                    past_leader,
                    ..lookup
                })
            }
            PeerRequest::Leads { node, token } => {
                self.leadership_claimed(node, token);
                self.answer_peer(conn, &PeerResponse::NotNow);
            }
            PeerRequest::PeerStatus(status) => self.exchange_peer_status(conn, status),
            PeerRequest::Reports { node, reports } => {
                self.relayed_heartbeats_received(conn, &node, reports)
            }
            PeerRequest::Command {
                machine,
                addr,
                body,
            } => self.relay_command(conn, &machine, &addr, body.into_vec()),
            PeerRequest::Wake { model, leader } => self.peer_demand(conn, &model, leader),
        }
    }

    /// Sends a request to a peer. `pending` determines how its answer is handled.
    pub(crate) fn send_peer_request(
        &mut self,
        peer: usize,
        request: &PeerRequest,
        timeout_ms: u64,
        pending: Pending,
    ) {
        let (to, body) = (Destination::Peer(peer), peer::encode(request));
        self.send(to, "POST", peer::PATH.into(), body, timeout_ms, pending);
    }

    /// Answers a peer's request.
    pub(crate) fn answer_peer(&mut self, conn: u64, answer: &PeerResponse) {
        self.respond(conn, 200, peer::encode(answer), None);
    }

    /// Answers a query by a peer that takes this node for the leader. Only a leader that may decide can say that it
    /// does not know the job.
    fn queried_as_leader(&mut self, conn: u64, job: &str) {
        match self.state_as_leader(job) {
            Some(state) => self.answer_state(Requester::Peer(conn), state),
            None if self.may_decide() => self.answer_peer(conn, &PeerResponse::Unknown),
            None => self.answer_peer(conn, &PeerResponse::NotNow),
        }
    }

    /// Handles a peer's status, and answers with this node's status and the lease delegation for the peer.
    fn exchange_peer_status(&mut self, conn: u64, status: PeerStatus) {
        let Some(peer) = self.store_peer_status(status) else {
            let why = "peer status: unknown node, or an implausible token";
            return self.refuse(conn, 400, why);
        };
        let status = PeerStatus {
            delegation: self.delegation_for(peer),
            ..self.peer_status()
        };
        self.answer_peer(conn, &PeerResponse::PeerStatus(status));
    }
}
