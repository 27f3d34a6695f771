//! Receives heartbeats, from workers or relayed by a peer, and builds the replies.

use crate::Node;
use crate::agents::machine::Machine;
use crate::agents::orders::{Delivery, WorkerMessage};
use crate::leadership::peer_status::FIRST_IMPLAUSIBLE_TOKEN;
use std::fmt;
use wire::api::{Heartbeat, Order, Orders, Redirect};

const MAX_MACHINE_NAME_BYTES: usize = 100;

/// The reply to a heartbeat.
pub(crate) enum HeartbeatReply {
    /// The body of a response with status 200.
    Orders(Vec<u8>),
    Refused(HeartbeatRefusal),
}

/// Why a heartbeat is rejected. The text is sent to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatRefusal {
    NotLeader,
    /// The leader has been unable to confirm its own lease for longer than it may still renew the leases of workers.
    LeaseUncertain,
    /// The worker reports a token that no leader can have held.
    ImplausibleToken,
    /// The worker reports a higher token, and the leader raises its own above it.
    RaisingToken,
    /// The worker follows a later leader.
    SteppedDown,
}

impl fmt::Display for HeartbeatRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HeartbeatRefusal::NotLeader => "not the leader",
            HeartbeatRefusal::LeaseUncertain => {
                "the leader could not confirm its lease for too long"
            }
            HeartbeatRefusal::ImplausibleToken => "the token was never issued",
            HeartbeatRefusal::RaisingToken => "the leader is raising its token",
            HeartbeatRefusal::SteppedDown => "no longer the leader",
        })
    }
}

impl Node {
    /// Handles a worker's heartbeat. A node that does not lead the fleet forwards it or redirects the worker to the
    /// leader.
    pub(crate) fn heartbeat_received(&mut self, conn: u64, body: &[u8]) {
        let heartbeat: Heartbeat = match wire::decode(body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => return self.refuse(conn, 400, &e.to_string()),
        };
        if !self.leads() {
            return self.heartbeat_for_leader(conn, &heartbeat, body);
        }
        if let Some(node) = self.redirect_target(&heartbeat) {
            return self.redirect(conn, node);
        }
        match self.handle_heartbeat(&heartbeat, None) {
            HeartbeatReply::Orders(body) => self.respond(conn, 200, body, None),
            HeartbeatReply::Refused(why) => self.refuse(conn, 503, &why.to_string()),
        }
    }

    /// Handles a heartbeat on a node that does not lead the fleet: renews the worker's lease as a lease delegate,
    /// forwards the heartbeat, or redirects the worker to the leader.
    fn heartbeat_for_leader(&mut self, conn: u64, heartbeat: &Heartbeat, body: &[u8]) {
        if let Some(body) = self.answer_as_delegate(heartbeat) {
            return self.respond(conn, 200, body, None);
        }
        if self.forward_heartbeat(conn, heartbeat, body) {
            return;
        }
        if self.leader_is_slow() {
            return self.refuse(conn, 503, "the leader does not respond");
        }
        match self.leader_name().filter(|o| *o != self.settings.node) {
            Some(node) => self.redirect(conn, node),
            None => self.refuse(conn, 503, "no leader is known"),
        }
    }

    /// Redirects a worker to another controller.
    fn redirect(&mut self, conn: u64, node: String) {
        let body = wire::encode(&Redirect {
            report_to: Some(node),
        });
        self.respond(conn, 421, body, None);
    }

