//! Exhaustive search of a small model of the wake protocol: nodes that receive demand, an owner that starts and stops
//! replicas, transactions that are lost, late or repeated, crashes with an immediate restart, and changes of owner.
//!
//! The decisions are those of the package. The environment is minimal: a record with a version (its stamp), a counter
//! of owner tokens, and replicas that are claimed under the owner's token.

use model::{DemandDecision, OwnerView, Phase, Rec, Rule, decide_demand};
use std::collections::{HashSet, VecDeque};

const NOW_MS: u64 = 1_000_000_000;
const TASKS: u32 = 1;
const MAX_GENERATIONS: usize = 2;
/// Maximum number of transactions in flight at once.
const MAX_IN_FLIGHT: usize = 2;
const MAX_CRASHES: u8 = 1;

/// A guard that is removed on purpose, to show that the search detects its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RemovedGuard {
    Nothing,
    /// Records are written even if they have changed since they were read.
    RecordStamp,
    /// Claims of a former owner are recorded too.
    OwnerToken,
    /// The model counts as asleep as soon as its replicas have been told to stop, before their end is proved.
    ProofOfExit,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Txn {
    stamp: u8,
    /// The owner's writes are conditional on its token.
    token: Option<u8>,
    rec: Stored,
}

/// A record without its times, which would make every state unique.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Stored {
    phase: u8,
    generation: u8,
}

const PHASES: [Phase; 4] = [Phase::Asleep, Phase::Waking, Phase::Awake, Phase::Leaving];

impl Stored {
    fn of(rec: &Rec) -> Self {
        let phase = PHASES.iter().position(|p| *p == rec.phase).unwrap_or(0);
        Stored {
            phase: phase as u8,
            generation: rec.generation as u8,
        }
    }
    fn rec(self) -> Rec {
        let phase = PHASES[self.phase as usize];
        Rec {
            phase,
            generation: self.generation.into(),
            wanted: TASKS,
            since_ms: NOW_MS - 100_000,
            ..Rec::new()
        }
    }
}

/// What a node has read, and the token of its term if it believes that it is the owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, PartialOrd, Ord)]
struct Node {
    read: Option<(Stored, u8)>,
    term: Option<u8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SystemState {
    rec: Stored,
    stamp: u8,
    token: u8,
    nodes: Vec<Node>,
    in_flight: Vec<Txn>,
    crashes: u8,
    /// Claimed replicas.
    claimed: u32,
    /// Claimed replicas that were told to stop.
    leaving: u32,
    started: [u8; MAX_GENERATIONS + 1],
    sleeps: u8,
    violation: Option<&'static str>,
}

impl SystemState {
    fn new(nodes: usize) -> Self {
        SystemState {
            rec: Stored::of(&Rec::new()),
            stamp: 0,
            token: 0,
            nodes: vec![Node::default(); nodes],
            in_flight: Vec::new(),
            crashes: 0,
            claimed: 0,
            leaving: 0,
            started: [0; MAX_GENERATIONS + 1],
            sleeps: 0,
            violation: None,
        }
    }

    fn send(mut self, txn: Txn) -> Self {
        self.in_flight.push(txn);
        self.in_flight.sort();
        self
    }

    /// Applies a transaction that reaches the state service.
    fn apply(&mut self, txn: &Txn, removed_guard: RemovedGuard) {
        let is_current = txn.stamp == self.stamp || removed_guard == RemovedGuard::RecordStamp;
        if !is_current || txn.token.is_some_and(|t| t != self.token) {
            return;
        }
        let (before, after) = (self.rec, txn.rec);
        let phase = PHASES[after.phase as usize];
        let is_wake = phase == Phase::Waking;
        if after.generation != before.generation + u8::from(is_wake) {
            self.violation = Some("a generation is begun twice, or falls");
        }
        if is_wake && after.generation > self.sleeps + 1 {
            self.violation = Some("two cold starts without a sleep between them");
        }
        if phase == Phase::Asleep && self.claimed > 0 {
            self.violation = Some("asleep while replicas may run");
        }
        self.sleeps += u8::from(phase == Phase::Leaving);
        self.rec = after;
        self.stamp += 1;
    }

    /// All possible successor states.
    fn next(&self, rule: &Rule, removed_guard: RemovedGuard) -> Vec<SystemState> {
        let mut out = Vec::new();
        let has_room = self.in_flight.len() < MAX_IN_FLIGHT;
        for (i, txn) in self.in_flight.iter().enumerate() {
            let mut delivered = self.clone();
            delivered.in_flight.remove(i);
            out.push(delivered.clone());
            delivered.apply(txn, removed_guard);
            out.push(delivered);
            // The transaction is applied and stays in flight: it will be repeated.
            let mut duplicated = self.clone();
            duplicated.apply(txn, removed_guard);
            out.push(duplicated);
        }
        for n in 0..self.nodes.len() {
            self.node_steps(n, rule, removed_guard, has_room, &mut out);
        }
        out
    }

