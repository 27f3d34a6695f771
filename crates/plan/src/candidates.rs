//! An index of machines by what places are chosen by: their kind, their free room and their images.
//!
//! A job that looks for places gets machines best first, one after the other, and stops at the last that it needs; what
//! is full is never looked at. The order is that of a walk over all machines sorted by score, which
//! [`Search::Linear`](crate::Search) still makes as the reference.

use crate::{Job, Machine, Resources, Secs};
use std::cmp::Reverse;
use std::collections::btree_set::Iter;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

/// Free room is grouped to a thousandth of a unit.
const QUANTA_PER_UNIT: f64 = 1000.0;

/// What an ordinary machine costs in the order of places, against a spot one: as much as two seconds of fetching.
const ON_DEMAND_PENALTY: Secs = 2.0;
/// What a whole machine left free weighs, in seconds of fetching.
const LOOSE_FIT_PENALTY: Secs = 4.0;

/// What machines have in common whatever runs on them.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct MachineClass {
    machine_type: u16,
    pub zone: u16,
    spot: bool,
    total: Resources,
    fetch_gb_per_s: f64,
}

impl MachineClass {
    fn of(machine: &Machine) -> Self {
        MachineClass {
            machine_type: machine.machine_type,
            zone: machine.zone,
            spot: machine.spot,
            total: machine.total,
            fetch_gb_per_s: machine.fetch_gb_per_s,
        }
    }

    /// Whether a job may use such machines at all.
    pub fn accepts(&self, job: &Job) -> bool {
        job.types >> self.machine_type & 1 == 1
            && job.zone.is_none_or(|zone| zone == self.zone)
            && (job.only.is_empty() || job.only.contains(&self.zone))
            && (job.spot || !self.spot)
    }

    /// How long the job's image takes to come to such a machine.
    pub fn fetch_time(&self, job: &Job) -> Secs {
        job.image_gb / self.fetch_gb_per_s.max(0.01)
    }

    /// Lower is better: spot before ordinary, then the tightest fit.
    pub fn place_score(&self, job: &Job, free: &Resources) -> Secs {
        let used = 1.0 - free.gpus / self.total.gpus.max(crate::EPS);
        let left = 1.0 - self.total.share(&job.need) - used;
        let price_penalty = if self.spot { 0.0 } else { ON_DEMAND_PENALTY };
        price_penalty + left.max(0.0) * LOOSE_FIT_PENALTY
    }
}

/// Machines of one class with the same free room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CapacityGroup {
    class: usize,
    gpus: u64,
    cores: u64,
}

fn quantize(amount: f64) -> u64 {
    (amount * QUANTA_PER_UNIT).round().max(0.0) as u64
}

type MachinesByCapacity = BTreeMap<CapacityGroup, BTreeSet<u32>>;

/// All machines that take tasks, by class and free room.
pub(crate) struct Candidates {
    classes: Vec<MachineClass>,
    class_of: Vec<usize>,
    group_of: Vec<Option<CapacityGroup>>,
    groups: MachinesByCapacity,
    /// Of each image that a job may ask for, the machines that have it.
    with_image: HashMap<u32, MachinesByCapacity>,
}

/// Which machines a search is for.
pub(crate) struct MachineQuery<'a> {
    pub job: &'a Job,
    /// Only those of this zone.
    pub zone: Option<u16>,
}

impl Candidates {
    /// `images` are those that jobs may ask for; others are not kept.
    pub fn new(machines: &[Machine], images: impl Iterator<Item = u32>) -> Self {
        let mut classes: Vec<MachineClass> = Vec::new();
        let mut class_of = Vec::with_capacity(machines.len());
        for machine in machines {
            let class = MachineClass::of(machine);
            let at = classes.iter().position(|c| *c == class);
            class_of.push(at.unwrap_or_else(|| {
                classes.push(class);
                classes.len() - 1
            }));
        }
        Candidates {
            classes,
            class_of,
            group_of: vec![None; machines.len()],
            groups: MachinesByCapacity::new(),
            with_image: images
                .map(|image| (image, MachinesByCapacity::new()))
                .collect(),
        }
    }

    pub fn class(&self, machine: usize) -> &MachineClass {
        &self.classes[self.class_of[machine]]
    }

