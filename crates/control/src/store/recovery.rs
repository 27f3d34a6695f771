//! Reads the shard's records back after a failover, before the new leader makes any decision.

use crate::agents::machine::{Claim, ClaimState, Machine, Need, StartState};
use crate::documents::county_counts;
use crate::jobs::job::{Job, JobIndex};
use crate::leadership::election::SHARD;
use crate::store::claim_log::{ClaimId, InventoryShard, Segment};
use crate::store::record_sizes;
use crate::store::rental::Rental;
use crate::store::shard::Shard;
use crate::{Destination, Node, Pending};
use serde::de::DeserializeOwned;
use std::ops;
use wire::api::{Item, Range};
use wire::http::Response;
use wire::records::{
    self, AllotmentRecord, ClaimsRecord, DoneRecord, InventoryRecord, JobRecord, LogRecord,
    RentalRecord, TeamAllotment,
};

/// The steps of recovery, in their order: what is read from the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecoveryStep {
    Jobs,
    Inventory,
    Log,
    Rentals,
    Allotment,
    Heads,
    Models,
}

/// Delay before a failed read is repeated.
const LOAD_RETRY_MS: ops::Range<u64> = 100..400;

/// Timeout of a read.
const LOAD_TIMEOUT_MS: u64 = 3000;

/// Progress of recovery.
#[derive(Debug, Default)]
pub(crate) struct RecoveryProgress {
    /// The last key on the pages read so far in the current step.
    last_key: Option<String>,
    /// A step whose read failed, and when it is repeated.
    retry: Option<(RecoveryStep, u64)>,
}

impl RecoveryProgress {
    fn take_due(&mut self, now: u64) -> Option<RecoveryStep> {
        let (step, _) = self.retry.take_if(|(_, at)| *at <= now)?;
        Some(step)
    }
}

/// Whether a step has more pages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Page {
    More,
    Last,
}

impl Shard {
    /// Loads a log record of an earlier leader.
    fn load_segment(&mut self, number: u64, version: u64, record: LogRecord) {
        let mut segment = Segment {
            version,
            has_unfolded_counts: self.county_counts.log_recorded(number, record.ended, 0),
            ..Segment::default()
        };
        for group in record.claims {
            self.load_claims(number, &mut segment, group);
        }
        for done in record.done {
            if let Some(job) = self.load_results(number, done) {
                segment.jobs.insert(job);
            }
        }
        self.claim_log.add_segment(number, segment);
    }

    fn load_claims(&mut self, number: u64, segment: &mut Segment, group: ClaimsRecord) {
        for (name, first, n) in &group.on {
            // A machine in no inventory shard is gone, and so are all tasks that were on it.
            let Some(machine) = self.machines.index_of(name) else {
                continue;
            };
            let job = self.job_of_claims(&group);
            for task in records::unrange(&[(*first, *n)]) {
                let id = ClaimId {
                    machine,
                    job,
                    task,
                    attempt: group.attempt,
                };
                if self.load_claim(number, &id) {
                    segment.live_claims += 1;
                    segment.claims.push(id);
                }
            }
        }
    }

    /// The job that claims belong to. A job that has ended may still have tasks on machines; they are counted until
    /// they are proved gone.
    fn job_of_claims(&mut self, group: &ClaimsRecord) -> JobIndex {
        if let Some(index) = self.jobs.index_of(&group.job) {
            return index;
        }
        let need = Need {
            cores: group.cores,
            gpus: group.gpus,
            mem_gb: group.mem_gb,
        };
        let mut job = Job::ended(&group.job, &group.team, need);
        job.county = county_counts::county_of_claims(&group.county, group.alone);
        self.add_job(job)
    }

