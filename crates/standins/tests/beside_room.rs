//! Scenarios in which a job was left waiting although there was capacity for it.

use standins::meetings::{day, play};

fn assert_no_job_left_waiting(name: &str, seed: u64, nodes: usize) {
    let outcome = play(day(name, seed, nodes).expect("a known scenario")).1;
    assert!(outcome.failures.is_empty(), "{:?}", outcome.failures);
}

/// Guards against a fault in which a low-priority array waited for 93 s because all free machines were kept for expected
/// gangs.
#[test]
fn low_priority_array_starts_beside_machines_kept_for_gangs() {
    assert_no_job_left_waiting("leader-ends-unheard", 0, 5);
}

/// More work than capacity, over slow links. With an earlier version of the random scenarios, a gang bound to one zone
/// waited here for 104 s.
#[test]
fn no_job_is_left_waiting_with_more_work_than_capacity() {
    assert_no_job_left_waiting("crowded-over-slow-links", 0, 3);
}

/// Four one-task jobs per second. Guards against a fault in which they waited for up to 115 s beside machines that were
/// kept.
#[test]
fn no_job_is_left_waiting_in_a_flood_of_one_task_jobs() {
    assert_no_job_left_waiting("one-task-jobs", 2, 5);
    assert_no_job_left_waiting("one-task-jobs", 2, 7);
}
