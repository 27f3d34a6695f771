//! Machines that fall silent, never come up or fail their tasks; zones that seem cut off; and standing aside where the
//! fault is more likely this node's own.

use crate::agents::machine::Machine;
use crate::{Node, Now};
use std::collections::{BTreeMap, BTreeSet};
use wire::api::Catalog;

/// After standing aside for silence, this node does not do so again for so long.
const STAND_ASIDE_INTERVAL_MS: u64 = 180_000;
/// How long another node then has to take over.
const STAND_ASIDE_MS: u64 = 15_000;
/// Silence is looked for this often.
const SURVEY_INTERVAL_MS: u64 = 500;
/// A silent machine is asked for its heartbeat this often.
const SILENT_PROBE_MS: u64 = 1000;
/// Machines that answer commands and send no heartbeats are asked this often what became of their tasks.
const OVERDUE_PROBE_MS: u64 = 2000;
/// When a new leader asks machines that it has not heard of, and how many at a time.
const PROBE_AFTER_MS: u64 = 500;
const PROBE_UNTIL_MS: u64 = 8000;
const PROBES_PER_TICK: usize = 12;
const TICKS_TO_PROBE_ALL: usize = 150;
/// How long a machine of unknown type takes to boot.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Fewer machines than this prove nothing by their silence.
const MIN_MACHINES: u32 = 4;

/// What a look at all machines has found.
#[derive(Default)]
struct Survey {
    to_probe: Vec<usize>,
    /// Machines that get no orders and have claims of which nothing was sent.
    unsent: Vec<usize>,
    up: u32,
    unreachable: u32,
}

impl Survey {
    /// Counts a machine that should be heard, and finds out whether it is to be asked.
    fn add_known_up(&mut self, m: usize, machine: &Machine, now: u64, silent: u64) {
        let is_silent = now.saturating_sub(machine.heard_at) > silent;
        let is_overdue = machine.is_heartbeat_overdue(now, silent);
        // Only who was asked and has not answered can't be heard: mute machines are as late, all at a time.
        let was_asked = machine.probed_at > machine.heard_at || machine.addr.is_none();
        self.up += 1;
        self.unreachable += u32::from(is_silent && was_asked);
        let interval = if is_silent {
            SILENT_PROBE_MS
        } else if is_overdue && !machine.claims.is_empty() {
            OVERDUE_PROBE_MS
        } else {
            return;
        };
        if now >= machine.probed_at + interval && machine.probe_in_flight.is_none() {
            self.to_probe.push(m);
        }
    }

    fn most_are_unreachable(&self) -> bool {
        self.up >= MIN_MACHINES && self.unreachable * 2 > self.up
    }
}

/// How long machines of this one's type take to boot.
fn boot_s(catalog: Option<&Catalog>, machine: &Machine) -> f64 {
    catalog
        .and_then(|c| c.types.iter().find(|t| t.name == machine.machine_type))
        .map_or(DEFAULT_BOOT_S, |t| t.boot_s)
}

/// Whether a machine is overdue to come up. After a failover one that is up has to find us first.
fn never_came_up(machine: &Machine, boot_s: f64, patience: f64, now: Now) -> bool {
    let age_s = now.wall.saturating_sub(machine.rented_ms) as f64 / 1000.0;
    let silent_for_ms = now.mono.saturating_sub(machine.heard_at) as f64;
    age_s > boot_s * patience && silent_for_ms > boot_s * 500.0
}

impl Node {
    /// Looks after machines that are silent, never came up, or have nothing to do.
    pub(crate) fn machines_tick(&mut self) {
        self.push_orders();
        if !self.may_decide() {
            return;
        }
        self.probe_unheard_machines();
        let now = self.now.mono;
        let Some(shard) = &mut self.shard else { return };
        if now < shard.looked_at + SURVEY_INTERVAL_MS {
            return;
        }
        shard.looked_at = now;
        self.survey_zones();
        let has_successor = self.could_be_followed();
        let Some(survey) = self.survey_machines() else {
            return;
        };
        if has_successor && survey.most_are_unreachable() && !self.stood_aside_recently() {
            return self.stand_aside_for_silence();
        }
        for m in survey.unsent {
            self.release_unsent_claims(m);
        }
        for m in survey.to_probe {
            self.probe_or_return(m);
        }
    }

