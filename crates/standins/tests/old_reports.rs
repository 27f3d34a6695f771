//! Copies of old reports arrive after newer ones: from an earlier session or attempt, at the next leader before any
//! other report, from machines that were returned long ago, and at followers that only forward them.

use standins::links::{Cut, Frontend, How};
use standins::scene::{Scene, Timed, array};
use standins::world::asserts::{assert_all_ended, assert_rules_kept};
use standins::world::{Plan, World};
use wire::api::{Heartbeat, JobSpec, Kind, TaskStage};

const NODE_COUNTS: [usize; 3] = [3, 5, 7];
const IDLE_MS: u64 = 40_000;

/// The number of rounds: the value of the environment variable `SWEEP`, or else `rounds`.
fn rounds_or_env(rounds: u64) -> u64 {
    std::env::var("SWEEP")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(rounds)
}

fn timed(at: u64, run_ms: u64, spec: JobSpec) -> Timed {
    Timed {
        at,
        run_ms,
        cancel_ms: None,
        spec,
    }
}

fn world(seed: u64, nodes: usize, scene: Scene) -> World {
    let mut world = World::new(Plan::of_scene(seed, nodes, scene, 0, 600_000));
    world.keep_reports();
    world
}

/// Runs the world for `ms`, or until its next event if that is later.
fn run_past_now(world: &mut World, ms: u64) {
    let (before, mut step) = (world.now(), ms);
    while world.now() == before && world.rules.broken.is_empty() {
        world.run_for(step);
        step += 10;
    }
}

/// Crashes the leader and sends these copies repeatedly to the next one until well after it has read its state, so that
/// it receives the old reports first.
fn replay_to_next_leader(world: &mut World, copies: &[Heartbeat]) {
    world.come_back_after(100);
    let leader = world.leader_at().expect("some node leads");
    world.crash_node(leader);
    let end = world.now() + 3000;
    while world.now() < end && world.rules.broken.is_empty() {
        run_past_now(world, 10);
        if let Some(leader) = world.leader_at() {
            copies.iter().for_each(|c| world.copy(c, leader));
        }
    }
}

/// The newest report that satisfies the predicate.
fn newest_report(world: &World, is: impl Fn(&Heartbeat) -> bool) -> Option<Heartbeat> {
    world.reports().iter().rev().find(|r| is(r)).cloned()
}

fn lists_task(report: &Heartbeat, task: &str, stage: TaskStage) -> bool {
    report
        .tasks
        .iter()
        .any(|t| t.task == task && t.stage == stage)
}

/// A task ended in a session whose reports never arrived, so its end was lost with the session, and it started again in
/// the next one. A copy of the report that lists it as ended reaches the next leader first. The task must still count
/// as running.
#[test]
fn task_end_of_an_earlier_session_does_not_end_the_later_run() {
    for round in 0..9u64 {
        let nodes = NODE_COUNTS[round as usize % 3];
        let what = format!("{nodes} nodes, round {round}");
        let mut jobs = vec![timed(1000, 4000, array(1, "blue", 8, 4.0))];
        jobs.push(timed(IDLE_MS, 9000, array(2, "red", 1, 9.0)));
        jobs.push(timed(IDLE_MS + 2000, 20_000, array(3, "red", 1, 20.0)));
        let scene = Scene {
            jobs,
            machines: 4,
            ..Scene::default()
        };
        let mut world = world(
            round,
            nodes,
            scene.team("blue", 8.0, 0.0).team("red", 1.0, 1.0),
        );
        world.tune("fleet", "idle_s", "1000");
        world.tune("fleet", "silent_s", "40");
        world.run_for(IDLE_MS - 1);
        // Commands arrive; their responses are lost, and connections for reports are refused.
        for how in [How::Hold, How::Reset] {
            let cut = Cut::between(Frontend::Machines, Frontend::Nodes, world.now(), 17_000);
            world.cut(Cut {
                both: false,
                how,
                ..cut
            });
        }
        world.run_for(17_000);
        let task = "job-000002/0";
        let ended = newest_report(&world, |r| {
            r.agent_epoch == 1 && lists_task(r, task, TaskStage::Exited)
        });
        let ended = ended
            .unwrap_or_else(|| panic!("{what}: no report of the task's end in the first session"));
        let mut waited = 0;
        while world.machines_of("job-000002").is_empty() && waited < 10_000 {
            world.run_for(100);
            waited += 100;
        }
        world.run_for(round * 300);
        assert!(
            !world.machines_of("job-000002").is_empty(),
            "{what}: the task did not start again"
        );
        replay_to_next_leader(&mut world, &[ended]);
        world.run_for(120_000);
        assert_rules_kept(&world, &what);
        assert_all_ended(&world, &what);
    }
}

