//! The state service bears less from some moment on, without notice: values of 2 KiB instead of 8, 5 changes a
//! transaction instead of 16. Named in the settings or not, nothing is lost and nothing is refused for ever.

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
/// The least that settings may name.
const LEAST: Limits = Limits {
    rps: 150.0,
    write_rps: 20.0,
    value_kb: 1.0,
    txn_ops: 4,
};
/// When jobs come, and the limits change, in a world's own time.
const BEGIN: u64 = 5000;
const CHANGE: u64 = 20_000;

/// Wide arrays and gangs of two teams, one in four cancelled, with long names all around.
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
            at: rng.u64(BEGIN..BEGIN + 30_000),
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

fn changes(world: &mut World, in_ms: u64, limits: Limits) {
    let at = world.now() + in_ms;
    world.state.limits_from.push_back((at, limits));
}

/// All that was accepted ends, by the rules.
fn ends(world: &mut World, what: &str) {
    world.run_for(400_000);
    assert_rules_kept(world, what);
    assert_all_ended(world, what);
}

/// The largest record of each kind that was ever written.
fn largest(world: &World) -> usize {
    let values = world
        .state
        .history(0)
        .iter()
        .filter_map(|(_, _, v)| v.as_ref());
    values.map(|v| v.to_string().len()).max().unwrap_or(0)
}

/// Where the settings name the limits to come, nothing is ever written that they would refuse.
#[test]
fn named_limits_are_kept_from_the_start() {
    for (next, nodes) in [(AFTER, 3), (LEAST, 5)] {
        let mut world = world(1, nodes, Some(next));
        changes(&mut world, CHANGE, next);
        let what = format!("{} KiB", next.value_kb);
        ends(&mut world, &what);
        assert_eq!(world.state.counts.too_large, 0, "{what}");
        assert!(largest(&world) as f64 <= next.value_kb * 1024.0, "{what}");
    }
}

/// The change meets each step of each write, and the controller that writes ends at that moment.
#[test]
fn a_change_at_every_step_with_the_leader_ended() {
    for nth in 1..=16 {
        let mut world = world(u64::from(nth), 3, Some(AFTER));
        world.run_for(BEGIN + 2000 + u64::from(nth) * 700);
        changes(&mut world, 0, AFTER);
        if let Some(leader) = world.leader_at() {
            world.dies_asking(leader, nth);
        }
        let what = format!("the {nth}th request");
        ends(&mut world, &what);
        assert_eq!(world.state.counts.too_large, 0, "{what}");
    }
}

/// The leader's transaction lands late, after the change or before it, and its sender has ended.
#[test]
fn a_transaction_that_lands_on_the_other_side_of_the_change() {
    for (seed, held) in [(1, 0), (2, 150), (3, 4000)] {
        for next in [None, Some(AFTER)] {
            let mut world = world(seed, 3, next);
            world.run_for(BEGIN + 6000);
            if let Some(leader) = world.leader_at() {
                world.doom(leader, held);
            }
            changes(&mut world, 100, AFTER);
            ends(
                &mut world,
                &format!("held for {held} ms, next {}", next.is_some()),
            );
        }
    }
}

/// Without a word in the settings: what is refused is cut anew, by the same leader, a few times at most.
#[test]
fn limits_that_nobody_named_are_learned() {
    for seed in 1..=6 {
        let mut world = world(seed, 3, None);
        world.run_for(BEGIN + 8000);
        let before = world.leader().map(|n| n.node().role_name());
        assert_eq!(before, Some("leader"));
        let token = world.state.keys[records::TOKEN].value.clone();
        changes(&mut world, 0, AFTER);
        let what = format!("seed {seed}");
        ends(&mut world, &what);
        let refused = world.state.counts.too_large;
        assert!((1..=6).contains(&refused), "{what}: {refused} refused");
        assert_eq!(
            world.state.keys[records::TOKEN].value,
            token,
            "{what}: the leader stays"
        );
    }
}

