//! Scale-out: which machines to rent for the tasks that a plan could not place.

use crate::tenant::Tenants;
use crate::{EPS, Input, Job, Output, RUN_TIME_SLACK, Resources, Secs, Shape, count_in};
use std::cmp::Reverse;

/// A kind of machine that can be rented now.
#[derive(Debug, Clone)]
pub struct MachineOffer {
    /// Index of its machine type.
    pub machine_type: u16,
    /// Index of its zone.
    pub zone: u16,
    /// A spot machine: the cloud may reclaim it at any time.
    pub spot: bool,
    /// Total resources of such a machine.
    pub total: Resources,
    /// Its price, in the same unit for all offers.
    pub price: f64,
    /// Time from the request until it accepts tasks.
    pub boot: Secs,
    /// Its rate of fetching images, in GB per second.
    pub fetch_gb_per_s: f64,
}

/// The input of the decision: a plan, and the offers of the cloud.
pub struct ScaleOutInput<'a> {
    /// The input of the plan.
    pub input: &'a Input,
    /// The plan.
    pub output: &'a Output,
    /// The machines that can be rented.
    pub offers: &'a [MachineOffer],
    /// Machines that are rented and not usable yet: their kind, and how many.
    pub booting: &'a [(MachineOffer, u32)],
    /// Time within which an array's pending work should be done; a shorter one makes it faster and more expensive.
    pub horizon: Secs,
    /// Limit of the machines considered, those in `booting` included.
    pub max_machines: usize,
}

/// Machines of one offer to rent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RentalRequest {
    /// Index into the offers.
    pub offer: usize,
    /// Number of machines.
    pub count: u32,
}

/// The machines to rent now. For each job, the cheapest kind that it allows is chosen.
pub fn scale_out(scale: &ScaleOutInput<'_>) -> Vec<RentalRequest> {
    let mut fleet = VirtualFleet::new(scale);
    for (job, tasks) in unplaced(scale) {
        let wanted = tasks_to_place(job, tasks, scale);
        let mut demand = Demand::new(job, wanted, &fleet);
        fleet.use_open_machines(&mut demand);
        fleet.add_machines(&mut demand);
    }
    fleet.into_requests()
}

/// Tasks that were not placed, those of the highest priority first, and then the unmet reservations.
fn unplaced<'a>(scale: &ScaleOutInput<'a>) -> Vec<(&'a Job, u32)> {
    let waiting = scale.output.waiting.iter();
    let mut unplaced: Vec<(&Job, u32)> = waiting
        .map(|(job, tasks)| (&scale.input.jobs[*job as usize], *tasks))
        .collect();
    unplaced.sort_by_key(|(job, _)| Reverse(job.priority));
    let short = scale.output.unmet_reservations.iter();
    let reserved = scale.input.reservations.iter().zip(short);
    unplaced.extend(reserved.map(|(reservation, tasks)| (&reservation.template, *tasks)));
    unplaced
}

/// Whether a task of the job may run on a machine of this offer, and fits on an empty one.
fn fits(job: &Job, offer: &MachineOffer) -> bool {
    job.machine_types >> offer.machine_type & 1 == 1
        && job.zone.is_none_or(|zone| zone == offer.zone)
        && (job.allowed_zones.is_empty() || job.allowed_zones.contains(&offer.zone))
        && (job.spot || !offer.spot)
        && offer.total.fits(&job.need)
}

/// How many tasks of a job to provide capacity for. An array need not run all its tasks at once: as many as finish its
/// pending work within the horizon are enough.
fn tasks_to_place(job: &Job, tasks: u32, scale: &ScaleOutInput<'_>) -> u32 {
    if job.shape != Shape::Array {
        return tasks;
    }
    // Time that passes of the job's own deadline until a new machine has booted and fetched the image.
    let lead_time = |o: &MachineOffer| o.boot + job.image_gb / o.fetch_gb_per_s.max(SLOWEST_FETCH);
    let usable = scale.offers.iter().filter(|offer| fits(job, offer));
    let lead_time = usable.map(lead_time).fold(0.0, f64::max);
    let time = job
        .deadline
        .map_or(scale.horizon, |due| scale.horizon.min(due - lead_time));
    let rounds = (time / (job.estimate.max(1.0) * RUN_TIME_SLACK))
        .floor()
        .max(1.0);
    (f64::from(tasks) / rounds).ceil() as u32
}

/// Lower bound of the fetch rate in estimates, in GB per second.
const SLOWEST_FETCH: f64 = 0.01;

/// A machine that is rented but not usable yet, or is to be rented.
struct VirtualMachine {
    offer: MachineOffer,
    free: Resources,
    /// Index of its offer, if it is to be rented.
    new_offer: Option<usize>,
    tenants: Tenants,
}

impl VirtualMachine {
    /// Places up to `cap` tasks of a job; returns how many.
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

/// The tasks of a job that still need capacity.
struct Demand<'a> {
    job: &'a Job,
    left: u32,
    /// Most tasks in one zone: jobs that must be spread need machines in several zones.
    max_per_zone: u32,
    tasks_by_zone: Vec<(u16, u32)>,
    /// The zone for all tasks of a job whose tasks must share one; none while any will do.
    home_zone: Option<u16>,
}

