//! Partial network partitions, in which some links stay up, combined with machine failures.

use standins::links::{Cut, Frontend, How};
use standins::scene::{Scene, Timed, array};
use standins::world::asserts::{assert_all_ended, assert_rules_kept};
use standins::world::{Plan, World};

/// Twelve machines, fully occupied by long tasks.
fn world(seed: u64, nodes: usize, run_ms: u64) -> World {
    let jobs = (0..6).map(|i| Timed {
        at: 1000,
        run_ms,
        cancel_ms: None,
        spec: array(1000 + i, "red", 4, 60.0),
    });
    let scene = Scene {
        jobs: jobs.collect(),
        machines: 12,
        ..Scene::default()
    }
    .team("red", 24.0, 0.0);
    World::new(plan(seed, nodes, scene))
}

fn plan(seed: u64, nodes: usize, scene: Scene) -> Plan {
    Plan::of_scene(seed, nodes, scene, 0, 600_000)
}

fn zone_of(node: usize) -> &'static str {
    ["a", "b"][node % 2]
}

fn leader(world: &World) -> usize {
    world.leader_at().expect("no node leads the fleet")
}

/// Guards against a leader in a partitioned zone that answers its workers for as long as the partition lasts, while
/// the next leader, outside the zone, confirms cancellations to users. The cloud is out too, so the next leader cannot
/// prove that the tasks have ended. Fails without the bound in `control::leadership::lease_bound`.
#[test]
fn cancelled_tasks_stop_in_time_in_a_partitioned_zone() {
    for nodes in [3, 5, 7] {
        for seed in 0..20 {
            let mut world = world(seed, nodes, 400_000);
            world.run_for(30_000);
            let inside = leader(&world);
            world.cut_off(zone_of(inside), 150_000);
            world.cloud_out(150_000);
            world.run_for(4000 + seed * 1000);
            (1000..1006).for_each(|id| world.cancel(&format!("job-{id:06}")));
            world.run_for(200_000);
            assert_rules_kept(&world, &format!("{nodes} nodes, seed {seed}"));
        }
    }
}

/// As above, with several successive leaders, each of which is partitioned in its turn.
#[test]
fn successive_partitioned_leaders_renew_leases_for_a_bounded_time() {
    for seed in 0..20 {
        let mut world = world(seed, 5, 400_000);
        world.run_for(30_000);
        world.cloud_out(200_000);
        for _ in 0..3 {
            let node = leader(&world);
            // The links between the leader and its workers stay up.
            for frontend in [
                Frontend::State,
                Frontend::Nodes,
                Frontend::Users,
                Frontend::Cloud,
            ] {
                world.cut(Cut::between(
                    Frontend::Node(node),
                    frontend,
                    world.now(),
                    150_000,
                ));
            }
            world.run_for(6000);
        }
        (1000..1006).for_each(|id| world.cancel(&format!("job-{id:06}")));
        world.run_for(200_000);
        assert_rules_kept(&world, &format!("seed {seed}"));
    }
}

/// While the state service answers nobody, no other node can have confirmed a cancellation. The peers attest that, so
/// leases are renewed for as long as the outage lasts.
#[test]
fn state_service_outage_ends_no_leases() {
    for nodes in [1, 3, 5] {
        let mut world = world(1, nodes, 400_000);
        world.run_for(30_000);
        let before = world.sessions_lost();
        world.state_out(120_000);
        world.run_for(130_000);
        assert_eq!(world.sessions_lost(), before, "{nodes} nodes");
        assert_rules_kept(&world, "outage");
    }
}

/// A node that restarted during the outage may have been the leader before it crashed, so its attestation does not
/// count, and leases expire.
#[test]
fn restarted_node_without_state_does_not_extend_leases() {
    let mut world = world(1, 3, 400_000);
    world.run_for(30_000);
    let before = world.sessions_lost();
    world.state_out(120_000);
    let other = (leader(&world) + 1) % 3;
    world.crash_node(other);
    world.run_for(100_000);
    assert!(
        world.sessions_lost() > before,
        "leases were renewed on the attestation of a node that has read no state"
    );
    assert_rules_kept(&world, "outage");
}

