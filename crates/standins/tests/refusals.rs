//! The state service is slow, or refuses the leader and then all nodes, or the leader is cut off from the state service
//! and the other controllers, while users submit, cancel and poll at every node throughout the fault.
//!
//! In addition to the rules, responses to users are compared with the contents of the state service at that moment.

use standins::days::{Trouble, Who};
use standins::links::{Frontend, How};
use standins::scene::{Scene, Timed, array};
use standins::world::asserts::{assert_all_ended, assert_rules_kept};
use standins::world::{Plan, World};

/// Numbers of jobs that run for more than a minute, most of which are cancelled, and of short jobs that arrive
/// steadily and end.
const LONG_JOBS: u32 = 12;
const SHORT_JOBS: u32 = 60;
/// When faults start.
const FAULTS_START_MS: u64 = 30_000;

fn long_job_id(i: u32) -> String {
    format!("job-{:06}", 1000 + i)
}

fn world(seed: u64, nodes: usize) -> World {
    let long = (0..LONG_JOBS).map(|i| Timed {
        at: 1000,
        run_ms: 90_000,
        cancel_ms: None,
        spec: array(1000 + i, "red", 1, 90.0),
    });
    let short = (0..SHORT_JOBS).map(|i| Timed {
        at: 20_000 + u64::from(i) * 400,
        run_ms: 1000,
        cancel_ms: None,
        spec: array(2000 + i, "red", 1, 1.0),
    });
    let scene = Scene {
        jobs: long.chain(short).collect(),
        machines: 12,
        ..Scene::default()
    };
    World::new(Plan::of_scene(
        seed,
        nodes,
        scene.team("red", 24.0, 0.0),
        0,
        600_000,
    ))
}

fn leader(world: &World) -> usize {
    world.leader_at().expect("a node leads the fleet")
}

/// Cancels the long jobs one by one at the given interval, each at another node, and polls all jobs cancelled so far
/// at the nodes in turn.
fn cancel_and_poll(world: &mut World, nodes: usize, interval_ms: u64) {
    for i in 0..LONG_JOBS {
        world.cancel_at(i as usize % nodes, &long_job_id(i));
        for j in 0..=i {
            world.poll_at((i + j) as usize % nodes, &long_job_id(j));
        }
        world.run_for(interval_ms);
    }
}

/// After the faults, checks that every node reports the recorded state of each job, that all polls were answered and
/// that all accepted jobs ended.
fn assert_all_told_and_ended(world: &mut World, what: &str) {
    world.run_for(20_000);
    assert_rules_kept(world, what);
    let unanswered = world.unanswered_for(75_000);
    assert!(
        unanswered.is_empty(),
        "{what}: no responses about {unanswered:?}"
    );
    world.ask_everywhere();
    world.run_for(200_000);
    assert_rules_kept(world, what);
    assert_all_ended(world, what);
    let told_cancelled = world
        .rules
        .jobs
        .values()
        .filter(|j| j.told_cancelled.is_some())
        .count();
    assert!(
        told_cancelled * 2 > LONG_JOBS as usize,
        "{what}: only {told_cancelled} jobs were reported as cancelled"
    );
}

