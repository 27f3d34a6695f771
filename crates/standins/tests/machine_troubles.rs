//! Fault injection for machines, links and reports held for the next leader: each fault has the effect it documents.

use standins::days::{Machines, NextLeader, Trouble, Who};
use standins::scene::{Scene, Timed, array};
use standins::world::{Plan, World};

const NEXT_LEADER_MODES: [NextLeader; 3] = [
    NextLeader::CopyToOne,
    NextLeader::CopyToAll,
    NextLeader::Held,
];

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
fn late_writes_at_once_lose_only_the_response() {
    let mut world = world(1);
    let before = world.state.revision;
    world.bring(&Trouble::LateWrites {
        share: 1.0,
        for_ms: 3000,
        at_once: true,
    });
    world.run_for(3000);
    let hits = world.hits;
    assert!(
        hits.unanswered_writes > 0 && world.state.revision > before,
        "{hits:?}"
    );
    assert_eq!(hits.unanswered_writes, hits.late_writes + hits.late_refused);
    world.run_for(30_000);
    assert_eq!(world.hits, hits);
    assert_rules_kept(&world);
}

/// Late reports are delivered once another leader has begun, not earlier; held reports are delivered to that leader
/// only.
#[test]
fn late_reports_are_delivered_after_a_leader_change() {
    for (next, seed) in NEXT_LEADER_MODES.into_iter().zip(2..) {
        let mut world = world(seed);
        world.bring(&Trouble::LateReports {
            share: 0.3,
            for_ms: 20_000,
            next,
        });
        world.run_for(8000);
        assert_eq!(
            (world.hits.copies, world.hits.held_reports),
            (0, 0),
            "{next:?}"
        );
        world.bring(&Trouble::Crash {
            who: Who::Leader,
            back_ms: 5000,
        });
        world.run_for(12_000);
        let hits = world.hits;
        match next {
            NextLeader::Held => assert!(hits.held_reports > 5 && hits.copies == 0, "{hits:?}"),
            _ => assert!(hits.copies > 5 && hits.held_reports == 0, "{hits:?}"),
        }
        world.run_for(60_000);
        assert_rules_kept(&world);
    }
}

/// `CopyToAll` delivers each copy to all three running nodes, so three times as many copies arrive.
#[test]
fn copy_to_all_delivers_a_copy_to_every_node() {
    let copies = |next| {
        let mut world = world(5);
        world.bring(&Trouble::LateReports {
            share: 0.5,
            for_ms: 5000,
            next,
        });
        world.run_for(5000);
        world.bring(&Trouble::Crash {
            who: Who::Leader,
            back_ms: 100,
        });
        world.run_for(20_000);
        world.hits.copies
    };
    assert_eq!(
        copies(NextLeader::CopyToAll),
        3 * copies(NextLeader::CopyToOne)
    );
}

/// Mute machines lose their leases, but still execute and answer the commands that are sent to them directly.
#[test]
fn mute_machines_execute_commands_and_lose_their_sessions() {
    let mut world = world(6);
    let before = world.sessions_lost();
    world.bring(&Trouble::Mute {
        machines: Machines::Zone("a"),
        ms: 18_000,
    });
    world.run_for(1000);
    let runs_on_mute_machine =
        |w: &World, job: &str| w.machines_of(job).iter().any(|m| w.zone_of(m) == Some("a"));
    let job = (1000..1040)
        .map(|i| format!("job-{i:06}"))
        .find(|job| runs_on_mute_machine(&world, job));
    let job = job.expect("a job runs in zone a");
    world.cancel(&job);
    // Well below a lease.
    world.run_for(8000);
    assert!(!runs_on_mute_machine(&world, &job), "{job}");
    world.run_for(9000);
    let lost = world.sessions_lost() - before;
    assert!(
        world.hits.unsaid > 10 && lost >= 1,
        "{:?} {lost}",
        world.hits
    );
    let sessions = world.sessions();
    world.run_for(40_000);
    // No session is lost once reports arrive again. Machines may be returned and rented meanwhile.
    let later = world.sessions();
    let same = |(m, n): (&String, &u64)| *n == sessions.get(m).copied().unwrap_or(1);
    assert!(later.iter().all(same), "{sessions:?}, then {later:?}");
    assert!(later.keys().filter(|m| sessions.contains_key(*m)).count() * 2 > sessions.len());
    assert_rules_kept(&world);
}

/// Machines that hang for less than a lease keep their sessions and tasks; those that hang for longer lose their
/// sessions.
#[test]
fn machines_that_hang_less_than_a_lease_keep_their_sessions() {
    let mut world = world(7);
    let before = world.sessions_lost();
    world.bring(&Trouble::Hang {
        machines: Machines::Count(3),
        ms: 9000,
    });
    world.run_for(60_000);
    assert_eq!(world.sessions_lost(), before);
    world.bring(&Trouble::Hang {
        machines: Machines::Count(3),
        ms: 18_000,
    });
    world.run_for(25_000);
    assert!(world.sessions_lost() > before);
    assert_rules_kept(&world);
}

/// With quick boots, more machines are up one second after the first one than with usual boots.
#[test]
fn quick_boots_bring_up_more_machines_within_a_second() {
    let boots = |quick: bool| {
        let mut world = World::new(Plan::of_scene(
            8,
            3,
            Scene {
                machines: 12,
                ..one_job_scene()
            },
            0,
            600_000,
        ));
        if quick {
            world.bring(&Trouble::QuickBoots { ms: 60_000 });
        }
        let begun = |w: &World| !w.machines().is_empty();
        while !begun(&world) && world.now() < 1_060_000 {
            world.run_for(100);
        }
        // Counts the machines that boot within the next second.
        let (up, at) = (world.machines().len(), world.now());
        world.run_for(1000);
        (up, world.machines().len(), at)
    };
    let (_, quick, at) = boots(true);
    let (_, usual, later) = boots(false);
    assert!(
        quick > usual && at <= later + 1000,
        "{quick} {usual} {at} {later}"
    );
}

fn one_job_scene() -> Scene {
    let job = Timed {
        at: 1000,
        run_ms: 20_000,
        cancel_ms: None,
        spec: array(1000, "red", 24, 20.0),
    };
    Scene {
        jobs: vec![job],
        ..Scene::default()
    }
    .team("red", 24.0, 0.0)
}

/// Slow links delay messages and cost fewer than twelve sessions; after the fault, no further message is delayed.
#[test]
fn slow_links_end_in_time_and_lose_fewer_than_twelve_sessions() {
    let mut world = world(9);
    let before = world.sessions_lost();
    world.bring(&Trouble::SlowLinks { ms: 20_000 });
    world.run_for(20_000);
    assert!(world.hits.slow > 100, "{:?}", world.hits);
    world.run_for(10_000);
    let slow = world.hits.slow;
    world.run_for(30_000);
    assert_eq!(world.hits.slow, slow);
    assert!(world.sessions_lost() - before < 12);
    assert_rules_kept(&world);
}
