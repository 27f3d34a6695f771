//! The input of the planner.

use crate::{AgingThresholds, Resources, Secs, Tenant};

/// A task that runs on a machine, or may run there (its start or its end is not confirmed).
#[derive(Debug, Clone)]
pub struct Running {
    /// Resources that it uses.
    pub need: Resources,
    /// When it is expected to end.
    pub expected_end: Secs,
    /// Its priority; higher is more urgent.
    pub priority: u8,
    /// Run time that is lost if it is preempted now.
    pub lost_on_preemption: Secs,
    /// It may be preempted by itself: a task of an array that is not being stopped already.
    pub is_preemptible: bool,
    /// It is being stopped. Its resources become free soon, so nothing else needs to be preempted for them.
    pub is_stopping: bool,
    /// Index of its team.
    pub team: u16,
    /// How many levels of its team's guarantees cover it, see [`Job::guarantee_levels`].
    pub guarantee_levels: u8,
    /// It belongs to the first share of an aged job: it is not preempted for priority alone.
    pub is_protected_by_aging: bool,
    /// The gang that it belongs to; a gang is preempted as a whole.
    pub gang: Option<u32>,
    /// The tenant that owns it.
    pub tenant: Tenant,
}

/// A machine of the fleet.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Index of its machine type.
    pub machine_type: u16,
    /// Index of its zone.
    pub zone: u16,
    /// A spot machine: the cloud may reclaim it at any time.
    pub spot: bool,
    /// It accepts new tasks.
    pub usable: bool,
    /// When an unusable machine is expected to accept tasks; infinity if it is not expected to.
    pub usable_at: Secs,
    /// Its total resources.
    pub total: Resources,
    /// Tasks on it.
    pub running: Vec<Running>,
    /// Images that are on it or are being fetched.
    pub images: Vec<u32>,
    /// Its rate of fetching images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// How many more tasks may be added, whatever their resources.
    pub slots: u32,
}

impl Machine {
    /// Resources that none of its tasks uses.
    pub fn free(&self) -> Resources {
        let mut free = self.total;
        for r in &self.running {
            free.add(&r.need, -1.0);
        }
        free
    }
}

/// Whether the tasks of a job start and end together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Independent tasks.
    Array,
    /// Tasks that run all at the same time or not at all.
    Gang,
    /// Tasks that run until they are cancelled.
    Service,
}

/// A job with pending tasks.
#[derive(Debug, Clone)]
pub struct Job {
    /// Whether its tasks start and end together.
    pub shape: Shape,
    /// Higher is more urgent.
    pub priority: u8,
    /// When it was submitted; 0 or less.
    pub arrival: Secs,
    /// Expected run time of one task.
    pub estimate: Secs,
    /// Number of all its tasks.
    pub tasks: u32,
    /// Number of tasks that wait for a machine.
    pub pending: u32,
    /// Resources that one task needs.
    pub need: Resources,
    /// Allowed machine types, as a bit mask of their indices.
    pub machine_types: u64,
    /// The zone that it must run in, if it asks for one.
    pub zone: Option<u16>,
    /// All its tasks must run in one zone.
    pub one_zone: bool,
    /// No zone may have more than half of its tasks, rounded up.
    pub spread: bool,
    /// It may run on spot machines.
    pub spot: bool,
    /// Index of the image that its tasks need.
    pub image: u32,
    /// Size of that image in GB.
    pub image_gb: f64,
    /// Index of its team.
    pub team: u16,
    /// Its pending tasks wait for their first start, as far as is known, so that the time since its arrival is a wait.
    pub awaits_first_start: bool,
    /// The deadline that it was submitted with, from now.
    pub deadline: Option<Secs>,
    /// Its start is covered by a guarantee and not yet late for it, so that tasks beyond their guarantees may be
    /// preempted for it.
    pub is_within_guarantee: bool,
    /// How many levels of guarantees cover it, counted from the root: 0 if none does; 1 if its share of the guarantee
    /// of its team's topmost group does; one more than the number of its team's groups if the team's own guarantee
    /// does. A guarantee that covers it on one level covers it on all levels above.
    pub guarantee_levels: u8,
    /// Number of its tasks that are on machines now, by zone.
    pub tasks_by_zone: Vec<(u16, u32)>,
    /// Machines that it must not use.
    pub excluded_machines: Vec<u32>,
    /// The tenant that owns it.
    pub tenant: Tenant,
    /// The zones that it is restricted to; empty if it may use all.
    pub allowed_zones: Vec<u16>,
}

