//! Random fleets of any size, for tests and the scale example: machines in several zones, most of them busy, and
//! pending gangs and arrays of many teams.

use plan::{Input, Job, Machine, Resources, Running, Shape, Team, Tenant};

pub const ZONES: u16 = 12;
pub const TEAMS: u16 = 86;
pub const IMAGES: u32 = 8;
pub const IMAGE_GB: f64 = 6.0;
const GPUS: u32 = 8;
const MAX_GANG_TASKS: u32 = 64;
const PRIORITIES: [u8; 3] = [0, 1, 2];

/// This many GPUs with their share of a machine's cores and memory.
pub fn resources_of_gpus(gpus: f64) -> Resources {
    Resources {
        cores: gpus * 6.0,
        gpus,
        mem: gpus * 36.0,
    }
}

fn running(rng: &mut fastrand::Rng, gpus: u32, gang: Option<u32>) -> Running {
    let expected_end = 5.0 + rng.f64() * 200.0;
    Running {
        need: resources_of_gpus(f64::from(gpus)),
        expected_end,
        priority: if gang.is_some() { 2 } else { 0 },
        lost_on_preemption: rng.f64() * 60.0,
        is_preemptible: gang.is_none(),
        is_stopping: false,
        team: rng.u16(0..TEAMS),
        guarantee_levels: 0,
        is_protected_by_aging: false,
        gang,
        tenant: Tenant::default(),
    }
}

/// A random machine: idle, with a task of a gang, or with tasks of arrays.
pub fn machine(rng: &mut fastrand::Rng, number: u32, zones: u16) -> Machine {
    let mut machine = Machine {
        machine_type: 0,
        zone: rng.u16(0..zones),
        spot: rng.bool(),
        usable: rng.u32(0..50) > 0,
        usable_at: f64::INFINITY,
        total: resources_of_gpus(f64::from(GPUS)),
        running: Vec::new(),
        images: (0..IMAGES).filter(|_| rng.u32(0..3) == 0).collect(),
        fetch_gb_per_s: 0.8,
        slots: 200,
    };
    match rng.u32(0..10) {
        0 => {}
        1..=4 => machine
            .running
            .push(running(rng, GPUS, Some(1_000_000 + number))),
        _ => {
            let tasks = rng.u32(GPUS / 2..=GPUS);
            machine
                .running
                .extend((0..tasks).map(|_| running(rng, 1, None)));
        }
    }
    machine
}

/// A random pending gang or array.
pub fn job(rng: &mut fastrand::Rng) -> Job {
    let is_gang = rng.bool();
    let tasks = if is_gang {
        1 << rng.u32(0..=MAX_GANG_TASKS.ilog2())
    } else {
        rng.u32(1..60)
    };
    let gpus = if is_gang && rng.bool() {
        f64::from(GPUS)
    } else {
        1.0
    };
    // Arrays need different resources, as those of users do.
    let vary = if is_gang { 1.0 } else { 0.6 + rng.f64() * 0.8 };
    let need = Resources {
        cores: (resources_of_gpus(gpus).cores * vary).round(),
        ..resources_of_gpus(gpus)
    };
    Job {
        shape: if is_gang { Shape::Gang } else { Shape::Array },
        priority: PRIORITIES[if is_gang {
            rng.usize(1..3)
        } else {
            rng.usize(0..2)
        }],
        arrival: -rng.f64() * 60.0,
        estimate: 20.0 + rng.f64() * 200.0,
        tasks,
        pending: tasks,
        need,
        machine_types: 1,
        zone: None,
        one_zone: is_gang && rng.bool(),
        spread: false,
        spot: rng.u32(0..4) > 0,
        image: rng.u32(0..IMAGES),
        image_gb: IMAGE_GB,
        team: rng.u16(0..TEAMS),
        awaits_first_start: true,
        deadline: None,
        is_within_guarantee: false,
        guarantee_levels: 0,
        tasks_by_zone: Vec::new(),
        excluded_machines: Vec::new(),
        tenant: Tenant::default(),
        allowed_zones: Vec::new(),
    }
}

fn team() -> Team {
    Team {
        groups: Vec::new(),
        cores_used: 0.0,
        gpus_used: 0.0,
        cores_max: f64::INFINITY,
        gpus_max: f64::INFINITY,
    }
}

/// A fleet with pending jobs, and no limit of steps.
pub fn input(seed: u64, machines: u32, jobs: usize) -> Input {
    let mut rng = fastrand::Rng::with_seed(seed);
    Input {
        machines: (0..machines).map(|n| machine(&mut rng, n, ZONES)).collect(),
        jobs: (0..jobs).map(|_| job(&mut rng)).collect(),
        teams: (0..TEAMS).map(|_| team()).collect(),
        online_factor: 1.5,
        patience: 3.0,
        max_steps: u64::MAX / 4,
        ..Input::default()
    }
}
