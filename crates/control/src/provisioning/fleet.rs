//! The cloud: its catalogue, its late list, rentals and returns.

use crate::agents::machine::Machine;
use crate::leadership::election::SHARD;
use crate::store::rental::{Rental, RentalState};
use crate::{Destination, Node, Pending};
use std::collections::{BTreeMap, BTreeSet};
use wire::api::{Catalog, HireRequest, ListedMachine, MachineList, MachineNames};
use wire::http::Response;
use wire::records::RentalRecord;

const CLOUD_TIMEOUT_MS: u64 = 5000;
const STAND_BACK_MEMORY_MS: u64 = 180_000;
/// Silence is looked for this often.
const LOOK_MS: u64 = 500;
/// Machines that answer commands and heartbeat nothing are asked this often what became of their tasks.
const MUTE_MS: u64 = 2000;
/// When a new leader asks machines that it has not heard of, and how many at a time.
const CALL_AFTER_MS: u64 = 500;
const CALL_UNTIL_MS: u64 = 8000;
const CALLS_A_TICK: usize = 12;
const CATALOG_EVERY_MS: u64 = 60_000;

#[derive(Default)]
pub(crate) struct Listing {
    after: Option<String>,
    busy: bool,
    next_at: u64,
}

impl Node {
    pub(crate) fn catalog_tick(&mut self) {
        let now = self.now.mono;
        if now < self.catalog_at || !self.cloud.try_take(now, 1.0) {
            return;
        }
        self.catalog_at = now + CATALOG_EVERY_MS;
        self.send(
            Destination::Cloud,
            "GET",
            "/catalog".into(),
            Vec::new(),
            CLOUD_TIMEOUT_MS,
            Pending::Catalog,
        );
    }

    pub(crate) fn catalog_received(&mut self, response: Option<Response>) {
        let catalog = response
            .filter(|r| r.status == 200)
            .and_then(|r| self.read::<Catalog>("cloud", &r));
        let Some(mut catalog) = catalog else {
            self.catalog_at = self.now.mono + self.rng.u64(1000..2500);
            return;
        };
        catalog.types.truncate(64);
        // Prices move all the time; the record is for those who start without the cloud.
        let names = |c: &Catalog| {
            c.types
                .iter()
                .map(|t| (t.name.clone(), t.zones.clone()))
                .collect::<Vec<_>>()
        };
        let known = self.shared.catalog_version > 0
            && self
                .shared
                .catalog
                .as_ref()
                .is_some_and(|old| names(old) == names(&catalog));
        self.shared.catalog = Some(catalog);
        if let Some(shard) = &mut self.shard {
            shard.cloud_calls.catalog_dirty |= !known;
            shard.plan_triggers.request();
        }
    }

    pub(crate) fn fleet_tick(&mut self) {
        let now = self.now.mono;
        let term = self.term;
        let has_valid_lease = self.has_valid_lease();
        let Some(shard) = &mut self.shard else { return };
        if shard.live_watch.is_due(now) {
            self.watch_live();
        }
        if !has_valid_lease {
            return;
        }
        let Some(shard) = &mut self.shard else { return };
        // Rentals that are recorded; the same name again until there is an answer.
        let ready: Vec<(String, RentalRecord)> = shard
            .rentals
            .iter()
            .filter(|(_, h)| h.state == RentalState::Recorded && !h.busy && h.retry_at <= now)
            .map(|(n, h)| (n.clone(), h.record.clone()))
            .collect();
        for (name, rec) in ready {
            if !self.cloud.try_take(now, 1.0) {
                break;
            }
            if let Some(rental) = self.shard.as_mut().and_then(|p| p.rentals.get_mut(&name)) {
                rental.busy = true;
            }
            let body = wire::encode(&HireRequest {
                request: name.clone(),
                machine_type: rec.machine_type,
                zone: rec.zone,
                spot: rec.spot,
                count: rec.count,
            });
            let what = Pending::Rental { term, name };
            self.send(
                Destination::Cloud,
                "POST",
                "/machines".into(),
                body,
                CLOUD_TIMEOUT_MS,
                what,
            );
        }
        let Some(shard) = &mut self.shard else { return };
        if shard.cloud_calls.may_delete(now) {
            let machines: Vec<usize> = (0..shard.machines.slots())
                .filter(|m| shard.machine(*m).is_some_and(|x| x.deleting))
                .take(100)
                .collect();
            if !machines.is_empty() && self.cloud.try_take(now, 1.0) {
                shard.cloud_calls.deletion_sent();
                let names = machines
                    .iter()
                    .filter_map(|m| shard.machine(*m).map(|x| x.name.clone()))
                    .collect();
                let body = wire::encode(&MachineNames { machines: names });
                let what = Pending::Delete { term, machines };
                self.send(
                    Destination::Cloud,
                    "POST",
                    "/machines/delete".into(),
                    body,
                    CLOUD_TIMEOUT_MS,
                    what,
                );
            }
        }
        let every = (self.settings.cluster.cloud.list_lag_s * 500.0) as u64;
        let Some(shard) = &mut self.shard else { return };
        if !shard.cloud_calls.listing.busy
            && now >= shard.cloud_calls.listing.next_at
            && self.cloud.try_take(now, 1.0)
        {
            shard.cloud_calls.listing.busy = true;
            shard.cloud_calls.listing.next_at = now + every.max(1500);
            let from = shard
                .cloud_calls
                .listing
                .after
                .as_ref()
                .map(|a| format!("from={a}&"))
                .unwrap_or_default();
            let path = format!("/machines?{from}limit=500");
            self.send(
                Destination::Cloud,
                "GET",
                path,
                Vec::new(),
                CLOUD_TIMEOUT_MS,
                Pending::List { term },
            );
        }
    }

