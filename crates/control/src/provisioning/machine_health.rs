//! Health of machines: those that fall silent, never come up or fail their tasks, and zones that seem cut off. The
//! leader steps down where its own connectivity is the more likely fault.

use crate::agents::machine::Machine;
use crate::{Node, Now};
use std::collections::{BTreeMap, BTreeSet};
use wire::api::Catalog;

/// Minimum time between two step-downs because most machines are silent.
const STEP_DOWN_INTERVAL_MS: u64 = 180_000;
/// How long this node then stays out of elections, so that another can take over.
const CAMPAIGN_PAUSE_MS: u64 = 15_000;
/// How often all machines are checked.
const SURVEY_INTERVAL_MS: u64 = 500;
/// How often a silent machine is probed for its heartbeat.
const SILENT_PROBE_MS: u64 = 1000;
/// How often a machine with claims is probed for the state of its tasks if it answers commands but its heartbeats are
/// overdue.
const OVERDUE_PROBE_MS: u64 = 2000;
/// A new leader probes machines that it has not heard from, between these times after the end of recovery.
const PROBE_AFTER_MS: u64 = 500;
const PROBE_UNTIL_MS: u64 = 8000;
/// Each tick probes this many machines, or more if needed to probe all within `TICKS_TO_PROBE_ALL` ticks.
const PROBES_PER_TICK: usize = 12;
const TICKS_TO_PROBE_ALL: usize = 150;
/// Boot time that is assumed for a machine of unknown type.
const DEFAULT_BOOT_S: f64 = 60.0;
/// With fewer machines than this, silence is not taken as evidence of a wider failure.
const MIN_MACHINES: u32 = 4;

/// Result of a check of all machines.
#[derive(Default)]
struct Survey {
    to_probe: Vec<usize>,
    /// Machines that receive no orders and have claims whose start was never sent.
    releasable: Vec<usize>,
    /// Machines that are known to be up.
    up: u32,
    /// Those of them that are silent and did not answer a probe, or cannot be probed.
    unreachable: u32,
}

impl Survey {
    /// Counts a machine that is known to be up, and decides whether to probe it.
    fn add_known_up(&mut self, machine_index: usize, machine: &Machine, now: u64, silent_ms: u64) {
        let is_silent = now.saturating_sub(machine.heard_at) > silent_ms;
        let is_overdue = machine.is_heartbeat_overdue(now, silent_ms);
        // A machine counts as unreachable only if a probe had no answer. Machines that send no heartbeats but still
        // answer probes are as late, and many may be so at the same time.
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
            self.to_probe.push(machine_index);
        }
    }

    fn most_are_unreachable(&self) -> bool {
        self.up >= MIN_MACHINES && self.unreachable * 2 > self.up
    }
}

/// Boot time of the machine's type.
fn boot_s(catalog: Option<&Catalog>, machine: &Machine) -> f64 {
    catalog
        .and_then(|c| c.types.iter().find(|t| t.name == machine.machine_type))
        .map_or(DEFAULT_BOOT_S, |t| t.boot_s)
}

/// Whether a machine should have come up by now. It must also have been silent for half its boot time: after a
/// failover, a machine that is up has to find the new leader first.
fn never_came_up(machine: &Machine, boot_s: f64, patience: f64, now: Now) -> bool {
    let age_s = now.wall.saturating_sub(machine.rented_ms) as f64 / 1000.0;
    let silent_for_ms = now.mono.saturating_sub(machine.heard_at) as f64;
    age_s > boot_s * patience && silent_for_ms > boot_s * 500.0
}

impl Node {
    /// Sends pending orders, and handles machines that are silent, never came up, or are to be returned.
    pub(crate) fn machines_tick(&mut self) {
        self.push_orders();
        if !self.may_decide() {
            return;
        }
        self.probe_unheard_machines();
        let now = self.now.mono;
        let Some(shard) = &mut self.shard else { return };
        if now < shard.silence_checked_at + SURVEY_INTERVAL_MS {
            return;
        }
        shard.silence_checked_at = now;
        self.survey_zones();
        let has_successor = self.may_have_successor();
        let Some(survey) = self.survey_machines() else {
            return;
        };
        if has_successor
            && survey.most_are_unreachable()
            && !self.has_recently_stepped_down_for_silence()
        {
            return self.step_down_for_silence();
        }
        for machine_index in survey.releasable {
            self.release_claims(machine_index);
        }
        for machine_index in survey.to_probe {
            self.probe_or_return(machine_index);
        }
    }

