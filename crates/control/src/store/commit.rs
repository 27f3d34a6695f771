//! The leader's writes: one transaction at a time, each taking along all that has gathered.
//!
//! Every transaction is guarded by the leader record and by the version of each key it changes, so that one
//! that lands late, or from an earlier leader, changes nothing. Without an answer the same bytes are sent
//! again: either the first or the second is applied, never both.

use crate::agents::machine::ClaimState;
use crate::documents::{KindId, for_kind};
use crate::jobs::job::{Ending, JobIndex};
use crate::leadership::election::SHARD;
use crate::store::claim_log::{ClaimId, Segment};
use crate::store::shard::{RentalState, Shard};
use crate::{Destination, Node, Pending};
use std::collections::{BTreeMap, BTreeSet};
use wire::api::{Condition, Conflict, Item, JobState, Revision, Transaction, Write};
use wire::http::Response;
use wire::records::{
    self, ClaimsRecord, DoneRecord, EndRecord, InventoryRecord, KindRecord, LogRecord, Record,
    TokenRecord,
};

pub(crate) enum PendingWrite {
    End(JobIndex),
    Token(u64),
    Rental(String),
    RemoveRental(String),
    Log(Log),
    LogOver(u64),
    Fold(county::Fold),
    /// A inventory shard with the names of its machines: by the time that it stands, a place in memory may be another one's.
    InventoryShard(u64, Vec<String>),
    Catalog,
    Allotment,
    /// A document's part, its removal, its head.
    DocumentPart(KindId, String),
    RemoveDocumentPart(KindId, String),
    Head(KindId),
    /// A moved hour, with the time of the move.
    Hour(crate::documents::hours::Move, u64),
}

/// A log record on its way.
pub(crate) struct Log {
    number: u64,
    claims: Vec<ClaimId>,
    /// Results, and whether they are all that the job has.
    done: Vec<(JobIndex, Vec<u32>, bool)>,
    ended: Vec<county::Delta>,
}

#[derive(Default)]
pub(crate) struct Commit {
    ops: Vec<PendingWrite>,
    body: Vec<u8>,
    /// A key that the transaction changes, its version before, and whether it is removed.
    probe: Option<(String, u64, bool)>,
    in_flight: bool,
    /// A try was not answered: it may have been applied, or may yet be.
    outcome_unknown: bool,
    retry_at: u64,
    raised_at: u64,
    writes: usize,
    /// When results and losses alone were last worth a write.
    tidied_at: u64,
}

/// Results and returned machines wait this long for something to travel with.
const TIDY_MS: u64 = 1000;
/// With more log records than this, the oldest are moved into new ones.
const SEGMENTS: usize = 400;

/// Larger transactions are cut: one more record, and the longer form that the service counts in, still stay below
/// its 64 KiB.
const SIZE: usize = 24 * 1024;

pub(crate) struct TransactionDraft {
    pub ops: Vec<PendingWrite>,
    guards: Vec<Condition>,
    writes: Vec<Write>,
    probe: Option<(String, u64, bool)>,
    size: usize,
    /// Counts of the jobs that it ends, for its log record.
    pub counts: crate::documents::county_counts::Counts,
}

impl TransactionDraft {
    pub fn put(&mut self, key: String, version: u64, record: Record) {
        self.size += wire::encode(&record).len() + key.len();
        // A record that is put also tells at which revision; guards against versions taken from a removal,
        // which has none.
        if self.probe.as_ref().is_none_or(|(_, _, removed)| *removed) {
            self.probe = Some((key.clone(), version, false));
        }
        self.guards.push(Condition {
            key: key.clone(),
            version,
        });
        self.writes.push(Write::put(key, record));
    }
    /// Whether it changes this key already.
    pub fn writes_to(&self, key: &str) -> bool {
        self.guards.iter().any(|g| g.key == key)
    }
    /// Writes what is named by its own digest: whatever stands there already is the same. So it can't tell whether
    /// this transaction was applied, and has no guard but the leader's.
    pub fn put_part(&mut self, key: String, record: Record) {
        self.size += wire::encode(&record).len() + key.len();
        self.writes.push(Write::put(key, record));
    }
    pub fn remove(&mut self, key: String, version: u64) {
        if self.probe.is_none() {
            self.probe = Some((key.clone(), version, true));
        }
        self.guards.push(Condition {
            key: key.clone(),
            version,
        });
        self.writes.push(Write::Remove { key });
    }

