//! Scale out, what to rent: enough for the tasks that found no room, where renting is worth its price.

use crate::tenant::Tenants;
use crate::{EPS, Input, Job, Output, RUN_TIME_SLACK, Resources, Secs, Shape, count_in};
use std::cmp::Reverse;

/// A kind of machine that can be rented now.
#[derive(Debug, Clone)]
pub struct MachineOffer {
    /// Its type, as an index.
    pub machine_type: u16,
    /// Its zone, as an index.
    pub zone: u16,
    /// The cloud may take it back at any time.
    pub spot: bool,
    /// All that such a machine has.
    pub total: Resources,
    /// What it costs, in any unit that all offers share.
    pub price: f64,
    /// Time from the order until it takes tasks.
    pub boot: Secs,
    /// How fast it fetches images.
    pub fetch_gb_per_s: f64,
}

/// What is decided on: a plan, and what the cloud offers.
pub struct ScaleOutInput<'a> {
    /// What the plan was made from.
    pub input: &'a Input,
    /// The plan.
    pub output: &'a Output,
    /// What can be rented.
    pub offers: &'a [MachineOffer],
    /// Machines that are on their way, as indices into `offers`' kinds: type, zone, spot and how many.
    pub coming: &'a [(MachineOffer, u32)],
    /// An array's waiting work is spread over this time: less makes it faster and dearer.
    pub horizon: Secs,
    /// Bound on the machines that are looked at, those on their way included.
    pub max_machines: usize,
}

/// Machines of one offer to rent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RentalRequest {
    /// Index into the offers.
    pub offer: usize,
    /// How many machines.
    pub count: u32,
}

/// The machines to rent now, cheapest kind that the job allows first.
pub fn scale_out(scale: &ScaleOutInput<'_>) -> Vec<RentalRequest> {
    let mut fleet = VirtualFleet::new(scale);
    for (job, tasks) in unplaced(scale) {
        let places = places_wanted(job, tasks, scale);
        let mut demand = Demand::new(job, places, &fleet);
        fleet.use_open_machines(&mut demand);
        fleet.add_machines(&mut demand);
    }
    fleet.into_requests()
}

/// Tasks that found no room, the most urgent first, and then what is reserved for and found none.
fn unplaced<'a>(scale: &ScaleOutInput<'a>) -> Vec<(&'a Job, u32)> {
    let waiting = scale.output.waiting.iter();
    let mut unplaced: Vec<(&Job, u32)> = waiting
        .map(|(job, tasks)| (&scale.input.jobs[*job as usize], *tasks))
        .collect();
    unplaced.sort_by_key(|(job, _)| Reverse(job.priority));
    let short = scale.output.reservations_short.iter();
    let reserved = scale.input.reservations.iter().zip(short);
    unplaced.extend(reserved.map(|(reservation, tasks)| (&reservation.like, *tasks)));
    unplaced
}

/// Whether a task of the job may run on such a machine, and fits on an empty one.
fn fits(job: &Job, offer: &MachineOffer) -> bool {
    job.types >> offer.machine_type & 1 == 1
        && job.zone.is_none_or(|zone| zone == offer.zone)
        && (job.only.is_empty() || job.only.contains(&offer.zone))
        && (job.spot || !offer.spot)
        && offer.total.fits(&job.need)
}

/// Places that a job's waiting tasks should have. An array need not run all at once: as many as finish its work within
/// the horizon.
fn places_wanted(job: &Job, tasks: u32, scale: &ScaleOutInput<'_>) -> u32 {
    if job.shape != Shape::Array {
        return tasks;
    }
    // Of its own deadline, what is left once a machine is up with the image.
    let lead = |o: &MachineOffer| o.boot + job.image_gb / o.fetch_gb_per_s.max(SLOWEST_FETCH);
    let usable = scale.offers.iter().filter(|offer| fits(job, offer));
    let lead = usable.map(lead).fold(0.0, f64::max);
    let time = job
        .due
        .map_or(scale.horizon, |due| scale.horizon.min(due - lead));
    let rounds = (time / (job.estimate.max(1.0) * RUN_TIME_SLACK))
        .floor()
        .max(1.0);
    (f64::from(tasks) / rounds).ceil() as u32
}

