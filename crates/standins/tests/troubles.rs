//! Each kind of fault has the effect it documents: with a fault without effect, every test that uses it would pass.

use standins::days::{Machines, NextLeader, Trouble, Who};
use standins::scene::{Scene, Timed, array};
use standins::world::{Plan, World};

/// Twelve machines and a stream of jobs with 20 s tasks, after the first 30 s.
fn world(seed: u64) -> World {
    let job = |i: u32| Timed {
        at: 1000 + u64::from(i) * 3000,
        run_ms: 20_000,
        cancel_ms: None,
        spec: array(1000 + i, "red", 4, 20.0),
    };
    let scene = Scene {
        jobs: (0..40).map(job).collect(),
        machines: 12,
        ..Scene::default()
    };
    let mut world = World::new(Plan::of_scene(
        seed,
        3,
        scene.team("red", 24.0, 0.0),
        0,
        600_000,
    ));
    world.run_for(30_000);
    world
}

fn assert_rules_kept(world: &World) {
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
}

#[test]
fn late_writes_are_applied_after_newer_ones() {
    let mut world = world(1);
    let before = world.state.counts.txns;
    world.bring(&Trouble::LateWrites {
        share: 0.3,
        for_ms: 30_000,
        at_once: false,
    });
    world.run_for(60_000);
    let (hits, txns) = (world.hits, world.state.counts.txns - before);
    assert!(hits.late_writes > 0 && hits.late_refused > 0, "{hits:?}");
    assert!(
        txns > hits.late_writes + hits.late_refused,
        "{hits:?} of {txns}"
    );
    assert_rules_kept(&world);
    // The fault is over: no further write is late.
    let hits = world.hits;
    world.run_for(30_000);
    assert_eq!(world.hits, hits);
}

/// A late write is applied even if requests of its node are refused meanwhile, but not during an outage.
#[test]
fn late_writes_are_applied_despite_refusals_but_not_during_an_outage() {
    let mut world = world(2);
    world.bring(&Trouble::LateWrites {
        share: 1.0,
        for_ms: 1000,
        at_once: false,
    });
    world.run_for(1000);
    world.bring(&Trouble::Refused {
        who: Who::All,
        ms: 20_000,
    });
    world.bring(&Trouble::StateOut { ms: 14_000 });
    let before = world.state.revision;
    world.run_for(13_900);
    assert_eq!((world.state.revision, world.hits.late_writes), (before, 0));
    world.run_for(500);
    assert!(world.hits.late_writes > 0, "{:?}", world.hits);
    world.run_for(60_000);
    assert_rules_kept(&world);
}

#[test]
fn report_copies_arrive_up_to_two_leases_later() {
    let mut world = world(3);
    world.bring(&Trouble::LateReports {
        share: 0.5,
        for_ms: 10_000,
        next: NextLeader::No,
    });
    world.run_for(10_000);
    let soon = world.hits.copies;
    world.run_for(10_000);
    let later = world.hits.copies;
    world.run_for(25_000);
    assert!(
        soon > 0 && later > soon && world.hits.copies > later,
        "{:?}",
        world.hits
    );
    let all = world.hits.copies;
    world.run_for(30_000);
    assert_eq!(world.hits.copies, all);
    assert_rules_kept(&world);
}

/// Only deaf machines lose their leases.
#[test]
fn deaf_machines_lose_their_leases_and_others_do_not() {
    for (machines, seed) in [
        (Machines::Count(3), 4),
        (Machines::Share(0.25), 5),
        (Machines::Zone("a"), 6),
    ] {
        let mut world = world(seed);
        let before = world.sessions_lost();
        world.bring(&Trouble::Deaf {
            machines,
            ms: 18_000,
        });
        world.run_for(18_000);
        let (hits, lost) = (world.hits, world.sessions_lost() - before);
        assert!(
            hits.unheard_answers > 5 && hits.unheard_commands > 0,
            "{machines:?}: {hits:?}"
        );
        assert!((1..=8).contains(&lost), "{machines:?}: {lost}");
        if machines != Machines::Zone("a") {
            assert_eq!(lost, 3, "{machines:?}");
        }
        world.run_for(40_000);
        assert_eq!(world.sessions_lost() - before, lost, "{machines:?}");
        assert_eq!(world.hits, hits, "{machines:?}");
        assert_rules_kept(&world);
    }
}

/// Another node becomes leader while the old one is cut off from the state service and the other nodes but still
/// reachable for workers and users. No worker lease ends.
#[test]
fn cut_off_leader_is_replaced_and_workers_keep_their_leases() {
    let mut world = world(7);
    let leader = world.leader_at().expect("some node leads");
    let before = world.sessions_lost();
    world.bring(&Trouble::CutOff {
        who: Who::Leader,
        ms: 20_000,
    });
    world.run_for(12_000);
    assert!(
        world.leader_at().is_some_and(|n| n != leader),
        "{:?}",
        world.leader_at()
    );
    world.run_for(40_000);
    assert_eq!(world.sessions_lost(), before);
    assert_rules_kept(&world);
}

/// Faults injected directly act as those of a scenario: `Who::Leader` is the node that leads at that moment.
#[test]
fn leader_faults_hit_the_current_leader() {
    let mut world = world(8);
    let first = world.leader_at().expect("some node leads");
    world.bring(&Trouble::Freeze {
        who: Who::Leader,
        ms: 30_000,
    });
    world.run_for(15_000);
    // The first leader is suspended and still believes that it leads; later faults must hit its successor.
    world.bring(&Trouble::Crash {
        who: Who::Node(first),
        back_ms: 60_000,
    });
    world.run_for(5000);
    let next = world.leader_at().expect("another node leads");
    assert_ne!(next, first);
    world.bring(&Trouble::Refused {
        who: Who::Leader,
        ms: 8000,
    });
    world.run_for(8000);
    assert!(world.leader_at().is_some_and(|n| n != next));
    assert_rules_kept(&world);
}
