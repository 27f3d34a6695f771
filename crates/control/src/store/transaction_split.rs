//! Handles a transaction of the leader that the state service refused for its size. It was not applied: its contents
//! go back to the queues they came from, in the same order, and are written in smaller transactions.
//!
//! A transaction with an earlier unanswered attempt is handled by [`crate::store::commit`] instead: that attempt may
//! have been applied, or may be applied later. The current state is read then, and the leader steps down if that does
//! not settle the outcome.

use crate::Node;
use crate::agents::machine::ClaimState;
use crate::documents::{ALL, KindId, for_kind};
use crate::jobs::job::Ending;
use crate::store::claim_log::InventoryShard;
use crate::store::claim_records::PendingLogRecord;
use crate::store::shard::Shard;
use crate::store::transaction::PendingWrite;
use std::collections::BTreeSet;
use std::ops::Range;

/// Delay before the next transaction after a refusal, in milliseconds. It doubles with each further refusal in a row.
const RETRY_DELAY_MS: Range<u64> = 20..80;
const MAX_DELAY_DOUBLINGS: u32 = 6;
/// How long a leader whose smallest transactions are refused stays out of the election after stepping down, in
/// milliseconds.
const CAMPAIGN_PAUSE_MS: Range<u64> = 2000..6000;

/// Writes that were refused as invalid, for logging and for the back-off.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    /// Kinds of write whose refusal was logged; each kind is logged once.
    logged: BTreeSet<&'static str>,
    consecutive: u32,
}

impl Refusals {
    /// Resets the back-off, once a transaction of the leader was applied.
    pub fn reset(&mut self) {
        self.consecutive = 0;
    }
}

impl Node {
    /// Counts a write that the state service refused as invalid, and logs the first of each kind.
    pub(crate) fn write_refused(&mut self, kind: &'static str, reason: &str) {
        self.stats.refused_writes += 1;
        if self.refusals.logged.insert(kind) {
            let (value, changes) = (self.write_limits.value_kb(), self.write_limits.changes());
            let pending_size = self
                .shard
                .as_ref()
                .map_or((0, 0), |shard| shard.commit.size());
            log::error!(
                "{kind}: refused by the state service with 400: {reason}; current limits are values of {value} KiB and \
                 {changes} changes per transaction; the leader's transaction has {} changes in {} bytes",
                pending_size.0,
                pending_size.1
            );
        }
    }

    /// Reverts the leader's refused transaction, so that its contents are written in smaller ones. No earlier attempt
    /// of it can have been applied.
    pub(crate) fn split_refused_transaction(&mut self) {
        let Some(shard) = &mut self.shard else { return };
        let changes = shard.commit.size().0;
        let pending_writes = shard.commit.abandon();
        let limits_shrank = self.write_limits.shrink_after_refusal(changes);
        shard.limits = self.write_limits;
        let mut reverted_kinds = BTreeSet::new();
        for write in pending_writes.into_iter().rev() {
            if let Some(kind) = shard.revert_write(write) {
                reverted_kinds.insert(kind as usize);
            }
        }
        let doublings = self.refusals.consecutive.min(MAX_DELAY_DOUBLINGS);
        self.refusals.consecutive = doublings + 1;
        let delay = self.rng.u64(RETRY_DELAY_MS) << doublings;
        shard.commit.retry_no_earlier_than(self.now.mono + delay);
        for kind in ALL {
            if reverted_kinds.contains(&(kind as usize)) {
                for_kind!(kind, K => self.abandon_oversized_change::<K>());
            }
        }
        if !limits_shrank && doublings >= MAX_DELAY_DOUBLINGS {
            self.step_down("the state service refuses even the smallest transactions");
            let ms = self.rng.u64(CAMPAIGN_PAUSE_MS);
            self.pause_campaigning(ms);
        }
    }
}

impl Shard {
    /// Reverts the in-memory changes made when a write was added to the transaction that was refused. Returns the
    /// kind of a document whose change has to be divided into other parts.
    fn revert_write(&mut self, write: PendingWrite) -> Option<KindId> {
        match write {
            PendingWrite::End(index) => {
                if let Some(job) = self.job_mut(index)
                    && let Ending::Writing(stage) = job.ending
                {
                    job.ending = Ending::Decided(stage);
                    self.claim_log.ending.push_front(index);
                }
            }
            PendingWrite::Log(log) => self.restore_log_entries(log),
            PendingWrite::RemoveLog(number) => {
                self.claim_log.garbage.insert(number);
            }
            PendingWrite::InventoryShard(number, _) => {
                self.claim_log.grown_inventory.insert(number);
            }
            PendingWrite::InventoryPiece(number, from, _) => {
                self.undo_inventory_split(number, from)
            }
            PendingWrite::RemoveInventoryShard(number, version) => {
                let inventory_shard = InventoryShard {
                    version,
                    ..InventoryShard::default()
                };
                self.claim_log.inventory.insert(number, inventory_shard);
                self.claim_log.shrunk_inventory.insert(number);
            }
            PendingWrite::Catalog => self.cloud_calls.catalog_dirty = true,
            PendingWrite::Allotment(previous) => self.allotment.revert(*previous),
            PendingWrite::Hour(hour, _) => self.hours.requeue_move(hour),
            PendingWrite::DocumentPart(kind, _) | PendingWrite::Head(kind) => return Some(kind),
            // Their own state still marks them as to be written.
            PendingWrite::Token(_)
            | PendingWrite::Rental(_)
            | PendingWrite::RemoveRental(_)
            | PendingWrite::CounterSheets(_)
            | PendingWrite::RemoveDocumentPart(..) => {}
        }
        None
    }

    fn restore_log_entries(&mut self, log: PendingLogRecord) {
        for id in log.claims.into_iter().rev() {
            if let Some(claim) = self.claim_mut(&id)
                && claim.state == ClaimState::Writing
            {
                claim.state = ClaimState::New;
                self.claim_log.unrecorded_claims.push_front(id);
            }
        }
        for results in log.results {
            self.queue_job_write(results.job);
        }
    }
}
