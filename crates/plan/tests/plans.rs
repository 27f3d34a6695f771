//! Plans of random fleets: no machine is overcommitted, limits and placement constraints hold, the stretch is minimal.
//! Then single cases of preemption, advance reservations, nested quotas and scale-out.

mod defaults;

use plan::{
    Group, Input, Job, Machine, MachineOffer, RentalRequest, Resources, Running, ScaleOutInput,
    Shape, SizedJob, Team, Tenant, plan, scale_out, smallest_stretch,
};
use proptest::prelude::*;

/// A tenant; counties above 1 share no machine with others.
fn tenant_of(county: u16) -> Tenant {
    Tenant {
        county,
        is_isolated: county > 1,
    }
}

fn res(cores: f64, gpus: f64, mem: f64) -> Resources {
    Resources { cores, gpus, mem }
}

prop_compose! {
    fn machine()(kind in 0u16..2, zone in 0u16..2, spot: bool, usable in prop::bool::weighted(0.9),
                 running in prop::collection::vec((1u32..4, 0.0f64..60.0, 0u8..3, any::<bool>(), prop::option::of(0u32..3), 0u16..3), 0..3),
                 images in prop::collection::vec(0u32..3, 0..2)) -> Machine {
        let total = res(32.0, f64::from(kind + 1) * 4.0, 128.0);
         let running = running.into_iter().map(|(g, expected_end, priority, beyond, gang, county)| Running { need: res(2.0 * f64::from(g), f64::from(g), 8.0), expected_end, priority, lost_on_preemption: 5.0, is_preemptible: gang.is_none(), team: 1, guarantee_levels: u8::from(!beyond), gang, tenant: tenant_of(county), ..defaults::running() }).collect();
        let mut m = Machine { machine_type: kind, zone, spot, usable, usable_at: 20.0, total, running, images, ..defaults::machine() };
        while m.free().gpus < 0.0 {
            m.running.pop();
        }
        m
    }
}

prop_compose! {
    fn job()(shape in 0u8..3, priority in 0u8..4, arrival in -100.0f64..0.0, estimate in 1.0f64..100.0,
             tasks in 1u32..12, gpus in 1u32..5, machine_types in 1u64..4, zone in prop::option::of(0u16..2),
             flags in (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>()), image in 0u32..3, team in 0u16..2, county in 0u16..4,
             allowed_zones in prop::collection::vec(0u16..2, 0..2)) -> Job {
        let shape = [Shape::Array, Shape::Gang, Shape::Service][shape as usize];
        Job { shape, priority, arrival, estimate, tasks, pending: tasks, need: res(4.0, f64::from(gpus), 16.0), machine_types, zone, one_zone: flags.0, spread: flags.1 && !flags.0, spot: flags.2, image, image_gb: 4.0, team, is_within_guarantee: flags.3, guarantee_levels: u8::from(flags.3), tenant: tenant_of(county), allowed_zones, ..defaults::job() }
    }
}

