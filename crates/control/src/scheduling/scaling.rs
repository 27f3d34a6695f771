//! Scales the fleet after a plan: decides which machines to rent and which to return.

use super::plan_input::{Scope, index_names, total_of};
use super::planning::Planned;
use crate::Node;
use crate::agents::machine::Machine;
use crate::store::rental::RentalState;
use crate::store::shard::Shard;
use std::collections::HashMap;
use wire::api::{Catalog, Cause, MachineType};

/// The most machines that the cloud provides in one call.
const MAX_PER_CALL: u32 = 50;
/// The most machines that may be booting or on order at once.
const MAX_PENDING_MACHINES: usize = 8000;

/// Machine type, zone, and whether it is a spot machine.
type OfferName = (String, String, bool);

/// The machines that the cloud offers, in the planner's form and by name. Both lists have the same order.
struct Offers {
    offers: Vec<plan::MachineOffer>,
    names: Vec<OfferName>,
}

impl Offers {
    /// Every machine type in each of its zones, spot before on-demand.
    fn of(catalog: &Catalog, zones: &HashMap<&str, u16>) -> Self {
        let mut all = Offers {
            offers: Vec::new(),
            names: Vec::new(),
        };
        for (i, machine_type) in catalog.types.iter().enumerate() {
            for zone in &machine_type.zones {
                let Some(zone_index) = zones.get(zone.as_str()) else {
                    continue;
                };
                for spot in [true, false] {
                    let offer = machine_offer(machine_type, i as u16, *zone_index, spot);
                    all.offers.push(offer);
                    all.names
                        .push((machine_type.name.clone(), zone.clone(), spot));
                }
            }
        }
        all
    }

    fn find(&self, name: &OfferName) -> Option<&plan::MachineOffer> {
        let at = self.names.iter().position(|n| n == name)?;
        Some(&self.offers[at])
    }

    /// Machines that are booting, and those of recorded rentals that the cloud has not answered yet.
    fn coming(&self, shard: &Shard) -> Vec<(plan::MachineOffer, u32)> {
        let booting = shard
            .machines
            .iter()
            .flatten()
            .filter(|m| !m.up && !m.to_be_returned && !m.failed)
            .map(|m| ((m.machine_type.clone(), m.zone.clone(), m.spot), 1));
        let rented = shard
            .rentals
            .values()
            .filter(|rental| rental.state == RentalState::Recorded)
            .map(|rental| &rental.record)
            .map(|rec| {
                let name = (rec.machine_type.clone(), rec.zone.clone(), rec.spot);
                (name, rec.count)
            });
        booting
            .chain(rented)
            .filter_map(|(name, count)| Some((self.find(&name)?.clone(), count)))
            .collect()
    }

    /// Indices of the offers that may be rented now. Zones with the fewest machines come first, to limit what the
    /// loss of one zone takes away.
    fn rentable(&self, shard: &Shard, now: u64) -> Vec<usize> {
        let mut machines_in: HashMap<&str, u32> = HashMap::new();
        for machine in shard.machines.iter().flatten() {
            *machines_in.entry(machine.zone.as_str()).or_default() += 1;
        }
        let is_refused = |name: &OfferName| shard.cloud_calls.is_refused(name, now);
        // A new machine in an unreachable zone would cost money and run nothing.
        let is_cut_off = |name: &OfferName| shard.zones.is_cut(&name.1);
        let mut rentable: Vec<usize> = (0..self.names.len())
            .filter(|i| !is_refused(&self.names[*i]) && !is_cut_off(&self.names[*i]))
            .collect();
        rentable.sort_by_key(|i| {
            let zone = self.names[*i].1.as_str();
            machines_in.get(zone).copied().unwrap_or(0)
        });
        rentable
    }
}

fn machine_offer(
    machine_type: &MachineType,
    type_index: u16,
    zone: u16,
    spot: bool,
) -> plan::MachineOffer {
    plan::MachineOffer {
        machine_type: type_index,
        zone,
        spot,
        total: total_of(machine_type),
        price: if spot {
            machine_type.spot_price
        } else {
            machine_type.price
        },
        boot: machine_type.boot_s,
        fetch_gb_per_s: machine_type.fetch_gb_per_s,
    }
}

