//! A job in the leader's memory: which tasks are done, claimed or free, and how it ends.

use crate::Requester;
use crate::agents::machine::Need;
use std::collections::{BTreeSet, HashMap};
use wire::api::{JobSpec, JobState, Kind, Priority, Stage};
use wire::records::{CountyRecord, JobRecord};

/// Where a job is in the leader's table.
pub(crate) type JobIndex = usize;

/// How far the end of a job has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// It goes on.
    No,
    /// To be recorded.
    Wanted(Stage),
    /// The record is on its way.
    Writing(Stage),
    Recorded(Stage),
    /// It had ended when we took over; how, only its record says.
    Before,
}

/// A job that has not ended, or still has claims.
pub(crate) struct Job {
    pub id: String,
    /// `None` for a job that had ended when we took over.
    pub spec: Option<Box<JobSpec>>,
    pub team: String,
    /// What one of its tasks takes.
    pub need: Need,
    /// Bound when it was accepted, or as its claims say.
    pub county: Option<CountyRecord>,
    /// The same for the planner.
    pub tenant: plan::Tenant,
    /// The time of day of its acceptance.
    pub at_ms: u64,
    /// Version of its live record.
    pub version: u64,
    pub tasks: u32,
    /// Done tasks, a bit each.
    done: Vec<u64>,
    pub done_count: u32,
    /// Tasks that are neither done nor claimed, as ranges of fresh ones and single returned ones.
    next_fresh: u32,
    freed: BTreeSet<u32>,
    /// Claims by task: the machines and attempts. More than one only until the old ones are proved gone.
    pub claimed: HashMap<u32, Vec<(usize, u64)>>,
    /// Tasks that run or save.
    pub running: u32,
    /// Completed tasks that are not recorded yet.
    pub unsaved: BTreeSet<u32>,
    /// Log records with results of this job.
    pub segments: BTreeSet<u64>,
    pub ending: Ending,
    /// Who waits for its end.
    pub waiters: Vec<Requester>,
    /// The gang is being taken apart after the loss of a task.
    pub broken: bool,
    /// Seconds of work that were saved before its present attempt.
    pub progress_s: f64,
    pub failures: u32,
    /// Machines on which its tasks failed.
    pub failed_on: BTreeSet<usize>,
    /// Some task was done.
    pub succeeded: bool,
    /// Nothing of it is started until then.
    pub backoff_until: u64,
    /// It may have changed since the last plan.
    pub touched: bool,
    /// A plan has seen some of it run.
    pub began: bool,
    /// Of a model: how many of its tasks may be there now. Only [`crate::models`] sets it.
    pub replicas: Option<u32>,
    /// By when it is to be released.
    pub hour: Option<Box<crate::documents::hours::Hour>>,
}

/// The state of an accepted job of which nothing more is known.
pub(crate) fn unstarted(id: String) -> JobState {
    JobState {
        id,
        stage: Stage::Pending,
        done: 0,
        running: 0,
    }
}

impl Job {
    /// A live job, by its record.
    pub fn new(rec: JobRecord, version: u64) -> Self {
        let spec = rec.spec;
        let need = Need {
            cores: spec.cores,
            gpus: spec.gpus,
            mem_gb: spec.mem_gb,
        };
        let mut job = Job::ended(&spec.id, &spec.team, need);
        job.tasks = spec.tasks;
        job.done = vec![0; spec.tasks.div_ceil(64) as usize];
        job.at_ms = rec.at_ms;
        job.county = rec.county;
        job.hour = rec.hour.map(crate::documents::hours::Hour::new);
        job.version = version;
        job.ending = Ending::No;
        job.spec = Some(Box::new(spec));
        job
    }

    /// A job of which only claims are left.
    pub fn ended(id: &str, team: &str, need: Need) -> Self {
        Job {
            id: id.to_owned(),
            spec: None,
            team: team.to_owned(),
            need,
            county: None,
            tenant: plan::Tenant::default(),
            at_ms: 0,
            version: 0,
            tasks: 0,
            done: Vec::new(),
            done_count: 0,
            next_fresh: 0,
            freed: BTreeSet::new(),
            claimed: HashMap::new(),
            running: 0,
            unsaved: BTreeSet::new(),
            segments: BTreeSet::new(),
            ending: Ending::Before,
            waiters: Vec::new(),
            broken: false,
            progress_s: 0.0,
            failures: 0,
            failed_on: BTreeSet::new(),
            succeeded: false,
            backoff_until: 0,
            touched: false,
            began: false,
            replicas: None,
            hour: None,
        }
    }

    /// Whether what is pending waits for its first start, as far as is known. Of an array, any task may.
    pub fn waits(&self) -> bool {
        self.kind() == Kind::Array || !self.began && self.progress_s == 0.0
    }

    /// A job of which only claims are left counts as an array.
    pub fn kind(&self) -> Kind {
        self.spec.as_ref().map_or(Kind::Array, |s| s.kind)
    }
    /// A job of which only claims are left has the lowest.
    pub fn priority(&self) -> Priority {
        self.spec.as_ref().map_or(Priority::Low, |s| s.priority)
    }
    /// The end is recorded: the job only waits for its last tasks to go.
    pub fn is_over(&self) -> bool {
        matches!(self.ending, Ending::Recorded(_) | Ending::Before)
    }
    /// Nothing of it may be started any more.
    pub fn is_ending(&self) -> bool {
        self.ending != Ending::No
    }
    /// Its tasks are to be stopped, since their user has cancelled it or it had ended before our time. While the end is
    /// on its way, others may have read it already.
    pub fn must_stop_tasks(&self) -> bool {
        use Ending::{Before, Recorded, Writing};
        matches!(
            self.ending,
            Recorded(Stage::Cancelled) | Writing(Stage::Cancelled) | Before
        )
    }

