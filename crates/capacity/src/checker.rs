//! The rules of the protocol, checked on what is really on the machines and what users were really told. Changes come
//! from several processes; they are put in order by their times before they are looked at.

use crate::clock::Millis;
use crate::messages::{Change, TaskChange};
use standins::rules::Rules;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use wire::api::{Cause, JobSpec, Stage};

/// By then whatever happened has been told by all processes.
pub const SETTLED_MS: u64 = 2000;
/// An accepted job that nobody answers for so long is forgotten.
pub const FORGOTTEN_MS: u64 = 75_000;

/// Changes of a task that are remembered.
const HISTORY: usize = 8;

/// Something that a user was told.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    pub asked: Millis,
    pub at: Millis,
    pub job: String,
    pub status: u16,
    pub stage: Option<Stage>,
    pub is_submission: bool,
}

#[derive(Debug, Clone, PartialEq)]
enum Event {
    Task(TaskChange),
    Told(Told),
}

impl Event {
    fn at(&self) -> Millis {
        match self {
            Event::Task(change) => change.at,
            Event::Told(told) => told.at,
        }
    }

    /// At one time ends come before starts, and both before what is told of them.
    fn rank(&self) -> u8 {
        match self {
            Event::Task(change) => u8::from(matches!(change.what, Change::On { .. })),
            Event::Told(_) => 2,
        }
    }
}

struct Queued {
    key: (Millis, u8, u64),
    event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

struct OnMachine {
    machine: String,
    zone: usize,
}

/// The one start that a change belongs to: its task, attempt and machine.
fn start_of(change: &TaskChange) -> (String, u64, String) {
    (change.task.clone(), change.attempt, change.machine.clone())
}

/// What is on machines, in the order of its times.
pub struct Checker {
    rules: Rules,
    queue: BinaryHeap<Reverse<Queued>>,
    serial: u64,
    on: HashMap<String, OnMachine>,
    /// GPUs in use by team, and their limit.
    used: HashMap<String, f64>,
    limit: f64,
    /// Tasks on machines by job and zone, of jobs whose tasks share a zone.
    zones: HashMap<String, BTreeMap<usize, u32>>,
    /// Ends that came at the very time of their start, and so before it in order.
    ended: HashMap<(String, u64, String), Option<Cause>>,
    /// The latest changes of each task, for whoever looks for the cause of a broken rule.
    history: HashMap<String, Vec<TaskChange>>,
    most_on: usize,
    completed: u64,
}

impl Checker {
    pub fn new(team_limit: f64, cancel_ms: u64) -> Self {
        let rules = Rules {
            cancel_ms,
            ..Rules::default()
        };
        Checker {
            rules,
            queue: BinaryHeap::new(),
            serial: 0,
            on: HashMap::new(),
            used: HashMap::new(),
            limit: team_limit,
            zones: HashMap::new(),
            ended: HashMap::new(),
            history: HashMap::new(),
            most_on: 0,
            completed: 0,
        }
    }

    /// A user submits this job.
    pub fn submitted(&mut self, spec: JobSpec) {
        let job = self.rules.jobs.entry(spec.id.clone()).or_default();
        job.submitted = true;
        job.spec = Some(spec);
    }

    /// A user asks to cancel this job.
    pub fn cancel_asked(&mut self, job: &str) {
        if let Some(job) = self.rules.jobs.get_mut(job) {
            job.cancel_asked = true;
        }
    }

    pub fn task(&mut self, change: TaskChange) {
        self.push(Event::Task(change));
    }

    pub fn told(&mut self, told: Told) {
        self.push(Event::Told(told));
    }

    /// Users have asked about an accepted job in vain for too long.
    pub fn unanswered(&mut self, job: &str, for_ms: u64, now: Millis) {
        if for_ms > FORGOTTEN_MS {
            let what = format!("{now}: {job} was not answered for {for_ms} ms");
            self.rules.breaks("forgotten", what);
        }
    }

    fn push(&mut self, event: Event) {
        self.serial += 1;
        let key = (event.at(), event.rank(), self.serial);
        self.queue.push(Reverse(Queued { key, event }));
    }

