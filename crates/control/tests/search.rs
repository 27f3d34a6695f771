//! Exhaustive search of a small model of leadership and of the end of a cancelled task: two or three controllers, one
//! worker and one job, with messages lost, delayed or repeated, processes restarted, and outages of the state service.
//!
//! Each guard on which docs/safety.md bases its bounds is removed in turn, and the search has to detect that.
//! `STOATHATCH_SEARCH=large cargo test --release -p control --test search -- --nocapture` runs larger searches.

#[path = "search/model.rs"]
mod model;

use model::{Bounds, Durations, ModelState, Mutation, Outcome, Step};
use std::collections::HashSet;
use std::hash::{Hash, Hasher};
use std::time::Instant;

struct SearchResult {
    states: usize,
    /// Steps from the initial state to the last state.
    depth: usize,
    /// All reachable states were explored; the limit was not reached.
    complete: bool,
    violation: Option<(&'static str, Vec<Step>)>,
    seconds: f64,
}

/// Hashes a state to 64 bits, to the same value in each run.
#[derive(Default)]
struct StateHasher(u64);

impl Hasher for StateHasher {
    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.write_u64(u64::from(*b)));
    }
    fn write_u8(&mut self, n: u8) {
        self.write_u64(u64::from(n));
    }
    fn write_isize(&mut self, n: isize) {
        self.write_u64(n as u64);
    }
    fn write_usize(&mut self, n: usize) {
        self.write_u64(n as u64);
    }
    fn write_u64(&mut self, n: u64) {
        let mixed = u128::from(self.0 ^ n ^ 0x9e37_79b9_7f4a_7c15) * 0xa076_1d64_78bd_642f;
        self.0 = (mixed >> 64) as u64 ^ (mixed as u64).rotate_left(29);
    }
    fn finish(&self) -> u64 {
        self.0
    }
}

fn hash_of(state: &ModelState) -> u64 {
    let mut hasher = StateHasher::default();
    state.hash(&mut hasher);
    hasher.finish()
}

/// Explores the reachable states breadth-first, up to a number of states; stops at the first violation. Only the states
/// of the frontier are kept in memory, of all others a 64-bit hash.
fn search(b: &Bounds, max_states: usize) -> SearchResult {
    let started = Instant::now();
    let steps = ModelState::steps(b);
    let mut seen: HashSet<u64> = HashSet::new();
    // The predecessor of each state, and the step from it.
    let mut origins: Vec<(u32, Step)> = vec![(0, Step::Tick)];
    let mut frontier = vec![(0u32, ModelState::new(b.nodes).canonical(b).0)];
    seen.insert(hash_of(&frontier[0].1));
    let mut result = SearchResult {
        states: 1,
        depth: 0,
        complete: false,
        violation: None,
        seconds: 0.0,
    };
    'all: while !frontier.is_empty() && origins.len() < max_states {
        let mut next = Vec::new();
        for (at, state) in &frontier {
            for step in &steps {
                match state.step(*step, b) {
                    Outcome::Unchanged | Outcome::TaskEnded => {}
                    Outcome::Violation(what) => {
                        result.violation = Some((what, trace(&origins, *at, *step)));
                        break 'all;
                    }
                    Outcome::Next(w) => {
                        let w = w.canonical(b).0;
                        if seen.insert(hash_of(&w)) {
                            next.push((origins.len() as u32, w));
                            origins.push((*at, *step));
                        }
                    }
                }
            }
            if origins.len() >= max_states {
                break 'all;
            }
        }
        result.depth += usize::from(!next.is_empty());
        result.complete = next.is_empty();
        frontier = next;
    }
    result.states = origins.len();
    result.seconds = started.elapsed().as_secs_f64();
    result
}

fn trace(origins: &[(u32, Step)], mut at: u32, last: Step) -> Vec<Step> {
    let mut steps = vec![last];
    while at != 0 {
        let (from, step) = origins[at as usize];
        steps.push(step);
        at = from;
    }
    steps.reverse();
    steps
}

