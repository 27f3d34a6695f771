//! The in-memory state of a shard's leader.

use crate::Requester;
use crate::agents::machine::Machine;
use crate::documents::county_counts::CountyCounts;
use crate::documents::hours::ReleaseHourWatch;
use crate::jobs::class::ClassStatistics;
use crate::jobs::job::{Job, JobIndex};
use crate::leadership::lease_bound::Attestations;
use crate::leadership::token_range::TokenRange;
use crate::scheduling::quota_usage::QuotaUsage;
use crate::store::allotment::AllotmentState;
use crate::store::claim_log::{ClaimId, ClaimLog};
use crate::store::cloud_calls::CloudCalls;
use crate::store::commit::Commit;
use crate::store::live_jobs::LiveWatch;
use crate::store::plan_triggers::PlanTriggers;
use crate::store::recovery::RecoveryProgress;
use crate::store::rental::Rental;
use crate::store::returned_machines::ReturnedMachines;
use crate::store::table::Table;
use crate::store::write_limits::WriteLimits;
use crate::store::zone_reachability::ZoneReachability;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Assigns dense indices to names of one kind.
#[derive(Default)]
pub(crate) struct NameInterner {
    index: HashMap<String, u32>,
}

impl NameInterner {
    /// Returns the index of a name; a new name gets the next index.
    pub fn get(&mut self, name: &str) -> u32 {
        if let Some(i) = self.index.get(name) {
            return *i;
        }
        let i = self.index.len() as u32;
        self.index.insert(name.to_owned(), i);
        i
    }
}

/// Of at least this many machines, some send a heartbeat or answer a probe within `SILENCE_MS` of the end of recovery.
const SILENCE_MIN_MACHINES: usize = 4;
const SILENCE_MS: u64 = 2000;

/// The leader's state of its shard, for one term.
pub(crate) struct Shard {
    /// The fencing tokens of this leader. Other controllers know it by the last one.
    pub tokens: TokenRange,
    /// Version of our leader record, which every transaction has as a condition.
    pub leader_version: u64,
    /// Whether recovery is complete.
    pub loaded: bool,
    /// Whether the lease was certainly valid at the last tick.
    pub had_valid_lease: bool,
    /// Attestations of the other nodes while it is uncertain whether the lease is valid.
    pub attestations: Attestations,
    /// Whether a heartbeat or an answer of some worker has arrived directly, not through a peer.
    pub heard_directly: bool,
    /// When recovery was completed; until then, when the term began.
    pub ready_since: u64,
    pub recovery: RecoveryProgress,
    pub live_watch: LiveWatch,
    pub jobs: Table<Job>,
    pub machines: Table<Machine>,
    pub rentals: BTreeMap<String, Rental>,
    serial: u64,
    pub commit: Commit,
    pub claim_log: ClaimLog,
    /// Limits on the sizes of records and transactions.
    pub limits: WriteLimits,
    /// Machines whose workers are to be sent orders immediately.
    pub machines_with_orders: BTreeSet<usize>,
    /// Whether a new range of tokens is to be taken: the present one is used up, or a worker reports a higher token.
    pub raise_token: bool,
    /// Statistics of the jobs of each class.
    pub classes: BTreeMap<String, ClassStatistics>,
    /// Images, as indices for the planner.
    pub images: NameInterner,
    pub returned: ReturnedMachines,
    /// When machines were last checked for silence.
    pub silence_checked_at: u64,
    pub zones: ZoneReachability,
    pub cloud_calls: CloudCalls,
    pub plan_triggers: PlanTriggers,
    pub allotment: AllotmentState,
    /// Jobs that may have changed since the last plan.
    changed_since_plan: Vec<JobIndex>,
    /// Jobs that were cancelled, or had ended before this term, and that still have claims.
    pub cancelled_with_claims: BTreeSet<JobIndex>,
    /// Use and demand in the quota tree, with the tree's version.
    pub quota_usage: Option<(u64, QuotaUsage)>,
    /// Release hours of the shard's jobs.
    pub hours: ReleaseHourWatch,
    /// Counts of jobs by county.
    pub county_counts: CountyCounts,
}

impl Shard {
    pub fn new(tokens: TokenRange, leader_version: u64, now: u64, limits: &WriteLimits) -> Self {
        Shard {
            tokens,
            leader_version,
            loaded: false,
            had_valid_lease: false,
            attestations: Attestations::default(),
            heard_directly: false,
            ready_since: now,
            recovery: RecoveryProgress::default(),
            live_watch: LiveWatch::default(),
            jobs: Table::default(),
            machines: Table::default(),
            rentals: BTreeMap::new(),
            serial: 0,
            commit: Commit::default(),
            claim_log: ClaimLog::default(),
            limits: *limits,
            machines_with_orders: BTreeSet::new(),
            raise_token: false,
            classes: BTreeMap::new(),
            images: NameInterner::default(),
            returned: ReturnedMachines::default(),
            silence_checked_at: 0,
            zones: ZoneReachability::default(),
            cloud_calls: CloudCalls::default(),
            plan_triggers: PlanTriggers::default(),
            allotment: AllotmentState::default(),
            changed_since_plan: Vec::new(),
            cancelled_with_claims: BTreeSet::new(),
            quota_usage: None,
            hours: ReleaseHourWatch::default(),
            county_counts: CountyCounts::new(limits.value_bytes()),
        }
    }

    /// Whether no worker has reached this leader directly although a fleet of this size should have by now.
    pub fn receives_no_heartbeats(&self, now: u64) -> bool {
        self.loaded
            && !self.heard_directly
            && self.machines.count() >= SILENCE_MIN_MACHINES
            && now >= self.ready_since + SILENCE_MS
    }