/// Images are taken to come no slower than this, in GB a second.
const SLOWEST_FETCH: f64 = 0.01;

/// A machine that is on its way or to be rented.
struct VirtualMachine {
    offer: MachineOffer,
    free: Resources,
    /// The index of its offer, if it is to be rented.
    new: Option<usize>,
    tenants: Tenants,
}

impl VirtualMachine {
    /// Gives a job up to `cap` places; returns how many.
    fn place(&mut self, job: &Job, cap: u32) -> u32 {
        let placed = self.free.count(&job.need, cap);
        self.free.add(&job.need, -f64::from(placed));
        placed
    }

    fn is_full(&self) -> bool {
        self.free.cores <= EPS
            || self.free.mem <= EPS
            || (self.offer.total.gpus > EPS && self.free.gpus <= EPS)
    }
}

/// Places that a job still lacks.
struct Demand<'a> {
    job: &'a Job,
    left: u32,
    /// Tasks that one zone may have: those that must not crowd in one need machines in several.
    max_per_zone: u32,
    tasks_by_zone: Vec<(u16, u32)>,
    /// Where all tasks share a zone, that one; none while any will do.
    home_zone: Option<u16>,
}

impl<'a> Demand<'a> {
    fn new(job: &'a Job, places: u32, fleet: &VirtualFleet<'_>) -> Self {
        let max_per_zone = if job.spread {
            job.tasks.div_ceil(2)
        } else {
            u32::MAX
        };
        // Where all tasks share a zone, a machine in another one would stand idle.
        let home_zone = if job.one_zone {
            fleet.home_zone(job, places)
        } else {
            None
        };
        Demand {
            job,
            left: places,
            max_per_zone,
            tasks_by_zone: job.zones.clone(),
            home_zone,
        }
    }

    /// Whether a machine that is rented or on its way may have tasks of the job.
    fn may_use(&self, machine: &VirtualMachine) -> bool {
        let in_reach = !self.job.one_zone || self.home_zone == Some(machine.offer.zone);
        fits(self.job, &machine.offer) && in_reach && machine.tenants.admits(&self.job.tenant)
    }

    /// Whether a new machine of this offer may have tasks of the job.
    fn may_rent(&mut self, offer: &MachineOffer) -> bool {
        fits(self.job, offer)
            && self.home_zone.is_none_or(|zone| zone == offer.zone)
            && *count_in(&mut self.tasks_by_zone, offer.zone) < self.max_per_zone
    }

    /// The cheapest offer for a task of the job.
    fn cheapest(&mut self, offers: &[MachineOffer]) -> Option<usize> {
        let need = self.job.need;
        let cost = |offer: &MachineOffer| offer.price * offer.total.share(&need);
        let usable = (0..offers.len()).filter(|i| self.may_rent(&offers[*i]));
        usable.min_by(|a, b| cost(&offers[*a]).total_cmp(&cost(&offers[*b])))
    }
}

/// Machines on their way and to be rented, with the places that are still free on them.
struct VirtualFleet<'a> {
    offers: &'a [MachineOffer],
    max_machines: usize,
    open: Vec<VirtualMachine>,
    /// Offers of the full machines that are to be rented.
    full: Vec<usize>,
}

impl<'a> VirtualFleet<'a> {
    /// The machines that are on their way.
    fn new(scale: &ScaleOutInput<'a>) -> Self {
        let coming = scale.coming.iter();
        let open = coming.flat_map(|(offer, count)| {
            (0..*count).map(|_| VirtualMachine {
                offer: offer.clone(),
                free: offer.total,
                new: None,
                tenants: Tenants::default(),
            })
        });
        VirtualFleet {
            offers: scale.offers,
            max_machines: scale.max_machines,
            open: open.collect(),
            full: Vec::new(),
        }
    }

