//! Direct commands, which send orders to a worker without waiting for its next heartbeat, and probes, which ask a
//! silent worker for a heartbeat.

use crate::agents::machine::{CommandInFlight, Machine};
use crate::agents::orders::{Delivery, WorkerMessage};
use crate::agents::relay::NOT_SENT;
use crate::{Node, Pending};
use wire::api::{Heartbeat, Order};
use wire::http::Response;

/// Time after which a command counts as unanswered.
const DIRECT_TIMEOUT_MS: u64 = 2000;

/// Why a direct command is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// To carry out orders.
    Orders,
    /// To get a heartbeat.
    Probe,
}

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
            let message = self.message_for(machine_index, Delivery::Command);
            // Reaping is not urgent: it waits for the next heartbeat.
            let is_reap = |order: &Order| matches!(order, Order::Reap { .. });
            if !message.orders.iter().all(is_reap) {
                self.send_message(machine_index, &message, Purpose::Orders);
            }
        }
    }

    /// Asks a worker for its heartbeat with a command, which also carries our token to a worker that still follows an
    /// earlier leader. The command's only orders stop tasks of cancelled jobs: those are safe to execute at any time,
    /// however late, and a machine that resumes after a hang receives them first.
    pub(crate) fn probe_machine(&mut self, machine_index: usize) {
        if let Some(shard) = &mut self.shard
            && shard
                .machine(machine_index)
                .is_some_and(|machine| machine.fence.is_higher_token_due())
        {
            shard.raise_token_of(machine_index);
        }
        let message = self.cancellation_message(machine_index);
        self.send_message(machine_index, &message, Purpose::Probe);
    }

    /// Sends a direct command if the machine's address is known.
    fn send_message(&mut self, machine_index: usize, message: &WorkerMessage, purpose: Purpose) {
        let (now, term) = (self.now.mono, self.term);
        let Some(shard) = &mut self.shard else { return };
        let serial = shard.next_serial();
        let Some(machine) = shard.machine_mut(machine_index) else {
            return;
        };
        let Some(addr) = machine.addr else { return };
        let via = machine.via.is_some();
        let pending = match purpose {
            Purpose::Orders => {
                let stamp = message.stamp;
                machine.command_in_flight = Some(CommandInFlight { serial, stamp });
                Pending::DirectCommand {
                    term,
                    machine: machine_index,
                    serial,
                    via,
                }
            }
            Purpose::Probe => {
                machine.probe_in_flight = Some(serial);
                machine.probed_at = now;
                Pending::Probe {
                    term,
                    machine: machine_index,
                    serial,
                    via,
                }
            }
        };
        let body = message.command_body();
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
        let Some(machine) = shard.machine_mut(machine_index) else {
            return;
        };
        let Some(command) = machine.command_in_flight.filter(|c| c.serial == serial) else {
            return;
        };
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
                // The command may still be executed minutes from now. Until the worker refuses it, a task missing from a
                // heartbeat does not count as gone, and no new task is placed on this machine.
                log::info!("machine {}: no response to a direct command", machine.name);
                machine.fence.note_unanswered(command.stamp);
            }
        }
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
