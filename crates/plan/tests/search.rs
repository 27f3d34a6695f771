//! The indexed search against the linear one: equal plans, for fewer steps.

mod fleets;

use plan::{Input, Job, Output, Search, Shape, Tenant, plan};
use proptest::prelude::*;

fn starts(output: &Output) -> u32 {
    output.starts.iter().map(|s| s.count).sum()
}

fn run_plan(input: &Input, search: Search) -> Output {
    plan(&Input {
        search,
        ..input.clone()
    })
}

/// A fleet with many rare properties: guarantees, reservations, isolated tenants, restricted zones, avoided machines,
/// jobs with tasks on machines, services, booting machines.
fn varied_fleet(seed: u64, machines: u32, jobs: usize) -> Input {
    let mut input = fleets::input(seed, machines, jobs);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0xF1EE);
    let has_isolated_tenants = rng.u32(0..3) == 0;
    for machine in &mut input.machines {
        if !machine.usable && rng.bool() {
            machine.usable_at = rng.f64() * 60.0;
        }
        machine.slots = [1, 3, 200][rng.usize(0..3)];
        for running in &mut machine.running {
            running.guarantee_levels = rng.u8(0..2);
            running.is_stopping = rng.u32(0..10) == 0;
            running.is_protected_by_aging = rng.u32(0..10) == 0;
            if has_isolated_tenants {
                running.tenant = random_tenant(&mut rng);
            }
        }
    }
    for job in &mut input.jobs {
        vary_job(&mut rng, job, machines, has_isolated_tenants);
    }
    for number in 1..input.jobs.len() {
        if rng.bool() {
            input.jobs[number] = equivalent_job(&mut rng, &input.jobs[number - 1]);
        }
    }
    if rng.bool() {
        let template = fleets::job(&mut rng);
        let images = (0..fleets::IMAGES)
            .map(|image| (image, fleets::IMAGE_GB, 1.0 / f64::from(fleets::IMAGES)));
        input.reservations.push(plan::Reservation {
            template,
            count: rng.u32(1..6),
            images: images.collect(),
        });
    }
    input.aging = plan::AgingThresholds {
        aged_after: 40.0,
        first_of_all_after: 55.0,
    };
    for team in &mut input.teams {
        team.gpus_max = f64::from(rng.u32(4..80));
    }
    input
}

/// An equivalent job: it may use the same machines.
fn equivalent_job(rng: &mut fastrand::Rng, job: &Job) -> Job {
    let tasks = rng.u32(1..40);
    Job {
        tasks,
        pending: tasks,
        estimate: 20.0 + rng.f64() * 200.0,
        arrival: -rng.f64() * 60.0,
        team: rng.u16(0..fleets::TEAMS),
        tasks_by_zone: Vec::new(),
        ..job.clone()
    }
}

fn random_tenant(rng: &mut fastrand::Rng) -> Tenant {
    Tenant {
        county: rng.u16(0..3),
        is_isolated: rng.u32(0..3) == 0,
    }
}

