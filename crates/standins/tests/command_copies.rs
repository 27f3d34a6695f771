//! Commands that were carried out arrive again, up to minutes later. A worker that has forgotten an attempt would start it
//! anew, on a second machine or after its job was cancelled.

use standins::scene::{Scene, Timed, array};
use standins::world::asserts::{assert_all_ended, assert_rules_kept};
use standins::world::{Plan, SentCommand, World};
use wire::api::{JobSpec, Kind, Priority};

const NODE_COUNTS: [usize; 3] = [3, 5, 7];
/// The time at which the machines are up and idle.
const IDLE_MS: u64 = 40_000;
const RUN_MS: u64 = 60_000;
/// How long copies arrive after the attempt has ended, and how often.
const COPIES_FOR_MS: u64 = 25_000;
const COPY_EVERY_MS: u64 = 130;
const JOB: &str = "job-000002";

/// The number of rounds: the value of the environment variable `SWEEP`, or else `rounds`.
fn rounds_or_env(rounds: u64) -> u64 {
    std::env::var("SWEEP")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(rounds)
}

fn timed(at: u64, run_ms: u64, spec: JobSpec) -> Timed {
    Timed {
        at,
        run_ms,
        cancel_ms: None,
        spec,
    }
}

/// Four idle machines, and a job of three tasks that has just started on some of them.
fn world_with_running_job(seed: u64, nodes: usize, kind: Kind) -> World {
    let job = JobSpec {
        kind,
        ..array(2, "red", 3, 60.0)
    };
    let jobs = vec![
        timed(1000, 4000, array(1, "red", 8, 4.0)),
        timed(IDLE_MS, RUN_MS, job),
    ];
    let scene = Scene {
        jobs,
        machines: 4,
        ..Scene::default()
    }
    .team("red", 24.0, 0.0);
    let mut world = World::new(Plan::of_scene(seed, nodes, scene, 0, 600_000));
    world.tune("fleet", "idle_s", "1000");
    world.record_commands();
    world.run_for(IDLE_MS + 8000);
    assert!(!world.machines_of(JOB).is_empty(), "the job runs");
    world
}

/// What ends an attempt before the copies arrive.
#[derive(Debug, Clone, Copy)]
enum End {
    Failed,
    Cancelled,
    /// The machine loses its lease, and a new agent epoch begins.
    LeaseLost,
}

/// What else happens as the attempt ends.
#[derive(Debug, Clone, Copy)]
enum Restart {
    None,
    Leader,
    Follower,
    All,
}

fn restart(world: &mut World, nodes: usize, which: Restart) {
    world.come_back_after(400);
    let leader = world.leader_at();
    for node in 0..nodes {
        let is_hit = match which {
            Restart::None => false,
            Restart::Leader => leader == Some(node),
            Restart::Follower => leader != Some(node),
            Restart::All => true,
        };
        if is_hit {
            world.crash_node(node);
        }
    }
}

fn end_attempts(world: &mut World, end: End) {
    match end {
        End::Failed => {
            world.fail_task(JOB).expect("a task runs");
        }
        End::Cancelled => world.cancel(JOB),
        End::LeaseLost => {
            let machine = world.machines_of(JOB)[0].clone();
            world.hang(&machine, standins::world::LEASE_MS + 3000);
        }
    }
}

/// Delivers the command again. A command that was carried out must not start anything the second time.
fn repeat_and_check(world: &mut World, command: &SentCommand, what: &str) {
    let before = world.held(&command.machine);
    let status = world.repeat_command(command);
    let is_known =
        |task: &str, attempt: u64| before.iter().any(|(t, a, _)| t == task && *a == attempt);
    let mut after = world.held(&command.machine);
    after.retain(|(task, attempt, _)| !is_known(task, *attempt));
    assert!(
        after.is_empty(),
        "{what}: a command of {} ms to {}, answered and repeated at {} ms ({status:?}), starts {after:?} again",
        command.at,
        command.machine,
        world.now()
    );
}

/// A task has ended, its attempt is reaped and the task runs elsewhere or its job is cancelled; then the start command
/// of the earlier attempt, which was carried out and answered, reaches the first machine again.
#[test]
fn answered_start_command_that_arrives_again_starts_no_task_twice() {
    let mut played = 0;
    for kind in [Kind::Array, Kind::Gang] {
        for end in [End::Failed, End::Cancelled, End::LeaseLost] {
            for which in [
                Restart::None,
                Restart::Leader,
                Restart::Follower,
                Restart::All,
            ] {
                for round in 0..rounds_or_env(1) {
                    let nodes = NODE_COUNTS[played % 3];
                    let what = format!(
                        "{kind:?}, {end:?}, restart of {which:?}, {nodes} nodes, round {round}"
                    );
                    let mut world = world_with_running_job(played as u64, nodes, kind);
                    let starts: Vec<SentCommand> = world.commands().to_vec();
                    assert!(
                        starts.iter().any(|c| c.starts(JOB)),
                        "{what}: direct starts"
                    );
                    end_attempts(&mut world, end);
                    restart(&mut world, nodes, which);
                    let until = world.now() + COPIES_FOR_MS;
                    while world.now() < until {
                        world.run_for(COPY_EVERY_MS);
                        for command in &starts {
                            repeat_and_check(&mut world, command, &what);
                        }
                    }
                    world.run_for(2 * RUN_MS);
                    assert_rules_kept(&world, &what);
                    played += 1;
                }
            }
        }
    }
    assert!(played >= 24, "{played} played");
}

