//! One hollow worker: the stand-ins' worker, with images, room for its tasks, and gangs that wait for each other.

use crate::clock::Millis;
use crate::cluster::{MACHINE_TYPE, zone_name};
use crate::messages::Change;
use crate::size::SLOTS;
use crate::workload::Workload;
use standins::worker::Worker;
use std::collections::VecDeque;
use wire::api::{Cause, Heartbeat, Kind, Orders, TaskStage};

/// Images that a machine keeps, the most recently used.
const IMAGES: usize = 16;
const FETCH_GB_PER_S: f64 = 1.0;
/// Changes are reported no more often than this.
const SOONEST_MS: u64 = 500;
/// The end of a gang's task before the gang has started.
const NEVER: Millis = u64::MAX / 4;

/// What all workers of a run know.
pub struct Known {
    pub workload: Workload,
    pub lease_ms: u64,
}

/// A task that is on the machine, as the tool was told.
struct OnMachine {
    task: String,
    attempt: u64,
}

pub struct Host {
    pub worker: Worker,
    pub zone: usize,
    pub is_alive: bool,
    pub hung_until: Millis,
    /// When the worker is looked at next.
    pub due: Option<Millis>,
    images: VecDeque<String>,
    told: Vec<OnMachine>,
    /// When tasks of broken gangs exit.
    breaks: Vec<(String, u64, Millis)>,
}

fn job_of(task: &str) -> &str {
    task.split_once('/').map_or(task, |(job, _)| job)
}

/// Fetch and run time of a task, in milliseconds, as its machine finds them; the image is on it afterwards.
fn times(images: &mut VecDeque<String>, known: &Known, task: &str) -> Option<(u64, u64)> {
    let (job, number) = wire::ids::parse_task(task)?;
    let spec = known
        .workload
        .spec(job)
        .filter(|spec| number < spec.tasks)?;
    let run_ms = known.workload.run_ms(job)?;
    let cached = images.iter().position(|image| *image == spec.image);
    let fetch_ms = match cached {
        Some(at) => {
            images.remove(at);
            0
        }
        None => (spec.image_gb / FETCH_GB_PER_S * 1000.0) as u64,
    };
    images.push_front(spec.image);
    images.truncate(IMAGES);
    let waits = spec.kind == Kind::Gang;
    Some((fetch_ms, if waits { NEVER } else { run_ms }))
}

impl Host {
    pub fn new(machine: &str, address: &str, zone: usize, node: usize, now: Millis) -> Self {
        let mut worker = Worker::new(machine, MACHINE_TYPE, &zone_name(zone), false, node, now);
        worker.addr = address.to_owned();
        Host {
            worker,
            zone,
            is_alive: true,
            hung_until: 0,
            due: None,
            images: VecDeque::new(),
            told: Vec::new(),
            breaks: Vec::new(),
        }
    }

    pub fn report(&mut self, now: Millis) -> Heartbeat {
        self.worker.report(now)
    }

    /// A report that is to be sent now, the next regular one at `next`.
    pub fn begin_report(&mut self, now: Millis, next: Millis) -> Heartbeat {
        let report = self.worker.report(now);
        self.worker.changed = false;
        self.worker.told_at = now;
        self.worker.next_report = next;
        self.worker.out = Some((report.seq, now));
        report
    }

    pub fn answered(
        &mut self,
        number: u64,
        sent: Millis,
        orders: &Orders,
        known: &Known,
        now: Millis,
    ) {
        let images = &mut self.images;
        let new = |task: &str| times(images, known, task);
        self.worker.answered(number, sent, orders, new, now);
    }

    pub fn commanded(&mut self, orders: &Orders, known: &Known, now: Millis) -> u16 {
        let images = &mut self.images;
        let new = |task: &str| times(images, known, task);
        self.worker.commands(orders, new, now)
    }

    /// Whether the lease had run out.
    pub fn expire(&mut self, now: Millis, known: &Known) -> bool {
        let session = self.worker.session;
        self.worker.expire(now, known.lease_ms);
        self.worker.session > session
    }

    pub fn has_attempt(&self, job: &str, attempt: u64) -> bool {
        let mut tasks = self.worker.tasks.iter();
        tasks.any(|t| t.attempt == attempt && job_of(&t.name) == job)
    }

    /// All tasks of an attempt have their images: they have started together.
    pub fn start_gang(&mut self, job: &str, attempt: u64, at: Millis, known: &Known) {
        let run_ms = known.workload.run_ms(job).unwrap_or(0);
        for task in &mut self.worker.tasks {
            let is_member = task.attempt == attempt && job_of(&task.name) == job;
            if is_member && task.stage == TaskStage::Waiting {
                task.stage = TaskStage::Running;
                task.ends_at = at + run_ms;
                self.worker.changed = true;
            }
        }
    }

