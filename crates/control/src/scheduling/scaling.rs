//! Scaling of the fleet after a plan: which machines to rent and which to return.

use super::plan_input::index;
use crate::Node;
use crate::agents::machine::Machine;
use crate::store::shard::RentalState;
use std::collections::HashMap;
use wire::api::{Catalog, Cause};

/// The most that the cloud rents out in one call.
const MOST_A_CALL: u32 = 50;

/// No more than this is on its way at once.
const MOST_COMING: usize = 2000;

impl Node {
    pub(super) fn rent_for(
        &mut self,
        input: &plan::Input,
        output: &plan::Output,
        catalog: &Catalog,
    ) {
        let now = self.now;
        let zones = index(self.settings.cluster.zones.iter());
        let horizon = self.tuning.horizon_s;
        let Some(shard) = &mut self.shard else { return };
        // Records first: what is still to be written down would be hired twice.
        if now.mono < shard.rental_check_at
            || shard.rentals.values().any(|h| h.state == RentalState::New)
        {
            return;
        }
        shard.rental_check_at = now.mono + 1000;
        let mut offers = Vec::new();
        let mut names = Vec::new();
        for (i, t) in catalog.types.iter().enumerate() {
            for zone in &t.zones {
                let Some(z) = zones.get(zone.as_str()) else {
                    continue;
                };
                for spot in [true, false] {
                    let offer = plan::MachineOffer {
                        machine_type: i as u16,
                        zone: *z,
                        spot,
                        total: plan::Res {
                            cores: t.cores,
                            gpus: t.gpus,
                            mem: t.mem_gb,
                        },
                        price: if spot { t.spot_price } else { t.price },
                        boot: t.boot_s,
                        fetch_gb_per_s: t.fetch_gb_per_s,
                    };
                    names.push((t.name.clone(), zone.clone(), spot));
                    offers.push(offer);
                }
            }
        }
        let mut coming: Vec<(plan::MachineOffer, u32)> = Vec::new();
        for machine in shard
            .machines
            .iter()
            .flatten()
            .filter(|m| !m.up && !m.deleting && !m.failed)
        {
            let kind = (
                machine.machine_type.clone(),
                machine.zone.clone(),
                machine.spot,
            );
            if let Some(i) = names.iter().position(|n| *n == kind) {
                coming.push((offers[i].clone(), 1));
            }
        }
        for rental in shard
            .rentals
            .values()
            .filter(|h| h.state == RentalState::Recorded)
        {
            let kind = (
                rental.rec.machine_type.clone(),
                rental.rec.zone.clone(),
                rental.rec.spot,
            );
            if let Some(i) = names.iter().position(|n| *n == kind) {
                coming.push((offers[i].clone(), rental.rec.count));
            }
        }
        // The zone with fewest machines first, so that one zone's loss takes the least.
        let mut load: HashMap<&str, u32> = HashMap::new();
        for machine in shard.machines.iter().flatten() {
            *load.entry(machine.zone.as_str()).or_default() += 1;
        }
        let mut order: Vec<usize> = (0..names.len())
            .filter(|i| {
                shard
                    .refused
                    .get(&names[*i])
                    .is_none_or(|(until, _)| *until <= now.mono)
            })
            // A new machine in a zone that can't be heard is paid for nothing.
            .filter(|i| !shard.cut_zones.contains(&names[*i].1))
            .collect();
        order.sort_by_key(|i| load.get(names[*i].1.as_str()).copied().unwrap_or(0));
        let open: Vec<plan::MachineOffer> = order.iter().map(|i| offers[*i].clone()).collect();
        let most = MOST_COMING;
        let wishes = plan::wishes(&plan::HireInput {
            input,
            output,
            offers: &open,
            coming: &coming,
            horizon,
            most,
        });
        for wish in wishes {
            let (machine_type, zone, spot) = names[order[wish.offer]].clone();
            // As many calls as half a second's budget allows; the rest is wished for again.
            let calls = (self.settings.cluster.cloud.rps / 2.0).ceil() as u32;
            let mut left = wish.count.min(calls * MOST_A_CALL);
            while left > 0 {
                let count = left.min(MOST_A_CALL);
                self.rental(&machine_type, &zone, spot, count);
                left -= count;
            }
        }
    }

    /// Returns machines that have had nothing to do for a while, the dearest first.
    pub(super) fn return_idle(&mut self, kept: &[usize]) {
        let now = self.now.mono;
        let idle_ms = (self.tuning.idle_s * 1000.0) as u64;
        let Some(shard) = &mut self.shard else { return };
        // Also while tasks wait: a machine that is idle all the same is none that they may use, and it may
        // stand in the way of one.
        let (jobs, job_index) = (&shard.jobs, &shard.job_index);
        // With the machine, a result that is recorded nowhere would be gone, were this leader to end too.
        let owes = |machine: &Machine| {
            machine
                .exited
                .iter()
                .filter(|e| e.cause == Some(Cause::Done))
                .any(|e| {
                    let job = job_index
                        .get(&e.job)
                        .and_then(|ix| jobs.get(*ix))
                        .and_then(Option::as_ref);
                    job.is_some_and(|j| !j.recorded(e.task))
                })
        };
        for (m, machine) in shard.machines.iter_mut().enumerate() {
            let Some(machine) = machine else { continue };
            let idle = machine.up
                && !kept.contains(&m)
                && machine.claims.is_empty()
                && !owes(machine)
                && !machine.deleting
                && machine.idle_since + idle_ms < now;
            if idle {
                log::info!("machine {}: idle, to be returned", machine.name);
                machine.deleting = true;
            }
        }
    }
}
