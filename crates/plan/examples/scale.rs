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
const PLANNED_MACHINES: u32 = 3300;
const LARGEST_MACHINES: u32 = 16_000;
/// Targets for the planned size: at most so many steps, and at least this share of the starts of a plan without limit.
const PLANNED_STEPS: u64 = 480_000;
const PLANNED_STARTS: f64 = 0.95;
/// Target for the largest fleet: at most so many steps.
const LARGEST_STEPS: u64 = 3_000_000;
/// Above this size the linear search without limit is not run: it would take minutes and show nothing new.
const MAX_LINEAR_MACHINES: u32 = 3300;

fn starts(output: &Output) -> u32 {
    output.starts.iter().map(|start| start.count).sum()
}

fn run_plan(input: &Input, search: Search, max_steps: u64) -> Output {
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
    let no_limit = u64::MAX / 4;
    let mut missed = Vec::new();
    println!("steps / starts; the bound is {BOUND} steps, twice that at most\n");
    println!("| machines, jobs | walk | walk, bounded | index | index, bounded |");
    println!("| --- | --- | --- | --- | --- |");
    for machines in FLEETS {
        let jobs = machines as usize / 5;
        let input = fleets::input(SEED, machines, jobs);
        let unlimited = run_plan(&input, Search::Indexed, no_limit);
        let limited = run_plan(&input, Search::Indexed, BOUND);
        let linear = |max_steps| {
            let is_run = machines <= MAX_LINEAR_MACHINES || max_steps == BOUND;
            is_run.then(|| run_plan(&input, Search::Linear, max_steps))
        };
        let shown = |output: Option<Output>| output.as_ref().map_or("not played".to_owned(), show);
        println!(
            "| {machines}, {jobs} | {} | {} | {} | {} |",
            shown(linear(no_limit)),
            shown(linear(BOUND)),
            show(&unlimited),
            show(&limited)
        );
        let least = f64::from(starts(&unlimited)) * PLANNED_STARTS;
        if machines == PLANNED_MACHINES && limited.steps > PLANNED_STEPS {
            missed.push(format!("{machines} machines: {} steps", limited.steps));
        }
        if machines == PLANNED_MACHINES && f64::from(starts(&limited)) < least {
            missed.push(format!(
                "{machines} machines: {} starts of {}",
                starts(&limited),
                starts(&unlimited)
            ));
        }
        if machines == LARGEST_MACHINES && limited.steps > LARGEST_STEPS {
            missed.push(format!("{machines} machines: {} steps", limited.steps));
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
