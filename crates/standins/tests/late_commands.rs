//! Commands to machines, or the answers to their reports, come late, and the machines then go on.

use standins::links::{Cut, Frontend, How};
use standins::scene::{Scene, Timed, array};
use standins::world::asserts::{assert_all_ended, assert_rules_kept};
use standins::world::{Plan, World};
use wire::api::{JobSpec, Kind, Priority};

const RUN_MS: u64 = 200_000;
/// When the machines are there and hold nothing.
const IDLE_MS: u64 = 40_000;
/// Longer than a cancel may take, and a worker's lease beside it.
const CANCEL_MS: u64 = 60_000;

/// So many rounds, or as many as `SWEEP` says.
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

/// Machines that stand idle, and then one long job of a few tasks.
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
        "seed {seed}: the first job is over"
    );
    world
}

const LONG_JOB: &str = "job-000002";

/// Cancels the long job, and looks whether it stays away.
fn cancel_and_check(world: &mut World, what: &str) {
    world.cancel(LONG_JOB);
    world.run_for(CANCEL_MS);
    assert_rules_kept(world, what);
    assert!(
        world.rules.jobs[LONG_JOB].told_cancelled.is_some(),
        "{what}: nobody was told"
    );
    assert_eq!(
        world.machines_of(LONG_JOB),
        Vec::<String>::new(),
        "{what}: still there"
    );
}

/// A start is on its way for longer than its sender waits, or nearly as long, and its job is cancelled meanwhile. It
/// must not begin when the start arrives and nobody knows of it any more.
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

/// A start stands in the answer to a report, since a command was lost, and that answer is on its way when a stop comes
/// straight to the machine. The stop finds nothing, and the start follows.
#[test]
fn start_in_a_report_response_that_a_stop_overtakes_is_stopped() {
    for delay_ms in [800, 1600, 2400, 3600] {
        for step in 0..sweep(12) {
            let nodes = [3, 5, 7][step as usize % 3];
            let what = format!("{nodes} nodes, answers {delay_ms} ms late, step {step}");
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

/// Short and long arrays and gangs of two teams and all urgencies, some of them cancelled, on a fleet that is too small
/// for all: much is stopped for room.
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

/// Any commands and answers held for any time, machines that hang and go on, and leaders that end in between.
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
