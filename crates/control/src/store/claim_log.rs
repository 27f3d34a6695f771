//! The shard's contents in the state service, and what is still to be written there.
//!
//! Claims and results are appended to a log in batches, one record for many machines. A record is removed once all
//! its claims and all jobs whose results it holds have ended. It may therefore name claims that are over, which only
//! makes a new leader cautious for a moment. Machines are recorded in inventory shards, many to a record.

use crate::agents::machine::Claim;
use crate::jobs::job::{Ending, JobIndex};
use crate::store::shard::Shard;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::api::Stage;

/// Identifies a claim permanently, as attempt numbers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClaimId {
    pub machine: usize,
    pub job: JobIndex,
    pub task: u32,
    pub attempt: u64,
}

impl ClaimId {
    /// Whether this identifies the given claim on its machine.
    pub fn matches(&self, claim: &Claim) -> bool {
        claim.job == self.job && claim.task == self.task && claim.attempt == self.attempt
    }
}

/// A segment of the log: one log record in the state service, and what is known of its entries.
#[derive(Default)]
pub(crate) struct Segment {
    pub version: u64,
    /// Number of its claims that are still valid.
    pub live_claims: u32,
    /// Jobs that have not ended and whose results it holds.
    pub jobs: BTreeSet<JobIndex>,
    /// All its claims; compaction moves those that are still valid.
    pub claims: Vec<ClaimId>,
    /// Whether it holds county counts that are not in their counter sheets yet.
    pub has_unfolded_counts: bool,
}

impl Segment {
    /// Whether nothing in it is needed any more.
    fn is_garbage(&self) -> bool {
        !self.has_live_entries() && !self.has_unfolded_counts
    }

    /// Whether it has claims or results that are still needed.
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
    /// Upper bound on the length of its record.
    pub size: usize,
}

/// The write-ahead log of claims and the inventory: what is recorded, and what is to be written.
#[derive(Default)]
pub(crate) struct ClaimLog {
    pub segments: BTreeMap<u64, Segment>,
    /// Segments whose records are to be removed.
    pub garbage: BTreeSet<u64>,
    /// Claims to be recorded, most urgent first.
    pub unrecorded_claims: VecDeque<ClaimId>,
    /// Jobs with results to be recorded.
    pub unrecorded_results: BTreeSet<JobIndex>,
    /// Jobs whose end is to be recorded, cancelled ones first.
    pub ending: VecDeque<JobIndex>,
    pub inventory: BTreeMap<u64, InventoryShard>,
    /// Inventory shards to be written: those with new machines, and those that only lost machines.
    pub grown_inventory: BTreeSet<u64>,
    pub shrunk_inventory: BTreeSet<u64>,
    /// An inventory shard whose pieces did not fit into a transaction.
    pub to_split: Option<u64>,
    next_inventory_shard: u64,
}

impl ClaimLog {
    /// Updates a segment, and marks it for removal if nothing in it is needed any more.
    fn update_segment(&mut self, number: u64, update: impl FnOnce(&mut Segment)) {
        if let Some(segment) = self.segments.get_mut(&number) {
            update(segment);
            if segment.is_garbage() {
                self.garbage.insert(number);
            }
        }
    }

    /// Records that a claim of this segment has ended.
    pub fn release_claim(&mut self, segment: u64) {
        self.update_segment(segment, |s| s.live_claims = s.live_claims.saturating_sub(1));
    }

    /// Records that a job's results no longer have to be in these segments.
    pub fn release_results(&mut self, job: JobIndex, segments: impl IntoIterator<Item = u64>) {
        for number in segments {
            self.update_segment(number, |s| {
                s.jobs.remove(&job);
            });
        }
    }

    /// Records that the counts of these segments are in their counter sheets.
    pub fn release_counts(&mut self, segments: impl IntoIterator<Item = u64>) {
        for number in segments {
            self.update_segment(number, |s| s.has_unfolded_counts = false);
        }
    }

    /// Queues a job's end to be recorded; its results no longer have to be.
    fn queue_end(&mut self, job: JobIndex, stage: Stage) {
        self.unrecorded_results.remove(&job);
        if self.ending.contains(&job) {
            return;
        }
        // Cancellations come first: a client waits for each, and its tasks use machines for no purpose.
        if stage == Stage::Cancelled {
            self.ending.push_front(job);
        } else {
            self.ending.push_back(job);
        }
    }

    /// Adds a segment that was committed or read back.
    pub fn add_segment(&mut self, number: u64, segment: Segment) {
        if segment.is_garbage() {
            self.garbage.insert(number);
        }
        self.segments.insert(number, segment);
    }

    /// Assigns a machine to an inventory shard, and returns the shard's number. The machine adds `size` bytes to the
    /// record, which may have at most `limit`.
    pub fn assign_inventory_shard(&mut self, machine: usize, size: usize, limit: usize) -> u64 {
        // The last shard or a new one: shards that lost machines are not refilled, but shrink until they are removed.
        let last_with_room = self
            .inventory
            .iter()
            .next_back()
            .filter(|(_, r)| r.size + size <= limit)
            .map(|(n, _)| *n);
        let number = last_with_room.unwrap_or(self.next_inventory_shard);
        self.next_inventory_shard = self.next_inventory_shard.max(number + 1);
        let inventory_shard = self.inventory.entry(number).or_default();
        inventory_shard.machines.insert(machine);
        inventory_shard.size += size;
        self.grown_inventory.insert(number);
        number
    }

    /// Adds an inventory shard that was read back.
    pub fn load_inventory_shard(&mut self, number: u64, inventory_shard: InventoryShard) {
        self.next_inventory_shard = self.next_inventory_shard.max(number + 1);
        self.inventory.insert(number, inventory_shard);
    }

    /// Moves machines that add up to `size` bytes from an inventory shard to a new one, and returns its number.
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

    /// Merges an inventory shard that was never recorded into another one, and returns its machines.
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

    /// Removes a machine from its inventory shard.
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
    /// Adds a claim to its machine and its job, and queues it to be recorded.
    pub fn make_claim(&mut self, id: ClaimId, claim: Claim) {
        if self.job(id.job).is_none() || self.machine(id.machine).is_none() {
            return;
        }
        if let Some(job) = self.job_mut(id.job) {
            job.add_claim(id.task, id.machine, id.attempt);
        }
        if let Some(machine) = self.machine_mut(id.machine) {
            machine.claims.push(claim);
        }
        self.claim_log.unrecorded_claims.push_back(id);
    }

    /// The claim, if it is still valid.
    pub fn claim_mut(&mut self, id: &ClaimId) -> Option<&mut Claim> {
        let machine = self.machines.get_mut(id.machine)?;
        machine.claims.iter_mut().find(|c| id.matches(c))
    }

    /// Queues a job's results, or its end, to be recorded.
    pub fn queue_job_write(&mut self, index: JobIndex) {
        let Some(job) = self.jobs.get(index) else {
            return;
        };
        match job.ending {
            Ending::Undecided if !job.unrecorded_tasks.is_empty() => {
                self.claim_log.unrecorded_results.insert(index);
            }
            Ending::Decided(stage) => self.claim_log.queue_end(index, stage),
            _ => {}
        }
    }
}
