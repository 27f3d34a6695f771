//! Days on which somebody was left waiting beside room.

use standins::meetings::{day, play};

fn assert_no_job_left_waiting(name: &str, seed: u64, nodes: usize) {
    let outcome = play(day(name, seed, nodes).expect("a known day")).1;
    assert!(outcome.failures.is_empty(), "{:?}", outcome.failures);
}

/// An array of low urgency found nothing but machines that were kept for expected gangs, for 93 s.
#[test]
fn low_priority_array_starts_beside_machines_kept_for_gangs() {
    assert_no_job_left_waiting("leader-ends-unheard", 0, 5);
}

/// More work than room, over slow links. (A gang bound to one zone waited here for 104 s before the days were drawn anew.)
#[test]
fn no_job_is_left_waiting_with_more_work_than_capacity() {
    assert_no_job_left_waiting("crowded-over-slow-links", 0, 3);
}

/// One-task jobs, four a second: they too waited beside what was kept, for up to 115 s.
#[test]
fn no_job_is_left_waiting_in_a_flood_of_one_task_jobs() {
    assert_no_job_left_waiting("one-task-jobs", 2, 5);
    assert_no_job_left_waiting("one-task-jobs", 2, 7);
}