impl<'a> Demand<'a> {
    fn new(job: &'a Job, tasks: u32, fleet: &VirtualFleet<'_>) -> Self {
        let max_per_zone = if job.spread {
            job.tasks.div_ceil(2)
        } else {
            u32::MAX
        };
        // If all tasks must share a zone, a machine in another one would be idle.
        let home_zone = if job.one_zone {
            fleet.home_zone(job, tasks)
        } else {
            None
        };
        Demand {
            job,
            left: tasks,
            max_per_zone,
            tasks_by_zone: job.tasks_by_zone.clone(),
            home_zone,
        }
    }

    /// Whether a machine of the virtual fleet may have tasks of the job.
    fn may_use(&self, machine: &VirtualMachine) -> bool {
        let is_in_zone = !self.job.one_zone || self.home_zone == Some(machine.offer.zone);
        fits(self.job, &machine.offer) && is_in_zone && machine.tenants.admits(&self.job.tenant)
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
        let cost = |offer: &MachineOffer| offer.price * offer.total.dominant_share(&need);
        let usable = (0..offers.len()).filter(|i| self.may_rent(&offers[*i]));
        usable.min_by(|a, b| cost(&offers[*a]).total_cmp(&cost(&offers[*b])))
    }
}

/// The machines that are rented but not usable yet, and those to be rented, with their free capacity.
struct VirtualFleet<'a> {
    offers: &'a [MachineOffer],
    max_machines: usize,
    /// Machines with free capacity.
    open: Vec<VirtualMachine>,
    /// Offers of the machines to be rented that are full.
    full: Vec<usize>,
}

impl<'a> VirtualFleet<'a> {
    /// A fleet of the machines that are rented but not usable yet.
    fn new(scale: &ScaleOutInput<'a>) -> Self {
        let coming = scale.booting.iter();
        let open = coming.flat_map(|(offer, count)| {
            (0..*count).map(|_| VirtualMachine {
                offer: offer.clone(),
                free: offer.total,
                new_offer: None,
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

    /// The zone for a job whose tasks must share one: that of its tasks on machines, or else the one where most of its
    /// pending tasks fit on machines of this fleet, if capacity for the rest can be rented there. None while any zone
    /// will do.
    fn home_zone(&self, job: &Job, tasks: u32) -> Option<u16> {
        if let Some((zone, _)) = job.tasks_by_zone.iter().find(|(_, n)| *n > 0) {
            return Some(*zone);
        }
        let mut coming: Vec<(u16, u32)> = Vec::new();
        let usable = self
            .open
            .iter()
            .filter(|m| fits(job, &m.offer) && m.tenants.admits(&job.tenant));
        for machine in usable {
            let there = count_in(&mut coming, machine.offer.zone);
            *there = there.saturating_add(machine.free.count(&job.need, tasks));
        }
        let is_rentable = |zone| self.offers.iter().any(|o| o.zone == zone && fits(job, o));
        coming.retain(|(zone, n)| *n > 0 && (*n >= tasks || is_rentable(*zone)));
        // If as many fit in several zones, the first wins.
        let most = coming.iter().map(|(_, n)| *n).max()?;
        coming
            .iter()
            .find(|(_, n)| *n == most)
            .map(|(zone, _)| *zone)
    }

    fn is_at_limit(&self) -> bool {
        self.full.len() + self.open.len() >= self.max_machines
    }

    /// Places tasks of a job on machines that the virtual fleet has already.
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
            // Full machines are not visited again.
            if machine.is_full() {
                self.full.extend(self.open.swap_remove(k).new_offer);
            } else {
                k += 1;
            }
        }
    }

    /// Adds machines for the tasks that still need capacity.
    fn add_machines(&mut self, demand: &mut Demand<'_>) {
        let before = self.open.len();
        while demand.left > 0 && !self.is_at_limit() {
            let Some(index) = demand.cheapest(self.offers) else {
                break;
            };
            self.add_machines_of(index, demand);
        }
        // A gang starts only as a whole.
        if demand.job.shape == Shape::Gang && demand.left > 0 {
            self.open.truncate(before);
        }
    }

    /// Adds as many machines of one offer as are needed, until the job has the most tasks allowed in that zone or the
    /// limit of machines is reached.
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
                new_offer: Some(index),
                tenants: Tenants::of([&job.tenant]),
            };
            // At least one, so that the loop ends.
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

    /// The machines to rent, by offer.
    fn into_requests(self) -> Vec<RentalRequest> {
        let mut requests: Vec<RentalRequest> = Vec::new();
        let open = self
            .open
            .into_iter()
            .filter_map(|machine| machine.new_offer);
        for offer in self.full.into_iter().chain(open) {
            match requests.iter_mut().find(|request| request.offer == offer) {
                Some(request) => request.count += 1,
                None => requests.push(RentalRequest { offer, count: 1 }),
            }
        }
        requests
    }
}