    fn end(&mut self, shard: &mut Shard, ix: JobIndex, wall: u64) {
        let Some(job) = shard.job_mut(ix) else { return };
        let Ending::Wanted(stage) = job.ending else {
            return;
        };
        let done = job.done_count;
        let hour = crate::documents::hours::end_rec(job, wall);
        job.ending = Ending::Writing(stage);
        let (id, version) = (job.id.clone(), job.version);
        let county = self.counts.add(shard, ix, stage);
        self.put(
            records::end_key(&id),
            0,
            Record::End(EndRecord {
                stage,
                done,
                hour,
                county,
            }),
        );
        self.remove(records::live_key(&id), version);
        self.ops.push(PendingWrite::End(ix));
    }

    /// One log record: claims as far as they fit, then results, then what is moved out of the oldest record.
    fn log(&mut self, shard: &mut Shard, value: usize, max_guards: usize) {
        let ended = self.counts.take();
        let mut log = Log {
            number: shard.next_log(),
            claims: Vec::new(),
            done: Vec::new(),
            ended,
        };
        let mut entries: BTreeMap<(JobIndex, u64), BTreeMap<usize, BTreeSet<u32>>> =
            BTreeMap::new();
        let mut size = 64 + crate::documents::county_counts::length(&log.ended);
        let mut grow = |shard: &Shard, id: &ClaimId| {
            let (Some(job), Some(machine)) = (shard.job(id.job), shard.machine(id.machine)) else {
                return false;
            };
            let known = entries.contains_key(&(id.job, id.attempt));
            let more = ClaimsRecord::entry(&machine.name)
                + if known {
                    0
                } else {
                    ClaimsRecord::frame(&job.id, &job.team)
                        + crate::documents::county_counts::frame(job)
                };
            if size + more > value {
                return false;
            }
            size += more;
            let on = entries.entry((id.job, id.attempt)).or_default();
            on.entry(id.machine).or_default().insert(id.task);
            true
        };
        while let Some(id) = shard.claim_log.fresh.front().copied() {
            let Some(claim) = shard.claim_mut(&id).filter(|c| c.state == ClaimState::New) else {
                shard.claim_log.fresh.pop_front();
                continue;
            };
            let sent = claim.sent;
            let Some(job) = shard.job(id.job) else { return };
            // What was planned for a job that has ended meanwhile is dropped: nothing was sent, and a guard on
            // the job's record would fail the whole transaction.
            if job.is_ending() && !sent {
                shard.claim_log.fresh.pop_front();
                shard.drop_claim(&id);
                continue;
            }
            // The claims' jobs are guarded too: a claim must not come after its job's end.
            let key = records::live_key(&job.id);
            let guarded = job.is_ending() || self.guards.iter().any(|g| g.key == key);
            if !guarded && self.guards.len() + 2 >= max_guards {
                break;
            }
            let version = job.version;
            if !grow(shard, &id) {
                break;
            }
            if !guarded {
                self.guards.push(Condition { key, version });
            }
            if let Some(claim) = shard.claim_mut(&id) {
                claim.state = ClaimState::Writing;
            }
            shard.claim_log.fresh.pop_front();
            log.claims.push(id);
        }
        // The oldest record's claims that still hold, where there are too many records.
        let old = shard
            .claim_log
            .segments
            .iter()
            .find(|(_, s)| s.holds())
            .map(|(n, _)| *n);
        let old = old.filter(|_| shard.claim_log.segments.len() > SEGMENTS);
        let moving = old.and_then(|n| shard.claim_log.segments.get(&n));
        for id in moving.map(|s| s.claims.clone()).unwrap_or_default() {
            let holds = shard
                .claim_mut(&id)
                .is_some_and(|c| c.state == ClaimState::Recorded && Some(c.segment) == old);
            if holds && grow(shard, &id) {
                log.claims.push(id);
            }
        }
        let mut rec = LogRecord {
            ended: log.ended.clone(),
            ..LogRecord::default()
        };
        for ((ix, attempt), on) in entries {
            let Some(job) = shard.job(ix) else { continue };
            let mut list = Vec::new();
            for (m, tasks) in on {
                let Some(machine) = shard.machine(m) else {
                    continue;
                };
                let tasks = records::ranges(tasks);
                list.extend(
                    tasks
                        .into_iter()
                        .map(|(first, n)| (machine.name.clone(), first, n)),
                );
            }
            rec.claims.push(ClaimsRecord {
                job: job.id.clone(),
                team: job.team.clone(),
                cores: job.need.cores,
                gpus: job.need.gpus,
                mem_gb: job.need.mem_gb,
                attempt,
                on: list,
                county: crate::documents::county_counts::claims_county(job),
                alone: job.tenant.alone,
            });
        }
        let moved: Vec<JobIndex> = old
            .and_then(|n| shard.claim_log.segments.get(&n))
            .map(|s| s.jobs.iter().copied().collect())
            .unwrap_or_default();
        let unsaved: Vec<JobIndex> = shard.claim_log.unsaved.iter().copied().collect();
        let results = unsaved
            .into_iter()
            .map(|ix| (ix, false))
            .chain(moved.into_iter().map(|ix| (ix, true)));
        for (ix, all) in results {
            let Some(job) = shard.job(ix).filter(|j| j.ending == Ending::No) else {
                shard.claim_log.unsaved.remove(&ix);
                continue;
            };
            let mut tasks: Vec<u32> = if all {
                job.saved().collect()
            } else {
                job.unsaved.iter().copied().collect()
            };
            let mut list = records::ranges(tasks.iter().copied());
            let frame = size + DoneRecord::frame(&job.id);
            let fits = value.saturating_sub(frame) / DoneRecord::ENTRY;
            if fits == 0 || (all && list.len() > fits) {
                continue;
            }
            if list.len() > fits {
                list.truncate(fits);
                let most = records::unrange(&list).count();
                tasks.truncate(most);
            } else if !all {
                shard.claim_log.unsaved.remove(&ix);
            }
            size = frame + list.len() * DoneRecord::ENTRY;
            let id = shard.job(ix).map(|j| j.id.clone()).unwrap_or_default();
            rec.done.push(DoneRecord {
                job: id,
                tasks: list,
            });
            log.done.push((ix, tasks, all));
        }
        if rec.claims.is_empty() && rec.done.is_empty() && rec.ended.is_empty() {
            return;
        }
        self.put(records::log_key(SHARD, log.number), 0, Record::Log(rec));
        self.ops.push(PendingWrite::Log(log));
    }

