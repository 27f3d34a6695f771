//! What the leader of a shard holds in memory.

use crate::agents::machine::Machine;
use crate::jobs::job::{Class, Job, JobIndex};
use crate::store::claim_log::{ClaimId, ClaimLog};
use crate::store::commit::{Commit, value_limit};
use crate::store::recovery::Load;
use crate::{Node, Requester};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::records::{AllotmentRecord, RentalRecord};

pub(crate) struct Rental {
    pub rec: RentalRecord,
    pub version: u64,
    /// The request is out.
    pub busy: bool,
    pub retry_at: u64,
    /// Not yet in the state service, or to be taken out of it again.
    pub state: RentalState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RentalState {
    New,
    Recorded,
    Over,
}

/// Lists and reports that come later than this after a machine's return are taken for a machine's that nobody knows;
/// names never come back, so only memory speaks for forgetting them.
const RETURNED_MS: u64 = 600_000;

/// Names of a kind, as dense indices.
#[derive(Default)]
pub(crate) struct Names {
    index: HashMap<String, u32>,
}

impl Names {
    pub fn get(&mut self, name: &str) -> u32 {
        if let Some(i) = self.index.get(name) {
            return *i;
        }
        let i = self.index.len() as u32;
        self.index.insert(name.to_owned(), i);
        i
    }
}

/// Of so many machines some come by themselves, or answer a call, within this time of a new term.
const DEAF_MACHINES: usize = 4;
const DEAF_MS: u64 = 2000;

pub(crate) struct Shard {
    pub token: u64,
    /// Version of our leader record: every write is guarded by it.
    pub leader_version: u64,
    pub loaded: bool,
    /// The leader was sure of its lease at the last tick.
    pub had_valid_lease: bool,
    /// What the other nodes say while we are unsure.
    pub attestations: crate::leadership::lease_bound::Attestations,
    /// Some worker has reported or answered without a peer in between.
    pub heard_itself: bool,
    /// When this term began.
    pub since: u64,
    pub load_after: Option<String>,
    /// What could not be read, and when it is tried again.
    pub load_again: Option<(Load, u64)>,
    pub live_revision: u64,
    pub live_busy: bool,
    pub live_retry_at: u64,
    pub jobs: Vec<Option<Job>>,
    pub free_jobs: Vec<JobIndex>,
    pub job_index: HashMap<String, JobIndex>,
    pub machines: Vec<Option<Machine>>,
    pub free_machines: Vec<usize>,
    pub machine_index: HashMap<String, usize>,
    pub rentals: BTreeMap<String, Rental>,
    pub serial: u64,
    pub commit: Commit,
    pub claim_log: ClaimLog,
    /// What a record may take.
    value_limit: usize,
    /// Machines whose workers are to be told something at once.
    pub push: BTreeSet<usize>,
    pub raise_token: bool,
    pub classes: BTreeMap<String, Class>,
    pub images: Names,
    /// Machines that were returned, with the time: old lists and reports may still name them.
    pub returned: HashMap<String, u64>,
    /// Kinds of machines that the cloud had none of, until when, and how often in a row.
    pub refused: HashMap<(String, String, bool), (u64, u32)>,
    /// When silent machines were last looked for.
    pub looked_at: u64,
    /// Zones most of whose machines can't be heard: rather the network than the machines.
    pub cut_zones: BTreeSet<String>,
    /// Zones some of whose machines are heard by way of a peer.
    pub detour_zones: BTreeSet<String>,
    pub list: crate::provisioning::fleet::Listing,
    pub delete_busy: bool,
    pub delete_retry_at: u64,
    pub rental_check_at: u64,
    pub plan_due: bool,
    pub urgent: crate::scheduling::urgent::Urgent,
    pub planned_at: u64,
    /// The job at which the last plan was stopped by its bound of steps.
    pub plan_stopped_at: Option<JobIndex>,
    pub catalog_dirty: bool,
    /// What our teams may use, as recorded, and its version; nothing is started before it is known.
    pub allotment: Option<AllotmentRecord>,
    pub allotment_version: u64,
    /// The allotment that is to be written down instead.
    pub allotment_wanted: Option<AllotmentRecord>,
    /// Jobs that may have changed since the last plan.
    touched: Vec<JobIndex>,
    /// Jobs that are not wanted any more and still have claims.
    pub unwanted: BTreeSet<JobIndex>,
    /// The tree's counts, by the version that they belong to.
    pub counted: Option<(u64, crate::scheduling::entitlement::Counted)>,
    /// Release hours of its jobs.
    pub hours: crate::documents::hours::DeadlineWatch,
    /// Counts by county.
    pub county_counts: crate::documents::county_counts::CountyCounts,
}

impl Shard {
    pub fn new(token: u64, leader_version: u64, now: u64, value_kb: f64) -> Self {
        Shard {
            token,
            leader_version,
            loaded: false,
            had_valid_lease: false,
            attestations: crate::leadership::lease_bound::Attestations::default(),
            heard_itself: false,
            since: now,
            load_after: None,
            load_again: None,
            live_revision: 0,
            live_busy: false,
            live_retry_at: 0,
            jobs: Vec::new(),
            free_jobs: Vec::new(),
            job_index: HashMap::new(),
            machines: Vec::new(),
            free_machines: Vec::new(),
            machine_index: HashMap::new(),
            rentals: BTreeMap::new(),
            serial: 0,
            commit: Commit::default(),
            claim_log: ClaimLog::default(),
            value_limit: value_limit(value_kb),
            push: BTreeSet::new(),
            raise_token: false,
            classes: BTreeMap::new(),
            images: Names::default(),
            returned: HashMap::new(),
            refused: HashMap::new(),
            looked_at: 0,
            cut_zones: BTreeSet::new(),
            detour_zones: BTreeSet::new(),
            list: crate::provisioning::fleet::Listing::default(),
            delete_busy: false,
            delete_retry_at: 0,
            rental_check_at: 0,
            urgent: crate::scheduling::urgent::Urgent::default(),
            plan_due: true,
            planned_at: 0,
            plan_stopped_at: None,
            catalog_dirty: false,
            allotment: None,
            allotment_version: 0,
            allotment_wanted: None,
            touched: Vec::new(),
            unwanted: BTreeSet::new(),
            counted: None,
            hours: crate::documents::hours::DeadlineWatch::default(),
            county_counts: crate::documents::county_counts::CountyCounts::new(value_limit(
                value_kb,
            )),
        }
    }