prop_compose! {
    fn input()(machines in prop::collection::vec(machine(), 0..8), jobs in prop::collection::vec(job(), 0..10),
               limit in 1.0f64..30.0, online_factor in 1.0f64..3.0) -> Input {
        let team = |max| Team { gpus_max: max, ..defaults::team() };
        Input { machines, jobs, teams: vec![team(limit), team(f64::INFINITY)], online_factor, patience: 2.0, max_steps: u64::MAX / 4, ..Input::default() }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn plans_are_feasible(input in input()) {
        let out = plan(&input);
        let mut free: Vec<Resources> = input.machines.iter().map(Machine::free).collect();
        let mut used = vec![0.0; input.teams.len()];
        let mut started = vec![0u32; input.jobs.len()];
        let mut zones = vec![[0u32; 2]; input.jobs.len()];
        for s in &out.starts {
            let (j, m) = (&input.jobs[s.job as usize], &input.machines[s.machine as usize]);
            prop_assert!(m.usable && j.machine_types >> m.machine_type & 1 == 1);
            prop_assert!(j.zone.is_none_or(|z| z == m.zone) && (j.spot || !m.spot));
            prop_assert!(j.allowed_zones.is_empty() || j.allowed_zones.contains(&m.zone), "outside the zones of its county");
            let there = m.running.iter().map(|r| r.tenant);
            let with = out.starts.iter().filter(|o| o.machine == s.machine).map(|o| input.jobs[o.job as usize].tenant);
            prop_assert!(!there.chain(with).any(|t| t.conflicts_with(&j.tenant)), "two counties on a machine");
            free[s.machine as usize].add(&j.need, -f64::from(s.count));
            used[j.team as usize] += j.need.gpus * f64::from(s.count);
            started[s.job as usize] += s.count;
            zones[s.job as usize][m.zone as usize] += s.count;
        }
        for f in &free {
            prop_assert!(f.cores > -1e-6 && f.gpus > -1e-6 && f.mem > -1e-6, "a machine is overcommitted: {f:?}");
        }
        for (u, t) in used.iter().zip(&input.teams) {
            prop_assert!(*u <= t.gpus_max + 1e-6, "a team is over its limit");
        }
        for ((j, n), z) in input.jobs.iter().zip(&started).zip(&zones) {
            prop_assert!(*n <= j.pending);
            prop_assert!(j.shape != Shape::Gang || *n == 0 || *n == j.pending, "part of a gang was started");
            prop_assert!(!j.one_zone || z[0] == 0 || z[1] == 0, "tasks that must share a zone are in two");
            prop_assert!(!j.spread || z[0].max(z[1]) <= j.tasks.div_ceil(2), "more than half of a spread job in one zone");
        }
        // Only tasks of lower priority are preempted, or tasks beyond a guarantee for a job within one.
        for p in &out.preempts {
            let victim = &input.machines[p.machine as usize].running[p.task as usize];
            let waits = |j: &Job| victim.priority < j.priority || (j.is_within_guarantee && victim.guarantee_levels == 0 && j.team != victim.team);
            prop_assert!(victim.gang.is_none() && out.waiting.iter().any(|(j, _)| waits(&input.jobs[*j as usize])));
        }
        // Gangs are preempted only for a guarantee of another team.
        for g in &out.preempted_gangs {
            let mut of_it = input.machines.iter().flat_map(|m| &m.running).filter(|r| r.gang == Some(*g));
            prop_assert!(of_it.any(|r| r.guarantee_levels == 0 && r.team == 1));
            prop_assert!(out.waiting.iter().any(|(j, _)| input.jobs[*j as usize].is_within_guarantee && input.jobs[*j as usize].team == 0));
        }
    }

    /// A single array starts all tasks that fit.
    #[test]
    fn array_fills_free_capacity(tasks in 1u32..20, n in 1usize..6) {
        let total = res(32.0, 4.0, 128.0);
        let machine = Machine { usable_at: 0.0, total, slots: 50, ..defaults::machine() };
        let job = Job { shape: Shape::Array, priority: 1, arrival: 0.0, estimate: 10.0, tasks, pending: tasks, need: res(1.0, 1.0, 1.0), image_gb: 1.0, ..defaults::job() };
        let team = unlimited_team(&[]);
        let input = Input { machines: vec![machine; n], jobs: vec![job], teams: vec![team], online_factor: 1.0, patience: 1.0, max_steps: u64::MAX / 4, ..Input::default() };
        let out = plan(&input);
        let started: u32 = out.starts.iter().map(|s| s.count).sum();
        prop_assert_eq!(started, tasks.min(4 * n as u32));
    }

    /// Checks the search against the definition in the paper: at S all deadlines leave time for the work before them,
    /// and a little below S some do not.
    #[test]
    fn stretch_is_minimal(jobs in prop::collection::vec((0.0f64..100.0, 1.0f64..50.0, 1.0f64..9.0), 1..12)) {
        let jobs: Vec<SizedJob> = jobs.into_iter()
            .map(|(age, work, m)| SizedJob { arrival: -age, work, remaining: work / m, min_run_time: 0.5f64.min(work / m) }).collect();
        let holds = |s: f64| {
            let mut by_due: Vec<&SizedJob> = jobs.iter().collect();
            by_due.sort_by(|a, b| (a.arrival + a.work * s).total_cmp(&(b.arrival + b.work * s)));
            let mut sum = 0.0;
            by_due.iter().all(|j| { sum += j.remaining; sum.max(j.min_run_time) <= j.arrival + j.work * s + 1e-6 })
        };
        let mut steps = 0;
        let s = smallest_stretch(&jobs, &mut steps);
        prop_assert!(holds(s));
        prop_assert!(!holds(s * 0.97 - 1e-3) || s < 1e-6, "{s} is not the smallest");
        prop_assert!(steps <= 64 * jobs.len() as u64);
    }
}

/// A machine filled by one task of this priority.
fn busy(zone: u16, lost_on_preemption: f64, priority: u8) -> Machine {
    let need = res(8.0, 4.0, 8.0);
    let running = Running {
        need,
        expected_end: 90.0,
        priority,
        lost_on_preemption,
        is_preemptible: true,
        team: 1,
        guarantee_levels: 1,
        ..defaults::running()
    };
    Machine {
        zone,
        usable_at: 0.0,
        total: res(32.0, 4.0, 128.0),
        running: vec![running],
        slots: 10,
        ..defaults::machine()
    }
}

/// A gang of priority 2 each of whose tasks fills a machine.
fn gang(tasks: u32, one_zone: bool) -> Job {
    Job {
        shape: Shape::Gang,
        priority: 2,
        arrival: -5.0,
        estimate: 50.0,
        tasks,
        pending: tasks,
        need: res(8.0, 4.0, 8.0),
        one_zone,
        image_gb: 1.0,
        ..defaults::job()
    }
}

fn unlimited_team(path: &[u16]) -> Team {
    let groups = path.to_vec();
    Team {
        groups,
        ..defaults::team()
    }
}

fn input_of(machines: Vec<Machine>, jobs: Vec<Job>) -> Input {
    let team = unlimited_team(&[]);
    Input {
        machines,
        jobs,
        teams: vec![team],
        online_factor: 1.0,
        patience: 3.0,
        max_steps: u64::MAX / 4,
        ..Input::default()
    }
}

/// A gang that fits nowhere preempts the tasks with the least lost work, and only those of lower priority.
#[test]
fn gang_preempts_lower_priority_tasks_with_the_least_loss() {
    let mut input = input_of(
        vec![busy(0, 40.0, 0), busy(0, 10.0, 0), busy(0, 1.0, 2)],
        vec![gang(1, false)],
    );
    let out = plan(&input);
    assert_eq!(
        out.preempts,
        vec![plan::Preempt {
            machine: 1,
            task: 0
        }]
    );
    // While a task is being stopped, no other is preempted for the same gang.
    input.machines[1].running[0].is_stopping = true;
    assert!(plan(&input).preempts.is_empty());
}

/// Guards against preemption for single tasks only: gangs of four then waited up to two minutes.
#[test]
fn preemption_frees_capacity_for_all_tasks_of_a_gang() {
    let lost = [40.0, 10.0, 30.0, 20.0, 50.0];
    let machines = lost
        .iter()
        .zip([0, 1, 0, 1, 0])
        .map(|(l, z)| busy(z, *l, 0))
        .collect();
    let mut input = input_of(machines, vec![gang(2, false)]);
    let preempted_machines = |input: &Input| {
        let mut machines: Vec<u32> = plan(input).preempts.iter().map(|p| p.machine).collect();
        machines.sort_unstable();
        machines
    };
    assert_eq!(
        preempted_machines(&input),
        [1, 3],
        "where the least is lost"
    );
    input.jobs = vec![gang(3, true)];
    assert_eq!(preempted_machines(&input), [0, 2, 4], "three in one zone");
    input.jobs = vec![gang(4, true)];
    assert!(
        preempted_machines(&input).is_empty(),
        "nothing is stopped in vain"
    );
    // Two gangs do not get the same machines.
    input.jobs = vec![gang(2, false), gang(2, false)];
    assert_eq!(preempted_machines(&input), [0, 1, 2, 3]);
}

fn offer(zone: u16, price: f64) -> MachineOffer {
    let total = res(32.0, 4.0, 128.0);
    MachineOffer {
        machine_type: 0,
        zone,
        spot: false,
        total,
        price,
        boot: 40.0,
        fetch_gb_per_s: 1.0,
    }
}

/// Guards against renting without end in one zone for a gang that must be spread over two.
#[test]
fn machines_for_spread_jobs_are_rented_in_several_zones() {
    let offers = [offer(0, 1.0), offer(1, 2.0)];
    let rentals = |job: Job| {
        let input = input_of(vec![], vec![job]);
        let output = plan(&input);
        let (input, output) = (&input, &output);
        scale_out(&ScaleOutInput {
            input,
            output,
            offers: &offers,
            booting: &[],
            horizon: 100.0,
            max_machines: 100,
        })
    };
    let spread = Job {
        spread: true,
        ..gang(5, false)
    };
    assert_eq!(
        rentals(gang(5, false)),
        [RentalRequest { offer: 0, count: 5 }],
        "where it is cheapest"
    );
    assert_eq!(
        rentals(spread.clone()),
        [
            RentalRequest { offer: 0, count: 3 },
            RentalRequest { offer: 1, count: 2 }
        ]
    );
    assert!(
        rentals(Job {
            zone: Some(0),
            ..spread
        })
        .is_empty(),
        "what can never start is not rented for"
    );
}

/// The steps of a plan are bounded whatever is pending: here 3000 gangs that need preemption and an array of 100,000
/// tasks. Jobs of higher priority still start first.
#[test]
fn steps_of_a_plan_are_bounded() {
    let mut machines: Vec<Machine> = (0..1000).map(|i| busy(i % 2, f64::from(i), 0)).collect();
    machines.extend((0..3u16).map(|z| Machine {
        running: vec![],
        ..busy(z % 2, 0.0, 0)
    }));
    let array = Job {
        shape: Shape::Array,
        priority: 0,
        tasks: 100_000,
        pending: 100_000,
        ..gang(1, false)
    };
    let mut jobs = vec![array];
    // Each has its own image, so that no two are equivalent and share results.
    jobs.extend((0..3000).map(|i| Job {
        image: i,
        ..gang(2, i % 2 == 0)
    }));
    let mut input = input_of(machines, jobs);
    let all = plan(&input).steps;
    input.max_steps = 200_000;
    let out = plan(&input);
    let one_job = 4 * input.machines.len() as u64 + 2 * 40 * input.jobs.len() as u64;
    assert!(
        all > 10 * input.max_steps,
        "the case takes only {all} steps: it does not test the limit"
    );
    assert!(
        out.steps <= 2 * input.max_steps + one_job,
        "{} steps",
        out.steps
    );
    assert!(out.starts.iter().any(|s| s.job > 0), "no gang was started");
}

/// Guards against starvation of wide gangs: smaller jobs took all capacity as it became free, for as long as any came.
#[test]
fn wide_gang_reserves_the_earliest_future_capacity() {
    let mut machines = vec![busy(0, 5.0, 2), busy(0, 5.0, 2), busy(0, 5.0, 2)];
    machines[0].running.clear();
    machines[1].running[0].expected_end = 30.0;
    for (estimate, may) in [(20.0, true), (50.0, false)] {
        let wide = Job {
            deadline: Some(1.0),
            ..gang(2, true)
        };
        // Submitted later, so served later.
        let small = Job {
            arrival: 0.0,
            estimate,
            image_gb: 0.0,
            ..gang(1, true)
        };
        let array = Job {
            shape: Shape::Array,
            ..small.clone()
        };
        for other in [small, array] {
            let out = plan(&input_of(machines.clone(), vec![wide.clone(), other]));
            let started: Vec<u32> = out.starts.iter().map(|s| s.job).collect();
            assert_eq!(
                started,
                if may { vec![1] } else { vec![] },
                "estimate {estimate}"
            );
            assert!(
                out.reserved_machines.contains(&0)
                    && out.reserved_machines.contains(&1)
                    && !out.reserved_machines.contains(&2)
            );
        }
    }
}

/// A machine with a task beyond its team's guarantee, of the same priority as the gang that needs the machine.
fn machine_over_guarantee(zone: u16, gang: Option<u32>) -> Machine {
    let mut m = busy(zone, 0.0, 2);
    m.running[0].guarantee_levels = 0;
    m.running[0].gang = gang;
    m
}

/// Guards against guaranteed gangs that wait for tasks that other teams run beyond their guarantees.
#[test]
fn tasks_beyond_a_guarantee_are_preempted_for_a_guaranteed_gang() {
    let wide = Job {
        is_within_guarantee: true,
        guarantee_levels: 1,
        ..gang(2, true)
    };
    // One zone has tasks that may be preempted one by one, the other a gang of three that is preempted as a whole.
    let machines = vec![
        machine_over_guarantee(0, None),
        machine_over_guarantee(0, None),
        machine_over_guarantee(1, Some(7)),
        machine_over_guarantee(1, Some(7)),
        machine_over_guarantee(1, Some(7)),
    ];
    let out = plan(&input_of(machines.clone(), vec![wide.clone()]));
    let stopped: Vec<u32> = out.preempts.iter().map(|p| p.machine).collect();
    assert_eq!((stopped, out.preempted_gangs.len()), (vec![0, 1], 0));
    assert!(out.reserved_machines.contains(&0) && out.reserved_machines.contains(&1));
    // If only the gang can free enough capacity, it is preempted as a whole.
    let out = plan(&input_of(machines[1..].to_vec(), vec![wide.clone()]));
    assert_eq!((out.preempts.len(), out.preempted_gangs), (0, vec![7]));
    // Nothing is preempted for a gang that is not covered in time, from its own team, or if tasks are being stopped.
    let late = Job {
        is_within_guarantee: false,
        ..wide.clone()
    };
    let own = Job {
        team: 1,
        ..wide.clone()
    };
    let mut input = input_of(machines.clone(), vec![late]);
    input.teams.push(input.teams[0].clone());
    let mut leaving = input.clone();
    for m in &mut leaving.machines {
        (m.running[0].is_stopping, m.running[0].expected_end) = (true, 1.0);
    }
    leaving.jobs = vec![wide];
    let owned = Input {
        jobs: vec![own],
        ..input.clone()
    };
    for input in [input, owned, leaving] {
        let out = plan(&input);
        assert!(out.preempts.is_empty() && out.preempted_gangs.is_empty());
    }
}

/// Guards against capacity going back to the gang that was preempted for a guarantee: its deadline is earlier, so it
/// was served first.
#[test]
fn preempted_gang_does_not_retake_capacity_freed_for_a_guarantee() {
    let machines: Vec<Machine> = (0..2)
        .map(|_| Machine {
            running: vec![],
            ..busy(0, 0.0, 0)
        })
        .collect();
    let stopped = Job {
        arrival: -300.0,
        deadline: Some(1.0),
        team: 1,
        ..gang(2, true)
    };
    let guaranteed = Job {
        is_within_guarantee: true,
        guarantee_levels: 1,
        deadline: Some(60.0),
        ..gang(2, true)
    };
    let mut input = input_of(machines, vec![stopped, guaranteed]);
    input.teams.push(input.teams[0].clone());
    assert!(plan(&input).starts.iter().all(|s| s.job == 1));
}

/// A quota tree: group 0 has the groups 1, with teams 0 and 1, and 2, with team 2; group 3 has team 3.
fn nested_quotas(machines: Vec<Machine>, jobs: Vec<Job>) -> Input {
    let paths: [&[u16]; 4] = [&[0, 1], &[0, 1], &[0, 2], &[3]];
    let none = res(f64::INFINITY, f64::INFINITY, f64::INFINITY);
    Input {
        teams: paths.iter().map(|p| unlimited_team(p)).collect(),
        groups: vec![
            Group {
                used: res(0.0, 0.0, 0.0),
                max: none,
                preempts_excess: true
            };
            4
        ],
        ..input_of(machines, jobs)
    }
}

/// A machine filled by one task of this team that so many levels of guarantees cover.
fn machine_with_task(team: u16, held: u8, lost: f64) -> Machine {
    let mut m = busy(0, lost, 2);
    (m.running[0].team, m.running[0].guarantee_levels) = (team, held);
    m
}

/// Borrowers within the same group are preempted first, whatever the cost, then those of the next group, then those
/// elsewhere; never a task that a guarantee covers at the level where the teams part.
#[test]
fn borrowers_nearest_in_the_tree_are_preempted_first() {
    let wide = Job {
        is_within_guarantee: true,
        guarantee_levels: 3,
        ..gang(1, false)
    };
    let all = [
        machine_with_task(3, 0, 1.0),
        machine_with_task(2, 1, 5.0),
        machine_with_task(1, 2, 50.0),
        machine_with_task(1, 3, 0.0),
        machine_with_task(2, 2, 0.0),
        machine_with_task(3, 1, 0.0),
    ];
    for (gone, expected) in [(0, Some(2)), (1, Some(1)), (2, Some(0)), (3, None)] {
        // Without the nearest borrowers, the next ones are preempted.
        let mut machines = all.to_vec();
        for k in 0..gone {
            machines[2 - k].running[0].guarantee_levels = 3;
        }
        let out = plan(&nested_quotas(machines, vec![wide.clone()]));
        let stopped: Vec<u32> = out.preempts.iter().map(|p| p.machine).collect();
        assert_eq!(stopped, Vec::from_iter(expected), "without {gone}");
    }
    // A job that only the guarantee of the topmost group covers has no claim on teams below that group.
    let lent = Job {
        guarantee_levels: 1,
        ..wide
    };
    let out = plan(&nested_quotas(all.to_vec(), vec![lent]));
    assert_eq!(
        out.preempts.iter().map(|p| p.machine).collect::<Vec<_>>(),
        [0]
    );
}

/// A guaranteed array preempts one borrower for each of its pending tasks, no more, and none for capacity that is being
/// freed already.
#[test]
fn guaranteed_array_preempts_one_borrower_per_pending_task() {
    let array = Job {
        shape: Shape::Array,
        is_within_guarantee: true,
        guarantee_levels: 3,
        image_gb: 0.0,
        ..gang(2, false)
    };
    let mut machines: Vec<Machine> = (0..4)
        .map(|i| machine_with_task(1, 0, f64::from(i)))
        .collect();
    let out = plan(&nested_quotas(machines.clone(), vec![array.clone()]));
    assert_eq!(
        out.preempts.iter().map(|p| p.machine).collect::<Vec<_>>(),
        [0, 1]
    );
    machines[0].running[0].is_stopping = true;
    machines[1].running[0].is_stopping = true;
    assert_eq!(
        plan(&nested_quotas(machines.clone(), vec![array.clone()])).preempts,
        []
    );
    // Without nested quotas, nothing is preempted for the guarantee of an array.
    let mut flat = input_of(
        machines,
        vec![Job {
            guarantee_levels: 1,
            team: 0,
            ..array
        }],
    );
    flat.teams = vec![unlimited_team(&[]), unlimited_team(&[])];
    assert_eq!(plan(&flat).preempts, []);
}

/// Guards against preempting back and forth: urgent jobs of a team beyond its guarantee preempted tasks within the
/// guarantees of others, which were preempted back at once.
#[test]
fn urgent_borrower_does_not_preempt_guaranteed_tasks() {
    let urgent = Job {
        priority: 3,
        team: 1,
        ..gang(1, false)
    };
    let held = machine_with_task(0, 3, 0.0);
    assert_eq!(
        plan(&nested_quotas(vec![held.clone()], vec![urgent.clone()])).preempts,
        []
    );
    let own = Job {
        is_within_guarantee: true,
        guarantee_levels: 3,
        ..urgent.clone()
    };
    assert_eq!(
        plan(&nested_quotas(vec![held], vec![own])).preempts.len(),
        1,
        "within its own guarantee it may"
    );
    // A job that a guarantee covers is placed first, whatever its priority.
    let free = Machine {
        running: vec![],
        ..busy(0, 0.0, 0)
    };
    let modest = Job {
        is_within_guarantee: true,
        guarantee_levels: 3,
        priority: 0,
        ..gang(1, false)
    };
    assert_eq!(
        plan(&nested_quotas(vec![free], vec![urgent, modest]))
            .starts
            .iter()
            .map(|s| s.job)
            .collect::<Vec<_>>(),
        [1]
    );
}

/// Nothing starts above a group's limit. Tasks above a lowered limit are preempted: no more than the excess, those with
/// the fewest levels of guarantees first, and only if the group's policy says so.
#[test]
fn group_limits_are_enforced_down_to_the_excess() {
    let free = Machine {
        running: vec![],
        ..busy(0, 0.0, 0)
    };
    let jobs = vec![
        gang(1, false),
        Job {
            team: 2,
            ..gang(1, false)
        },
    ];
    let mut input = nested_quotas(vec![free; 3], jobs);
    input.groups[0].max = res(1e9, 4.0, 1e9);
    assert_eq!(
        plan(&input).starts.len(),
        1,
        "the limit of group 0 allows one"
    );
    let machines = vec![
        machine_with_task(0, 3, 9.0),
        machine_with_task(1, 1, 3.0),
        machine_with_task(1, 1, 2.0),
        machine_with_task(2, 0, 9.0),
        machine_with_task(3, 0, 0.0),
    ];
    let mut input = nested_quotas(machines, vec![]);
    input.groups[0].used = res(32.0, 16.0, 32.0);
    input.groups[1].used = res(24.0, 12.0, 24.0);
    input.groups[0].max = res(1e9, 8.0, 1e9);
    input.groups[1].max = res(1e9, 8.0, 1e9);
    let stopped = |input: &Input| {
        plan(input)
            .preempts
            .iter()
            .map(|p| p.machine)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        stopped(&input),
        [2, 3],
        "one below group 1, then one more below group 0"
    );
    input.machines[2].running[0].is_stopping = true;
    assert_eq!(
        stopped(&input),
        [3],
        "a task that is being stopped counts as gone"
    );
    input
        .groups
        .iter_mut()
        .for_each(|g| g.preempts_excess = false);
    assert_eq!(stopped(&input), [] as [u32; 0]);
}
