//! Leadership moves to another controller and back, then all controllers crash and one restarts, within seconds.
//! Meanwhile users cancel jobs and poll them, and much later they submit the jobs again, at all nodes.

use standins::days::{Trouble, Who};
use standins::links::{Cut, Frontend, How};
use standins::scene::{Scene, Timed, array};
use standins::world::asserts::{assert_all_ended, assert_rules_kept};
use standins::world::{Plan, World};
use std::collections::BTreeMap;

const LONG_JOBS: u32 = 12;
const START_MS: u64 = 30_000;
/// After this time, all faults are over.
const SETTLE_MS: u64 = 20_000;

fn long_job(i: u32) -> String {
    format!("job-{:06}", 1000 + i)
}

fn world(seed: u64, nodes: usize) -> World {
    let long_jobs = (0..LONG_JOBS).map(|i| Timed {
        at: 1000,
        run_ms: 60_000,
        cancel_ms: None,
        spec: array(1000 + i, "red", 1, 60.0),
    });
    let short_jobs = (0..50).map(|i| Timed {
        at: 20_000 + u64::from(i) * 500,
        run_ms: 1000,
        cancel_ms: (i % 5 == 0).then_some(700),
        spec: array(2000 + i, "red", 1, 1.0),
    });
    let scene = Scene {
        jobs: long_jobs.chain(short_jobs).collect(),
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

/// The token and the incarnation of the leader record.
fn leader_record(world: &World) -> Option<(u64, u64)> {
    let rec = &world.state.keys.get("sys/owner/0")?.value;
    Some((rec["token"].as_u64()?, rec["life"].as_u64()?))
}

/// The tokens of all leader records seen, each with its incarnation. No token may be used by two incarnations or follow
/// a higher one.
#[derive(Default)]
struct TokensSeen(BTreeMap<u64, u64>);

impl TokensSeen {
    fn run_for(&mut self, world: &mut World, ms: u64, what: &str) {
        let end = world.now() + ms;
        let mut step = 10;
        while world.now() + step <= end {
            let before = world.now();
            world.run_for(step);
            // There was no event yet.
            step = if world.now() == before { step + 10 } else { 10 };
            let Some((token, incarnation)) = leader_record(world) else {
                continue;
            };
            let highest = self.0.last_key_value().map_or(0, |(token, _)| *token);
            assert!(token >= highest, "{what}: token {token} after {highest}");
            assert_eq!(
                *self.0.entry(token).or_insert(incarnation),
                incarnation,
                "{what}: two incarnations with token {token}"
            );
        }
    }
}

/// Users who cancel the long jobs one by one, and poll those that were cancelled before at different nodes.
struct Users {
    nodes: usize,
    next: u32,
}

impl Users {
    fn cancel_and_poll(&mut self, world: &mut World) {
        if self.next < LONG_JOBS {
            world.cancel_at(self.next as usize % self.nodes, &long_job(self.next));
            self.next += 1;
        }
        for i in 0..self.next {
            world.poll_at((self.next + i) as usize % self.nodes, &long_job(i));
        }
    }
}

fn assert_ends(world: &mut World, what: &str) {
    world.run_for(SETTLE_MS);
    assert_rules_kept(world, what);
    let unanswered = world.unanswered_for(15_000);
    assert!(
        unanswered.is_empty(),
        "{what}: no responses about {unanswered:?}"
    );
    // Much later, each job is polled and submitted again at every node.
    world.ask_everywhere();
    world.run_for(150_000);
    assert_rules_kept(world, what);
    assert_all_ended(world, what);
}

/// A refusal by the state service moves leadership, another one moves it back, then all nodes crash within a fraction
/// of a second and one restarts at once, the others later. The times between these events differ from step to step.
#[test]
fn leadership_moves_and_returns_then_all_crash_and_one_restarts() {
    for nodes in [3, 5, 7] {
        for step in 0..12u64 {
            let what = format!("{nodes} nodes, step {step}");
            let mut world = world(step, nodes);
            let (mut users, mut tokens) = (Users { nodes, next: 0 }, TokensSeen::default());
            world.run_for(START_MS + step * 7);
            let first = world.leader_at().expect("a node leads the fleet");
            world.bring(&Trouble::Refused {
                who: Who::Node(first),
                ms: 2600 + step * 20,
            });
            users.cancel_and_poll(&mut world);
            tokens.run_for(&mut world, 1500 + step * 90, &what);
            users.cancel_and_poll(&mut world);
            tokens.run_for(&mut world, 600, &what);
            let second = world.leader_at().unwrap_or((first + 1) % nodes);
            // Leadership moves back: all but the first are refused until the second one's lease has expired.
            for n in (0..nodes).filter(|n| *n != first) {
                world.bring(&Trouble::Refused {
                    who: Who::Node(n),
                    ms: 2800,
                });
            }
            users.cancel_and_poll(&mut world);
            tokens.run_for(&mut world, 1700 + step * 80, &what);
            users.cancel_and_poll(&mut world);
            // All nodes crash within a second; one restarts at once.
            for i in 0..nodes {
                let n = (second + i) % nodes;
                let back_ms = if n == first {
                    50 + step * 45
                } else {
                    1200 + 300 * i as u64
                };
                world.bring(&Trouble::Crash {
                    who: Who::Node(n),
                    back_ms,
                });
                tokens.run_for(&mut world, step * 40 / nodes as u64, &what);
                users.cancel_and_poll(&mut world);
            }
            for _ in 0..6 {
                tokens.run_for(&mut world, 150 + step * 10, &what);
                users.cancel_and_poll(&mut world);
            }
            tokens.run_for(&mut world, 8000, &what);
            assert_ends(&mut world, &what);
        }
    }
}

/// The leader crashes, freezes or is refused while its transactions are delayed until it has restarted, leads again or
/// another node leads: its last ends of jobs and claims, its take-over and the end of its lease arrive during a later
/// incarnation.
#[test]
fn delayed_writes_reach_a_later_incarnation() {
    for nodes in [3, 5, 7] {
        for step in 0..10u64 {
            let what = format!("{nodes} nodes, step {step}");
            let mut world = world(100 + step, nodes);
            let (mut users, mut tokens) = (Users { nodes, next: 0 }, TokensSeen::default());
            world.run_for(START_MS);
            for round in 0..5u64 {
                let leader = world.leader_at().unwrap_or(0);
                world.bring(&Trouble::Late {
                    who: Who::Node(leader),
                    for_ms: 300,
                    ms: [60, 400, 2500][step as usize % 3],
                });
                world.bring(&Trouble::LateWrites {
                    share: 0.5,
                    for_ms: 1500,
                    at_once: false,
                });
                users.cancel_and_poll(&mut world);
                tokens.run_for(&mut world, 11 + step * 13, &what);
                match (step + round) % 4 {
                    0 => world.bring(&Trouble::Crash {
                        who: Who::All,
                        back_ms: 60 + step * 50,
                    }),
                    1 => world.bring(&Trouble::Crash {
                        who: Who::Node(leader),
                        back_ms: 50,
                    }),
                    2 => world.bring(&Trouble::Freeze {
                        who: Who::Node(leader),
                        ms: 2400,
                    }),
                    _ => world.bring(&Trouble::Refused {
                        who: Who::Node(leader),
                        ms: 2400,
                    }),
                }
                users.cancel_and_poll(&mut world);
                tokens.run_for(&mut world, 700 + round * 500, &what);
            }
            tokens.run_for(&mut world, 14_000, &what);
            assert_ends(&mut world, &what);
        }
    }
}

/// All nodes crash, one restarts before the others, and it crashes again on one of the first requests to the state
/// service of its take-over.
#[test]
fn restarted_node_crashes_on_any_of_its_first_requests() {
    for nodes in [3, 5, 7] {
        for question in 1..=14u32 {
            let what = format!("{nodes} nodes, question {question}");
            let mut world = world(200 + u64::from(question), nodes);
            let (mut users, mut tokens) = (Users { nodes, next: 0 }, TokensSeen::default());
            world.run_for(START_MS);
            let leader = world.leader_at().expect("a node leads the fleet");
            for round in 0..3 {
                users.cancel_and_poll(&mut world);
                tokens.run_for(&mut world, 5 + u64::from(question), &what);
                for n in 0..nodes {
                    let back_ms = if n == leader { 80 } else { 2500 };
                    world.bring(&Trouble::Crash {
                        who: Who::Node(n),
                        back_ms,
                    });
                }
                world.bring(&Trouble::Fuse {
                    who: Who::Node(leader),
                    question: question + round,
                    back_ms: 70,
                });
                users.cancel_and_poll(&mut world);
                tokens.run_for(&mut world, 900, &what);
                users.cancel_and_poll(&mut world);
                tokens.run_for(&mut world, 400, &what);
            }
            tokens.run_for(&mut world, 4000, &what);
            assert_ends(&mut world, &what);
        }
    }
}

/// Jobs are cancelled under the former leader while no machine can be reached; the next leader is recorded, but has
/// read nothing when the state service goes out. If it renewed leases, tasks of cancelled jobs would run on through the
/// outage, as it does not know of the cancels.
#[test]
fn new_leader_that_has_read_nothing_renews_no_leases() {
    for nodes in [3, 5, 7] {
        for step in 0..4u64 {
            let what = format!("{nodes} nodes, step {step}");
            let mut world = world(300 + step, nodes);
            world.run_for(START_MS);
            let first = world.leader_at().expect("a node leads the fleet");
            let refused_links =
                Cut::between(Frontend::Nodes, Frontend::Machines, world.now(), 6000);
            world.cut(Cut {
                how: How::Reset,
                ..refused_links
            });
            (0..LONG_JOBS).for_each(|i| world.cancel_at(first, &long_job(i)));
            world.run_for(300 + step * 100);
            world.bring(&Trouble::Refused {
                who: Who::Node(first),
                ms: 20_000,
            });
            let (before, _) = leader_record(&world).expect("there is a leader record");
            let (wait_start, mut wait) = (world.now(), 5);
            while leader_record(&world).is_none_or(|(token, _)| token <= before)
                && world.now() < wait_start + 8000
            {
                let before_step = world.now();
                world.run_for(wait);
                // There was no event yet.
                wait = if world.now() == before_step {
                    wait + 5
                } else {
                    5
                };
            }
            assert!(
                leader_record(&world).is_some_and(|(token, _)| token > before),
                "{what}: nobody took over"
            );
            // Its take-over is answered, but its first reads are not.
            world.run_for(step);
            world.bring(&Trouble::StateOut { ms: 70_000 });
            world.run_for(75_000);
            let confirmed = world
                .rules
                .jobs
                .values()
                .filter(|j| j.told_cancelled.is_some())
                .count();
            assert!(
                confirmed > 4,
                "{what}: only {confirmed} cancels were confirmed"
            );
            assert_ends(&mut world, &what);
        }
    }
}
