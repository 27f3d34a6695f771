//! What users submit. A job follows from its number alone, so that hollow workers know it without being told.

use crate::size::{SLOTS, Size};
use serde::{Deserialize, Serialize};
use wire::api::{JobSpec, Kind, Priority};

/// What a task takes of a machine.
pub const TASK_CORES: f64 = 8.0;
pub const TASK_GPUS: f64 = 1.0;
pub const TASK_MEMORY_GB: f64 = 32.0;
/// Of a probe's only task: more than its node allows before the change.
pub const PROBE_GPUS: f64 = 2.0;

/// Images of a class, and what one holds.
const IMAGES: u64 = 4;
const IMAGE_GB: f64 = 2.0;
/// Numbers of one class.
const CLASS_SIZE: u64 = 1_000_000;
/// Tasks that run for as long as anybody looks.
const LONG_S: f64 = 7200.0;
const SERVICE_TASKS: u32 = 4;
const BASE_ARRAY_TASKS: u32 = 40;
/// Part of the tasks of the beginning that are in gangs.
const GANG_PART: f64 = 0.25;
const CHECKPOINT_S: f64 = 45.0;

/// Kinds of jobs, by what is measured on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Long arrays of low urgency that fill the fleet at the beginning.
    BaseArray,
    /// Long gangs, each in one zone.
    BaseGang,
    Service,
    /// Arrays at the daily rate.
    SteadyArray,
    /// Gangs at the daily rate.
    SteadyGang,
    /// Single tasks of the highest urgency.
    Urgent,
    /// Arrays of short tasks at the peak.
    Peak,
    /// Submitted to see whether a configuration change is in force.
    Probe,
}

const CLASSES: [Class; 8] = [
    Class::BaseArray,
    Class::BaseGang,
    Class::Service,
    Class::SteadyArray,
    Class::SteadyGang,
    Class::Urgent,
    Class::Peak,
    Class::Probe,
];

impl Class {
    pub fn name(self) -> &'static str {
        match self {
            Class::BaseArray => "base-array",
            Class::BaseGang => "base-gang",
            Class::Service => "service",
            Class::SteadyArray => "steady-array",
            Class::SteadyGang => "steady-gang",
            Class::Urgent => "urgent",
            Class::Peak => "peak",
            Class::Probe => "probe",
        }
    }

    fn code(self) -> u64 {
        CLASSES.iter().position(|class| *class == self).unwrap_or(0) as u64 + 1
    }

    /// The id of the class's job with this serial number.
    pub fn job_id(self, serial: u64) -> String {
        format!("job-{:09}", self.code() * CLASS_SIZE + serial)
    }

    fn shape(self) -> (Kind, Priority) {
        match self {
            Class::BaseArray => (Kind::Array, Priority::Low),
            Class::BaseGang | Class::SteadyGang => (Kind::Gang, Priority::High),
            Class::Service => (Kind::Service, Priority::High),
            Class::SteadyArray | Class::Peak | Class::Probe => (Kind::Array, Priority::Normal),
            Class::Urgent => (Kind::Array, Priority::Production),
        }
    }
}

/// The class and serial number in a job's id.
pub fn parse_id(id: &str) -> Option<(Class, u64)> {
    let number: u64 = id.strip_prefix("job-")?.parse().ok()?;
    let class = CLASSES.get((number / CLASS_SIZE).checked_sub(1)? as usize)?;
    Some((*class, number % CLASS_SIZE))
}

/// The jobs of one run.
#[derive(Debug, Clone)]
pub struct Workload {
    seed: u64,
    teams: usize,
    widest: u32,
    peak_tasks: u32,
    peak_run_s: f64,
}

impl Workload {
    pub fn new(size: &Size) -> Self {
        Workload {
            seed: size.seed,
            teams: size.teams,
            widest: size.gang,
            peak_tasks: size.peak_array,
            peak_run_s: size.peak_run_s,
        }
    }

