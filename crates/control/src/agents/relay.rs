//! Heartbeats that come to a node which does not lead the fleet, from workers that can't reach the one that does: forwarded to
//! the leader, many to a message, and its orders handed back within the time that a worker waits. Commands to such
//! workers go the same way.
//!
//! A relayed heartbeat is the worker's own, with its agent epoch and number, and a relayed answer is the leader's own, with
//! its token: a relay judges, renews and orders nothing. It asks only the leader, so that nothing goes in circles.

use crate::agents::heartbeat::HeartbeatReply;
use crate::jobs::peer_requests::peer_answer;
use crate::{Destination, Node, Pending};
use reach::{Caller, Leader, Turn, Ways};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;
use wire::api::Heartbeat;
use wire::http::Response;
use wire::peer::{PeerRequest, PeerResponse};

/// Heartbeats in a message, their bytes, and messages that are out at once. What is beyond is refused: relays are the
/// first thing that overload sheds.
const MAX_BATCH_HEARTBEATS: usize = 32;
const MAX_BATCH_BYTES: usize = 256 << 10;
const MAX_BATCHES_IN_FLIGHT: usize = 16;
/// Spread heartbeats wait so long for a fuller batch while the leader has not answered the one before: a leader that is
/// slow gets fewer messages, and more in each.
const MAX_BATCH_DELAY_MS: u64 = 400;
/// A worker waits 4 s for its answer.
const BATCH_TIMEOUT_MS: u64 = 2500;
/// A leader that does not take what is forwarded to it is left alone for so long.
const PAUSE_MS: u64 = 1000;
/// Shorter than a leader waits for the answer to a command.
const COMMAND_TIMEOUT_MS: u64 = 1500;

/// What the end of a command is called that a peer has not sent, since it does not serve that worker.
pub(crate) const NOT_SENT: u16 = 421;

/// What a relay holds.
#[derive(Default)]
pub(crate) struct Relay {
    /// Which workers reach the leader by themselves.
    pub ways: Ways,
    /// Heartbeats that wait for the next message, with their connections, and their bytes.
    queue: Vec<(u64, ByteBuf)>,
    bytes: usize,
    /// When the first heartbeat in the queue came.
    queued_at: u64,
    /// Messages that are not answered yet.
    in_flight: usize,
    /// The leader did not take a message: nothing is forwarded until then.
    paused_until: u64,
}

impl Node {
    /// Whether heartbeats and commands may go by way of peers.
    pub(crate) fn relays(&self) -> bool {
        self.tuning.relays > 0.0
    }

    /// A heartbeat to a node that does not lead the fleet: true if it is forwarded.
    pub(crate) fn forward_heartbeat(
        &mut self,
        conn: u64,
        heartbeat: &Heartbeat,
        body: &[u8],
    ) -> bool {
        let now = self.now.mono;
        let leader = self.leader_peer().zip(self.leader_token());
        let Some((node, token)) =
            leader.filter(|_| self.relays() && now >= self.relay.paused_until)
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
        if self.relay.queue.is_empty() {
            self.relay.queued_at = now;
        }
        self.relay.bytes += body.len();
        self.relay.queue.push((conn, ByteBuf::from(body)));
        if self.relay.queue.len() >= MAX_BATCH_HEARTBEATS || self.relay.bytes >= MAX_BATCH_BYTES {
            self.send_batch();
        }
        true
    }

    /// Whether the leader is slow and not cut off: heartbeats are spread, it is heard, and has let a batch time out just
    /// now. Workers that were redirected to it then would all connect to it at once and add to what slows it.
    pub(crate) fn leader_is_slow(&self) -> bool {
        let is_heard = |peer| self.is_heard(peer);
        self.is_spread()
            && self.now.mono < self.relay.paused_until
            && self.leader_peer().is_some_and(is_heard)
    }

    /// Sends what has come since the last tick, unless it may still gather.
    pub(crate) fn relay_tick(&mut self) {
        if !self.relay.queue.is_empty() && !self.is_batching() {
            self.send_batch();
        }
    }

    /// Whether heartbeats wait for a fuller batch, while one before is not answered.
    fn is_batching(&self) -> bool {
        let waits = self.now.mono < self.relay.queued_at + MAX_BATCH_DELAY_MS;
        self.is_spread() && self.relay.in_flight > 0 && waits
    }

    fn send_batch(&mut self) {
        let Some(peer) = self
            .leader_peer()
            .filter(|_| self.relay.in_flight < MAX_BATCHES_IN_FLIGHT)
        else {
            return self.refuse_queue();
        };
        self.relay.bytes = 0;
        let (conns, heartbeats): (Vec<u64>, Vec<ByteBuf>) = self.relay.queue.drain(..).unzip();
        self.relay.in_flight += 1;
        let request = PeerRequest::Reports {
            node: self.settings.node.clone(),
            reports: heartbeats,
        };
        let what = Pending::Relayed { conns };
        self.ask_peer(peer, &request, BATCH_TIMEOUT_MS, what);
    }