    /// The slowest fetch among the machine types that the job may use, in GB a second.
    pub fn slowest_fetch_gb_per_s(&self, job: &Job) -> f64 {
        let classes = self.classes.iter();
        let usable = classes.filter(|class| job.types >> class.machine_type & 1 == 1);
        usable
            .map(|class| class.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min)
            .max(0.01)
    }

    /// Puts a machine where its free room says. One without a slot takes no task and is left out.
    pub fn update(&mut self, machine: usize, free: &Resources, slots: u32, images: &[u32]) {
        let group = (slots > 0).then(|| CapacityGroup {
            class: self.class_of[machine],
            gpus: quantize(free.gpus),
            cores: quantize(free.cores),
        });
        let before = std::mem::replace(&mut self.group_of[machine], group);
        for image in images {
            if let Some(machines) = self.with_image.get_mut(image) {
                move_between(machines, machine as u32, before, group);
            }
        }
        move_between(&mut self.groups, machine as u32, before, group);
    }

    /// Machines whose free processors and GPUs are enough for a task of the job, best first, ties in their order; with
    /// each its score. `steps` counts groups that were looked at.
    pub fn best_first<'a>(&'a self, query: &MachineQuery<'a>, steps: &mut u64) -> BestFirst<'a> {
        let job = query.job;
        let with_image = self.with_image.get(&job.image);
        let least = |class| CapacityGroup {
            class,
            gpus: quantize(job.need.gpus).saturating_sub(1),
            cores: 0,
        };
        let least_cores = quantize(job.need.cores).saturating_sub(1);
        let mut found = BestFirst {
            heap: BinaryHeap::new(),
            sources: Vec::new(),
        };
        for (number, class) in self.classes.iter().enumerate() {
            if !class.accepts(job) || query.zone.is_some_and(|zone| zone != class.zone) {
                continue;
            }
            for (group, machines) in self.groups.range(least(number)..least(number + 1)) {
                *steps += 1;
                if group.class != number || group.cores < least_cores {
                    continue;
                }
                let free = Resources {
                    gpus: group.gpus as f64 / QUANTA_PER_UNIT,
                    ..Resources::default()
                };
                let score = class.place_score(job, &free);
                let cached = with_image.and_then(|all| all.get(group));
                if let Some(cached) = cached {
                    found.add(score, cached.iter(), None);
                }
                found.add(class.fetch_time(job) + score, machines.iter(), cached);
            }
        }
        found
    }
}

fn move_between(
    machines: &mut MachinesByCapacity,
    machine: u32,
    from: Option<CapacityGroup>,
    to: Option<CapacityGroup>,
) {
    if let Some(from) = from
        && let Some(set) = machines.get_mut(&from)
    {
        set.remove(&machine);
        if set.is_empty() {
            machines.remove(&from);
        }
    }
    if let Some(to) = to {
        machines.entry(to).or_default().insert(machine);
    }
}

/// Machines of one group with one score, in their order.
struct Source<'a> {
    machines: Iter<'a, u32>,
    /// These come from another source already.
    exclude: Option<&'a BTreeSet<u32>>,
}

impl Source<'_> {
    fn next(&mut self) -> Option<u32> {
        let exclude = self.exclude;
        self.machines
            .by_ref()
            .copied()
            .find(|machine| exclude.is_none_or(|set| !set.contains(machine)))
    }
}

/// Machines by score, merged from groups as they are asked for.
pub(crate) struct BestFirst<'a> {
    /// Score as ordered bits, the machine, and its source.
    heap: BinaryHeap<Reverse<(u64, u32, usize)>>,
    sources: Vec<Source<'a>>,
}

impl<'a> BestFirst<'a> {
    fn add(&mut self, score: Secs, machines: Iter<'a, u32>, exclude: Option<&'a BTreeSet<u32>>) {
        let mut source = Source { machines, exclude };
        if let Some(machine) = source.next() {
            // Scores are 0 or more, so their bits have their order.
            let key = (score.to_bits(), machine, self.sources.len());
            self.heap.push(Reverse(key));
            self.sources.push(source);
        }
    }
}

impl Iterator for BestFirst<'_> {
    type Item = (Secs, usize);

    fn next(&mut self) -> Option<(Secs, usize)> {
        let Reverse((score, machine, number)) = self.heap.pop()?;
        if let Some(next) = self.sources[number].next() {
            self.heap.push(Reverse((score, next, number)));
        }
        Some((f64::from_bits(score), machine as usize))
    }
}
