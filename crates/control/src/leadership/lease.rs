//! The leader's lease: its renewal, and how long the leader may rely on it.

use crate::leadership::role::{HeldLease, Role};
use crate::{Destination, Node, Pending};
use std::ops;
use wire::http::Response;

/// Delay before a failed renewal is retried.
const RENEWAL_RETRY_MS: ops::Range<u64> = 50..200;

/// Number of renewals within the lifetime of a lease.
const RENEWALS_PER_TTL: u64 = 4;

/// Timeout of the revocation of a lease, whose answer is ignored.
const REVOKE_TIMEOUT_MS: u64 = 2000;

impl HeldLease {
    /// A lease that was requested at `sent` and granted, to be renewed immediately.
    pub fn new(id: u64, sent: u64, now: u64) -> Self {
        HeldLease {
            id,
            renewed_at: sent,
            next_renewal: now,
            renewal_in_flight: false,
        }
    }

    /// Whether the lease cannot have expired. Clock drift is below 0.05% on either side, and the service never ends a
    /// lease early.
    fn is_valid(&self, ttl_ms: u64, now: u64) -> bool {
        let lifetime = ttl_ms * 997 / 1000;
        now < self.renewed_at + lifetime.saturating_sub(lifetime / 20)
    }
}

impl Node {
    pub(super) fn lease_ttl_ms(&self) -> u64 {
        self.tuning.ttl_ms as u64
    }

    /// Whether this node leads and, by its own clock, its lease cannot have expired.
    pub(crate) fn has_valid_lease(&self) -> bool {
        match &self.role {
            Role::Leader(lease) => lease.is_valid(self.lease_ttl_ms(), self.now.mono),
            _ => false,
        }
    }

    /// Whether this node may make decisions: it is the leader, its lease is valid and the shard's state is loaded.
    pub(crate) fn may_decide(&self) -> bool {
        self.has_valid_lease() && self.shard.as_ref().is_some_and(|shard| shard.loaded)
    }

    /// Renews the lease if a renewal is due and none is in flight.
    pub(super) fn renew_lease(&mut self, lease: HeldLease) {
        let now = self.now.mono;
        if lease.renewal_in_flight || now < lease.next_renewal {
            return;
        }
        self.role = Role::Leader(HeldLease {
            renewal_in_flight: true,
            ..lease
        });
        let pending = Pending::RenewLease {
            lease: lease.id,
            sent: now,
        };
        // During an outage answers are slow. A late one extends the lease from the time at which the renewal was sent.
        self.send(
            Destination::State,
            "POST",
            format!("/grants/{}/renew", lease.id),
            Vec::new(),
            self.lease_ttl_ms() / 2,
            pending,
        );
    }

    /// Handles the answer to the renewal of the lease `lease_id` that was sent at `sent`.
    pub(crate) fn renewal_answered(
        &mut self,
        lease_id: u64,
        sent: u64,
        response: Option<Response>,
    ) {
        let Role::Leader(lease) = self.role else {
            return;
        };
        if lease.id != lease_id {
            return;
        }
        match response.map(|r| r.status) {
            Some(200) => {
                self.role = Role::Leader(HeldLease {
                    id: lease_id,
                    renewed_at: sent,
                    next_renewal: sent + self.lease_ttl_ms() / RENEWALS_PER_TTL,
                    renewal_in_flight: false,
                });
            }
            Some(404) => self.step_down("the lease has ended"),
            _ => {
                self.role = Role::Leader(HeldLease {
                    next_renewal: self.now.mono + self.rng.u64(RENEWAL_RETRY_MS),
                    renewal_in_flight: false,
                    ..lease
                });
            }
        }
    }

    pub(super) fn revoke_lease(&mut self, lease: u64) {
        self.send(
            Destination::State,
            "DELETE",
            format!("/grants/{lease}"),
            Vec::new(),
            REVOKE_TIMEOUT_MS,
            Pending::IgnoreAnswer,
        );
    }
}
