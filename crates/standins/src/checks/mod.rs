//! What operators judge a day by, from what users, workers and the state service saw: nobody forgotten, every class and
//! team served, the largest jobs too, and how long jobs went unanswered and the fleet without a leader.

pub mod answers;
pub mod room;
mod served;
pub mod starts;

use crate::rules::Rules;
use std::collections::BTreeMap;
use wire::api::{JobSpec, Kind, Stage};

/// Unanswered for so long once all troubles are over, a job is forgotten.
pub const FORGOTTEN_MS: u64 = 75_000;
/// The largest of each class begin within so long of the first attempt to submit them.
pub const BEGIN_MS: u64 = 240_000;

/// What was seen of a job.
#[derive(Debug)]
struct Seen {
    class: String,
    team: String,
    tasks: u32,
    service: bool,
    asked: Option<u64>,
    accepted: Option<u64>,
    cancel_asked: bool,
    ended: Option<u64>,
    /// A first task ran, or the whole gang.
    began: Option<u64>,
    /// When a poll was last answered.
    heard: Option<u64>,
    unanswered: u64,
    unanswered_quiet: u64,
}

/// How long something is missing that was there before.
#[derive(Debug, Default)]
struct Lack {
    had: bool,
    present: u64,
    longest: u64,
}

impl Lack {
    /// Time counts only while it could be there.
    fn look(&mut self, ms: u64, is: bool, could_be: bool) {
        if is {
            (self.had, self.present) = (true, 0);
        } else if could_be && self.had {
            self.present += ms;
            self.longest = self.longest.max(self.present);
        }
    }
}

#[derive(Debug, Default)]
pub struct Checks {
    jobs: BTreeMap<String, Seen>,
    /// All troubles are over from then on.
    quiet: u64,
    looked_at: u64,
    /// Without a leader, and without a node that the balancer takes to be healthy.
    ownerless: Lack,
    nodeless: Lack,
    pub room: room::Room,
    /// Tasks that run: when troubles began, and the fewest until they were over.
    running: Option<usize>,
    fewest: Option<usize>,
    /// Connections for which the balancer found no node.
    pub no_node: u64,
    /// Submissions that were given up.
    pub given_up: u64,
}

/// A day's judgement.
#[derive(Debug, Default, Clone)]
pub struct Verdict {
    pub forgotten_75: Vec<String>,
    pub served_below_half: Vec<String>,
    pub largest_late: Vec<String>,
    /// Jobs left waiting beside room, and the longest that any waited so.
    pub beside_room: Vec<String>,
    pub longest_beside_room_s: f64,
    /// After the last trouble, and in the whole day.
    pub longest_unanswered_s: f64,
    pub unanswered_in_all_s: f64,
    pub longest_without_leader_s: f64,
    /// Without a node that the balancer takes to be healthy, although one could take requests.
    pub longest_without_node_s: f64,
    /// The fewest tasks that ran in troubles, as a share of those before.
    pub fewest_running: f64,
    /// Submissions that were accepted within a second of the first attempt, of all.
    pub accepted_in_1s: f64,
    pub no_node: u64,
    pub given_up: u64,
    pub jobs: usize,
    pub done: usize,
}

impl Verdict {
    /// Every rule that was broken, every job forgotten, late or left waiting beside room, and every group of which less than half was served.
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
    pub fn new(quiet: u64, specs: impl Iterator<Item = JobSpec>) -> Self {
        let seen = |s: JobSpec| {
            let seen = Seen {
                class: s.class,
                team: s.team,
                tasks: s.tasks,
                service: s.kind == Kind::Service,
                asked: None,
                accepted: None,
                cancel_asked: false,
                ended: None,
                began: None,
                heard: None,
                unanswered: 0,
                unanswered_quiet: 0,
            };
            (s.id, seen)
        };
        Checks {
            jobs: specs.map(seen).collect(),
            quiet,
            ..Checks::default()
        }
    }

    /// A user submits the job, or asks to cancel it. When it was first submitted.
    pub fn asks(&mut self, now: u64, job: &str, cancel: bool) -> u64 {
        let Some(seen) = self.jobs.get_mut(job) else {
            return now;
        };
        seen.cancel_asked |= cancel;
        *seen.asked.get_or_insert(now)
    }