/// The state service refuses only the leader, the next one confirms, then an outage lasts longer than `cancel_s`.
/// Cancels and polls cover the time from before the refusal to the outage in steps of a few hundredths of a second.
#[test]
fn cancels_are_answered_across_a_refused_leader_and_an_outage() {
    for nodes in [3, 5, 7] {
        for step in 0..9 {
            let what = format!("{nodes} nodes, step {step}");
            let mut world = world(step, nodes);
            world.run_for(FAULTS_START_MS - 100 + step * 23);
            let started_at = world.now();
            let interval_ms = [40, 160, 420][step as usize / 2 % 3];
            if step % 2 == 0 {
                world.bring(&Trouble::Refused {
                    who: Who::Leader,
                    ms: 14_000,
                });
                cancel_and_poll(&mut world, nodes, interval_ms);
            } else {
                // The refusal starts while cancels are in progress.
                let leader = leader(&world);
                world.bring(&Trouble::StateSlow { ms: 4000 });
                world.run_for(interval_ms);
                (0..3).for_each(|i| world.cancel_at(i as usize % nodes, &long_job_id(i)));
                world.run_for(step * 3);
                world.bring(&Trouble::Refused {
                    who: Who::Node(leader),
                    ms: 14_000,
                });
                cancel_and_poll(&mut world, nodes, interval_ms);
            }
            world.run_for((started_at + 2000 + step * 300).saturating_sub(world.now()));
            world.bring(&Trouble::StateOut { ms: 45_000 });
            cancel_and_poll(&mut world, nodes, interval_ms);
            world.run_for(50_000);
            assert_all_told_and_ended(&mut world, &what);
        }
    }
}

/// Responses of the state service take up to half a second, and the leader is refused, freezes or crashes while it
/// waits for them, so that they arrive after its lease has expired.
#[test]
fn slow_state_responses_after_the_lease_expired_break_no_rule() {
    for nodes in [3, 5, 7] {
        for step in 0..9u64 {
            let what = format!("{nodes} nodes, step {step}");
            let mut world = world(100 + step, nodes);
            world.run_for(FAULTS_START_MS);
            world.bring(&Trouble::StateSlow { ms: 40_000 });
            for round in 0..4u32 {
                world.run_for(2000);
                let old_leader = leader_or_node(&world, 0);
                (0..3).for_each(|i| world.cancel_at(old_leader, &long_job_id(round * 3 + i)));
                // Depending on the step, the fault comes before the cancel is recorded, before the response, or later.
                world.run_for(step * 31);
                let who = Who::Node(old_leader);
                world.bring(&match (step + u64::from(round)) % 3 {
                    0 => Trouble::Freeze {
                        who,
                        ms: 1700 + step * 90,
                    },
                    1 => Trouble::Refused { who, ms: 3000 },
                    _ => Trouble::Crash {
                        who,
                        back_ms: 50 + step * 40,
                    },
                });
                for i in 0..(round + 1) * 3 {
                    world.poll_at(old_leader, &long_job_id(i));
                    world.poll_at((old_leader + 1) % nodes, &long_job_id(i));
                }
            }
            world.run_for(10_000);
            assert_all_told_and_ended(&mut world, &what);
        }
    }
}

fn leader_or_node(world: &World, node: usize) -> usize {
    world.leader_at().unwrap_or(node)
}

/// A leader is cut off from the state service and the other controllers but not from its workers and users, and its
/// last transaction never commits. The next leader cancels the jobs that it considered done. Guards against a fault in
/// which the old leader, once reconnected, reported its own uncommitted end of a job.
#[test]
fn isolated_leader_with_an_uncommitted_job_end_breaks_no_rule() {
    for nodes in [3, 5, 7] {
        for step in 0..8u64 {
            let what = format!("{nodes} nodes, step {step}");
            let mut world = world(200 + step, nodes);
            world.run_for(FAULTS_START_MS + step * 17);
            let old_leader = leader(&world);
            let ms = 7000 + step * 61;
            let how = [How::Reset, How::Hold][usize::from(step % 4 == 3)];
            for from in [Frontend::State, Frontend::Nodes] {
                world.bring(&Trouble::Cut {
                    who: Who::Node(old_leader),
                    from,
                    how,
                    ms,
                });
            }
            // Short jobs end at the old leader while its lease is valid, and its users cancel some jobs.
            world.run_for(600 + step * 20);
            for i in 0..4 {
                world.cancel_at(old_leader, &long_job_id(i));
            }
            world.run_for(4200);
            // All jobs that have not ended for the next leader are cancelled at the other nodes, in turn.
            let unfinished: Vec<String> =
                world.unfinished().into_iter().map(str::to_owned).collect();
            for (i, job) in unfinished.iter().enumerate() {
                world.cancel_at((old_leader + 1 + i % (nodes - 1)) % nodes, job);
            }
            (0..LONG_JOBS).for_each(|i| world.poll_at(old_leader, &long_job_id(i)));
            world.run_for(ms);
            assert_all_told_and_ended(&mut world, &what);
        }
    }
}

