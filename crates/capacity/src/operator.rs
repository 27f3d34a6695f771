//! Configuration changes: an operator sets bounds of the quota tree at a rate, and now and then looks when a change is
//! in force at each controller, by a job that only the new bound allows.

use crate::clock::Millis;
use crate::cluster::{self, PROBE_HIGH, PROBE_LOW, PROBE_NODE};
use crate::size::Size;
use crate::users::histogram;
use hdrhistogram::Histogram;
use wire::admin::{self, Change, Edit};
use wire::http::Response;

/// One change in so many raises the probes' bound, the next lowers it again.
const PROBE_EVERY: u64 = 10;
/// So often each controller is asked whether a raised bound is in force.
pub const PROBE_MS: u64 = 50;
/// It should be by then.
pub const PROBE_GIVE_UP_MS: u64 = 30_000;

/// What was measured of changes in one phase.
#[derive(Clone)]
pub struct ChangeTimes {
    pub made: u64,
    pub failed: u64,
    /// From the operator's request to the 200.
    pub commit_ms: Histogram<u64>,
    /// From the 200 until a controller acts on it.
    pub in_force_ms: Histogram<u64>,
    pub never_in_force: u64,
}

impl Default for ChangeTimes {
    fn default() -> Self {
        ChangeTimes {
            made: 0,
            failed: 0,
            commit_ms: histogram(),
            in_force_ms: histogram(),
            never_in_force: 0,
        }
    }
}

/// A change that is under way.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub node: usize,
    pub path: String,
    pub body: Vec<u8>,
    pub number: u64,
}

/// A controller that is asked until a change is in force there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    pub node: usize,
    pub since: Millis,
    pub serial: u64,
}

/// The operator of one run.
pub struct Operator {
    size: Size,
    number: u64,
    serial: u64,
    pub times: ChangeTimes,
}

impl Operator {
    pub fn new(size: &Size) -> Self {
        Operator {
            size: size.clone(),
            number: 0,
            serial: 0,
            times: ChangeTimes::default(),
        }
    }

    /// The next change, for any controller.
    pub fn change(&mut self) -> Request {
        self.number += 1;
        let number = self.number;
        let (name, gpus) = match number % PROBE_EVERY {
            0 => (PROBE_NODE.to_owned(), PROBE_HIGH),
            5 => (PROBE_NODE.to_owned(), PROBE_LOW),
            _ => {
                let member = number as usize % cluster::members(&self.size);
                (
                    cluster::member_name(member),
                    cluster::member_max(&self.size, number),
                )
            }
        };
        let change = Change {
            id: format!("change-{}-{number}", self.size.seed),
            by: "capacity".to_owned(),
            expect: None,
            dry_run: false,
            edit: Edit::Shrink {
                name,
                guarantee: quota::Amounts::new(),
                max: [(cluster::quota_gpus(), gpus)].into(),
                scale: false,
            },
        };
        Request {
            node: number as usize % self.size.controllers,
            path: admin::PATH.to_owned(),
            body: admin::encode(&admin::Ask::Change(change)),
            number,
        }
    }

    /// A change was answered; the controllers to be probed, if it raised the probes' bound.
    pub fn answered(
        &mut self,
        now: Millis,
        asked: Millis,
        request: &Request,
        response: Option<&Response>,
    ) -> Vec<Probe> {
        if response.is_none_or(|r| r.status != 200) {
            self.times.failed += 1;
            return Vec::new();
        }
        self.times.made += 1;
        let _ = self.times.commit_ms.record(now - asked);
        if !request.number.is_multiple_of(PROBE_EVERY) {
            return Vec::new();
        }
        (0..self.size.controllers)
            .map(|node| self.probe(node, now))
            .collect()
    }

    fn probe(&mut self, node: usize, since: Millis) -> Probe {
        self.serial += 1;
        Probe {
            node,
            since,
            serial: self.serial,
        }
    }

    /// A controller has answered a probe. Another try, if it does not act on the change yet; none if it does.
    pub fn probed(&mut self, now: Millis, probe: Probe, status: Option<u16>) -> Option<Probe> {
        if matches!(status, Some(200 | 201)) {
            let _ = self.times.in_force_ms.record(now - probe.since);
            return None;
        }
        if now >= probe.since + PROBE_GIVE_UP_MS {
            self.times.never_in_force += 1;
            return None;
        }
        Some(self.probe(probe.node, probe.since))
    }
}