    /// Loads a claim. Returns false if it is known already: a claim moved by compaction may be in two records.
    fn load_claim(&mut self, segment: u64, id: &ClaimId) -> bool {
        if self.claim_mut(id).is_some() {
            return false;
        }
        let mut claim = Claim::new(id.job, id.task, id.attempt);
        claim.state = ClaimState::Recorded;
        claim.segment = segment;
        claim.start = StartState::Unknown;
        if let Some(job) = self.job_mut(id.job) {
            job.add_claim(id.task, id.machine, id.attempt);
        }
        if let Some(machine) = self.machine_mut(id.machine) {
            machine.claims.push(claim);
        }
        true
    }

    /// Loads results. Returns the job that they belong to, unless it has ended.
    fn load_results(&mut self, segment: u64, done: DoneRecord) -> Option<JobIndex> {
        let index = self.jobs.index_of(&done.job)?;
        let job = self.job_mut(index).filter(|j| j.spec.is_some())?;
        job.load_done(records::unrange(&done.tasks));
        job.segments.insert(segment);
        Some(index)
    }

    /// Loads an inventory shard of an earlier leader.
    fn load_inventory_shard(
        &mut self,
        number: u64,
        version: u64,
        record: InventoryRecord,
        heard_at: u64,
    ) {
        let mut inventory_shard = InventoryShard {
            version,
            ..InventoryShard::default()
        };
        let length = record_sizes::length(&record);
        for kind in record.kinds {
            for (name, rented_ms) in kind.machines {
                let mut machine =
                    Machine::new(&name, &kind.machine_type, &kind.zone, kind.spot, rented_ms);
                machine.recorded = true;
                machine.inventory_shard = number;
                if self.limits.are_tight() {
                    machine.size = record_sizes::inventory_entry(&name);
                }
                machine.heard_at = heard_at;
                inventory_shard.size += machine.size;
                let index = self.insert_machine(machine);
                inventory_shard.machines.insert(index);
            }
        }
        if self.limits.are_tight() {
            inventory_shard.size = length;
        }
        self.claim_log.load_inventory_shard(number, inventory_shard);
    }

    /// Drops claims of earlier attempts of a task. An attempt is made only once all earlier ones were proved gone, so
    /// that of several in the log only the last can still be running.
    fn drop_superseded_claims(&mut self) {
        for id in self.superseded_claims() {
            let segment = self.claim_mut(&id).map(|c| c.segment);
            self.drop_claim(&id);
            self.claim_log.release_claim(segment.unwrap_or(0));
        }
    }

    fn superseded_claims(&self) -> Vec<ClaimId> {
        let mut superseded = Vec::new();
        for (index, job) in self.jobs.iter().enumerate() {
            let Some(job) = job else { continue };
            for (task, claims) in job.claimed.iter().filter(|(_, c)| c.len() > 1) {
                let last = claims.iter().map(|(_, a)| *a).max().unwrap_or(0);
                let earlier = claims.iter().filter(|(_, a)| *a != last);
                superseded.extend(earlier.map(|(machine, attempt)| ClaimId {
                    machine: *machine,
                    job: index,
                    task: *task,
                    attempt: *attempt,
                }));
            }
        }
        superseded
    }
}

impl Node {
    pub(crate) fn start_recovery(&mut self) {
        self.load(RecoveryStep::Jobs);
    }

    pub(crate) fn load(&mut self, step: RecoveryStep) {
        let Some(shard) = &self.shard else { return };
        let prefix = match step {
            RecoveryStep::Jobs => records::LIVE.to_owned(),
            RecoveryStep::Inventory => records::inventory_prefix(SHARD),
            RecoveryStep::Log => records::log_prefix(SHARD),
            RecoveryStep::Rentals => records::rentals_prefix(SHARD),
            RecoveryStep::Allotment => records::allotment_key(SHARD),
            RecoveryStep::Heads => records::SHARED.to_owned(),
            RecoveryStep::Models => return self.read_models(),
        };
        let mut path = format!("/keys?under={prefix}&limit=1000");
        if let Some(after) = &shard.recovery.last_key {
            path.push_str(&format!("&from={after}"));
        }
        let pending = Pending::Load {
            term: self.term,
            step,
        };
        self.send(
            Destination::State,
            "GET",
            path,
            Vec::new(),
            LOAD_TIMEOUT_MS,
            pending,
        );
    }

