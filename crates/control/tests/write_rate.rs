//! A node whose settings name a smaller rate of changes that is to come: when it begins shows by refusals alone.

mod node_harness;

use node_harness::{NodeHarness, job_spec};
use wire::settings::NextGiven;

/// Submissions that come in one moment.
const FLOOD: u64 = 60;
/// What the settings of the example let a follower write in a second, and what those to come will.
const BEFORE: usize = 9;
const AFTER: usize = 3;

fn node(next: bool) -> NodeHarness {
    let mut p = NodeHarness::with(|settings| {
        settings.cluster.state.next = next.then_some(NextGiven {
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
fn written(p: &mut NodeHarness) -> usize {
    for conn in 0..FLOOD {
        p.client_request(conn, "POST", "/work", wire::encode(&job_spec()));
    }
    p.sent.iter().filter(|s| s.path == "/txn").count()
}

/// So many writes are refused as too many; the others, and those that come again, are taken.
fn refuse(p: &mut NodeHarness, n: usize) {
    for _ in 0..n {
        let txn = p.take_sent(|s| s.path == "/txn").expect("writes");
        p.reply(&txn, 429, Vec::new());
    }
    p.run_accepting_writes(1500);
}

#[test]
fn refusals_teach_the_smaller_rate_for_a_while() {
    let mut p = node(true);
    assert_eq!(written(&mut p), BEFORE, "until then all of the larger one");
    refuse(&mut p, 3);
    assert_eq!(written(&mut p), AFTER);
    refuse(&mut p, 0);
    assert_eq!(written(&mut p), AFTER, "it is kept to");
    refuse(&mut p, 0);
    p.run_accepting_writes(31_000);
    assert_eq!(written(&mut p), BEFORE, "none was refused for a while");
}

/// One refusal now and then is what bursts at several nodes bring about.
#[test]
fn one_refusal_says_nothing() {
    let mut p = node(true);
    assert_eq!(written(&mut p), BEFORE);
    refuse(&mut p, 1);
    assert_eq!(written(&mut p), BEFORE);
}

/// Without a rate to come nothing is learned.
#[test]
fn without_a_rate_to_come_all_is_as_before() {
    let mut p = node(false);
    assert_eq!(written(&mut p), BEFORE);
    refuse(&mut p, 6);
    assert_eq!(written(&mut p), BEFORE);
}
