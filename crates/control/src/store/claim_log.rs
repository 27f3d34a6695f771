//! What stands of the shard in the state service, and what is still to be written there.
//!
//! Claims and results go into a log: one record a turn, whatever the number of machines. A record is removed when
//! all its claims have ended and all jobs whose results it holds have; so it may name claims that are over, which
//! costs a new leader a moment's caution and nothing else. Machines stand in inventory shards, many to a record.

use crate::agents::machine::Claim;
use crate::jobs::job::{Ending, JobIndex};
use crate::store::shard::Shard;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::api::Stage;

/// One claim, for ever: attempts never repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClaimId {
    pub machine: usize,
    pub job: JobIndex,
    pub task: u32,
    pub attempt: u64,
}

impl ClaimId {
    /// Whether a claim on its machine is this one.
    pub fn matches(&self, claim: &Claim) -> bool {
        claim.job == self.job && claim.task == self.task && claim.attempt == self.attempt
    }
}

/// A log record in the state service.
#[derive(Default)]
pub(crate) struct Segment {
    pub version: u64,
    /// Claims in it that hold.
    pub live_claims: u32,
    /// Jobs that have not ended and whose results it holds.
    pub jobs: BTreeSet<JobIndex>,
    /// All its claims, for moving those that still hold.
    pub claims: Vec<ClaimId>,
    /// It has counts that are not in their sheets yet.
    pub has_unfolded_counts: bool,
}

impl Segment {
    /// It says nothing any more.
    fn is_garbage(&self) -> bool {
        !self.has_live_entries() && !self.has_unfolded_counts
    }
    /// It has claims or results that are still wanted.
    pub fn has_live_entries(&self) -> bool {
        self.live_claims > 0 || !self.jobs.is_empty()
    }
}

/// A record of machines in the state service.
#[derive(Default)]
pub(crate) struct InventoryShard {
    /// 0 until it is recorded.
    pub version: u64,
    pub machines: BTreeSet<usize>,
    /// Bound on its record's length.
    pub size: usize,
}

/// The log of write-ahead claims and the inventory, as they stand and as they are to be written.
#[derive(Default)]
pub(crate) struct ClaimLog {
    pub segments: BTreeMap<u64, Segment>,
    /// Segments that say nothing any more.
    pub garbage: BTreeSet<u64>,
    /// Claims to be recorded, most urgent first.
    pub fresh: VecDeque<ClaimId>,
    /// Jobs with results to be recorded.
    pub unsaved: BTreeSet<JobIndex>,
    /// Jobs whose end is to be recorded, cancelled ones first.
    pub ending: VecDeque<JobIndex>,
    pub inventory: BTreeMap<u64, InventoryShard>,
    /// Inventory shards to be written: those with machines that are new, and those that only lost some.
    pub grown_inventory: BTreeSet<u64>,
    pub shrunk_inventory: BTreeSet<u64>,
    /// An inventory shard that a transaction had no room for.
    pub to_split: Option<u64>,
    next_inventory_shard: u64,
}

impl ClaimLog {
    /// Changes a segment, which may be over then.
    fn update_segment(&mut self, number: u64, update: impl FnOnce(&mut Segment)) {
        if let Some(segment) = self.segments.get_mut(&number) {
            update(segment);
            if segment.is_garbage() {
                self.garbage.insert(number);
            }
        }
    }

    /// A claim of this segment has ended.
    pub fn ended(&mut self, segment: u64) {
        self.update_segment(segment, |s| s.live_claims = s.live_claims.saturating_sub(1));
    }

    /// A job's results need no longer stand in these segments.
    pub fn release_results(&mut self, job: JobIndex, segments: impl IntoIterator<Item = u64>) {
        for number in segments {
            self.update_segment(number, |s| {
                s.jobs.remove(&job);
            });
        }
    }

    /// The counts of these segments are in their sheets.
    pub fn counted(&mut self, segments: impl IntoIterator<Item = u64>) {
        for number in segments {
            self.update_segment(number, |s| s.has_unfolded_counts = false);
        }
    }

    /// A job's end is to be recorded; its results need not be.
    fn queue_end(&mut self, job: JobIndex, stage: Stage) {
        self.unsaved.remove(&job);
        if self.ending.contains(&job) {
            return;
        }
        // A cancel has somebody waiting for it, and tasks that run for nobody.
        if stage == Stage::Cancelled {
            self.ending.push_front(job);
        } else {
            self.ending.push_back(job);
        }
    }