/// The copies arrive once the task runs on another machine, or for longer than a cancellation may take; the rule checkers
/// alone judge.
#[test]
fn late_copy_of_a_start_runs_no_task_on_two_machines_and_no_cancelled_one() {
    for end in [End::Failed, End::Cancelled] {
        for round in 0..rounds_or_env(3) {
            let nodes = NODE_COUNTS[round as usize % 3];
            let what = format!("{end:?}, {nodes} nodes, round {round}");
            let mut world = world_with_running_job(100 + round, nodes, Kind::Array);
            let starts: Vec<SentCommand> = world.commands().to_vec();
            world.cache_images();
            end_attempts(&mut world, end);
            for _ in 0..30 {
                world.run_for(2000);
                for command in &starts {
                    world.repeat_command(command);
                }
            }
            assert_rules_kept(&world, &what);
            if matches!(end, End::Cancelled) {
                assert_eq!(world.machines_of(JOB), Vec::<String>::new(), "{what}");
            }
        }
    }
}

/// Arrays and gangs of two teams and all priorities, some of them cancelled, on a fleet that is too small, so that
/// tasks are preempted and moved.
fn busy_world(seed: u64, rng: &mut fastrand::Rng, nodes: usize) -> World {
    let priorities = [
        Priority::Low,
        Priority::Normal,
        Priority::High,
        Priority::Production,
    ];
    let job = |i: u32| {
        let kind = if i.is_multiple_of(4) {
            Kind::Gang
        } else {
            Kind::Array
        };
        let team = if rng.bool() { "red" } else { "blue" };
        let spec = JobSpec {
            kind,
            priority: priorities[rng.usize(0..4)],
            ..array(1000 + i, team, rng.u32(1..4), 8.0)
        };
        let cancel_ms = i.is_multiple_of(3).then(|| rng.u64(0..20_000));
        Timed {
            at: rng.u64(1000..90_000),
            run_ms: rng.u64(500..25_000),
            cancel_ms,
            spec,
        }
    };
    let scene = Scene {
        jobs: (0..45).map(job).collect(),
        machines: 8,
        ..Scene::default()
    };
    let scene = scene.team("red", 4.0, 6.0).team("blue", 4.0, 0.0);
    let mut world = World::new(Plan::of_scene(seed, nodes, scene, 0, 600_000));
    world.record_commands();
    world
}

/// Commands repeated at random among tasks that fail, finish, are preempted, cancelled and moved, machines that hang, and
/// controllers that come back within a second.
#[test]
fn repeated_commands_start_nothing_under_random_faults() {
    for seed in 0..rounds_or_env(9) {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x636f_7079);
        let nodes = NODE_COUNTS[seed as usize % 3];
        let what = format!("{nodes} nodes, seed {seed}");
        let mut world = busy_world(seed, &mut rng, nodes);
        let mut repeated = 0;
        for _ in 0..400 {
            world.run_for(rng.u64(100..700));
            let commands = world.commands().len();
            for _ in 0..commands.min(4) {
                let command = world.commands()[rng.usize(0..commands)].clone();
                repeat_and_check(&mut world, &command, &what);
                repeated += 1;
            }
            match rng.u32(0..60) {
                0 | 1 => restart(&mut world, nodes, Restart::Leader),
                2 => restart(&mut world, nodes, Restart::All),
                3 => restart(&mut world, nodes, Restart::Follower),
                4 => world.refuse_leader(rng.u64(500..6000)),
                5 => world.hold_commands(rng.u64(100..3000), rng.u64(100..14_000)),
                6 | 7 => {
                    let machines = world.machines();
                    if !machines.is_empty() {
                        let machine = &machines[rng.usize(0..machines.len())];
                        world.hang(machine, rng.u64(500..20_000));
                    }
                }
                8..12 => {
                    let running = world.on_machines();
                    let task = running.first().and_then(|t| wire::ids::parse_task(t));
                    if let Some((job, _)) = task {
                        let job = job.to_owned();
                        world.fail_task(&job);
                    }
                }
                _ => {}
            }
        }
        assert!(repeated > 500, "{what}: {repeated} commands repeated");
        world.run_for(300_000);
        assert_rules_kept(&world, &what);
        assert_all_ended(&world, &what);
    }
}
