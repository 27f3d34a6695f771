//! Heartbeats that come to a node which does not lead the fleet, from workers that can't reach the one that does: forwarded to
//! the leader, many to a message, and its orders handed back within the time that a worker waits. Commands to such
//! workers go the same way.
//!
//! A relayed heartbeat is the worker's own, with its session and number, and a relayed answer is the leader's own, with
//! its token: a relay judges, renews and orders nothing. It asks only the leader, so that nothing goes in circles.

use crate::agents::heartbeat::HeartbeatReply;
use crate::jobs::admission::peer_answer;
use crate::{Destination, Node, Pending};
use reach::{Caller, Leader, Turn, Ways};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;
use wire::api::Heartbeat;
use wire::http::Response;
use wire::peer::{self, PeerRequest, PeerResponse};

/// Heartbeats in a message, their bytes, and messages that are out at once. What is beyond is refused: relays are the
/// first thing that overload sheds.
const BATCH: usize = 32;
const BATCH_BYTES: usize = 256 << 10;
const OUT: usize = 16;
/// A worker waits 4 s for its answer.
const REPORTS_TIMEOUT_MS: u64 = 2500;
/// A leader that does not take what is forwarded to it is left alone for so long.
const REST_MS: u64 = 1000;
/// Shorter than a leader waits for the answer to a command.
const TELL_TIMEOUT_MS: u64 = 1500;

/// What the end of a command is called that a peer has not sent, since it does not serve that worker.
pub(crate) const NOT_SENT: u16 = 421;

/// What a relay holds.
#[derive(Default)]
pub(crate) struct Relay {
    pub ways: Ways,
    queue: Vec<(u64, ByteBuf)>,
    bytes: usize,
    out: usize,
    rests_until: u64,
}

impl Node {
    pub(crate) fn relays(&self) -> bool {
        self.tuning.relays > 0.0
    }

    /// A heartbeat to a node that does not lead the fleet: true if it is forwarded.
    pub(crate) fn takes(&mut self, conn: u64, heartbeat: &Heartbeat, body: &[u8]) -> bool {
        let now = self.now.mono;
        let leader = self.leader_peer().zip(self.leader_token());
        let Some((node, token)) = leader.filter(|_| self.relays() && now >= self.relay.rests_until)
        else {
            return false;
        };
        let leader = Leader {
            node,
            token,
            avoided: self.hears_no_agents(node) || self.is_spread(),
        };
        let caller = Caller {
            machine: &heartbeat.machine,
            zone: &heartbeat.zone,
            token: heartbeat.token,
        };
        if self.relay.ways.came(now, &caller, leader) == Turn::Send {
            return false;
        }
        self.relay.bytes += body.len();
        self.relay.queue.push((conn, ByteBuf::from(body)));
        if self.relay.queue.len() >= BATCH || self.relay.bytes >= BATCH_BYTES {
            self.send_batch();
        }
        true
    }

    pub(crate) fn relay_tick(&mut self) {
        if !self.relay.queue.is_empty() {
            self.send_batch();
        }
    }

    fn send_batch(&mut self) {
        let Some(peer) = self.leader_peer().filter(|_| self.relay.out < OUT) else {
            return self.refuse_queue();
        };
        self.relay.bytes = 0;
        let (conns, heartbeats): (Vec<u64>, Vec<ByteBuf>) = self.relay.queue.drain(..).unzip();
        self.relay.out += 1;
        let body = peer::encode(&PeerRequest::Reports {
            node: self.settings.node.clone(),
            reports: heartbeats,
        });
        let to = Destination::Peer(peer);
        self.send(
            to,
            "POST",
            peer::PATH.into(),
            body,
            REPORTS_TIMEOUT_MS,
            Pending::Relayed { conns },
        );
    }

    fn refuse_queue(&mut self) {
        self.relay.bytes = 0;
        for (conn, _) in std::mem::take(&mut self.relay.queue) {
            self.refuse(conn, 503, "the owner can't be reached from here");
        }
    }

    pub(crate) fn relayed(&mut self, conns: Vec<u64>, response: Option<Response>) {
        self.relay.out = self.relay.out.saturating_sub(1);
        let bodies = match peer_answer(response) {
            Some(PeerResponse::Orders(bodies)) if bodies.len() == conns.len() => bodies,
            _ => {
                self.relay.rests_until = self.now.mono + REST_MS;
                conns.iter().map(|_| ByteBuf::new()).collect()
            }
        };
        for (conn, body) in conns.into_iter().zip(bodies) {
            if body.is_empty() {
                self.refuse(conn, 503, "the owner does not answer");
            } else {
                self.respond(conn, 200, body.into_vec(), None);
            }
        }
    }

