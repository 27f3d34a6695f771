//! A node whose settings name a smaller, upcoming write rate. When that rate begins is visible only by refused writes.

mod node_harness;

use node_harness::{NodeHarness, job_spec};
use wire::settings::NextGiven;

/// Submissions that arrive at once.
const FLOOD: u64 = 60;
/// What a follower may write in a second by the example settings, and by the upcoming write rate.
const CURRENT_WRITES: usize = 9;
const UPCOMING_WRITES: usize = 3;

fn new_node(has_upcoming_rate: bool) -> NodeHarness {
    let mut p = NodeHarness::with(|settings| {
        settings.cluster.state.next = has_upcoming_rate.then_some(NextGiven {
            rps: None,
            write_rps: Some(10.0),
            value_kb: Some(2.0),
            txn_ops: Some(5),
        });
    });
    p.learn_shared_state_with_types("burrow-1");
    p.run_accepting_writes(1500);
    p
}

/// How many submissions of a flood are written at once.
fn writes_of_flood(p: &mut NodeHarness) -> usize {
    for conn in 0..FLOOD {
        p.client_request(conn, "POST", "/work", wire::encode(&job_spec()));
    }
    p.sent.iter().filter(|s| s.path == "/txn").count()
}

/// Refuses `n` writes with 429; all others, and the repeated ones, are accepted.
fn refuse_writes(p: &mut NodeHarness, n: usize) {
    for _ in 0..n {
        let txn = p.take_sent(|s| s.path == "/txn").expect("writes");
        p.reply(&txn, 429, Vec::new());
    }
    p.run_accepting_writes(1500);
}

#[test]
fn refusals_lower_the_write_rate_for_a_while() {
    let mut p = new_node(true);
    assert_eq!(
        writes_of_flood(&mut p),
        CURRENT_WRITES,
        "the current rate applies until then"
    );
    refuse_writes(&mut p, 3);
    assert_eq!(writes_of_flood(&mut p), UPCOMING_WRITES);
    refuse_writes(&mut p, 0);
    assert_eq!(
        writes_of_flood(&mut p),
        UPCOMING_WRITES,
        "the lower rate stays"
    );
    refuse_writes(&mut p, 0);
    p.run_accepting_writes(31_000);
    assert_eq!(
        writes_of_flood(&mut p),
        CURRENT_WRITES,
        "no write was refused for a while"
    );
}

/// Bursts at several nodes cause a single refusal now and then.
#[test]
fn single_refusal_does_not_lower_the_write_rate() {
    let mut p = new_node(true);
    assert_eq!(writes_of_flood(&mut p), CURRENT_WRITES);
    refuse_writes(&mut p, 1);
    assert_eq!(writes_of_flood(&mut p), CURRENT_WRITES);
}

/// Without an upcoming rate refusals have no effect.
#[test]
fn refusals_change_nothing_without_an_upcoming_rate() {
    let mut p = new_node(false);
    assert_eq!(writes_of_flood(&mut p), CURRENT_WRITES);
    refuse_writes(&mut p, 6);
    assert_eq!(writes_of_flood(&mut p), CURRENT_WRITES);
}