    /// Writes a inventory shard as it stands now, or removes it.
    fn inventory_shard(&mut self, shard: &mut Shard, number: u64) {
        shard.claim_log.gone_from.remove(&number);
        let Some(inventory_shard) = shard.claim_log.inventory.get(&number) else {
            return;
        };
        let key = records::inventory_key(SHARD, number);
        if inventory_shard.machines.is_empty() {
            let version = inventory_shard.version;
            // Its number is not used again in this term. A late copy of the transaction that first wrote it finds
            // no inventory shard of other machines in its place, and is taken for none.
            shard.claim_log.inventory.remove(&number);
            if version > 0 {
                self.remove(key, version);
            }
            return;
        }
        let mut rec = InventoryRecord::default();
        for machine in inventory_shard
            .machines
            .iter()
            .filter_map(|m| shard.machine(*m))
        {
            let same = |k: &&mut KindRecord| {
                k.machine_type == machine.machine_type
                    && k.zone == machine.zone
                    && k.spot == machine.spot
            };
            let entry = (machine.name.clone(), machine.rented_ms);
            match rec.kinds.iter_mut().find(same) {
                Some(kind) => kind.machines.push(entry),
                None => rec.kinds.push(KindRecord {
                    machine_type: machine.machine_type.clone(),
                    zone: machine.zone.clone(),
                    spot: machine.spot,
                    machines: vec![entry],
                }),
            }
        }
        let names = rec
            .kinds
            .iter()
            .flat_map(|k| &k.machines)
            .map(|(name, _)| name.clone())
            .collect();
        self.put(key, inventory_shard.version, Record::InventoryShard(rec));
        self.ops.push(PendingWrite::InventoryShard(number, names));
    }
}

