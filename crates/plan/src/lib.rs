//! The planner: pure functions from jobs, machines and the time to starts, preemptions and hires.
//! No I/O, clock or randomness. The design and its sources are in `docs/design.md`.

mod anti_affinity;
mod candidates;
mod clearing;
mod failed_searches;
mod gang;
mod independent_tasks;
mod job_kind;
mod limit_enforcement;
mod placement;
mod planner;
mod priority_preemption;
mod promises;
mod quota_preemption;
mod reservations;
mod scale_out;
mod sizes;
mod starvation_aging;
mod state;
mod stretch;
mod tenant;
mod timeline;

pub use planner::plan;
pub use scale_out::{MachineOffer, RentalRequest, ScaleOutInput, scale_out};
pub use starvation_aging::{AgingThresholds, first_share};
pub use stretch::{Sized, smallest_stretch};
pub use tenant::Tenant;

/// Work of this priority is placed as it arrives.
pub const URGENT: u8 = 3;

/// Seconds. `now` is 0; the past is negative.
pub type Secs = f64;

/// What a task takes, or a machine has.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    pub cores: f64,
    pub gpus: f64,
    pub mem: f64,
}

const EPS: f64 = 1e-6;

/// Run times of a job's tasks differ from each other and from the estimate: a round is planned this much longer.
pub(crate) const RUN_TIME_SLACK: f64 = 1.25;

impl Resources {
    pub fn fits(&self, need: &Resources) -> bool {
        need.cores <= self.cores + EPS && need.gpus <= self.gpus + EPS && need.mem <= self.mem + EPS
    }
    pub fn add(&mut self, o: &Resources, n: f64) {
        self.cores += o.cores * n;
        self.gpus += o.gpus * n;
        self.mem += o.mem * n;
    }
    /// What `n` such tasks take.
    pub(crate) fn times(&self, n: u32) -> Resources {
        let mut all = Resources::default();
        all.add(self, f64::from(n));
        all
    }
    /// How many tasks of `need` fit in, at most `cap`.
    pub fn count(&self, need: &Resources, cap: u32) -> u32 {
        let per = |have: f64, want: f64| {
            if want <= EPS {
                f64::INFINITY
            } else {
                ((have + EPS) / want).floor()
            }
        };
        let n = per(self.cores, need.cores)
            .min(per(self.gpus, need.gpus))
            .min(per(self.mem, need.mem));
        if n >= f64::from(cap) {
            cap
        } else {
            n.max(0.0) as u32
        }
    }
    /// The share of `self` that `need` takes in its scarcest resource.
    pub fn share(&self, need: &Resources) -> f64 {
        let part = |have: f64, want: f64| {
            if want <= EPS {
                0.0
            } else {
                want / have.max(EPS)
            }
        };
        part(self.cores, need.cores)
            .max(part(self.gpus, need.gpus))
            .max(part(self.mem, need.mem))
    }
}

/// A task that is on a machine, or may be.
#[derive(Debug, Clone)]
pub struct Running {
    pub need: Resources,
    /// When it is expected to end.
    pub ends: Secs,
    pub priority: u8,
    /// Run time that is lost if it is stopped now.
    pub lost: Secs,
    /// It may be stopped for others (single tasks that are running; not those being stopped already).
    pub stoppable: bool,
    /// It is on its way out: its room is coming, and must not be made a second time.
    pub leaving: bool,
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

#[derive(Debug, Clone)]
pub struct Machine {
    pub machine_type: u16,
    pub zone: u16,
    pub spot: bool,
    /// Takes new tasks.
    pub usable: bool,
    /// One that does not, when it is expected to; infinity if it is not.
    pub ready: Secs,
    pub total: Resources,
    pub running: Vec<Running>,
    /// Images that are or will soon be on it.
    pub images: Vec<u32>,
    pub fetch_gb_per_s: f64,
    /// Most tasks that may still be added.
    pub slots: u32,
}

impl Machine {
    pub fn free(&self) -> Resources {
        let mut free = self.total;
        for r in &self.running {
            free.add(&r.need, -1.0);
        }
        free
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    Array,
    Gang,
    Service,
}

#[derive(Debug, Clone)]
pub struct Job {
    pub shape: Shape,
    pub priority: u8,
    /// When it was submitted, 0 or less.
    pub arrival: Secs,
    /// Expected run time of one task.
    pub estimate: Secs,
    pub tasks: u32,
    /// Tasks that wait for a machine.
    pub pending: u32,
    pub need: Resources,
    /// Allowed machine types, a bit each.
    pub types: u64,
    pub zone: Option<u16>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub image: u32,
    pub image_gb: f64,
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
    /// Whose work it is, and the only zones for it; none for all.
    pub tenant: Tenant,
    pub only: Vec<u16>,
}

/// Teams that share a bound: a node of the quota tree. All claims below it count.
#[derive(Debug, Clone)]
pub struct Group {
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
    pub cores_used: f64,
    pub gpus_used: f64,
    pub cores_max: f64,
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
    fn take(&mut self, need: &Resources, n: u32) {
        self.cores_used += need.cores * f64::from(n);
        self.gpus_used += need.gpus * f64::from(n);
    }
}

/// Room that is kept free for jobs that are expected soon and may not wait for a machine to boot.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// What one of the expected tasks looks like.
    pub like: Job,
    pub count: u32,
    /// Images that they are expected to need, with their size and their share of the jobs.
    pub images: Vec<(u32, f64, f64)>,
}

#[derive(Debug, Clone, Default)]
pub struct Input {
    pub machines: Vec<Machine>,
    pub jobs: Vec<Job>,
    pub teams: Vec<Team>,
    pub groups: Vec<Group>,
    pub reservations: Vec<Reservation>,
    /// The online factor: the smallest stretch is relaxed by it.
    pub online_factor: f64,
    /// A job of higher priority waits this long for room before others are stopped for it.
    pub patience: Secs,
    pub aging: AgingThresholds,
    /// Past so many steps nothing is cleared any more, and past twice as many the rest waits for the next plan.
    pub max_steps: u64,
    /// The job at which the plan before this one was stopped by that bound.
    pub resume: Option<u32>,
    /// Jobs below this priority have only what their age gives them before all others; their turn is in another plan.
    pub least_priority: u8,
    pub search: Search,
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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    pub job: u32,
    pub machine: u32,
    pub count: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Preempt {
    pub machine: u32,
    /// Index into the machine's `running`.
    pub task: u32,
}

#[derive(Debug, Clone, Default)]
pub struct Output {
    pub starts: Vec<Start>,
    pub preempts: Vec<Preempt>,
    /// Gangs to be stopped whole.
    pub preempted_gangs: Vec<u32>,
    /// Tasks that found no room now though their team's limit allows them: job and count.
    pub waiting: Vec<(u32, u32)>,
    /// Machines whose free room is kept, for the expected or for a gang that gathers room, and how much of each reservation found no room.
    pub kept: Vec<u32>,
    pub reservations_short: Vec<u32>,
    /// The smallest stretch found.
    pub stretch: f64,
    /// The first job that the bound of steps left for the next plan.
    pub resume: Option<u32>,
    /// Work done, in units that do not depend on the machine it runs on.
    pub steps: u64,
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

/// How many tasks are in a zone.
fn count_in(zones: &mut Vec<(u16, u32)>, zone: u16) -> &mut u32 {
    let at = zones
        .iter()
        .position(|(z, _)| *z == zone)
        .unwrap_or_else(|| {
            zones.push((zone, 0));
            zones.len() - 1
        });
    &mut zones[at].1
}
