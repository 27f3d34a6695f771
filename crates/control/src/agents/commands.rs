//! Direct commands, which send orders to a worker without waiting for its next heartbeat, and probes, which ask a
//! silent worker for a heartbeat.

use crate::agents::machine::Machine;
use crate::agents::relay::NOT_SENT;
use crate::{Node, Pending};
use wire::api::{Heartbeat, Order, Orders};
use wire::http::Response;

/// Time after which a command counts as unanswered.
const DIRECT_TIMEOUT_MS: u64 = 2000;

impl Node {
    /// Sends pending orders to the machines in `shard.machines_with_orders` now instead of in the reply to their next heartbeat.
    pub(crate) fn push_orders(&mut self) {
        if !self.may_decide() {
            return;
        }
        let Some(shard) = &self.shard else { return };
        let is_ready = |m: &usize| shard.machine(*m).is_some_and(Machine::takes_commands);
        let due: Vec<usize> = shard
            .machines_with_orders
            .iter()
            .copied()
            .filter(is_ready)
            .collect();
        for machine_index in due {
            let orders = self.orders_for(machine_index);
            // Reaping is not urgent: it waits for the next heartbeat.
            if orders.iter().all(|o| matches!(o, Order::Reap { .. })) {
                continue;
            }
            self.send_orders(machine_index, orders);
        }
    }

    /// Sends a direct command if the machine's address is known.
    fn send_orders(&mut self, machine_index: usize, orders: Vec<Order>) {
        let term = self.term;
        let Some(shard) = &mut self.shard else { return };
        let (serial, token) = (shard.next_serial(), shard.token);
        let Some(machine) = shard.machine_mut(machine_index) else {
            return;
        };
        let Some(addr) = machine.addr else { return };
        machine.command_in_flight = Some(serial);
        let via = machine.via.is_some();
        let body = wire::encode(&Orders {
            token,
            agent_epoch: Some(machine.newest_message.0),
            orders,
        });
        let pending = Pending::DirectCommand {
            term,
            machine: machine_index,
            serial,
            via,
        };
        self.send_command(machine_index, addr, body, DIRECT_TIMEOUT_MS, pending);
    }

    /// Decodes the heartbeat in a worker's response to a command. A worker that rejects the command (409) sends one
    /// too.
    fn command_heartbeat(&mut self, response: Option<Response>) -> Option<Heartbeat> {
        let response = response.filter(|r| r.status == 200 || r.status == 409)?;
        self.decode_answer("worker", &response)
    }

    /// Handles the outcome of a direct command; `response` is `None` if none arrived in time.
    pub(crate) fn direct_command_answered(
        &mut self,
        machine_index: usize,
        serial: u64,
        response: Option<Response>,
    ) {
        let unsent = response.as_ref().is_some_and(|r| r.status == NOT_SENT);
        let heartbeat = self.command_heartbeat(response);
        let Some(shard) = &mut self.shard else { return };
        let token = shard.token;
        let Some(machine) = shard.machine_mut(machine_index) else {
            return;
        };
        if machine.command_in_flight != Some(serial) {
            return;
        }
        machine.command_in_flight = None;
        match heartbeat {
            Some(heartbeat) if heartbeat.machine == machine.name => {
                machine.unconfirmed_token = None;
                self.reconcile(machine_index, &heartbeat);
            }
            // The command was never sent, so it can't be executed later. The next heartbeat shows which orders are
            // still needed.
            _ if unsent => {}
            _ => {
                // The command may still be executed minutes from now. Only a higher token, once the worker has seen
                // it, rules that out. Until then no exited task is reaped, a task missing from a heartbeat does not
                // count as gone, and no new task is placed on this machine.
                log::info!("machine {}: no response to a direct command", machine.name);
                machine.unanswered_command = Some((token, machine.newest_message.0));
                shard.raise_token = true;
            }
        }
    }

    /// Asks a worker for its heartbeat with a command, which also carries our token to a worker that still follows an
    /// earlier leader. The command's only orders stop tasks of cancelled jobs: those are safe to execute at any time,
    /// however late, and a machine that resumes after a hang receives them first.
    pub(crate) fn probe_machine(&mut self, machine_index: usize) {
        let (now, term) = (self.now.mono, self.term);
        let orders = self.cancellation_stops(machine_index);
        let Some(shard) = &mut self.shard else { return };
        let (serial, token) = (shard.next_serial(), shard.token);
        let Some(machine) = shard.machine_mut(machine_index) else {
            return;
        };
        let Some(addr) = machine.addr else { return };
        machine.probe_in_flight = Some(serial);
        machine.probed_at = now;
        let via = machine.via.is_some();
        let body = wire::encode(&Orders {
            token,
            // Most workers are in their first agent epoch, having never lost their lease. If this one is not, its
            // rejection carries the current epoch.
            agent_epoch: Some(machine.newest_message.0.max(1)),
            orders,
        });
        let pending = Pending::Probe {
            term,
            machine: machine_index,
            serial,
            via,
        };
        self.send_command(machine_index, addr, body, DIRECT_TIMEOUT_MS, pending);
    }

    /// Handles a probe that could not be sent: clears it so that the machine can be probed again.
    pub(crate) fn probe_unsent(&mut self, machine_index: usize, serial: u64) {
        let machine = self
            .shard
            .as_mut()
            .and_then(|shard| shard.machine_mut(machine_index));
        if let Some(machine) = machine.filter(|x| x.probe_in_flight == Some(serial)) {
            machine.probe_in_flight = None;
        }
    }

    /// Handles the outcome of a probe. A missing response counts as a reason to return the machine.
    pub(crate) fn probe_answered(
        &mut self,
        machine_index: usize,
        serial: u64,
        response: Option<Response>,
    ) {
        let heartbeat = self.command_heartbeat(response);
        let Some(shard) = &mut self.shard else { return };
        let Some(machine) = shard.machine_mut(machine_index) else {
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
                shard.heard_directly |= direct;
                self.reconcile(machine_index, &heartbeat);
            }
            None => self.probe_failed(machine_index),
        }
    }
}
