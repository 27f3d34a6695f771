//! The size that is played: counts, rates and limits, each a flag with the plan's figure as its default.

use clap::{Args, ValueEnum};
use serde::{Deserialize, Serialize};

/// Task slots of a hollow machine.
pub const SLOTS: u32 = 5;
/// Machines that the plan sets aside for control.
pub const CONTROL_MACHINES: usize = 6;
/// Workers that share a process.
const WORKERS_A_PROCESS: usize = 300;
/// Memory that a hollow worker is reckoned with when a size is checked, in MB.
const WORKER_MB: f64 = 0.5;
/// All processes together stay below this, in MB.
const MEMORY_MB: f64 = 12_288.0;
/// Files that a hollow worker may need: its listener, its report, and two commands.
const WORKER_FILES: u64 = 4;
const SECONDS_A_DAY: f64 = 86_400.0;

/// Which part of the day is played.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scenario {
    /// All of them, one after the other.
    All,
    /// Arrivals and configuration changes at their daily rate.
    Steady,
    /// The peak of task starts; a follower and then the leader are killed.
    Peak,
    /// A day's failures and replacements in one phase, a rack, and a zone.
    Failures,
    /// One region is cut off from the others.
    Region,
}

/// What is broken on purpose, to see that a check can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Sabotage {
    None,
    /// Hollow workers don't carry out stops.
    Stops,
    /// The state service takes guards on owner records and claims to hold.
    Guards,
    /// Controllers are told ten times the teams' limits.
    Limits,
}

/// Counts and limits of one run.
#[derive(Debug, Clone, PartialEq, Args, Serialize, Deserialize)]
pub struct Size {
    /// Hollow workers, one a machine.
    #[arg(long, default_value_t = 3300)]
    pub workers: usize,
    /// Controller processes.
    #[arg(long, default_value_t = CONTROL_MACHINES)]
    pub controllers: usize,
    #[arg(long, default_value_t = 12)]
    pub zones: usize,
    #[arg(long, default_value_t = 5)]
    pub regions: usize,
    #[arg(long, default_value_t = 86)]
    pub teams: usize,
    /// Tasks that run while the steady phase is played.
    #[arg(long, default_value_t = 16_000)]
    pub tasks: u32,
    /// Widest gang.
    #[arg(long, default_value_t = 64)]
    pub gang: u32,
    /// Jobs that users submit in a day, as a rate.
    #[arg(long, default_value_t = 50_000.0)]
    pub jobs_per_day: f64,
    /// Task starts a second that the peak asks for.
    #[arg(long, default_value_t = 1500.0)]
    pub peak_starts: f64,
    /// Tasks of one of the peak's arrays.
    #[arg(long, default_value_t = 500)]
    pub peak_array: u32,
    /// Run time of the peak's tasks, in seconds.
    #[arg(long, default_value_t = 5.0)]
    pub peak_run_s: f64,
    /// Urgent single tasks a second, in every phase.
    #[arg(long, default_value_t = 1.0)]
    pub urgent_per_s: f64,
    /// Configuration changes of a day, as a rate: ten times the plan's 5,700.
    #[arg(long, default_value_t = 57_000.0)]
    pub changes_per_day: f64,
    /// Machines that fail in the failures phase.
    #[arg(long, default_value_t = 61)]
    pub failures: usize,
    /// Machines that stand still beyond their lease in the failures phase, as when they are restarted.
    #[arg(long, default_value_t = 590)]
    pub restarts: usize,
    /// Machines of the rack that fails.
    #[arg(long, default_value_t = 40)]
    pub rack: usize,
    /// Length of each phase, in seconds.
    #[arg(long, default_value_t = 60.0)]
    pub phase_s: f64,
    /// Longest time until the tasks of the beginning run, in seconds.
    #[arg(long, default_value_t = 180.0)]
    pub fill_s: f64,
    /// Processor share of each controller that its settings name, in cores.
    #[arg(long, default_value_t = 1.0)]
    pub cores: f64,
    /// Memory that its settings name, in MB.
    #[arg(long, default_value_t = 512.0)]
    pub memory_mb: f64,
    /// Sockets that its settings name.
    #[arg(long, default_value_t = 8000)]
    pub sockets: usize,
    /// Requests a second that the state service bears.
    #[arg(long, default_value_t = 150.0)]
    pub state_rps: f64,
    /// Changes a second that the state service bears.
    #[arg(long, default_value_t = 35.0)]
    pub state_writes: f64,
    /// Requests a second that the cloud bears.
    #[arg(long, default_value_t = 8.0)]
    pub cloud_rps: f64,
    /// Seconds between a worker's reports.
    #[arg(long, default_value_t = 6.0)]
    pub report_s: f64,
    /// Seconds until a worker that hears nothing kills its tasks.
    #[arg(long, default_value_t = 30.0)]
    pub lease_s: f64,
    /// Seconds within which tasks of a cancelled job are gone.
    #[arg(long, default_value_t = 55.0)]
    pub cancel_s: f64,
    /// One-way delay between regions, in milliseconds.
    #[arg(long, default_value_t = 10)]
    pub region_delay_ms: u64,
    /// First of the ports that the controllers listen on.
    #[arg(long, default_value_t = 18_080)]
    pub port: u16,
    /// Port of every hollow worker, each at its own loopback address.
    #[arg(long, default_value_t = 19_000)]
    pub worker_port: u16,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[arg(long, value_enum, default_value_t = Scenario::All)]
    pub scenario: Scenario,
    /// No controller is killed at the peak.
    #[arg(long)]
    pub no_kills: bool,
    /// Breaks something on purpose: the run must then fail.
    #[arg(long, value_enum, default_value_t = Sabotage::None, hide = true)]
    pub sabotage: Sabotage,
}

