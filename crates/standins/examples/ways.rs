//! Cuts links of a fleet of 1,200 machines, one by one and in pairs, and prints the effects on the work, in virtual
//! time and with a fixed seed: `cargo run --release -q -p standins --example ways`.
//!
//! Each cut is simulated twice: with relays and keepers, and without (both 0 in section `[reach]`). The last line is
//! JSON. Names of cuts after `--` restrict the run to these.

use serde_json::json;
use standins::links::{Cut, Frontend, How};
use standins::scene::{Scene, Timed, array};
use standins::state::Limits;
use standins::world::{Plan, World};

const NODES: usize = 3;
const CALM_MS: u64 = 60_000;
const CUT_MS: u64 = 60_000;
const AFTER_MS: u64 = 60_000;

/// The pairs of hosts between which links are cut, given the leader and the two other nodes.
type LinksToCut = fn(usize, usize, usize) -> Vec<(Frontend, Frontend)>;

const CUTS: [(&str, &str, LinksToCut); 13] = [
    ("none", "nothing is cut", |_, _, _| vec![]),
    (
        "owner-state",
        "the owner loses the state service",
        |o, _, _| vec![(Frontend::Node(o), Frontend::State)],
    ),
    ("owner-workers", "the owner loses the workers", |o, _, _| {
        vec![(Frontend::Node(o), Frontend::Machines)]
    }),
    ("owner-peers", "the owner loses its peers", |o, _, _| {
        vec![(Frontend::Node(o), Frontend::Nodes)]
    }),
    ("owner-users", "the owner loses the users", |o, _, _| {
        vec![(Frontend::Node(o), Frontend::Users)]
    }),
    ("owner-cloud", "the owner loses the cloud", |o, _, _| {
        vec![(Frontend::Node(o), Frontend::Cloud)]
    }),
    (
        "other-state",
        "another loses the state service",
        |_, a, _| vec![(Frontend::Node(a), Frontend::State)],
    ),
    ("other-workers", "another loses the workers", |_, a, _| {
        vec![(Frontend::Node(a), Frontend::Machines)]
    }),
    (
        "owner-state+peers",
        "the owner loses the state service and its peers",
        |o, _, _| {
            vec![
                (Frontend::Node(o), Frontend::State),
                (Frontend::Node(o), Frontend::Nodes),
            ]
        },
    ),
    (
        "owner-workers+peers",
        "the owner loses the workers and its peers",
        |o, _, _| {
            vec![
                (Frontend::Node(o), Frontend::Machines),
                (Frontend::Node(o), Frontend::Nodes),
            ]
        },
    ),
    (
        "one-each",
        "the owner loses the state service, another the workers",
        |o, a, _| {
            vec![
                (Frontend::Node(o), Frontend::State),
                (Frontend::Node(a), Frontend::Machines),
            ]
        },
    ),
    (
        "no-node-has-both",
        "two lose the state service, the third the workers",
        |o, a, b| {
            vec![
                (Frontend::Node(o), Frontend::State),
                (Frontend::Node(a), Frontend::State),
                (Frontend::Node(b), Frontend::Machines),
            ]
        },
    ),
    (
        "zone",
        "a zone with a controller is cut off, the owner is outside",
        |o, _, _| {
            let zone = ["b", "a"][o % 2];
            vec![(Frontend::Zone(zone.into()), Frontend::Outside(zone.into()))]
        },
    ),
];

/// Results of one cut.
struct Results {
    lost: u64,
    seconds_without_starts: u64,
    refused: u64,
    leaders: u64,
    starts: u64,
    broken: usize,
}

fn new_world(relays: &str) -> World {
    let job = |i: u32| {
        let spec = array(1000 + i, "red", 120, 30.0);
        Timed {
            at: 1000 + u64::from(i) * 1500,
            run_ms: 30_000,
            cancel_ms: None,
            spec,
        }
    };
    let limits = Limits {
        rps: 150.0,
        write_rps: 35.0,
        value_kb: 8.0,
        txn_ops: 16,
    };
    let scene = Scene {
        jobs: (0..110).map(job).collect(),
        machines: 1200,
        limits: Some(limits),
        ..Scene::default()
    };
    let mut world = World::new(Plan {
        large: true,
        ..Plan::of_scene(5, NODES, scene.team("red", 3000.0, 0.0), 0, 0)
    });
    world.tune("reach", "relays", relays);
    world.tune("reach", "keepers", relays);
    world
}

