//! Commands to machines, or the responses to their reports, are delivered late.

use standins::links::{Cut, Frontend, How};
use standins::scene::{Scene, Timed, array};
use standins::world::asserts::{assert_all_ended, assert_rules_kept};
use standins::world::{Plan, World};
use wire::api::{JobSpec, Kind, Priority};

const RUN_MS: u64 = 200_000;
/// The time at which the machines are up and idle.
const IDLE_MS: u64 = 40_000;
/// Longer than a cancel may take plus a worker's lease.
const CANCEL_MS: u64 = 60_000;

/// The number of rounds: `rounds`, unless the environment variable `SWEEP` is set.
fn sweep(rounds: u64) -> u64 {
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

/// Idle machines, just before a long job of a few tasks is submitted.
fn idle_world(seed: u64, nodes: usize) -> World {
    let jobs = vec![
        timed(1000, 4000, array(1, "red", 8, 4.0)),
        timed(IDLE_MS, RUN_MS, array(2, "red", 3, 60.0)),
    ];
    let scene = Scene {
        jobs,
        machines: 4,
        ..Scene::default()
    }
    .team("red", 24.0, 0.0);
    let mut world = World::new(Plan::of_scene(seed, nodes, scene, 0, 600_000));
    world.tune("fleet", "idle_s", "1000");
    world.run_for(IDLE_MS - 1);
    assert!(
        world.on_machines().is_empty(),
        "seed {seed}: the first job has not ended"
    );
    world
}

const LONG_JOB: &str = "job-000002";

/// Cancels the long job, and checks that the cancel is confirmed and that no machine runs its tasks in the end.
fn cancel_and_check(world: &mut World, what: &str) {
    world.cancel(LONG_JOB);
    world.run_for(CANCEL_MS);
    assert_rules_kept(world, what);
    assert!(
        world.rules.jobs[LONG_JOB].told_cancelled.is_some(),
        "{what}: the cancel was not confirmed"
    );
    assert_eq!(
        world.machines_of(LONG_JOB),
        Vec::<String>::new(),
        "{what}: tasks are still running"
    );
}

/// A start command is delayed for longer than its sender waits, or nearly as long, and its job is cancelled meanwhile.
/// The task must not keep running when the start arrives after the controllers have dropped it.
#[test]
fn delayed_start_does_not_run_after_its_cancel() {
    for (i, delay_ms) in [300, 900, 1500, 1950, 2050, 2500, 4000, 7000, 12_000]
        .into_iter()
        .enumerate()
    {
        for step in 0..sweep(8) {
            let nodes = [3, 5, 7][step as usize % 3];
            let what =
                format!("{nodes} nodes, held for {delay_ms} ms, cancelled after step {step}");
            let mut world = idle_world(i as u64 * 100 + step, nodes);
            world.hold_commands(1500, delay_ms);
            world.run_for(step * (delay_ms + 1000) / sweep(8));
            cancel_and_check(&mut world, &what);
        }
    }
}

/// A start is sent in the response to a report, since the command was lost, and a stop that is sent to the machine
/// directly overtakes that response. The stop finds no task, and the start arrives after it.
#[test]
fn start_in_a_report_response_that_a_stop_overtakes_is_stopped() {
    for delay_ms in [800, 1600, 2400, 3600] {
        for step in 0..sweep(12) {
            let nodes = [3, 5, 7][step as usize % 3];
            let what = format!("{nodes} nodes, responses {delay_ms} ms late, step {step}");
            let mut world = idle_world(delay_ms + step, nodes);
            let refused = Cut::between(Frontend::Nodes, Frontend::Machines, world.now(), 400);
            world.cut(Cut {
                both: false,
                how: How::Reset,
                ..refused
            });
            world.slow_answers(20_000, delay_ms);
            world.run_for(400 + step * 7000 / sweep(12));
            cancel_and_check(&mut world, &what);
        }
    }
}

/// Short and long arrays and gangs of two teams and all priorities, some of them cancelled, on a fleet that is too
/// small for all of them, so that many tasks are preempted.
fn busy_world(seed: u64, rng: &mut fastrand::Rng, nodes: usize) -> World {
    let job = |i: u32| {
        let kind = if i.is_multiple_of(4) {
            Kind::Gang
        } else {
            Kind::Array
        };
        let priority = [
            Priority::Low,
            Priority::Normal,
            Priority::High,
            Priority::Production,
        ][rng.usize(0..4)];
        let team = if rng.bool() { "red" } else { "blue" };
        let spec = JobSpec {
            kind,
            priority,
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
    World::new(Plan::of_scene(seed, nodes, scene, 0, 600_000))
}

/// Random delays of commands and responses, machines that hang for a time, and leaders that crash or are refused.
#[test]
fn invariants_hold_with_delayed_commands_and_responses() {
    for seed in 0..sweep(12) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = [3, 5, 7][seed as usize % 3];
        let what = format!("{nodes} nodes, seed {seed}");
        let mut world = busy_world(seed, &mut rng, nodes);
        for _ in 0..40 {
            world.run_for(rng.u64(500..5000));
            match rng.u32(0..8) {
                0..3 => world.hold_commands(rng.u64(100..3000), rng.u64(100..14_000)),
                3 | 4 => world.slow_answers(rng.u64(500..6000), rng.u64(200..3900)),
                5 => {
                    let machines = world.machines();
                    if !machines.is_empty() {
                        world.hang(
                            &machines[rng.usize(0..machines.len())],
                            rng.u64(500..20_000),
                        );
                    }
                }
                6 => {
                    world.come_back_after(rng.u64(50..2500));
                    let leader = world.leader_at();
                    leader.into_iter().for_each(|n| world.crash_node(n));
                }
                _ => world.refuse_leader(rng.u64(500..6000)),
            }
        }
        world.run_for(300_000);
        assert_rules_kept(&world, &what);
        assert_all_ended(&world, &what);
    }
}
