//! One-task jobs are submitted at four per second for two minutes, and a quarter of them is cancelled. Bounds the
//! changes in the state service that they cause, and the delay of urgent jobs.

use standins::scene::{Scene, Timed, array};
use standins::state::Limits;
use standins::world::{Plan, World};
use wire::api::{JobSpec, Priority};

/// Limits of the state service.
const STATE_LIMITS: Limits = Limits {
    rps: 100.0,
    write_rps: 25.0,
    value_kb: 8.0,
    txn_ops: 16,
};
const BEGIN_MS: u64 = 20_000;
const FLOOD_MS: u64 = 120_000;
const EVERY_MS: u64 = 250;
const URGENT_EVERY_MS: u64 = 5000;
/// Longest allowed wait of an urgent job, including the fetch of its image.
const URGENT_WAIT_MS: u64 = 8000;

/// The flood of one-task jobs, and an urgent one-task job every five seconds.
fn world_with_job_flood(seed: u64, nodes: usize, machines: usize) -> World {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut jobs = Vec::new();
    for i in 0..FLOOD_MS / EVERY_MS {
        let cancel_ms = (i % 4 == 3).then(|| rng.u64(0..8000));
        let spec = array(1000 + i as u32, "blue", 1, 5.0);
        jobs.push(Timed {
            at: BEGIN_MS + i * EVERY_MS,
            run_ms: rng.u64(2000..8000),
            cancel_ms,
            spec,
        });
    }
    for i in 0..FLOOD_MS / URGENT_EVERY_MS {
        let spec = JobSpec {
            priority: Priority::Production,
            ..array(1 + i as u32, "red", 1, 5.0)
        };
        let at = BEGIN_MS + URGENT_EVERY_MS / 2 + i * URGENT_EVERY_MS;
        jobs.push(Timed {
            at,
            run_ms: 5000,
            cancel_ms: None,
            spec,
        });
    }
    let scene = Scene {
        jobs,
        machines,
        limits: Some(STATE_LIMITS),
        ..Scene::default()
    };
    World::new(Plan::of_scene(
        seed,
        nodes,
        scene.team("red", 4.0, 0.0).team("blue", 0.0, 0.0),
        0,
        600_000,
    ))
}

/// Time that each urgent job waited for its start; a very large value if it never started.
fn urgent_waits(world: &World) -> Vec<u64> {
    let waited = |i: u64| {
        let began = world
            .began
            .get(&format!("job-{:06}/0", 1 + i))
            .copied()
            .unwrap_or(u64::MAX);
        began.saturating_sub(BEGIN_MS + URGENT_EVERY_MS / 2 + i * URGENT_EVERY_MS)
    };
    (0..FLOOD_MS / URGENT_EVERY_MS).map(waited).collect()
}

/// Runs the flood until all jobs end; with `crash`, the leader crashes in the middle of it.
fn run_and_assert(seed: u64, nodes: usize, machines: usize, crash: bool) -> World {
    let what = format!("{nodes} nodes, {machines} machines, leader crashes: {crash}");
    let mut world = world_with_job_flood(seed, nodes, machines);
    world.run_for(BEGIN_MS);
    let before = world.state.counts;
    world.run_for(FLOOD_MS / 2);
    if let Some(leader) = world.leader_at().filter(|_| crash) {
        world.crash_node(leader);
    }
    world.run_for(FLOOD_MS / 2);
    let counts = world.state.counts;
    let changes = counts.changes - before.changes;
    let jobs = FLOOD_MS / EVERY_MS + FLOOD_MS / URGENT_EVERY_MS;
    assert!(
        changes <= 5 * jobs,
        "{what}: {changes} changes for {jobs} jobs"
    );
    assert!(
        counts.too_fast * 50 < counts.requests,
        "{what}: too many rate-limited requests: {counts:?}"
    );
    world.run_for(150_000);
    assert!(
        world.rules.broken.is_empty(),
        "{what}: {:?}",
        world.rules.broken
    );
    assert!(
        world.unfinished().is_empty(),
        "{what}: unfinished jobs: {:?}",
        world.unfinished()
    );
    world
}

#[test]
fn one_task_job_flood_stays_within_five_changes_per_job() {
    for (seed, nodes) in [3, 5].into_iter().enumerate() {
        for crash in [false, true] {
            run_and_assert(seed as u64, nodes, 16, crash);
        }
    }
}

/// With less capacity than the flood requests, urgent jobs still start without delay.
#[test]
fn urgent_jobs_start_within_eight_seconds_during_a_flood() {
    let world = run_and_assert(2, 3, 7, false);
    let waits = urgent_waits(&world);
    assert!(waits.iter().all(|w| *w <= URGENT_WAIT_MS), "{waits:?}");
}
