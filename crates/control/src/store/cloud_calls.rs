//! The leader's calls to the cloud: which are out, and what the cloud could not give.

use crate::provisioning::listing::Listing;
use std::collections::HashMap;

/// A kind of machine that got fewer than asked for is not asked for again within this time.
const PARTIAL_REFUSAL_DELAY_MS: u64 = 20_000;

/// One that got none is not asked for again within this time, times the refusals in a row, up to a bound.
const REFUSAL_DELAY_MS: u64 = 8000;
const MAX_DELAY_FACTOR: u32 = 4;

/// Machines that can be rented alike: their type, their zone, and whether they are spot.
pub(crate) type MachineKind = (String, String, bool);

/// A refusal of a kind of machine.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    until: u64,
    /// How often in a row.
    consecutive: u32,
}

/// What is under way with the cloud, and what it has refused.
#[derive(Default)]
pub(crate) struct CloudCalls {
    pub listing: Listing,
    /// The catalog has changed and is to be recorded.
    pub catalog_dirty: bool,
    deletion_busy: bool,
    deletion_retry_at: u64,
    refused: HashMap<MachineKind, Refusal>,
}

impl CloudCalls {
    /// Whether machines may be returned now: no such call is out.
    pub fn may_delete(&self, now: u64) -> bool {
        !self.deletion_busy && now >= self.deletion_retry_at
    }

    /// Machines are being returned.
    pub fn deletion_sent(&mut self) {
        self.deletion_busy = true;
    }

    /// There is an answer to the return of machines, or none.
    pub fn deletion_ended(&mut self) {
        self.deletion_busy = false;
    }

    /// The return failed, and is tried again then.
    pub fn delete_again_at(&mut self, at: u64) {
        self.deletion_retry_at = at;
    }

    /// Whether a kind was refused so lately that it is not asked for.
    pub fn is_refused(&self, kind: &MachineKind, now: u64) -> bool {
        self.refused.get(kind).is_some_and(|r| r.until > now)
    }

    /// All that were asked for came.
    pub fn supplied(&mut self, kind: &MachineKind) {
        self.refused.remove(kind);
    }

    /// Fewer than were asked for came.
    pub fn partly_refused(&mut self, kind: MachineKind, now: u64) {
        let refusal = Refusal {
            until: now + PARTIAL_REFUSAL_DELAY_MS,
            consecutive: 1,
        };
        self.refused.insert(kind, refusal);
    }

    /// None came.
    pub fn refused(&mut self, kind: MachineKind, now: u64) {
        let consecutive = self.refused.get(&kind).map_or(0, |r| r.consecutive) + 1;
        let wait = REFUSAL_DELAY_MS * u64::from(consecutive.min(MAX_DELAY_FACTOR));
        let until = now + wait;
        self.refused.insert(kind, Refusal { until, consecutive });
    }
}