/// A node of the quota tree, whose limit applies to the sum of all teams below it.
#[derive(Debug, Clone)]
pub struct Group {
    /// Resources used by all teams below it.
    pub used: Resources,
    /// Its limit; infinity where there is none.
    pub max: Resources,
    /// Tasks above a lowered limit are preempted; otherwise they may run to their end.
    pub preempts_excess: bool,
}

/// Usage and limits of a team; a limit is infinity where there is none.
#[derive(Debug, Clone)]
pub struct Team {
    /// Indices of its groups, the topmost first; empty without nested quotas.
    pub groups: Vec<u16>,
    /// Cores used by its tasks.
    pub cores_used: f64,
    /// GPUs used by its tasks.
    pub gpus_used: f64,
    /// Limit of cores.
    pub cores_max: f64,
    /// Limit of GPUs.
    pub gpus_max: f64,
}

impl Team {
    /// How many more tasks that need `need` the limits allow, at most `cap`.
    pub fn allows(&self, need: &Resources, cap: u32) -> u32 {
        let headroom = Resources {
            cores: self.cores_max - self.cores_used,
            gpus: self.gpus_max - self.gpus_used,
            mem: 0.0,
        };
        headroom.count(&Resources { mem: 0.0, ..*need }, cap)
    }
    pub(crate) fn take(&mut self, need: &Resources, n: u32) {
        self.cores_used += need.cores * f64::from(n);
        self.gpus_used += need.gpus * f64::from(n);
    }
}

/// Capacity kept free for jobs that are expected soon and must not wait for a machine to boot.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// A job like the expected ones.
    pub template: Job,
    /// Number of expected tasks.
    pub count: u32,
    /// Images that they are expected to need: index, size in GB and share of the jobs.
    pub images: Vec<(u32, f64, f64)>,
}

/// The whole input of a plan. The planner is deterministic: equal inputs give equal plans.
#[derive(Debug, Clone, Default)]
pub struct Input {
    /// The fleet.
    pub machines: Vec<Machine>,
    /// Jobs with pending tasks.
    pub jobs: Vec<Job>,
    /// Teams by index.
    pub teams: Vec<Team>,
    /// Groups of teams by index; empty without nested quotas.
    pub groups: Vec<Group>,
    /// Capacity to keep free for expected jobs, the highest priority first.
    pub reservations: Vec<Reservation>,
    /// The smallest stretch is multiplied by this, since later arrivals are not known yet.
    pub online_factor: f64,
    /// How long a job waits for capacity to become free before tasks are preempted for it.
    pub patience: Secs,
    /// From which waiting times on jobs are aged.
    pub aging: AgingThresholds,
    /// The soft limit of steps, past which nothing is preempted or reserved in advance any more. Past twice as many,
    /// the hard limit, the remaining jobs wait for the next plan.
    pub max_steps: u64,
    /// Index of the job at which the hard limit stopped the previous plan.
    pub resume: Option<u32>,
    /// Jobs below this priority start only the tasks that aging puts before all others; the rest is left to other
    /// plans.
    pub min_priority: u8,
    /// How machines are searched for.
    pub search: Search,
}

impl Input {
    /// Number of groups that two teams have in common, counted from the root.
    pub fn common_groups(&self, a: u16, b: u16) -> u8 {
        let path = |t: u16| {
            self.teams
                .get(usize::from(t))
                .map_or(&[][..], |team| &team.groups)
        };
        path(a)
            .iter()
            .zip(path(b))
            .take_while(|(x, y)| x == y)
            .count() as u8
    }

    /// Whether a running task may be preempted to give a job the capacity it is guaranteed: at the level of the tree
    /// where their teams part, a guarantee covers the job and none covers the task.
    pub fn may_be_reclaimed_for(&self, r: &Running, job: &Job) -> bool {
        let common_groups = self.common_groups(r.team, job.team);
        r.team != job.team
            && r.guarantee_levels <= common_groups
            && job.guarantee_levels > common_groups
    }

    /// Whether a task may be preempted for a job of higher priority. The first share of an aged job may not. With
    /// nested quotas, a job that borrows capacity may not preempt a task that a guarantee covers, whatever its
    /// priority.
    pub fn may_be_preempted_for(&self, r: &Running, job: &Job) -> bool {
        let borrows = || {
            let common_groups = self.common_groups(r.team, job.team);
            r.team != job.team
                && r.guarantee_levels > common_groups
                && job.guarantee_levels <= common_groups
        };
        r.priority < job.priority
            && !r.is_protected_by_aging
            && (self.groups.is_empty() || !borrows())
    }
}

/// How machines are searched for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Search {
    /// With an index, and with results that are shared between equivalent jobs.
    #[default]
    Indexed,
    /// By a scan of all machines for each job: the reference that the index is tested against.
    Linear,
}