    /// A segment is in place, or was read back.
    pub fn add_segment(&mut self, number: u64, segment: Segment) {
        if segment.is_garbage() {
            self.garbage.insert(number);
        }
        self.segments.insert(number, segment);
    }

    /// The inventory shard for a machine that adds so much to a record of at most `limit`.
    pub fn assign_inventory_shard(&mut self, machine: usize, size: usize, limit: usize) -> u64 {
        // The last one, or a new one: inventory shards that lost machines shrink until they are gone.
        let open = self
            .inventory
            .iter()
            .next_back()
            .filter(|(_, r)| r.size + size <= limit)
            .map(|(n, _)| *n);
        let number = open.unwrap_or(self.next_inventory_shard);
        self.next_inventory_shard = self.next_inventory_shard.max(number + 1);
        let inventory_shard = self.inventory.entry(number).or_default();
        inventory_shard.machines.insert(machine);
        inventory_shard.size += size;
        self.grown_inventory.insert(number);
        number
    }

    /// An inventory shard as it was read back.
    pub fn load_inventory_shard(&mut self, number: u64, inventory_shard: InventoryShard) {
        self.next_inventory_shard = self.next_inventory_shard.max(number + 1);
        self.inventory.insert(number, inventory_shard);
    }

    /// Takes machines that add up to this size out of an inventory shard, into a new one.
    pub fn split_inventory_shard(&mut self, from: u64, machines: &[usize], size: usize) -> u64 {
        if let Some(inventory_shard) = self.inventory.get_mut(&from) {
            inventory_shard.machines.retain(|m| !machines.contains(m));
            inventory_shard.size = inventory_shard.size.saturating_sub(size);
        }
        let number = self.next_inventory_shard;
        self.next_inventory_shard += 1;
        let inventory_shard = InventoryShard {
            version: 0,
            machines: machines.iter().copied().collect(),
            size,
        };
        self.inventory.insert(number, inventory_shard);
        number
    }

    /// Puts an inventory shard that was never recorded into another, and returns its machines.
    pub fn merge_inventory_shard(&mut self, number: u64, into: u64) -> Vec<usize> {
        let Some(inventory_shard) = self.inventory.remove(&number) else {
            return Vec::new();
        };
        self.grown_inventory.remove(&number);
        self.shrunk_inventory.remove(&number);
        let whole = self.inventory.entry(into).or_default();
        whole.size += inventory_shard.size;
        whole.machines.extend(&inventory_shard.machines);
        self.grown_inventory.insert(into);
        inventory_shard.machines.into_iter().collect()
    }

    /// A machine is gone from its inventory shard.
    pub fn remove_from_inventory_shard(&mut self, number: u64, machine: usize, size: usize) {
        if let Some(inventory_shard) = self.inventory.get_mut(&number)
            && inventory_shard.machines.remove(&machine)
        {
            inventory_shard.size = inventory_shard.size.saturating_sub(size);
            self.shrunk_inventory.insert(number);
        }
    }
}

impl Shard {
    /// Puts a claim on a machine, to be recorded.
    pub fn make_claim(&mut self, id: ClaimId, claim: Claim) {
        if self.job(id.job).is_none() || self.machine(id.machine).is_none() {
            return;
        }
        if let Some(job) = self.job_mut(id.job) {
            job.claim(id.task, id.machine, id.attempt);
        }
        if let Some(machine) = self.machine_mut(id.machine) {
            machine.claims.push(claim);
        }
        self.claim_log.fresh.push_back(id);
    }

    /// The claim, while it holds.
    pub fn claim_mut(&mut self, id: &ClaimId) -> Option<&mut Claim> {
        let machine = self.machines.get_mut(id.machine)?;
        machine.claims.iter_mut().find(|c| id.matches(c))
    }

    /// Notes that results of a job, or its end, are to be recorded.
    pub fn job_to_write(&mut self, index: JobIndex) {
        let Some(job) = self.jobs.get(index) else {
            return;
        };
        match job.ending {
            Ending::No if !job.unsaved.is_empty() => {
                self.claim_log.unsaved.insert(index);
            }
            Ending::Wanted(stage) => self.claim_log.queue_end(index, stage),
            _ => {}
        }
    }
}
