//! A node whose settings name a smaller rate of changes that is to come: when it begins shows by refusals alone.

mod node_harness;

use node_harness::{NodeHarness, job_spec};
use wire::settings::NextGiven;

/// Submissions that come in one moment.
const FLOOD: u64 = 60;
/// What the settings of the example let a follower write in a second, and what those to come will.
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

/// How many of a flood are written down at once.
fn writes_of_flood(p: &mut NodeHarness) -> usize {
    for conn in 0..FLOOD {
        p.client_request(conn, "POST", "/work", wire::encode(&job_spec()));
    }
    p.sent.iter().filter(|s| s.path == "/txn").count()
}

/// So many writes are refused as too many; the others, and those that come again, are taken.
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
        "until then all of the larger one"
    );
    refuse_writes(&mut p, 3);
    assert_eq!(writes_of_flood(&mut p), UPCOMING_WRITES);
    refuse_writes(&mut p, 0);
    assert_eq!(writes_of_flood(&mut p), UPCOMING_WRITES, "it is kept to");
    refuse_writes(&mut p, 0);
    p.run_accepting_writes(31_000);
    assert_eq!(
        writes_of_flood(&mut p),
        CURRENT_WRITES,
        "none was refused for a while"
    );
}

/// One refusal now and then is what bursts at several nodes bring about.
#[test]
fn single_refusal_does_not_lower_the_write_rate() {
    let mut p = new_node(true);
    assert_eq!(writes_of_flood(&mut p), CURRENT_WRITES);
    refuse_writes(&mut p, 1);
    assert_eq!(writes_of_flood(&mut p), CURRENT_WRITES);
}

/// Without a rate to come nothing is learned.
#[test]
fn refusals_change_nothing_without_an_upcoming_rate() {
    let mut p = new_node(false);
    assert_eq!(writes_of_flood(&mut p), CURRENT_WRITES);
    refuse_writes(&mut p, 6);
    assert_eq!(writes_of_flood(&mut p), CURRENT_WRITES);
}
