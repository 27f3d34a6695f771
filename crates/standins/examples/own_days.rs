//! The operators' own days at fleet size, in virtual time: quick restarts within every kind of trouble, users behind a
//! balancer, 1,200 and 1,800 machines, the figures of an earlier version beside.
//!
//! `cargo run --release -q -p standins --example own_days`; the last line is JSON. `-- small KIND SEED NODES` plays
//! one small day with the controllers' logs, `-- small` many seeds of each kind, `-- record` writes the recorded file anew.

use serde::{Deserialize, Serialize};
use serde_json::json;
use standins::checks::Verdict;
use standins::days::{Size, kinds, plan};
use standins::world::World;
use std::collections::BTreeMap;
use std::sync::Mutex;

const RECORDED: &str = "crates/standins/examples/own_days.json";
const SIZES: [usize; 2] = [1200, 1800];
/// Days that are played side by side.
const THREADS: usize = 8;
const SMALL_SEEDS: u64 = 20;

#[derive(Clone, Copy)]
struct Day {
    kind: usize,
    seed: u64,
    nodes: usize,
    size: Size,
}

/// What a day is summed up to, and what is recorded of it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Seen {
    rules_broken: usize,
    forgotten_75: usize,
    served_below_half: usize,
    largest_late: usize,
    longest_unanswered_s: f64,
    longest_without_owner_s: f64,
    no_node: u64,
    refused: u64,
    tasks_lost: u64,
    done: f64,
}

#[derive(Serialize, Deserialize)]
struct Recorded {
    about: String,
    days: BTreeMap<String, Seen>,
}

fn play(day: Day) -> (Seen, Vec<String>) {
    let mut world = World::new(plan(day.kind, day.seed, day.nodes, day.size));
    world.run_day();
    let v: Verdict = world.verdict();
    let mut notes: Vec<String> =
        world.rules.broken.iter().map(|(rule, what)| format!("{rule}: {what}")).collect();
    notes.extend(v.forgotten_75.iter().map(|j| format!("forgotten: {j}")));
    notes.extend(v.served_below_half.iter().cloned());
    notes.extend(v.largest_late.iter().map(|j| format!("late: {j}")));
    let seen = Seen {
        rules_broken: world.rules.broken.len(),
        forgotten_75: v.forgotten_75.len(),
        served_below_half: v.served_below_half.len(),
        largest_late: v.largest_late.len(),
        longest_unanswered_s: v.longest_unanswered_s,
        longest_without_owner_s: v.longest_without_owner_s,
        no_node: v.no_node,
        refused: world.refused,
        tasks_lost: world.lost,
        done: v.done as f64 / v.jobs.max(1) as f64,
    };
    (seen, notes)
}

/// Plays them side by side, the results in their order.
fn play_all(days: &[Day]) -> Vec<(Seen, Vec<String>)> {
    let next = Mutex::new(0);
    let results = Mutex::new(vec![(Seen::default(), Vec::new()); days.len()]);
    let one = || loop {
        let i = {
            let mut next = next.lock().expect("no day panics");
            *next += 1;
            *next - 1
        };
        let Some(day) = days.get(i) else { return };
        let seen = play(*day);
        results.lock().expect("no day panics")[i] = seen;
    };
    std::thread::scope(|s| (0..THREADS).for_each(|_| drop(s.spawn(one))));
    results.into_inner().expect("no day panics")
}

fn name(day: &Day) -> String {
    format!("{} {} {}", day.size.machines, day.nodes, kinds()[day.kind])
}

fn fleet_days() -> Vec<Day> {
    // The larger ones first, since they take longest.
    let kinds = (0..kinds().len()).flat_map(|kind| SIZES.map(|machines| (kind, machines)));
    let mut days: Vec<Day> = kinds
        .map(|(kind, machines)| {
            // Every third kind with more controllers.
            let nodes = [3, 3, 5, 3, 3, 7][kind % 6];
            Day { kind, seed: 2 * kind as u64 + u64::from(kind % 3 == 0), nodes, size: Size::fleet(machines) }
        })
        .collect();
    days.sort_by_key(|d| std::cmp::Reverse(d.size.machines));
    days
}

