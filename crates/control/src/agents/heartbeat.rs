//! Heartbeats: receiving one from a worker or by way of a peer, and what it is answered.

use crate::Node;
use crate::agents::machine::Machine;
use crate::leadership::peer_status::TOKEN_BOUND;
use std::fmt;
use wire::api::{Heartbeat, Order, Orders, Redirect};

const MAX_MACHINE_NAME_BYTES: usize = 100;

/// What a heartbeat is answered.
pub(crate) enum HeartbeatReply {
    /// The body of a 200.
    Orders(Vec<u8>),
    Refused(HeartbeatRefusal),
}

/// Why a heartbeat is not taken. Its sender reads the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatRefusal {
    NotLeader,
    /// The leader's lease may have run out, for longer than it may renew the leases of others.
    LeaseUncertain,
    /// The worker obeys a token that no leader can have had.
    ImpossibleToken,
    /// The worker obeys a higher token, and the leader goes above it.
    RaisingToken,
    /// The worker obeys a later leader.
    SteppedDown,
}

impl fmt::Display for HeartbeatRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HeartbeatRefusal::NotLeader => "not the owner",
            HeartbeatRefusal::LeaseUncertain => "not sure for too long",
            HeartbeatRefusal::ImpossibleToken => "that token was never given out",
            HeartbeatRefusal::RaisingToken => "raising the token",
            HeartbeatRefusal::SteppedDown => "not the owner any more",
        })
    }
}

impl Node {
    /// A worker's heartbeat. A node that leads no fleet forwards it, or names the leader.
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

    /// A heartbeat to a node that does not lead the fleet: kept alive on the leader's behalf, forwarded, or sent on.
    fn heartbeat_for_leader(&mut self, conn: u64, heartbeat: &Heartbeat, body: &[u8]) {
        if let Some(body) = self.delegate_answer(heartbeat) {
            return self.respond(conn, 200, body, None);
        }
        if self.forward_heartbeat(conn, heartbeat, body) {
            return;
        }
        if self.leader_is_slow() {
            return self.refuse(conn, 503, "the owner does not answer");
        }
        match self.leader_name().filter(|o| *o != self.settings.node) {
            Some(node) => self.redirect(conn, node),
            None => self.refuse(conn, 503, "no owner yet"),
        }
    }

    /// Sends a worker to another controller.
    fn redirect(&mut self, conn: u64, node: String) {
        let body = wire::encode(&Redirect {
            report_to: Some(node),
        });
        self.respond(conn, 421, body, None);
    }

    /// A heartbeat to the leader, from the worker itself or by way of a peer.
    pub(crate) fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        via: Option<usize>,
    ) -> HeartbeatReply {
        let Some(shard) = &self.shard else {
            return HeartbeatReply::Refused(HeartbeatRefusal::NotLeader);
        };
        if heartbeat.token > shard.token {
            return HeartbeatReply::Refused(self.outranked(heartbeat.token));
        }
        let token = shard.token;
        if !shard.loaded {
            // What runs there may have been cancelled long ago, so its lease is not renewed: the worker drops what
            // has no token, but stays.
            let body = wire::encode(&Orders {
                token: 0,
                agent_epoch: None,
                orders: Vec::new(),
            });
            return HeartbeatReply::Orders(body);
        }
        if !self.may_renew() {
            return HeartbeatReply::Refused(HeartbeatRefusal::LeaseUncertain);
        }
        let orders = match self.find_or_add_sender(heartbeat) {
            Some(m) if self.note_heartbeat(m, heartbeat, via) => {
                let orders = self.orders_for(m);
                self.note_unacknowledged_start(m, &orders);
                orders
            }
            // Its worker may wait for the answer all the same, and its lease is renewed by it: not without the stops of
            // what was cancelled.
            Some(m) => self.last_orders(m),
            None => Vec::new(),
        };
        HeartbeatReply::Orders(wire::encode(&Orders {
            token,
            agent_epoch: None,
            orders,
        }))
    }

    /// A start in the answer to a heartbeat may overtake a command, or be overtaken: until the next heartbeat, what a worker
    /// answers to commands proves nothing about it.
    fn note_unacknowledged_start(&mut self, m: usize, orders: &[Order]) {
        if orders.iter().any(|o| matches!(o, Order::Start { .. }))
            && let Some(machine) = self.shard.as_mut().and_then(|p| p.machine_mut(m))
        {
            machine.unacknowledged_start = Some(machine.seen);
        }
    }

    /// A heartbeat that a worker has made of itself; true if it is the newest. It waits for no answer to an earlier one
    /// any more, so nothing of that can still be executed.
    fn note_heartbeat(&mut self, m: usize, heartbeat: &Heartbeat, via: Option<usize>) -> bool {
        let Some(shard) = &mut self.shard else {
            return false;
        };
        let (own_token, now) = (shard.token, self.now.mono);
        shard.heard_itself |= via.is_none();
        let Some(machine) = shard.machine_mut(m) else {
            return false;
        };
        let sequence = (heartbeat.agent_epoch, heartbeat.seq);
        if sequence > machine.seen {
            machine.via = via;
            machine.heartbeat_at = now;
            // It has heard of us after that first heartbeat, if it obeys a token now that it did not know then.
            machine.unconfirmed_token = machine
                .unconfirmed_token
                .filter(|token| *token >= own_token || heartbeat.token < own_token);
            machine.unacknowledged_start = machine
                .unacknowledged_start
                .filter(|start| *start >= sequence);
        }
        self.reconcile(m, heartbeat)
    }

    /// Its worker obeys a higher token than ours. While sure of our lease that can only be a stray number, and
    /// we go above it; otherwise there is a new leader.
    fn outranked(&mut self, token: u64) -> HeartbeatRefusal {
        log::warn!("a worker obeys token {token}, above ours");
        if self.has_valid_lease() {
            // One worker's absurd number must neither use up the counter nor unseat a rightful leader.
            if token >= TOKEN_BOUND {
                return HeartbeatRefusal::ImpossibleToken;
            }
            self.shared.token = self.shared.token.max(token);
            if let Some(shard) = &mut self.shard {
                shard.raise_token = true;
            }
            return HeartbeatRefusal::RaisingToken;
        }
        self.step_down("workers obey a higher token");
        HeartbeatRefusal::SteppedDown
    }

    /// The machine that a heartbeat comes from; one that nobody expected is taken in.
    fn find_or_add_sender(&mut self, heartbeat: &Heartbeat) -> Option<usize> {
        let now = self.now;
        let shard = self.shard.as_mut()?;
        if let Some(m) = shard.machines.index_of(&heartbeat.machine) {
            return Some(m);
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
        let m = shard.add_machine(machine);
        self.probe_machine(m);
        Some(m)
    }
}

/// Whether a machine may be called so.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_MACHINE_NAME_BYTES
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}