/// The other nodes reach the state service but not the leader, for which responses of the state service are slow.
/// Guards against a fault in which the leader still reported a job as running after another node had read its end from
/// the state service and reported it.
#[test]
fn leader_does_not_contradict_job_ends_reported_by_followers() {
    for nodes in [3, 5, 7] {
        for seed in 0..3u64 {
            let what = format!("{nodes} nodes, seed {seed}");
            let mut world = world(400 + seed, nodes);
            world.run_for(FAULTS_START_MS);
            let leader = leader(&world);
            world.bring(&Trouble::Cut {
                who: Who::Node(leader),
                from: Frontend::Nodes,
                how: How::Reset,
                ms: 9000,
            });
            world.bring(&Trouble::StateSlow { ms: 9000 });
            for i in 0..LONG_JOBS {
                world.cancel_at(leader, &long_job_id(i));
                for _ in 0..8 {
                    world.poll_at((leader + 1) % nodes, &long_job_id(i));
                    world.run_for(60 + seed * 7);
                    world.poll_at(leader, &long_job_id(i));
                }
            }
            assert_all_told_and_ended(&mut world, &what);
        }
    }
}

/// An isolated leader is asked to cancel a job that ends under the next leader a moment later, and its own record is
/// never committed. Guards against a fault in which the old leader, with some timings of its return, took the other
/// leader's record for its own and reported a cancel.
#[test]
fn uncommitted_job_end_is_never_reported() {
    for nodes in [3, 5, 7] {
        for seed in 0..12u64 {
            let what = format!("{nodes} nodes, seed {seed}");
            let timed = |at, run_ms, id| Timed {
                at,
                run_ms,
                cancel_ms: None,
                spec: array(id, "red", 1, 3.0),
            };
            let mut jobs = vec![timed(1000, 45_000, 1000), timed(1000, 45_000, 1001)];
            jobs.push(timed(28_000, 2500 + seed * 30, 2000));
            let scene = Scene {
                jobs,
                machines: 12,
                ..Scene::default()
            }
            .team("red", 24.0, 0.0);
            let mut world = World::new(Plan::of_scene(seed, nodes, scene, 0, 600_000));
            world.run_for(FAULTS_START_MS);
            let old_leader = leader(&world);
            for from in [
                Frontend::State,
                Frontend::Nodes,
                Frontend::Machines,
                Frontend::Cloud,
            ] {
                world.bring(&Trouble::Cut {
                    who: Who::Node(old_leader),
                    from,
                    how: How::Reset,
                    ms: 9000 + seed * 11,
                });
            }
            world.cancel_at(old_leader, "job-002000");
            world.run_for(9000 + seed * 11);
            for _ in 0..20 {
                world.poll_at(old_leader, "job-002000");
                world.run_for(50);
            }
            world.ask_everywhere();
            world.run_for(40_000);
            assert_rules_kept(&world, &what);
            assert_all_ended(&world, &what);
        }
    }
}

/// The leader is isolated for longer than a user may go without a response: users that are connected to the isolated
/// node must be answered too.
#[test]
fn users_of_an_isolated_leader_are_answered() {
    for (nodes, ms) in [(3, 30_000), (5, 60_000), (7, 95_000)] {
        let what = format!("{nodes} nodes, {ms} ms");
        let mut world = world(300, nodes);
        world.run_for(FAULTS_START_MS);
        world.bring(&Trouble::CutOff {
            who: Who::Leader,
            ms,
        });
        cancel_and_poll(&mut world, nodes, 900);
        world.run_for(ms);
        assert_all_told_and_ended(&mut world, &what);
    }
}
