//! Relaying between the leader and workers that send their heartbeats to another node, for example because they can't
//! reach the leader. The node forwards heartbeats to the leader in batches, and returns the leader's orders while the
//! workers wait. Commands to such workers take the same path.
//!
//! A relayed heartbeat is the worker's own, with its agent epoch and sequence number, and a relayed reply is the
//! leader's own, with its token: a relay makes no decisions, renews no leases and issues no orders. It forwards only to
//! the leader, so that messages can't loop.

use crate::agents::heartbeat::HeartbeatReply;
use crate::jobs::peer_requests::peer_answer;
use crate::{Destination, Node, Pending};
use reach::{Leader, LeaderReachability, ReportRoute, Reporter};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;
use wire::api::Heartbeat;
use wire::http::Response;
use wire::peer::{PeerRequest, PeerResponse};

/// The most heartbeats in a batch, the bytes from which a batch is sent, and the most batches in flight. Heartbeats
/// beyond that are rejected: relaying is shed first under overload.
const MAX_BATCH_HEARTBEATS: usize = 32;
const MAX_BATCH_BYTES: usize = 256 << 10;
const MAX_BATCHES_IN_FLIGHT: usize = 16;
/// While heartbeats are spread and an earlier batch is unanswered, the next one is delayed by up to this time:
/// a slow leader gets fewer and larger messages.
const MAX_BATCH_DELAY_MS: u64 = 400;
/// Shorter than the 4 s that a worker waits for the reply to its heartbeat.
const BATCH_TIMEOUT_MS: u64 = 2500;
/// Nothing is forwarded to the leader for this time after it did not accept a batch.
const PAUSE_MS: u64 = 1000;
/// Shorter than the time that the leader waits for the response to a command.
const COMMAND_TIMEOUT_MS: u64 = 1500;

/// The status of a command that a peer did not send, for example because it does not serve that worker.
pub(crate) const NOT_SENT: u16 = 421;

/// The state of a relay.
#[derive(Default)]
pub(crate) struct Relay {
    /// Estimates which workers can reach the leader directly.
    pub reachability: LeaderReachability,
    /// Heartbeats that wait for the next batch, with their connections, and their total size in bytes.
    queue: Vec<(u64, ByteBuf)>,
    bytes: usize,
    /// When the first heartbeat in the queue arrived.
    queued_at: u64,
    /// Batches that are not answered yet.
    in_flight: usize,
    /// Nothing is forwarded until this time, because the leader did not accept a batch.
    paused_until: u64,
}

impl Node {
    /// Whether heartbeats and commands may be relayed by peers.
    pub(crate) fn may_relay(&self) -> bool {
        self.tuning.relays > 0.0
    }