impl Commit {
    /// A transaction is under way, or may be.
    pub fn is_out(&self) -> bool {
        !self.body.is_empty()
    }
}

/// Whether a transaction failed since our leader record no longer stands, or for reasons that can't be read.
fn leadership_lost(response: Option<&Response>) -> bool {
    let conflict = response.and_then(|r| wire::decode::<Conflict>(&r.body).ok());
    conflict.is_none_or(|c| c.failed.contains(&records::leader_key(SHARD)))
}

/// What a value may take, with some distance to the service's own count.
pub(crate) fn value_limit(value_kb: f64) -> usize {
    (value_kb * 1024.0 * 0.95) as usize
}

impl Node {
    pub(crate) fn flush_commit(&mut self) {
        let now = self.now.mono;
        let term = self.term;
        let has_valid_lease = self.may_decide();
        let Some(shard) = &mut self.shard else { return };
        if shard.commit.in_flight || now < shard.commit.retry_at {
            return;
        }
        if !shard.commit.body.is_empty() {
            // The last transaction again, as it was.
            if self.requests.level(now) < 1.0 {
                return;
            }
            self.writes.take(now, shard.commit.writes as f64);
            shard.commit.in_flight = true;
            let body = shard.commit.body.clone();
            return self.send(
                Destination::State,
                "POST",
                "/txn".into(),
                body,
                2000,
                Pending::Commit { term },
            );
        }
        if !has_valid_lease || !self.to_write {
            return;
        }
        let budget = (self.writes.level(now).floor().max(0.0) as usize)
            .min(self.settings.cluster.state.txn_ops);
        if budget < 1 || self.requests.level(now) < 1.0 {
            return;
        }
        self.to_write = false;
        self.before_heads(budget);
        let Some(draft) = self.draft(budget) else {
            return;
        };
        let Some(shard) = &mut self.shard else { return };
        let writes = draft.writes.len();
        let body = wire::encode(&Transaction {
            conditions: draft.guards,
            writes: draft.writes,
        });
        shard.commit.ops = draft.ops;
        shard.commit.probe = draft.probe;
        shard.commit.body = body.clone();
        shard.commit.outcome_unknown = false;
        shard.commit.in_flight = true;
        shard.commit.writes = writes;
        self.writes.take(now, writes as f64);
        self.send(
            Destination::State,
            "POST",
            "/txn".into(),
            body,
            2000,
            Pending::Commit { term },
        );
    }

