//! Simulates an hour in which one of five regions is cut off from the others, in virtual time and with a fixed seed:
//! `cargo run --release -q -p standins --example region`. A zone of the simulation represents a region.
//!
//! Runs twice: with a follower in the region, and with the leader in it. The last line is JSON; the exit code is 1 if a
//! rule is broken.

use serde_json::{Value, json};
use standins::links::{Cut, Frontend, How};
use standins::scene::{Scene, Timed, array};
use standins::state::Limits;
use standins::world::{Plan, World};
use std::process::ExitCode;

const NODES: usize = 6;
const REGIONS: [&str; 5] = ["north", "east", "south", "west", "home"];
const CALM_MS: u64 = 120_000;
const HOUR_MS: u64 = 3_600_000;
const AFTER_MS: u64 = 120_000;
/// Interval between arrays, number of their tasks, and run time of a task.
const ARRAY_INTERVAL_MS: u64 = 6000;
const TASKS: u32 = 60;
const RUN_MS: u64 = 60_000;
/// Starts within this time after the cut count as the rush on return.
const RUSH_MS: u64 = 10_000;
const SEED: u64 = 9;

/// Results of one run.
struct Results {
    lost: u64,
    /// Seconds from the cut until the start rate over ten seconds is back at 90% of the rate before it.
    recovered_s: Option<u64>,
    starts_before: f64,
    starts_during: f64,
    rush: f64,
    leaders: u64,
    refused: u64,
    longest_cancelled_ms: u64,
    broken: Vec<String>,
}

fn new_world() -> World {
    let jobs = (CALM_MS + HOUR_MS + AFTER_MS) / ARRAY_INTERVAL_MS;
    let job = |number: u64| Timed {
        at: 1000 + number * ARRAY_INTERVAL_MS,
        run_ms: RUN_MS,
        // One job in twenty is cancelled while it runs.
        cancel_ms: number.is_multiple_of(20).then_some(RUN_MS / 2),
        spec: array(1000 + number as u32, "red", TASKS, RUN_MS as f64 / 1000.0),
    };
    let limits = Limits {
        rps: 150.0,
        write_rps: 35.0,
        value_kb: 8.0,
        txn_ops: 16,
    };
    let scene = Scene {
        jobs: (0..jobs).map(job).collect(),
        machines: 400,
        zones: REGIONS.map(str::to_owned).to_vec(),
        limits: Some(limits),
        ..Scene::default()
    };
    World::new(Plan {
        large: true,
        ..Plan::of_scene(SEED, NODES, scene.team("red", 3000.0, 0.0), 0, 0)
    })
}

fn starts_in(world: &mut World, ms: u64) -> f64 {
    let before = world.rules.starts;
    world.run_for(ms);
    (world.rules.starts - before) as f64 / (ms as f64 / 1000.0)
}

/// Cuts off the region of the leader, or another one.
fn run_scenario(with_leader: bool) -> Results {
    let mut world = new_world();
    world.run_for(CALM_MS / 2);
    let starts_before = starts_in(&mut world, CALM_MS / 2);
    let leader = world.leader_at().unwrap_or(0);
    let region_index = if with_leader { leader } else { leader + 1 };
    let region = REGIONS[region_index % REGIONS.len()];
    let (inside, outside) = (
        Frontend::Zone(region.into()),
        Frontend::Outside(region.into()),
    );
    world.cut(Cut {
        how: How::Hold,
        ..Cut::between(inside, outside, world.now(), HOUR_MS)
    });
    let (lost, refused) = (world.lost, world.refused);
    let (mut leaders, mut last) = (0, Some(leader));
    let (mut recovered_s, mut starts) = (None, 0.0);
    for window in 0..HOUR_MS / RUSH_MS {
        let rate = starts_in(&mut world, RUSH_MS);
        starts += rate;
        if rate >= starts_before * 0.9 && recovered_s.is_none() {
            recovered_s = Some((window + 1) * RUSH_MS / 1000);
        }
        let now = world.leader_at();
        if now.is_some() && now != last {
            (leaders, last) = (leaders + 1, now);
        }
    }
    let rush = starts_in(&mut world, RUSH_MS);
    world.run_for(AFTER_MS - RUSH_MS);
    Results {
        lost: world.lost - lost,
        recovered_s,
        starts_before,
        starts_during: starts / (HOUR_MS / RUSH_MS) as f64,
        rush,
        leaders,
        refused: world.refused - refused,
        longest_cancelled_ms: world.rules.longest_cancelled_ms,
        broken: world.rules.broken.values().cloned().collect(),
    }
}

fn results_json(results: &Results) -> Value {
    json!({"tasks_lost": results.lost, "recovered_s": results.recovered_s, "starts_a_second_before": results.starts_before,
        "starts_a_second_in_the_hour": results.starts_during, "starts_a_second_on_return": results.rush,
        "leaders": results.leaders, "refused": results.refused, "longest_cancelled_ms": results.longest_cancelled_ms,
        "rules_broken": results.broken})
}

fn main() -> ExitCode {
    // The simulations are independent, so they run in parallel.
    let (follower, leader) = std::thread::scope(|scope| {
        let follower = scope.spawn(|| run_scenario(false));
        let leader = scope.spawn(|| run_scenario(true));
        let ended = "a simulation thread panicked";
        (follower.join().expect(ended), leader.join().expect(ended))
    });
    for (name, results) in [("follower", &follower), ("leader", &leader)] {
        println!(
            "a region with a {name} cut off for an hour: {}",
            results_json(results)
        );
    }
    println!(
        "{}",
        json!({"follower": results_json(&follower), "leader": results_json(&leader)})
    );
    let rules_kept = follower.broken.is_empty() && leader.broken.is_empty();
    if rules_kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
