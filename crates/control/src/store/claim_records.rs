//! Builds the records of the write-ahead log, with claims and results, and of the inventory, with machines.

use crate::agents::machine::ClaimState;
use crate::documents::county_counts;
use crate::jobs::job::{Ending, JobIndex};
use crate::leadership::election::SHARD;
use crate::store::claim_log::{ClaimId, ClaimLog};
use crate::store::inventory_split::InventoryPiece;
use crate::store::record_sizes;
use crate::store::shard::Shard;
use crate::store::transaction::{PendingWrite, TransactionDraft};
use crate::store::write_limits::WriteLimits;
use std::collections::{BTreeMap, BTreeSet};
use wire::records::{self, ClaimsRecord, DoneRecord, LogRecord, Record};

/// The log may hold one record per this many machines before it is compacted, if that is more than the limits'
/// threshold.
const MACHINES_PER_SEGMENT: usize = 5;

/// Number of log records above which the oldest is compacted, in a fleet of this many machines.
fn max_segments(limits: &WriteLimits, machines: usize) -> usize {
    limits
        .compaction_threshold()
        .max(machines / MACHINES_PER_SEGMENT)
}

/// Length of a log record besides its entries.
const LOG_RECORD_OVERHEAD: usize = 64;

/// A log record in a transaction that is not yet committed.
pub(crate) struct PendingLogRecord {
    pub number: u64,
    pub claims: Vec<ClaimId>,
    pub results: Vec<PendingResults>,
    pub ended: Vec<county::Delta>,
}

/// Results of one job in a pending log record.
pub(crate) struct PendingResults {
    pub job: JobIndex,
    pub tasks: Vec<u32>,
    pub scope: ResultScope,
}

/// Which of a job's results a log record holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResultScope {
    /// Results that no record holds yet.
    Unrecorded,
    /// All known results, so that earlier records no longer have to hold them.
    All,
}

/// A log record under construction.
struct LogRecordBuilder {
    pending: PendingLogRecord,
    /// Claimed tasks by machine, grouped by job and attempt.
    groups: BTreeMap<(JobIndex, u64), BTreeMap<usize, BTreeSet<u32>>>,
    record: LogRecord,
    size: usize,
    limits: WriteLimits,
    max_size: usize,
}

impl LogRecordBuilder {
    fn new(number: u64, ended: Vec<county::Delta>, limits: &WriteLimits) -> Self {
        LogRecordBuilder {
            size: LOG_RECORD_OVERHEAD + county_counts::max_deltas_bytes(&ended),
            record: LogRecord {
                ended: ended.clone(),
                ..LogRecord::default()
            },
            pending: PendingLogRecord {
                number,
                claims: Vec::new(),
                results: Vec::new(),
                ended,
            },
            groups: BTreeMap::new(),
            limits: *limits,
            max_size: limits.value_bytes(),
        }
    }

    /// Adds a claim. Returns false if it does not fit, or if its job or its machine is unknown.
    fn try_add(&mut self, shard: &Shard, id: &ClaimId) -> bool {
        let (Some(job), Some(machine)) = (shard.job(id.job), shard.machine(id.machine)) else {
            return false;
        };
        let mut added_bytes = record_sizes::claims_entry(&self.limits, &machine.name);
        if !self.groups.contains_key(&(id.job, id.attempt)) {
            added_bytes += record_sizes::claims_frame(&self.limits, job);
        }
        if self.size + added_bytes > self.max_size {
            return false;
        }
        self.size += added_bytes;
        let group = self.groups.entry((id.job, id.attempt)).or_default();
        group.entry(id.machine).or_default().insert(id.task);
        true
    }

    /// Adds the claims of the oldest segment that are still valid.
    fn move_live_claims(&mut self, shard: &mut Shard, oldest: u64) {
        let segment = shard.claim_log.segments.get(&oldest);
        for id in segment.map(|s| s.claims.clone()).unwrap_or_default() {
            let is_live = shard
                .claim_mut(&id)
                .is_some_and(|c| c.state == ClaimState::Recorded && c.segment == oldest);
            if is_live && self.try_add(shard, &id) {
                self.pending.claims.push(id);
            }
        }
    }

