//! The operators' own scenarios at fleet size, in virtual time: quick restarts during every kind of fault, users behind
//! a load balancer, 1,200 and 1,800 machines; prints the recorded figures of an earlier version for comparison.
//!
//! `cargo run --release -q -p standins --example own_days`; the last line is JSON. `-- small KIND SEED NODES` runs one
//! small scenario with the controllers' logs, `-- seeds N` N small scenarios of each kind, `-- record ABOUT` rewrites
//! the recorded figures.

use serde::{Deserialize, Serialize};
use serde_json::json;
use standins::checks::Verdict;
use standins::days::{Size, kinds, plan};
use standins::parallel;
use standins::world::World;
use std::collections::BTreeMap;

const RECORDED: &str = "crates/standins/examples/own_days.json";
const SIZES: [usize; 2] = [1200, 1800];
/// Number of simulations that run in parallel.
const THREADS: usize = 8;

#[derive(Clone, Copy)]
struct Day {
    kind: usize,
    seed: u64,
    nodes: usize,
    size: Size,
}

/// Results of a scenario, as they are recorded.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct DayResults {
    rules_broken: usize,
    forgotten_75: usize,
    served_below_half: usize,
    largest_late: usize,
    longest_unanswered_s: f64,
    #[serde(rename = "longest_without_owner_s")]
    longest_without_leader_s: f64,
    longest_without_node_s: f64,
    fewest_running: f64,
    accepted_in_1s: f64,
    no_node: u64,
    tasks_lost: u64,
    done: f64,
}

#[derive(Serialize, Deserialize)]
struct Recorded {
    about: String,
    days: BTreeMap<String, DayResults>,
}

fn rounded(share: f64) -> f64 {
    (share * 1000.0).round() / 1000.0
}

fn run_day(day: Day) -> (DayResults, Vec<String>) {
    let mut world = World::new(plan(day.kind, day.seed, day.nodes, day.size));
    world.run_day();
    let v: Verdict = world.verdict();
    let notes = v.failures(&world.rules);
    let results = DayResults {
        rules_broken: world.rules.broken.len(),
        forgotten_75: v.forgotten_75.len(),
        served_below_half: v.served_below_half.len(),
        largest_late: v.largest_late.len(),
        longest_unanswered_s: v.longest_unanswered_s,
        longest_without_leader_s: v.longest_without_leader_s,
        longest_without_node_s: v.longest_without_node_s,
        fewest_running: rounded(v.fewest_running),
        accepted_in_1s: rounded(v.accepted_in_1s),
        no_node: v.no_node,
        tasks_lost: world.lost,
        done: rounded(v.done as f64 / v.jobs.max(1) as f64),
    };
    (results, notes)
}

fn day_name(day: &Day) -> String {
    format!("{} {} {}", day.size.machines, day.nodes, kinds()[day.kind])
}

fn fleet_days() -> Vec<Day> {
    // Larger fleets first, since they take longest.
    let kinds = (0..kinds().len()).flat_map(|kind| SIZES.map(|machines| (kind, machines)));
    let mut days: Vec<Day> = kinds
        .map(|(kind, machines)| {
            // Every third kind has more controllers.
            let nodes = [3, 3, 5, 3, 3, 7][kind % 6];
            Day {
                kind,
                seed: 2 * kind as u64 + u64::from(kind % 3 == 0),
                nodes,
                size: Size::fleet(machines),
            }
        })
        .collect();
    days.sort_by_key(|d| std::cmp::Reverse(d.size.machines));
    days
}

