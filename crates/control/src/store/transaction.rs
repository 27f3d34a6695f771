//! The contents of one transaction of the leader: pending writes, most urgent first, as far as there is room.

use crate::documents::county_counts::EndedCounts;
use crate::documents::{KindId, hours};
use crate::event::Now;
use crate::jobs::job::{Ending, JobIndex};
use crate::leadership::election::SHARD;
use crate::leadership::shared_state::SharedState;
use crate::leadership::token_range::TokenRange;
use crate::store::allotment::AllotmentState;
use crate::store::claim_records::PendingLogRecord;
use crate::store::rental::RentalState;
use crate::store::shard::Shard;
use crate::store::write_limits::WriteLimits;
use wire::api::{Condition, Write};
use wire::records::{self, EndRecord, Record, TokenRecord};

/// Results and returned machines wait up to this long for other writes to share a transaction with.
const CLEANUP_INTERVAL_MS: u64 = 1000;

/// Nothing is added to a transaction that has reached this size: with one more record, and in the longer encoding
/// that the service counts, it still stays below the service's limit of 64 KiB.
const MAX_TRANSACTION_BYTES: usize = 24 * 1024;

/// Minimum time between two attempts to raise the token.
const TOKEN_RETRY_MS: u64 = 3000;

/// Upper bound on the length of a value in the state service's encoding, relative to ours.
const SERVICE_ENCODING_FACTOR: f64 = 1.3;

/// A write of a pending transaction, with what is needed to apply it in memory once it is committed.
pub(crate) enum PendingWrite {
    End(JobIndex),
    Token(u64),
    Rental(String),
    RemoveRental(String),
    Log(PendingLogRecord),
    RemoveLog(u64),
    CounterSheets(county::Fold),
    /// An inventory shard, with the names of its machines: by the time it is committed, a machine's slot may hold
    /// another machine.
    InventoryShard(u64, Vec<String>),
    /// A new inventory shard, the shard its machines were moved out of, which the same transaction rewrites, and the
    /// machines' names.
    InventoryPiece(u64, u64, Vec<String>),
    /// The removal of an empty inventory shard, with its version.
    RemoveInventoryShard(u64, u64),
    Catalog,
    /// An allotment, with the state before the write.
    Allotment(Box<AllotmentState>),
    /// The write or the removal of a part of a document, or the write of its head.
    DocumentPart(KindId, String),
    RemoveDocumentPart(KindId, String),
    Head(KindId),
    /// A moved release hour, with the wall-clock time of the move.
    Hour(hours::HourMove, u64),
}

/// A key that shows whether a transaction whose answer was lost has been applied.
#[derive(Clone)]
pub(crate) struct OutcomeProbe {
    pub key: String,
    pub version_before: u64,
    /// Whether the transaction removes the key.
    pub removed: bool,
}

/// Limits of one transaction.
#[derive(Clone, Copy)]
struct TransactionLimits {
    max_writes: usize,
    /// Limits on the sizes of records and transactions.
    write_limits: WriteLimits,
}

/// A transaction under construction.
pub(crate) struct TransactionDraft {
    pub pending_writes: Vec<PendingWrite>,
    pub(super) conditions: Vec<Condition>,
    pub(super) writes: Vec<Write>,
    pub(super) probe: Option<OutcomeProbe>,
    size: usize,
    limits: TransactionLimits,
    /// Counts of the jobs that the transaction ends, for its log record.
    pub counts: EndedCounts,
}

impl TransactionDraft {
    /// Collects pending writes. Returns `None` if there are none.
    pub fn fill(
        shard: &mut Shard,
        shared: &mut SharedState,
        limits: &WriteLimits,
        budget: usize,
        now: Now,
    ) -> Option<Self> {
        let mut draft = TransactionDraft::new(shard.leader_version, limits, budget);
        let cleanup_due = now.mono >= shard.commit.last_cleanup_at + CLEANUP_INTERVAL_MS;
        let head = TransactionDraft::head_due(&shared.documents, shard, budget);
        if cleanup_due && head.is_none() {
            draft.put_split_inventory(shard);
        }
        draft.put_ends(shard, head.map(|(_, writes)| writes), now.wall);
        draft.put_allotment(shard);
        if let Some((kind, _)) = head {
            draft.put_head(&shared.documents, shard, kind);
        }
        draft.put_token(shard, shared, now.mono);
        draft.put_new_rentals(shard);
        draft.put_hour_moves(shard, now.wall, limits.value_bytes(), Self::has_room);
        draft.put_log_records(shard, cleanup_due);
        draft.put_grown_inventory(shard);
        draft.remove_rentals(shard);
        draft.put_catalog(shard, shared, limits.value_kb());
        draft.put_parts(&mut shared.documents, Self::has_room);
        if cleanup_due {
            shard.commit.last_cleanup_at = now.mono;
            draft.put_counter_sheets(shard, now.mono, Self::has_room);
            draft.remove_unreferenced_parts(&shared.documents, Self::has_room);
            draft.put_shrunk_inventory(shard);
            draft.remove_segments(shard);
        }
        (!draft.writes.is_empty()).then_some(draft)
    }