/// The old leader reaches its workers and its peers, but not the state service; the next leader reaches neither the
/// machines nor the old leader. The next leader must not give the old one its attestation, since it has confirmed
/// cancellations to users.
#[test]
fn later_leader_does_not_extend_leases_of_an_earlier_one() {
    for seed in 0..10 {
        let mut world = world(seed, 3, 400_000);
        world.run_for(30_000);
        let old_leader = leader(&world);
        world.cloud_out(200_000);
        world.cut(Cut::between(
            Frontend::Node(old_leader),
            Frontend::State,
            world.now(),
            150_000,
        ));
        for other in (0..3).filter(|n| *n != old_leader) {
            let refused = Cut::between(
                Frontend::Node(other),
                Frontend::Node(old_leader),
                world.now(),
                150_000,
            );
            world.cut(Cut {
                both: false,
                how: How::Reset,
                ..refused
            });
            world.cut(Cut::between(
                Frontend::Node(other),
                Frontend::Machines,
                world.now(),
                150_000,
            ));
        }
        world.run_for(8000);
        (1000..1006).for_each(|id| world.cancel(&format!("job-{id:06}")));
        world.run_for(200_000);
        assert_rules_kept(&world, &format!("seed {seed}"));
    }
}

/// Jobs are cancelled just before a state service outage, and the machines are unreachable for the first seconds, in
/// which the leader still has a confirmed lease. The leader renews leases through the outage, and its answers must
/// order those tasks to stop.
#[test]
fn leader_without_state_service_still_stops_cancelled_tasks() {
    for seed in 0..10 {
        let mut world = world(seed, 3, 400_000);
        world.run_for(30_000);
        let refused = Cut::between(Frontend::Nodes, Frontend::Machines, world.now(), 4000);
        // Reset, since a command that is held would be delivered after the cut.
        world.cut(Cut {
            how: How::Reset,
            ..refused
        });
        (1000..1006).for_each(|id| world.cancel(&format!("job-{id:06}")));
        world.run_for(1000);
        world.state_out(120_000);
        world.run_for(130_000);
        let told = world
            .rules
            .jobs
            .values()
            .filter(|j| j.told_cancelled.is_some())
            .count();
        assert!(
            told > 0,
            "seed {seed}: no cancellation was confirmed in time"
        );
        assert_rules_kept(&world, &format!("seed {seed}"));
    }
}

/// A steady load of short tasks, with relaying of reports switched on.
fn world_with_relays(seed: u64, nodes: usize) -> World {
    let job = |i: u32| {
        let spec = array(1000 + i, "red", 6, 8.0);
        Timed {
            at: 1000 + u64::from(i) * 2000,
            run_ms: 8000,
            cancel_ms: None,
            spec,
        }
    };
    let scene = Scene {
        jobs: (0..100).map(job).collect(),
        machines: 12,
        ..Scene::default()
    };
    let mut world = World::new(plan(seed, nodes, scene.team("red", 24.0, 0.0)));
    world.tune("reach", "relays", "1");
    world
}

/// Leaves no node that reaches both: one node loses the machines, all others lose the state service.
fn cut_state_service_or_machines_of_each_node(world: &mut World, nodes: usize, how: How, ms: u64) {
    let without_machines = (leader(world) + 1) % nodes;
    let now = world.now();
    for n in 0..nodes {
        let lost = if n == without_machines {
            Frontend::Machines
        } else {
            Frontend::State
        };
        world.cut(Cut {
            how,
            ..Cut::between(Frontend::Node(n), lost, now, ms)
        });
    }
}

