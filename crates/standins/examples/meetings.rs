//! Combinations of faults in virtual time: the named scenarios, which operators have seen break rules, and all pairs of
//! faults, each with 3, 5 and 7 controllers; all triples with one of these numbers in turn.
//!
//! `cargo run --release -q -p standins --example meetings`; the last line is JSON. `-- --seeds N` runs N seeds of each,
//! `-- --nodes N` only this number of controllers, `-- --of N` only named scenarios (1), pairs (2) or triples (3).
//! `-- --day NAME SEED NODES` runs one scenario with the controllers' logs: a named one, or kinds of faults joined by
//! `+`.

use serde_json::{Value, json};
use standins::meetings::{Played, day, kinds, named, play};
use standins::parallel;
use std::ops::RangeInclusive;

const SEEDS: u64 = 4;
const NODES: [usize; 3] = [3, 5, 7];
/// Number of simulations that run in parallel.
const THREADS: usize = 8;

struct ScenarioRun {
    name: String,
    seed: u64,
    nodes: usize,
}

impl ScenarioRun {
    /// Whether it combines this number of kinds of faults, this one among them.
    fn combines(&self, kind: &str, kinds: usize) -> bool {
        let mut of = self.name.split('+');
        of.clone().count() == kinds && of.any(|k| k == kind)
    }
}

/// Command given on the command line.
enum Command {
    All {
        seeds: u64,
        nodes: Option<usize>,
        of: Option<u64>,
    },
    Day(ScenarioRun),
}

/// Parses a number within bounds; the error names the argument.
fn number(name: &str, given: Option<&String>, bounds: RangeInclusive<u64>) -> Result<u64, String> {
    let (low, high) = (bounds.start(), bounds.end());
    let given = given.ok_or(format!("{name}: a number from {low} to {high} is missing"))?;
    let n = given.parse().ok().filter(|n| bounds.contains(n));
    n.ok_or(format!(
        "{name}: {given:?} is not a number from {low} to {high}"
    ))
}

fn nodes(name: &str, given: Option<&String>) -> Result<usize, String> {
    Ok(number(name, given, 1..=15)? as usize)
}

fn parse_args(args: &[String]) -> Result<Command, String> {
    let (mut seeds, mut only_nodes, mut of) = (SEEDS, None, None);
    let mut args = args.iter();
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--seeds" => seeds = number("--seeds", args.next(), 1..=10_000)?,
            "--nodes" => only_nodes = Some(nodes("--nodes", args.next())?),
            "--of" => of = Some(number("--of", args.next(), 1..=3)?),
            "--day" => {
                let name = args
                    .next()
                    .ok_or("--day: NAME SEED NODES are missing")?
                    .clone();
                let seed = number("--day NAME SEED", args.next(), 0..=u64::MAX)?;
                let nodes = nodes("--day NAME SEED NODES", args.next())?;
                if day(&name, seed, nodes).is_none() {
                    let known = [named(), kinds()].map(|n| n.join(", "));
                    return Err(format!(
                        "--day: {name:?} is neither one of {} nor made of {} joined by +",
                        known[0], known[1]
                    ));
                }
                return match args.next() {
                    Some(more) => Err(format!(
                        "{more:?}: nothing may follow --day NAME SEED NODES"
                    )),
                    None => Ok(Command::Day(ScenarioRun { name, seed, nodes })),
                };
            }
            other => {
                return Err(format!(
                    "{other:?}: unknown argument; known are --seeds N, --nodes N, --of N and --day NAME SEED NODES"
                ));
            }
        }
    }
    Ok(Command::All {
        seeds,
        nodes: only_nodes,
        of,
    })
}

/// Named scenarios and pairs with each number of controllers, triples with one of them in turn; `of` selects one of
/// these three groups.
fn all_runs(seeds: u64, only_nodes: Option<usize>, of: Option<u64>) -> Vec<ScenarioRun> {
    let node_counts: Vec<usize> = only_nodes.map_or(NODES.to_vec(), |n| vec![n]);
    let (named, kinds) = (named(), kinds());
    let mut days = Vec::new();
    let mut add = |name: String, nodes: &[usize], seed: u64| {
        days.extend(nodes.iter().map(|n| ScenarioRun {
            name: name.clone(),
            seed,
            nodes: *n,
        }));
    };
    for seed in 0..seeds {
        named
            .iter()
            .for_each(|n| add((*n).to_owned(), &node_counts, seed));
        for (i, a) in kinds.iter().enumerate() {
            for (j, b) in kinds.iter().enumerate().skip(i + 1) {
                add(format!("{a}+{b}"), &node_counts, seed);
                for (k, c) in kinds.iter().enumerate().skip(j + 1) {
                    let turn = (i + j + k + seed as usize) % node_counts.len();
                    add(format!("{a}+{b}+{c}"), &node_counts[turn..=turn], seed);
                }
            }
        }
    }
    let kind_count = |d: &ScenarioRun| d.name.split('+').count() as u64;
    days.retain(|d| of.is_none_or(|of| of == kind_count(d)));
    days
}

