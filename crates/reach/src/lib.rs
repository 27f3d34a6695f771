//! Reachability of the leader by zone. From the reports that workers send anyway, a node judges whether the workers of
//! a zone reach the leader directly, or should be served through this node.
//!
//! Pure: no I/O, no clock, no randomness; times are milliseconds of the caller's monotonic clock. The result is a hint
//! that only chooses the node that serves a worker: correctness must not depend on it, and it must not decide who
//! leads, who is alive or what may start.
//!
//! The suspicion that grows with each failure and decays with time follows the φ accrual failure detector (Hayashibara
//! et al., 2004); the indirect path through another member after a failure of the direct one follows SWIM (Das et al.,
//! 2002). Unlike there, no heartbeats are measured, but workers that turn away from the leader.
//!
//! ```
//! use reach::{Caller, Leader, Turn, Ways};
//! let mut ways = Ways::default();
//! let leader = Leader { node: 2, token: 7, avoided: false };
//! let caller = |token| Caller { machine: "m1", zone: "a", token };
//! // It has seen the token of an earlier leader only, so it may just not have found the present one yet.
//! assert_eq!(ways.came(0, &caller(6), leader), Turn::Send);
//! // It was sent to the leader and is back: it cannot reach it.
//! assert_eq!(ways.came(6_000, &caller(6), leader), Turn::Take);
//! ```

use std::collections::HashMap;

/// Most machines that are tracked.
const MAX_MACHINES: usize = 8192;
/// Most zones that are tracked.
const MAX_ZONES: usize = 64;
/// A worker that was sent to the leader and is back within this time was not served there.
const RETURN_WINDOW_MS: u64 = 20_000;
/// Half-life of the suspicion.
const SUSPICION_HALF_LIFE_MS: f64 = 15_000.0;
/// From this suspicion on, in failures, machines of a zone are no longer sent to the leader.
const SUSPICION_THRESHOLD: f64 = 1.5;
/// Initial interval of probes: one machine is sent to the leader to find out whether the path is open again. Doubled by
/// each probe that fails.
const PROBE_INTERVAL_MS: u64 = 6000;
const MAX_PROBE_INTERVAL_MS: u64 = 30_000;
/// A machine that was sent as a probe and is not back after this time has been served by the leader.
const PROBE_SUCCESS_MS: u64 = 8000;
/// The probe interval is halved for each such period without a failure, so that a flapping path is not trusted at once.
const INTERVAL_HALVING_MS: u64 = 60_000;

/// A worker that reports to a node that does not lead the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Caller<'a> {
    pub machine: &'a str,
    pub zone: &'a str,
    /// The highest leader token that it has seen.
    pub token: u64,
}

/// The leader of the fleet, as far as this node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leader {
    /// A number that identifies its host.
    pub node: usize,
    pub token: u64,
    /// No worker is to be sent to it: it has heard from none directly since it became the leader, or it spreads the
    /// workers' reports over all nodes.
    pub avoided: bool,
}

/// What to do with a worker that reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Redirect it to the leader.
    Send,
    /// Accept its report and relay it to the leader.
    Take,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LastTurn {
    Sent,
    Taken,
}

#[derive(Debug, Clone, Copy)]
struct SeenMachine {
    at: u64,
    last: LastTurn,
}

/// State of the path from a zone to the leader.
#[derive(Debug, Clone)]
struct ZonePath {
    /// Decayed count of failures, as of `failed_at`.
    failures: f64,
    failed_at: u64,
    probe_interval_ms: u64,
    next_probe_at: u64,
    /// The machine that was sent as a probe, and when.
    probe: Option<(String, u64)>,
    /// A probe succeeded and no machine has failed since, so all are sent to the leader.
    is_open: bool,
}

impl ZonePath {
    fn new(now: u64) -> Self {
        ZonePath {
            failures: 0.0,
            failed_at: now,
            probe_interval_ms: PROBE_INTERVAL_MS,
            next_probe_at: now + PROBE_INTERVAL_MS,
            probe: None,
            is_open: false,
        }
    }

    fn suspicion(&self, now: u64) -> f64 {
        self.failures
            * 0.5f64.powf(now.saturating_sub(self.failed_at) as f64 / SUSPICION_HALF_LIFE_MS)
    }