    fn new(leader_version: u64, limits: &WriteLimits, budget: usize) -> Self {
        TransactionDraft {
            pending_writes: Vec::new(),
            conditions: vec![Condition {
                key: records::leader_key(SHARD),
                version: leader_version,
            }],
            writes: Vec::new(),
            probe: None,
            size: 0,
            limits: TransactionLimits {
                max_writes: budget,
                write_limits: *limits,
            },
            counts: EndedCounts::new(limits.value_bytes()),
        }
    }

    /// Writes a record, on condition that its key is at this version; 0 if it must not exist.
    pub fn put(&mut self, key: String, version: u64, record: Record) {
        self.size += wire::encode(&record).len() + key.len();
        // A written record is preferred to a removed one as the probe, because it also shows at which revision the
        // transaction was applied.
        if self.probe.as_ref().is_none_or(|p| p.removed) {
            self.probe = Some(OutcomeProbe {
                key: key.clone(),
                version_before: version,
                removed: false,
            });
        }
        self.add_condition(key.clone(), version);
        self.writes.push(Write::put(key, record));
    }

    /// Writes a record whose key contains its digest: a record that exists under this key is identical. It therefore
    /// cannot show whether this transaction was applied, and needs no condition besides that on the leader record.
    pub fn put_part(&mut self, key: String, record: Record) {
        self.size += wire::encode(&record).len() + key.len();
        self.writes.push(Write::put(key, record));
    }

    /// Removes a record, on condition that it is at this version.
    pub fn remove(&mut self, key: String, version: u64) {
        if self.probe.is_none() {
            self.probe = Some(OutcomeProbe {
                key: key.clone(),
                version_before: version,
                removed: true,
            });
        }
        self.add_condition(key.clone(), version);
        self.writes.push(Write::Remove { key });
    }

    /// Adds a condition: the transaction fails unless the key is at this version.
    pub(super) fn add_condition(&mut self, key: String, version: u64) {
        self.conditions.push(Condition { key, version });
    }

    /// Whether the transaction has a condition on this key, as for every key that `put` or `remove` was called with.
    pub fn has_condition_on(&self, key: &str) -> bool {
        self.conditions.iter().any(|g| g.key == key)
    }

    /// Limits on the sizes of records and transactions.
    pub(super) fn write_limits(&self) -> &WriteLimits {
        &self.limits.write_limits
    }

    /// Number of writes that the transaction still has room for.
    fn writes_left(&self) -> usize {
        self.limits.max_writes.saturating_sub(self.writes.len())
    }

    pub(super) fn has_room_for_conditions(&self) -> bool {
        self.conditions.len() + 2 < self.limits.write_limits.max_conditions()
    }

    fn has_room(&self) -> bool {
        self.writes.len() + self.counts.log_records_due() < self.limits.max_writes
            && self.size < MAX_TRANSACTION_BYTES
            && self.has_room_for_conditions()
    }

    /// Adds ends of jobs. They come first, but leave room for a log record of waiting claims, so that these are not
    /// delayed indefinitely, or for a document's head and the writes that accompany it, `head_writes` in total.
    fn put_ends(&mut self, shard: &mut Shard, head_writes: Option<usize>, wall: u64) {
        let max_writes = self.writes_for_ends(shard, head_writes);
        while self.writes.len() + 2 <= max_writes
            && self.has_room_for_conditions()
            && !self.counts.is_full()
        {
            let Some(job) = shard.claim_log.ending.pop_front() else {
                return;
            };
            self.put_end(shard, job, wall);
        }
    }

    /// Number of writes up to which ends are added. Counts of ended jobs need a log record in the same transaction;
    /// if claims are waiting, one record serves both.
    fn writes_for_ends(&self, shard: &Shard, head_writes: Option<usize>) -> usize {
        let budget = self.limits.max_writes;
        let for_counts = shard.county_counts.reserved_writes(budget);
        let for_claims = usize::from(budget > 2 && !shard.claim_log.unrecorded_claims.is_empty());
        let reserved = match head_writes {
            Some(writes) => writes + for_counts,
            None => for_claims.max(for_counts),
        };
        budget.saturating_sub(reserved)
    }

    fn put_end(&mut self, shard: &mut Shard, index: JobIndex, wall: u64) {
        let Some(job) = shard.job_mut(index) else {
            return;
        };
        let Ending::Decided(stage) = job.ending else {
            return;
        };
        let done = job.done_count;
        let hour = hours::record_end_of_hour(job, wall);
        job.ending = Ending::Writing(stage);
        let (id, version) = (job.id.clone(), job.version);
        let county = self.counts.add(shard, index, stage);
        let end = EndRecord {
            stage,
            done,
            hour,
            county,
        };
        self.put(records::end_key(&id), 0, Record::End(end));
        self.remove(records::live_key(&id), version);
        self.pending_writes.push(PendingWrite::End(index));
    }