    /// Handles a heartbeat as the leader. `via` is the peer that relayed it, if any.
    pub(crate) fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        via: Option<usize>,
    ) -> HeartbeatReply {
        let Some(shard) = &self.shard else {
            return HeartbeatReply::Refused(HeartbeatRefusal::NotLeader);
        };
        if heartbeat.token > shard.token() {
            return HeartbeatReply::Refused(self.handle_higher_token(heartbeat.token));
        }
        if !shard.loaded {
            // The state is not loaded yet, and the worker's tasks may belong to jobs cancelled long ago, so its lease
            // must not be renewed. A worker ignores orders with token 0 and keeps sending its heartbeats here.
            let body = wire::encode(&Orders {
                token: 0,
                agent_epoch: None,
                orders: Vec::new(),
            });
            return HeartbeatReply::Orders(body);
        }
        if !self.may_renew_worker_leases() {
            return HeartbeatReply::Refused(HeartbeatRefusal::LeaseUncertain);
        }
        let token = heartbeat.token.max(shard.tokens.first());
        let message = match self.find_or_add_sender(heartbeat) {
            Some(machine_index) if self.note_heartbeat(machine_index, heartbeat, via) => {
                let message = self.message_for(machine_index, Delivery::Reply);
                self.note_unacknowledged_start(machine_index, &message.orders);
                message
            }
            // An older heartbeat. The worker may still be waiting for this reply, which renews its lease, so the reply
            // has to stop the tasks of cancelled jobs.
            Some(machine_index) => self.cancellation_message(machine_index),
            None => WorkerMessage::without_orders(token),
        };
        HeartbeatReply::Orders(message.reply_body())
    }

    /// Notes that the reply to a heartbeat contains a start. It may arrive before or after a command that is sent
    /// concurrently, so until the next heartbeat a response to a command doesn't prove that the task is absent.
    fn note_unacknowledged_start(&mut self, machine_index: usize, orders: &[Order]) {
        if orders.iter().any(|o| matches!(o, Order::Start { .. }))
            && let Some(machine) = self
                .shard
                .as_mut()
                .and_then(|shard| shard.machine_mut(machine_index))
        {
            machine.unacknowledged_start = Some(machine.newest_message);
        }
    }

    /// Applies a heartbeat that the worker sent on its own, not in response to a command. Returns true if it is the
    /// newest. Its sender no longer waits for the replies to earlier heartbeats, so orders in those can't be executed
    /// any more.
    fn note_heartbeat(
        &mut self,
        machine_index: usize,
        heartbeat: &Heartbeat,
        via: Option<usize>,
    ) -> bool {
        let Some(shard) = &mut self.shard else {
            return false;
        };
        let (own_token, now) = (shard.tokens.first(), self.now.mono);
        shard.heard_directly |= via.is_none();
        let Some(machine) = shard.machine_mut(machine_index) else {
            return false;
        };
        let sequence = (heartbeat.agent_epoch, heartbeat.seq);
        if sequence > machine.newest_message {
            machine.via = via;
            machine.heartbeat_at = now;
            // The worker reports our token, which it did not know at its first heartbeat: it has heard from us since,
            // so the heartbeat is not an old copy.
            machine.unconfirmed_token = machine
                .unconfirmed_token
                .filter(|token| *token >= own_token || heartbeat.token < own_token);
            machine.unacknowledged_start = machine
                .unacknowledged_start
                .filter(|start| *start >= sequence);
        }
        self.reconcile(machine_index, heartbeat)
    }

    /// Handles a worker that reports a higher token than ours. While our lease is valid there can't be a newer leader,
    /// so the token is spurious and we raise ours above it. Otherwise a new leader has been elected, and we step down.
    fn handle_higher_token(&mut self, token: u64) -> HeartbeatRefusal {
        log::warn!("a worker reports token {token}, higher than ours");
        if self.has_valid_lease() {
            // A corrupt value from one worker must neither exhaust the token counter nor depose a valid leader.
            if token >= FIRST_IMPLAUSIBLE_TOKEN {
                return HeartbeatRefusal::ImplausibleToken;
            }
            self.shared.token = self.shared.token.max(token);
            if let Some(shard) = &mut self.shard {
                shard.raise_token = true;
            }
            return HeartbeatRefusal::RaisingToken;
        }
        self.step_down("a worker reports a higher token");
        HeartbeatRefusal::SteppedDown
    }

    /// Returns the machine that sent a heartbeat, and adds it if it is unknown and was not returned to the cloud.
    fn find_or_add_sender(&mut self, heartbeat: &Heartbeat) -> Option<usize> {
        let now = self.now;
        let shard = self.shard.as_mut()?;
        if let Some(machine_index) = shard.machines.index_of(&heartbeat.machine) {
            return Some(machine_index);
        }
        if shard.returned.contains(&heartbeat.machine) || !is_valid_name(&heartbeat.machine) {
            return None;
        }
        log::info!(
            "machine {}: heartbeats unexpectedly, taken in",
            heartbeat.machine
        );
        let mut machine = Machine::unrecorded(
            &heartbeat.machine,
            &heartbeat.machine_type,
            &heartbeat.zone,
            heartbeat.spot,
            now.wall,
            now.mono,
        );
        machine.unconfirmed_token = Some(heartbeat.token);
        machine.addr = heartbeat.addr.parse().ok();
        let machine_index = shard.add_machine(machine);
        self.probe_machine(machine_index);
        Some(machine_index)
    }
}

/// Whether `name` is a valid machine name.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_MACHINE_NAME_BYTES
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}
