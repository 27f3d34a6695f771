//! What a plan is made from.

use crate::{AgingThresholds, Resources, Secs, Tenant};

/// A task that is on a machine, or may be.
#[derive(Debug, Clone)]
pub struct Running {
    /// What it takes.
    pub need: Resources,
    /// When it is expected to end.
    pub ends: Secs,
    /// Its priority; more is more urgent.
    pub priority: u8,
    /// Run time that is lost if it is stopped now.
    pub lost: Secs,
    /// It may be stopped for others (single tasks that are running; not those being stopped already).
    pub stoppable: bool,
    /// It is on its way out: its room is coming, and must not be made a second time.
    pub leaving: bool,
    /// Its team, as an index.
    pub team: u16,
    /// How far its team's guarantees hold it, see [`Job::held`].
    pub held: u8,
    /// Of the first share of an old job: not stopped for urgency alone.
    pub spared: bool,
    /// The gang that it belongs to, all of which stops with it.
    pub gang: Option<u32>,
    /// Whose work it is.
    pub tenant: Tenant,
}

/// A machine of the fleet.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its type, as an index.
    pub machine_type: u16,
    /// Its zone, as an index.
    pub zone: u16,
    /// The cloud may take it back at any time.
    pub spot: bool,
    /// Takes new tasks.
    pub usable: bool,
    /// One that does not, when it is expected to; infinity if it is not.
    pub ready: Secs,
    /// All that it has.
    pub total: Resources,
    /// Tasks on it.
    pub running: Vec<Running>,
    /// Images that are or will soon be on it.
    pub images: Vec<u32>,
    /// How fast it fetches images.
    pub fetch_gb_per_s: f64,
    /// Most tasks that may still be added.
    pub slots: u32,
}

impl Machine {
    /// What no task on it takes.
    pub fn free(&self) -> Resources {
        let mut free = self.total;
        for r in &self.running {
            free.add(&r.need, -1.0);
        }
        free
    }
}

/// How the tasks of a job belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Tasks that run each by itself.
    Array,
    /// Tasks that all run at the same time or not at all.
    Gang,
    /// Tasks that run until they are cancelled.
    Service,
}

/// A job with waiting tasks.
#[derive(Debug, Clone)]
pub struct Job {
    /// How its tasks belong together.
    pub shape: Shape,
    /// More is more urgent.
    pub priority: u8,
    /// When it was submitted, 0 or less.
    pub arrival: Secs,
    /// Expected run time of one task.
    pub estimate: Secs,
    /// All its tasks.
    pub tasks: u32,
    /// Tasks that wait for a machine.
    pub pending: u32,
    /// What one task takes.
    pub need: Resources,
    /// Allowed machine types, a bit each.
    pub types: u64,
    /// The only zone for it, if any.
    pub zone: Option<u16>,
    /// All its tasks share a zone.
    pub one_zone: bool,
    /// No zone has more than half of its tasks.
    pub spread: bool,
    /// It may run on spot machines.
    pub spot: bool,
    /// The image that its tasks need, as an index.
    pub image: u32,
    /// The size of that image.
    pub image_gb: f64,
    /// Its team, as an index.
    pub team: u16,
    /// Some of it has not run yet, so that the time since its arrival is a wait.
    pub waits: bool,
    /// Its own deadline, from now.
    pub due: Option<Secs>,
    /// Within a guarantee, and not yet late for it.
    pub promised: bool,
    /// How many levels of guarantees hold it, from the root down: 0 if none does; 1 if what is guaranteed to the
    /// uppermost group of its team holds it, as that is divided below it; one more than the groups of its team if
    /// the team's own guarantee does. What holds it on one level holds it on all above.
    pub held: u8,
    /// Tasks that hold a place now, by zone.
    pub zones: Vec<(u16, u32)>,
    /// Machines that it should keep away from.
    pub avoid: Vec<u32>,
    /// Whose work it is.
    pub tenant: Tenant,
    /// The only zones for it; none for all.
    pub only: Vec<u16>,
}

/// Teams that share a bound: a node of the quota tree. All claims below it count.
#[derive(Debug, Clone)]
pub struct Group {
    /// What all below it use.
    pub used: Resources,
    /// Infinity where there is none.
    pub max: Resources,
    /// What is above the bound is stopped; otherwise it may run to its end.
    pub preempts_excess: bool,
}