    /// Whether a fleet should have been heard by now, and nobody was.
    pub fn hears_no_agents(&self, now: u64) -> bool {
        self.loaded
            && !self.heard_itself
            && self.machine_index.len() >= DEAF_MACHINES
            && now >= self.since + DEAF_MS
    }

    /// Numbers below a token are unique for ever, since tokens are.
    pub fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// A new attempt: higher than all of earlier leaders, never used before.
    pub fn next_attempt(&mut self) -> u64 {
        let n = self.next_serial();
        (self.token << 32) | (n & 0xffff_ffff)
    }

    /// A new log record's number: unique as attempts are.
    pub fn next_log(&mut self) -> u64 {
        self.next_attempt()
    }

    pub fn job(&self, ix: JobIndex) -> Option<&Job> {
        self.jobs.get(ix).and_then(Option::as_ref)
    }
    /// Whoever changes a job gets it here, so that plans know which ones changed.
    pub fn job_mut(&mut self, ix: JobIndex) -> Option<&mut Job> {
        let job = self.jobs.get_mut(ix)?.as_mut()?;
        if !std::mem::replace(&mut job.touched, true) {
            self.touched.push(ix);
        }
        Some(job)
    }

    /// The jobs that may have changed, come or gone since this was asked last; some perhaps twice.
    pub fn take_touched(&mut self) -> Vec<JobIndex> {
        let all = std::mem::take(&mut self.touched);
        for ix in &all {
            if let Some(Some(job)) = self.jobs.get_mut(*ix) {
                job.touched = false;
            }
        }
        all
    }
    pub fn machine(&self, m: usize) -> Option<&Machine> {
        self.machines.get(m).and_then(Option::as_ref)
    }
    pub fn machine_mut(&mut self, m: usize) -> Option<&mut Machine> {
        self.machines.get_mut(m).and_then(Option::as_mut)
    }