fn within(name: &str, value: f64, low: f64, high: f64) -> Result<(), String> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(format!("--{name}: {value} is not within {low} to {high}"))
}

impl Size {
    /// Names the first flag whose value can't be played, with its bounds.
    pub fn check(&self) -> Result<(), String> {
        self.check_counts()?;
        self.check_rates()?;
        self.check_machine()
    }

    fn check_counts(&self) -> Result<(), String> {
        within("workers", self.workers as f64, 1.0, 20_000.0)?;
        within(
            "controllers",
            self.controllers as f64,
            1.0,
            CONTROL_MACHINES as f64,
        )?;
        within("zones", self.zones as f64, 1.0, 64.0)?;
        // A region without a zone would have nothing in it.
        within("regions", self.regions as f64, 1.0, self.zones as f64)?;
        within("teams", self.teams as f64, 2.0, 1000.0)?;
        let slots = f64::from(SLOTS) * self.workers as f64;
        within("tasks", f64::from(self.tasks), 1.0, slots)?;
        within("gang", f64::from(self.gang), 1.0, slots)?;
        within("peak-array", f64::from(self.peak_array), 1.0, 100_000.0)?;
        let workers = self.workers as f64;
        within("failures", self.failures as f64, 0.0, workers)?;
        within("restarts", self.restarts as f64, 0.0, workers)?;
        within("rack", self.rack as f64, 0.0, workers)
    }

    fn check_rates(&self) -> Result<(), String> {
        within("jobs-per-day", self.jobs_per_day, 1.0, 1e7)?;
        within("peak-starts", self.peak_starts, 1.0, 1e5)?;
        within("peak-run-s", self.peak_run_s, 0.1, 3600.0)?;
        within("urgent-per-s", self.urgent_per_s, 0.0, 100.0)?;
        within("changes-per-day", self.changes_per_day, 0.0, 1e7)?;
        within("phase-s", self.phase_s, 1.0, 3600.0)?;
        within("fill-s", self.fill_s, 1.0, 3600.0)?;
        within("cores", self.cores, 0.01, 64.0)?;
        within("memory-mb", self.memory_mb, 16.0, 65_536.0)?;
        within("sockets", self.sockets as f64, 32.0, 1e6)?;
        within("state-rps", self.state_rps, 1.0, 1e6)?;
        within("state-writes", self.state_writes, 1.0, 1e6)?;
        within("cloud-rps", self.cloud_rps, 1.0, 1e6)?;
        within("report-s", self.report_s, 0.2, 600.0)?;
        within("lease-s", self.lease_s, 2.0, 3600.0)?;
        within("cancel-s", self.cancel_s, 2.0, 3600.0)?;
        within("region-delay-ms", self.region_delay_ms as f64, 0.0, 1000.0)
    }

    /// What this machine bears: memory, and files in one process.
    fn check_machine(&self) -> Result<(), String> {
        let need = self.workers as f64 * WORKER_MB + self.controllers as f64 * self.memory_mb;
        if need > MEMORY_MB {
            return Err(format!(
                "--workers: {} workers and {} controllers may take {need:.0} MB, {MEMORY_MB:.0} are allowed",
                self.workers, self.controllers
            ));
        }
        let files = rlimit::increase_nofile_limit(u64::MAX).unwrap_or(0);
        let need = WORKERS_A_PROCESS as u64 * WORKER_FILES;
        if files < need {
            return Err(format!(
                "--workers: a process needs {need} files and may have {files}"
            ));
        }
        if files < self.sockets as u64 {
            return Err(format!(
                "--sockets: {} are more than the {files} files a process may have",
                self.sockets
            ));
        }
        Ok(())
    }

    /// Processes that the workers share.
    pub fn processes(&self) -> usize {
        self.workers.div_ceil(WORKERS_A_PROCESS)
    }

    /// Jobs a second.
    pub fn jobs_per_s(&self) -> f64 {
        self.jobs_per_day / SECONDS_A_DAY
    }

    /// Configuration changes a second.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / SECONDS_A_DAY
    }

    /// The same with so many workers, and everything that grows with the fleet in proportion.
    pub fn scaled_to(&self, workers: usize) -> Size {
        let factor = workers as f64 / self.workers as f64;
        let part = |count: usize| (count as f64 * factor).round() as usize;
        Size {
            workers,
            tasks: (f64::from(self.tasks) * factor).round() as u32,
            jobs_per_day: self.jobs_per_day * factor,
            peak_starts: self.peak_starts * factor,
            changes_per_day: self.changes_per_day * factor,
            failures: part(self.failures),
            restarts: part(self.restarts),
            rack: part(self.rack),
            ..self.clone()
        }
    }
}
