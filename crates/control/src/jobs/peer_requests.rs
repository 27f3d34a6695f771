//! Peers' requests. What a peer forwards for a user goes no further than to the leader and the state service.

use crate::jobs::query::{Question, Why};
use crate::{Node, Requester};
use wire::http::{Request, Response};
use wire::peer::{self, Answer, Ask};

/// What a peer answered; anything else than an answer is none.
pub(crate) fn peer_answer(response: Option<Response>) -> Option<Answer> {
    response
        .filter(|r| r.status == 200)
        .and_then(|r| peer::decode(&r.body).ok())
}

impl Node {
    pub(crate) fn peer(&mut self, conn: u64, request: &Request) {
        if self.demand_at_door(conn, request) || self.admin_asked(conn, request) {
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
            Some(Ask::Wake { model, leader }) => self.demand_of_peer(conn, &model, leader),
            None => self.refuse(conn, 400, "not understood"),
        }
    }
}