impl Node {
    /// Rents and returns machines after a full plan. A new leader waits two heartbeat intervals first, to hear from the
    /// existing machines.
    pub(super) fn scale(&mut self, planned: &Planned, catalog: &Catalog) {
        let Some(shard) = &self.shard else { return };
        let is_settled = self.now.mono >= shard.ready_since + 2 * self.heartbeat_interval_ms();
        if planned.scope != Scope::All || !is_settled {
            return;
        }
        self.scale_out(planned, catalog);
        self.return_idle(planned);
    }

    /// Rents the machines that waiting tasks and reservations still need.
    fn scale_out(&mut self, planned: &Planned, catalog: &Catalog) {
        let now = self.now.mono;
        let zones = index_names(self.settings.cluster.zones.iter());
        let Some(shard) = &mut self.shard else { return };
        // Wait until earlier rentals are recorded, otherwise the same machines would be rented twice.
        let mut rentals = shard.rentals.values();
        if !shard.plan_triggers.rentals_due(now) || rentals.any(|r| r.state == RentalState::New) {
            return;
        }
        shard.plan_triggers.rentals_considered(now);
        let offers = Offers::of(catalog, &zones);
        let coming = offers.coming(shard);
        let rentable = offers.rentable(shard, now);
        let rentable_offers: Vec<plan::MachineOffer> =
            rentable.iter().map(|i| offers.offers[*i].clone()).collect();
        let requests = plan::scale_out(&plan::ScaleOutInput {
            input: &planned.input,
            output: &planned.output,
            offers: &rentable_offers,
            booting: &coming,
            horizon: self.tuning.horizon_s,
            max_machines: MAX_PENDING_MACHINES,
        });
        for request in requests {
            self.rent(&offers.names[rentable[request.offer]], request.count);
        }
    }

    /// Rents machines in as many calls as the cloud's rate limit allows in half a second. A later plan requests the
    /// rest.
    fn rent(&mut self, (machine_type, zone, spot): &OfferName, count: u32) {
        let calls = (self.settings.cluster.cloud.rps / 2.0).ceil() as u32;
        let mut left = count.min(calls * MAX_PER_CALL);
        while left > 0 {
            let count = left.min(MAX_PER_CALL);
            self.add_rental(machine_type, zone, *spot, count);
            left -= count;
        }
    }

    /// Returns machines that have been idle for a while, except those that the plan or models keep. It does so even
    /// while tasks wait: an idle machine is one that they can't use, and it may take the place of one that they can.
    fn return_idle(&mut self, planned: &Planned) {
        let kept_by_plan = planned.output.reserved_machines.iter();
        let mut kept: Vec<usize> = kept_by_plan
            .map(|m| planned.index.machines[*m as usize])
            .collect();
        kept.extend(self.machines_retained_for_models());
        let now = self.now.mono;
        let idle_ms = (self.tuning.idle_s * 1000.0) as u64;
        let Some(shard) = &mut self.shard else { return };
        let returned: Vec<usize> = (0..shard.machines.slots())
            .filter(|m| !kept.contains(m))
            .filter(|m| is_idle(shard, *m, now, idle_ms))
            .collect();
        for machine_index in returned {
            if let Some(machine) = shard.machines.get_mut(machine_index) {
                log::info!("machine {}: idle, will be returned", machine.name);
                machine.to_be_returned = true;
            }
        }
    }
}

/// Whether a machine has been idle for `idle_ms` and may be returned.
fn is_idle(shard: &Shard, machine_index: usize, now: u64, idle_ms: u64) -> bool {
    shard.machine(machine_index).is_some_and(|machine| {
        machine.up
            && machine.claims.is_empty()
            && !has_unrecorded_result(shard, machine)
            && !machine.to_be_returned
            && machine.idle_since + idle_ms < now
    })
}

/// Whether a task's success is known only to this machine and leader. If the machine were returned and this leader
/// failed, the result would be lost.
fn has_unrecorded_result(shard: &Shard, machine: &Machine) -> bool {
    let mut results = machine
        .exited
        .iter()
        .filter(|exited| exited.cause == Some(Cause::Done));
    results.any(|exited| {
        let job = shard
            .jobs
            .index_of(&exited.job)
            .and_then(|job_index| shard.job(job_index));
        job.is_some_and(|job| !job.is_result_recorded(exited.task))
    })
}