    /// Schedules a read to be repeated from the same position. The delay keeps recovery from using up the request
    /// rate that lease renewals and acceptances of jobs by other controllers need. A leader that cannot read keeps or
    /// loses its lease independently of this.
    pub(crate) fn retry_load_later(&mut self, step: RecoveryStep) {
        let at = self.now.mono + self.rng.u64(LOAD_RETRY_MS);
        if let Some(shard) = &mut self.shard {
            shard.recovery.retry = Some((step, at));
        }
    }

    pub(crate) fn recovery_tick(&mut self) {
        let now = self.now.mono;
        let shard = self.shard.as_mut();
        if let Some(step) = shard.and_then(|s| s.recovery.take_due(now)) {
            self.load(step);
        }
    }

    /// Handles the answer to a read; `None` if there was no answer.
    pub(crate) fn load_received(&mut self, step: RecoveryStep, response: Option<Response>) {
        let page = response
            .filter(|r| r.status == 200)
            .and_then(|r| self.load_page(step, &r));
        match page {
            None => self.retry_load_later(step),
            Some(Page::More) => self.load(step),
            Some(Page::Last) => self.load_next(step),
        }
    }

    fn load_page(&mut self, step: RecoveryStep, response: &Response) -> Option<Page> {
        match step {
            RecoveryStep::Jobs => self.load_items(response, Self::load_job),
            RecoveryStep::Inventory => self.load_items(response, Self::load_inventory),
            RecoveryStep::Log => self.load_items(response, Self::load_log),
            RecoveryStep::Rentals => self.load_items(response, Self::load_rental),
            RecoveryStep::Allotment => {
                let range = self.decode_answer("state service", response)?;
                self.load_allotment(range);
                Some(Page::Last)
            }
            RecoveryStep::Heads => {
                let range = self.decode_answer("state service", response)?;
                self.load_heads(range);
                Some(Page::Last)
            }
            // Their pages are handled by [`Node::models_received`].
            RecoveryStep::Models => None,
        }
    }

    /// Continues with the next step.
    fn load_next(&mut self, step: RecoveryStep) {
        if let Some(shard) = &mut self.shard {
            shard.recovery.last_key = None;
        }
        match step {
            RecoveryStep::Jobs => self.load(RecoveryStep::Inventory),
            RecoveryStep::Inventory => self.load(RecoveryStep::Log),
            RecoveryStep::Log => self.load(RecoveryStep::Rentals),
            RecoveryStep::Rentals => self.load(RecoveryStep::Allotment),
            RecoveryStep::Allotment => self.load(RecoveryStep::Heads),
            RecoveryStep::Heads => self.load_documents(),
            RecoveryStep::Models => {}
        }
    }

    /// Loads each item of a page. Returns `None` if the page cannot be decoded.
    fn load_items<T: DeserializeOwned>(
        &mut self,
        response: &Response,
        load: impl Fn(&mut Self, Item<T>),
    ) -> Option<Page> {
        let range: Range<T> = self.decode_answer("state service", response)?;
        let page = self.page_end(&range);
        for item in range.items {
            load(self, item);
        }
        Some(page)
    }

    /// Records where the next page starts, and returns whether there is one.
    fn page_end<T>(&mut self, range: &Range<T>) -> Page {
        if let Some(shard) = &mut self.shard {
            shard.live_watch.start_from(range.revision);
            if let Some(last) = range.items.last() {
                shard.recovery.last_key = Some(last.key.clone());
            }
        }
        if range.more && !range.items.is_empty() {
            Page::More
        } else {
            Page::Last
        }
    }

    fn load_job(&mut self, item: Item<JobRecord>) {
        self.add_accepted_job(item.value, item.version);
    }

    fn load_inventory(&mut self, item: Item<InventoryRecord>) {
        let now = self.now.mono;
        let Some(shard) = &mut self.shard else { return };
        let number = item.key.strip_prefix(&records::inventory_prefix(SHARD));
        if let Some(number) = number.and_then(|n| n.parse().ok()) {
            shard.load_inventory_shard(number, item.version, item.value, now);
        }
    }