    fn refuse_queue(&mut self) {
        self.relay.bytes = 0;
        for (conn, _) in std::mem::take(&mut self.relay.queue) {
            self.refuse(conn, 503, "the owner can't be reached from here");
        }
    }

    /// The leader's answer to a batch of heartbeats: each goes to its worker.
    pub(crate) fn relayed_heartbeats_answered(
        &mut self,
        conns: Vec<u64>,
        response: Option<Response>,
    ) {
        self.relay.in_flight = self.relay.in_flight.saturating_sub(1);
        let bodies = match peer_answer(response) {
            Some(PeerResponse::Orders(bodies)) if bodies.len() == conns.len() => bodies,
            _ => {
                self.relay.paused_until = self.now.mono + PAUSE_MS;
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
        let peer = self
            .peer_named(node)
            .filter(|_| heartbeats.len() <= MAX_BATCH_HEARTBEATS);
        let Some(peer) = peer else {
            self.stats.bad_answers += 1;
            return self.refuse(conn, 400, "reports: from nobody we know, or too many");
        };
        if self.shard.is_none() {
            return self.answer_peer(conn, &PeerResponse::NotNow);
        }
        let bodies = heartbeats
            .iter()
            .map(|body| self.take_relayed_heartbeat(peer, body))
            .collect();
        self.answer_peer(conn, &PeerResponse::Orders(bodies));
    }

    fn take_relayed_heartbeat(&mut self, peer: usize, body: &[u8]) -> ByteBuf {
        let Ok(heartbeat) = wire::decode::<Heartbeat>(body) else {
            self.stats.bad_answers += 1;
            return ByteBuf::new();
        };
        self.stats.relayed += 1;
        match self.handle_heartbeat(&heartbeat, Some(peer)) {
            HeartbeatReply::Orders(body) => ByteBuf::from(body),
            HeartbeatReply::Refused(_) => ByteBuf::new(),
        }
    }

    /// The leader has something to say to a worker that is served here.
    pub(crate) fn relay_command(&mut self, conn: u64, machine: &str, addr: &str, body: Vec<u8>) {
        let is_served = self.relay.ways.serves(self.now.mono, machine) && self.relays();
        match addr.parse::<SocketAddr>() {
            Ok(addr) if is_served => {
                self.post_command(addr, body, COMMAND_TIMEOUT_MS, Pending::Tell { conn });
            }
            _ => self.relayed_command_unsent(conn),
        }
    }

    fn post_command(&mut self, addr: SocketAddr, body: Vec<u8>, timeout_ms: u64, what: Pending) {
        let to = Destination::Worker(addr);
        self.send(to, "POST", "/commands".into(), body, timeout_ms, what);
    }

    /// Tells the leader that its command has not left this host.
    pub(crate) fn relayed_command_unsent(&mut self, conn: u64) {
        self.answer_peer(conn, &PeerResponse::refused(NOT_SENT, ""));
    }

    /// Tells the leader what the worker has answered.
    pub(crate) fn relayed_command_answered(&mut self, conn: u64, response: Option<Response>) {
        let answer = response.map_or(PeerResponse::NotNow, |r| PeerResponse::CommandResult {
            status: r.status,
            body: r.body.into(),
        });
        self.answer_peer(conn, &answer);
    }

    /// A command to a worker, by way of the node that it heartbeats to.
    pub(crate) fn send_command(
        &mut self,
        m: usize,
        addr: SocketAddr,
        body: Vec<u8>,
        timeout_ms: u64,
        what: Pending,
    ) {
        let machine = self.shard.as_ref().and_then(|p| p.machine(m));
        let via = machine.and_then(|m| Some((m.via?, m.name.clone())));
        match via {
            Some((peer, machine)) => {
                let request = PeerRequest::Command {
                    machine,
                    addr: addr.to_string(),
                    body: body.into(),
                };
                self.ask_peer(peer, &request, timeout_ms, what);
            }
            None => self.post_command(addr, body, timeout_ms, what),
        }
    }
}

fn worker_response(status: u16, body: Vec<u8>) -> Response {
    Response {
        status,
        body,
        close: false,
        retry_after_s: None,
    }
}

/// The end of a command that has not left this host.
pub(crate) fn not_sent() -> Response {
    worker_response(NOT_SENT, Vec::new())
}

/// What a worker answered, where a peer tells it. A peer's own answer that is none is as good as silence.
pub(crate) fn relayed_answer(response: Option<Response>) -> Option<Response> {
    match peer_answer(response)? {
        PeerResponse::CommandResult { status, body } if status != NOT_SENT => {
            Some(worker_response(status, body.into_vec()))
        }
        PeerResponse::Refused { status, .. } => Some(worker_response(status, Vec::new())),
        _ => None,
    }
}
