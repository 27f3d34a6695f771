//! Default values of the planner's input, of which tests override what matters to them.

// Each test file uses only some of these.
#![allow(dead_code)]

use plan::{Job, Machine, Resources, Running, Shape, Team, Tenant};

/// An array of one task that may run anywhere, was submitted now and has no tenant.
pub fn job() -> Job {
    Job {
        shape: Shape::Array,
        priority: 1,
        arrival: 0.0,
        estimate: 10.0,
        tasks: 1,
        pending: 1,
        need: Resources::default(),
        types: 1,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: 0,
        image_gb: 0.0,
        team: 0,
        due: None,
        waits: false,
        promised: false,
        held: 0,
        zones: Vec::new(),
        avoid: Vec::new(),
        tenant: Tenant::default(),
        only: Vec::new(),
    }
}

/// An empty machine that accepts tasks, without resources.
pub fn machine() -> Machine {
    Machine {
        machine_type: 0,
        zone: 0,
        spot: false,
        usable: true,
        ready: f64::INFINITY,
        total: Resources::default(),
        running: Vec::new(),
        images: Vec::new(),
        fetch_gb_per_s: 1.0,
        slots: 20,
    }
}

/// A task that may not be preempted.
pub fn running() -> Running {
    Running {
        need: Resources::default(),
        ends: 0.0,
        priority: 1,
        lost: 0.0,
        stoppable: false,
        leaving: false,
        team: 0,
        held: 0,
        spared: false,
        gang: None,
        tenant: Tenant::default(),
    }
}

/// A team without groups and limits.
pub fn team() -> Team {
    Team {
        path: Vec::new(),
        cores_used: 0.0,
        gpus_used: 0.0,
        cores_max: f64::INFINITY,
        gpus_max: f64::INFINITY,
    }
}