    /// Checks every machine, and marks those that are to be returned. `None` until the workers have had one heartbeat
    /// interval to find a new leader.
    fn survey_machines(&mut self) -> Option<Survey> {
        let now = self.now;
        let silent_ms = self.silent_ms();
        let patience = self.tuning.boot_patience;
        let catalog = self.shared.catalog.as_ref();
        let settle_ms = (self.settings.cluster.workers.report_s * 1000.0) as u64;
        let shard = self.shard.as_mut()?;
        if now.mono < shard.ready_since + settle_ms {
            return None;
        }
        let mut survey = Survey::default();
        for (machine_index, machine) in shard.machines.iter_mut().enumerate() {
            let Some(machine) = machine else { continue };
            let is_overdue = machine.is_heartbeat_overdue(now.mono, silent_ms);
            if is_overdue || machine.to_be_returned {
                if machine.releasable_claims().next().is_some() {
                    survey.releasable.push(machine_index);
                } else if machine.has_missed_starts() {
                    machine.fence.request_higher_token();
                }
            }
            if machine.to_be_returned {
                continue;
            }
            if machine.is_known_up() {
                survey.add_known_up(machine_index, machine, now.mono, silent_ms);
            } else if never_came_up(machine, boot_s(catalog, machine), patience, now) {
                log::info!("machine {}: did not come up, to be returned", machine.name);
                machine.to_be_returned = true;
            }
            if machine.cordoned && machine.claims.is_empty() {
                machine.to_be_returned = true;
            }
        }
        Some(survey)
    }

    /// Whether this node stepped down because of silent machines recently. If most machines have really failed, nodes
    /// that stepped down each time would pass leadership round forever, and none would return the machines.
    fn has_recently_stepped_down_for_silence(&self) -> bool {
        let now = self.now.mono;
        let until = |at| at + STEP_DOWN_INTERVAL_MS;
        self.stepped_down_for_silence_at
            .is_some_and(|at| now <= until(at))
    }

    /// Steps down because most machines are silent. So many machines seldom fail at once: more likely this node is cut
    /// off from them, and another is not.
    fn step_down_for_silence(&mut self) {
        self.stepped_down_for_silence_at = Some(self.now.mono);
        self.step_down("most machines are unreachable from this node");
        self.pause_campaigning(CAMPAIGN_PAUSE_MS);
    }

    /// Ends the claims that need no proof from the worker, on a machine that receives no orders.
    fn release_claims(&mut self, machine_index: usize) {
        let machine = self
            .shard
            .as_ref()
            .and_then(|shard| shard.machine(machine_index));
        let claims: Vec<usize> = machine
            .map(|x| x.releasable_claims().collect())
            .unwrap_or_default();
        self.end_releasable_claims(machine_index, &claims);
    }

    /// Probes a machine for its heartbeat. One whose address is known neither from its worker nor from the cloud's list
    /// can't be probed, and is returned after a worker lease without a heartbeat.
    fn probe_or_return(&mut self, machine_index: usize) {
        let now = self.now.mono;
        let lease_ms = self.lease_ms();
        let machine = self
            .shard
            .as_mut()
            .and_then(|shard| shard.machine_mut(machine_index));
        let Some(machine) = machine else { return };
        if machine.addr.is_some() {
            self.probe_machine(machine_index);
        } else if now.saturating_sub(machine.heard_at) > lease_ms {
            log::warn!(
                "machine {}: silent and without a known address, to be returned",
                machine.name
            );
            machine.to_be_returned = true;
        }
    }