    /// Looks at every machine, and marks those that are to be returned. `None` while a new leader has not given the
    /// workers time to find it.
    fn survey_machines(&mut self) -> Option<Survey> {
        let now = self.now;
        let silent = self.silent_ms();
        let patience = self.tuning.boot_patience;
        let catalog = self.shared.catalog.as_ref();
        let settle_ms = (self.settings.cluster.workers.report_s * 1000.0) as u64;
        let shard = self.shard.as_mut()?;
        if now.mono < shard.since + settle_ms {
            return None;
        }
        let mut survey = Survey::default();
        for (m, machine) in shard.machines.iter_mut().enumerate() {
            let Some(machine) = machine else { continue };
            let is_overdue = machine.is_heartbeat_overdue(now.mono, silent);
            if (is_overdue || machine.deleting) && machine.unsent().next().is_some() {
                survey.unsent.push(m);
            }
            if machine.deleting {
                continue;
            }
            if machine.is_known_up() {
                survey.add_known_up(m, machine, now.mono, silent);
            } else if never_came_up(machine, boot_s(catalog, machine), patience, now) {
                log::info!("machine {}: did not come up", machine.name);
                machine.deleting = true;
            }
            if machine.cordoned && machine.claims.is_empty() {
                machine.deleting = true;
            }
        }
        Some(survey)
    }

    /// Only once in a while: where most machines did fail, every node would hand them on for ever and none would return
    /// them.
    fn stood_aside_recently(&self) -> bool {
        let now = self.now.mono;
        let until = |at| at + STAND_ASIDE_INTERVAL_MS;
        self.stood_aside_at.is_some_and(|at| now <= until(at))
    }

    /// That many machines seldom fail at once: more likely we are cut off from them, and another node is not.
    fn stand_aside_for_silence(&mut self) {
        self.stood_aside_at = Some(self.now.mono);
        self.step_down("most machines can't be heard here");
        self.stand_aside(STAND_ASIDE_MS);
    }

    /// Takes claims back of which nothing was sent, from a machine that gets no orders.
    fn release_unsent_claims(&mut self, m: usize) {
        let machine = self.shard.as_ref().and_then(|shard| shard.machine(m));
        let claims: Vec<usize> = machine.map(|x| x.unsent().collect()).unwrap_or_default();
        self.never_started(m, &claims);
    }

    /// Asks a machine for its heartbeat. One whose address neither its worker nor the cloud's list has told can't be
    /// asked, and is returned in the end.
    fn probe_or_return(&mut self, m: usize) {
        let now = self.now.mono;
        let lease = self.lease_ms();
        let machine = self.shard.as_mut().and_then(|shard| shard.machine_mut(m));
        let Some(machine) = machine else { return };
        if machine.addr.is_some() {
            self.probe_machine(m);
        } else if now.saturating_sub(machine.heard_at) > lease {
            log::warn!(
                "machine {}: silent and without address, to be returned",
                machine.name
            );
            machine.deleting = true;
        }
    }

