//! Evaluates a run from what users, workers and the state service observed: no job is forgotten, every class and team
//! is served, the largest jobs too, and how long jobs went unanswered and the fleet was without a leader.

pub mod answers;
pub mod room;
mod served;
pub mod starts;

use crate::rules::Rules;
use std::collections::BTreeMap;
use wire::api::{JobSpec, Kind, Stage};

/// A job counts as forgotten if its polls go unanswered for this long after the last fault.
pub const MAX_UNANSWERED_MS: u64 = 75_000;
/// The largest jobs of each class must begin within this time of the first attempt to submit them.
pub const LARGEST_BEGIN_MS: u64 = 240_000;

/// What was observed of a job.
#[derive(Debug)]
struct JobHistory {
    class: String,
    team: String,
    tasks: u32,
    service: bool,
    submitted_at: Option<u64>,
    accepted_at: Option<u64>,
    cancel_asked: bool,
    ended_at: Option<u64>,
    /// When the first task ran or, for a gang, all tasks.
    began_at: Option<u64>,
    /// When a poll was last answered.
    last_poll_answered_at: Option<u64>,
    longest_unanswered_ms: u64,
    longest_unanswered_after_faults_ms: u64,
}

/// Measures the longest absence of something that was present before.
#[derive(Debug, Default)]
struct Absence {
    was_present: bool,
    absent_ms: u64,
    longest_ms: u64,
}

impl Absence {
    /// Adds a time step. Absence counts only while presence was possible.
    fn update(&mut self, ms: u64, present: bool, could_be: bool) {
        if present {
            (self.was_present, self.absent_ms) = (true, 0);
        } else if could_be && self.was_present {
            self.absent_ms += ms;
            self.longest_ms = self.longest_ms.max(self.absent_ms);
        }
    }
}

#[derive(Debug, Default)]
pub struct Checks {
    jobs: BTreeMap<String, JobHistory>,
    /// When the last fault is over.
    faults_over_at: u64,
    checked_at: u64,
    /// The absence of a leader, and of any node that the load balancer considers healthy.
    leader_absence: Absence,
    node_absence: Absence,
    pub room: room::Room,
    /// The number of running tasks when the faults began, and its minimum until they were over.
    running_before_faults: Option<usize>,
    fewest_running: Option<usize>,
    /// The number of connections for which the load balancer found no node.
    pub no_node: u64,
    /// The number of submissions that users stopped retrying.
    pub given_up: u64,
}

/// The evaluation of a run.
#[derive(Debug, Default, Clone)]
pub struct Verdict {
    pub forgotten_75: Vec<String>,
    pub served_below_half: Vec<String>,
    pub largest_late: Vec<String>,
    /// Jobs that waited too long although there was capacity for them, and the longest such wait of any job.
    pub beside_room: Vec<String>,
    pub longest_beside_room_s: f64,
    /// The longest time that a job went unanswered, after the last fault and over the whole run.
    pub longest_unanswered_s: f64,
    pub unanswered_in_all_s: f64,
    pub longest_without_leader_s: f64,
    /// The longest time without a node that the load balancer considered healthy, although one could take requests.
    pub longest_without_node_s: f64,
    /// The minimum number of running tasks during the faults, as a share of the number before.
    pub fewest_running: f64,
    /// The share of submissions that were accepted within a second of the first attempt.
    pub accepted_in_1s: f64,
    pub no_node: u64,
    pub given_up: u64,
    pub jobs: usize,
    pub done: usize,
}

impl Verdict {
    /// All failures: broken rules, jobs that were forgotten, began late or waited although there was capacity, and
    /// groups of which less than half was served.
    pub fn failures(&self, rules: &Rules) -> Vec<String> {
        let broken = rules
            .broken
            .iter()
            .map(|(rule, what)| format!("{rule}: {what}"));
        let forgotten = self.forgotten_75.iter().map(|j| format!("forgotten: {j}"));
        let late = self.largest_late.iter().map(|j| format!("late: {j}"));
        let beside = self.beside_room.iter().map(|j| format!("beside_room: {j}"));
        broken
            .chain(forgotten)
            .chain(self.served_below_half.iter().cloned())
            .chain(late)
            .chain(beside)
            .collect()
    }
}

impl Checks {
    pub fn new(faults_over_at: u64, specs: impl Iterator<Item = JobSpec>) -> Self {
        let seen = |s: JobSpec| {
            let seen = JobHistory {
                class: s.class,
                team: s.team,
                tasks: s.tasks,
                service: s.kind == Kind::Service,
                submitted_at: None,
                accepted_at: None,
                cancel_asked: false,
                ended_at: None,
                began_at: None,
                last_poll_answered_at: None,
                longest_unanswered_ms: 0,
                longest_unanswered_after_faults_ms: 0,
            };
            (s.id, seen)
        };
        Checks {
            jobs: specs.map(seen).collect(),
            faults_over_at,
            ..Checks::default()
        }
    }