/// Totals and maxima over some scenarios.
#[derive(Default)]
struct Row {
    days: usize,
    rules_broken: usize,
    forgotten: usize,
    below_half: usize,
    late: usize,
    beside_room: usize,
    beside_room_s: f64,
    life_ms: u64,
    cancel_ms: u64,
    lost: u64,
    unanswered_s: f64,
    /// Starts after a confirmed cancellation, and those of them that were also ordered after it.
    started: u64,
    ordered: u64,
    changes: f64,
    failed: usize,
}

impl Row {
    fn of<'a>(played: impl Iterator<Item = &'a (ScenarioRun, Played)>) -> Self {
        let mut row = Row::default();
        for (_, p) in played {
            let v = &p.verdict;
            row.days += 1;
            row.rules_broken += p.rules_broken;
            row.forgotten += v.forgotten_75.len();
            row.below_half += v.served_below_half.len();
            row.late += v.largest_late.len();
            row.beside_room += v.beside_room.len();
            row.beside_room_s = row.beside_room_s.max(v.longest_beside_room_s);
            row.life_ms = row.life_ms.max(p.cancelled_life_ms);
            row.cancel_ms = p.cancel_ms;
            row.lost += p.lost;
            row.unanswered_s = row.unanswered_s.max(v.longest_unanswered_s);
            row.started += p.after_cancel.started;
            row.ordered += p.after_cancel.ordered;
            row.changes = row.changes.max(p.changes_per_job);
            row.failed += usize::from(!p.failures.is_empty());
        }
        row
    }

    fn print(&self, title: &str) {
        println!(
            "{title:<28}{:>6}{:>8}{:>11}{:>8}{:>6}{:>14}{:>10}{:>14}{:>8}{:>10}",
            self.days,
            self.rules_broken,
            self.forgotten,
            self.below_half,
            self.late,
            format!(
                "{:.1} of {}",
                self.life_ms as f64 / 1000.0,
                self.cancel_ms / 1000
            ),
            self.lost,
            format!("{:.1}", self.unanswered_s),
            self.beside_room,
            format!("{:.1}", self.beside_room_s),
        );
    }

    fn json(&self) -> Value {
        json!({"days": self.days, "rules_broken": self.rules_broken, "forgotten_75": self.forgotten,
               "served_below_half": self.below_half, "largest_late": self.late,
               "beside_room": self.beside_room, "longest_beside_room_s": self.beside_room_s,
               "longest_cancelled_life_s": self.life_ms as f64 / 1000.0, "cancel_s": self.cancel_ms as f64 / 1000.0,
               "tasks_lost": self.lost, "longest_unanswered_s": self.unanswered_s, "starts_after_cancel": self.started,
               "ordered_after_cancel": self.ordered, "most_changes_per_job": self.changes, "days_failed": self.failed})
    }
}

fn print_table(played: &[(ScenarioRun, Played)]) -> Row {
    println!(
        "{:<28}{:>6}{:>8}{:>11}{:>8}{:>6}{:>14}{:>10}{:>14}{:>8}{:>10}",
        "meeting",
        "days",
        "broken",
        "forgotten",
        "< half",
        "late",
        "cancelled s",
        "lost",
        "unanswered s",
        "beside",
        "beside s"
    );
    for name in named() {
        Row::of(played.iter().filter(|(d, _)| d.name == name)).print(name);
    }
    for (of, what) in [(2, "pairs"), (3, "triples")] {
        for kind in kinds() {
            Row::of(played.iter().filter(|(d, _)| d.combines(kind, of)))
                .print(&format!("{what} with {kind}"));
        }
    }
    let all = Row::of(played.iter());
    all.print("all");
    all
}

fn run(day: &ScenarioRun) -> Option<Played> {
    let plan = standins::meetings::day(&day.name, day.seed, day.nodes)?;
    let played = play(plan).1;
    // Reported at once, since the whole run takes long.
    if !played.failures.is_empty() {
        eprintln!(
            "--day {} {} {}: {:?}",
            day.name, day.seed, day.nodes, played.failures
        );
    }
    Some(played)
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let days = match parse_args(&args) {
        Ok(Command::All { seeds, nodes, of }) => all_runs(seeds, nodes, of),
        Ok(Command::Day(day)) => {
            env_logger::Builder::new()
                .filter_level(log::LevelFilter::Debug)
                .format_timestamp(None)
                .init();
            let plan = standins::meetings::day(&day.name, day.seed, day.nodes);
            let troubles = plan.and_then(|p| p.scene?.day).map(|d| d.troubles);
            troubles
                .iter()
                .flatten()
                .for_each(|(at, t)| println!("{at}: {t:?}"));
            vec![day]
        }
        Err(what) => {
            eprintln!("{what}");
            std::process::exit(2);
        }
    };
    let done = parallel::map(&days, THREADS, run);
    let played: Vec<(ScenarioRun, Played)> = days
        .into_iter()
        .zip(done)
        .filter_map(|(d, p)| Some((d, p?)))
        .collect();
    let all = print_table(&played);
    println!("\n{}", all.json());
    std::process::exit(i32::from(all.failed > 0));
}