/// A history as text. Nodes are named by their position in the initial state, although canonical states reorder them.
fn format_trace(b: &Bounds, steps: &[Step]) -> String {
    let (mut state, mut names) = ModelState::new(b.nodes).canonical(b);
    let mut words = Vec::new();
    for step in steps {
        words.push(step.named(&names));
        if let Outcome::Next(w) = state.step(*step, b) {
            let (next, order) = w.canonical(b);
            names = order.map(|n| names[n as usize]);
            state = next;
        }
    }
    words.join(", ")
}

const SHORT: Durations = Durations {
    ttl: 1,
    lease: 2,
    cancel: 4,
};
const LONG: Durations = Durations {
    ttl: 2,
    lease: 3,
    cancel: 6,
};

/// The limit on the number of states of any search.
const MAX_STATES: usize = 60_000_000;

fn bounds(
    durations: Durations,
    nodes: usize,
    (restarts, outages, tokens): (u8, u8, u8),
    late: bool,
) -> Bounds {
    Bounds {
        durations,
        nodes,
        restarts,
        outages,
        tokens,
        late,
        unreduced: false,
        mutation: Mutation::Original,
    }
}

fn describe(b: &Bounds, f: &SearchResult) -> String {
    let Bounds {
        nodes,
        restarts,
        outages,
        tokens,
        late,
        unreduced,
        durations,
        mutation,
    } = b;
    let end = match &f.violation {
        Some((what, steps)) => format!("{what}: {}", format_trace(b, steps)),
        None if f.complete => "all explored".to_owned(),
        None => "not all explored".to_owned(),
    };
    format!(
        "{mutation:?}, {nodes} nodes, {restarts} restarts, {outages} outages, tokens to {tokens}, late {late}, unreduced {unreduced}, \
         {}/{}/{} ticks: {} states, {} steps deep, {:.1} s: {end}",
        durations.ttl, durations.lease, durations.cancel, f.states, f.depth, f.seconds
    )
}

/// The search completes without a violation and covers a minimum number of states, so that an empty search can't pass.
fn assert_no_violation(b: &Bounds, min_states: usize) {
    let result = search(b, MAX_STATES);
    println!("{}", describe(b, &result));
    assert!(result.violation.is_none(), "{}", describe(b, &result));
    assert!(
        result.complete && result.states >= min_states,
        "{}",
        describe(b, &result)
    );
}

/// The gap between a leader that lost the state service and its successor, with up to two restarts and two outages.
#[test]
fn cancelled_task_ends_in_time_with_two_nodes() {
    assert_no_violation(&bounds(SHORT, 2, (2, 2, 3), false), 500_000);
}

/// Without the shortcuts of `ModelState::normalize`: each attestation, delegation and renewal is a step that may be
/// missing. Removed guards are detected here too.
#[test]
fn cancelled_task_ends_in_time_in_the_unreduced_model() {
    use Mutation::{DelegateNoBound, LongBound, NoBound, UnreadAttests};
    let b = Bounds {
        unreduced: true,
        ..bounds(SHORT, 2, (1, 1, 2), false)
    };
    assert_no_violation(&b, 140_000);
    for mutation in [NoBound, LongBound, UnreadAttests, DelegateNoBound] {
        let b = Bounds { mutation, ..b };
        let result = search(&b, 600_000);
        println!("{}", describe(&b, &result));
        assert!(result.violation.is_some(), "{}", describe(&b, &result));
    }
}

/// Durations with which a valid leader lease, and the bound on renewals, span several ticks.
#[test]
fn cancelled_task_ends_in_time_with_longer_leases() {
    assert_no_violation(&bounds(LONG, 2, (1, 1, 2), false), 120_000);
}

/// Answers, delegations and transactions that arrive late, and transactions that arrive twice.
#[test]
fn cancelled_task_ends_in_time_with_late_messages() {
    assert_no_violation(&bounds(SHORT, 2, (1, 1, 2), true), 600_000);
}

/// With three nodes one may confirm a cancel, one renew a worker's lease, and one attest.
#[test]
fn cancelled_task_ends_in_time_with_three_nodes() {
    assert_no_violation(&bounds(SHORT, 3, (1, 1, 2), false), 450_000);
}