    /// Gathers what is to be written, most urgent first.
    fn draft(&mut self, budget: usize) -> Option<TransactionDraft> {
        let (now, wall) = (self.now.mono, self.now.wall);
        let limits = &self.settings.cluster.state;
        let max_guards = limits.txn_ops * 4;
        let value = value_limit(limits.value_kb);
        let shared_token = (self.shared.token, self.shared.token_version);
        let catalog = self.shared.catalog.as_ref();
        let catalog_version = self.shared.catalog_version;
        let documents = &mut self.shared.documents;
        let shard = self.shard.as_mut()?;
        let mut d = TransactionDraft {
            ops: Vec::new(),
            guards: vec![Condition {
                key: records::leader_key(SHARD),
                version: shard.leader_version,
            }],
            writes: Vec::new(),
            probe: None,
            size: 0,
            counts: crate::documents::county_counts::Counts::new(value),
        };
        let tidy = now >= shard.commit.tidied_at + TIDY_MS;
        // Ends come first, but they do not keep claims waiting for ever.
        // So does a document's head, with what is written beside it. What is counted needs a log record in the same
        // transaction; one for claims does for both.
        let head = TransactionDraft::head_due(documents, shard, budget);
        let log = shard.tally.keeps(budget);
        let for_claims = || usize::from(budget > 2 && !shard.claim_log.fresh.is_empty()).max(log);
        let kept = head.map_or_else(for_claims, |(_, writes)| writes + log);
        let for_ends = budget.saturating_sub(kept);
        while d.writes.len() + 2 <= for_ends
            && d.guards.len() + 2 < max_guards
            && !d.counts.is_full()
        {
            let Some(ix) = shard.claim_log.ending.pop_front() else {
                break;
            };
            d.end(shard, ix, wall);
        }
        let room = |d: &TransactionDraft| {
            d.writes.len() + d.counts.unacknowledged_start() < budget
                && d.size < SIZE
                && d.guards.len() + 2 < max_guards
        };
        if room(&d)
            && let Some(whole) = shard.allotment_wanted.take()
        {
            d.put(
                records::allotment_key(SHARD),
                shard.allotment_version,
                Record::Allotment(whole.clone()),
            );
            shard.allotment = Some(whole);
            shard.allotment_version = 0;
            d.ops.push(PendingWrite::Allotment);
        }
        if let Some((kind, _)) = head {
            d.head(documents, shard, kind);
        }
        if shard.raise_token && now >= shard.commit.raised_at + 3000 && room(&d) {
            let token = shared_token.0.max(shard.token) + 1;
            d.put(
                records::TOKEN.into(),
                shared_token.1,
                Record::Token(TokenRecord { token }),
            );
            d.ops.push(PendingWrite::Token(token));
            shard.commit.raised_at = now;
        }
        for (name, rental) in shard
            .rentals
            .iter()
            .filter(|(_, h)| h.state == RentalState::New)
        {
            if !room(&d) {
                break;
            }
            let key = format!("{}{name}", records::rentals_prefix(SHARD));
            d.put(key, 0, Record::Rental(rental.rec.clone()));
            d.ops.push(PendingWrite::Rental(name.clone()));
        }
        d.moves(shard, wall, value, room);
        if d.counts.unacknowledged_start() > 0 {
            d.log(shard, value, max_guards);
        }
        // Claims, with the results that have gathered. Room is left for the guards on the claims' jobs.
        while room(&d)
            && (!shard.claim_log.fresh.is_empty() || (tidy && !shard.claim_log.unsaved.is_empty()))
        {
            let before = d.ops.len();
            d.log(shard, value, max_guards);
            if d.ops.len() == before {
                break;
            }
        }
        while room(&d)
            && let Some(n) = shard.claim_log.new_in.pop_first()
        {
            d.inventory_shard(shard, n);
        }
        let over: Vec<(String, u64)> = shard
            .rentals
            .iter()
            .filter(|(_, h)| h.state == RentalState::Over)
            .map(|(n, h)| (n.clone(), h.version))
            .collect();
        // A rental goes only together with, or after, the record of its machines.
        for (name, version) in over {
            if !shard.claim_log.new_in.is_empty() || !room(&d) {
                break;
            }
            d.remove(format!("{}{name}", records::rentals_prefix(SHARD)), version);
            d.ops.push(PendingWrite::RemoveRental(name));
        }
        if shard.catalog_dirty
            && room(&d)
            && let Some(c) = catalog
        {
            shard.catalog_dirty = false;
            if wire::encode(c).len() as f64 * 1.3 < self.settings.cluster.state.value_kb * 1024.0 {
                d.put(
                    records::CATALOG.into(),
                    catalog_version,
                    Record::Catalog(c.clone()),
                );
                d.ops.push(PendingWrite::Catalog);
            }
        }
        d.parts(documents, room);
        if tidy {
            shard.commit.tidied_at = now;
            d.fold(shard, now, room);
            d.parts_over(documents, room);
            while room(&d)
                && let Some(n) = shard.claim_log.gone_from.pop_first()
            {
                d.inventory_shard(shard, n);
            }
            while room(&d)
                && let Some(n) = shard.claim_log.garbage.pop_first()
            {
                let Some(segment) = shard.claim_log.segments.get(&n) else {
                    continue;
                };
                d.remove(records::log_key(SHARD, n), segment.version);
                d.ops.push(PendingWrite::LogOver(n));
            }
        }
        (!d.writes.is_empty()).then_some(d)
    }

