//! Checks that no job waits although there is capacity: that it starts no task for long while suitable machines have
//! room and its team is below its limit.
//!
//! Checked once a second. Capacity counts once it has been free for `SETTLED_CHECKS` checks: controllers learn only
//! from the next report what a task has freed, and may give it to any job.

use crate::rules::{Job, Rules};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::api::{JobSpec, Kind};

/// A job that waits for this long although there is capacity counts as left waiting.
pub const BESIDE_ROOM_MS: u64 = 90_000;
const SETTLED_CHECKS: usize = 5;

/// The resources of a machine, in total or free.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Free {
    pub cores: f64,
    pub gpus: f64,
    pub mem_gb: f64,
}

impl Free {
    fn component_min(self, other: Free) -> Free {
        Free {
            cores: self.cores.min(other.cores),
            gpus: self.gpus.min(other.gpus),
            mem_gb: self.mem_gb.min(other.mem_gb),
        }
    }

    /// The number of the job's tasks that fit.
    fn task_capacity(&self, spec: &JobSpec) -> u64 {
        let times = |has: f64, needs: f64| {
            if needs > 0.0 {
                ((has + 1e-6) / needs) as u64
            } else {
                u64::MAX
            }
        };
        let (cores, gpus) = (times(self.cores, spec.cores), times(self.gpus, spec.gpus));
        cores
            .min(gpus)
            .min(times(self.mem_gb, spec.mem_gb))
            .min(u64::from(spec.tasks))
    }
}

/// A task name and its attempt.
pub type Task = (String, u64);

/// A running machine, its total resources, and the tasks that run on it or are starting on it.
#[derive(Debug, Clone)]
pub struct Up {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub whole: Free,
    pub tasks: Vec<Task>,
}

impl Up {
    fn fits(&self, spec: &JobSpec) -> bool {
        spec.types
            .as_ref()
            .is_none_or(|t| t.contains(&self.machine_type))
            && spec.zone.as_ref().is_none_or(|z| *z == self.zone)
            && (spec.spot || !self.spot)
    }
}

/// A waiting job: since when there has been capacity for it, and its placed tasks at the last check.
#[derive(Debug, Default)]
struct WaitingJob {
    since: Option<u64>,
    placed: BTreeSet<Task>,
}

#[derive(Debug, Default)]
pub struct Room {
    /// The free resources of each machine at the last checks.
    recent_capacity: BTreeMap<String, VecDeque<Free>>,
    waiting: BTreeMap<String, WaitingJob>,
    /// The longest time that each job waited although there was capacity.
    longest_wait_ms: BTreeMap<String, u64>,
}

/// A task with the machine that it is placed on.
type PlacedTask<'a> = (&'a Up, &'a Task);

/// One check's view of the fleet: capacity that has been free for a while, and what is in use.
struct CapacitySnapshot<'a> {
    settled_capacity: Vec<(&'a Up, Free)>,
    /// The placed tasks of each job.
    placed: BTreeMap<&'a str, Vec<PlacedTask<'a>>>,
    gpus: BTreeMap<&'a str, f64>,
}

impl Room {
    /// Runs the check. Called once a second after the last fault.
    pub fn look(&mut self, now: u64, up: &[Up], rules: &Rules) {
        let snapshot = self.take_snapshot(up, rules);
        for (id, job) in &rules.jobs {
            let Some(spec) = job.spec.as_ref().filter(|_| is_active(job)) else {
                self.waiting.remove(id);
                continue;
            };
            let placed = snapshot
                .placed
                .get(id.as_str())
                .map_or(&[][..], Vec::as_slice);
            let names: BTreeSet<Task> = placed.iter().map(|(_, t)| (*t).clone()).collect();
            let wait = self.waiting.entry(id.clone()).or_default();
            let starts = names.iter().any(|t| !wait.placed.contains(t));
            wait.placed = names;
            if starts || !snapshot.has_room(spec, job, placed, rules) {
                wait.since = None;
                continue;
            }
            let waited = now - *wait.since.get_or_insert(now);
            let longest = self.longest_wait_ms.entry(id.clone()).or_default();
            *longest = waited.max(*longest);
        }
    }