    /// The token by which other controllers know this leader.
    pub fn token(&self) -> u64 {
        self.tokens.last()
    }

    /// The next serial number of this term. Together with the token, which is unique, it is never reused.
    pub fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// A new attempt number: higher than those of all earlier leaders, and never reused.
    pub fn next_attempt(&mut self) -> u64 {
        let n = self.next_serial();
        (self.token() << 32) | (n & 0xffff_ffff)
    }

    /// The number of a new log record, unique in the same way as attempt numbers.
    pub fn next_log_number(&mut self) -> u64 {
        self.next_attempt()
    }

    pub fn job(&self, index: JobIndex) -> Option<&Job> {
        self.jobs.get(index)
    }

    /// Returns a job for modification, and marks it as changed for the next plan.
    pub fn job_mut(&mut self, index: JobIndex) -> Option<&mut Job> {
        let job = self.jobs.get_mut(index)?;
        if !std::mem::replace(&mut job.changed_since_plan, true) {
            self.changed_since_plan.push(index);
        }
        Some(job)
    }

    /// Returns the jobs that may have been changed, added or removed since the last call; some may be listed twice.
    pub fn take_changed_since_plan(&mut self) -> Vec<JobIndex> {
        let all = std::mem::take(&mut self.changed_since_plan);
        for index in &all {
            if let Some(job) = self.jobs.get_mut(*index) {
                job.changed_since_plan = false;
            }
        }
        all
    }

    pub fn machine(&self, index: usize) -> Option<&Machine> {
        self.machines.get(index)
    }

    pub fn machine_mut(&mut self, index: usize) -> Option<&mut Machine> {
        self.machines.get_mut(index)
    }

    /// Adds a job that was accepted, or of which only claims are left.
    pub fn add_job(&mut self, mut job: Job) -> JobIndex {
        job.tenant = self.county_counts.tenant(job.county.as_ref());
        let index = self.jobs.insert(job.id.clone(), job);
        if let Some(job) = self.jobs.get(index) {
            self.hours.add(job, index);
        }
        self.changed_since_plan.push(index);
        index
    }

    /// Adds a machine that has to be recorded.
    pub fn add_machine(&mut self, machine: Machine) -> usize {
        let size = machine.size;
        let index = self.insert_machine(machine);
        let inventory_shard = if self.limits.are_tight() {
            self.assign_inventory_shard_exact(index)
        } else {
            let limit = self.limits.value_bytes();
            self.claim_log.assign_inventory_shard(index, size, limit)
        };
        if let Some(machine) = self.machine_mut(index) {
            machine.inventory_shard = inventory_shard;
        }
        index
    }

    /// Adds a machine without assigning it to an inventory shard.
    pub fn insert_machine(&mut self, machine: Machine) -> usize {
        self.machines.insert(machine.name.clone(), machine)
    }

    /// Removes a machine that is proved gone and has no claims left.
    pub fn remove_machine(&mut self, index: usize) {
        let Some(machine) = self.machines.remove(index, |m| &m.name) else {
            return;
        };
        self.machines_with_orders.remove(&index);
        self.claim_log
            .remove_from_inventory_shard(machine.inventory_shard, index, machine.size);
    }

    /// Removes a claim of which nothing was sent, or whose task is proved gone.
    pub fn drop_claim(&mut self, id: &ClaimId) {
        if let Some(machine) = self.machine_mut(id.machine) {
            machine.claims.retain(|c| !id.matches(c));
        }
        if let Some(job) = self.job_mut(id.job) {
            job.remove_claim(id.task, id.machine, id.attempt);
        }
    }

    /// Marks a job's tasks on one machine as to be stopped.
    pub fn stop_job(&mut self, job: JobIndex, machine: usize, grace_s: f64) {
        let stopped = self
            .machine_mut(machine)
            .is_some_and(|m| m.stop_job(job, grace_s));
        if stopped {
            self.machines_with_orders.insert(machine);
        }
    }

    /// Whether a job was cancelled, or had ended before this term, and still has claims.
    fn is_cancelled_with_claims(&self, index: JobIndex) -> bool {
        self.job(index)
            .is_some_and(|j| j.is_cancelled_or_ended_before_term() && !j.claimed.is_empty())
    }

    /// Updates a job's membership in `cancelled_with_claims`.
    pub fn update_cancelled_with_claims(&mut self, index: JobIndex) {
        if self.is_cancelled_with_claims(index) {
            self.cancelled_with_claims.insert(index);
        } else {
            self.cancelled_with_claims.remove(&index);
        }
    }

    /// Whether `cancelled_with_claims` is complete, by a check of all jobs.
    pub fn is_cancelled_with_claims_complete(&self) -> bool {
        (0..self.jobs.slots()).all(|job| {
            self.cancelled_with_claims.contains(&job) || !self.is_cancelled_with_claims(job)
        })
    }

    /// Removes an ended job once it has no claims on any machine.
    pub fn maybe_forget_job(&mut self, index: JobIndex) {
        let gone = self
            .job(index)
            .is_some_and(|j| j.is_end_recorded() && j.claimed.is_empty());
        if gone && self.jobs.remove(index, |job| &job.id).is_some() {
            self.cancelled_with_claims.remove(&index);
            self.changed_since_plan.push(index);
        }
    }

    /// Takes all requesters that wait for the end of a job.
    pub fn take_waiters(&mut self) -> Vec<Requester> {
        self.jobs
            .iter_mut()
            .flatten()
            .flat_map(|j| std::mem::take(&mut j.waiters))
            .collect()
    }
}
