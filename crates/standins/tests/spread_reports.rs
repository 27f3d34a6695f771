//! Reports of a large fleet, which followers relay to the leader.

use standins::links::{Cut, Frontend, How};
use standins::scene::{Scene, Timed, array};
use standins::world::asserts::{assert_all_ended, assert_rules_kept};
use standins::world::{Plan, World};

const MACHINES: usize = 12;
/// Time after which every worker has been redirected to its controller.
const SETTLED_MS: u64 = 60_000;
const NODE_COUNTS: [usize; 3] = [2, 3, 5];

/// A fleet that is busy throughout the test. Followers relay its reports if it has more than `direct_machines`
/// machines.
fn world(seed: u64, nodes: usize, direct_machines: &str) -> World {
    let jobs = (0..6).map(|i| Timed {
        at: 1000,
        run_ms: 400_000,
        cancel_ms: None,
        spec: array(1000 + i, "red", 4, 60.0),
    });
    let scene = Scene {
        jobs: jobs.collect(),
        machines: MACHINES,
        ..Scene::default()
    };
    let plan = Plan::of_scene(seed, nodes, scene.team("red", 24.0, 0.0), 0, 600_000);
    let mut world = World::new(plan);
    world.tune("reach", "direct_machines", direct_machines);
    world
}

fn relayed_in(world: &mut World, ms: u64) -> u64 {
    let before = world.relayed();
    world.run_for(ms);
    world.relayed().saturating_sub(before)
}

#[test]
fn large_fleet_reports_through_followers() {
    for nodes in NODE_COUNTS {
        let mut world = world(1, nodes, "3");
        world.run_for(SETTLED_MS);
        let starts = world.rules.starts;
        // Workers report at least every seven seconds.
        let relayed = relayed_in(&mut world, 70_000);
        assert!(
            relayed >= 10 * MACHINES as u64,
            "{nodes} nodes: {relayed} reports"
        );
        assert_eq!(world.sessions_lost(), 0, "{nodes} nodes");
        assert_eq!(world.rules.starts, starts, "{nodes} nodes: tasks were lost");
        assert_rules_kept(&world, "spread");
    }
}

#[test]
fn small_fleet_reports_to_the_leader_directly() {
    let mut world = world(1, 3, "2000");
    world.run_for(SETTLED_MS);
    assert_eq!(relayed_in(&mut world, 60_000), 0);
}

/// After a leader crash, the next leader must not receive the reports of the whole fleet directly; after a follower
/// crash, its workers must report through another controller.
#[test]
fn crash_of_any_controller_ends_no_worker_lease() {
    for nodes in [3, 5] {
        for seed in 0..6 {
            let what = format!("{nodes} nodes, seed {seed}");
            let mut world = world(seed, nodes, "3");
            world.run_for(SETTLED_MS);
            let leader = world.leader_at().expect("some node leads");
            let crashed = match seed % 2 {
                0 => leader,
                _ => (leader + 1) % nodes,
            };
            world.crash_node(crashed);
            world.run_for(SETTLED_MS);
            let relayed = relayed_in(&mut world, 70_000);
            assert!(relayed >= 8 * MACHINES as u64, "{what}: {relayed} reports");
            assert_eq!(world.sessions_lost(), 0, "{what}");
            assert_rules_kept(&world, &what);
        }
    }
}

/// Workers that can't reach the follower they were redirected to return to the leader and stay with it, except that one
/// worker of a zone is redirected again from time to time. If all were redirected again each time, all their leases
/// would end.
#[test]
fn workers_that_cannot_reach_their_follower_stay_with_the_leader() {
    const CUT_MS: u64 = 250_000;
    /// Time after which all workers have found the leader.
    const LEADER_FOUND_MS: u64 = 40_000;
    for how in [How::Hold, How::Reset] {
        let mut world = world(1, 3, "3");
        world.run_for(SETTLED_MS);
        let leader = world.leader_at().expect("some node leads");
        for node in (0..3).filter(|node| *node != leader) {
            world.cut(Cut {
                how,
                ..Cut::between(
                    Frontend::Machines,
                    Frontend::Node(node),
                    world.now(),
                    CUT_MS,
                )
            });
        }
        world.run_for(LEADER_FOUND_MS);
        let before = world.rules.starts;
        world.run_for(CUT_MS - LEADER_FOUND_MS);
        assert_eq!(world.rules.starts, before, "{how:?}: tasks were lost");
        assert_eq!(world.on_machines().len(), 24, "{how:?}: tasks don't run");
        world.run_for(100_000);
        assert!(
            relayed_in(&mut world, 50_000) > 0,
            "{how:?}: nothing is relayed after the cut"
        );
        assert_rules_kept(&world, &format!("{how:?}"));
    }
}

/// With random links cut at random times and crashes of controllers and machines, no rule is broken and all jobs end.
#[test]
fn rules_hold_for_random_faults_with_relayed_reports() {
    for nodes in NODE_COUNTS {
        for seed in 0..12 {
            let what = format!("{nodes} nodes, seed {seed}");
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut world = world_with_random_faults(&mut rng, seed, nodes);
            for _ in 0..20 {
                world.run_for(6000);
                let (from, to) = (
                    random_frontend(&mut rng, nodes),
                    random_frontend(&mut rng, nodes),
                );
                let how = [How::Hold, How::Reset][rng.usize(0..2)];
                let cut = Cut::between(from, to, world.now(), rng.u64(1000..30_000));
                world.cut(Cut { how, ..cut });
                if rng.u32(0..8) == 0 {
                    let node = rng.usize(0..nodes);
                    world.crash_node(node);
                }
            }
            world.run_for(400_000);
            assert_rules_kept(&world, &what);
            assert!(world.relayed() > 0, "{what}: nothing was relayed");
            assert_all_ended(&world, &what);
        }
    }
}

fn world_with_random_faults(rng: &mut fastrand::Rng, seed: u64, nodes: usize) -> World {
    let job = |i: u32| Timed {
        at: rng.u64(1000..110_000),
        run_ms: rng.u64(1000..40_000),
        cancel_ms: i.is_multiple_of(3).then(|| rng.u64(0..60_000)),
        spec: array(1000 + i, "red", rng.u32(1..6), 8.0),
    };
    let scene = Scene {
        jobs: (0..24).map(job).collect(),
        machines: MACHINES,
        ..Scene::default()
    };
    let plan = Plan {
        calm: false,
        faults_until: 120_000,
        ..Plan::of_scene(seed, nodes, scene.team("red", 24.0, 20.0), 120_000, 600_000)
    };
    let mut world = World::new(plan);
    world.tune("reach", "direct_machines", "2");
    world
}

fn random_frontend(rng: &mut fastrand::Rng, nodes: usize) -> Frontend {
    match rng.u32(0..5) {
        0 | 1 => Frontend::Node(rng.usize(0..nodes)),
        2 => Frontend::State,
        3 => Frontend::Machines,
        _ => Frontend::MachinesIn(["a", "b"][rng.usize(0..2)].to_owned()),
    }
}
