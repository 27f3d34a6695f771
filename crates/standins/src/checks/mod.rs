//! What operators judge a day by, from what users, workers and the state service saw: nobody forgotten, every class and
//! team served, the largest jobs too, and how long jobs went unanswered and the fleet without an owner.

mod served;

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

#[derive(Debug, Default)]
pub struct Checks {
    jobs: BTreeMap<String, Seen>,
    /// All troubles are over from then on.
    quiet: u64,
    /// Time without an owner: the present stretch, the longest, when it was last looked at, and whether there was any.
    ownerless: u64,
    longest_ownerless: u64,
    looked_at: u64,
    owned: bool,
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
    /// After the last trouble, and in the whole day.
    pub longest_unanswered_s: f64,
    pub unanswered_in_all_s: f64,
    pub longest_without_owner_s: f64,
    pub no_node: u64,
    pub given_up: u64,
    pub jobs: usize,
    pub done: usize,
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
        Checks { jobs: specs.map(seen).collect(), quiet, ..Checks::default() }
    }

    /// A user submits the job, or asks to cancel it. When it was first submitted.
    pub fn asks(&mut self, now: u64, job: &str, cancel: bool) -> u64 {
        let Some(seen) = self.jobs.get_mut(job) else { return now };
        seen.cancel_asked |= cancel;
        *seen.asked.get_or_insert(now)
    }

    /// A user is answered.
    pub fn answered(&mut self, now: u64, job: &str, poll: bool, status: u16, stage: Option<Stage>) {
        let quiet = self.quiet;
        let Some(seen) = self.jobs.get_mut(job).filter(|_| matches!(status, 200 | 201)) else { return };
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

    /// Whether there is an owner; where not, time counts only while some node could be one.
    pub fn owner(&mut self, now: u64, is: bool, could_be: bool) {
        let since = now - self.looked_at;
        self.looked_at = now;
        if is {
            (self.owned, self.ownerless) = (true, 0);
        } else if could_be && self.owned {
            self.ownerless += since;
            self.longest_ownerless = self.longest_ownerless.max(self.ownerless);
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
        let longest = |f: fn(&Seen) -> u64| self.jobs.values().map(f).max().unwrap_or(0) as f64 / 1000.0;
        let forgotten = self.jobs.iter().filter(|(_, s)| s.unanswered_quiet > FORGOTTEN_MS);
        Verdict {
            forgotten_75: forgotten.map(|(id, _)| id.clone()).collect(),
            served_below_half: served::below_half(&self.jobs),
            largest_late: served::largest_late(&self.jobs, now),
            longest_unanswered_s: longest(|s| s.unanswered_quiet),
            unanswered_in_all_s: longest(|s| s.unanswered),
            longest_without_owner_s: self.longest_ownerless as f64 / 1000.0,
            no_node: self.no_node,
            given_up: self.given_up,
            jobs: self.jobs.len(),
            done: self.jobs.values().filter(|s| s.ended.is_some()).count(),
        }
    }
}

impl Seen {
    /// An accepted job that has not ended was without an answer until now.
    fn waited(&mut self, now: u64, quiet: u64) {
        let Some(since) = self.accepted.filter(|_| self.ended.is_none()) else { return };
        let since = since.max(self.heard.unwrap_or(0));
        self.unanswered = self.unanswered.max(now.saturating_sub(since));
        self.unanswered_quiet = self.unanswered_quiet.max(now.saturating_sub(since.max(quiet)));
    }
}