    pub(crate) fn list_received(&mut self, response: Option<Response>) {
        let list = response
            .filter(|r| r.status == 200)
            .and_then(|r| self.read::<MachineList>("cloud", &r));
        let Some(shard) = &mut self.shard else { return };
        shard.returned.forget_old(self.now.mono);
        shard.cloud_calls.listing.busy = false;
        let Some(list) = list else { return };
        shard.cloud_calls.listing.after = None;
        if list.more
            && let Some(last) = list.machines.last()
        {
            shard.cloud_calls.listing.after = Some(last.name.clone());
            shard.cloud_calls.listing.next_at = self.now.mono;
        }
        for machine in list.machines {
            self.listed(machine);
        }
    }

    fn listed(&mut self, l: ListedMachine) {
        let now = self.now;
        let Some(shard) = &mut self.shard else { return };
        if let Some(m) = shard.machines.index_of(&l.name) {
            let Some(machine) = shard.machine_mut(m) else {
                return;
            };
            if machine.addr.is_none() {
                machine.addr = l.addr.parse().ok();
            }
            // A machine that failed costs nothing more, but its tasks are proved gone only by its return.
            if l.stage == "failed" && !machine.deleting {
                log::info!("machine {}: failed", machine.name);
                machine.failed = true;
                machine.deleting = true;
            }
            return;
        }
        if shard.returned.contains(&l.name) {
            return;
        }
        // Machines of a rental whose answer is still out are expected, but take them in all the same.
        log::info!("machine {}: listed, taken in", l.name);
        let rental_answered = now
            .wall
            .saturating_sub((l.age_s.clamp(0.0, 1e6) * 1000.0) as u64);
        let mut machine = Machine::unrecorded(
            &l.name,
            &l.machine_type,
            &l.zone,
            l.spot,
            rental_answered,
            now.mono,
        );
        machine.addr = l.addr.parse().ok();
        machine.failed = l.stage == "failed";
        machine.deleting = machine.failed;
        shard.add_machine(machine);
    }

    /// Writes a rental down; it is sent once the record stands.
    pub(crate) fn rental(&mut self, machine_type: &str, zone: &str, spot: bool, count: u32) {
        let wall = self.now.wall;
        let Some(shard) = &mut self.shard else { return };
        let serial = shard.next_serial();
        let name = format!("r-{SHARD}-{}-{serial}", shard.token);
        log::info!("rental {name}: {count} of {machine_type} in {zone}, spot {spot}");
        let rec = RentalRecord {
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            count: count.min(50),
            at_ms: wall,
        };
        shard.rentals.insert(
            name,
            Rental {
                record: rec,
                version: 0,
                busy: false,
                retry_at: 0,
                state: RentalState::New,
            },
        );
    }

