//! Machine faults combined with leader changes: machines that are mute or hang during a cancellation, machines that
//! boot while writes are late, reports held for the next leader, and repeated leader changes.

use standins::days::{Machines, NextLeader, Trouble, Who};
use standins::scene::{Scene, Timed, array};
use standins::world::{Plan, World};
use wire::api::{JobSpec, Kind};

const NODE_COUNTS: [usize; 3] = [3, 5, 7];
const LEASE_MS: u64 = 15_000;

/// The number of rounds: the value of the environment variable `SWEEP`, or else `rounds`.
fn rounds_or_env(rounds: u64) -> u64 {
    std::env::var("SWEEP")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(rounds)
}

fn world(seed: u64, scene: Scene) -> World {
    let nodes = NODE_COUNTS[seed as usize % NODE_COUNTS.len()];
    World::new(Plan::of_scene(seed, nodes, scene, 0, 600_000))
}

fn run_and_assert_jobs_end(world: &mut World, ms: u64, what: &str) {
    world.run_for(ms);
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
}

/// Arrays and gangs that exceed the limit of their team; every third job is cancelled at 30 s.
fn world_at_team_limit(seed: u64) -> World {
    let job = |i: u32| {
        let kind = if i % 4 == 1 { Kind::Gang } else { Kind::Array };
        let spec = JobSpec {
            kind,
            ..array(100 + i, "red", 2, 30.0)
        };
        let at = 1000 + u64::from(i) * 900;
        let cancel_ms = i
            .is_multiple_of(3)
            .then(|| 30_000u64.saturating_sub(at).max(200));
        Timed {
            at,
            run_ms: 20_000 + u64::from(i) * 1000,
            cancel_ms,
            spec,
        }
    };
    let scene = Scene {
        jobs: (0..12).map(job).collect(),
        machines: 6,
        ..Scene::default()
    };
    world(seed, scene.team("red", 10.0, 10.0))
}

fn leader_change(round: u64) -> Trouble {
    match round % 4 {
        0 => Trouble::Crash {
            who: Who::Leader,
            back_ms: 80,
        },
        1 => Trouble::Crash {
            who: Who::Leader,
            back_ms: 20_000,
        },
        2 => Trouble::Refused {
            who: Who::Leader,
            ms: 6000,
        },
        _ => Trouble::Crash {
            who: Who::All,
            back_ms: 300,
        },
    }
}

/// The team is at its limit while jobs are cancelled whose machines hang or are mute, for less or more than a lease,
/// and the leader changes during the cancellation or soon after. Limits must hold, stops must arrive in time, and free
/// capacity must be noticed.
#[test]
fn limits_hold_when_jobs_on_hung_or_mute_machines_are_cancelled() {
    for round in 0..rounds_or_env(12) {
        let ms = [5000, LEASE_MS - 2000, LEASE_MS + 6000][round as usize / 2 % 3];
        let machines = [
            Machines::Count(3),
            Machines::Zone("a"),
            Machines::Share(1.0),
        ][round as usize / 4 % 3];
        let trouble = match round % 2 {
            0 => Trouble::Hang { machines, ms },
            _ => Trouble::Mute {
                machines,
                ms: ms * 3,
            },
        };
        let what = format!("round {round}: {trouble:?}, {:?}", leader_change(round / 2));
        let mut world = world_at_team_limit(round);
        world.run_for(29_500);
        world.bring(&trouble);
        world.run_for(700 + round * 210);
        world.bring(&leader_change(round / 2));
        run_and_assert_jobs_end(&mut world, 280_000, &what);
    }
}

/// All machines become mute for a long time while they run tasks that take longer than a lease. The tasks must restart
/// on other machines, not repeatedly on machines where they can't end.
#[test]
fn tasks_of_mute_machines_restart_on_other_machines() {
    for round in 0..rounds_or_env(3) {
        let spec = JobSpec {
            checkpoint_s: 0.0,
            ..array(1, "red", 4, 25.0)
        };
        let job = Timed {
            at: 1000,
            run_ms: 25_000,
            cancel_ms: None,
            spec,
        };
        let mut world = world(
            round,
            Scene {
                jobs: vec![job],
                machines: 6,
                ..Scene::default()
            }
            .team("red", 8.0, 0.0),
        );
        let mut waited = 0;
        while world.on_machines().len() < 4 && waited < 60_000 {
            world.run_for(100);
            waited += 100;
        }
        assert_eq!(
            world.on_machines().len(),
            4,
            "round {round}: tasks on machines"
        );
        world.bring(&Trouble::Mute {
            machines: Machines::Share(1.0),
            ms: 400_000,
        });
        if round == 1 {
            world.bring(&Trouble::Crash {
                who: Who::Leader,
                back_ms: 5000,
            });
        }
        // A lease, the time to detect its end, a boot and the task itself.
        run_and_assert_jobs_end(
            &mut world,
            LEASE_MS + 10_000 + 30_000 + 25_000,
            &format!("round {round}"),
        );
    }
}