/// A team's use and bounds; bounds of infinity where there is none.
#[derive(Debug, Clone)]
pub struct Team {
    /// Its groups as indices, the uppermost first; none where quotas do not nest.
    pub path: Vec<u16>,
    /// Cores that its tasks use.
    pub cores_used: f64,
    /// GPUs that its tasks use.
    pub gpus_used: f64,
    /// Most cores that it may use.
    pub cores_max: f64,
    /// Most GPUs that it may use.
    pub gpus_max: f64,
}

impl Team {
    /// How many more tasks of `need` the limit allows, at most `cap`.
    pub fn allows(&self, need: &Resources, cap: u32) -> u32 {
        let room = Resources {
            cores: self.cores_max - self.cores_used,
            gpus: self.gpus_max - self.gpus_used,
            mem: 0.0,
        };
        room.count(&Resources { mem: 0.0, ..*need }, cap)
    }
    pub(crate) fn take(&mut self, need: &Resources, n: u32) {
        self.cores_used += need.cores * f64::from(n);
        self.gpus_used += need.gpus * f64::from(n);
    }
}

/// Room that is kept free for jobs that are expected soon and may not wait for a machine to boot.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// What one of the expected tasks looks like.
    pub like: Job,
    /// How many such tasks are expected.
    pub count: u32,
    /// Images that they are expected to need, with their size and their share of the jobs.
    pub images: Vec<(u32, f64, f64)>,
}

/// All that a plan is made from; plans of equal inputs are equal.
#[derive(Debug, Clone, Default)]
pub struct Input {
    /// The fleet.
    pub machines: Vec<Machine>,
    /// Jobs with waiting tasks.
    pub jobs: Vec<Job>,
    /// Teams by index.
    pub teams: Vec<Team>,
    /// Groups of teams by index; none where quotas do not nest.
    pub groups: Vec<Group>,
    /// Room to keep for expected jobs, the most urgent first.
    pub reservations: Vec<Reservation>,
    /// The online factor: the smallest stretch is relaxed by it.
    pub online_factor: f64,
    /// A job of higher priority waits this long for room before others are stopped for it.
    pub patience: Secs,
    /// When the age of a waiting job counts.
    pub aging: AgingThresholds,
    /// Past so many steps nothing is cleared any more, and past twice as many the rest waits for the next plan.
    pub max_steps: u64,
    /// The job at which the plan before this one was stopped by that bound.
    pub resume: Option<u32>,
    /// Jobs below this priority have only what their age gives them before all others; their turn is in another plan.
    pub least_priority: u8,
    /// How machines are found.
    pub search: Search,
}

impl Input {
    /// Groups that two teams have in common.
    pub fn common_groups(&self, a: u16, b: u16) -> u8 {
        let path = |t: u16| {
            self.teams
                .get(usize::from(t))
                .map_or(&[][..], |team| &team.path)
        };
        path(a)
            .iter()
            .zip(path(b))
            .take_while(|(x, y)| x == y)
            .count() as u8
    }

    /// Whether a running task has its place beyond the guarantees that a job may call on: the job's side of the
    /// tree is held at the level where the two part, and the task's is not.
    pub fn may_be_reclaimed_for(&self, r: &Running, job: &Job) -> bool {
        let common_groups = self.common_groups(r.team, job.team);
        r.team != job.team && r.held <= common_groups && job.held > common_groups
    }

    /// Whether a task may be stopped for a more urgent job. Not the first share of an old one. Where quotas nest, urgency of what is borrowed does not
    /// count against what is held.
    pub fn may_be_preempted_for(&self, r: &Running, job: &Job) -> bool {
        let borrows = || {
            let common_groups = self.common_groups(r.team, job.team);
            r.team != job.team && r.held > common_groups && job.held <= common_groups
        };
        r.priority < job.priority && !r.spared && (self.groups.is_empty() || !borrows())
    }
}

/// How machines are found for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Search {
    /// By an index; what is known of one job serves others alike.
    #[default]
    Indexed,
    /// By a walk over all machines for each job: the reference that the index is tested against.
    Linear,
}
