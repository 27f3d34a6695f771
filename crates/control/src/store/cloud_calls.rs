//! The leader's requests to the cloud: which are in flight, and which kinds of machine the cloud refused.

use crate::provisioning::listing::Listing;
use std::collections::HashMap;

/// Delay before a kind of machine is requested again after fewer were supplied than requested.
const PARTIAL_REFUSAL_DELAY_MS: u64 = 20_000;

/// Delay before a kind is requested again after none was supplied. It is multiplied by the number of such refusals in
/// a row, up to `MAX_DELAY_FACTOR`.
const REFUSAL_DELAY_MS: u64 = 8000;
const MAX_DELAY_FACTOR: u32 = 4;

/// A kind of interchangeable machines: their type, their zone, and whether they are spot machines.
pub(crate) type MachineKind = (String, String, bool);

/// A refusal of a kind of machine.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    until: u64,
    /// Number of refusals in a row.
    consecutive: u32,
}

/// Requests to the cloud that are in flight, and recent refusals.
#[derive(Default)]
pub(crate) struct CloudCalls {
    pub listing: Listing,
    /// Whether the catalog has changed and is to be recorded.
    pub catalog_dirty: bool,
    return_in_flight: bool,
    return_retry_at: u64,
    refused: HashMap<MachineKind, Refusal>,
}

impl CloudCalls {
    /// Whether machines may be returned now: no such request is in flight or waiting to be retried.
    pub fn may_return_machines(&self, now: u64) -> bool {
        !self.return_in_flight && now >= self.return_retry_at
    }

    /// Records that a request to return machines was sent.
    pub fn return_sent(&mut self) {
        self.return_in_flight = true;
    }

    /// Records that a request to return machines was answered or timed out.
    pub fn return_ended(&mut self) {
        self.return_in_flight = false;
    }

    /// Sets the time of the next attempt after a request to return machines failed.
    pub fn retry_return_at(&mut self, at: u64) {
        self.return_retry_at = at;
    }

    /// Whether a kind was refused so recently that it is not requested.
    pub fn is_refused(&self, kind: &MachineKind, now: u64) -> bool {
        self.refused.get(kind).is_some_and(|r| r.until > now)
    }

    /// Records that all requested machines were supplied.
    pub fn supplied(&mut self, kind: &MachineKind) {
        self.refused.remove(kind);
    }

    /// Records that fewer machines were supplied than requested.
    pub fn partly_refused(&mut self, kind: MachineKind, now: u64) {
        let refusal = Refusal {
            until: now + PARTIAL_REFUSAL_DELAY_MS,
            consecutive: 1,
        };
        self.refused.insert(kind, refusal);
    }

    /// Records that no machine was supplied.
    pub fn refused(&mut self, kind: MachineKind, now: u64) {
        let consecutive = self.refused.get(&kind).map_or(0, |r| r.consecutive) + 1;
        let wait = REFUSAL_DELAY_MS * u64::from(consecutive.min(MAX_DELAY_FACTOR));
        let until = now + wait;
        self.refused.insert(kind, Refusal { until, consecutive });
    }
}