    fn put_allotment(&mut self, shard: &mut Shard) {
        if !self.has_room() {
            return;
        }
        shard.allotment.write_requested(self);
    }

    fn put_token(&mut self, shard: &mut Shard, shared: &SharedState, now: u64) {
        let due = shard.raise_token && now >= shard.commit.token_attempted_at + TOKEN_RETRY_MS;
        if !due || !self.has_room() {
            return;
        }
        let token = TokenRange::after(shared.token.max(shard.token())).last();
        self.put(
            records::TOKEN.into(),
            shared.token_version,
            Record::Token(TokenRecord { token }),
        );
        self.pending_writes.push(PendingWrite::Token(token));
        shard.commit.token_attempted_at = now;
    }

    fn put_new_rentals(&mut self, shard: &Shard) {
        let is_new = |state: RentalState| state == RentalState::New;
        for (name, rental) in shard.rentals.iter().filter(|(_, r)| is_new(r.state)) {
            if !self.has_room() {
                return;
            }
            self.put(rental_key(name), 0, Record::Rental(rental.record.clone()));
            self.pending_writes.push(PendingWrite::Rental(name.clone()));
        }
    }

    /// Adds log records with claims and accumulated results, while there is room for conditions on the claims' jobs.
    fn put_log_records(&mut self, shard: &mut Shard, cleanup_due: bool) {
        if self.counts.log_records_due() > 0 {
            self.put_log_record(shard);
        }
        while self.has_room()
            && (!shard.claim_log.unrecorded_claims.is_empty()
                || (cleanup_due && !shard.claim_log.unrecorded_results.is_empty()))
        {
            let before = self.pending_writes.len();
            self.put_log_record(shard);
            if self.pending_writes.len() == before {
                return;
            }
        }
    }

    /// Adds an inventory shard that did not fit into an earlier transaction, if this one may use all its changes:
    /// splitting the shard may take most of them.
    fn put_split_inventory(&mut self, shard: &mut Shard) {
        let budget = self.limits.max_writes;
        if budget == self.limits.write_limits.changes()
            && let Some(number) = shard.claim_log.to_split.take()
        {
            self.put_inventory_shard(shard, number, budget);
        }
    }

    fn put_grown_inventory(&mut self, shard: &mut Shard) {
        while self.has_room()
            && let Some(number) = shard.claim_log.grown_inventory.pop_first()
        {
            if !self.put_inventory_shard(shard, number, self.writes_left()) {
                shard.claim_log.grown_inventory.insert(number);
                shard.claim_log.to_split = Some(number);
                return;
            }
        }
    }

    fn put_shrunk_inventory(&mut self, shard: &mut Shard) {
        while self.has_room()
            && let Some(number) = shard.claim_log.shrunk_inventory.pop_first()
        {
            if !self.put_inventory_shard(shard, number, self.writes_left()) {
                shard.claim_log.shrunk_inventory.insert(number);
                shard.claim_log.to_split = Some(number);
                return;
            }
        }
    }

    /// Removes answered rentals. A rental's record is removed in the transaction that records its machines, or later.
    fn remove_rentals(&mut self, shard: &Shard) {
        let is_answered = |state: RentalState| state == RentalState::Answered;
        for (name, rental) in shard.rentals.iter().filter(|(_, r)| is_answered(r.state)) {
            if !shard.claim_log.grown_inventory.is_empty() || !self.has_room() {
                return;
            }
            self.remove(rental_key(name), rental.version);
            self.pending_writes
                .push(PendingWrite::RemoveRental(name.clone()));
        }
    }

    fn put_catalog(&mut self, shard: &mut Shard, shared: &SharedState, value_kb: f64) {
        if !shard.cloud_calls.catalog_dirty || !self.has_room() {
            return;
        }
        let Some(catalog) = &shared.catalog else {
            return;
        };
        shard.cloud_calls.catalog_dirty = false;
        if wire::encode(catalog).len() as f64 * SERVICE_ENCODING_FACTOR >= value_kb * 1024.0 {
            return;
        }
        self.put(
            records::CATALOG.into(),
            shared.catalog_version,
            Record::Catalog(catalog.clone()),
        );
        self.pending_writes.push(PendingWrite::Catalog);
    }

    fn remove_segments(&mut self, shard: &mut Shard) {
        while self.has_room()
            && let Some(number) = shard.claim_log.garbage.pop_first()
        {
            let Some(segment) = shard.claim_log.segments.get(&number) else {
                continue;
            };
            self.remove(records::log_key(SHARD, number), segment.version);
            self.pending_writes.push(PendingWrite::RemoveLog(number));
        }
    }
}

fn rental_key(name: &str) -> String {
    format!("{}{name}", records::rentals_prefix(SHARD))
}
