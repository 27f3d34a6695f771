//! A job in the leader's memory: which of its tasks are done, claimed or free, and how far its end has been recorded.

use crate::Requester;
use crate::agents::machine::Need;
use std::collections::{BTreeSet, HashMap};
use wire::api::{JobSpec, JobState, Kind, Priority, Stage};
use wire::records::{CountyRecord, JobRecord};

/// Slot of a job in the leader's table.
pub(crate) type JobIndex = usize;

/// How far the end of a job has been recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The job is not ending.
    Undecided,
    /// The end is decided and still to be written to the state service.
    Decided(Stage),
    /// The write of the end record is in flight; its outcome is not known.
    Writing(Stage),
    /// The end record is in the state service.
    Recorded(Stage),
    /// The job had ended before this node became the leader. Only its record says how.
    BeforeTerm,
}

/// A job that has not ended, or that still has claims.
pub(crate) struct Job {
    pub id: String,
    /// `None` for a job that had ended before this node became the leader.
    pub spec: Option<Box<JobSpec>>,
    pub team: String,
    /// Resources that one of its tasks needs.
    pub need: Need,
    /// The county bound to the job at acceptance; for a job of which only claims are left, the county in the claims.
    pub county: Option<CountyRecord>,
    /// The planner's form of the county.
    pub tenant: plan::Tenant,
    /// Wall-clock time of its acceptance.
    pub at_ms: u64,
    /// Version of its live record.
    pub version: u64,
    pub tasks: u32,
    /// Done tasks, as a bitmap.
    done: Vec<u64>,
    pub done_count: u32,
    /// The lowest task that [`Job::next_task`] has never returned; all above it are free too unless done or claimed.
    first_never_assigned: u32,
    /// Tasks below `first_never_assigned` that are free again after losing their claims.
    freed: BTreeSet<u32>,
    /// Claims by task, as machine and attempt. A task has several only until the old attempts are proved to have ended.
    pub claimed: HashMap<u32, Vec<(usize, u64)>>,
    /// Number of tasks that are running or saving a checkpoint.
    pub running: u32,
    /// Completed tasks that are not recorded yet.
    pub unrecorded_tasks: BTreeSet<u32>,
    /// Claim log segments that hold results of this job.
    pub segments: BTreeSet<u64>,
    pub ending: Ending,
    /// Requesters that wait for its end.
    pub waiters: Vec<Requester>,
    /// The gang lost a task, and its remaining tasks are being stopped.
    pub is_gang_broken: bool,
    /// Seconds of work that were saved in checkpoints before the present attempt.
    pub progress_s: f64,
    pub failures: u32,
    /// Machines on which its tasks failed.
    pub failed_on: BTreeSet<usize>,
    /// Whether any task has completed.
    pub succeeded: bool,
    /// No task is started before this time.
    pub backoff_until: u64,
    /// The job may have changed since the last plan.
    pub changed_since_plan: bool,
    /// Some task was running when a plan was made.
    pub was_running_at_plan: bool,
    /// For the job of a model: how many of its tasks may exist now. Only [`crate::models`] sets it.
    pub replicas: Option<u32>,
    /// The job's release time, if it has one.
    pub hour: Option<Box<crate::documents::hours::ReleaseHour>>,
}

/// State of an accepted job about which nothing else is known.
pub(crate) fn unstarted(id: String) -> JobState {
    JobState {
        id,
        stage: Stage::Pending,
        done: 0,
        running: 0,
    }
}