    /// Which zones seem to be cut off: those where a third of the machines is later than heartbeats ever are. That is
    /// enough, since the first machines would be returned before half of them are late.
    pub(crate) fn survey_zones(&mut self) {
        let now = self.now.mono;
        let late = (self.settings.cluster.workers.report_s * 1250.0) as u64 + 1000;
        let is_spread = self.is_spread();
        let Some(shard) = &mut self.shard else { return };
        let mut zones: BTreeMap<&str, (u32, u32, u32)> = BTreeMap::new();
        for machine in shard
            .machines
            .iter()
            .flatten()
            .filter(|m| m.is_known_up() && !m.deleting)
        {
            let (up, overdue, relayed) = zones.entry(machine.zone.as_str()).or_default();
            *up += 1;
            // Where all heartbeats go by way of peers, that says nothing of a zone.
            *relayed += u32::from(machine.via.is_some() && !is_spread);
            *overdue += u32::from(now.saturating_sub(machine.heard_at) > late);
        }
        // Where some are heard by way of a peer, the others are likely to find it too.
        let detour = zones
            .iter()
            .filter(|(_, (up, _, relayed))| relayed * 8 > *up);
        let detour: BTreeSet<String> = detour.map(|(zone, _)| (*zone).to_owned()).collect();
        let cut = zones
            .iter()
            .filter(|(_, (up, overdue, _))| *up >= MIN_MACHINES && overdue * 3 > *up);
        let cut: BTreeSet<String> = cut.map(|(zone, _)| (*zone).to_owned()).collect();
        shard.zones.observe(cut, detour);
    }

    /// After a failover: asks the machines that have not come by themselves, a few at a time. Their workers may
    /// still be with an earlier leader, and what they say is needed before much can be decided.
    fn probe_unheard_machines(&mut self) {
        let now = self.now.mono;
        let Some(shard) = &mut self.shard else { return };
        if now < shard.since + PROBE_AFTER_MS || now >= shard.since + PROBE_UNTIL_MS {
            return;
        }
        let since = shard.since;
        let unheard = |m: &Machine| {
            m.heard_at <= since
                && m.addr.is_some()
                && m.probe_in_flight.is_none()
                && m.probed_at < since
                && !m.deleting
        };
        let due = shard
            .machines
            .iter()
            .enumerate()
            .filter(|(_, m)| m.is_some_and(unheard));
        let most = PROBES_PER_TICK.max(shard.machines.count().div_ceil(TICKS_TO_PROBE_ALL));
        let due: Vec<usize> = due.map(|(m, _)| m).take(most).collect();
        for m in due {
            self.probe_machine(m);
        }
    }

    /// A machine that was asked has not answered. Where a whole zone is silent, its machines are likely to come back,
    /// with their tasks if that is before their leases end. Only then is it better to return those that hold tasks, so
    /// that these can go on elsewhere.
    pub(crate) fn probe_failed(&mut self, m: usize) {
        let now = self.now.mono;
        let silent = self.silent_ms();
        let is_silent = |machine: &Machine| now.saturating_sub(machine.heard_at) > silent;
        let machine = self.shard.as_ref().and_then(|shard| shard.machine(m));
        if !machine.is_some_and(is_silent) {
            return;
        }
        self.survey_zones();
        let Some(machine) = self.shard.as_ref().and_then(|shard| shard.machine(m)) else {
            return;
        };
        let delegated = self.delegated_ms(&machine.zone, machine.heard_at);
        let lease = self.lease_ms() + silent + delegated;
        let Some(shard) = &mut self.shard else { return };
        let Some(machine) = shard.machines.get_mut(m) else {
            return;
        };
        let may_come_back = shard.zones.is_doubtful(&machine.zone);
        let silent_for = now.saturating_sub(machine.heard_at);
        if may_come_back && (machine.claims.is_empty() || silent_for <= lease) {
            return;
        }
        log::warn!(
            "machine {}: silent and unreachable, to be returned",
            machine.name
        );
        machine.deleting = true;
    }

    /// How long a worker's tasks outlive its last heartbeat.
    fn lease_ms(&self) -> u64 {
        (self.settings.cluster.workers.lease_s * 1000.0) as u64
    }

    /// A machine that says nothing for so long is asked. Heartbeats come a quarter late at times.
    pub(crate) fn silent_ms(&self) -> u64 {
        let heartbeats = self.settings.cluster.workers.report_s * 1.5 + 1.0;
        (self.tuning.silent_s.max(heartbeats) * 1000.0) as u64
    }
}
