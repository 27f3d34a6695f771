//! A transaction of the leader's that the state service has refused for its size. It was not applied: what it would
//! have recorded goes back to where it was gathered, in its order, and is cut anew by smaller limits.
//!
//! A transaction that was tried before without an answer is another case: an earlier try may stand, or may yet land.
//! [`crate::store::commit`] reads what stands, and the leader steps down where that does not say.

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

/// After a refusal the next try waits so long, in milliseconds, and longer with each that follows.
const RETRY_DELAY_MS: Range<u64> = 20..80;
const MAX_DELAY_DOUBLINGS: u32 = 6;
/// A leader whose smallest transactions are refused leaves the fleet to others for so long.
const ABSTAIN_MS: Range<u64> = 2000..6000;

/// What of one kind was refused for its size, for the operators' log.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    /// Kinds that were logged.
    logged: BTreeSet<&'static str>,
    consecutive: u32,
}

impl Refusals {
    /// One of the leader's transactions was applied.
    pub fn reset(&mut self) {
        self.consecutive = 0;
    }
}

impl Node {
    /// A write was refused as it can't be taken, whatever it was of.
    pub(crate) fn write_refused(&mut self, kind: &'static str, what: &str) {
        self.stats.refused_writes += 1;
        if self.refusals.logged.insert(kind) {
            let (value, changes) = (self.write_limits.value_kb(), self.write_limits.changes());
            let out = self.shard.as_ref().map_or((0, 0), |p| p.commit.size());
            log::error!(
                "{kind}: refused by the state service with 400: {what}; written for values of {value} KiB and \
                 {changes} changes a transaction; the leader's own has {} changes in {} bytes",
                out.0,
                out.1
            );
        }
    }

    /// The leader's transaction was refused, and no earlier try of it can stand.
    pub(crate) fn split_refused_transaction(&mut self) {
        let Some(shard) = &mut self.shard else { return };
        let changes = shard.commit.size().0;
        let pending_writes = shard.commit.abandon();
        let limits_shrank = self.write_limits.shrink_after_refusal(changes);
        shard.limits = self.write_limits;
        let mut given_up = BTreeSet::new();
        for write in pending_writes.into_iter().rev() {
            if let Some(kind) = shard.revert_write(write) {
                given_up.insert(kind as usize);
            }
        }
        let doublings = self.refusals.consecutive.min(MAX_DELAY_DOUBLINGS);
        self.refusals.consecutive = doublings + 1;
        let delay = self.rng.u64(RETRY_DELAY_MS) << doublings;
        shard.commit.wait_until(self.now.mono + delay);
        for kind in ALL {
            if given_up.contains(&(kind as usize)) {
                for_kind!(kind, K => self.change_given_up::<K>());
            }
        }
        if !limits_shrank && doublings >= MAX_DELAY_DOUBLINGS {
            self.step_down("its smallest transactions are refused");
            let ms = self.rng.u64(ABSTAIN_MS);
            self.stand_aside(ms);
        }
    }
}

impl Shard {
    /// Undoes what was noted of one thing when it went into a transaction that was refused. A change of a document has
    /// to be cut into other parts: its kind is returned.
    fn revert_write(&mut self, write: PendingWrite) -> Option<KindId> {
        match write {
            PendingWrite::End(index) => {
                if let Some(job) = self.job_mut(index)
                    && let Ending::Writing(stage) = job.ending
                {
                    job.ending = Ending::Wanted(stage);
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
            PendingWrite::Hour(hour, _) => self.hours.take_back(hour),
            PendingWrite::DocumentPart(kind, _) | PendingWrite::Head(kind) => return Some(kind),
            // Their states say that they are still to be written.
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
                self.claim_log.fresh.push_front(id);
            }
        }
        for results in log.results {
            self.job_to_write(results.job);
        }
    }
}