    fn node_steps(
        &self,
        n: usize,
        rule: &Rule,
        removed_guard: RemovedGuard,
        has_room: bool,
        out: &mut Vec<SystemState>,
    ) {
        let changed = |f: &dyn Fn(&mut SystemState)| {
            let mut w = self.clone();
            f(&mut w);
            w
        };
        let node = &self.nodes[n];
        // A read, a crash with an immediate restart, and a change of owner.
        out.push(changed(&|w| w.nodes[n].read = Some((w.rec, w.stamp))));
        if self.crashes < MAX_CRASHES {
            out.push(changed(&|w| {
                w.nodes[n] = Node::default();
                w.crashes += 1;
            }));
        }
        if (self.token as usize) < 2 && node.term.is_none() {
            out.push(changed(&|w| {
                w.token += 1;
                // A new owner reads the record before its first start.
                w.nodes[n] = Node {
                    read: Some((w.rec, w.stamp)),
                    term: Some(w.token),
                };
            }));
        }
        let Some((read, stamp)) = node.read else {
            return;
        };
        let rec = read.rec();
        if (read.generation as usize) < MAX_GENERATIONS
            && has_room
            && let DemandDecision::Wake(woken) = decide_demand(&rec, rule, TASKS, "n", NOW_MS)
        {
            out.push(self.clone().send(Txn {
                stamp,
                token: None,
                rec: Stored::of(&woken),
            }));
        }
        let Some(term) = node.term else { return };
        let may_act = term == self.token || removed_guard == RemovedGuard::OwnerToken;
        // Claims and stops are made under the owner's token.
        if may_act && rec.replicas(rule, TASKS) > self.claimed {
            out.push(changed(&|w| {
                w.claimed += 1;
                let count = &mut w.started[read.generation as usize];
                *count += 1;
                if u32::from(*count) > TASKS {
                    w.violation = Some("more replicas started than a generation wants");
                }
            }));
        }
        if may_act && rec.phase == Phase::Leaving && self.leaving < self.claimed {
            out.push(changed(&|w| w.leaving += 1));
        }
        if self.leaving > 0 {
            out.push(changed(&|w| {
                w.claimed -= 1;
                w.leaving -= 1;
            }));
        }
        let claimed = if removed_guard == RemovedGuard::ProofOfExit {
            self.claimed - self.leaving
        } else {
            self.claimed
        };
        for quiet_ms in [0, NOW_MS] {
            let running = self.claimed - self.leaving;
            let seen = OwnerView {
                claimed,
                running,
                quiet_ms,
                near: Vec::new(),
            };
            if has_room && let Some(next) = rec.next_record(rule, TASKS, "n", NOW_MS, &seen) {
                out.push(self.clone().send(Txn {
                    stamp,
                    token: Some(term),
                    rec: Stored::of(&next),
                }));
            }
        }
    }

    /// Whether demand gets the model awake within a few steps if nothing is lost and nothing crashes from here on.
    fn eventually_awake(&self, rule: &Rule) -> bool {
        let mut w = self.clone();
        w.in_flight.clear();
        w.token += 1;
        for _ in 0..12 {
            let rec = w.rec.rec();
            if rec.phase == Phase::Awake {
                return true;
            }
            if let DemandDecision::Wake(next) = decide_demand(&rec, rule, TASKS, "n", NOW_MS) {
                let txn = Txn {
                    stamp: w.stamp,
                    token: None,
                    rec: Stored::of(&next),
                };
                w.apply(&txn, RemovedGuard::Nothing);
            }
            w.claimed = w.claimed.saturating_sub(w.leaving).max(1);
            w.leaving = 0;
            let seen = OwnerView {
                claimed: w.claimed,
                running: w.claimed,
                quiet_ms: 0,
                near: Vec::new(),
            };
            if let Some(next) = w.rec.rec().next_record(rule, TASKS, "n", NOW_MS, &seen) {
                let txn = Txn {
                    stamp: w.stamp,
                    token: Some(w.token),
                    rec: Stored::of(&next),
                };
                w.apply(&txn, RemovedGuard::Nothing);
            }
        }
        false
    }
}

/// Visits the reachable states breadth-first, up to a number. Returns how many it saw and the first violation.
fn search(
    nodes: usize,
    removed_guard: RemovedGuard,
    max_states: usize,
) -> (usize, Option<&'static str>) {
    // Short times, so that going to sleep and giving up a wake are possible at any time.
    let rule = Rule {
        give_up_s: 50.0,
        ..Rule::new("m", 1.0)
    };
    let mut seen: HashSet<SystemState> = HashSet::new();
    let mut queue: VecDeque<SystemState> = [SystemState::new(nodes)].into();
    while let Some(mut w) = queue.pop_front() {
        // Nodes that have the same knowledge are interchangeable.
        w.nodes.sort();
        if !seen.insert(w.clone()) {
            continue;
        }
        if w.violation.is_some() {
            return (seen.len(), w.violation);
        }
        if !w.eventually_awake(&rule) {
            return (
                seen.len(),
                Some("a model that is asked for does not come up"),
            );
        }
        if seen.len() >= max_states {
            break;
        }
        queue.extend(w.next(&rule, removed_guard));
    }
    (seen.len(), None)
}

#[test]
fn each_generation_begins_once_despite_lost_late_or_repeated_transactions() {
    let (states, violation) = search(2, RemovedGuard::Nothing, 8_000_000);
    println!("2 nodes: all {states} states visited");
    assert_eq!(violation, None);
    assert!((100_000..8_000_000).contains(&states), "{states} states");
    // Three nodes have too many states: only those reached in the fewest steps are visited.
    assert_eq!(search(3, RemovedGuard::Nothing, 200_000).1, None);
}

#[test]
fn search_detects_each_removed_guard() {
    for removed_guard in [
        RemovedGuard::RecordStamp,
        RemovedGuard::OwnerToken,
        RemovedGuard::ProofOfExit,
    ] {
        let (states, violation) = search(2, removed_guard, 400_000);
        println!("{removed_guard:?}: {violation:?} after {states} states");
        assert!(
            violation.is_some(),
            "removal of {removed_guard:?} was not detected in {states} states"
        );
    }
}
