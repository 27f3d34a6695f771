//! Jobs whose tasks must share a zone: nothing is rented, preempted or reserved where they cannot run.

mod defaults;

use plan::{
    Group, Input, Job, Machine, MachineOffer, RentalRequest, Resources, Running, ScaleOutInput,
    Shape, Team, plan, scale_out,
};

fn res(gpus: f64) -> Resources {
    Resources {
        cores: 2.0 * gpus,
        gpus,
        mem: 4.0 * gpus,
    }
}

/// An array of tasks with one GPU that must share a zone, with so many tasks on machines by zone.
fn array(pending: u32, zones: &[(u16, u32)]) -> Job {
    Job {
        shape: Shape::Array,
        priority: 2,
        arrival: -60.0,
        estimate: 50.0,
        tasks: 20,
        pending,
        need: res(1.0),
        one_zone: true,
        image_gb: 1.0,
        tasks_by_zone: zones.to_vec(),
        ..defaults::job()
    }
}

/// A machine with so many tasks that another team runs beyond its guarantee.
fn machine(zone: u16, busy: usize) -> Machine {
    let running = Running {
        need: res(1.0),
        expected_end: 90.0,
        priority: 2,
        lost_on_preemption: 1.0,
        is_preemptible: true,
        team: 1,
        ..defaults::running()
    };
    Machine {
        zone,
        usable_at: 0.0,
        total: res(4.0),
        running: vec![running; busy],
        slots: 10,
        ..defaults::machine()
    }
}

fn input(machines: Vec<Machine>, jobs: Vec<Job>) -> Input {
    let team = |path: &[u16]| Team {
        groups: path.to_vec(),
        ..defaults::team()
    };
    let none = Resources {
        cores: f64::INFINITY,
        gpus: f64::INFINITY,
        mem: f64::INFINITY,
    };
    Input {
        machines,
        jobs,
        teams: vec![team(&[0]), team(&[0])],
        groups: vec![Group {
            used: res(0.0),
            max: none,
            preempts_excess: true,
        }],
        online_factor: 1.0,
        patience: 3.0,
        max_steps: u64::MAX / 4,
        ..Input::default()
    }
}

fn offer(zone: u16, price: f64) -> MachineOffer {
    MachineOffer {
        machine_type: 0,
        zone,
        spot: false,
        total: res(4.0),
        price,
        boot: 40.0,
        fetch_gb_per_s: 1.0,
    }
}

fn rentals(
    job: Job,
    offers: &[MachineOffer],
    booting: &[(MachineOffer, u32)],
) -> Vec<RentalRequest> {
    let input = input(vec![], vec![job]);
    let output = plan(&input);
    scale_out(&ScaleOutInput {
        input: &input,
        output: &output,
        offers,
        booting,
        horizon: 10.0,
        max_machines: 100,
    })
}

/// Guards against renting in the zone with the fewest machines for an array whose tasks run in another one: the
/// machines were idle, were returned and rented again, while the array had only its running tasks.
#[test]
fn machines_are_rented_in_the_zone_of_running_tasks() {
    let offers = [offer(0, 1.0), offer(1, 1.0)];
    assert_eq!(
        rentals(array(8, &[]), &offers, &[]),
        [RentalRequest { offer: 0, count: 2 }],
        "any zone will do"
    );
    assert_eq!(
        rentals(array(8, &[(1, 3)]), &offers, &[]),
        [RentalRequest { offer: 1, count: 2 }]
    );
    assert_eq!(
        rentals(array(8, &[(0, 0), (1, 1)]), &offers, &[]),
        [RentalRequest { offer: 1, count: 2 }],
        "none is left in 0"
    );
    assert_eq!(
        rentals(array(8, &[(1, 3)]), &offers[..1], &[]),
        [],
        "none to be had there"
    );
}

/// Machines that boot in one zone and machines rented in another do not add up for tasks that must share a zone.
#[test]
fn booting_machines_count_only_for_their_zone() {
    let offers = [offer(0, 1.0), offer(1, 1.0)];
    let gang = Job {
        shape: Shape::Gang,
        ..array(8, &[])
    };
    for job in [gang, array(8, &[])] {
        let coming = [(offer(1, 1.0), 1)];
        assert_eq!(
            rentals(job.clone(), &offers, &coming),
            [RentalRequest { offer: 1, count: 1 }],
            "the rest beside it"
        );
        assert_eq!(
            rentals(job.clone(), &offers, &[(offer(1, 1.0), 2)]),
            [],
            "enough is coming"
        );
        // If no more can be rented in that zone, machines for all tasks are rented elsewhere.
        assert_eq!(
            rentals(job, &offers[..1], &coming),
            [RentalRequest { offer: 0, count: 2 }]
        );
    }
}

/// Guards against preemption where it is of no use: for a guaranteed array, tasks were preempted in a zone that it
/// could not use, plan after plan, and the capacity was reserved for it.
#[test]
fn no_preemption_in_zones_that_the_job_cannot_use() {
    let due = |zones: &[(u16, u32)]| Job {
        is_within_guarantee: true,
        guarantee_levels: 2,
        ..array(4, zones)
    };
    // Preemption costs less in zone 1.
    let mut machines = vec![machine(0, 4), machine(1, 4)];
    machines[0]
        .running
        .iter_mut()
        .for_each(|r| r.lost_on_preemption = 30.0);
    let stopped = |machines: &[Machine], job: Job| {
        let out = plan(&input(machines.to_vec(), vec![job]));
        let mut on: Vec<u32> = out.preempts.iter().map(|p| p.machine).collect();
        on.sort_unstable();
        on.dedup();
        (on, out.reserved_machines)
    };
    assert_eq!(
        stopped(&machines, due(&[])),
        (vec![1], vec![1]),
        "where the least is lost"
    );
    assert_eq!(
        stopped(&machines, due(&[(0, 1)])),
        (vec![0], vec![0]),
        "where its tasks stand"
    );
    assert_eq!(
        stopped(&machines[1..], due(&[(0, 1)])),
        (vec![], vec![]),
        "nowhere"
    );
    let spread = Job {
        one_zone: false,
        spread: true,
        ..due(&[(1, 10)])
    };
    assert_eq!(
        stopped(&machines, spread),
        (vec![0], vec![0]),
        "half of it is in zone 1"
    );
}