    /// Records that a user submits the job, or asks to cancel it. Returns when it was first submitted.
    pub fn record_request(&mut self, now: u64, job: &str, cancel: bool) -> u64 {
        let Some(seen) = self.jobs.get_mut(job) else {
            return now;
        };
        seen.cancel_asked |= cancel;
        *seen.submitted_at.get_or_insert(now)
    }

    /// Records a response to a user.
    pub fn record_response(
        &mut self,
        now: u64,
        job: &str,
        poll: bool,
        status: u16,
        stage: Option<Stage>,
    ) {
        let faults_over_at = self.faults_over_at;
        let Some(seen) = self
            .jobs
            .get_mut(job)
            .filter(|_| matches!(status, 200 | 201))
        else {
            return;
        };
        if poll {
            seen.update_unanswered(now, faults_over_at);
            seen.last_poll_answered_at = Some(now);
        }
        seen.accepted_at.get_or_insert(now);
        if stage.is_some_and(|s| s.is_final()) {
            seen.ended_at.get_or_insert(now);
        }
    }

    /// Records that a task of an array or service runs, or all tasks of a gang.
    pub fn record_job_running(&mut self, now: u64, job: &str) {
        if let Some(seen) = self.jobs.get_mut(job) {
            seen.began_at.get_or_insert(now);
        }
    }

    /// Records whether there is a leader and a healthy node, and whether any node could be one.
    pub fn record_nodes(&mut self, now: u64, leader: bool, healthy: bool, could_be: bool) {
        let since = now - self.checked_at;
        self.checked_at = now;
        self.leader_absence.update(since, leader, could_be);
        self.node_absence.update(since, healthy, could_be);
    }

    /// Records the number of running tasks, from when the faults begin.
    pub fn record_running_tasks(&mut self, now: u64, tasks: usize) {
        self.running_before_faults.get_or_insert(tasks);
        if now <= self.faults_over_at {
            self.fewest_running = Some(self.fewest_running.map_or(tasks, |f| f.min(tasks)));
        }
    }

    /// Whether the faults are over and all submitted work has ended.
    pub fn all_work_ended(&self, now: u64) -> bool {
        let over = |s: &JobHistory| {
            s.ended_at.is_some() || (s.submitted_at.is_some() && s.accepted_at.is_none())
        };
        now > self.faults_over_at && self.jobs.values().all(over)
    }

    pub fn verdict(&mut self, now: u64) -> Verdict {
        let faults_over_at = self.faults_over_at;
        self.jobs
            .values_mut()
            .for_each(|s| s.update_unanswered(now, faults_over_at));
        let longest = |f: fn(&JobHistory) -> u64| {
            self.jobs.values().map(f).max().unwrap_or(0) as f64 / 1000.0
        };
        let forgotten = self
            .jobs
            .iter()
            .filter(|(_, s)| s.longest_unanswered_after_faults_ms > MAX_UNANSWERED_MS);
        let (beside_room, beside_ms) = self.room.left_waiting();
        Verdict {
            beside_room,
            longest_beside_room_s: beside_ms as f64 / 1000.0,
            forgotten_75: forgotten.map(|(id, _)| id.clone()).collect(),
            served_below_half: served::below_half(&self.jobs),
            largest_late: served::largest_late(&self.jobs, now),
            longest_unanswered_s: longest(|s| s.longest_unanswered_after_faults_ms),
            unanswered_in_all_s: longest(|s| s.longest_unanswered_ms),
            longest_without_leader_s: self.leader_absence.longest_ms as f64 / 1000.0,
            longest_without_node_s: self.node_absence.longest_ms as f64 / 1000.0,
            fewest_running: self.fewest_running.unwrap_or(0) as f64
                / self.running_before_faults.unwrap_or(0).max(1) as f64,
            accepted_in_1s: self.accepted_within(1000),
            no_node: self.no_node,
            given_up: self.given_up,
            jobs: self.jobs.len(),
            done: self.jobs.values().filter(|s| s.ended_at.is_some()).count(),
        }
    }
}

impl Checks {
    fn accepted_within(&self, ms: u64) -> f64 {
        let asked = self
            .jobs
            .values()
            .filter_map(|s| Some((s.submitted_at?, s.accepted_at)));
        let soon = asked
            .clone()
            .filter(|(asked, at)| at.is_some_and(|at| at <= asked + ms))
            .count();
        soon as f64 / asked.count().max(1) as f64
    }
}

impl JobHistory {
    /// Accounts for the time that an accepted, unfinished job has been without an answered poll.
    fn update_unanswered(&mut self, now: u64, faults_over_at: u64) {
        let Some(since) = self.accepted_at.filter(|_| self.ended_at.is_none()) else {
            return;
        };
        let since = since.max(self.last_poll_answered_at.unwrap_or(0));
        self.longest_unanswered_ms = self.longest_unanswered_ms.max(now.saturating_sub(since));
        self.longest_unanswered_after_faults_ms = self
            .longest_unanswered_after_faults_ms
            .max(now.saturating_sub(since.max(faults_over_at)));
    }
}
