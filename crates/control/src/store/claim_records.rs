//! Records of the write-ahead log, with claims and results, and of the inventory, with machines.

use crate::agents::machine::{ClaimState, Machine};
use crate::documents::county_counts;
use crate::jobs::job::{Ending, JobIndex};
use crate::leadership::election::SHARD;
use crate::store::claim_log::{ClaimId, ClaimLog, InventoryShard};
use crate::store::shard::Shard;
use crate::store::transaction::{PendingWrite, TransactionDraft};
use std::collections::{BTreeMap, BTreeSet};
use wire::records::{
    self, ClaimsRecord, DoneRecord, InventoryRecord, KindRecord, LogRecord, Record,
};

/// With more log records than this, or than one for so many machines, the oldest are moved into new ones.
const MAX_SEGMENTS: usize = 400;
const MACHINES_PER_SEGMENT: usize = 5;

/// Log records that a fleet of so many machines may have before the oldest are moved.
fn max_segments(machines: usize) -> usize {
    MAX_SEGMENTS.max(machines / MACHINES_PER_SEGMENT)
}

/// What a log record takes besides its entries.
const LOG_FRAME: usize = 64;

/// A log record on its way.
pub(crate) struct PendingLog {
    pub number: u64,
    pub claims: Vec<ClaimId>,
    pub results: Vec<PendingResults>,
    pub ended: Vec<county::Delta>,
}

/// Results of a job's in a log record on its way.
pub(crate) struct PendingResults {
    pub job: JobIndex,
    pub tasks: Vec<u32>,
    pub scope: Scope,
}

/// Which of a job's results a record holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Those that stand in no record yet.
    Unsaved,
    /// All that are known, so that earlier records need not hold them.
    All,
}

/// A log record that is being filled.
struct LogBuilder {
    log: PendingLog,
    /// Tasks by machine, by the job and the attempt that they are claimed for.
    groups: BTreeMap<(JobIndex, u64), BTreeMap<usize, BTreeSet<u32>>>,
    record: LogRecord,
    size: usize,
    max_size: usize,
}

impl LogBuilder {
    fn new(number: u64, ended: Vec<county::Delta>, max_size: usize) -> Self {
        LogBuilder {
            size: LOG_FRAME + county_counts::deltas_bytes(&ended),
            record: LogRecord {
                ended: ended.clone(),
                ..LogRecord::default()
            },
            log: PendingLog {
                number,
                claims: Vec::new(),
                results: Vec::new(),
                ended,
            },
            groups: BTreeMap::new(),
            max_size,
        }
    }

    /// Takes a claim in if it fits.
    fn try_add(&mut self, shard: &Shard, id: &ClaimId) -> bool {
        let (Some(job), Some(machine)) = (shard.job(id.job), shard.machine(id.machine)) else {
            return false;
        };
        let mut more = ClaimsRecord::entry(&machine.name);
        if !self.groups.contains_key(&(id.job, id.attempt)) {
            more += ClaimsRecord::frame(&job.id, &job.team) + county_counts::claims_bytes(job);
        }
        if self.size + more > self.max_size {
            return false;
        }
        self.size += more;
        let group = self.groups.entry((id.job, id.attempt)).or_default();
        group.entry(id.machine).or_default().insert(id.task);
        true
    }

    /// The oldest record's claims that still hold.
    fn move_claims(&mut self, shard: &mut Shard, oldest: u64) {
        let segment = shard.claim_log.segments.get(&oldest);
        for id in segment.map(|s| s.claims.clone()).unwrap_or_default() {
            let holds = shard
                .claim_mut(&id)
                .is_some_and(|c| c.state == ClaimState::Recorded && c.segment == oldest);
            if holds && self.try_add(shard, &id) {
                self.log.claims.push(id);
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
                alone: job.tenant.alone,
            });
        }
    }

    fn write_results(&mut self, shard: &mut Shard, index: JobIndex, scope: Scope) {
        let Some(job) = shard.job(index).filter(|j| j.ending == Ending::No) else {
            shard.claim_log.unsaved.remove(&index);
            return;
        };
        let mut tasks: Vec<u32> = match scope {
            Scope::All => job.saved().collect(),
            Scope::Unsaved => job.unsaved.iter().copied().collect(),
        };
        let mut ranges = records::ranges(tasks.iter().copied());
        let frame = self.size + DoneRecord::frame(&job.id);
        let fits = self.max_size.saturating_sub(frame) / DoneRecord::ENTRY;
        if fits == 0 || (scope == Scope::All && ranges.len() > fits) {
            return;
        }
        let id = job.id.clone();
        if ranges.len() > fits {
            ranges.truncate(fits);
            tasks.truncate(records::unrange(&ranges).count());
        } else if scope == Scope::Unsaved {
            shard.claim_log.unsaved.remove(&index);
        }
        self.size = frame + ranges.len() * DoneRecord::ENTRY;
        self.record.done.push(DoneRecord {
            job: id,
            tasks: ranges,
        });
        self.log.results.push(PendingResults {
            job: index,
            tasks,
            scope,
        });
    }

    /// The record and what it changes; `None` if it says nothing.
    fn finish(self) -> Option<(LogRecord, PendingLog)> {
        let record = &self.record;
        let says_nothing =
            record.claims.is_empty() && record.done.is_empty() && record.ended.is_empty();
        (!says_nothing).then_some((self.record, self.log))
    }
}