impl Job {
    /// A live job, from its record.
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
        job.hour = rec.hour.map(crate::documents::hours::ReleaseHour::new);
        job.version = version;
        job.ending = Ending::Undecided;
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
            first_never_assigned: 0,
            freed: BTreeSet::new(),
            claimed: HashMap::new(),
            running: 0,
            unrecorded_tasks: BTreeSet::new(),
            segments: BTreeSet::new(),
            ending: Ending::BeforeTerm,
            waiters: Vec::new(),
            is_gang_broken: false,
            progress_s: 0.0,
            failures: 0,
            failed_on: BTreeSet::new(),
            succeeded: false,
            backoff_until: 0,
            changed_since_plan: false,
            was_running_at_plan: false,
            replicas: None,
            hour: None,
        }
    }

    /// Whether its pending tasks may be waiting for their first start, as far as is known. For an array this always
    /// holds, since any of its tasks may.
    pub fn may_await_first_start(&self) -> bool {
        self.kind() == Kind::Array || !self.was_running_at_plan && self.progress_s == 0.0
    }

    /// Kind of the job. One of which only claims are left counts as an array.
    pub fn kind(&self) -> Kind {
        self.spec.as_ref().map_or(Kind::Array, |s| s.kind)
    }
    /// Priority of the job. One of which only claims are left has the lowest.
    pub fn priority(&self) -> Priority {
        self.spec.as_ref().map_or(Priority::Low, |s| s.priority)
    }
    /// Whether the end is recorded. The job stays in memory until its last claims have ended.
    pub fn is_end_recorded(&self) -> bool {
        matches!(self.ending, Ending::Recorded(_) | Ending::BeforeTerm)
    }
    /// Whether no task of the job may be started any more.
    pub fn is_ending(&self) -> bool {
        self.ending != Ending::Undecided
    }
    /// Whether its tasks must be stopped: a cancellation is recorded or being written, or the job had ended before this
    /// node became the leader. A write in flight counts because others may have read its record already.
    pub fn must_stop_tasks(&self) -> bool {
        use Ending::{BeforeTerm, Recorded, Writing};
        matches!(
            self.ending,
            Recorded(Stage::Cancelled) | Writing(Stage::Cancelled) | BeforeTerm
        )
    }

    /// Whether the end may be recorded without this node knowing it. Only a read of the record can tell.
    pub fn may_have_ended(&self) -> bool {
        matches!(self.ending, Ending::Writing(_))
    }

    /// Whether its user has cancelled it, recorded or not, or it had ended before this node became the leader.
    pub fn is_cancelled_or_ended_before_term(&self) -> bool {
        use Ending::{BeforeTerm, Decided, Recorded, Writing};
        match self.ending {
            Decided(stage) | Writing(stage) | Recorded(stage) => stage == Stage::Cancelled,
            ending => ending == BeforeTerm,
        }
    }

    /// Whether a task is done, whether or not the result is recorded.
    pub fn is_done(&self, task: u32) -> bool {
        self.done
            .get(task as usize / 64)
            .is_some_and(|w| w >> (task % 64) & 1 == 1)
    }

    /// Marks a task as done. Returns whether it was not done before.
    fn set_done(&mut self, task: u32) -> bool {
        if task >= self.tasks || self.is_done(task) {
            return false;
        }
        self.done[task as usize / 64] |= 1 << (task % 64);
        self.done_count += 1;
        self.freed.remove(&task);
        true
    }

    /// Marks a task as completed, with the result to be recorded.
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
            // The end record implies all results, so the last ones need not be recorded one by one.
            self.unrecorded_tasks.clear();
            self.ending = Ending::Decided(Stage::Done);
        } else {
            self.unrecorded_tasks.insert(task);
        }
    }

    /// Loads results that were recorded before this node became the leader.
    pub fn load_done(&mut self, tasks: impl Iterator<Item = u32>) {
        for t in tasks {
            self.set_done(t);
        }
        if self.done_count == self.tasks && self.ending == Ending::Undecided {
            self.ending = Ending::Decided(Stage::Done);
        }
    }

    /// All recorded results, for moving them into another record.
    pub fn recorded_tasks(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.tasks).filter(|t| self.is_done(*t) && !self.unrecorded_tasks.contains(t))
    }

    /// Whether the result of a task is known to be stored in the state service.
    pub fn is_result_recorded(&self, task: u32) -> bool {
        // Once an end is decided, results that were to be recorded are dropped from `unrecorded_tasks`, so until the end is
        // recorded nothing shows that this task's result is stored.
        self.is_end_recorded()
            || (self.is_done(task)
                && !self.unrecorded_tasks.contains(&task)
                && self.ending == Ending::Undecided)
    }

    /// Adds a claim to a task.
    pub fn add_claim(&mut self, task: u32, machine: usize, attempt: u64) {
        self.claimed
            .entry(task)
            .or_default()
            .push((machine, attempt));
        self.freed.remove(&task);
    }

    /// Removes a claim that has ended. The task is free again unless it is done or has another claim.
    pub fn remove_claim(&mut self, task: u32, machine: usize, attempt: u64) {
        if let Some(claims) = self.claimed.get_mut(&task) {
            claims.retain(|c| *c != (machine, attempt));
            if claims.is_empty() {
                self.claimed.remove(&task);
                if task < self.first_never_assigned && !self.is_done(task) {
                    self.freed.insert(task);
                }
            }
        }
    }

    /// Whether all tasks of a gang have claims that belong to one attempt.
    pub fn has_whole_gang_claimed(&self) -> bool {
        let claims = self.claimed.values().flatten();
        let attempts: BTreeSet<u64> = claims.map(|(_, attempt)| *attempt).collect();
        self.claimed.len() == self.tasks as usize && attempts.len() == 1
    }

    /// Machines on which the job has claims.
    pub fn machines(&self) -> BTreeSet<usize> {
        let claims = self.claimed.values().flatten();
        claims.map(|(machine, _)| *machine).collect()
    }

    /// Number of tasks that could be started.
    pub fn pending(&self) -> u32 {
        let unfinished = self.tasks - self.done_count.min(self.tasks);
        let claimed_unfinished = self.claimed.keys().filter(|t| !self.is_done(**t)).count() as u32;
        let unclaimed = unfinished.saturating_sub(claimed_unfinished);
        // Every claimed task counts as a replica, also one that is being stopped.
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
        while self.first_never_assigned < self.tasks {
            let t = self.first_never_assigned;
            self.first_never_assigned += 1;
            if !self.is_done(t) && !self.claimed.contains_key(&t) {
                return Some(t);
            }
        }
        None
    }

    /// The state that is sent to users.
    pub fn state(&self) -> JobState {
        let stage = match self.ending {
            Ending::Recorded(stage) => stage,
            _ if self.running > 0 => Stage::Running,
            _ => Stage::Pending,
        };
        // All tasks are reported as done only once the job is recorded as done.
        let unreported = u32::from(stage != Stage::Done && self.done_count == self.tasks);
        JobState {
            id: self.id.clone(),
            stage,
            done: self.done_count - unreported.min(self.done_count),
            running: self.running,
        }
    }
}
