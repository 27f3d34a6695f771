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
        machine_types: 1,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: 0,
        image_gb: 0.0,
        team: 0,
        deadline: None,
        awaits_first_start: false,
        is_within_guarantee: false,
        guarantee_levels: 0,
        tasks_by_zone: Vec::new(),
        excluded_machines: Vec::new(),
        tenant: Tenant::default(),
        allowed_zones: Vec::new(),
    }
}

/// An empty machine that accepts tasks, without resources.
pub fn machine() -> Machine {
    Machine {
        machine_type: 0,
        zone: 0,
        spot: false,
        usable: true,
        usable_at: f64::INFINITY,
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
        expected_end: 0.0,
        priority: 1,
        lost_on_preemption: 0.0,
        is_preemptible: false,
        is_stopping: false,
        team: 0,
        guarantee_levels: 0,
        is_protected_by_aging: false,
        gang: None,
        tenant: Tenant::default(),
    }
}

/// A team without groups and limits.
pub fn team() -> Team {
    Team {
        groups: Vec::new(),
        cores_used: 0.0,
        gpus_used: 0.0,
        cores_max: f64::INFINITY,
        gpus_max: f64::INFINITY,
    }
}
