//! What the owner of a part holds in memory, and how it is read back after a take-over.

use crate::commit::{Commit, value_limit};
use crate::election::PART;
use crate::jobs::{Class, Job, JobIx};
use crate::ledger::{ClaimId, Ledger, Rack, Segment};
use crate::machines::{Claim, ClaimState, Machine, Need};
use crate::{Asker, Dest, Node, Pending};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops;
use wire::api::{Changes, Item, Range};
use wire::http::Response;
use wire::records::{self, AllotRec, AllotedTeam, HireRec, JobRec, LogRec, RackRec};

/// What is read one after the other after a take-over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Load {
    Jobs,
    Racks,
    Log,
    Hires,
    Allot,
    Heads,
    Models,
}

pub(crate) struct Hire {
    pub rec: HireRec,
    pub version: u64,
    /// The request is out.
    pub busy: bool,
    pub retry_at: u64,
    /// Not yet in the state service, or to be taken out of it again.
    pub state: HireState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HireState {
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
/// After how long what could not be read is read again.
const LOAD_AGAIN_MS: ops::Range<u64> = 100..400;

pub(crate) struct Part {
    pub token: u64,
    /// Version of our owner record: every write is guarded by it.
    pub owner_version: u64,
    pub loaded: bool,
    /// The leader was sure of its lease at the last tick.
    pub was_sure: bool,
    /// What the other nodes say while we are unsure.
    pub vouches: crate::renewal::Vouches,
    /// Some worker has reported or answered without a peer in between.
    pub heard_itself: bool,
    /// When this term began.
    pub since: u64,
    pub load_after: Option<String>,
    /// What could not be read, and when it is tried again.
    load_again: Option<(Load, u64)>,
    pub live_revision: u64,
    pub live_busy: bool,
    pub live_retry_at: u64,
    pub jobs: Vec<Option<Job>>,
    pub free_jobs: Vec<JobIx>,
    pub job_ix: HashMap<String, JobIx>,
    pub machines: Vec<Option<Machine>>,
    pub free_machines: Vec<usize>,
    pub machine_ix: HashMap<String, usize>,
    pub hires: BTreeMap<String, Hire>,
    pub serial: u64,
    pub commit: Commit,
    pub ledger: Ledger,
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
    pub list: crate::fleet::Listing,
    pub delete_busy: bool,
    pub delete_retry_at: u64,
    pub hire_check_at: u64,
    pub plan_due: bool,
    pub urgent: crate::urgent::Urgent,
    pub planned_at: u64,
    /// The job at which the last plan was stopped by its bound of steps.
    pub plan_stopped_at: Option<JobIx>,
    pub catalog_dirty: bool,
    /// What our teams may use, as recorded, and its version; nothing is started before it is known.
    pub allot: Option<AllotRec>,
    pub allot_version: u64,
    /// The allotment that is to be written down instead.
    pub allot_wanted: Option<AllotRec>,
    /// Jobs that may have changed since the last plan.
    touched: Vec<JobIx>,
    /// Jobs that are not wanted any more and still have claims.
    pub unwanted: BTreeSet<JobIx>,
    /// The tree's counts, by the version that they belong to.
    pub counted: Option<(u64, crate::standing::Counted)>,
    /// Release hours of its jobs.
    pub hours: crate::hours::Watch,
    /// Counts by county.
    pub tally: crate::tally::Tallies,
}

impl Part {
    pub fn new(token: u64, owner_version: u64, now: u64, value_kb: f64) -> Self {
        Part {
            token,
            owner_version,
            loaded: false,
            was_sure: false,
            vouches: crate::renewal::Vouches::default(),
            heard_itself: false,
            since: now,
            load_after: None,
            load_again: None,
            live_revision: 0,
            live_busy: false,
            live_retry_at: 0,
            jobs: Vec::new(),
            free_jobs: Vec::new(),
            job_ix: HashMap::new(),
            machines: Vec::new(),
            free_machines: Vec::new(),
            machine_ix: HashMap::new(),
            hires: BTreeMap::new(),
            serial: 0,
            commit: Commit::default(),
            ledger: Ledger::default(),
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
            list: crate::fleet::Listing::default(),
            delete_busy: false,
            delete_retry_at: 0,
            hire_check_at: 0,
            urgent: crate::urgent::Urgent::default(),
            plan_due: true,
            planned_at: 0,
            plan_stopped_at: None,
            catalog_dirty: false,
            allot: None,
            allot_version: 0,
            allot_wanted: None,
            touched: Vec::new(),
            unwanted: BTreeSet::new(),
            counted: None,
            hours: crate::hours::Watch::default(),
            tally: crate::tally::Tallies::new(value_limit(value_kb)),
        }
    }

    /// Whether a fleet should have been heard by now, and nobody was.
    pub fn is_deaf(&self, now: u64) -> bool {
        self.loaded
            && !self.heard_itself
            && self.machine_ix.len() >= DEAF_MACHINES
            && now >= self.since + DEAF_MS
    }

    /// Numbers below a token are unique for ever, since tokens are.
    pub fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// A new attempt: higher than all of earlier owners, never used before.
    pub fn next_attempt(&mut self) -> u64 {
        let n = self.next_serial();
        (self.token << 32) | (n & 0xffff_ffff)
    }

    /// A new log record's number: unique as attempts are.
    pub fn next_log(&mut self) -> u64 {
        self.next_attempt()
    }

    pub fn job(&self, ix: JobIx) -> Option<&Job> {
        self.jobs.get(ix).and_then(Option::as_ref)
    }
    /// Whoever changes a job gets it here, so that plans know which ones changed.
    pub fn job_mut(&mut self, ix: JobIx) -> Option<&mut Job> {
        let job = self.jobs.get_mut(ix)?.as_mut()?;
        if !std::mem::replace(&mut job.touched, true) {
            self.touched.push(ix);
        }
        Some(job)
    }

    /// The jobs that may have changed, come or gone since this was asked last; some perhaps twice.
    pub fn take_touched(&mut self) -> Vec<JobIx> {
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

    pub fn add_job(&mut self, mut job: Job) -> JobIx {
        job.tenant = self.tally.tenant(job.county.as_ref());
        let ix = self.free_jobs.pop().unwrap_or_else(|| {
            self.jobs.push(None);
            self.jobs.len() - 1
        });
        self.job_ix.insert(job.id.clone(), ix);
        self.hours.add(&job, ix);
        self.jobs[ix] = Some(job);
        self.touched.push(ix);
        ix
    }

    /// Takes in a machine that has to be recorded.
    pub fn add_machine(&mut self, machine: Machine) -> usize {
        let size = machine.size;
        let m = self.insert_machine(machine);
        let rack = self.ledger.rack_for(m, size, self.value_limit);
        if let Some(machine) = self.machine_mut(m) {
            machine.rack = rack;
        }
        m
    }

    fn insert_machine(&mut self, machine: Machine) -> usize {
        let m = self.free_machines.pop().unwrap_or_else(|| {
            self.machines.push(None);
            self.machines.len() - 1
        });
        self.machine_ix.insert(machine.name.clone(), m);
        self.machines[m] = Some(machine);
        m
    }

    /// Forgets a machine that is proved gone and has no claims left.
    pub fn remove_machine(&mut self, m: usize) {
        let Some(machine) = self.machines.get_mut(m).and_then(Option::take) else {
            return;
        };
        self.machine_ix.remove(&machine.name);
        self.free_machines.push(m);
        self.push.remove(&m);
        self.ledger.leave_rack(machine.rack, m, machine.size);
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
    pub fn stop_job(&mut self, ix: JobIx, m: usize, grace_s: f64) {
        if self
            .machine_mut(m)
            .is_some_and(|machine| machine.stop_job(ix, grace_s))
        {
            self.push.insert(m);
        }
    }

    /// Notes whether a job is one that is not wanted any more and still has claims.
    pub fn note_unwanted(&mut self, ix: JobIx) {
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
    pub fn maybe_forget_job(&mut self, ix: JobIx) {
        let gone = self
            .job(ix)
            .is_some_and(|j| j.is_over() && j.claimed.is_empty());
        if gone && let Some(job) = self.jobs[ix].take() {
            self.job_ix.remove(&job.id);
            self.unwanted.remove(&ix);
            self.free_jobs.push(ix);
            self.touched.push(ix);
        }
    }

    /// All who wait for the end of a job. None of them waits any longer.
    pub fn take_waiters(&mut self) -> Vec<Asker> {
        self.jobs
            .iter_mut()
            .flatten()
            .flat_map(|j| std::mem::take(&mut j.waiters))
            .collect()
    }
}

impl Part {
    /// Takes in a log record of earlier owners.
    fn load_segment(&mut self, number: u64, version: u64, rec: LogRec) {
        let mut segment = Segment {
            version,
            ..Segment::default()
        };
        segment.counts = self.tally.stands(number, rec.ended, 0);
        for group in rec.claims {
            let need = Need {
                cores: group.cores,
                gpus: group.gpus,
                mem_gb: group.mem_gb,
            };
            let attempt = group.attempt;
            for (name, first, n) in group.on {
                // A machine in no rack is gone, and all that was on it.
                let Some(machine) = self.machine_ix.get(&name).copied() else {
                    continue;
                };
                let job = match self.job_ix.get(&group.job) {
                    Some(ix) => *ix,
                    // Ended, but its tasks may still be there: they count until they are proved gone.
                    None => {
                        let mut job = Job::ended(&group.job, &group.team, need);
                        job.county = crate::tally::claimed(&group.county, group.alone);
                        self.add_job(job)
                    }
                };
                for task in records::unrange(&[(first, n)]) {
                    let id = ClaimId {
                        machine,
                        job,
                        task,
                        attempt,
                    };
                    // A claim that was moved may stand in two records.
                    if self.claim_mut(&id).is_some() {
                        continue;
                    }
                    let mut claim = Claim::new(job, task, attempt);
                    claim.state = ClaimState::Recorded;
                    claim.segment = number;
                    claim.loaded = true;
                    claim.sent = true;
                    if let Some(job) = self.job_mut(job) {
                        job.claim(task, machine, attempt);
                    }
                    if let Some(machine) = self.machine_mut(machine) {
                        machine.claims.push(claim);
                    }
                    segment.live += 1;
                    segment.claims.push(id);
                }
            }
        }
        for done in rec.done {
            let Some(ix) = self.job_ix.get(&done.job).copied() else {
                continue;
            };
            let Some(job) = self.job_mut(ix).filter(|j| j.spec.is_some()) else {
                continue;
            };
            job.load_done(records::unrange(&done.tasks));
            job.segments.insert(number);
            segment.jobs.insert(ix);
        }
        self.ledger.add_segment(number, segment);
    }

    /// An attempt is made only once all earlier ones of its task were proved gone: where the log holds several,
    /// the last alone can still be there.
    fn drop_overtaken(&mut self) {
        let mut over = Vec::new();
        for (ix, job) in self.jobs.iter().enumerate() {
            let Some(job) = job else { continue };
            for (task, claims) in job.claimed.iter().filter(|(_, c)| c.len() > 1) {
                let last = claims.iter().map(|(_, a)| *a).max().unwrap_or(0);
                for (machine, attempt) in claims.iter().filter(|(_, a)| *a != last) {
                    over.push(ClaimId {
                        machine: *machine,
                        job: ix,
                        task: *task,
                        attempt: *attempt,
                    });
                }
            }
        }
        for id in over {
            let segment = self.claim_mut(&id).map(|c| c.segment);
            self.drop_claim(&id);
            self.ledger.ended(segment.unwrap_or(0));
        }
    }
}

impl Node {
    pub(crate) fn start_load(&mut self) {
        self.load(Load::Jobs);
    }

    pub(crate) fn load(&mut self, what: Load) {
        let Some(part) = &self.part else { return };
        let prefix = match what {
            Load::Jobs => records::LIVE.to_owned(),
            Load::Racks => records::racks_prefix(PART),
            Load::Log => records::log_prefix(PART),
            Load::Hires => records::hires_prefix(PART),
            Load::Allot => records::allot_key(PART),
            Load::Heads => records::SHARED.to_owned(),
            Load::Models => return self.read_models(),
        };
        let mut path = format!("/keys?under={prefix}&limit=1000");
        if let Some(after) = &part.load_after {
            path.push_str(&format!("&from={after}"));
        }
        let what = Pending::Load {
            epoch: self.epoch,
            what,
        };
        self.send(Dest::State, "GET", path, Vec::new(), 3000, what);
    }

    /// From the same place again, after a while: who reads back must not use up what renewals and others' accepts need
    /// of the state service. An owner that can't read keeps its lease or loses it.
    pub(crate) fn load_later(&mut self, what: Load) {
        let at = self.now.mono + self.rng.u64(LOAD_AGAIN_MS);
        if let Some(part) = &mut self.part {
            part.load_again = Some((what, at));
        }
    }

    pub(crate) fn load_tick(&mut self) {
        let now = self.now.mono;
        let due = |(_, at): &mut (Load, u64)| *at <= now;
        if let Some((what, _)) = self.part.as_mut().and_then(|p| p.load_again.take_if(due)) {
            self.load(what);
        }
    }

    pub(crate) fn load_came(&mut self, what: Load, response: Option<Response>) {
        let page = response
            .filter(|r| r.status == 200)
            .and_then(|r| match what {
                Load::Jobs => self.read("state service", &r).map(|p| self.load_jobs(p)),
                Load::Racks => self.read("state service", &r).map(|p| self.load_racks(p)),
                Load::Log => self.read("state service", &r).map(|p| self.load_log(p)),
                Load::Hires => self.read("state service", &r).map(|p| self.load_hires(p)),
                Load::Allot => self.read("state service", &r).map(|p| self.load_allot(p)),
                Load::Heads => self.read("state service", &r).map(|p| {
                    self.load_heads(p);
                    false
                }),
                // Their pages come to [`Node::models_came`].
                Load::Models => None,
            });
        let Some(more) = page else {
            return self.load_later(what);
        };
        if more {
            return self.load(what);
        }
        if let Some(part) = &mut self.part {
            part.load_after = None;
        }
        match what {
            Load::Jobs => self.load(Load::Racks),
            Load::Racks => self.load(Load::Log),
            Load::Log => self.load(Load::Hires),
            Load::Hires => self.load(Load::Allot),
            Load::Allot => self.load(Load::Heads),
            Load::Heads => self.load_documents(),
            Load::Models => {}
        }
    }

    /// Notes where the next page goes on; true if there is one.
    fn page_end<T>(&mut self, range: &Range<T>) -> bool {
        if let Some(part) = &mut self.part {
            if part.live_revision == 0 {
                part.live_revision = range.revision;
            }
            if let Some(last) = range.items.last() {
                part.load_after = Some(last.key.clone());
            }
        }
        range.more && !range.items.is_empty()
    }

    fn load_jobs(&mut self, range: Range<JobRec>) -> bool {
        let more = self.page_end(&range);
        for Item { value, version, .. } in range.items {
            self.job_known(value, version);
        }
        more
    }

    fn load_racks(&mut self, range: Range<RackRec>) -> bool {
        let more = self.page_end(&range);
        let prefix = records::racks_prefix(PART);
        let now = self.now;
        let Some(part) = &mut self.part else {
            return false;
        };
        for Item {
            key,
            value,
            version,
        } in range.items
        {
            let Some(number) = key.strip_prefix(&prefix).and_then(|n| n.parse().ok()) else {
                continue;
            };
            let mut rack = Rack {
                version,
                ..Rack::default()
            };
            for kind in value.kinds {
                for (name, hired_ms) in kind.machines {
                    let mut machine =
                        Machine::new(&name, &kind.machine_type, &kind.zone, kind.spot, hired_ms);
                    machine.recorded = true;
                    machine.rack = number;
                    machine.heard_at = now.mono;
                    rack.size += machine.size;
                    rack.machines.insert(part.insert_machine(machine));
                }
            }
            part.ledger.load_rack(number, rack);
        }
        more
    }

    fn load_log(&mut self, range: Range<LogRec>) -> bool {
        let more = self.page_end(&range);
        let prefix = records::log_prefix(PART);
        let Some(part) = &mut self.part else {
            return false;
        };
        for Item {
            key,
            value,
            version,
        } in range.items
        {
            let number = key
                .strip_prefix(&prefix)
                .and_then(|n| u64::from_str_radix(n, 16).ok());
            if let Some(number) = number {
                part.load_segment(number, version, value);
            }
        }
        more
    }

    fn load_hires(&mut self, range: Range<HireRec>) -> bool {
        let more = self.page_end(&range);
        let prefix = records::hires_prefix(PART);
        let Some(part) = &mut self.part else {
            return false;
        };
        for Item {
            key,
            value,
            version,
        } in range.items
        {
            if let Some(name) = key.strip_prefix(&prefix) {
                let hire = Hire {
                    rec: value,
                    version,
                    busy: false,
                    retry_at: 0,
                    state: HireState::Recorded,
                };
                part.hires.insert(name.to_owned(), hire);
            }
        }
        more
    }

    fn load_allot(&mut self, range: Range<AllotRec>) -> bool {
        let Some(part) = &mut self.part else {
            return false;
        };
        if let Some(item) = range
            .items
            .into_iter()
            .find(|i| i.key == records::allot_key(PART))
        {
            part.allot = Some(item.value);
            part.allot_version = item.version;
        }
        false
    }

    /// The only part has all of every team's limit. Written down all the same: limits are kept by the record.
    pub(crate) fn whole_allotment(&self) -> AllotRec {
        let teams = self.settings.cluster.teams.iter();
        let teams = teams
            .map(|t| AllotedTeam {
                name: t.name.clone(),
                cpus_max: t.cpus_max,
                gpus_max: t.gpus_max,
            })
            .collect();
        // While no version can be acted on, the one that was recorded stays, and nothing starts.
        let recorded = self
            .part
            .as_ref()
            .and_then(|p| p.allot.as_ref())
            .map_or(0, |a| a.tree);
        let value = value_limit(self.settings.cluster.state.value_kb);
        AllotRec::whole(
            teams,
            self.shared.documents.quota.version().unwrap_or(recorded),
            value,
        )
    }

    pub(crate) fn load_ended(&mut self) {
        if self.models_to_read() {
            return;
        }
        let now = self.now.mono;
        let whole = self.whole_allotment();
        self.refit_hours();
        let Some(part) = &mut self.part else { return };
        part.allot_wanted = (part.allot.as_ref() != Some(&whole)).then_some(whole);
        part.loaded = true;
        part.since = now;
        for machine in part.machines.iter_mut().flatten() {
            (machine.heard_at, machine.reported_at) = (now, now);
        }
        part.drop_overtaken();
        log::info!(
            "token {}: read {} jobs, {} machines, {} hires",
            part.token,
            part.jobs.iter().flatten().count(),
            part.machine_ix.len(),
            part.hires.len()
        );
        // A job may have been left with all tasks done but not ended, or with a gang half claimed.
        let all: Vec<JobIx> = (0..part.jobs.len())
            .filter(|ix| part.jobs[*ix].is_some())
            .collect();
        for ix in all {
            self.job_changed(ix);
        }
        self.watch_live();
    }

    pub(crate) fn watch_live(&mut self) {
        let epoch = self.epoch;
        let Some(part) = &mut self.part else { return };
        part.live_busy = true;
        let path = format!(
            "/changes?under={}&from={}&waitMs=5000",
            records::LIVE,
            part.live_revision
        );
        self.send(
            Dest::State,
            "GET",
            path,
            Vec::new(),
            7000,
            Pending::LiveWatch { epoch },
        );
    }

    pub(crate) fn live_changes(&mut self, response: Option<Response>) {
        let now = self.now.mono;
        let retry = now + self.rng.u64(100..400);
        let Some(part) = &mut self.part else { return };
        part.live_busy = false;
        part.live_retry_at = retry;
        let Some(response) = response else { return };
        match response.status {
            200 => {}
            410 => return self.step_down("too many changes were missed; reading everything again"),
            _ => return,
        }
        let Some(changes) = self.read::<Changes<JobRec>>("state service", &response) else {
            return;
        };
        for change in changes.events {
            if let Some(rec) = change.value {
                self.writes.take(now, 1.0);
                self.job_known(rec, change.version);
            }
        }
        if let Some(part) = &mut self.part {
            part.live_revision = part.live_revision.max(changes.revision);
        }
        self.watch_live();
    }

    fn job_known(&mut self, rec: JobRec, version: u64) {
        // The watch may lag behind our own end of the job.
        if self.finals.get(&rec.spec.id).is_some() {
            return;
        }
        let Some(part) = &mut self.part else { return };
        if part.job_ix.contains_key(&rec.spec.id) {
            return;
        }
        let spec = &rec.spec;
        log::debug!(
            "job {}: {} tasks of class {} for {}",
            spec.id,
            spec.tasks,
            spec.class,
            spec.team
        );
        part.classes
            .entry(rec.spec.class.clone())
            .or_default()
            .arrived(&rec.spec, rec.at_ms);
        part.urgent.arrived(&rec.spec);
        let ix = part.add_job(Job::new(rec, version));
        part.plan_due = true;
        self.model_came(ix);
    }

    /// Keeps only what later lists may still need.
    pub(crate) fn forget_returned(&mut self) {
        let now = self.now.mono;
        if let Some(part) = &mut self.part {
            part.returned.retain(|_, at| *at + RETURNED_MS > now);
        }
    }
}