fn table(days: &[Day], seen: &[(Seen, Vec<String>)], before: &BTreeMap<String, Seen>) {
    println!("machines, controllers and day: recorded -> now\n");
    println!(
        "{:<64}{:>10}{:>16}{:>18}{:>16}{:>14}{:>14}{:>16}",
        "day", "forgotten", "late largest", "unanswered s", "ownerless s", "no node", "refused", "tasks lost"
    );
    let none = Seen::default();
    for (day, (now, notes)) in days.iter().zip(seen) {
        let was = before.get(&name(day)).unwrap_or(&none);
        let pair = |f: fn(&Seen) -> f64| format!("{} -> {}", f(was), f(now));
        println!(
            "{:<64}{:>10}{:>16}{:>18}{:>16}{:>14}{:>14}{:>16}",
            name(day),
            pair(|s| s.forgotten_75 as f64),
            pair(|s| s.largest_late as f64),
            pair(|s| s.longest_unanswered_s),
            pair(|s| s.longest_without_owner_s),
            pair(|s| s.no_node as f64),
            pair(|s| s.refused as f64),
            pair(|s| s.tasks_lost as f64)
        );
        notes.iter().take(5).for_each(|n| println!("    {n}"));
    }
}

fn summed_up(seen: &[(Seen, Vec<String>)]) -> Seen {
    seen.iter().fold(Seen::default(), |sum, (s, _)| Seen {
        rules_broken: sum.rules_broken + s.rules_broken,
        forgotten_75: sum.forgotten_75 + s.forgotten_75,
        served_below_half: sum.served_below_half + s.served_below_half,
        largest_late: sum.largest_late + s.largest_late,
        longest_unanswered_s: sum.longest_unanswered_s.max(s.longest_unanswered_s),
        longest_without_owner_s: sum.longest_without_owner_s.max(s.longest_without_owner_s),
        no_node: sum.no_node + s.no_node,
        refused: sum.refused + s.refused,
        tasks_lost: sum.tasks_lost + s.tasks_lost,
        done: sum.done + s.done / seen.len() as f64,
    })
}

/// The days that the command line asks for.
fn chosen(args: &[String]) -> Vec<Day> {
    let number = |i: usize, or: u64| args.get(i).and_then(|a| a.parse().ok()).unwrap_or(or);
    let small = |kind: usize, seed, nodes| Day { kind, seed, nodes, size: Size::SMALL };
    match args.first().map(String::as_str) {
        Some("small") if args.len() > 1 => {
            env_logger::Builder::new().filter_level(log::LevelFilter::Debug).format_timestamp(None).init();
            vec![small(number(1, 0) as usize % kinds().len(), number(2, 0), number(3, 3) as usize)]
        }
        Some("small") => (0..kinds().len())
            .flat_map(|kind| {
                (0..SMALL_SEEDS).map(move |seed| small(kind, seed, [3, 5, 7][seed as usize % 3]))
            })
            .collect(),
        _ => fleet_days(),
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let days = chosen(&args);
    let seen = play_all(&days);
    let sum = summed_up(&seen);
    if args.first().is_some_and(|a| a == "record") {
        let named = days.iter().zip(&seen).map(|(d, (s, _))| (name(d), s.clone()));
        let about = args.get(1).cloned().unwrap_or_default();
        let text = serde_json::to_string_pretty(&Recorded { about, days: named.collect() });
        std::fs::write(RECORDED, text.expect("plain figures") + "\n")
            .expect("the recorded file can be written");
    }
    if args.first().is_some_and(|a| a == "small") {
        for (day, (_, notes)) in days.iter().zip(&seen).filter(|(_, (_, notes))| !notes.is_empty()) {
            println!("{} (kind {}, seed {}): {notes:?}", name(day), day.kind, day.seed);
        }
    } else {
        let recorded: Recorded =
            serde_json::from_str(include_str!("own_days.json")).expect("the recorded file is readable");
        println!("recorded: {}", recorded.about);
        table(&days, &seen, &recorded.days);
    }
    println!("\n{}", json!(sum));
    let bad = sum.rules_broken + sum.forgotten_75 + sum.served_below_half + sum.largest_late;
    std::process::exit(i32::from(bad > 0));
}