/// Guards against a standstill while no node reaches both the state service and the machines: all tasks were killed
/// when their leases expired, and none was started.
#[test]
fn tasks_start_while_no_node_reaches_both_state_service_and_machines() {
    for nodes in [3, 5, 7] {
        for (seed, how) in [
            (1, How::Hold),
            (2, How::Reset),
            (3, How::Hold),
            (4, How::Reset),
        ] {
            let context = format!("{nodes} nodes, seed {seed}, {how:?}");
            let mut world = world_with_relays(seed, nodes);
            world.run_for(40_000);
            let lost = world.sessions_lost();
            cut_state_service_or_machines_of_each_node(&mut world, nodes, how, 60_000);
            world.run_for(14_000);
            let before = world.rules.starts;
            for second in 0..4 {
                let before = world.rules.starts;
                world.run_for(10_000);
                assert!(
                    world.rules.starts > before,
                    "{context}: no task started in ten seconds, interval {second}"
                );
            }
            assert!(
                world.rules.starts > before + 40,
                "{context}: {} task starts",
                world.rules.starts - before
            );
            assert!(
                world.relayed() > 20,
                "{context}: {} reports relayed",
                world.relayed()
            );
            assert!(
                world.sessions_lost() <= lost + 1,
                "{context}: {} sessions lost to lease expiry",
                world.sessions_lost() - lost
            );
            world.run_for(300_000);
            assert_rules_kept(&world, &context);
            assert_all_ended(&world, &context);
        }
    }
}

fn random_endpoint(rng: &mut fastrand::Rng, nodes: usize) -> Frontend {
    let zone = ["a", "b"][rng.usize(0..2)].to_owned();
    match rng.u32(0..9) {
        0..3 => Frontend::Node(rng.usize(0..nodes)),
        3 => Frontend::Nodes,
        4 => Frontend::State,
        5 => Frontend::Machines,
        6 => Frontend::MachinesIn(zone),
        7 => Frontend::Zone(zone),
        _ => [
            Frontend::Any,
            Frontend::Outside(zone),
            Frontend::Cloud,
            Frontend::Users,
        ][rng.usize(0..4)]
        .clone(),
    }
}

/// A cut of any link, in one direction or both, held or reset, steady or flapping.
fn random_cut(rng: &mut fastrand::Rng, nodes: usize, now: u64) -> Cut {
    let (from, to) = (random_endpoint(rng, nodes), random_endpoint(rng, nodes));
    let flaps = (rng.u32(0..4) == 0).then(|| (rng.u64(1000..8000), rng.u64(1000..8000)));
    let how = [How::Hold, How::Reset][rng.usize(0..2)];
    let cut = Cut::between(from, to, now, rng.u64(1000..60_000));
    Cut {
        both: rng.u32(0..3) > 0,
        how,
        flaps,
        ..cut
    }
}

/// A run with random cuts beside all other faults; every third job is cancelled at a random time.
fn random_faults_world(seed: u64, nodes: usize) -> World {
    let mut rng = fastrand::Rng::with_seed(seed);
    let job = |i: u32| {
        let spec = array(1000 + i, "red", rng.u32(1..6), 8.0);
        let cancel_ms = i.is_multiple_of(3).then(|| rng.u64(0..60_000));
        Timed {
            at: rng.u64(1000..110_000),
            run_ms: rng.u64(1000..60_000),
            cancel_ms,
            spec,
        }
    };
    let scene = Scene {
        jobs: (0..30).map(job).collect(),
        machines: 12,
        ..Scene::default()
    };
    let faults = Plan {
        calm: false,
        faults_until: 120_000,
        ..plan(seed, nodes, scene.team("red", 24.0, 20.0))
    };
    let mut world = World::new(faults);
    for _ in 0..24 {
        world.run_for(5000);
        for _ in 0..rng.usize(0..3) {
            let cut = random_cut(&mut rng, nodes, world.now());
            world.cut(cut);
        }
        // Occasionally several machines fail at once.
        if rng.u32(0..6) == 0 {
            let all = world.machines_of("job-001000");
            all.iter().for_each(|m| world.lose(m));
        }
    }
    world.run_for(500_000);
    world
}