    pub(crate) fn committed(&mut self, response: Option<Response>) {
        let now = self.now.mono;
        let term = self.term;
        let backoff = self.rng.u64(50..250);
        let Some(shard) = &mut self.shard else { return };
        shard.commit.in_flight = false;
        // Whatever has gathered meanwhile.
        self.to_write = true;
        let status = response.as_ref().map(|r| r.status);
        match status {
            Some(200) => match response.as_ref().map(|r| wire::decode::<Revision>(&r.body)) {
                Some(Ok(r)) => self.apply(r.revision),
                _ => self.step_down("an unreadable answer to a transaction"),
            },
            Some(409) if shard.commit.outcome_unknown && leadership_lost(response.as_ref()) => {
                // A later leader may have written the same keys: what stands there says nothing of our own tries.
                self.step_down("another leader, or none, stands in the state service");
            }
            Some(409) if shard.commit.outcome_unknown => {
                // Only this term's transactions write these keys, so an earlier try is what makes this one fail.
                let Some((key, _, _)) = shard.commit.probe.clone() else {
                    return self.step_down("a transaction without keys");
                };
                shard.commit.in_flight = true;
                self.send(
                    Destination::State,
                    "GET",
                    format!("/keys/{key}"),
                    Vec::new(),
                    2000,
                    Pending::Verify { term },
                );
            }
            Some(429 | 503) => shard.commit.retry_at = now + backoff,
            None => {
                shard.commit.outcome_unknown = true;
                shard.commit.retry_at = now + backoff;
                self.ends_may_stand();
            }
            Some(other) => {
                let body = response
                    .map(|r| String::from_utf8_lossy(&r.body).into_owned())
                    .unwrap_or_default();
                self.step_down(&format!("a transaction was refused with {other}: {body:?}"));
            }
        }
    }

    /// Ends that were not answered may be recorded, and others may read them and tell of them before we hear: from then
    /// on the tasks of what was cancelled have to go.
    fn ends_may_stand(&mut self) {
        let Some(shard) = &self.shard else { return };
        let ends = shard.commit.ops.iter().filter_map(|op| {
            if let PendingWrite::End(ix) = op {
                Some(*ix)
            } else {
                None
            }
        });
        for ix in ends.collect::<Vec<JobIndex>>() {
            self.job_changed(ix);
        }
    }

    pub(crate) fn verified(&mut self, response: Option<Response>) {
        let Some(shard) = &mut self.shard else { return };
        shard.commit.in_flight = false;
        let Some((_, before, removed)) = shard.commit.probe.clone() else {
            return;
        };
        match response {
            Some(r) if r.status == 200 => {
                #[derive(serde::Deserialize)]
                struct Any {}
                match wire::decode::<Item<Any>>(&r.body) {
                    Ok(item) if !removed && item.version != before => self.apply(item.version),
                    _ => self.step_down("a transaction failed though nothing stood against it"),
                }
            }
            Some(r) if r.status == 404 && removed => self.apply(0),
            Some(r) if r.status == 404 => {
                self.step_down("a transaction failed though nothing stood against it")
            }
            // Asked again by way of the next try of the transaction.
            _ => shard.commit.retry_at = self.now.mono + 200,
        }
    }