    /// Heartbeats that a peer hands on. What can't be taken is refused one by one, and nothing else is lost.
    pub(crate) fn relayed_heartbeats_received(
        &mut self,
        conn: u64,
        node: &str,
        heartbeats: Vec<ByteBuf>,
    ) {
        let peer = self.peer_named(node).filter(|_| heartbeats.len() <= BATCH);
        let Some(peer) = peer else {
            self.stats.bad_answers += 1;
            return self.refuse(conn, 400, "reports: from nobody we know, or too many");
        };
        if self.shard.is_none() {
            return self.respond(conn, 200, peer::encode(&PeerResponse::NotNow), None);
        }
        let bodies = heartbeats
            .iter()
            .map(|body| self.forwarded(peer, body))
            .collect();
        self.respond(conn, 200, peer::encode(&PeerResponse::Orders(bodies)), None);
    }

    fn forwarded(&mut self, peer: usize, body: &[u8]) -> ByteBuf {
        let Ok(heartbeat) = wire::decode::<Heartbeat>(body) else {
            self.stats.bad_answers += 1;
            return ByteBuf::new();
        };
        self.stats.relayed += 1;
        match self.take_heartbeat(&heartbeat, Some(peer)) {
            HeartbeatReply::Orders(body) => ByteBuf::from(body),
            HeartbeatReply::Refused(_) => ByteBuf::new(),
        }
    }

    /// The leader has something to say to a worker that is served here.
    pub(crate) fn tell_asked(&mut self, conn: u64, machine: &str, addr: &str, body: Vec<u8>) {
        let known = self.relay.ways.serves(self.now.mono, machine);
        let Some(addr) = addr
            .parse::<SocketAddr>()
            .ok()
            .filter(|_| known && self.relays())
        else {
            return self.tell_unsent(conn);
        };
        let what = Pending::Tell { conn };
        self.send(
            Destination::Worker(addr),
            "POST",
            "/commands".into(),
            body,
            TELL_TIMEOUT_MS,
            what,
        );
    }

    pub(crate) fn tell_unsent(&mut self, conn: u64) {
        let answer = PeerResponse::refused(NOT_SENT, "");
        self.respond(conn, 200, peer::encode(&answer), None);
    }

    pub(crate) fn worker_told(&mut self, conn: u64, response: Option<Response>) {
        let answer = response.map_or(PeerResponse::NotNow, |r| PeerResponse::CommandResult {
            status: r.status,
            body: r.body.into(),
        });
        self.respond(conn, 200, peer::encode(&answer), None);
    }

    /// A command to a worker, by way of the node that it heartbeats to.
    pub(crate) fn command(
        &mut self,
        m: usize,
        addr: SocketAddr,
        body: Vec<u8>,
        timeout: u64,
        what: Pending,
    ) {
        let machine = self.shard.as_ref().and_then(|p| p.machine(m));
        let via = machine.and_then(|m| Some((m.via?, m.name.clone())));
        match via {
            Some((peer, machine)) => {
                let ask = PeerRequest::Command {
                    machine,
                    addr: addr.to_string(),
                    body: body.into(),
                };
                self.send(
                    Destination::Peer(peer),
                    "POST",
                    peer::PATH.into(),
                    peer::encode(&ask),
                    timeout,
                    what,
                );
            }
            None => self.send(
                Destination::Worker(addr),
                "POST",
                "/commands".into(),
                body,
                timeout,
                what,
            ),
        }
    }
}

/// The end of a command that has not left this host.
pub(crate) fn not_sent() -> Response {
    Response {
        status: NOT_SENT,
        body: Vec::new(),
        close: false,
        retry_after_s: None,
    }
}

/// What a worker answered, where a peer tells it. A peer's own answer that is none is as good as silence.
pub(crate) fn told(response: Option<Response>) -> Option<Response> {
    let as_worker = |status, body| Response {
        status,
        body,
        close: false,
        retry_after_s: None,
    };
    match peer_answer(response)? {
        PeerResponse::CommandResult { status, body } if status != NOT_SENT => {
            Some(as_worker(status, body.into_vec()))
        }
        PeerResponse::Refused { status, .. } => Some(as_worker(status, Vec::new())),
        _ => None,
    }
}