    /// Jobs that were left waiting, and the longest wait of any job although there was capacity.
    pub fn left_waiting(&self) -> (Vec<String>, u64) {
        let left = self
            .longest_wait_ms
            .iter()
            .filter(|(_, ms)| **ms >= BESIDE_ROOM_MS);
        (
            left.map(|(id, _)| id.clone()).collect(),
            self.longest_wait_ms.values().copied().max().unwrap_or(0),
        )
    }

    fn take_snapshot<'a>(&mut self, up: &'a [Up], rules: &'a Rules) -> CapacitySnapshot<'a> {
        self.recent_capacity
            .retain(|name, _| up.iter().any(|m| m.name == *name));
        let (mut settled_capacity, mut placed, mut gpus) =
            (Vec::new(), BTreeMap::new(), BTreeMap::new());
        for m in up {
            let mut left = m.whole;
            for task in &m.tasks {
                let Some((id, _)) = wire::ids::parse_task(&task.0) else {
                    continue;
                };
                let Some(spec) = rules.jobs.get(id).and_then(|j| j.spec.as_ref()) else {
                    continue;
                };
                left.cores -= spec.cores;
                left.gpus -= spec.gpus;
                left.mem_gb -= spec.mem_gb;
                placed.entry(id).or_insert_with(Vec::new).push((m, task));
                *gpus.entry(spec.team.as_str()).or_default() += spec.gpus;
            }
            let seen = self.recent_capacity.entry(m.name.clone()).or_default();
            seen.push_back(left);
            if seen.len() > SETTLED_CHECKS {
                seen.pop_front();
            }
            if seen.len() == SETTLED_CHECKS {
                settled_capacity.push((m, seen.iter().copied().fold(left, Free::component_min)));
            }
        }
        CapacitySnapshot {
            settled_capacity,
            placed,
            gpus,
        }
    }
}

/// Whether the job is accepted and unfinished, and nobody has asked to cancel it.
fn is_active(job: &Job) -> bool {
    job.accepted.is_some()
        && job.told_done.is_none()
        && job.told_cancelled.is_none()
        && !job.cancel_asked
}

impl CapacitySnapshot<'_> {
    /// Whether what the job would start next fits now.
    fn has_room(
        &self,
        spec: &JobSpec,
        job: &Job,
        placed: &[PlacedTask<'_>],
        rules: &Rules,
    ) -> bool {
        let is_there = |n: u32| {
            let name = wire::ids::task_name(&spec.id, n);
            placed.iter().any(|(_, t)| t.0 == name)
        };
        let waits = match spec.kind {
            Kind::Gang => placed.is_empty() && job.done.is_empty(),
            _ => (0..spec.tasks).any(|n| !job.done.contains(&n) && !is_there(n)),
        };
        let tasks = if spec.kind == Kind::Gang {
            u64::from(spec.tasks)
        } else {
            1
        };
        let limit = rules
            .gpu_limits
            .get(&spec.team)
            .copied()
            .unwrap_or(f64::INFINITY);
        let used = self.gpus.get(spec.team.as_str()).copied().unwrap_or(0.0);
        waits
            && used + spec.gpus * tasks as f64 <= limit + 1e-6
            && self.free_places(spec, placed) >= tasks
    }

    /// The number of further tasks of the job that fit at the same time, within its constraints on zones.
    fn free_places(&self, spec: &JobSpec, placed: &[PlacedTask<'_>]) -> u64 {
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for (m, free) in self.settled_capacity.iter().filter(|(m, _)| m.fits(spec)) {
            *zones.entry(m.zone.as_str()).or_default() += free.task_capacity(spec);
        }
        let in_zone = |zone: &str| placed.iter().filter(|(m, _)| m.zone == zone).count() as u64;
        if spec.one_zone {
            let alone = |zone: &str| placed.iter().all(|(m, _)| m.zone == zone);
            return zones
                .into_iter()
                .filter(|(z, _)| alone(z))
                .map(|(_, n)| n)
                .max()
                .unwrap_or(0);
        }
        let half = u64::from(spec.tasks.div_ceil(2));
        let most = |zone: &str| {
            if spec.spread {
                half.saturating_sub(in_zone(zone))
            } else {
                u64::MAX
            }
        };
        zones.into_iter().map(|(z, n)| n.min(most(z))).sum()
    }
}