    fn load_log(&mut self, item: Item<LogRecord>) {
        let Some(shard) = &mut self.shard else { return };
        let number = item.key.strip_prefix(&records::log_prefix(SHARD));
        if let Some(number) = number.and_then(|n| u64::from_str_radix(n, 16).ok()) {
            shard.load_segment(number, item.version, item.value);
        }
    }

    fn load_rental(&mut self, item: Item<RentalRecord>) {
        let Some(shard) = &mut self.shard else { return };
        if let Some(name) = item.key.strip_prefix(&records::rentals_prefix(SHARD)) {
            let rental = Rental::recorded(item.value, item.version);
            shard.rentals.insert(name.to_owned(), rental);
        }
    }

    fn load_allotment(&mut self, range: Range<AllotmentRecord>) {
        let Some(shard) = &mut self.shard else { return };
        let key = records::allotment_key(SHARD);
        if let Some(item) = range.items.into_iter().find(|i| i.key == key) {
            shard.allotment.load(item.value, item.version);
        }
    }

    /// The allotment of the only shard: the full limit of every team. It is recorded nevertheless, because limits are
    /// enforced by the record.
    pub(crate) fn whole_allotment(&self) -> AllotmentRecord {
        let teams = self.settings.cluster.teams.iter();
        let teams = teams
            .map(|t| TeamAllotment {
                name: t.name.clone(),
                cpus_max: t.cpus_max,
                gpus_max: t.gpus_max,
            })
            .collect();
        // While no version of the quota document can be applied, the recorded version is kept, and nothing is
        // started.
        let recorded = self
            .shard
            .as_ref()
            .and_then(|shard| shard.allotment.current())
            .map_or(0, |a| a.tree);
        let value = self.write_limits.value_bytes();
        AllotmentRecord::whole(
            teams,
            self.shared.documents.quota.version().unwrap_or(recorded),
            value,
        )
    }

    pub(crate) fn finish_recovery(&mut self) {
        if self.needs_model_records() {
            return;
        }
        let now = self.now.mono;
        let whole = self.whole_allotment();
        self.rebuild_calendar();
        let Some(shard) = &mut self.shard else { return };
        shard.allotment.request_if_different(whole);
        shard.loaded = true;
        shard.ready_since = now;
        for machine in shard.machines.iter_mut().flatten() {
            (machine.heard_at, machine.heartbeat_at) = (now, now);
        }
        shard.drop_superseded_claims();
        log::info!(
            "token {}: recovered {} jobs, {} machines, {} rentals",
            shard.token(),
            shard.jobs.iter().flatten().count(),
            shard.machines.count(),
            shard.rentals.len()
        );
        // The earlier leader may have left a job with all tasks done but not ended, or with its gang claimed only in
        // part.
        let all: Vec<JobIndex> = (0..shard.jobs.slots())
            .filter(|job| shard.job(*job).is_some())
            .collect();
        for job in all {
            self.job_changed(job);
        }
        self.watch_live_jobs();
    }

    pub(crate) fn add_accepted_job(&mut self, record: JobRecord, version: u64) {
        // The watch may report a job whose end this controller has recorded already.
        if self.final_states.get(&record.spec.id).is_some() {
            return;
        }
        let Some(shard) = &mut self.shard else { return };
        if shard.jobs.contains(&record.spec.id) {
            return;
        }
        let spec = &record.spec;
        log::debug!(
            "job {}: {} tasks of class {} for {}",
            spec.id,
            spec.tasks,
            spec.class,
            spec.team
        );
        shard
            .classes
            .entry(record.spec.class.clone())
            .or_default()
            .record_arrival(&record.spec, record.at_ms);
        shard.plan_triggers.urgent.note_arrival(&record.spec);
        let job = shard.add_job(Job::new(record, version));
        shard.plan_triggers.request();
        self.update_model_binding(job);
    }
}