    fn record_failure(&mut self, now: u64, machine: &str) {
        let halvings = now.saturating_sub(self.failed_at) / INTERVAL_HALVING_MS;
        self.probe_interval_ms = (self.probe_interval_ms >> halvings.min(8)).max(PROBE_INTERVAL_MS);
        self.failures = (self.suspicion(now) + 1.0).min(4.0 * SUSPICION_THRESHOLD);
        self.is_open = false;
        self.failed_at = now;
        let is_probe = self.probe.as_ref().is_some_and(|(m, _)| m == machine);
        if is_probe {
            self.probe = None;
            self.probe_interval_ms = (self.probe_interval_ms * 2).min(MAX_PROBE_INTERVAL_MS);
            self.next_probe_at = now + self.probe_interval_ms;
        }
    }

    /// Whether this machine should be sent to the leader, as a probe or since the path is open again.
    fn should_probe(&mut self, now: u64, machine: &str) -> bool {
        if let Some((_, since)) = &self.probe {
            if now < since + PROBE_SUCCESS_MS {
                return false;
            }
            // The probe is not back, so the path is open for the other machines too.
            self.probe = None;
            self.failures = 0.0;
            self.is_open = true;
        }
        if self.is_open || now < self.next_probe_at {
            return self.is_open;
        }
        self.probe = Some((machine.to_owned(), now));
        self.next_probe_at = now + self.probe_interval_ms;
        true
    }
}

/// What a node that does not lead the fleet knows from the workers that report to it.
#[derive(Debug, Default)]
pub struct Ways {
    /// The leader, with the first of its tokens that this node saw. The leader may raise its token, which keeps the
    /// state; another leader resets it, since the paths to it are others.
    leader: Option<Leader>,
    machines: HashMap<String, SeenMachine>,
    zones: HashMap<String, ZonePath>,
}

impl Ways {
    /// Decides what to do with a worker that reports to this node while `leader` leads the fleet.
    pub fn came(&mut self, now: u64, caller: &Caller<'_>, leader: Leader) -> Turn {
        if self.leader.is_none_or(|o| o.node != leader.node) {
            *self = Ways {
                leader: Some(leader),
                ..Ways::default()
            };
        }
        let since = self.leader.map_or(leader.token, |o| o.token);
        let seen = self.machines.get(caller.machine).copied();
        let has_returned =
            seen.is_some_and(|s| s.last == LastTurn::Sent && now < s.at + RETURN_WINDOW_MS);
        // It has seen a token of this leader and reports here instead, or it was sent to the leader in vain.
        let has_failed =
            has_returned || (seen.is_none() && (since..=leader.token).contains(&caller.token));
        if self.zones.len() >= MAX_ZONES && !self.zones.contains_key(caller.zone) {
            return Turn::Send;
        }
        let zone = self
            .zones
            .entry(caller.zone.to_owned())
            .or_insert_with(|| ZonePath::new(now));
        let is_taken = seen.is_some_and(|s| s.last == LastTurn::Taken);
        let turn = if leader.avoided {
            Turn::Take
        } else if has_failed {
            zone.record_failure(now, caller.machine);
            Turn::Take
        } else if is_taken && zone.should_probe(now, caller.machine) {
            Turn::Send
        } else if is_taken || zone.suspicion(now) >= SUSPICION_THRESHOLD {
            Turn::Take
        } else {
            Turn::Send
        };
        self.record_turn(
            now,
            caller.machine,
            if turn == Turn::Take {
                LastTurn::Taken
            } else {
                LastTurn::Sent
            },
        );
        turn
    }

    fn record_turn(&mut self, now: u64, machine: &str, last: LastTurn) {
        if self.machines.len() >= MAX_MACHINES && !self.machines.contains_key(machine) {
            self.machines
                .retain(|_, s| now < s.at + 2 * RETURN_WINDOW_MS);
            // Still full: the machine is not tracked.
            if self.machines.len() >= MAX_MACHINES {
                return;
            }
        }
        self.machines
            .insert(machine.to_owned(), SeenMachine { at: now, last });
    }

    /// Number of workers served through this node at present; bounded by the number of tracked machines.
    pub fn taken(&self, now: u64) -> usize {
        self.machines
            .values()
            .filter(|s| s.last == LastTurn::Taken && now < s.at + RETURN_WINDOW_MS)
            .count()
    }

    /// Whether a worker is served through this node at present. Only such workers are given anything from the leader.
    pub fn serves(&self, now: u64, machine: &str) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|s| s.last == LastTurn::Taken && now < s.at + RETURN_WINDOW_MS)
    }
}
