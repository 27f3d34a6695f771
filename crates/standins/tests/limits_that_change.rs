//! The limits of the state service drop without notice: values of 2 KiB instead of 8, and 5 changes per transaction
//! instead of 16. Whether or not the settings announce the new limits, nothing is lost and no write is rejected
//! forever.

use standins::scene::{Scene, Timed, array};
use standins::state::Limits;
use standins::world::asserts::{assert_all_ended, assert_rules_kept};
use standins::world::{Plan, World};
use wire::api::Kind;
use wire::records;

const BEFORE: Limits = Limits {
    rps: 150.0,
    write_rps: 35.0,
    value_kb: 8.0,
    txn_ops: 16,
};
const AFTER: Limits = Limits {
    rps: 150.0,
    write_rps: 24.0,
    value_kb: 2.0,
    txn_ops: 5,
};
/// The smallest limits that the settings accept.
const SMALLEST: Limits = Limits {
    rps: 150.0,
    write_rps: 20.0,
    value_kb: 1.0,
    txn_ops: 4,
};
/// Virtual time from which jobs are submitted, and at which the limits change.
const JOBS_START_MS: u64 = 5000;
const CHANGE_MS: u64 = 20_000;

/// Large arrays and small gangs of two teams with long team and class names; one job in four is cancelled.
fn scene(seed: u64, jobs: u32, next: Option<Limits>) -> Scene {
    let mut rng = fastrand::Rng::with_seed(seed);
    let red = "red-team-of-a-long-name-in-a-large-house";
    let mut scene = Scene {
        machines: 30,
        limits: Some(BEFORE),
        next,
        ..Scene::default()
    }
    .team(red, 20.0, 0.0)
    .team("blue", 20.0, 40.0);
    for i in 0..jobs {
        let tasks = rng.u32(1..60);
        let mut spec = array(1000 + i, [red, "blue"][rng.usize(0..2)], tasks, 4.0);
        spec.class = format!("class-of-a-long-name-{}", rng.u32(0..5));
        if rng.u32(0..3) == 0 {
            (spec.kind, spec.tasks) = (Kind::Gang, rng.u32(1..5));
        }
        scene.jobs.push(Timed {
            at: rng.u64(JOBS_START_MS..JOBS_START_MS + 30_000),
            run_ms: rng.u64(500..6000),
            cancel_ms: (rng.u32(0..4) == 0).then(|| rng.u64(0..20_000)),
            spec,
        });
    }
    scene
}

fn world(seed: u64, nodes: usize, next: Option<Limits>) -> World {
    World::new(Plan::of_scene(
        seed,
        nodes,
        scene(seed, 40, next),
        0,
        900_000,
    ))
}

fn change_limits(world: &mut World, in_ms: u64, limits: Limits) {
    let at = world.now() + in_ms;
    world.state.limits_from.push_back((at, limits));
}

/// Asserts that all accepted jobs end and that no rule is broken.
fn run_and_assert_jobs_end(world: &mut World, what: &str) {
    world.run_for(400_000);
    assert_rules_kept(world, what);
    assert_all_ended(world, what);
}

/// Size of the largest value that was ever written.
fn largest_value(world: &World) -> usize {
    let values = world
        .state
        .history(0)
        .iter()
        .filter_map(|(_, _, v)| v.as_ref());
    values.map(|v| v.to_string().len()).max().unwrap_or(0)
}

/// If the settings announce the coming limits, no value that exceeds them is ever written.
#[test]
fn announced_limits_are_kept_from_the_start() {
    for (next, nodes) in [(AFTER, 3), (SMALLEST, 5)] {
        let mut world = world(1, nodes, Some(next));
        change_limits(&mut world, CHANGE_MS, next);
        let what = format!("{} KiB", next.value_kb);
        run_and_assert_jobs_end(&mut world, &what);
        assert_eq!(world.state.counts.too_large, 0, "{what}");
        assert!(
            largest_value(&world) as f64 <= next.value_kb * 1024.0,
            "{what}"
        );
    }
}

/// The limits change, and the leader crashes at its nth request to the state service after that.
#[test]
fn limits_change_while_the_leader_crashes_at_any_request() {
    for nth in 1..=16 {
        let mut world = world(u64::from(nth), 3, Some(AFTER));
        world.run_for(JOBS_START_MS + 2000 + u64::from(nth) * 700);
        change_limits(&mut world, 0, AFTER);
        if let Some(leader) = world.leader_at() {
            world.dies_asking(leader, nth);
        }
        let what = format!("the {nth}th request");
        run_and_assert_jobs_end(&mut world, &what);
        assert_eq!(world.state.counts.too_large, 0, "{what}");
    }
}

/// The leader crashes after sending a transaction, which arrives before or after the limits change.
#[test]
fn delayed_transaction_of_a_crashed_leader_around_a_limit_change() {
    for (seed, held) in [(1, 0), (2, 150), (3, 4000)] {
        for next in [None, Some(AFTER)] {
            let mut world = world(seed, 3, next);
            world.run_for(JOBS_START_MS + 6000);
            if let Some(leader) = world.leader_at() {
                world.doom(leader, held);
            }
            change_limits(&mut world, 100, AFTER);
            run_and_assert_jobs_end(
                &mut world,
                &format!("held for {held} ms, next {}", next.is_some()),
            );
        }
    }
}