    /// A task of a gang that ran is gone: the others exit at that time.
    pub fn break_gang(&mut self, job: &str, attempt: u64, at: Millis) {
        self.breaks.push((job.to_owned(), attempt, at));
    }

    /// Moves tasks on by the clock. How many starts were refused for want of room.
    pub fn run_tasks(&mut self, now: Millis, gang_wait_ms: u64) -> u64 {
        let refused = self.refuse_beyond_room();
        for task in &mut self.worker.tasks {
            let before = task.stage;
            match task.stage {
                TaskStage::Fetching if task.fetched_at <= now => {
                    let is_gang = task.ends_at >= NEVER;
                    task.stage = if is_gang {
                        TaskStage::Waiting
                    } else {
                        TaskStage::Running
                    };
                }
                TaskStage::Waiting if task.fetched_at + gang_wait_ms <= now => {
                    task.stage = TaskStage::Exited;
                    task.cause = Some(Cause::Incomplete);
                }
                TaskStage::Running if task.ends_at <= now => {
                    task.stage = TaskStage::Exited;
                    task.cause = Some(Cause::Done);
                }
                _ => {}
            }
            self.worker.changed |= task.stage != before;
        }
        self.exit_broken(now);
        refused
    }

    fn exit_broken(&mut self, now: Millis) {
        for (job, attempt, _) in self.breaks.iter().filter(|(_, _, at)| *at <= now) {
            for task in &mut self.worker.tasks {
                let is_member = task.attempt == *attempt && job_of(&task.name) == job;
                if is_member && task.stage == TaskStage::Running {
                    task.stage = TaskStage::Exited;
                    task.cause = Some(Cause::Peers);
                    self.worker.changed = true;
                }
            }
        }
        self.breaks.retain(|(_, _, at)| *at > now);
    }

    /// Tasks that still fetch count; those that came last are refused.
    fn refuse_beyond_room(&mut self) -> u64 {
        let mut used = 0;
        let mut refused = 0;
        for task in &mut self.worker.tasks {
            if task.stage == TaskStage::Exited {
                continue;
            }
            used += 1;
            if used > SLOTS && task.stage == TaskStage::Fetching {
                task.stage = TaskStage::Exited;
                task.cause = Some(Cause::NoRoom);
                self.worker.changed = true;
                refused += 1;
            }
        }
        refused
    }

    pub fn is_report_due(&self, now: Millis) -> bool {
        let may = self.worker.out.is_none();
        let is_regular = now >= self.worker.next_report;
        may && (is_regular || self.worker.changed && now >= self.worker.told_at + SOONEST_MS)
    }

    /// When something is due by itself.
    pub fn next_due(&self, now: Millis, known: &Known) -> Option<Millis> {
        if !self.is_alive {
            return None;
        }
        let mut due = self.worker.leased + known.lease_ms + 1;
        if self.worker.out.is_none() {
            due = due.min(self.worker.next_report);
            if self.worker.changed {
                due = due.min(self.worker.told_at + SOONEST_MS);
            }
        }
        for task in &self.worker.tasks {
            due = match task.stage {
                TaskStage::Fetching => due.min(task.fetched_at),
                TaskStage::Waiting => due.min(task.fetched_at + crate::cluster::gang_wait_ms()),
                TaskStage::Running => due.min(task.ends_at),
                _ => due,
            };
        }
        let breaks = self.breaks.iter().map(|(_, _, at)| *at);
        Some(breaks.fold(due, Millis::min).max(self.hung_until).max(now))
    }

    /// What has changed on the machine since the last call.
    pub fn changes(&mut self) -> Vec<(String, u64, Change)> {
        let tasks = &self.worker.tasks;
        let find = |name: &str, attempt: u64| {
            tasks
                .iter()
                .find(|t| t.name == name && t.attempt == attempt)
        };
        let mut changes = Vec::new();
        self.told.retain(|on| {
            let task = find(&on.task, on.attempt);
            let stays = task.is_some_and(standins::worker::Task::is_on);
            if !stays {
                let cause = task.and_then(|t| t.cause);
                changes.push((on.task.clone(), on.attempt, Change::Off { cause }));
            }
            stays
        });
        for task in tasks.iter().filter(|t| t.is_on()) {
            let is_told = |on: &OnMachine| on.task == task.name && on.attempt == task.attempt;
            if !self.told.iter().any(is_told) {
                let fetch_ms = task.fetched_at.saturating_sub(task.since);
                changes.push((task.name.clone(), task.attempt, Change::On { fetch_ms }));
                self.told.push(OnMachine {
                    task: task.name.clone(),
                    attempt: task.attempt,
                });
            }
        }
        changes
    }
}