    fn write_claims(&mut self, shard: &Shard) {
        for ((index, attempt), machines) in std::mem::take(&mut self.groups) {
            let Some(job) = shard.job(index) else {
                continue;
            };
            self.record.claims.push(ClaimsRecord {
                job: job.id.clone(),
                team: job.team.clone(),
                cores: job.need.cores,
                gpus: job.need.gpus,
                mem_gb: job.need.mem_gb,
                attempt,
                on: ranges_by_machine(shard, machines),
                county: county_counts::claims_county(job),
                alone: job.tenant.is_isolated,
            });
        }
    }

    fn write_results(&mut self, shard: &mut Shard, index: JobIndex, scope: ResultScope) {
        let Some(job) = shard.job(index).filter(|j| j.ending == Ending::Undecided) else {
            shard.claim_log.unrecorded_results.remove(&index);
            return;
        };
        let mut tasks: Vec<u32> = match scope {
            ResultScope::All => job.recorded_tasks().collect(),
            ResultScope::Unrecorded => job.unrecorded_tasks.iter().copied().collect(),
        };
        let mut ranges = records::ranges(tasks.iter().copied());
        let base_size = self.size + DoneRecord::frame(&job.id);
        let max_ranges = self.max_size.saturating_sub(base_size) / DoneRecord::ENTRY;
        if max_ranges == 0 || (scope == ResultScope::All && ranges.len() > max_ranges) {
            return;
        }
        let id = job.id.clone();
        if ranges.len() > max_ranges {
            ranges.truncate(max_ranges);
            tasks.truncate(records::unrange(&ranges).count());
        } else if scope == ResultScope::Unrecorded {
            shard.claim_log.unrecorded_results.remove(&index);
        }
        self.size = base_size + ranges.len() * DoneRecord::ENTRY;
        self.record.done.push(DoneRecord {
            job: id,
            tasks: ranges,
        });
        self.pending.results.push(PendingResults {
            job: index,
            tasks,
            scope,
        });
    }

    /// Returns the record and its pending entries, or `None` if the record is empty.
    fn finish(self) -> Option<(LogRecord, PendingLogRecord)> {
        let record = &self.record;
        let is_empty =
            record.claims.is_empty() && record.done.is_empty() && record.ended.is_empty();
        (!is_empty).then_some((self.record, self.pending))
    }
}

/// Ranges of tasks, each as machine name, first task and length.
fn ranges_by_machine(
    shard: &Shard,
    machines: BTreeMap<usize, BTreeSet<u32>>,
) -> Vec<(String, u32, u32)> {
    let mut list = Vec::new();
    for (index, tasks) in machines {
        let Some(machine) = shard.machine(index) else {
            continue;
        };
        let ranges = records::ranges(tasks).into_iter();
        list.extend(ranges.map(|(first, n)| (machine.name.clone(), first, n)));
    }
    list
}

impl ClaimLog {
    /// The oldest segment with live entries, if the log has more segments than allowed.
    fn segment_to_compact(&self, limits: &WriteLimits, machines: usize) -> Option<u64> {
        if self.segments.len() <= max_segments(limits, machines) {
            return None;
        }
        let (number, _) = self.segments.iter().find(|(_, s)| s.has_live_entries())?;
        Some(*number)
    }

    /// Jobs whose results are to be written; those of the compacted segment come last.
    fn results_to_write(&self, compacted: Option<u64>) -> Vec<(JobIndex, ResultScope)> {
        let unrecorded = self
            .unrecorded_results
            .iter()
            .map(|job| (*job, ResultScope::Unrecorded));
        let moved = compacted
            .and_then(|number| self.segments.get(&number))
            .into_iter()
            .flat_map(|s| &s.jobs)
            .map(|job| (*job, ResultScope::All));
        unrecorded.chain(moved).collect()
    }
}

impl TransactionDraft {
    /// Writes one log record: new claims as far as they fit, claims moved from the segment under compaction, then
    /// results.
    pub(super) fn put_log_record(&mut self, shard: &mut Shard) {
        let ended = self.counts.take();
        let mut builder =
            LogRecordBuilder::new(shard.next_log_number(), ended, self.write_limits());
        if !self.add_unrecorded_claims(shard, &mut builder) {
            return;
        }
        let machines = shard.machines.count();
        let oldest = shard
            .claim_log
            .segment_to_compact(self.write_limits(), machines);
        if let Some(oldest) = oldest {
            builder.move_live_claims(shard, oldest);
        }
        builder.write_claims(shard);
        for (job, scope) in shard.claim_log.results_to_write(oldest) {
            builder.write_results(shard, job, scope);
        }
        if let Some((record, log)) = builder.finish() {
            self.put(records::log_key(SHARD, log.number), 0, Record::Log(record));
            self.pending_writes.push(PendingWrite::Log(log));
        }
    }

