//! The checker sees each rule broken, in whatever order processes tell of it, and nothing else.

use capacity::checker::{Checker, FORGOTTEN_MS, SETTLED_MS, Told};
use capacity::messages::{Change, TaskChange};
use capacity::size::Size;
use capacity::workload::{Class, Workload};
use clap::Parser;
use wire::api::{Cause, Stage};

const LIMIT: f64 = 30.0;
const CANCEL_MS: u64 = 10_000;
const LATER: u64 = 1_000_000;

#[derive(Parser)]
struct Arguments {
    #[command(flatten)]
    size: Size,
}

fn workload() -> Workload {
    Workload::new(&Arguments::parse_from(["test"]).size)
}

/// A checker that knows one job, and the job's id and tasks.
fn checker(class: Class) -> (Checker, String, u32) {
    let workload = workload();
    let id = class.job_id(3);
    let spec = workload.spec(&id).expect("a job");
    let tasks = spec.tasks;
    let mut checker = Checker::new(LIMIT, CANCEL_MS);
    checker.submitted(spec);
    (checker, id, tasks)
}

fn change(at: u64, job: &str, task: u32, machine: &str, what: Change) -> TaskChange {
    TaskChange {
        at,
        task: wire::ids::task_name(job, task),
        attempt: 1,
        machine: machine.to_owned(),
        zone: machine.len() % 3,
        what,
    }
}

const ON: Change = Change::On { fetch_ms: 0 };
const DONE: Change = Change::Off {
    cause: Some(Cause::Done),
};

fn told(at: u64, job: &str, status: u16, stage: Stage) -> Told {
    Told {
        asked: at - 5,
        at,
        job: job.to_owned(),
        status,
        stage: Some(stage),
        is_submission: false,
    }
}

fn broken(checker: &mut Checker) -> Vec<&'static str> {
    checker.check(LATER);
    checker.check_cancelled(LATER);
    checker.broken().keys().copied().collect()
}

#[test]
fn a_task_that_ends_and_starts_elsewhere_breaks_nothing() {
    let (mut checker, job, _) = checker(Class::Urgent);
    // Told late, and out of order.
    checker.task(change(200, &job, 0, "host-2", ON));
    checker.task(change(100, &job, 0, "host-1", ON));
    let killed = Change::Off { cause: None };
    checker.task(change(200, &job, 0, "host-1", killed));
    checker.task(change(300, &job, 0, "host-2", DONE));
    checker.told(told(300, &job, 200, Stage::Done));
    assert_eq!(broken(&mut checker), Vec::<&str>::new());
    assert_eq!((checker.tasks_completed(), checker.on_machines()), (1, 0));
}

/// Seen at 3,300 workers: a task that was stopped in the millisecond in which it had its image, and ran elsewhere.
#[test]
fn a_task_that_comes_and_goes_at_once_is_not_on_its_machine() {
    let (mut checker, job, _) = checker(Class::Urgent);
    let stopped = Change::Off {
        cause: Some(Cause::Stopped),
    };
    checker.task(change(100, &job, 0, "host-1", ON));
    checker.task(change(100, &job, 0, "host-1", stopped));
    let mut again = change(200, &job, 0, "host-2", ON);
    again.attempt = 2;
    checker.task(again);
    assert_eq!(broken(&mut checker), Vec::<&str>::new());
    assert_eq!(checker.on_machines(), 1);
}

#[test]
fn a_task_on_two_machines_is_seen() {
    let (mut checker, job, _) = checker(Class::Urgent);
    checker.task(change(100, &job, 0, "host-1", ON));
    checker.task(change(200, &job, 0, "host-2", ON));
    assert_eq!(broken(&mut checker), ["ran_twice"]);
}

#[test]
fn a_team_above_its_limit_is_seen() {
    let (mut checker, job, tasks) = checker(Class::BaseArray);
    let within = LIMIT as u32;
    for task in 0..within {
        checker.task(change(100, &job, task, "host-1", ON));
    }
    assert_eq!(broken(&mut checker), Vec::<&str>::new());
    assert!(tasks > within);
    checker.task(change(101, &job, within, "host-1", ON));
    assert_eq!(broken(&mut checker), ["quota"]);
}

#[test]
fn a_gang_in_two_zones_is_seen() {
    let (mut checker, job, _) = checker(Class::BaseGang);
    checker.task(change(100, &job, 0, "host-1", ON));
    checker.task(change(101, &job, 1, "host-10", ON));
    assert_eq!(broken(&mut checker), ["wrong_place"]);
}

#[test]
fn cancelled_work_that_goes_on_is_seen() {
    let (mut checker, job, _) = checker(Class::Urgent);
    checker.task(change(100, &job, 0, "host-1", ON));
    checker.cancel_asked(&job);
    checker.told(told(200, &job, 200, Stage::Cancelled));
    checker.check(200 + CANCEL_MS);
    checker.check_cancelled(200 + CANCEL_MS);
    assert!(checker.broken().is_empty());
    assert_eq!(broken(&mut checker), ["ran_cancelled"]);
}

#[test]
fn what_users_must_not_be_told_is_seen() {
    let (mut early, job, _) = checker(Class::Urgent);
    early.told(told(100, &job, 200, Stage::Done));
    assert_eq!(broken(&mut early), ["not_done"]);

    let (mut uncancelled, job, _) = checker(Class::Urgent);
    uncancelled.told(told(100, &job, 200, Stage::Cancelled));
    assert_eq!(broken(&mut uncancelled), ["went_back"]);

    let (mut lost, job, _) = checker(Class::Urgent);
    lost.told(told(100, &job, 201, Stage::Pending));
    lost.told(told(200, &job, 404, Stage::Pending));
    assert_eq!(broken(&mut lost), ["forgotten"]);

    let (mut silent, job, _) = checker(Class::Urgent);
    silent.unanswered(&job, FORGOTTEN_MS, 100);
    assert_eq!(broken(&mut silent), Vec::<&str>::new());
    silent.unanswered(&job, FORGOTTEN_MS + 1, 100);
    assert_eq!(broken(&mut silent), ["forgotten"]);
}

#[test]
fn what_may_still_be_told_is_waited_for() {
    let (mut checker, job, _) = checker(Class::Urgent);
    checker.task(change(1000, &job, 0, "host-1", ON));
    checker.check(1000 + SETTLED_MS - 1);
    assert_eq!(checker.on_machines(), 0);
    checker.check(1000 + SETTLED_MS);
    assert_eq!(checker.on_machines(), 1);
}
