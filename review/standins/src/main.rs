//! Drives the cases of the review. `run.sh` of a case calls it with the case's name; see the case's `claim.txt`.

mod balancer;
mod cancelled_on_hung_machines;
mod controllers;
mod gang_beside_room;
mod healthy_machines_cordoned;
mod job_beside_room;
mod net;
mod odd_submissions;
mod polls_at_cut_leader;
mod random_troubles;
mod world;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// A case that takes longer is ended with all its processes.
const LONGEST: Duration = Duration::from_secs(117);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(record)) = (args.next(), args.next()) else {
        eprintln!("usage: review-standins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let Ok(record) = std::fs::File::create(&record) else {
        eprintln!("{record}: can't be written");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(LONGEST);
        println!("the case could not run: it took too long");
        controllers::end_all();
        std::process::exit(2);
    });
    let verdict = match case.as_str() {
        "cancelled-on-hung-machines" => cancelled_on_hung_machines::run(record, trouble),
        "job-beside-room" => job_beside_room::run(record, trouble),
        "gang-beside-room" => gang_beside_room::run(record, trouble),
        "polls-at-cut-leader" => polls_at_cut_leader::run(record, trouble),
        "healthy-machines-cordoned" => healthy_machines_cordoned::run(record, trouble),
        "random-troubles" => random_troubles::run(record),
        "odd-submissions" => odd_submissions::run(record),
        other => Verdict::CouldNotRun(format!("no such case: {other}")),
    };
    match verdict {
        Verdict::Held => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken(why) => {
            println!("the rule was broken: {why}");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(why) => {
            println!("the case could not run: {why}");
            ExitCode::from(2)
        }
    }
}
