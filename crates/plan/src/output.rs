//! What a plan decides.

/// Tasks of a job that start on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// Index of the job.
    pub job: u32,
    /// Index of the machine.
    pub machine: u32,
    /// How many tasks start there.
    pub count: u32,
}

/// A task that is to be stopped.
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
    /// Tasks to be stopped.
    pub preempts: Vec<Preempt>,
    /// Gangs to be stopped whole.
    pub preempted_gangs: Vec<u32>,
    /// Tasks that found no room now though their team's limit allows them: job and count.
    pub waiting: Vec<(u32, u32)>,
    /// Machines whose free room is kept, for the expected or for a gang that gathers room.
    pub kept: Vec<u32>,
    /// For each reservation, how much of it found no room.
    pub reservations_short: Vec<u32>,
    /// The smallest stretch found.
    pub stretch: f64,
    /// The first job that the bound of steps left for the next plan.
    pub resume: Option<u32>,
    /// Work done, in units that do not depend on the machine it runs on.
    pub steps: u64,
}