    /// Finds the zones that seem to be cut off: those where more than a third of the machines are later than heartbeats
    /// normally are. A higher threshold would be too late: the first machines would be returned before half of them are
    /// late.
    pub(crate) fn survey_zones(&mut self) {
        let now = self.now.mono;
        let late_ms = (self.settings.cluster.workers.report_s * 1250.0) as u64 + 1000;
        let is_spread = self.is_spread();
        let Some(shard) = &mut self.shard else { return };
        let mut zones: BTreeMap<&str, (u32, u32, u32)> = BTreeMap::new();
        for machine in shard
            .machines
            .iter()
            .flatten()
            .filter(|m| m.is_known_up() && !m.to_be_returned)
        {
            let (up, overdue, relayed) = zones.entry(machine.zone.as_str()).or_default();
            *up += 1;
            // While workers send their heartbeats to any controller, a relayed heartbeat says nothing about the zone.
            *relayed += u32::from(machine.via.is_some() && !is_spread);
            *overdue += u32::from(now.saturating_sub(machine.heard_at) > late_ms);
        }
        // If some machines of a zone are heard through a peer, the others are likely to find that peer too.
        let relayed_zones = zones
            .iter()
            .filter(|(_, (up, _, relayed))| relayed * 8 > *up);
        let relayed_zones: BTreeSet<String> =
            relayed_zones.map(|(zone, _)| (*zone).to_owned()).collect();
        let cut = zones
            .iter()
            .filter(|(_, (up, overdue, _))| *up >= MIN_MACHINES && overdue * 3 > *up);
        let cut: BTreeSet<String> = cut.map(|(zone, _)| (*zone).to_owned()).collect();
        shard.zones.observe(cut, relayed_zones);
    }

    /// After a failover, probes the machines that have not sent a heartbeat by themselves, a few per tick. Their
    /// workers may still send heartbeats to an earlier leader, and many decisions have to wait for these.
    fn probe_unheard_machines(&mut self) {
        let now = self.now.mono;
        let Some(shard) = &mut self.shard else { return };
        if now < shard.ready_since + PROBE_AFTER_MS || now >= shard.ready_since + PROBE_UNTIL_MS {
            return;
        }
        let ready_since = shard.ready_since;
        let unheard = |m: &Machine| {
            m.heard_at <= ready_since
                && m.addr.is_some()
                && m.probe_in_flight.is_none()
                && m.probed_at < ready_since
                && !m.to_be_returned
        };
        let due = shard
            .machines
            .iter()
            .enumerate()
            .filter(|(_, m)| m.is_some_and(unheard));
        let max_probes = PROBES_PER_TICK.max(shard.machines.count().div_ceil(TICKS_TO_PROBE_ALL));
        let due: Vec<usize> = due.map(|(m, _)| m).take(max_probes).collect();
        for machine_index in due {
            self.probe_machine(machine_index);
        }
    }

    /// Handles a probe that had no answer: a silent machine is to be returned. If its whole zone seems cut off, the
    /// machine is likely to come back, with its tasks if their leases have not ended by then. It is then returned only
    /// if it holds claims and the leases have ended, so that the tasks can be run elsewhere.
    pub(crate) fn probe_failed(&mut self, machine_index: usize) {
        let now = self.now.mono;
        let silent_ms = self.silent_ms();
        let is_silent = |machine: &Machine| now.saturating_sub(machine.heard_at) > silent_ms;
        let machine = self
            .shard
            .as_ref()
            .and_then(|shard| shard.machine(machine_index));
        if !machine.is_some_and(is_silent) {
            return;
        }
        self.survey_zones();
        let Some(machine) = self
            .shard
            .as_ref()
            .and_then(|shard| shard.machine(machine_index))
        else {
            return;
        };
        let extension_ms = self.delegated_lease_extension_ms(&machine.zone, machine.heard_at);
        let lease_ms = self.lease_ms() + silent_ms + extension_ms;
        let Some(shard) = &mut self.shard else { return };
        let Some(machine) = shard.machines.get_mut(machine_index) else {
            return;
        };
        let may_come_back = shard.zones.may_be_cut_off(&machine.zone);
        let silent_for_ms = now.saturating_sub(machine.heard_at);
        if may_come_back && (machine.claims.is_empty() || silent_for_ms <= lease_ms) {
            return;
        }
        log::warn!(
            "machine {}: silent and did not answer a probe, to be returned",
            machine.name
        );
        machine.to_be_returned = true;
    }

    /// The worker lease: how long a worker keeps its tasks running after its last heartbeat.
    fn lease_ms(&self) -> u64 {
        (self.settings.cluster.workers.lease_s * 1000.0) as u64
    }

    /// A machine without a heartbeat for this long is silent, and is probed. Heartbeats can be a quarter of their
    /// interval late.
    pub(crate) fn silent_ms(&self) -> u64 {
        let heartbeats = self.settings.cluster.workers.report_s * 1.5 + 1.0;
        (self.tuning.silent_s.max(heartbeats) * 1000.0) as u64
    }
}