    pub fn add_job(&mut self, mut job: Job) -> JobIndex {
        job.tenant = self.county_counts.tenant(job.county.as_ref());
        let ix = self.free_jobs.pop().unwrap_or_else(|| {
            self.jobs.push(None);
            self.jobs.len() - 1
        });
        self.job_index.insert(job.id.clone(), ix);
        self.hours.add(&job, ix);
        self.jobs[ix] = Some(job);
        self.touched.push(ix);
        ix
    }

    /// Takes in a machine that has to be recorded.
    pub fn add_machine(&mut self, machine: Machine) -> usize {
        let size = machine.size;
        let m = self.insert_machine(machine);
        let inventory_shard = self
            .claim_log
            .inventory_shard_for(m, size, self.value_limit);
        if let Some(machine) = self.machine_mut(m) {
            machine.inventory_shard = inventory_shard;
        }
        m
    }

    pub fn insert_machine(&mut self, machine: Machine) -> usize {
        let m = self.free_machines.pop().unwrap_or_else(|| {
            self.machines.push(None);
            self.machines.len() - 1
        });
        self.machine_index.insert(machine.name.clone(), m);
        self.machines[m] = Some(machine);
        m
    }

    /// Forgets a machine that is proved gone and has no claims left.
    pub fn remove_machine(&mut self, m: usize) {
        let Some(machine) = self.machines.get_mut(m).and_then(Option::take) else {
            return;
        };
        self.machine_index.remove(&machine.name);
        self.free_machines.push(m);
        self.push.remove(&m);
        self.claim_log
            .leave_inventory_shard(machine.inventory_shard, m, machine.size);
    }

    /// Takes a claim back of which nothing was sent.
    pub fn drop_claim(&mut self, id: &ClaimId) {
        if let Some(machine) = self.machine_mut(id.machine) {
            machine
                .claims
                .retain(|c| !(c.job == id.job && c.task == id.task && c.attempt == id.attempt));
        }
        if let Some(job) = self.job_mut(id.job) {
            job.unclaim(id.task, id.machine, id.attempt);
        }
    }

    /// Marks a job's tasks on one machine as to be stopped.
    pub fn stop_job(&mut self, ix: JobIndex, m: usize, grace_s: f64) {
        if self
            .machine_mut(m)
            .is_some_and(|machine| machine.stop_job(ix, grace_s))
        {
            self.push.insert(m);
        }
    }

    /// Notes whether a job is one that is not wanted any more and still has claims.
    pub fn note_unwanted(&mut self, ix: JobIndex) {
        if self
            .job(ix)
            .is_some_and(|j| j.is_unwanted() && !j.claimed.is_empty())
        {
            self.unwanted.insert(ix);
        } else {
            self.unwanted.remove(&ix);
        }
    }

    /// Whether looking at all jobs finds none that is missing.
    pub fn unwanted_is_right(&self) -> bool {
        let left = |j: &Job| j.is_unwanted() && !j.claimed.is_empty();
        (0..self.jobs.len())
            .all(|ix| self.unwanted.contains(&ix) || !self.job(ix).is_some_and(left))
    }

    /// Forgets an ended job once nothing of it is on any machine.
    pub fn maybe_forget_job(&mut self, ix: JobIndex) {
        let gone = self
            .job(ix)
            .is_some_and(|j| j.is_over() && j.claimed.is_empty());
        if gone && let Some(job) = self.jobs[ix].take() {
            self.job_index.remove(&job.id);
            self.unwanted.remove(&ix);
            self.free_jobs.push(ix);
            self.touched.push(ix);
        }
    }

    /// All who wait for the end of a job. None of them waits any longer.
    pub fn take_waiters(&mut self) -> Vec<Requester> {
        self.jobs
            .iter_mut()
            .flatten()
            .flat_map(|j| std::mem::take(&mut j.waiters))
            .collect()
    }
}

impl Node {
    /// Keeps only what later lists may still need.
    pub(crate) fn forget_returned(&mut self) {
        let now = self.now.mono;
        if let Some(shard) = &mut self.shard {
            shard.returned.retain(|_, at| *at + RETURNED_MS > now);
        }
    }
}