    /// The transaction is in place at this revision.
    fn apply(&mut self, revision: u64) {
        let Some(shard) = &mut self.shard else { return };
        shard.commit.body.clear();
        shard.commit.outcome_unknown = false;
        let ops = std::mem::take(&mut shard.commit.ops);
        let mut changed: BTreeSet<JobIndex> = BTreeSet::new();
        let mut told = Vec::new();
        let mut heads = Vec::new();
        let mut moved = Vec::new();
        for op in ops {
            match op {
                PendingWrite::End(ix) => {
                    let Some(job) = shard.job_mut(ix) else {
                        continue;
                    };
                    if let Ending::Writing(stage) = job.ending {
                        job.ending = Ending::Recorded(stage);
                        log::info!("job {}: {stage:?}", job.id);
                        let state: JobState = job.state();
                        let waiters = std::mem::take(&mut job.waiters);
                        self.final_states.put(&job.id, stage, job.done_count);
                        told.extend(waiters.into_iter().map(|w| (w, state.clone())));
                        let segments = std::mem::take(&mut job.segments);
                        if let Some(job) = &shard.jobs[ix] {
                            shard.hours.ended(job, ix, stage);
                        }
                        shard.claim_log.results_over(ix, segments);
                    }
                    changed.insert(ix);
                }
                PendingWrite::Token(token) => {
                    log::info!("token raised to {token}");
                    shard.token = token;
                    shard.raise_token = false;
                    self.shared.token = token;
                    self.shared.highest = self.shared.highest.max(token);
                    self.shared.token_version = self.shared.token_version.max(revision);
                    for (m, machine) in shard.machines.iter().enumerate() {
                        if machine
                            .as_ref()
                            .is_some_and(|x| x.unanswered_command.is_some())
                        {
                            shard.push.insert(m);
                        }
                    }
                }
                PendingWrite::Rental(name) => {
                    if let Some(rental) = shard.rentals.get_mut(&name) {
                        rental.state = RentalState::Recorded;
                        rental.version = revision;
                    }
                }
                PendingWrite::RemoveRental(name) => {
                    shard.rentals.remove(&name);
                }
                PendingWrite::Log(log) => shard.log_stands(log, revision),
                PendingWrite::Fold(fold) => shard.fold_stands(&fold, revision),
                PendingWrite::LogOver(n) => {
                    shard.claim_log.segments.remove(&n);
                }
                PendingWrite::InventoryShard(n, machines) => {
                    if let Some(inventory_shard) = shard.claim_log.inventory.get_mut(&n) {
                        inventory_shard.version = revision;
                    }
                    for name in machines {
                        let m = shard.machine_index.get(&name).copied();
                        if let Some(machine) = m
                            .and_then(|m| shard.machine_mut(m))
                            .filter(|x| x.inventory_shard == n)
                        {
                            shard.plan_due |= !std::mem::replace(&mut machine.recorded, true);
                        }
                    }
                }
                PendingWrite::Allotment => shard.allotment_version = revision,
                PendingWrite::DocumentPart(kind, name) => {
                    self.shared.documents.part_written(kind, name, revision)
                }
                PendingWrite::RemoveDocumentPart(kind, name) => {
                    self.shared.documents.part_over(kind, &name)
                }
                PendingWrite::Head(kind) => heads.push(kind),
                PendingWrite::Hour(hour, wall) => moved.push((hour, wall)),
                PendingWrite::Catalog => {
                    self.shared.catalog_version = self.shared.catalog_version.max(revision);
                }
            }
        }
        for (hour, wall) in moved {
            self.hour_moved(hour, wall, revision);
        }
        for kind in heads {
            for_kind!(kind, K => self.head_written::<K>(revision));
        }
        for (requester, state) in told {
            self.tell(requester, state);
        }
        for ix in changed {
            self.job_changed(ix);
        }
        self.push_orders();
    }
}

impl Shard {
    /// A log record is in place: its claims may be sent, its results reaped.
    fn log_stands(&mut self, log: Log, revision: u64) {
        let mut segment = Segment {
            version: revision,
            ..Segment::default()
        };
        segment.counts = self.tally.stands(log.number, log.ended, revision);
        for id in log.claims {
            // What has ended meanwhile stands in the record all the same, as in any that is older.
            let Some(claim) = self.claim_mut(&id) else {
                continue;
            };
            let from = std::mem::replace(&mut claim.segment, log.number);
            let first = claim.state == ClaimState::Writing;
            claim.state = ClaimState::Recorded;
            segment.live += 1;
            segment.claims.push(id);
            if first {
                self.push.insert(id.machine);
            } else {
                self.claim_log.ended(from);
            }
        }
        for (ix, tasks, all) in log.done {
            let Some(job) = self.job_mut(ix).filter(|j| j.ending == Ending::No) else {
                continue;
            };
            if all {
                let old = std::mem::take(&mut job.segments);
                job.segments.insert(log.number);
                self.claim_log.results_over(ix, old);
            } else {
                for t in tasks {
                    job.unsaved.remove(&t);
                }
                job.segments.insert(log.number);
            }
            segment.jobs.insert(ix);
        }
        self.claim_log.add_segment(log.number, segment);
    }
}
