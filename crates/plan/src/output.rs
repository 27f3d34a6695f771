//! The output of the planner.

/// Tasks of a job that start on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// Index of the job.
    pub job: u32,
    /// Index of the machine.
    pub machine: u32,
    /// Number of tasks that start there.
    pub count: u32,
}

/// A task to preempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Preempt {
    /// Index of the machine.
    pub machine: u32,
    /// Index into the machine's `running`.
    pub task: u32,
}

/// A plan.
#[derive(Debug, Clone, Default)]
pub struct Output {
    /// Tasks that start now.
    pub starts: Vec<Start>,
    /// Tasks to preempt.
    pub preempts: Vec<Preempt>,
    /// Gangs to preempt as a whole.
    pub preempted_gangs: Vec<u32>,
    /// Tasks that were not placed though their team's limit allows them: index of the job, and count.
    pub waiting: Vec<(u32, u32)>,
    /// Machines on which capacity is reserved: for expected jobs, for a job that others are preempted for, or for a
    /// gang that starts later.
    pub reserved_machines: Vec<u32>,
    /// For each reservation, the number of its tasks that no capacity was found for.
    pub unmet_reservations: Vec<u32>,
    /// The smallest feasible stretch.
    pub stretch: f64,
    /// Index of the first job that the hard limit of steps left for the next plan.
    pub resume: Option<u32>,
    /// Work done by the planner, counted so that it does not depend on the speed of the host.
    pub steps: u64,
}
