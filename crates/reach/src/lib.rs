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
//! use reach::{Leader, LeaderReachability, ReportRoute, Reporter};
//! let mut reachability = LeaderReachability::default();
//! let leader = Leader { node: 2, token: 7, accepts_no_workers: false };
//! let reporter = |token| Reporter { machine: "m1", zone: "a", token };
//! // It has seen the token of an earlier leader only, so it may just not have found the present one yet.
//! assert_eq!(reachability.route_report(0, &reporter(6), leader), ReportRoute::Redirect);
//! // It was sent to the leader and is back: it cannot reach it.
//! assert_eq!(reachability.route_report(6_000, &reporter(6), leader), ReportRoute::Accept);
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
pub struct Reporter<'a> {
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
    pub accepts_no_workers: bool,
}

/// What to do with a worker that reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportRoute {
    /// Redirect it to the leader.
    Redirect,
    /// Accept its report and relay it to the leader.
    Accept,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LastRoute {
    Redirected,
    Accepted,
}

#[derive(Debug, Clone, Copy)]
struct SeenMachine {
    at: u64,
    last: LastRoute,
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
pub struct LeaderReachability {
    /// The leader, with the first of its tokens that this node saw. The leader may raise its token, which keeps the
    /// state; another leader resets it, since the paths to it are others.
    leader: Option<Leader>,
    machines: HashMap<String, SeenMachine>,
    zones: HashMap<String, ZonePath>,
}

impl LeaderReachability {
    /// Decides what to do with a worker that reports to this node while `leader` leads the fleet.
    pub fn route_report(
        &mut self,
        now: u64,
        reporter: &Reporter<'_>,
        leader: Leader,
    ) -> ReportRoute {
        if self.leader.is_none_or(|o| o.node != leader.node) {
            *self = LeaderReachability {
                leader: Some(leader),
                ..LeaderReachability::default()
            };
        }
        let since = self.leader.map_or(leader.token, |o| o.token);
        let seen = self.machines.get(reporter.machine).copied();
        let has_returned =
            seen.is_some_and(|s| s.last == LastRoute::Redirected && now < s.at + RETURN_WINDOW_MS);
        // It has seen a token of this leader and reports here instead, or it was sent to the leader in vain.
        let has_failed =
            has_returned || (seen.is_none() && (since..=leader.token).contains(&reporter.token));
        if self.zones.len() >= MAX_ZONES && !self.zones.contains_key(reporter.zone) {
            return ReportRoute::Redirect;
        }
        let zone = self
            .zones
            .entry(reporter.zone.to_owned())
            .or_insert_with(|| ZonePath::new(now));
        let is_accepted = seen.is_some_and(|s| s.last == LastRoute::Accepted);
        let route = if leader.accepts_no_workers {
            ReportRoute::Accept
        } else if has_failed {
            zone.record_failure(now, reporter.machine);
            ReportRoute::Accept
        } else if is_accepted && zone.should_probe(now, reporter.machine) {
            ReportRoute::Redirect
        } else if is_accepted || zone.suspicion(now) >= SUSPICION_THRESHOLD {
            ReportRoute::Accept
        } else {
            ReportRoute::Redirect
        };
        self.record_route(
            now,
            reporter.machine,
            if route == ReportRoute::Accept {
                LastRoute::Accepted
            } else {
                LastRoute::Redirected
            },
        );
        route
    }

    fn record_route(&mut self, now: u64, machine: &str, last: LastRoute) {
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
    pub fn served_count(&self, now: u64) -> usize {
        self.machines
            .values()
            .filter(|s| s.last == LastRoute::Accepted && now < s.at + RETURN_WINDOW_MS)
            .count()
    }

    /// Whether a worker is served through this node at present. Only such workers are given anything from the leader.
    pub fn is_served(&self, now: u64, machine: &str) -> bool {
        self.machines
            .get(machine)
            .is_some_and(|s| s.last == LastRoute::Accepted && now < s.at + RETURN_WINDOW_MS)
    }
}