/// A gang runs in its second attempt. A copy of a report from the first attempt reaches the next leader first. The
/// tasks that it lists no longer exist, and the running gang must not be broken because of it.
#[test]
fn report_of_an_earlier_attempt_does_not_break_the_running_gang() {
    for round in 0..9u64 {
        let nodes = NODE_COUNTS[round as usize % 3];
        let what = format!("{nodes} nodes, round {round}");
        let gang = JobSpec {
            kind: Kind::Gang,
            gpus: 2.0,
            checkpoint_s: 0.0,
            ..array(2, "red", 2, 60.0)
        };
        let jobs = vec![
            timed(1000, 4000, array(1, "blue", 12, 4.0)),
            timed(IDLE_MS, 60_000, gang),
        ];
        let scene = Scene {
            jobs,
            machines: 6,
            ..Scene::default()
        };
        let mut world = world(
            round,
            nodes,
            scene.team("blue", 0.0, 0.0).team("red", 0.0, 0.0),
        );
        world.tune("fleet", "idle_s", "1000");
        world.run_for(IDLE_MS + 8000);
        let on = world.machines_of("job-000002");
        assert_eq!(on.len(), 2, "{what}: the gang runs on two machines");
        world.lose(&on[1]);
        world.run_for(30_000);
        let now = world.machines_of("job-000002");
        assert_eq!(now.len(), 2, "{what}: the gang runs again on two machines");
        let attempt = running_attempts(&world, &now[0])[0];
        let is_old = |r: &Heartbeat| {
            r.tasks.iter().any(|t| {
                t.task.starts_with("job-000002/")
                    && t.attempt != attempt
                    && t.stage == TaskStage::Running
            }) && r.machine != on[1]
        };
        let copy = newest_report(&world, is_old)
            .unwrap_or_else(|| panic!("{what}: no report of the first attempt"));
        replay_to_next_leader(&mut world, &[copy]);
        world.run_for(5000);
        let after: Vec<u64> = now
            .iter()
            .flat_map(|m| running_attempts(&world, m))
            .collect();
        assert_eq!(
            after,
            [attempt, attempt],
            "{what}: the second attempt keeps running"
        );
        world.run_for(100_000);
        assert_rules_kept(&world, &what);
        assert_all_ended(&world, &what);
    }
}

/// Attempts of the gang that run on a machine.
fn running_attempts(world: &World, machine: &str) -> Vec<u64> {
    let runs = world
        .held(machine)
        .into_iter()
        .filter(|(_, _, stage)| *stage == TaskStage::Running);
    runs.map(|(_, attempt, _)| attempt).collect()
}

/// Machines for which claims were recorded.
fn claimed_machines(world: &World) -> Vec<String> {
    let logs = world
        .state
        .keys
        .iter()
        .filter(|(k, _)| k.starts_with("part/0/log/"));
    let claims = logs.flat_map(|(_, e)| e.value["claims"].as_array().cloned().unwrap_or_default());
    let on = claims.flat_map(|c| c["on"].as_array().cloned().unwrap_or_default());
    on.filter_map(|o| Some(o[0].as_str()?.to_owned())).collect()
}

/// Copies of reports from returned machines arrive at the next leader, or much later at the same one. The leader may
/// add these machines to its inventory, but must give them no tasks and return them again.
#[test]
fn returned_machine_in_an_old_report_gets_no_task() {
    for round in 0..12u64 {
        let nodes = NODE_COUNTS[round as usize % 3];
        let same_term = round % 4 == 3;
        let what = format!("{nodes} nodes, round {round}, same term {same_term}");
        let wait = if same_term { 190_000 } else { 60_000 };
        let jobs = vec![
            timed(1000, 4000, array(1, "red", 8, 4.0)),
            timed(1000 + wait, 5000, array(2, "red", 8, 5.0)),
        ];
        let scene = Scene {
            jobs,
            machines: 6,
            ..Scene::default()
        };
        let mut world = world(round, nodes, scene.team("red", 0.0, 0.0));
        world.run_for(wait - 1000);
        let mut copies: Vec<Heartbeat> = Vec::new();
        for report in world.reports() {
            copies.retain(|c| c.machine != report.machine);
            copies.push(report.clone());
        }
        copies.retain(|c| !world.is_rented(&c.machine));
        assert!(!copies.is_empty(), "{what}: no machine was returned");
        if same_term {
            let leader = world.leader_at().expect("some node leads");
            copies.iter().for_each(|c| world.copy(c, leader));
        } else {
            replay_to_next_leader(&mut world, &copies);
        }
        let returned: Vec<String> = copies.into_iter().map(|c| c.machine).collect();
        for _ in 0..300 {
            world.run_for(100);
            let on = claimed_machines(&world);
            assert!(
                on.iter().all(|m| !returned.contains(m)),
                "{what}: claims on returned machines"
            );
        }
        world.run_for(30_000);
        assert_rules_kept(&world, &what);
        assert_all_ended(&world, &what);
        let inventory = world
            .state
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with("part/0/rack"));
        let inventory: String = inventory.map(|(_, e)| e.value.to_string()).collect();
        assert!(
            returned.iter().all(|m| !inventory.contains(m.as_str())),
            "{what}: returned machines are still in the inventory"
        );
    }
}

