//! An index of machines by the properties that placement depends on: class, free capacity and images.
//!
//! A search yields machines lazily, best first, so that it can stop at the last that it needs; full machines are never
//! visited. The order equals that of a scan of all machines sorted by score, which
//! [`Search::Linear`](crate::Search) makes as the reference.

use crate::{Job, Machine, Resources, Secs};
use std::cmp::Reverse;
use std::collections::btree_set::Iter;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

/// Free capacity is grouped with a resolution of a thousandth of a core or GPU.
const QUANTA_PER_UNIT: f64 = 1000.0;

/// Penalty of an on-demand machine against a spot machine, equal to as many seconds of fetching.
const ON_DEMAND_PENALTY: Secs = 2.0;
/// Penalty of leaving all resources of a machine unused, equal to as many seconds of fetching.
const LOOSE_FIT_PENALTY: Secs = 4.0;

/// The properties of machines that do not depend on what runs on them.
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

    /// Whether a job may use machines of this class.
    pub fn accepts(&self, job: &Job) -> bool {
        job.machine_types >> self.machine_type & 1 == 1
            && job.zone.is_none_or(|zone| zone == self.zone)
            && (job.allowed_zones.is_empty() || job.allowed_zones.contains(&self.zone))
            && (job.spot || !self.spot)
    }

    /// Time that a machine of this class takes to fetch the job's image.
    pub fn fetch_time(&self, job: &Job) -> Secs {
        job.image_gb / self.fetch_gb_per_s.max(0.01)
    }

    /// Lower is better: prefers spot to on-demand machines, and a tight fit.
    pub fn place_score(&self, job: &Job, free: &Resources) -> Secs {
        let used = 1.0 - free.gpus / self.total.gpus.max(crate::EPS);
        let left = 1.0 - self.total.dominant_share(&job.need) - used;
        let price_penalty = if self.spot { 0.0 } else { ON_DEMAND_PENALTY };
        price_penalty + left.max(0.0) * LOOSE_FIT_PENALTY
    }
}

/// Key of the machines of one class with the same free capacity.
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

/// All machines that accept tasks, by class and free capacity.
pub(crate) struct Candidates {
    classes: Vec<MachineClass>,
    class_of: Vec<usize>,
    group_of: Vec<Option<CapacityGroup>>,
    groups: MachinesByCapacity,
    /// For each image that a job may need, the machines that have it.
    with_image: HashMap<u32, MachinesByCapacity>,
}

/// What a search for machines looks for.
pub(crate) struct MachineQuery<'a> {
    pub job: &'a Job,
    /// Only machines of this zone, if given.
    pub zone: Option<u16>,
}

impl Candidates {
    /// `images` are those that jobs may need; others are not indexed.
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

    /// The slowest fetch rate among the machine types that the job may use, in GB per second.
    pub fn slowest_fetch_gb_per_s(&self, job: &Job) -> f64 {
        let classes = self.classes.iter();
        let usable = classes.filter(|class| job.machine_types >> class.machine_type & 1 == 1);
        usable
            .map(|class| class.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min)
            .max(0.01)
    }

    /// Indexes a machine by its free capacity. A machine without free slots accepts no task and is left out.
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

    /// Machines with enough free cores and GPUs for a task of the job, with their scores; best first, ties by index.
    /// `steps` counts the groups that were examined.
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

/// Machines of one group with the same score, by index.
struct Source<'a> {
    machines: Iter<'a, u32>,
    /// Machines to skip: those that have the image, which another source yields without the fetch time.
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

/// Iterator over machines by score: a lazy merge of the sorted groups.
pub(crate) struct BestFirst<'a> {
    /// The bits of the score, the machine, and the index of its source.
    heap: BinaryHeap<Reverse<(u64, u32, usize)>>,
    sources: Vec<Source<'a>>,
}

impl<'a> BestFirst<'a> {
    fn add(&mut self, score: Secs, machines: Iter<'a, u32>, exclude: Option<&'a BTreeSet<u32>>) {
        let mut source = Source { machines, exclude };
        if let Some(machine) = source.next() {
            // Scores are never negative, so their bits order like the scores.
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
