//! Direct commands: orders sent to a worker ahead of its next heartbeat, and probes, which ask a silent worker for one.

use crate::agents::machine::Machine;
use crate::agents::relay::NOT_SENT;
use crate::{Node, Pending};
use wire::api::{Heartbeat, Order, Orders};
use wire::http::Response;

/// A worker that does not answer a command for so long is taken not to.
const DIRECT_TIMEOUT_MS: u64 = 2000;

impl Node {
    /// Tells workers at once what they would otherwise hear with their next heartbeat.
    pub(crate) fn push_orders(&mut self) {
        if !self.may_decide() {
            return;
        }
        let Some(shard) = &self.shard else { return };
        let is_ready = |m: &usize| shard.machine(*m).is_some_and(Machine::takes_commands);
        let due: Vec<usize> = shard.push.iter().copied().filter(is_ready).collect();
        for m in due {
            let orders = self.orders_for(m);
            // What there is to reap can wait.
            if orders.iter().all(|o| matches!(o, Order::Reap { .. })) {
                continue;
            }
            self.send_orders(m, orders);
        }
    }

    /// Sends a direct command, unless the machine's address is not known.
    fn send_orders(&mut self, m: usize, orders: Vec<Order>) {
        let term = self.term;
        let Some(shard) = &mut self.shard else { return };
        let (serial, token) = (shard.next_serial(), shard.token);
        let Some(machine) = shard.machine_mut(m) else {
            return;
        };
        let Some(addr) = machine.addr else { return };
        machine.command_in_flight = Some(serial);
        let via = machine.via.is_some();
        let body = wire::encode(&Orders {
            token,
            agent_epoch: Some(machine.seen.0),
            orders,
        });
        let what = Pending::Direct {
            term,
            machine: m,
            serial,
            via,
        };
        self.send_command(m, addr, body, DIRECT_TIMEOUT_MS, what);
    }

    /// The heartbeat that answers a command, executed or not.
    fn command_heartbeat(&mut self, response: Option<Response>) -> Option<Heartbeat> {
        let response = response.filter(|r| r.status == 200 || r.status == 409)?;
        self.read("worker", &response)
    }

    /// A direct command was answered, or not.
    pub(crate) fn direct_received(&mut self, m: usize, serial: u64, response: Option<Response>) {
        let unsent = response.as_ref().is_some_and(|r| r.status == NOT_SENT);
        let heartbeat = self.command_heartbeat(response);
        let Some(shard) = &mut self.shard else { return };
        let token = shard.token;
        let Some(machine) = shard.machine_mut(m) else {
            return;
        };
        if machine.command_in_flight != Some(serial) {
            return;
        }
        machine.command_in_flight = None;
        match heartbeat {
            Some(heartbeat) if heartbeat.machine == machine.name => {
                machine.unconfirmed_token = None;
                self.reconcile(m, &heartbeat);
            }
            // Nothing of it can ever be executed; its next heartbeat brings what is missing to light.
            _ if unsent => {}
            _ => {
                // It may be executed minutes from now. Only a higher token, once the worker has seen it, rules
                // that out; until then nothing here is reaped or proved gone, and nothing new is placed.
                log::info!("machine {}: a command was not answered", machine.name);
                machine.unanswered_command = Some((token, machine.seen.0));
                shard.raise_token = true;
            }
        }
    }

    /// Asks a worker for its heartbeat, by a command: it also shows our token to a worker that still obeys an earlier one.
    /// All that it orders are stops of what was cancelled, so that it can be executed at any time without harm, and a
    /// machine that hung hears of them first.
    pub(crate) fn probe_machine(&mut self, m: usize) {
        let (now, term) = (self.now.mono, self.term);
        let orders = self.last_orders(m);
        let Some(shard) = &mut self.shard else { return };
        let (serial, token) = (shard.next_serial(), shard.token);
        let Some(machine) = shard.machine_mut(m) else {
            return;
        };
        let Some(addr) = machine.addr else { return };
        machine.probe_in_flight = Some(serial);
        machine.probed_at = now;
        let via = machine.via.is_some();
        let body = wire::encode(&Orders {
            token,
            // Most have never lost their lease; otherwise the refusal tells the agent epoch.
            agent_epoch: Some(machine.seen.0.max(1)),
            orders,
        });
        let what = Pending::Probe {
            term,
            machine: m,
            serial,
            via,
        };
        self.send_command(m, addr, body, DIRECT_TIMEOUT_MS, what);
    }

    /// The machine was not asked: it will be.
    pub(crate) fn probe_unsent(&mut self, m: usize, serial: u64) {
        let machine = self.shard.as_mut().and_then(|p| p.machine_mut(m));
        if let Some(machine) = machine.filter(|x| x.probe_in_flight == Some(serial)) {
            machine.probe_in_flight = None;
        }
    }

    /// A probe was answered, or not: silence speaks for returning the machine.
    pub(crate) fn probe_received(&mut self, m: usize, serial: u64, response: Option<Response>) {
        let heartbeat = self.command_heartbeat(response);
        let Some(shard) = &mut self.shard else { return };
        let Some(machine) = shard.machine_mut(m) else {
            return;
        };
        if machine.probe_in_flight != Some(serial) {
            return;
        }
        machine.probe_in_flight = None;
        let direct = machine.via.is_none();
        match heartbeat.filter(|heartbeat| heartbeat.machine == machine.name) {
            Some(heartbeat) => {
                machine.unconfirmed_token = None;
                shard.heard_itself |= direct;
                self.reconcile(m, &heartbeat);
            }
            None => self.probe_failed(m),
        }
    }
}