/// The removal of each guard is detected as a violation of the rule that it protects, within a limited number of
/// states.
#[test]
fn search_detects_each_missing_guard() {
    use Mutation::*;
    let outlives = "a cancelled task outlives its time";
    let token_reused = "a token is given out twice";
    let two_leaders = "two lives are sure that they own the fleet";
    let plain = bounds(SHORT, 2, (1, 1, 3), false);
    let late = bounds(SHORT, 2, (1, 1, 2), true);
    let three = bounds(SHORT, 3, (0, 1, 2), false);
    let all = [
        (NoBound, plain, outlives),
        (LongBound, plain, outlives),
        (MajorityAttests, three, outlives),
        (UnreadAttests, plain, outlives),
        (HearsayAttests, plain, outlives),
        (AttestsAnyToken, plain, outlives),
        (AttestationFromArrival, three, outlives),
        (DelegateNoBound, plain, outlives),
        (DelegateFromArrival, late, outlives),
        (DelegateKeepsCancelled, plain, outlives),
        (UnsureLeaderDelegates, plain, outlives),
        (SuccessorKeepsToken, plain, token_reused),
        (RenewsBeforeLoaded, plain, outlives),
        (RenewedFromAnswer, late, two_leaders),
        (NoGuards, plain, token_reused),
        (NoTokenGuard, plain, token_reused),
        (LeaseTrustedTooLong, plain, two_leaders),
        (ConfirmsBeforeCommit, plain, outlives),
        (NoStops, plain, outlives),
        (StopsAfterCommitAnswer, plain, outlives),
        (UnguardedEnd, plain, outlives),
    ];
    for (mutation, b, rule) in all {
        let b = Bounds { mutation, ..b };
        let result = search(&b, 600_000);
        println!("{}", describe(&b, &result));
        assert_eq!(
            result.violation.as_ref().map(|(what, _)| *what),
            Some(rule),
            "{}",
            describe(&b, &result)
        );
    }
}

/// Guards whose removal causes no violation, since others cover them. The guard on the leader record is covered by the
/// one on the token record, but not the other way round; a lease delegate's check for later leaders by its time bound;
/// the incarnation's mark by both guards.
#[test]
fn some_missing_guards_are_covered_by_others() {
    for (mutation, min_states) in [
        (Mutation::NoLeaderGuard, 80_000),
        (Mutation::DelegateIgnoresHigherToken, 150_000),
        (Mutation::NoIncarnationCheck, 150_000),
    ] {
        let tokens = if mutation == Mutation::NoLeaderGuard {
            2
        } else {
            3
        };
        assert_no_violation(
            &Bounds {
                mutation,
                ..bounds(SHORT, 2, (1, 1, tokens), false)
            },
            min_states,
        );
    }
}

/// Larger searches, which take minutes and some gigabytes and only run on request.
#[test]
fn larger_search_on_request() {
    if std::env::var("STOATHATCH_SEARCH").as_deref() != Ok("large") {
        return println!("skipped: runs with STOATHATCH_SEARCH=large");
    }
    for (b, min_states) in [
        (
            Bounds {
                unreduced: true,
                ..bounds(SHORT, 2, (1, 1, 3), false)
            },
            600_000,
        ),
        (
            Bounds {
                unreduced: true,
                ..bounds(SHORT, 3, (0, 1, 2), false)
            },
            400_000,
        ),
        (bounds(SHORT, 2, (1, 1, 3), true), 1_500_000),
        (bounds(LONG, 2, (2, 2, 3), false), 1_500_000),
        (bounds(LONG, 2, (1, 1, 2), true), 1_500_000),
        (bounds(SHORT, 3, (0, 1, 2), true), 1_500_000),
        (bounds(SHORT, 3, (1, 1, 3), false), 1_500_000),
        (bounds(LONG, 3, (1, 1, 2), false), 1_500_000),
    ] {
        assert_no_violation(&b, min_states);
    }
}