/// Machines boot within two seconds, some before the rental request is answered, while responses to writes are lost or
/// writes are applied late, and the leader changes meanwhile.
#[test]
fn quickly_booted_machines_are_rented_once_despite_late_writes() {
    let mut applied_late = 0;
    for round in 0..rounds_or_env(9) {
        let job = |i: u32| Timed {
            at: 1000 + u64::from(i) * 2500,
            run_ms: 6000,
            cancel_ms: (i % 4 == 3).then_some(3000),
            spec: array(100 + i, "red", 3, 6.0),
        };
        let scene = Scene {
            jobs: (0..14).map(job).collect(),
            machines: 12,
            ..Scene::default()
        };
        let mut world = world(round, scene.team("red", 8.0, 8.0));
        let what = format!("round {round}");
        world.bring(&Trouble::QuickBoots { ms: 60_000 });
        world.bring(&Trouble::LateWrites {
            share: 0.5,
            for_ms: 40_000,
            at_once: round % 3 != 2,
        });
        for k in 0..8u64 {
            world.run_for(2100 + (round * 370 + k * 510) % 2300);
            if k % 2 == 1 {
                world.bring(&leader_change(round + k / 2));
            }
        }
        run_and_assert_jobs_end(&mut world, 200_000, &what);
        // If all late transactions were rejected, their retries had already been applied.
        let hits = world.hits;
        assert!(hits.late_writes + hits.late_refused > 0, "{what}: {hits:?}");
        applied_late += hits.late_writes;
    }
    assert!(
        applied_late > 20,
        "only {applied_late} late transactions were applied"
    );
}

/// Reports, or copies of them, are delivered to each next leader while machines hang and jobs are cancelled.
#[test]
fn late_reports_to_the_next_leader_break_no_rule() {
    for round in 0..rounds_or_env(9) {
        let next = [
            NextLeader::Held,
            NextLeader::CopyToAll,
            NextLeader::CopyToOne,
        ][round as usize % 3];
        let what = format!("round {round}: {next:?}");
        let mut world = world_at_team_limit(40 + round);
        world.run_for(12_000);
        for k in 0..4u64 {
            world.bring(&Trouble::LateReports {
                share: 0.6,
                for_ms: 9000,
                next,
            });
            world.run_for(4000 + k * 700);
            world.bring(&Trouble::Hang {
                machines: Machines::Count(2),
                ms: 4000 + 4500 * k,
            });
            world.run_for(500 + (round * 230) % 1500);
            world.bring(&leader_change(round + k));
            world.run_for(4000);
        }
        run_and_assert_jobs_end(&mut world, 280_000, &what);
        assert!(
            world.hits.held_reports + world.hits.copies > 0,
            "{what}: {:?}",
            world.hits
        );
    }
}

/// Ten leader changes in two minutes, with an outage of the state service and, in every second round, a time longer
/// than a lease without any controller. Accepted jobs must end, and reading the state back must stay within the limits
/// of the state service.
#[test]
fn jobs_end_after_ten_leader_changes_in_two_minutes() {
    for round in 0..rounds_or_env(4) {
        let what = format!("round {round}");
        let mut world = world_at_team_limit(80 + round);
        world.run_for(8000);
        for k in 0..10u64 {
            world.bring(&leader_change(k + round));
            if k == 4 {
                world.bring(&Trouble::StateOut { ms: 18_000 });
            }
            if k == 7 && round % 2 == 1 {
                world.bring(&Trouble::Crash {
                    who: Who::All,
                    back_ms: LEASE_MS + 4000,
                });
            }
            world.run_for(11_000 + k * 150);
        }
        run_and_assert_jobs_end(&mut world, 280_000, &what);
        assert_eq!(world.state.counts.too_large, 0, "{what}");
    }
}
