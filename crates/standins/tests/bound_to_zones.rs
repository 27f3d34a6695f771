//! Jobs that are bound to one zone lose machines. Tasks that are started again have to go to the zone in which the
//! job's other tasks still are, until those are gone.

use standins::links::{Cut, Frontend};
use standins::scene::{Scene, Timed, array};
use standins::world::{Plan, World};
use wire::api::{JobSpec, Kind};

const JOBS: u32 = 12;

/// Arrays and gangs whose tasks have to share a zone, arrays bound to a named zone, and spread arrays.
fn zone_bound_world(seed: u64, nodes: usize) -> World {
    let job = |i: u32| {
        let base = array(100 + i, "red", 3 + i % 3, 15.0);
        let spec = match i % 4 {
            0 => JobSpec {
                zone: Some(["a", "b"][i as usize / 4 % 2].into()),
                ..base
            },
            1 => JobSpec {
                one_zone: true,
                checkpoint_s: 0.0,
                ..base
            },
            2 => JobSpec {
                one_zone: true,
                kind: Kind::Gang,
                ..base
            },
            _ => JobSpec {
                spread: true,
                checkpoint_s: 0.0,
                ..base
            },
        };
        Timed {
            at: 1000 + u64::from(i) * 1500,
            run_ms: 12_000 + u64::from(i) * 1000,
            cancel_ms: None,
            spec,
        }
    };
    let scene = Scene {
        jobs: (0..JOBS).map(job).collect(),
        machines: 12,
        ..Scene::default()
    };
    World::new(Plan::of_scene(
        seed,
        nodes,
        scene.team("red", 0.0, 0.0),
        0,
        600_000,
    ))
}

/// Loses or hangs a machine with tasks of some job, or cuts off a zone; one time in three the leader crashes as well.
fn inject_fault(world: &mut World, rng: &mut fastrand::Rng) {
    let job = format!("job-{:06}", 100 + rng.u32(0..JOBS));
    let machines = world.machines_of(&job);
    match (rng.u32(0..4), machines.first()) {
        (0 | 1, Some(machine)) => world.lose(machine),
        (2, Some(machine)) => world.hang(machine, rng.u64(3000..14_000)),
        _ => {
            let zone = Frontend::MachinesIn(["a", "b"][rng.usize(0..2)].into());
            world.cut(Cut::between(
                Frontend::Any,
                zone,
                world.now(),
                rng.u64(2000..18_000),
            ));
        }
    }
    if rng.u32(0..3) == 0
        && let Some(leader) = world.leader_at()
    {
        world.crash_node(leader);
    }
}

#[test]
fn replacement_tasks_start_in_the_zone_of_the_remaining_tasks() {
    let rounds = std::env::var("SWEEP")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(12);
    for seed in 0..rounds {
        let nodes = [3, 5, 7][seed as usize % 3];
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = zone_bound_world(seed, nodes);
        world.run_for(12_000);
        for _ in 0..8 {
            inject_fault(&mut world, &mut rng);
            world.run_for(rng.u64(1500..6000));
        }
        world.run_for(240_000);
        assert!(
            world.rules.broken.is_empty(),
            "{nodes} nodes, seed {seed}: {:?}",
            world.rules.broken
        );
        assert!(
            world.unfinished().is_empty(),
            "{nodes} nodes, seed {seed}: {:?}",
            world.unfinished()
        );
    }
}
