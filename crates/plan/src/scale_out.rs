//! What to rent: enough for the tasks that found no room, where renting is worth its price.

use crate::RUN_TIME_SLACK;
use crate::tenant::Tenants;
use crate::{EPS, Input, Job, Output, Resources, Secs, Shape, count_in};

/// A kind of machine that can be rented now.
#[derive(Debug, Clone)]
pub struct MachineOffer {
    pub machine_type: u16,
    pub zone: u16,
    pub spot: bool,
    pub total: Resources,
    pub price: f64,
    pub boot: Secs,
    pub fetch_gb_per_s: f64,
}

pub struct ScaleOutInput<'a> {
    pub input: &'a Input,
    pub output: &'a Output,
    pub offers: &'a [MachineOffer],
    /// Machines that are on their way, as indices into `offers`' kinds: type, zone, spot and how many.
    pub coming: &'a [(MachineOffer, u32)],
    /// An array's waiting work is spread over this time: less makes it faster and dearer.
    pub horizon: Secs,
    /// Bound on the machines that are looked at, those on their way included.
    pub most: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RentalRequest {
    /// Index into the offers.
    pub offer: usize,
    pub count: u32,
}

struct Virtual {
    offer: MachineOffer,
    free: Resources,
    new: Option<usize>,
    tenants: Tenants,
}

/// The zone of a job whose tasks share one: that of the tasks it has, or else the one where most of its places are on
/// their way, if the rest can be rented there. None while any zone will do.
fn home(
    job: &Job,
    places: u32,
    fleet: &[Virtual],
    offers: &[MachineOffer],
    fits: &impl Fn(&MachineOffer) -> bool,
) -> Option<u16> {
    if let Some((zone, _)) = job.zones.iter().find(|(_, n)| *n > 0) {
        return Some(*zone);
    }
    let mut coming: Vec<(u16, u32)> = Vec::new();
    for v in fleet
        .iter()
        .filter(|v| fits(&v.offer) && v.tenants.admits(&job.tenant))
    {
        let there = count_in(&mut coming, v.offer.zone);
        *there = there.saturating_add(v.free.count(&job.need, places));
    }
    let whole = |zone: u16, n: u32| n >= places || offers.iter().any(|o| o.zone == zone && fits(o));
    coming.retain(|(zone, n)| *n > 0 && whole(*zone, *n));
    // With equal room the first wins.
    let most = coming.iter().map(|(_, n)| *n).max()?;
    coming
        .iter()
        .find(|(_, n)| *n == most)
        .map(|(zone, _)| *zone)
}

/// The machines to rent now, cheapest kind that the job allows first.
pub fn scale_out(h: &ScaleOutInput<'_>) -> Vec<RentalRequest> {
    let mut fleet: Vec<Virtual> = Vec::new();
    let mut full: Vec<usize> = Vec::new();
    for (offer, n) in h.coming {
        for _ in 0..*n {
            fleet.push(Virtual {
                offer: offer.clone(),
                free: offer.total,
                new: None,
                tenants: Tenants::default(),
            });
        }
    }
    let jobs = &h.input.jobs;
    let mut order: Vec<(&Job, u32)> = h
        .output
        .waiting
        .iter()
        .map(|(j, n)| (&jobs[*j as usize], *n))
        .collect();
    order.sort_by_key(|(job, _)| std::cmp::Reverse(job.priority));
    let short = h
        .input
        .reservations
        .iter()
        .zip(&h.output.reservations_short);
    order.extend(short.map(|(reservation, n)| (&reservation.like, *n)));
    for (job, n) in order {
        let fits = |o: &MachineOffer| {
            job.types >> o.machine_type & 1 == 1
                && job.zone.is_none_or(|z| z == o.zone)
                && (job.only.is_empty() || job.only.contains(&o.zone))
                && (job.spot || !o.spot)
                && o.total.fits(&job.need)
        };
        // An array need not run all at once: as many places as finish its work within the horizon.
        let places = match job.shape {
            Shape::Array => {
                // Of its own deadline, what is left once a machine is up with the image.
                let lead = |o: &MachineOffer| o.boot + job.image_gb / o.fetch_gb_per_s.max(0.01);
                let lead = h
                    .offers
                    .iter()
                    .filter(|o| fits(o))
                    .map(lead)
                    .fold(0.0, f64::max);
                let time = job.due.map_or(h.horizon, |due| h.horizon.min(due - lead));
                let rounds = (time / (job.estimate.max(1.0) * RUN_TIME_SLACK))
                    .floor()
                    .max(1.0);
                (f64::from(n) / rounds).ceil() as u32
            }
            _ => n,
        };
        let mut left = places;
        // Tasks that must not crowd in one zone need machines in several; what fits nowhere needs none.
        let most = if job.spread {
            job.tasks.div_ceil(2)
        } else {
            u32::MAX
        };
        let mut zones = job.zones.clone();
        // Where all tasks share a zone, a machine in another one would stand idle.
        let mut home = if job.one_zone {
            home(job, places, &fleet, h.offers, &fits)
        } else {
            None
        };
        let mut k = 0;
        while left > 0 && k < fleet.len() {
            let v = &mut fleet[k];
            let in_reach = !job.one_zone || home == Some(v.offer.zone);
            if fits(&v.offer) && in_reach && v.tenants.admits(&job.tenant) {
                let there = count_in(&mut zones, v.offer.zone);
                let n = v
                    .free
                    .count(&job.need, left.min(most.saturating_sub(*there)));
                v.free.add(&job.need, -f64::from(n));
                *there += n;
                left -= n;
                if n > 0 {
                    v.tenants.add(&job.tenant);
                }
            }
            // What is full is not looked at again.
            if v.free.cores <= EPS
                || v.free.mem <= EPS
                || (v.offer.total.gpus > EPS && v.free.gpus <= EPS)
            {
                full.extend(fleet.swap_remove(k).new);
            } else {
                k += 1;
            }
        }
        let rented = fleet.len();
        while left > 0 && full.len() + fleet.len() < h.most {
            let open = |o: &MachineOffer, zones: &mut Vec<(u16, u32)>| {
                fits(o) && home.is_none_or(|z| z == o.zone) && *count_in(zones, o.zone) < most
            };
            let cost = |o: &MachineOffer| o.price * o.total.share(&job.need);
            let offers = h
                .offers
                .iter()
                .enumerate()
                .filter(|(_, o)| open(o, &mut zones));
            let best = offers.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
            let Some((index, offer)) = best else { break };
            home = home.or(job.one_zone.then_some(offer.zone));
            // All that are needed of this kind at once; another kind only where this one's zone is full.
            let there = count_in(&mut zones, offer.zone);
            loop {
                let mut v = Virtual {
                    offer: offer.clone(),
                    free: offer.total,
                    new: Some(index),
                    tenants: Tenants::of([&job.tenant]),
                };
                let n = v.free.count(&job.need, left.min(most - *there)).max(1);
                v.free.add(&job.need, -f64::from(n));
                left -= n.min(left);
                *there += n;
                fleet.push(v);
                if left == 0 || *there >= most || full.len() + fleet.len() >= h.most {
                    break;
                }
            }
        }
        // Half a gang starts nowhere.
        if job.shape == Shape::Gang && left > 0 {
            fleet.truncate(rented);
        }
    }
    let mut out: Vec<RentalRequest> = Vec::new();
    for offer in full
        .into_iter()
        .chain(fleet.into_iter().filter_map(|v| v.new))
    {
        match out.iter_mut().find(|w| w.offer == offer) {
            Some(w) => w.count += 1,
            None => out.push(RentalRequest { offer, count: 1 }),
        }
    }
    out
}