/// Limits that fall, rise and fall again while leaders end: nobody trusts the larger ones again.
#[test]
fn limits_that_change_back_and_forth() {
    for (seed, next) in [(1, None), (2, Some(AFTER)), (3, None), (4, Some(LEAST))] {
        let after = next.unwrap_or(AFTER);
        let mut world = world(seed, 3, next);
        for round in 0..4 {
            changes(&mut world, BEGIN + 3000 + round * 12_000, after);
            changes(&mut world, BEGIN + 9000 + round * 12_000, BEFORE);
        }
        world.run_for(BEGIN + 20_000);
        if let Some(leader) = world.leader_at() {
            world.crash_node(leader);
        }
        ends(&mut world, &format!("seed {seed}"));
        if next.is_some() {
            assert_eq!(world.state.counts.too_large, 0, "seed {seed}");
        }
    }
}

fn inventory(world: &World) -> Vec<usize> {
    let inventory = world.state.keys.iter();
    let inventory = inventory.filter(|(k, _)| k.starts_with(&records::inventory_prefix(0)));
    inventory.map(|(_, e)| e.value.to_string().len()).collect()
}

/// Work for a hundred machines at once, which go back one after the other when it is over.
fn crowd(seed: u64) -> World {
    let mut scene = Scene {
        machines: 100,
        limits: Some(BEFORE),
        ..Scene::default()
    }
    .team("red", 0.0, 0.0);
    for i in 0..50 {
        scene.jobs.push(Timed {
            at: BEGIN,
            run_ms: 30_000 + u64::from(i) * 1000,
            cancel_ms: None,
            spec: array(1000 + i, "red", 8, 30.0),
        });
    }
    World::new(Plan::of_scene(seed, 3, scene, 0, 900_000))
}

/// Inventory shards recorded for larger values have to be rewritten as their machines go: they are spread over several, with the
/// leader ended at any step.
#[test]
fn an_inventory_shard_that_was_larger_is_spread() {
    let limit = (LEAST.value_kb * 1024.0) as usize;
    for nth in 0..=12 {
        let mut world = crowd(u64::from(nth) + 1);
        world.run_for(BEGIN + 25_000);
        let before = inventory(&world);
        assert!(before.iter().any(|r| *r > limit + 256), "{before:?}");
        world.name_next_limits(LEAST);
        world.crash_all_for(1000, 300);
        world.run_for(4000);
        changes(&mut world, 0, LEAST);
        if let Some(leader) = world.leader_at()
            && nth > 0
        {
            world.dies_asking(leader, 6 * nth);
        }
        let what = format!("the {}th request", 6 * nth);
        ends(&mut world, &what);
        assert_eq!(world.state.counts.too_large, 0, "{what}");
        let spread = inventory(&world);
        assert!(spread.iter().all(|r| *r <= limit), "{what}: {spread:?}");
    }
}

/// The same where nobody named the limits: a refused spread is undone as a whole, and made anew.
#[test]
fn inventory_shards_are_spread_by_limits_that_were_learned() {
    for seed in 1..=4 {
        let mut world = crowd(seed);
        world.run_for(BEGIN + 25_000);
        changes(&mut world, 0, LEAST);
        if seed % 2 == 0
            && let Some(leader) = world.leader_at()
        {
            world.dies_asking(leader, 20 * seed as u32);
        }
        let what = format!("seed {seed}");
        ends(&mut world, &what);
        let refused = world.state.counts.too_large;
        assert!((1..=12).contains(&refused), "{what}: {refused} refused");
    }
}

/// What was recorded by nodes whose settings named no other limits is read, carried on and ended by those that know.
#[test]
fn records_of_before_are_carried_on() {
    for seed in 1..=5 {
        let mut world = world(seed, 3, None);
        world.run_for(BEGIN + 10_000);
        let before = largest(&world);
        world.name_next_limits(AFTER);
        world.crash_all_for(3000, 500);
        world.run_for(6000);
        changes(&mut world, 0, AFTER);
        let what = format!("seed {seed}, records of up to {before} bytes before");
        ends(&mut world, &what);
        assert_eq!(world.state.counts.too_large, 0, "{what}");
    }
}
