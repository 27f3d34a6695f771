//! What YARN's clients cost, in virtual time on the limits of a small deployment: 2,000 masters that beat each second,
//! 100,000 containers asked for, 500 submissions in one second, and native users beside them. The time that the owner
//! takes for a call is measured on this machine; everything else follows from the seed.
//!
//! `cargo run --release -q -p gateway --example load [-- masters containers_each submissions seconds changes_per_s]`

use gateway::Config;
use standins::scene::{Scene, Timed, array};
use standins::state::Limits;
use standins::world::{Plan, World};
use standins::yarn::{Client, Tally};
use std::time::Instant;
use wire::api::{JobSpec, Priority};
use yarn::proto::ApplicationState;

struct Size {
    masters: usize,
    each: u32,
    submissions: usize,
    seconds: u64,
    /// Changes that the state service bears a second; four times as many requests.
    changes: f64,
}

/// Native users: one job every 500 ms, asked for until it is done.
fn scene(size: &Size, yarn: bool) -> Scene {
    let config = "[most]\napplications = 5000\nper_user = 5000\ncalls = 20000\n[work]\nestimate_s = 5\nmaster_s = 600\n";
    let limits = Limits {
        rps: size.changes * 4.0,
        write_rps: size.changes,
        value_kb: 8.0,
        txn_ops: 16,
    };
    let mut scene = Scene {
        machines: 100,
        limits: Some(limits),
        ..Scene::default()
    };
    scene = scene.team("red", 20.0, 0.0).team("blue", 20.0, 0.0);
    for i in 0..(size.seconds * 1000 / 500) as u32 {
        let spec = JobSpec {
            priority: Priority::Normal,
            cores: 1.0,
            gpus: 0.0,
            ..array(i, "blue", 1, 5.0)
        };
        scene.jobs.push(Timed {
            at: 5000 + u64::from(i) * 500,
            run_ms: 5000,
            cancel_ms: None,
            spec,
        });
    }
    if yarn {
        scene.yarn = Some(Config::parse(config).expect("good"));
        let tally = Tally {
            stages: vec![size.each],
            run_ms: 5000,
            fails: 0,
        };
        let master = |i| {
            let mut client = Client::new("ann", "red", 6000 + 20 * i as u64, tally.clone());
            client.unmanaged = true;
            client
        };
        scene.clients.extend((0..size.masters).map(master));
        let tool = Tally {
            stages: Vec::new(),
            run_ms: 5000,
            fails: 0,
        };
        let at = 6000 + 20 * size.masters as u64 + 60_000;
        scene.clients.extend(
            (0..size.submissions)
                .map(|i| Client::new("bob", "red", at + 2 * i as u64, tool.clone())),
        );
    }
    scene
}

fn play(size: &Size, yarn: bool) -> World {
    let mut world = World::new(Plan {
        large: true,
        ..Plan::of_scene(1, 3, scene(size, yarn), 0, 0)
    });
    world.run_for(size.seconds * 1000);
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
    assert!(
        world.yarn.checks.broken.is_empty(),
        "{:?}",
        world.yarn.checks.broken
    );
    world
}

fn percentile(sorted: &[u64], p: usize) -> u64 {
    sorted
        .get((sorted.len() * p / 100).min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}

fn main() {
    let numbers: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let number = |i: usize, default| numbers.get(i).copied().unwrap_or(default);
    let size = Size {
        masters: number(0, 2000),
        each: number(1, 50) as u32,
        submissions: number(2, 500),
        seconds: number(3, 240) as u64,
        changes: number(4, 200) as f64,
    };
    let begun = Instant::now();
    let mut alone = play(&size, false);
    let mut beside = play(&size, true);
    alone.waits.sort_unstable();
    beside.waits.sort_unstable();
    let counts = beside
        .leader()
        .and_then(|o| o.book())
        .map(gateway::book::Book::counts)
        .unwrap_or_default();
    let checks = &beside.yarn.checks;
    let twice = checks.accepts.values().filter(|n| **n > 1).count();
    let tools = beside.yarn.clients.iter().filter(|c| c.user == "bob");
    let done = tools
        .clone()
        .filter(|c| c.state == Some(ApplicationState::Finished))
        .count();
    let mut taken: Vec<u64> = tools.filter_map(Client::accepted_after).collect();
    taken.sort_unstable();
    let mut calls = std::mem::take(&mut beside.call_ns);
    calls.sort_unstable();
    let native = (percentile(&alone.waits, 99), percentile(&beside.waits, 99));
    let heartbeats = counts.heartbeats as f64 / size.seconds as f64;
    let per_container = counts.changes as f64 / checks.containers_done.max(1) as f64;
    eprintln!(
        "{} s of virtual time played twice in {:.0} s; native users asked {} times alone, {} beside",
        size.seconds,
        begun.elapsed().as_secs_f64(),
        alone.waits.len(),
        beside.waits.len()
    );
    for (what, n) in &beside.yarn.answers {
        eprintln!("{n:8} {what}");
    }
    println!(
        "{{\"masters\":{},\"containers_wanted\":{},\"containers_done\":{},\"heartbeats_per_s\":{heartbeats:.0},\
         \"submissions\":{},\"submissions_done\":{done},\"taken_p50_ms\":{},\"taken_p99_ms\":{},\"duplicates\":{twice},\
         \"gateway_changes_per_container\":{per_container:.3},\"call_p50_us\":{:.1},\"call_p99_us\":{:.1},\
         \"native_p99_ms\":[{},{}],\"native_p99_ratio\":{:.2}}}",
        size.masters,
        size.masters as u64 * u64::from(size.each),
        checks.containers_done,
        size.submissions,
        percentile(&taken, 50),
        percentile(&taken, 99),
        percentile(&calls, 50) as f64 / 1000.0,
        percentile(&calls, 99) as f64 / 1000.0,
        native.0,
        native.1,
        native.1 as f64 / native.0.max(1) as f64,
    );
}
