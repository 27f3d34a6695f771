//! Which ways between hosts seem open: from what is sent anyway, a node judges whether a zone's workers reach the leader
//! by themselves, or should be served through this node.
//!
//! Pure: no I/O, no clock, no randomness; times are milliseconds of the caller's steady clock. It only chooses who
//! acts: nothing that must hold may rest on it, and it may not decide who owns, who is alive or what may start.
//!
//! Taken from the field: suspicion that grows with each failure and decays with time, as in the φ accrual detector
//! (Hayashibara et al., 2004), and the indirect way through another member once the direct one has failed, as in SWIM
//! (Das et al., 2002). Own to this place: what is measured is not a heartbeat but workers that flee from the leader.
//!
//! ```
//! use reach::{Caller, Leader, Turn, Ways};
//! let mut ways = Ways::default();
//! let leader = Leader { node: 2, token: 7, avoided: false };
//! let caller = |token| Caller { machine: "m1", zone: "a", token };
//! // It has obeyed an earlier leader only: it may simply not have found the present one yet.
//! assert_eq!(ways.came(0, &caller(6), leader), Turn::Send);
//! // It was sent there and comes back: it can't get there.
//! assert_eq!(ways.came(6_000, &caller(6), leader), Turn::Take);
//! ```

use std::collections::HashMap;

/// Machines that are remembered at most.
const MAX_MACHINES: usize = 8192;
/// Zones that are remembered at most.
const MAX_ZONES: usize = 64;
/// A worker that was sent to the leader and is back within this time has not been served there.
const RETURN_WINDOW_MS: u64 = 20_000;
/// What is suspected falls to half in this time.
const SUSPICION_HALF_LIFE_MS: f64 = 15_000.0;
/// From so many failures on, machines of a zone are not sent to the leader any more.
const SUSPICION_THRESHOLD: f64 = 1.5;
/// How long after a failure one machine is sent there, to see whether the way is open again; doubled each time that it is not.
const PROBE_INTERVAL_MS: u64 = 6000;
const MAX_PROBE_INTERVAL_MS: u64 = 30_000;
/// A machine that was sent as a probe and is not back by then has been served.
const PROBE_SUCCESS_MS: u64 = 8000;
/// The interval is halved for each such time without a failure, so that flapping ways are not believed at once.
const INTERVAL_HALVING_MS: u64 = 60_000;

/// A worker that reports to a node which does not lead the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Caller<'a> {
    pub machine: &'a str,
    pub zone: &'a str,
    /// The highest token that it has seen.
    pub token: u64,
}

/// Who leads the fleet, as far as the caller knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leader {
    /// Any number that stands for its host.
    pub node: usize,
    pub token: u64,
    /// Nobody is to be sent to it: it has heard no worker by itself since it became the leader, or has workers report by
    /// way of all nodes.
    pub avoided: bool,
}

/// What to do with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Send it to the leader.
    Send,
    /// Take its report and hand it on.
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

/// How a zone's way to the leader looks.
#[derive(Debug, Clone)]
struct ZonePath {
    /// Failures, decaying; as of a time.
    failures: f64,
    failed_at: u64,
    probe_interval_ms: u64,
    next_probe_at: u64,
    /// The machine that was sent to try, and when.
    probe: Option<(String, u64)>,
    /// A probe did not come back, and nobody has failed since: all are sent on.
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

    /// Whether this machine should try the way again.
    fn should_probe(&mut self, now: u64, machine: &str) -> bool {
        if let Some((_, since)) = &self.probe {
            if now < since + PROBE_SUCCESS_MS {
                return false;
            }
            // It has not come back: the way is open, and the others may go too.
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

/// What a node that does not lead the fleet has seen of the workers that come to it.
#[derive(Debug, Default)]
pub struct Ways {
    /// The leader, with the first of its tokens that was heard of: it may raise it, and the ways stay the same. With
    /// another leader, all ways are others.
    leader: Option<Leader>,
    machines: HashMap<String, SeenMachine>,
    zones: HashMap<String, ZonePath>,
}

impl Ways {
    /// A worker reports here while somebody else leads the fleet under `leader`.
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
        // It has obeyed this leader and does not report to it any more; or it was sent there, in vain.
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
            // Still full: it is sent on as if it had never come.
            if self.machines.len() >= MAX_MACHINES {
                return;
            }
        }
        self.machines
            .insert(machine.to_owned(), SeenMachine { at: now, last });
    }

    /// How many workers are served through this node at present; its memory is bounded, and so is this.
    pub fn taken(&self, now: u64) -> usize {
        self.machines
            .values()
            .filter(|s| s.last == LastTurn::Taken && now < s.at + RETURN_WINDOW_MS)
            .count()
    }

    /// Whether this worker was taken lately; only such are told anything for the leader.
    pub fn serves(&self, now: u64, machine: &str) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|s| s.last == LastTurn::Taken && now < s.at + RETURN_WINDOW_MS)
    }
}
