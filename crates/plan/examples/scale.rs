//! The cost of a plan by fleet size, in counted steps, never in time: `cargo run --release -q -p plan --example scale`.
//!
//! Plans for 500 to 16,000 machines in 12 zones and a fifth as many pending jobs of 86 teams, with the linear search
//! and with the index. Exits with code 1 if a target is missed.

#[path = "../tests/fleets/mod.rs"]
mod fleets;

use plan::{Input, Output, Search, plan};
use std::process::ExitCode;

const SEED: u64 = 1;
const FLEETS: [u32; 4] = [500, 2000, 3300, 16_000];
/// Soft limit of steps on the share of a small controller; twice as many are the hard limit.
const BOUND: u64 = 240_000;
const PLANNED: u32 = 3300;
const LARGEST: u32 = 16_000;
/// Targets for the planned size: at most so many steps, and at least this share of the starts of a plan without limit.
const PLANNED_STEPS: u64 = 480_000;
const PLANNED_STARTS: f64 = 0.95;
/// Target for the largest fleet: at most so many steps.
const LARGEST_STEPS: u64 = 3_000_000;
/// Above this size the linear search without limit is not run: it would take minutes and show nothing new.
const WALKED: u32 = 3300;

fn starts(output: &Output) -> u32 {
    output.starts.iter().map(|start| start.count).sum()
}

fn played(input: &Input, search: Search, max_steps: u64) -> Output {
    plan(&Input {
        search,
        max_steps,
        ..input.clone()
    })
}

fn show(output: &Output) -> String {
    format!("{} / {}", output.steps, starts(output))
}

fn main() -> ExitCode {
    let unbounded = u64::MAX / 4;
    let mut missed = Vec::new();
    println!("steps / starts; the bound is {BOUND} steps, twice that at most\n");
    println!("| machines, jobs | walk | walk, bounded | index | index, bounded |");
    println!("| --- | --- | --- | --- | --- |");
    for machines in FLEETS {
        let jobs = machines as usize / 5;
        let input = fleets::input(SEED, machines, jobs);
        let all = played(&input, Search::Indexed, unbounded);
        let some = played(&input, Search::Indexed, BOUND);
        let walk = |max_steps| {
            let is_played = machines <= WALKED || max_steps == BOUND;
            is_played.then(|| played(&input, Search::Linear, max_steps))
        };
        let shown = |output: Option<Output>| output.as_ref().map_or("not played".to_owned(), show);
        println!(
            "| {machines}, {jobs} | {} | {} | {} | {} |",
            shown(walk(unbounded)),
            shown(walk(BOUND)),
            show(&all),
            show(&some)
        );
        let least = f64::from(starts(&all)) * PLANNED_STARTS;
        if machines == PLANNED && some.steps > PLANNED_STEPS {
            missed.push(format!("{machines} machines: {} steps", some.steps));
        }
        if machines == PLANNED && f64::from(starts(&some)) < least {
            missed.push(format!(
                "{machines} machines: {} starts of {}",
                starts(&some),
                starts(&all)
            ));
        }
        if machines == LARGEST && some.steps > LARGEST_STEPS {
            missed.push(format!("{machines} machines: {} steps", some.steps));
        }
    }
    for what in &missed {
        println!("missed: {what}");
    }
    if missed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