/// Ranges of tasks, each as its machine's name, its first task and its length.
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
    /// The oldest record that still holds something, where there are too many records.
    fn segment_to_compact(&self, machines: usize) -> Option<u64> {
        if self.segments.len() <= max_segments(machines) {
            return None;
        }
        let (number, _) = self.segments.iter().find(|(_, s)| s.holds())?;
        Some(*number)
    }

    /// Jobs whose results are to be written, those of a compacted record last.
    fn results_to_write(&self, compacted: Option<u64>) -> Vec<(JobIndex, Scope)> {
        let unsaved = self.unsaved.iter().map(|job| (*job, Scope::Unsaved));
        let moved = compacted
            .and_then(|number| self.segments.get(&number))
            .into_iter()
            .flat_map(|s| &s.jobs)
            .map(|job| (*job, Scope::All));
        unsaved.chain(moved).collect()
    }
}

impl TransactionDraft {
    /// One log record: claims as far as they fit, then results, then what is moved out of the oldest record.
    pub(super) fn put_log(&mut self, shard: &mut Shard) {
        let ended = self.counts.take();
        let mut builder = LogBuilder::new(shard.next_log(), ended, self.value_limit());
        if !self.add_fresh_claims(shard, &mut builder) {
            return;
        }
        let oldest = shard.claim_log.segment_to_compact(shard.machines.count());
        if let Some(oldest) = oldest {
            builder.move_claims(shard, oldest);
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

    /// False if a claim names a job that nobody knows: then there is no record.
    fn add_fresh_claims(&mut self, shard: &mut Shard, builder: &mut LogBuilder) -> bool {
        while let Some(id) = shard.claim_log.fresh.front().copied() {
            let Some(claim) = shard.claim_mut(&id).filter(|c| c.state == ClaimState::New) else {
                shard.claim_log.fresh.pop_front();
                continue;
            };
            let sent = claim.sent;
            let Some(job) = shard.job(id.job) else {
                return false;
            };
            // What was planned for a job that has ended meanwhile is dropped: nothing was sent, and a guard on
            // the job's record would fail the whole transaction.
            if job.is_ending() && !sent {
                shard.claim_log.fresh.pop_front();
                shard.drop_claim(&id);
                continue;
            }
            // The claims' jobs are guarded too: a claim must not come after its job's end.
            let (key, version) = (records::live_key(&job.id), job.version);
            let guarded = job.is_ending() || self.writes_to(&key);
            if (!guarded && !self.has_room_for_conditions()) || !builder.try_add(shard, &id) {
                break;
            }
            if !guarded {
                self.guard(key, version);
            }
            if let Some(claim) = shard.claim_mut(&id) {
                claim.state = ClaimState::Writing;
            }
            shard.claim_log.fresh.pop_front();
            builder.log.claims.push(id);
        }
        true
    }

    /// Writes an inventory shard as it stands now, or removes it.
    pub(super) fn put_inventory_shard(&mut self, shard: &mut Shard, number: u64) {
        shard.claim_log.shrunk_inventory.remove(&number);
        let Some(inventory_shard) = shard.claim_log.inventory.get(&number) else {
            return;
        };
        let key = records::inventory_key(SHARD, number);
        let version = inventory_shard.version;
        if inventory_shard.machines.is_empty() {
            // Its number is not used again in this term. A late copy of the transaction that first wrote it finds
            // no inventory shard of other machines in its place, and is taken for none.
            shard.claim_log.inventory.remove(&number);
            if version > 0 {
                self.remove(key, version);
            }
            return;
        }
        let record = inventory_record(shard, inventory_shard);
        let machines = record.kinds.iter().flat_map(|k| &k.machines);
        let names = machines.map(|(name, _)| name.clone()).collect();
        self.put(key, version, Record::InventoryShard(record));
        self.pending_writes
            .push(PendingWrite::InventoryShard(number, names));
    }
}

fn inventory_record(shard: &Shard, inventory_shard: &InventoryShard) -> InventoryRecord {
    let machines = inventory_shard.machines.iter();
    let mut record = InventoryRecord::default();
    for machine in machines.filter_map(|m| shard.machine(*m)) {
        add_to_kind(&mut record.kinds, machine);
    }
    record
}

/// Machines of one type, zone and price stand together.
fn add_to_kind(kinds: &mut Vec<KindRecord>, machine: &Machine) {
    let entry = (machine.name.clone(), machine.rented_ms);
    let same = |k: &&mut KindRecord| {
        k.machine_type == machine.machine_type && k.zone == machine.zone && k.spot == machine.spot
    };
    match kinds.iter_mut().find(same) {
        Some(kind) => kind.machines.push(entry),
        None => kinds.push(KindRecord {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            machines: vec![entry],
        }),
    }
}