    pub(crate) fn rental_answered(&mut self, name: String, response: Option<Response>) {
        let now = self.now;
        let status = response.as_ref().map(|r| r.status);
        let got = response
            .as_ref()
            .filter(|r| r.status == 200)
            .and_then(|r| self.read::<MachineNames>("cloud", r));
        let no_capacity = status == Some(503)
            && response.as_ref().is_some_and(|r| {
                wire::decode::<wire::api::ErrorBody>(&r.body)
                    .is_ok_and(|e| e.error == "no capacity")
            });
        let wait = self.rng.u64(500..1500);
        let Some(shard) = &mut self.shard else { return };
        let Some(rental) = shard.rentals.get_mut(&name) else {
            return;
        };
        self.to_write = true;
        rental.busy = false;
        let rec = rental.record.clone();
        let kind = (rec.machine_type.clone(), rec.zone.clone(), rec.spot);
        if let Some(got) = got {
            rental.state = RentalState::Over;
            if (got.machines.len() as u32) < rec.count {
                shard.cloud_calls.partly_refused(kind, now.mono);
            } else {
                shard.cloud_calls.supplied(&kind);
            }
            for machine in got.machines {
                if shard.machines.contains(&machine) || shard.returned.contains(&machine) {
                    continue;
                }
                let (kind, zone) = (&rec.machine_type, &rec.zone);
                shard.add_machine(Machine::unrecorded(
                    &machine, kind, zone, rec.spot, rec.at_ms, now.mono,
                ));
            }
        } else if no_capacity || status == Some(400) {
            log::info!("rental {name}: none to be had");
            rental.state = RentalState::Over;
            shard.cloud_calls.refused(kind, now.mono);
        } else {
            rental.retry_at = now.mono + wait;
        }
        shard.plan_triggers.request();
    }

    pub(crate) fn deleted(&mut self, machines: Vec<usize>, response: Option<Response>) {
        let now = self.now.mono;
        let wait = self.rng.u64(500..1500);
        let Some(shard) = &mut self.shard else { return };
        shard.cloud_calls.deletion_ended();
        if response.is_none_or(|r| r.status != 200) {
            shard.cloud_calls.delete_again_at(now + wait);
            return;
        }
        let mut changed = std::collections::BTreeSet::new();
        for m in machines {
            let Some(shard) = &mut self.shard else { return };
            let Some(machine) = shard.machine_mut(m) else {
                continue;
            };
            log::info!("machine {}: returned", machine.name);
            let name = machine.name.clone();
            let claims = machine.claims.len();
            shard.returned.add(name, now);
            // The cloud's word is proof: everything on the machine is gone.
            for k in (0..claims).rev() {
                changed.extend(self.claim_ended(m, k, None, false));
            }
            if let Some(shard) = &mut self.shard {
                shard.remove_machine(m);
            }
        }
        for ix in changed {
            self.job_changed(ix);
        }
    }