    /// A user is answered.
    pub fn answered(&mut self, now: u64, job: &str, poll: bool, status: u16, stage: Option<Stage>) {
        let quiet = self.quiet;
        let Some(seen) = self
            .jobs
            .get_mut(job)
            .filter(|_| matches!(status, 200 | 201))
        else {
            return;
        };
        if poll {
            seen.waited(now, quiet);
            seen.heard = Some(now);
        }
        seen.accepted.get_or_insert(now);
        if stage.is_some_and(|s| s.is_final()) {
            seen.ended.get_or_insert(now);
        }
    }

    /// A task of an array or of a service runs, or a whole gang.
    pub fn runs(&mut self, now: u64, job: &str) {
        if let Some(seen) = self.jobs.get_mut(job) {
            seen.began.get_or_insert(now);
        }
    }

    /// Whether there is a leader and a healthy node, and whether any could be one.
    pub fn nodes(&mut self, now: u64, leader: bool, healthy: bool, could_be: bool) {
        let since = now - self.looked_at;
        self.looked_at = now;
        self.ownerless.look(since, leader, could_be);
        self.nodeless.look(since, healthy, could_be);
    }

    /// So many tasks run, once troubles have begun.
    pub fn running(&mut self, now: u64, tasks: usize) {
        self.running.get_or_insert(tasks);
        if now <= self.quiet {
            self.fewest = Some(self.fewest.map_or(tasks, |f| f.min(tasks)));
        }
    }

    /// Troubles are over, and so is all that was submitted.
    pub fn settled(&self, now: u64) -> bool {
        let over = |s: &Seen| s.ended.is_some() || (s.asked.is_some() && s.accepted.is_none());
        now > self.quiet && self.jobs.values().all(over)
    }

    pub fn verdict(&mut self, now: u64) -> Verdict {
        let quiet = self.quiet;
        self.jobs.values_mut().for_each(|s| s.waited(now, quiet));
        let longest =
            |f: fn(&Seen) -> u64| self.jobs.values().map(f).max().unwrap_or(0) as f64 / 1000.0;
        let forgotten = self
            .jobs
            .iter()
            .filter(|(_, s)| s.unanswered_quiet > FORGOTTEN_MS);
        let (beside_room, beside_ms) = self.room.left_waiting();
        Verdict {
            beside_room,
            longest_beside_room_s: beside_ms as f64 / 1000.0,
            forgotten_75: forgotten.map(|(id, _)| id.clone()).collect(),
            served_below_half: served::below_half(&self.jobs),
            largest_late: served::largest_late(&self.jobs, now),
            longest_unanswered_s: longest(|s| s.unanswered_quiet),
            unanswered_in_all_s: longest(|s| s.unanswered),
            longest_without_leader_s: self.ownerless.longest as f64 / 1000.0,
            longest_without_node_s: self.nodeless.longest as f64 / 1000.0,
            fewest_running: self.fewest.unwrap_or(0) as f64
                / self.running.unwrap_or(0).max(1) as f64,
            accepted_in_1s: self.accepted_within(1000),
            no_node: self.no_node,
            given_up: self.given_up,
            jobs: self.jobs.len(),
            done: self.jobs.values().filter(|s| s.ended.is_some()).count(),
        }
    }
}

impl Checks {
    fn accepted_within(&self, ms: u64) -> f64 {
        let asked = self
            .jobs
            .values()
            .filter_map(|s| Some((s.asked?, s.accepted)));
        let soon = asked
            .clone()
            .filter(|(asked, at)| at.is_some_and(|at| at <= asked + ms))
            .count();
        soon as f64 / asked.count().max(1) as f64
    }
}

impl Seen {
    /// An accepted job that has not ended was without an answer until now.
    fn waited(&mut self, now: u64, quiet: u64) {
        let Some(since) = self.accepted.filter(|_| self.ended.is_none()) else {
            return;
        };
        let since = since.max(self.heard.unwrap_or(0));
        self.unanswered = self.unanswered.max(now.saturating_sub(since));
        self.unanswered_quiet = self
            .unanswered_quiet
            .max(now.saturating_sub(since.max(quiet)));
    }
}