    /// Queues a heartbeat for the leader. Returns false if it is not to be forwarded.
    pub(crate) fn forward_heartbeat(
        &mut self,
        conn: u64,
        heartbeat: &Heartbeat,
        body: &[u8],
    ) -> bool {
        let now = self.now.mono;
        let leader = self.leader_peer().zip(self.leader_token());
        let Some((node, token)) =
            leader.filter(|_| self.may_relay() && now >= self.relay.paused_until)
        else {
            return false;
        };
        let leader = Leader {
            node,
            token,
            accepts_no_workers: self.reports_no_heartbeats(node) || self.is_spread(),
        };
        // Reachability knows the leader by one token; a worker may have seen any of its tokens.
        let tokens = self.tokens_of_leader(node, token);
        let seen_token = match tokens.contains(heartbeat.token) {
            true => tokens.last(),
            false => heartbeat.token,
        };
        let reporter = Reporter {
            machine: &heartbeat.machine,
            zone: &heartbeat.zone,
            token: seen_token,
        };
        if self.relay.reachability.route_report(now, &reporter, leader) == ReportRoute::Redirect {
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

    /// Whether the leader is slow but reachable: heartbeats are spread, its status messages arrive, and it has just
    /// not accepted a batch, usually by a timeout. Workers redirected to it then would all connect at once and slow
    /// it further.
    pub(crate) fn leader_is_slow(&self) -> bool {
        let has_recent_status = |peer| self.has_recent_status(peer);
        self.is_spread()
            && self.now.mono < self.relay.paused_until
            && self.leader_peer().is_some_and(has_recent_status)
    }

    /// Sends the queued heartbeats, unless they still wait for a fuller batch.
    pub(crate) fn relay_tick(&mut self) {
        if !self.relay.queue.is_empty() && !self.is_batching() {
            self.send_batch();
        }
    }

    /// Whether heartbeats wait for a fuller batch because an earlier one is unanswered.
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
        let pending = Pending::RelayedHeartbeats { conns };
        self.send_peer_request(peer, &request, BATCH_TIMEOUT_MS, pending);
    }

    fn refuse_queue(&mut self) {
        self.relay.bytes = 0;
        for (conn, _) in std::mem::take(&mut self.relay.queue) {
            self.refuse(conn, 503, "the leader can't be reached from this node");
        }
    }

    /// Handles the leader's answer to a batch by sending each worker its reply.
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
                self.refuse(conn, 503, "the leader does not respond");
            } else {
                self.respond(conn, 200, body.into_vec(), None);
            }
        }
    }

    /// Handles a batch of heartbeats from a peer. Each one is accepted or rejected on its own; an empty body rejects
    /// it.
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
            return self.refuse(
                conn,
                400,
                "reports: the sender is not a known peer, or there are too many",
            );
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

    /// Forwards a command from the leader to a worker that sends its heartbeats to this node.
    pub(crate) fn relay_command(&mut self, conn: u64, machine: &str, addr: &str, body: Vec<u8>) {
        let is_served =
            self.relay.reachability.is_served(self.now.mono, machine) && self.may_relay();
        match addr.parse::<SocketAddr>() {
            Ok(addr) if is_served => {
                self.post_command(
                    addr,
                    body,
                    COMMAND_TIMEOUT_MS,
                    Pending::RelayedCommand { conn },
                );
            }
            _ => self.relayed_command_unsent(conn),
        }
    }

    fn post_command(&mut self, addr: SocketAddr, body: Vec<u8>, timeout_ms: u64, pending: Pending) {
        let to = Destination::Worker(addr);
        self.send(to, "POST", "/commands".into(), body, timeout_ms, pending);
    }

    /// Tells the leader that its command was not sent.
    pub(crate) fn relayed_command_unsent(&mut self, conn: u64) {
        self.answer_peer(conn, &PeerResponse::refused(NOT_SENT, ""));
    }

    /// Sends the worker's response to a relayed command to the leader.
    pub(crate) fn relayed_command_answered(&mut self, conn: u64, response: Option<Response>) {
        let answer = response.map_or(PeerResponse::NotNow, |r| PeerResponse::CommandResult {
            status: r.status,
            body: r.body.into(),
        });
        self.answer_peer(conn, &answer);
    }

    /// Sends a command to a worker, through the peer that relays its heartbeats if there is one.
    pub(crate) fn send_command(
        &mut self,
        machine_index: usize,
        addr: SocketAddr,
        body: Vec<u8>,
        timeout_ms: u64,
        pending: Pending,
    ) {
        let machine = self
            .shard
            .as_ref()
            .and_then(|shard| shard.machine(machine_index));
        let via = machine.and_then(|m| Some((m.via?, m.name.clone())));
        match via {
            Some((peer, machine)) => {
                let request = PeerRequest::Command {
                    machine,
                    addr: addr.to_string(),
                    body: body.into(),
                };
                self.send_peer_request(peer, &request, timeout_ms, pending);
            }
            None => self.post_command(addr, body, timeout_ms, pending),
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

/// The response that stands for a command that was not sent.
pub(crate) fn not_sent() -> Response {
    worker_response(NOT_SENT, Vec::new())
}

/// The worker's response in a peer's answer to a relayed command. If the peer got no response, there is none.
pub(crate) fn relayed_answer(response: Option<Response>) -> Option<Response> {
    match peer_answer(response)? {
        PeerResponse::CommandResult { status, body } if status != NOT_SENT => {
            Some(worker_response(status, body.into_vec()))
        }
        PeerResponse::Refused { status, .. } => Some(worker_response(status, Vec::new())),
        _ => None,
    }
}
