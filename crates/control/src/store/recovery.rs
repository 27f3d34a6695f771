//! Reading the shard's records back after a failover, before its new leader decides anything.

use crate::agents::machine::{Claim, ClaimState, Machine, Need};
use crate::jobs::job::{Job, JobIndex};
use crate::leadership::election::SHARD;
use crate::store::claim_log::{ClaimId, InventoryShard, Segment};
use crate::store::commit::value_limit;
use crate::store::shard::{Rental, RentalState, Shard};
use crate::{Destination, Node, Pending};
use std::ops;
use wire::api::{Item, Range};
use wire::http::Response;
use wire::records::{
    self, AllotmentRecord, InventoryRecord, JobRecord, LogRecord, RentalRecord, TeamAllotment,
};

/// What is read one after the other after a failover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Load {
    Jobs,
    Inventory,
    Log,
    Rentals,
    Allotment,
    Heads,
    Models,
}

/// After how long what could not be read is read again.
const LOAD_AGAIN_MS: ops::Range<u64> = 100..400;

impl Shard {
    /// Takes in a log record of earlier leaders.
    fn load_segment(&mut self, number: u64, version: u64, rec: LogRecord) {
        let mut segment = Segment {
            version,
            ..Segment::default()
        };
        segment.counts = self.county_counts.log_recorded(number, rec.ended, 0);
        for group in rec.claims {
            let need = Need {
                cores: group.cores,
                gpus: group.gpus,
                mem_gb: group.mem_gb,
            };
            let attempt = group.attempt;
            for (name, first, n) in group.on {
                // A machine in no inventory shard is gone, and all that was on it.
                let Some(machine) = self.machine_index.get(&name).copied() else {
                    continue;
                };
                let job = match self.job_index.get(&group.job) {
                    Some(ix) => *ix,
                    // Ended, but its tasks may still be there: they count until they are proved gone.
                    None => {
                        let mut job = Job::ended(&group.job, &group.team, need);
                        job.county = crate::documents::county_counts::county_of_claims(
                            &group.county,
                            group.alone,
                        );
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
            let Some(ix) = self.job_index.get(&done.job).copied() else {
                continue;
            };
            let Some(job) = self.job_mut(ix).filter(|j| j.spec.is_some()) else {
                continue;
            };
            job.load_done(records::unrange(&done.tasks));
            job.segments.insert(number);
            segment.jobs.insert(ix);
        }
        self.claim_log.add_segment(number, segment);
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
            self.claim_log.ended(segment.unwrap_or(0));
        }
    }
}

impl Node {
    pub(crate) fn start_load(&mut self) {
        self.load(Load::Jobs);
    }

    pub(crate) fn load(&mut self, what: Load) {
        let Some(shard) = &self.shard else { return };
        let prefix = match what {
            Load::Jobs => records::LIVE.to_owned(),
            Load::Inventory => records::inventory_prefix(SHARD),
            Load::Log => records::log_prefix(SHARD),
            Load::Rentals => records::rentals_prefix(SHARD),
            Load::Allotment => records::allotment_key(SHARD),
            Load::Heads => records::SHARED.to_owned(),
            Load::Models => return self.read_models(),
        };
        let mut path = format!("/keys?under={prefix}&limit=1000");
        if let Some(after) = &shard.load_after {
            path.push_str(&format!("&from={after}"));
        }
        let what = Pending::Load {
            term: self.term,
            what,
        };
        self.send(Destination::State, "GET", path, Vec::new(), 3000, what);
    }

    /// From the same place again, after a while: who reads back must not use up what renewals and others' accepts need
    /// of the state service. A leader that can't read keeps its lease or loses it.
    pub(crate) fn load_later(&mut self, what: Load) {
        let at = self.now.mono + self.rng.u64(LOAD_AGAIN_MS);
        if let Some(shard) = &mut self.shard {
            shard.load_again = Some((what, at));
        }
    }

    pub(crate) fn load_tick(&mut self) {
        let now = self.now.mono;
        let due = |(_, at): &mut (Load, u64)| *at <= now;
        if let Some((what, _)) = self.shard.as_mut().and_then(|p| p.load_again.take_if(due)) {
            self.load(what);
        }
    }

    pub(crate) fn load_received(&mut self, what: Load, response: Option<Response>) {
        let page = response
            .filter(|r| r.status == 200)
            .and_then(|r| match what {
                Load::Jobs => self.read("state service", &r).map(|p| self.load_jobs(p)),
                Load::Inventory => self
                    .read("state service", &r)
                    .map(|p| self.load_inventory(p)),
                Load::Log => self.read("state service", &r).map(|p| self.load_log(p)),
                Load::Rentals => self.read("state service", &r).map(|p| self.load_rentals(p)),
                Load::Allotment => self
                    .read("state service", &r)
                    .map(|p| self.load_allotment(p)),
                Load::Heads => self.read("state service", &r).map(|p| {
                    self.load_heads(p);
                    false
                }),
                // Their pages come to [`Node::models_received`].
                Load::Models => None,
            });
        let Some(more) = page else {
            return self.load_later(what);
        };
        if more {
            return self.load(what);
        }
        if let Some(shard) = &mut self.shard {
            shard.load_after = None;
        }
        match what {
            Load::Jobs => self.load(Load::Inventory),
            Load::Inventory => self.load(Load::Log),
            Load::Log => self.load(Load::Rentals),
            Load::Rentals => self.load(Load::Allotment),
            Load::Allotment => self.load(Load::Heads),
            Load::Heads => self.load_documents(),
            Load::Models => {}
        }
    }

    /// Notes where the next page goes on; true if there is one.
    fn page_end<T>(&mut self, range: &Range<T>) -> bool {
        if let Some(shard) = &mut self.shard {
            if shard.live_revision == 0 {
                shard.live_revision = range.revision;
            }
            if let Some(last) = range.items.last() {
                shard.load_after = Some(last.key.clone());
            }
        }
        range.more && !range.items.is_empty()
    }

    fn load_jobs(&mut self, range: Range<JobRecord>) -> bool {
        let more = self.page_end(&range);
        for Item { value, version, .. } in range.items {
            self.job_known(value, version);
        }
        more
    }

    fn load_inventory(&mut self, range: Range<InventoryRecord>) -> bool {
        let more = self.page_end(&range);
        let prefix = records::inventory_prefix(SHARD);
        let now = self.now;
        let Some(shard) = &mut self.shard else {
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
            let mut inventory_shard = InventoryShard {
                version,
                ..InventoryShard::default()
            };
            for kind in value.kinds {
                for (name, rented_ms) in kind.machines {
                    let mut machine =
                        Machine::new(&name, &kind.machine_type, &kind.zone, kind.spot, rented_ms);
                    machine.recorded = true;
                    machine.inventory_shard = number;
                    machine.heard_at = now.mono;
                    inventory_shard.size += machine.size;
                    inventory_shard
                        .machines
                        .insert(shard.insert_machine(machine));
                }
            }
            shard
                .claim_log
                .load_inventory_shard(number, inventory_shard);
        }
        more
    }

    fn load_log(&mut self, range: Range<LogRecord>) -> bool {
        let more = self.page_end(&range);
        let prefix = records::log_prefix(SHARD);
        let Some(shard) = &mut self.shard else {
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
                shard.load_segment(number, version, value);
            }
        }
        more
    }

    fn load_rentals(&mut self, range: Range<RentalRecord>) -> bool {
        let more = self.page_end(&range);
        let prefix = records::rentals_prefix(SHARD);
        let Some(shard) = &mut self.shard else {
            return false;
        };
        for Item {
            key,
            value,
            version,
        } in range.items
        {
            if let Some(name) = key.strip_prefix(&prefix) {
                let rental = Rental {
                    rec: value,
                    version,
                    busy: false,
                    retry_at: 0,
                    state: RentalState::Recorded,
                };
                shard.rentals.insert(name.to_owned(), rental);
            }
        }
        more
    }

    fn load_allotment(&mut self, range: Range<AllotmentRecord>) -> bool {
        let Some(shard) = &mut self.shard else {
            return false;
        };
        if let Some(item) = range
            .items
            .into_iter()
            .find(|i| i.key == records::allotment_key(SHARD))
        {
            shard.allotment = Some(item.value);
            shard.allotment_version = item.version;
        }
        false
    }

    /// The only part has all of every team's limit. Written down all the same: limits are kept by the record.
    pub(crate) fn whole_allotment(&self) -> AllotmentRecord {
        let teams = self.settings.cluster.teams.iter();
        let teams = teams
            .map(|t| TeamAllotment {
                name: t.name.clone(),
                cpus_max: t.cpus_max,
                gpus_max: t.gpus_max,
            })
            .collect();
        // While no version can be acted on, the one that was recorded stays, and nothing starts.
        let recorded = self
            .shard
            .as_ref()
            .and_then(|p| p.allotment.as_ref())
            .map_or(0, |a| a.tree);
        let value = value_limit(self.settings.cluster.state.value_kb);
        AllotmentRecord::whole(
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
        let Some(shard) = &mut self.shard else { return };
        shard.allotment_wanted = (shard.allotment.as_ref() != Some(&whole)).then_some(whole);
        shard.loaded = true;
        shard.since = now;
        for machine in shard.machines.iter_mut().flatten() {
            (machine.heard_at, machine.heartbeat_at) = (now, now);
        }
        shard.drop_overtaken();
        log::info!(
            "token {}: read {} jobs, {} machines, {} rentals",
            shard.token,
            shard.jobs.iter().flatten().count(),
            shard.machine_index.len(),
            shard.rentals.len()
        );
        // A job may have been left with all tasks done but not ended, or with a gang half claimed.
        let all: Vec<JobIndex> = (0..shard.jobs.len())
            .filter(|ix| shard.jobs[*ix].is_some())
            .collect();
        for ix in all {
            self.job_changed(ix);
        }
        self.watch_live();
    }

    pub(crate) fn job_known(&mut self, rec: JobRecord, version: u64) {
        // The watch may lag behind our own end of the job.
        if self.final_states.get(&rec.spec.id).is_some() {
            return;
        }
        let Some(shard) = &mut self.shard else { return };
        if shard.job_index.contains_key(&rec.spec.id) {
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
        shard
            .classes
            .entry(rec.spec.class.clone())
            .or_default()
            .arrived(&rec.spec, rec.at_ms);
        shard.urgent.arrived(&rec.spec);
        let ix = shard.add_job(Job::new(rec, version));
        shard.plan_due = true;
        self.bind_model(ix);
    }
}