    /// The zone of a job whose tasks share one: that of the tasks it has, or else the one where most of its places are
    /// on their way, if the rest can be rented there. None while any zone will do.
    fn home_zone(&self, job: &Job, places: u32) -> Option<u16> {
        if let Some((zone, _)) = job.zones.iter().find(|(_, n)| *n > 0) {
            return Some(*zone);
        }
        let mut coming: Vec<(u16, u32)> = Vec::new();
        let usable = self
            .open
            .iter()
            .filter(|m| fits(job, &m.offer) && m.tenants.admits(&job.tenant));
        for machine in usable {
            let there = count_in(&mut coming, machine.offer.zone);
            *there = there.saturating_add(machine.free.count(&job.need, places));
        }
        let is_rentable = |zone| self.offers.iter().any(|o| o.zone == zone && fits(job, o));
        coming.retain(|(zone, n)| *n > 0 && (*n >= places || is_rentable(*zone)));
        // With equal room the first wins.
        let most = coming.iter().map(|(_, n)| *n).max()?;
        coming
            .iter()
            .find(|(_, n)| *n == most)
            .map(|(zone, _)| *zone)
    }

    fn is_at_limit(&self) -> bool {
        self.full.len() + self.open.len() >= self.max_machines
    }

    /// Gives a job places on machines that are on their way or asked for already.
    fn use_open_machines(&mut self, demand: &mut Demand<'_>) {
        let mut k = 0;
        while demand.left > 0 && k < self.open.len() {
            let machine = &mut self.open[k];
            if demand.may_use(machine) {
                let there = count_in(&mut demand.tasks_by_zone, machine.offer.zone);
                let cap = demand.left.min(demand.max_per_zone.saturating_sub(*there));
                let placed = machine.place(demand.job, cap);
                *there += placed;
                demand.left -= placed;
                if placed > 0 {
                    machine.tenants.add(&demand.job.tenant);
                }
            }
            // What is full is not looked at again.
            if machine.is_full() {
                self.full.extend(self.open.swap_remove(k).new);
            } else {
                k += 1;
            }
        }
    }

    /// Adds machines for the places that a job still lacks.
    fn add_machines(&mut self, demand: &mut Demand<'_>) {
        let before = self.open.len();
        while demand.left > 0 && !self.is_at_limit() {
            let Some(index) = demand.cheapest(self.offers) else {
                break;
            };
            self.add_machines_of(index, demand);
        }
        // Half a gang starts nowhere.
        if demand.job.shape == Shape::Gang && demand.left > 0 {
            self.open.truncate(before);
        }
    }

    /// Adds all machines that are needed of one offer; another offer is looked for only where this one's zone is full.
    fn add_machines_of(&mut self, index: usize, demand: &mut Demand<'_>) {
        let offer = &self.offers[index];
        let job = demand.job;
        if job.one_zone {
            demand.home_zone.get_or_insert(offer.zone);
        }
        let there = count_in(&mut demand.tasks_by_zone, offer.zone);
        loop {
            let mut machine = VirtualMachine {
                offer: offer.clone(),
                free: offer.total,
                new: Some(index),
                tenants: Tenants::of([&job.tenant]),
            };
            // At least one, so that this ends.
            let cap = demand.left.min(demand.max_per_zone - *there);
            let placed = machine.free.count(&job.need, cap).max(1);
            machine.free.add(&job.need, -f64::from(placed));
            demand.left -= placed.min(demand.left);
            *there += placed;
            self.open.push(machine);
            let is_at_limit = self.full.len() + self.open.len() >= self.max_machines;
            if demand.left == 0 || *there >= demand.max_per_zone || is_at_limit {
                break;
            }
        }
    }

    /// The new machines by offer, in the order in which the offers were first chosen.
    fn into_requests(self) -> Vec<RentalRequest> {
        let mut requests: Vec<RentalRequest> = Vec::new();
        let open = self.open.into_iter().filter_map(|machine| machine.new);
        for offer in self.full.into_iter().chain(open) {
            match requests.iter_mut().find(|request| request.offer == offer) {
                Some(request) => request.count += 1,
                None => requests.push(RentalRequest { offer, count: 1 }),
            }
        }
        requests
    }
}