/// Copies of a dead machine's reports keep arriving. The machine must be returned no more than 2 s later than without
/// them.
#[test]
fn old_reports_do_not_delay_the_return_of_a_dead_machine() {
    for round in 0..6u64 {
        let nodes = NODE_COUNTS[round as usize % 3];
        let mut took = [0, 0];
        for (copied, took) in took.iter_mut().enumerate() {
            let what = format!("{nodes} nodes, round {round}, copies {copied}");
            let jobs = vec![timed(1000, 60_000, array(1, "red", 8, 60.0))];
            let scene = Scene {
                jobs,
                machines: 6,
                ..Scene::default()
            };
            let mut world = world(round, nodes, scene.team("red", 0.0, 0.0));
            world.run_for(25_000);
            let dead = world.machines_of("job-000001").remove(0);
            world.lose(&dead);
            let dead_machine_reports: Vec<Heartbeat> = world
                .reports()
                .iter()
                .filter(|r| r.machine == dead)
                .cloned()
                .collect();
            while world.is_rented(&dead) && *took < 60_000 {
                world.run_for(100);
                *took += 100;
                if copied == 1
                    && let Some(leader) = world.leader_at()
                {
                    let n = *took as usize / 100 % dead_machine_reports.len();
                    world.copy(&dead_machine_reports[n], leader);
                }
            }
            assert!(*took < 60_000, "{what}: the dead machine is still rented");
            world.run_for(120_000);
            assert_rules_kept(&world, &what);
            assert_all_ended(&world, &what);
        }
        assert!(took[1] <= took[0] + 2000, "{nodes} nodes: {took:?}");
    }
}

/// Copies of random reports arrive at random times, most of them at the leader and some at any node. Meanwhile leaders
/// crash and machines die, hang and are cut off, so that there are many sessions and attempts.
#[test]
fn rules_hold_for_random_duplicate_reports() {
    for seed in 0..rounds_or_env(12) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = NODE_COUNTS[seed as usize % 3];
        let what = format!("{nodes} nodes, seed {seed}");
        let job = |i: u32| {
            let kind = if i.is_multiple_of(4) {
                Kind::Gang
            } else {
                Kind::Array
            };
            let spec = JobSpec {
                kind,
                ..array(1000 + i, "red", rng.u32(1..4), 8.0)
            };
            let cancel_ms = i.is_multiple_of(5).then(|| rng.u64(0..20_000));
            Timed {
                at: rng.u64(1000..110_000),
                run_ms: rng.u64(500..25_000),
                cancel_ms,
                spec,
            }
        };
        let scene = Scene {
            jobs: (0..45).map(job).collect(),
            machines: 8,
            ..Scene::default()
        };
        let mut world = world(seed, nodes, scene.team("red", 8.0, 8.0));
        let machine = |world: &World, rng: &mut fastrand::Rng| {
            let all = world.machines();
            (!all.is_empty()).then(|| all[rng.usize(0..all.len())].clone())
        };
        for _ in 0..60 {
            match rng.u32(0..8) {
                0 | 1 => {
                    world.come_back_after(rng.u64(50..2500));
                    let leader = world.leader_at();
                    leader.into_iter().for_each(|n| world.crash_node(n));
                }
                2 => machine(&world, &mut rng)
                    .into_iter()
                    .for_each(|m| world.hang(&m, 3000 + seed * 400)),
                3 => machine(&world, &mut rng)
                    .into_iter()
                    .for_each(|m| world.lose(&m)),
                4 => {
                    let (now, ms) = (world.now(), rng.u64(1000..25_000));
                    let how = [How::Hold, How::Reset][rng.usize(0..2)];
                    let m = machine(&world, &mut rng)
                        .map_or(Frontend::MachinesIn("a".into()), Frontend::Machine);
                    let cut = Cut::between(m, Frontend::Nodes, now, ms);
                    world.cut(Cut {
                        how,
                        both: rng.bool(),
                        ..cut
                    });
                }
                _ => {}
            }
            for _ in 0..rng.u32(5..40) {
                world.run_for(50);
                let all = world.reports();
                if all.is_empty() {
                    continue;
                }
                // One of the newest 200 reports, or any report.
                let from = if rng.bool() {
                    0
                } else {
                    all.len().saturating_sub(200)
                };
                let copy = all[rng.usize(from..all.len())].clone();
                let to = world.leader_at().filter(|_| rng.u32(0..4) > 0);
                let to = to.unwrap_or_else(|| rng.usize(0..nodes));
                world.copy(&copy, to);
            }
        }
        world.run_for(300_000);
        assert_rules_kept(&world, &what);
        assert_all_ended(&world, &what);
    }
}
