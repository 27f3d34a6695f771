//! Direct commands: orders sent to a worker ahead of its next heartbeat, and probes, which ask a silent worker for one.

use crate::agents::relay::NOT_SENT;
use crate::{Node, Pending};
use wire::api::{Heartbeat, Order, Orders};
use wire::http::Response;

const DIRECT_TIMEOUT_MS: u64 = 2000;

impl Node {
    /// Tells workers at once what they would otherwise hear with their next heartbeat.
    pub(crate) fn push_orders(&mut self) {
        if !self.may_decide() {
            return;
        }
        let Some(shard) = &self.shard else { return };
        let ready = |m: &usize| {
            shard.machine(*m).is_some_and(|x| {
                x.up && x.addr.is_some()
                    && x.direct.is_none()
                    && x.unanswered_command.is_none()
                    && !x.deleting
            })
        };
        let due: Vec<usize> = shard.push.iter().copied().filter(ready).collect();
        for m in due {
            let orders = self.orders_for(m);
            if orders.iter().all(|o| matches!(o, Order::Reap { .. })) {
                continue;
            }
            let term = self.term;
            let Some(shard) = &mut self.shard else { return };
            let serial = shard.next_serial();
            let token = shard.token;
            let Some(machine) = shard.machine_mut(m) else {
                continue;
            };
            let Some(addr) = machine.addr else { continue };
            machine.direct = Some(serial);
            let via = machine.via.is_some();
            let body = wire::encode(&Orders {
                token,
                session: Some(machine.seen.0),
                orders,
            });
            let what = Pending::Direct {
                term,
                machine: m,
                serial,
                via,
            };
            self.command(m, addr, body, DIRECT_TIMEOUT_MS, what);
        }
    }

    /// The heartbeat that answers a command, executed or not.
    fn command_heartbeat(&mut self, response: Option<Response>) -> Option<Heartbeat> {
        let response = response.filter(|r| r.status == 200 || r.status == 409)?;
        self.read("worker", &response)
    }

    pub(crate) fn direct_received(&mut self, m: usize, serial: u64, response: Option<Response>) {
        let unsent = response.as_ref().is_some_and(|r| r.status == NOT_SENT);
        let heartbeat = self.command_heartbeat(response);
        let Some(shard) = &mut self.shard else { return };
        let token = shard.token;
        let Some(machine) = shard.machine_mut(m) else {
            return;
        };
        if machine.direct != Some(serial) {
            return;
        }
        machine.direct = None;
        match heartbeat {
            Some(heartbeat) if heartbeat.machine == machine.name => {
                machine.unconfirmed_token = None;
                self.absorb(m, &heartbeat);
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
        let serial = shard.next_serial();
        let token = shard.token;
        let Some(machine) = shard.machine_mut(m) else {
            return;
        };
        let Some(addr) = machine.addr else { return };
        machine.probe = Some(serial);
        machine.probed_at = now;
        // Most have never lost their lease; otherwise the refusal tells the session.
        let session = Some(machine.seen.0.max(1));
        let via = machine.via.is_some();
        let body = wire::encode(&Orders {
            token,
            session,
            orders,
        });
        let what = Pending::Probe {
            term,
            machine: m,
            serial,
            via,
        };
        self.command(m, addr, body, DIRECT_TIMEOUT_MS, what);
    }

    /// The machine was not asked: it will be.
    pub(crate) fn probe_unsent(&mut self, m: usize, serial: u64) {
        let machine = self.shard.as_mut().and_then(|p| p.machine_mut(m));
        if let Some(machine) = machine.filter(|x| x.probe == Some(serial)) {
            machine.probe = None;
        }
    }

    pub(crate) fn show_received(&mut self, m: usize, serial: u64, response: Option<Response>) {
        let heartbeat = self.command_heartbeat(response);
        let now = self.now.mono;
        let silent = self.silent_ms();
        let Some(machine) = self.shard.as_mut().and_then(|p| p.machine_mut(m)) else {
            return;
        };
        if machine.probe != Some(serial) {
            return;
        }
        machine.probe = None;
        let direct = machine.via.is_none();
        if let Some(heartbeat) = heartbeat.filter(|r| r.machine == machine.name) {
            machine.unconfirmed_token = None;
            if let Some(shard) = self.shard.as_mut().filter(|_| direct) {
                shard.heard_itself = true;
            }
            self.absorb(m, &heartbeat);
            return;
        }
        let gap = now.saturating_sub(machine.heard_at);
        if gap <= silent {
            return;
        }
        // Where a whole zone is silent, its machines are likely to come back, with their tasks if that is before
        // their leases end. Only then is it better to return those that hold tasks, so that these can go on
        // elsewhere.
        self.look_at_zones();
        let Some(machine) = self.shard.as_ref().and_then(|p| p.machine(m)) else {
            return;
        };
        let kept = self.kept_ms(&machine.zone, machine.heard_at);
        let lease = (self.settings.cluster.workers.lease_s * 1000.0) as u64 + silent + kept;
        let Some(shard) = &mut self.shard else { return };
        let Some(machine) = shard.machines.get_mut(m).and_then(Option::as_mut) else {
            return;
        };
        let patient =
            shard.cut_zones.contains(&machine.zone) || shard.detour_zones.contains(&machine.zone);
        if patient && (machine.claims.is_empty() || gap <= lease) {
            return;
        }
        log::warn!(
            "machine {}: silent and unreachable, to be returned",
            machine.name
        );
        machine.deleting = true;
    }

    /// A machine that says nothing for so long is asked. Heartbeats come a quarter late at times.
    pub(crate) fn silent_ms(&self) -> u64 {
        let heartbeats = self.settings.cluster.workers.report_s * 1.5 + 1.0;
        (self.tuning.silent_s.max(heartbeats) * 1000.0) as u64
    }
}