/// If the settings announce no limits, the same leader splits rejected writes again, after a few rejections at most.
#[test]
fn unannounced_limits_are_learned() {
    for seed in 1..=6 {
        let mut world = world(seed, 3, None);
        world.run_for(JOBS_START_MS + 8000);
        let before = world.leader().map(|n| n.node().role_name());
        assert_eq!(before, Some("leader"));
        let token = world.state.keys[records::TOKEN].value.clone();
        change_limits(&mut world, 0, AFTER);
        let what = format!("seed {seed}");
        run_and_assert_jobs_end(&mut world, &what);
        let refused = world.state.counts.too_large;
        assert!(
            (1..=6).contains(&refused),
            "{what}: {refused} requests rejected"
        );
        assert_eq!(
            world.state.keys[records::TOKEN].value,
            token,
            "{what}: the leader changed"
        );
    }
}

/// The limits drop and rise several times, and the leader crashes meanwhile. Controllers must not rely on the larger
/// limits again when these return.
#[test]
fn limits_that_fall_and_rise_repeatedly() {
    for (seed, next) in [(1, None), (2, Some(AFTER)), (3, None), (4, Some(SMALLEST))] {
        let after = next.unwrap_or(AFTER);
        let mut world = world(seed, 3, next);
        for round in 0..4 {
            change_limits(&mut world, JOBS_START_MS + 3000 + round * 12_000, after);
            change_limits(&mut world, JOBS_START_MS + 9000 + round * 12_000, BEFORE);
        }
        world.run_for(JOBS_START_MS + 20_000);
        if let Some(leader) = world.leader_at() {
            world.crash_node(leader);
        }
        run_and_assert_jobs_end(&mut world, &format!("seed {seed}"));
        if next.is_some() {
            assert_eq!(world.state.counts.too_large, 0, "seed {seed}");
        }
    }
}

fn inventory_value_sizes(world: &World) -> Vec<usize> {
    let inventory = world.state.keys.iter();
    let inventory = inventory.filter(|(k, _)| k.starts_with(&records::inventory_prefix(0)));
    inventory.map(|(_, e)| e.value.to_string().len()).collect()
}

/// Jobs for a hundred machines at once, which are returned one after the other as the jobs end.
fn world_of_100_machines(seed: u64) -> World {
    let mut scene = Scene {
        machines: 100,
        limits: Some(BEFORE),
        ..Scene::default()
    }
    .team("red", 0.0, 0.0);
    for i in 0..50 {
        scene.jobs.push(Timed {
            at: JOBS_START_MS,
            run_ms: 30_000 + u64::from(i) * 1000,
            cancel_ms: None,
            spec: array(1000 + i, "red", 8, 30.0),
        });
    }
    World::new(Plan::of_scene(seed, 3, scene, 0, 900_000))
}

/// Inventory shards written under larger limits have to be rewritten as their machines are returned. They must be split
/// into several shards, also when the leader crashes at any request.
#[test]
fn oversized_inventory_shards_are_split_for_announced_limits() {
    let limit = (SMALLEST.value_kb * 1024.0) as usize;
    for nth in 0..=12 {
        let mut world = world_of_100_machines(u64::from(nth) + 1);
        world.run_for(JOBS_START_MS + 25_000);
        let before = inventory_value_sizes(&world);
        assert!(before.iter().any(|r| *r > limit + 256), "{before:?}");
        world.name_next_limits(SMALLEST);
        world.crash_all_for(1000, 300);
        world.run_for(4000);
        change_limits(&mut world, 0, SMALLEST);
        if let Some(leader) = world.leader_at()
            && nth > 0
        {
            world.dies_asking(leader, 6 * nth);
        }
        let what = format!("the {}th request", 6 * nth);
        run_and_assert_jobs_end(&mut world, &what);
        assert_eq!(world.state.counts.too_large, 0, "{what}");
        let spread = inventory_value_sizes(&world);
        assert!(spread.iter().all(|r| *r <= limit), "{what}: {spread:?}");
    }
}

/// The same without announced limits: a rejected split is rolled back as a whole and done again.
#[test]
fn oversized_inventory_shards_are_split_for_learned_limits() {
    for seed in 1..=4 {
        let mut world = world_of_100_machines(seed);
        world.run_for(JOBS_START_MS + 25_000);
        change_limits(&mut world, 0, SMALLEST);
        if seed % 2 == 0
            && let Some(leader) = world.leader_at()
        {
            world.dies_asking(leader, 20 * seed as u32);
        }
        let what = format!("seed {seed}");
        run_and_assert_jobs_end(&mut world, &what);
        let refused = world.state.counts.too_large;
        assert!((1..=12).contains(&refused), "{what}: {refused} refused");
    }
}

/// Nodes whose settings announce new limits read, update and finish records written by nodes without that setting.
#[test]
fn records_written_before_the_limits_were_announced_are_kept() {
    for seed in 1..=5 {
        let mut world = world(seed, 3, None);
        world.run_for(JOBS_START_MS + 10_000);
        let before = largest_value(&world);
        world.name_next_limits(AFTER);
        world.crash_all_for(3000, 500);
        world.run_for(6000);
        change_limits(&mut world, 0, AFTER);
        let what = format!("seed {seed}, records of up to {before} bytes before");
        run_and_assert_jobs_end(&mut world, &what);
        assert_eq!(world.state.counts.too_large, 0, "{what}");
    }
}