    /// Jobs that together have about so many tasks, for the beginning.
    pub fn base(&self, tasks: u32) -> Vec<String> {
        let mut jobs = Vec::new();
        let mut left = i64::from(tasks);
        for team in 0..self.ordinary_teams() {
            if left >= i64::from(SERVICE_TASKS) {
                jobs.push(Class::Service.job_id(team));
                left -= i64::from(SERVICE_TASKS);
            }
        }
        let mut in_gangs = (f64::from(tasks) * GANG_PART) as i64;
        for serial in 0.. {
            let id = Class::BaseGang.job_id(serial);
            let width = i64::from(self.tasks(Class::BaseGang, serial));
            if in_gangs < width || left < width {
                break;
            }
            jobs.push(id);
            in_gangs -= width;
            left -= width;
        }
        for serial in 0..left.max(0) as u64 / u64::from(BASE_ARRAY_TASKS) {
            jobs.push(Class::BaseArray.job_id(serial));
        }
        jobs
    }

    /// The last team is the probes' own.
    fn ordinary_teams(&self) -> u64 {
        self.teams as u64 - 1
    }

    fn draw(&self, class: Class, serial: u64) -> fastrand::Rng {
        let number = class.code() * CLASS_SIZE + serial;
        fastrand::Rng::with_seed(self.seed.wrapping_mul(0x9E37_79B9) ^ number)
    }

    fn tasks(&self, class: Class, serial: u64) -> u32 {
        let mut rng = self.draw(class, serial);
        match class {
            Class::BaseArray => BASE_ARRAY_TASKS,
            Class::BaseGang => {
                let widths = [8, 16, 32, 64];
                widths[rng.usize(0..widths.len())].min(self.widest)
            }
            Class::Service => SERVICE_TASKS,
            Class::SteadyArray => rng.u32(4..=24),
            Class::SteadyGang => rng.u32(2..=8).min(self.widest),
            Class::Peak => self.peak_tasks,
            Class::Urgent | Class::Probe => 1,
        }
    }

    /// Run time of a job's tasks, in seconds.
    fn run_s(&self, class: Class, serial: u64) -> f64 {
        let mut rng = self.draw(class, serial);
        let share = 0.5 + rng.f64();
        match class {
            Class::BaseArray | Class::BaseGang | Class::Service => LONG_S,
            Class::SteadyArray => 20.0 * share,
            Class::SteadyGang => 30.0 * share,
            Class::Urgent => 10.0 * share,
            Class::Peak => self.peak_run_s,
            Class::Probe => 1.0,
        }
    }

    /// The description of a job, if there can be one of this id.
    pub fn spec(&self, id: &str) -> Option<JobSpec> {
        let (class, serial) = parse_id(id)?;
        let (kind, priority) = class.shape();
        let team = match class {
            Class::Probe => probe_team(self.teams),
            _ => team(serial as usize % self.ordinary_teams() as usize),
        };
        let gpus = if class == Class::Probe {
            PROBE_GPUS
        } else {
            TASK_GPUS
        };
        let is_service = kind == Kind::Service;
        Some(JobSpec {
            id: id.to_owned(),
            class: class.name().to_owned(),
            team,
            kind,
            priority,
            tasks: self.tasks(class, serial),
            cores: TASK_CORES * gpus,
            gpus,
            mem_gb: TASK_MEMORY_GB * gpus,
            image: format!("img-{}-{}", class.name(), serial % IMAGES),
            image_gb: IMAGE_GB,
            types: None,
            zone: None,
            one_zone: kind == Kind::Gang,
            spread: false,
            spot: true,
            estimate_s: if is_service {
                0.0
            } else {
                self.run_s(class, serial)
            },
            checkpoint_s: if kind == Kind::Gang {
                CHECKPOINT_S
            } else {
                0.0
            },
            save_s: 0.0,
            deadline_s: None,
        })
    }

    /// Run time of a task, in milliseconds.
    pub fn run_ms(&self, id: &str) -> Option<u64> {
        let (class, serial) = parse_id(id)?;
        Some((self.run_s(class, serial) * 1000.0) as u64)
    }
}

/// Name of a team.
pub fn team(index: usize) -> String {
    format!("team-{index:02}")
}

/// The team of the probes, the last.
pub fn probe_team(teams: usize) -> String {
    team(teams - 1)
}

/// Task slots of the whole fleet.
pub fn slots(size: &Size) -> f64 {
    f64::from(SLOTS) * size.workers as f64
}