/// Under random cuts and failures no invariant is broken, and after recovery every accepted job ends.
#[test]
fn invariants_hold_under_random_partitions() {
    let mut relayed = 0;
    for (nodes, seeds) in [(3, 0..60), (5, 100..130), (7, 200..220)] {
        for seed in seeds {
            let world = random_faults_world(seed, nodes);
            let context = format!("{nodes} nodes, seed {seed}");
            assert_rules_kept(&world, &context);
            assert_all_ended(&world, &context);
            relayed += world.relayed();
        }
    }
    assert!(relayed > 100, "only {relayed} reports were relayed");
}

/// Guards against leases that expire after fifteen seconds in a zone that is partitioned as a whole, though a
/// controller in the zone could renew them.
#[test]
fn lease_delegation_keeps_tasks_running_through_a_partition() {
    for nodes in [3, 5, 7] {
        for seed in 0..5 {
            let context = format!("{nodes} nodes, seed {seed}");
            let mut world = world(seed, nodes, 400_000);
            world.run_for(30_000);
            let zone = zone_of(leader(&world) + 1);
            let lost = world.sessions_lost();
            world.cut_off(zone, 27_000);
            world.run_for(45_000);
            assert_eq!(world.sessions_lost(), lost, "{context}");
            assert_eq!(
                (world.on_machines().len(), world.rules.starts),
                (24, 24),
                "{context}: tasks were lost or restarted"
            );
            assert_rules_kept(&world, &context);
        }
    }
}

/// Tasks that the leader outside the zone cancels, before or during the partition, do not run in the zone for longer
/// than the cancellation bound.
#[test]
fn lease_delegation_does_not_prolong_cancelled_tasks() {
    for nodes in [3, 5, 7] {
        for seed in 0..20u64 {
            let mut world = world(seed, nodes, 400_000);
            world.run_for(30_000);
            let zone = zone_of(leader(&world) + 1);
            // Half of the jobs are cancelled just before the partition, with commands reset so that no stop arrives;
            // the others during it.
            let machines = Cut::between(
                Frontend::Any,
                Frontend::MachinesIn(zone.into()),
                world.now(),
                5500,
            );
            world.cut(Cut {
                how: How::Reset,
                ..machines
            });
            (1000..1003).for_each(|id| world.cancel(&format!("job-{id:06}")));
            world.run_for(5500);
            world.cut_off(zone, 150_000);
            world.cloud_out(150_000);
            world.run_for(seed * 1500);
            (1003..1006).for_each(|id| world.cancel(&format!("job-{id:06}")));
            world.run_for(200_000);
            assert_rules_kept(&world, &format!("{nodes} nodes, seed {seed}"));
        }
    }
}

/// Guards against returning healthy machines. While most workers had switched to reporting through a peer, some were
/// still late. Their zone no longer counted as partitioned and the leader could not reach them itself, so hundreds of
/// healthy machines were returned with their tasks.
#[test]
fn machines_switching_to_a_peer_are_not_returned() {
    let job = |i: u32| {
        let spec = array(1000 + i, "red", 100, 30.0);
        Timed {
            at: 1000 + u64::from(i) * 2000,
            run_ms: 30_000,
            cancel_ms: None,
            spec,
        }
    };
    let scene = Scene {
        jobs: (0..40).map(job).collect(),
        machines: 600,
        ..Scene::default()
    };
    let mut world = World::new(Plan {
        large: true,
        ..plan(5, 3, scene.team("red", 2000.0, 0.0))
    });
    world.run_for(50_000);
    let node = leader(&world);
    world.cut(Cut::between(
        Frontend::Node(node),
        Frontend::Machines,
        world.now(),
        40_000,
    ));
    world.run_for(60_000);
    assert!(world.relayed() > 100, "{} reports relayed", world.relayed());
    assert_eq!(world.lost, 0, "tasks were on machines that were returned");
    assert_rules_kept(&world, "leader without workers");
}
