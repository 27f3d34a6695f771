//! Jobs of isolated tenants get machines of their own, also on a fleet that is kept busy by short tasks of others.

mod defaults;

use plan::{
    Input, Job, Machine, MachineOffer, Output, Resources, Running, ScaleOutInput, Shape, Start,
    Team, Tenant, plan, scale_out,
};

const GPU: Resources = Resources {
    cores: 1.0,
    gpus: 1.0,
    mem: 1.0,
};

fn job(shape: Shape, tasks: u32, tenant: Tenant) -> Job {
    Job {
        shape,
        priority: 1,
        arrival: 0.0,
        estimate: 20.0,
        tasks,
        pending: tasks,
        need: GPU,
        image_gb: 0.0,
        tenant,
        ..defaults::job()
    }
}

fn team() -> Team {
    defaults::team()
}

fn machine() -> Machine {
    Machine {
        total: Resources {
            cores: 4.0,
            gpus: 4.0,
            mem: 64.0,
        },
        images: vec![0],
        ..defaults::machine()
    }
}

/// Seconds until all tasks of a job have started on two machines that tasks of other tenants keep busy; these do not
/// all end at the same time.
fn starts_after(mut waits: Job, others: Tenant) -> Option<u32> {
    let mut machines = vec![machine(), machine()];
    let mut rng = 7u64;
    for now in 0..400u32 {
        for m in &mut machines {
            m.running.iter_mut().for_each(|r| r.expected_end -= 1.0);
            m.running.retain(|r| r.expected_end > 0.0);
        }
        // The job, and an array of the others that is as old and always has pending tasks; that one starts first.
        let mut jobs = vec![waits.clone(), job(Shape::Array, 1000, others)];
        if now == 0 {
            jobs.remove(0);
        }
        jobs.iter_mut().for_each(|j| j.arrival = -f64::from(now));
        let input = Input {
            machines: machines.clone(),
            jobs,
            teams: vec![team()],
            online_factor: 1.0,
            patience: 2.0,
            max_steps: 1_000_000,
            ..Input::default()
        };
        for s in plan(&input).starts {
            let j = &input.jobs[s.job as usize];
            if j.tenant == waits.tenant {
                waits.pending -= s.count;
                if waits.pending == 0 {
                    return Some(now);
                }
            }
            for _ in 0..s.count {
                rng = rng
                    .wrapping_mul(6364136223846793005)
                    .wrapping_add(1442695040888963407);
                let expected_end = 10.0 + (rng >> 33) as f64 % 21.0;
                machines[s.machine as usize].running.push(Running {
                    need: GPU,
                    expected_end,
                    tenant: j.tenant,
                    ..defaults::running()
                });
            }
        }
    }
    None
}

#[test]
fn isolated_jobs_start_on_a_busy_fleet() {
    let alone = Tenant {
        county: 1,
        is_isolated: true,
    };
    let (others, plain) = (
        Tenant {
            county: 2,
            is_isolated: true,
        },
        Tenant {
            county: 2,
            is_isolated: false,
        },
    );
    for shape in [Shape::Array, Shape::Gang, Shape::Service] {
        for others in [others, plain, Tenant::default()] {
            let after = starts_after(job(shape, 2, alone), others);
            // Somewhat longer than the longest task.
            assert!(
                after.is_some_and(|s| s <= 60),
                "{shape:?} beside {others:?}: {after:?}"
            );
        }
        // The same for a job that is not isolated itself, beside tenants that are.
        let after = starts_after(job(shape, 2, Tenant::default()), others);
        assert!(after.is_some_and(|s| s <= 60), "{shape:?}: {after:?}");
    }
}

/// Machines are rented for each isolated county by itself, also if the tasks of two would fit on one.
#[test]
fn machines_are_rented_per_county() {
    let jobs = (1..4)
        .map(|county| {
            job(
                Shape::Gang,
                2,
                Tenant {
                    county,
                    is_isolated: county < 3,
                },
            )
        })
        .collect();
    let input = Input {
        jobs,
        teams: vec![team()],
        ..Input::default()
    };
    let output = Output {
        waiting: vec![(0, 2), (1, 2), (2, 2)],
        ..Output::default()
    };
    let offer = MachineOffer {
        machine_type: 0,
        zone: 0,
        spot: false,
        total: machine().total,
        price: 1.0,
        boot: 1.0,
        fetch_gb_per_s: 1.0,
    };
    let (offers, coming) = ([offer.clone()], [(offer, 1)]);
    let scale = ScaleOutInput {
        input: &input,
        output: &output,
        offers: &offers,
        booting: &coming,
        horizon: 60.0,
        max_machines: 50,
    };
    assert_eq!(scale_out(&scale).iter().map(|r| r.count).sum::<u32>(), 2);
    let mut input = input.clone();
    input
        .jobs
        .iter_mut()
        .for_each(|j| j.tenant = Tenant::default());
    assert_eq!(
        scale_out(&ScaleOutInput {
            input: &input,
            ..scale
        })
        .iter()
        .map(|r| r.count)
        .sum::<u32>(),
        1
    );
}

/// Tasks of one county share its machines, and keep those of others off.
#[test]
fn tasks_of_one_county_share_its_machines() {
    let alone = Tenant {
        county: 1,
        is_isolated: true,
    };
    let jobs = vec![
        job(Shape::Gang, 2, alone),
        job(Shape::Array, 2, alone),
        job(Shape::Array, 40, Tenant::default()),
    ];
    let input = Input {
        machines: vec![machine()],
        jobs,
        teams: vec![team()],
        max_steps: 10_000,
        ..Input::default()
    };
    let out = plan(&input);
    let of = |j: u32| {
        out.starts
            .iter()
            .filter(|s: &&Start| s.job == j)
            .map(|s| s.count)
            .sum::<u32>()
    };
    assert_eq!((of(0), of(1), of(2)), (2, 2, 0));
}