    /// Adds claims that are not recorded yet. Returns false if a claim's job is unknown; no record is written then.
    fn add_unrecorded_claims(&mut self, shard: &mut Shard, builder: &mut LogRecordBuilder) -> bool {
        while let Some(id) = shard.claim_log.unrecorded_claims.front().copied() {
            let Some(claim) = shard.claim_mut(&id).filter(|c| c.state == ClaimState::New) else {
                shard.claim_log.unrecorded_claims.pop_front();
                continue;
            };
            let is_sent = claim.is_sent();
            let Some(job) = shard.job(id.job) else {
                return false;
            };
            // A planned claim that was not sent is dropped if its job has ended since: a condition on the job's
            // record would fail the whole transaction.
            if job.is_ending() && !is_sent {
                shard.claim_log.unrecorded_claims.pop_front();
                shard.drop_claim(&id);
                continue;
            }
            // A condition on the job's record keeps a claim from being committed after its job's end.
            let (key, version) = (records::live_key(&job.id), job.version);
            let has_condition = job.is_ending() || self.has_condition_on(&key);
            if (!has_condition && !self.has_room_for_conditions()) || !builder.try_add(shard, &id) {
                break;
            }
            if !has_condition {
                self.add_condition(key, version);
            }
            if let Some(claim) = shard.claim_mut(&id) {
                claim.state = ClaimState::Writing;
            }
            shard.claim_log.unrecorded_claims.pop_front();
            builder.pending.claims.push(id);
        }
        true
    }

    /// Writes the current machines of an inventory shard, or removes its record if there are none. Returns false, and
    /// writes nothing, if the shard has to be split into more than `max_records` records but a full transaction could
    /// take them.
    pub(super) fn put_inventory_shard(
        &mut self,
        shard: &mut Shard,
        number: u64,
        max_records: usize,
    ) -> bool {
        shard.claim_log.shrunk_inventory.remove(&number);
        let Some(inventory_shard) = shard.claim_log.inventory.get(&number) else {
            return true;
        };
        let key = records::inventory_key(SHARD, number);
        let version = inventory_shard.version;
        if inventory_shard.machines.is_empty() {
            // The number is not reused in this term: a delayed copy of the transaction that first wrote this shard
            // never meets a shard of other machines under its key.
            shard.claim_log.inventory.remove(&number);
            if version > 0 {
                self.remove(key, version);
                self.pending_writes
                    .push(PendingWrite::RemoveInventoryShard(number, version));
            }
            return true;
        }
        let max_bytes = shard.limits.value_bytes();
        let mut pieces = shard.inventory_pieces(&inventory_shard.machines, max_bytes);
        if pieces.len() > 1 && shard.split_unrecorded(number, max_bytes) {
            // Machines that were never recorded do not have to move in the same transaction as the others.
            return self.put_inventory_shard(shard, number, max_records);
        }
        if pieces.len() > shard.limits.changes() {
            // Too many pieces for one transaction: the record stays as it is until enough machines are gone.
            return true;
        }
        if pieces.len() > max_records {
            return false;
        }
        let first = pieces.remove(0);
        for piece in pieces {
            self.put_inventory_piece(shard, number, piece);
        }
        let names = first.names();
        self.put(key, version, Record::InventoryShard(first.record));
        self.pending_writes
            .push(PendingWrite::InventoryShard(number, names));
        true
    }

    fn put_inventory_piece(&mut self, shard: &mut Shard, from: u64, piece: InventoryPiece) {
        let number = shard.move_to_new_inventory_shard(from, &piece.machines);
        let names = piece.names();
        self.put(
            records::inventory_key(SHARD, number),
            0,
            Record::InventoryShard(piece.record),
        );
        self.pending_writes
            .push(PendingWrite::InventoryPiece(number, from, names));
    }
}