type Figure = (&'static str, fn(&DayResults) -> f64);

const FIGURES: [Figure; 10] = [
    ("broken", |s| s.rules_broken as f64),
    ("forgotten", |s| s.forgotten_75 as f64),
    ("late largest", |s| s.largest_late as f64),
    ("unanswered s", |s| s.longest_unanswered_s),
    ("ownerless s", |s| s.longest_without_leader_s),
    ("nodeless s", |s| s.longest_without_node_s),
    ("no node", |s| s.no_node as f64),
    ("fewest run", |s| s.fewest_running),
    ("in 1 s, share", |s| s.accepted_in_1s),
    ("tasks lost", |s| s.tasks_lost as f64),
];

fn print_table(
    days: &[Day],
    results: &[(DayResults, Vec<String>)],
    before: &BTreeMap<String, DayResults>,
) {
    print!("{:<62}", "machines, controllers and day: recorded -> now");
    FIGURES.iter().for_each(|(title, _)| print!("{title:>17}"));
    println!();
    let none = DayResults::default();
    for (day, (now, notes)) in days.iter().zip(results) {
        let recorded = before.get(&day_name(day)).unwrap_or(&none);
        print!("{:<62}", day_name(day));
        FIGURES
            .iter()
            .for_each(|(_, f)| print!("{:>17}", format!("{} -> {}", f(recorded), f(now))));
        println!();
        notes.iter().take(5).for_each(|n| println!("    {n}"));
    }
}

/// Sums of counts, and the worst of durations and shares.
fn totals(results: &[(DayResults, Vec<String>)]) -> DayResults {
    let all = || results.iter().map(|(s, _)| s);
    let longest = |f: fn(&DayResults) -> f64| all().map(f).fold(0.0, f64::max);
    let least = |f: fn(&DayResults) -> f64| all().map(f).fold(1.0, f64::min);
    DayResults {
        rules_broken: all().map(|s| s.rules_broken).sum(),
        forgotten_75: all().map(|s| s.forgotten_75).sum(),
        served_below_half: all().map(|s| s.served_below_half).sum(),
        largest_late: all().map(|s| s.largest_late).sum(),
        longest_unanswered_s: longest(|s| s.longest_unanswered_s),
        longest_without_leader_s: longest(|s| s.longest_without_leader_s),
        longest_without_node_s: longest(|s| s.longest_without_node_s),
        fewest_running: least(|s| s.fewest_running),
        accepted_in_1s: least(|s| s.accepted_in_1s),
        no_node: all().map(|s| s.no_node).sum(),
        tasks_lost: all().map(|s| s.tasks_lost).sum(),
        done: least(|s| s.done),
    }
}

/// The scenarios that the command line selects.
fn requested_days(args: &[String]) -> Vec<Day> {
    let number = |i: usize, or: u64| args.get(i).and_then(|a| a.parse().ok()).unwrap_or(or);
    let small = |kind: usize, seed, nodes| Day {
        kind,
        seed,
        nodes,
        size: Size::SMALL,
    };
    match args.first().map(String::as_str) {
        Some("small") => {
            env_logger::Builder::new()
                .filter_level(log::LevelFilter::Debug)
                .format_timestamp(None)
                .init();
            vec![small(
                number(1, 0) as usize % kinds().len(),
                number(2, 0),
                number(3, 3) as usize,
            )]
        }
        Some("seeds") => (0..kinds().len())
            .flat_map(|kind| {
                (0..number(1, 20)).map(move |seed| small(kind, seed, [3, 5, 7][seed as usize % 3]))
            })
            .collect(),
        _ => fleet_days(),
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let days = requested_days(&args);
    let results = parallel::map(&days, THREADS, |day| run_day(*day));
    let sum = totals(&results);
    if args.first().is_some_and(|a| a == "record") {
        let named = days
            .iter()
            .zip(&results)
            .map(|(d, (s, _))| (day_name(d), s.clone()));
        let about = args.get(1).cloned().unwrap_or_default();
        let text = serde_json::to_string_pretty(&Recorded {
            about,
            days: named.collect(),
        });
        std::fs::write(RECORDED, text.expect("figures can be serialized") + "\n")
            .expect("the file of recorded figures can be written");
    }
    if args.first().is_some_and(|a| a == "small" || a == "seeds") {
        for (day, (_, notes)) in days
            .iter()
            .zip(&results)
            .filter(|(_, (_, notes))| !notes.is_empty())
        {
            println!(
                "{} (kind {}, seed {}): {notes:?}",
                day_name(day),
                day.kind,
                day.seed
            );
        }
        for (title, f) in FIGURES.iter().filter(|(title, _)| title.ends_with(" s")) {
            let worst = days
                .iter()
                .zip(&results)
                .max_by(|a, b| f(&a.1.0).total_cmp(&f(&b.1.0)));
            if let Some((day, (s, _))) = worst {
                println!(
                    "most {title}: {} in {} (kind {}, seed {})",
                    f(s),
                    day_name(day),
                    day.kind,
                    day.seed
                );
            }
        }
    } else {
        let recorded: Recorded = serde_json::from_str(include_str!("own_days.json"))
            .expect("the file of recorded figures can be parsed");
        println!("recorded: {}", recorded.about);
        print_table(&days, &results, &recorded.days);
    }
    println!("\n{}", json!(sum));
    let bad = sum.rules_broken + sum.forgotten_75 + sum.served_below_half + sum.largest_late;
    std::process::exit(i32::from(bad > 0));
}