fn run_cut(links_to_cut: LinksToCut, relays: &str) -> Results {
    let mut world = new_world(relays);
    world.run_for(CALM_MS);
    let leader = world.leader_at().unwrap_or(0);
    for (a, b) in links_to_cut(leader, (leader + 1) % NODES, (leader + 2) % NODES) {
        world.cut(Cut {
            how: How::Hold,
            ..Cut::between(a, b, world.now(), CUT_MS)
        });
    }
    let (lost, starts, refused) = (world.lost, world.rules.starts, world.refused);
    let (mut seconds_without_starts, mut leaders, mut last) = (0, 0, Some(leader));
    for _ in 0..CUT_MS / 1000 {
        let before = world.rules.starts;
        world.run_for(1000);
        seconds_without_starts += u64::from(world.rules.starts == before);
        let now = world.leader_at();
        if now.is_some() && now != last {
            leaders += 1;
            last = now;
        }
    }
    world.run_for(AFTER_MS);
    Results {
        lost: world.lost - lost,
        seconds_without_starts,
        refused: world.refused - refused,
        leaders,
        starts: world.rules.starts - starts,
        broken: world.rules.broken.len(),
    }
}

fn main() {
    let only: Vec<String> = std::env::args().skip(1).collect();
    let known = |name: &String| CUTS.iter().any(|(n, _, _)| n == name);
    if let Some(name) = only.iter().find(|n| !known(n)) {
        let names: Vec<&str> = CUTS.iter().map(|(n, _, _)| *n).collect();
        eprintln!("unknown cut {name:?}; known cuts: {}", names.join(", "));
        std::process::exit(2);
    }
    println!(
        "{CUT_MS} ms of each cut, 1,200 machines, {NODES} controllers; without relays and keepers -> with\n"
    );
    println!(
        "{:<22}{:>16}{:>16}{:>14}{:>10}{:>18}",
        "cut", "tasks lost", "s no starts", "refused", "owners", "starts"
    );
    let (mut broken, mut sums) = (0, [[0; 3]; 2]);
    let chosen = CUTS
        .iter()
        .filter(|(n, _, _)| only.is_empty() || only.iter().any(|o| o == n));
    let chosen: Vec<_> = chosen
        .flat_map(|c| ["0", "1"].map(|relays| (c, relays)))
        .collect();
    // The simulations are independent, so they run in parallel.
    let results: Vec<Results> = std::thread::scope(|s| {
        let all: Vec<_> = chosen
            .iter()
            .map(|((_, _, links_to_cut), relays)| s.spawn(move || run_cut(*links_to_cut, relays)))
            .collect();
        all.into_iter()
            .map(|t| t.join().expect("a simulation thread panicked"))
            .collect()
    });
    for (pair, results) in chosen.chunks(2).zip(results.chunks(2)) {
        let (name, what, _) = pair[0].0;
        let pair = |f: fn(&Results) -> u64| format!("{} -> {}", f(&results[0]), f(&results[1]));
        println!(
            "{name:<22}{:>16}{:>16}{:>14}{:>10}{:>18}   {what}",
            pair(|s| s.lost),
            pair(|s| s.seconds_without_starts),
            pair(|s| s.refused),
            pair(|s| s.leaders),
            pair(|s| s.starts)
        );
        for (sum, s) in sums.iter_mut().zip(results) {
            broken += s.broken;
            sum[0] += s.lost;
            sum[1] += s.seconds_without_starts;
            sum[2] += s.refused;
        }
    }
    let sum =
        |s: [u64; 3]| json!({"tasks_lost": s[0], "seconds_without_starts": s[1], "refused": s[2]});
    println!(
        "\n{}",
        json!({"rules_broken": broken, "without": sum(sums[0]), "with": sum(sums[1])})
    );
}