    /// Whether its end may be recorded though we have not heard so: only a read tells.
    pub fn may_have_ended(&self) -> bool {
        matches!(self.ending, Ending::Writing(_))
    }

    /// Its user has asked for its end, whether or not that is recorded yet, or it had ended before our time.
    pub fn is_unwanted(&self) -> bool {
        use Ending::{Before, Recorded, Wanted, Writing};
        match self.ending {
            Wanted(stage) | Writing(stage) | Recorded(stage) => stage == Stage::Cancelled,
            ending => ending == Before,
        }
    }

    /// Whether a task is done, recorded or not.
    pub fn is_done(&self, task: u32) -> bool {
        self.done
            .get(task as usize / 64)
            .is_some_and(|w| w >> (task % 64) & 1 == 1)
    }

    /// True if that is news.
    fn set_done(&mut self, task: u32) -> bool {
        if task >= self.tasks || self.is_done(task) {
            return false;
        }
        self.done[task as usize / 64] |= 1 << (task % 64);
        self.done_count += 1;
        self.freed.remove(&task);
        true
    }

    /// Notes a completed task, to be recorded.
    pub fn complete(&mut self, task: u32) {
        if self.is_ending() {
            return;
        }
        let gang = self.kind() == Kind::Gang;
        if gang {
            // Gang tasks complete together.
            (0..self.tasks).for_each(|t| {
                self.set_done(t);
            });
        } else if !self.set_done(task) {
            return;
        }
        self.succeeded = true;
        if self.done_count == self.tasks {
            // The end says it all: no need to record the last results one by one.
            self.unsaved.clear();
            self.ending = Ending::Wanted(Stage::Done);
        } else {
            self.unsaved.insert(task);
        }
    }

    /// Results that were recorded before our time.
    pub fn load_done(&mut self, tasks: impl Iterator<Item = u32>) {
        for t in tasks {
            self.set_done(t);
        }
        if self.done_count == self.tasks && self.ending == Ending::No {
            self.ending = Ending::Wanted(Stage::Done);
        }
    }

    /// All results that are recorded, for moving them into another record.
    pub fn saved(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.tasks).filter(|t| self.is_done(*t) && !self.unsaved.contains(t))
    }

    /// The result of a task is safe in the state service.
    pub fn recorded(&self, task: u32) -> bool {
        // While the end is on its way, nothing says that this task's result is in the log.
        self.is_over()
            || (self.is_done(task) && !self.unsaved.contains(&task) && self.ending == Ending::No)
    }

    /// A task has one claim more.
    pub fn claim(&mut self, task: u32, machine: usize, attempt: u64) {
        self.claimed
            .entry(task)
            .or_default()
            .push((machine, attempt));
        self.freed.remove(&task);
    }

    /// A claim has ended. The task is free again unless it is done or claimed elsewhere.
    pub fn unclaim(&mut self, task: u32, machine: usize, attempt: u64) {
        if let Some(claims) = self.claimed.get_mut(&task) {
            claims.retain(|c| *c != (machine, attempt));
            if claims.is_empty() {
                self.claimed.remove(&task);
                if task < self.next_fresh && !self.is_done(task) {
                    self.freed.insert(task);
                }
            }
        }
    }

    /// Whether all tasks of a gang have claims, of the same attempt.
    pub fn has_whole_gang_claimed(&self) -> bool {
        let claims = self.claimed.values().flatten();
        let attempts: BTreeSet<u64> = claims.map(|(_, attempt)| *attempt).collect();
        self.claimed.len() == self.tasks as usize && attempts.len() == 1
    }

    /// The machines that it has claims on.
    pub fn machines(&self) -> BTreeSet<usize> {
        let claims = self.claimed.values().flatten();
        claims.map(|(machine, _)| *machine).collect()
    }

    /// How many tasks could be started.
    pub fn pending(&self) -> u32 {
        let open = self.tasks - self.done_count.min(self.tasks);
        let claimed_open = self.claimed.keys().filter(|t| !self.is_done(**t)).count() as u32;
        let unclaimed = open.saturating_sub(claimed_open);
        // Whatever still holds a place, also on its way out, is one of its replicas.
        self.replicas.map_or(unclaimed, |n| {
            n.saturating_sub(self.claimed.len() as u32).min(unclaimed)
        })
    }

    /// Takes a task that is neither done nor claimed.
    pub fn next_task(&mut self) -> Option<u32> {
        while let Some(t) = self.freed.pop_first() {
            if !self.is_done(t) && !self.claimed.contains_key(&t) {
                return Some(t);
            }
        }
        while self.next_fresh < self.tasks {
            let t = self.next_fresh;
            self.next_fresh += 1;
            if !self.is_done(t) && !self.claimed.contains_key(&t) {
                return Some(t);
            }
        }
        None
    }

    /// What users are told of it.
    pub fn state(&self) -> JobState {
        let stage = match self.ending {
            Ending::Recorded(stage) => stage,
            _ if self.running > 0 => Stage::Running,
            _ => Stage::Pending,
        };
        // Not all are done as long as that is not recorded.
        let open = u32::from(stage != Stage::Done && self.done_count == self.tasks);
        JobState {
            id: self.id.clone(),
            stage,
            done: self.done_count - open.min(self.done_count),
            running: self.running,
        }
    }
}