    /// Looks after machines that are silent, never came up, or have nothing to do.
    pub(crate) fn machines_tick(&mut self) {
        self.push_orders();
        let now = self.now;
        if !self.may_decide() {
            return;
        }
        self.probe_round();
        let Some(shard) = &mut self.shard else { return };
        if now.mono < shard.looked_at + LOOK_MS {
            return;
        }
        shard.looked_at = now.mono;
        let silent = self.silent_ms();
        self.look_at_zones();
        let grace = (self.settings.cluster.workers.report_s * 1000.0) as u64;
        let lease = (self.settings.cluster.workers.lease_s * 1000.0) as u64;
        let boots: Vec<(String, f64)> = self
            .catalog()
            .map(|c| c.types.iter().map(|t| (t.name.clone(), t.boot_s)).collect())
            .unwrap_or_default();
        let patience = self.tuning.boot_patience;
        let can_follow = self.could_be_followed();
        let Some(shard) = &mut self.shard else { return };
        if now.mono < shard.since + grace {
            return;
        }
        let mut probes = Vec::new();
        let mut unsent = Vec::new();
        let (mut up, mut quiet) = (0, 0);
        for (m, machine) in shard.machines.iter_mut().enumerate() {
            let Some(machine) = machine else { continue };
            let heartbeat_overdue = machine.is_heartbeat_overdue(now.mono, silent);
            if (heartbeat_overdue || machine.deleting) && machine.unsent().next().is_some() {
                unsent.push(m);
            }
            if machine.deleting {
                continue;
            }
            let gap = now.mono.saturating_sub(machine.heard_at);
            if machine.is_known_up() {
                up += 1;
                // Only who was asked and has not answered can't be heard: mute machines are as late, all at a time.
                let asked = machine.probed_at > machine.heard_at || machine.addr.is_none();
                quiet += u32::from(gap > silent && asked);
                let every = match (
                    gap > silent,
                    heartbeat_overdue && !machine.claims.is_empty(),
                ) {
                    (true, _) => Some(1000),
                    (false, true) => Some(MUTE_MS),
                    (false, false) => None,
                };
                if every.is_some_and(|ms| now.mono >= machine.probed_at + ms)
                    && machine.probe.is_none()
                {
                    probes.push(m);
                }
            } else {
                let boot = boots
                    .iter()
                    .find(|(n, _)| *n == machine.machine_type)
                    .map_or(60.0, |(_, b)| *b);
                let age = now.wall.saturating_sub(machine.rented_ms) as f64 / 1000.0;
                // After a failover a machine that is up has to find us first.
                if age > boot * patience && gap as f64 > boot * 500.0 {
                    log::info!("machine {}: did not come up", machine.name);
                    machine.deleting = true;
                }
            }
            if machine.sick && machine.claims.is_empty() {
                machine.deleting = true;
            }
        }
        if up >= 4
            && quiet * 2 > up
            && can_follow
            && self
                .stood_aside_at
                .is_none_or(|at| now.mono > at + STAND_BACK_MEMORY_MS)
        {
            // That many seldom fail at once: more likely we are cut off from them, and another node is not.
            // Only once in a while, though: where they did fail, every node would hand them on for ever and
            // none would return them.
            self.stood_aside_at = Some(now.mono);
            self.step_down("most machines can't be heard here");
            return self.stand_aside(15_000);
        }
        for m in unsent {
            let machine = self.shard.as_ref().and_then(|p| p.machine(m));
            let claims: Vec<usize> = machine.map(|x| x.unsent().collect()).unwrap_or_default();
            self.never_started(m, &claims);
        }
        for m in probes {
            let Some(machine) = self.shard.as_mut().and_then(|p| p.machine_mut(m)) else {
                continue;
            };
            if machine.addr.is_some() {
                self.probe_machine(m);
            } else if now.mono.saturating_sub(machine.heard_at) > lease {
                // Neither its worker nor the cloud's list has told where it is.
                log::warn!(
                    "machine {}: silent and without address, to be returned",
                    machine.name
                );
                machine.deleting = true;
            }
        }
    }

    /// Which zones seem to be cut off: those where a third of the machines is later than heartbeats ever are. That is
    /// enough, since the first machines would be returned before half of them are late.
    pub(crate) fn look_at_zones(&mut self) {
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
            let (up, quiet, relayed) = zones.entry(machine.zone.as_str()).or_default();
            *up += 1;
            // Where all heartbeats go by way of peers, that says nothing of a zone.
            *relayed += u32::from(machine.via.is_some() && !is_spread);
            *quiet += u32::from(now.saturating_sub(machine.heard_at) > late);
        }
        // Where some are heard by way of a peer, the others are likely to find it too.
        let detour = zones
            .iter()
            .filter(|(_, (up, _, relayed))| relayed * 8 > *up);
        let detour: BTreeSet<String> = detour.map(|(zone, _)| (*zone).to_owned()).collect();
        let cut = zones
            .iter()
            .filter(|(_, (up, quiet, _))| *up >= 4 && quiet * 3 > *up);
        let cut: BTreeSet<String> = cut.map(|(zone, _)| (*zone).to_owned()).collect();
        shard.zones.observe(cut, detour);
    }

    /// After a failover: asks the machines that have not come by themselves, a few at a time. Their workers may
    /// still be with an earlier leader, and what they say is needed before much can be decided.
    fn probe_round(&mut self) {
        let now = self.now.mono;
        let Some(shard) = &mut self.shard else { return };
        if now < shard.since + CALL_AFTER_MS || now >= shard.since + CALL_UNTIL_MS {
            return;
        }
        let since = shard.since;
        let unheard = |m: &Machine| {
            m.heard_at <= since
                && m.addr.is_some()
                && m.probe.is_none()
                && m.probed_at < since
                && !m.deleting
        };
        let due = shard
            .machines
            .iter()
            .enumerate()
            .filter(|(_, m)| m.is_some_and(unheard));
        let due: Vec<usize> = due.map(|(m, _)| m).take(CALLS_A_TICK).collect();
        for m in due {
            self.probe_machine(m);
        }
    }
}