fn vary_job(rng: &mut fastrand::Rng, job: &mut Job, machines: u32, has_isolated_tenants: bool) {
    match rng.u32(0..8) {
        0 => job.shape = Shape::Service,
        1 => job.excluded_machines = vec![rng.u32(0..machines)],
        2 => job.zone = Some(rng.u16(0..fleets::ZONES)),
        3 => job.allowed_zones = vec![rng.u16(0..fleets::ZONES), rng.u16(0..fleets::ZONES)],
        4 => job.spread = !job.one_zone,
        5 => job.image_gb = 0.0,
        6 if job.shape == Shape::Array => {
            job.one_zone = rng.bool();
            job.tasks_by_zone = vec![(rng.u16(0..fleets::ZONES), 1)];
        }
        _ => {}
    }
    job.is_within_guarantee = rng.u32(0..4) == 0;
    job.guarantee_levels = u8::from(job.is_within_guarantee);
    if has_isolated_tenants {
        job.tenant = random_tenant(rng);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(40), ..ProptestConfig::default() })]

    /// The index and the results shared between equivalent jobs do not change the plan.
    #[test]
    fn indexed_search_plans_like_linear_search(seed in 0u64..1_000_000, machines in 1u32..600, jobs in 0usize..150) {
        let input = varied_fleet(seed, machines, jobs);
        let indexed = run_plan(&input, Search::Indexed);
        let linear = run_plan(&input, Search::Linear);
        prop_assert_eq!(indexed.starts, linear.starts);
        prop_assert_eq!(indexed.preempts, linear.preempts);
        prop_assert_eq!(indexed.preempted_gangs, linear.preempted_gangs);
        prop_assert_eq!(indexed.reserved_machines, linear.reserved_machines);
        prop_assert_eq!(indexed.unmet_reservations, linear.unmet_reservations);
        prop_assert_eq!(indexed.waiting, linear.waiting);
        prop_assert!(indexed.stretch <= linear.stretch);
    }

    /// Whatever the limit of steps, plans that resume where the previous one stopped get to every job: a job that fits
    /// is started, however many that do not fit are served before it.
    #[test]
    fn plans_make_progress_under_any_step_limit(seed in 0u64..1_000_000, bound in 0u64..3_000, blocked in 1usize..30) {
        let mut input = fleets::input(seed, 20, 0);
        let mut rng = fastrand::Rng::with_seed(seed);
        let make_unplaceable = |job: &mut Job| {
            // It fits on no fleet of this size.
            (job.shape, job.tasks, job.pending, job.priority) = (Shape::Gang, 1000, 1000, 3);
        };
        for _ in 0..blocked {
            let mut job = fleets::job(&mut rng);
            make_unplaceable(&mut job);
            input.jobs.push(job);
        }
        let mut last = fleets::job(&mut rng);
        last.need = fleets::resources_of_gpus(1.0);
        (last.shape, last.tasks, last.pending, last.priority, last.spot) = (Shape::Gang, 1, 1, 0, true);
        // Without a fetch, a start now always costs less than preemption.
        last.image_gb = 0.0;
        input.machines[0].running.clear();
        (input.machines[0].usable, input.machines[0].spot) = (true, true);
        input.jobs.push(last);
        input.max_steps = bound;
        let mut started = false;
        for _ in 0..=blocked + 1 {
            let output = plan(&input);
            started |= output.starts.iter().any(|s| s.job as usize == blocked);
            input.resume = output.resume;
        }
        prop_assert!(started, "the last of {} jobs never started", blocked + 1);
    }
}

/// At the planned fleet size, a plan with the limit of steps starts nearly as many tasks as one without.
#[test]
fn planned_fleet_size_fits_the_step_limit() {
    let mut input = fleets::input(7, 3300, 660);
    let unbounded = plan(&input);
    input.max_steps = 240_000;
    let bounded = plan(&input);
    assert!(bounded.steps <= 480_000, "{} steps", bounded.steps);
    let (some, all) = (starts(&bounded), starts(&unbounded));
    assert!(some * 100 >= all * 95, "{some} of {all} starts");
}

/// A failed search is not repeated for equivalent jobs, so many of them cost little more than a few.
#[test]
fn equivalent_jobs_share_failed_searches() {
    let mut input = fleets::input(3, 400, 0);
    let mut rng = fastrand::Rng::with_seed(3);
    let mut job = fleets::job(&mut rng);
    (job.shape, job.tasks, job.pending) = (Shape::Gang, 900, 900);
    job.one_zone = false;
    input.jobs = vec![job; 2];
    let few = plan(&input).steps;
    input.jobs = vec![input.jobs[0].clone(); 200];
    let many = plan(&input).steps;
    assert!(many < 4 * few, "{many} steps for 200 jobs, {few} for 2");
    let linear = run_plan(&input, Search::Linear).steps;
    assert!(
        linear > 20 * many,
        "the linear search takes only {linear} steps: the test shows nothing"
    );
}

/// A plan that the limit of steps stopped names the job at which it stopped.
#[test]
fn plan_stopped_by_the_step_limit_names_the_job_to_resume_at() {
    let mut input = fleets::input(5, 200, 60);
    assert_eq!(plan(&input).resume, None);
    input.max_steps = 100;
    assert_ne!(plan(&input).resume, None);
}

/// A plan for urgent jobs only starts, of aged jobs, no more than the first share that goes before all others.
#[test]
fn urgent_plan_starts_only_the_first_share_of_aged_jobs() {
    let mut input = fleets::input(11, 40, 0);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut old = fleets::job(&mut rng);
    (old.shape, old.priority, old.arrival, old.need) =
        (Shape::Array, 0, -100.0, fleets::resources_of_gpus(1.0));
    (old.tasks, old.pending, old.spot) = (160, 160, true);
    let mut young = old.clone();
    (young.arrival, young.tasks, young.pending) = (0.0, 5, 5);
    input.jobs = vec![old, young];
    input.aging = plan::AgingThresholds {
        aged_after: 90.0,
        first_of_all_after: 900.0,
    };
    let full = starts(&plan(&input));
    input.min_priority = plan::URGENT;
    let urgent = plan(&input);
    let share = plan::first_share(Shape::Array, 160);
    assert!(full > share + 5, "only {full} starts in a full plan");
    assert!(urgent.starts.iter().all(|start| start.job == 0));
    assert_eq!(starts(&urgent), share);
}