    /// Looks at all that is old enough to be in order.
    pub fn check(&mut self, now: Millis) {
        let until = now.saturating_sub(SETTLED_MS);
        while let Some(Reverse(first)) = self.queue.peek()
            && first.key.0 <= until
        {
            let Some(Reverse(queued)) = self.queue.pop() else {
                break;
            };
            match queued.event {
                Event::Task(change) => self.changed(&change),
                Event::Told(told) => self.rules.told(
                    told.at,
                    told.asked,
                    &told.job,
                    told.status,
                    told.stage,
                    told.is_submission,
                ),
            }
        }
    }

    /// What is on machines of cancelled jobs is on them for too long.
    pub fn check_cancelled(&mut self, now: Millis) {
        let at = now.saturating_sub(SETTLED_MS);
        for task in self.on.keys() {
            self.rules.is_on(at, task);
        }
    }

    fn changed(&mut self, change: &TaskChange) {
        let history = self.history.entry(change.task.clone()).or_default();
        history.push(change.clone());
        if history.len() > HISTORY {
            history.remove(0);
        }
        match change.what {
            Change::On { .. } => self.came(change),
            Change::Off { cause } => self.went(change, cause),
        }
    }

    fn came(&mut self, change: &TaskChange) {
        let now = change.at;
        if let Some(cause) = self.ended.remove(&start_of(change)) {
            self.completed(change, cause);
            return;
        }
        let here = OnMachine {
            machine: change.machine.clone(),
            zone: change.zone,
        };
        if let Some(other) = self.on.insert(change.task.clone(), here) {
            let history = self
                .history
                .get(&change.task)
                .map_or(&[][..], Vec::as_slice);
            let what = format!(
                "{now}: {} on {} and {}; before: {history:?}",
                change.task, other.machine, change.machine
            );
            self.rules.breaks("ran_twice", what);
        }
        self.most_on = self.most_on.max(self.on.len());
        self.rules.is_on(now, &change.task);
        let Some(spec) = self.spec(&change.task) else {
            let what = format!("{now}: {} is of no job", change.task);
            return self.rules.breaks("unknown_job", what);
        };
        let used = self.used.entry(spec.team.clone()).or_default();
        *used += spec.gpus;
        if *used > self.limit + 1e-6 {
            let what = format!("{now}: {} uses {used} of {}", spec.team, self.limit);
            self.rules.breaks("quota", what);
        }
        if spec.one_zone {
            let zones = self.zones.entry(spec.id.clone()).or_default();
            *zones.entry(change.zone).or_default() += 1;
            if zones.len() > 1 {
                let what = format!("{now}: {} in zones {zones:?}", change.task);
                self.rules.breaks("wrong_place", what);
            }
        }
    }

    fn went(&mut self, change: &TaskChange, cause: Option<Cause>) {
        if self
            .on
            .get(&change.task)
            .is_none_or(|on| on.machine != change.machine)
        {
            self.ended.insert(start_of(change), cause);
            return;
        }
        let Some(on) = self.on.remove(&change.task) else {
            return;
        };
        if let Some(spec) = self.spec(&change.task) {
            if let Some(used) = self.used.get_mut(&spec.team) {
                *used -= spec.gpus;
            }
            if let Some(zones) = self.zones.get_mut(&spec.id)
                && let Some(count) = zones.get_mut(&on.zone)
            {
                *count -= 1;
                if *count == 0 {
                    zones.remove(&on.zone);
                }
            }
        }
        self.completed(change, cause);
    }

    fn completed(&mut self, change: &TaskChange, cause: Option<Cause>) {
        if cause == Some(Cause::Done) {
            self.completed += 1;
            self.rules.completed(&change.task);
        }
    }

    fn spec(&self, task: &str) -> Option<JobSpec> {
        let (job, _) = wire::ids::parse_task(task)?;
        self.rules.jobs.get(job)?.spec.clone()
    }

    /// Rules that were broken, each with the first case.
    pub fn broken(&self) -> &BTreeMap<&'static str, String> {
        &self.rules.broken
    }

    /// Tasks that are on machines, as far as the order is known.
    pub fn on_machines(&self) -> usize {
        self.on.len()
    }

    pub fn most_on_machines(&self) -> usize {
        self.most_on
    }

    /// Tasks that have completed.
    pub fn tasks_completed(&self) -> u64 {
        self.completed
    }

    /// For how long a task was on a machine after its user was told of the cancel, at most.
    pub fn longest_cancelled_ms(&self) -> u64 {
        self.rules.longest_cancelled_ms
    }
}
