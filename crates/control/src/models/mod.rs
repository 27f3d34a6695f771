//! Models: standing jobs that give their machines back while nobody asks for them, and come back once.
//!
//! A model's record says whether it is asleep and which generation it is in. Any controller begins the next generation,
//! by one transaction under a guard on the record as it was read ([`crate::models::demand`]); everything else about it is written
//! here, by the leader of the fleet and under the guard of its record too. What is started and stopped follows from the
//! record, by claims and proofs as for any job: so nothing starts that a record does not want, whoever leads the fleet.
//!
//! Without a document nothing is read, watched or written here.

pub(crate) mod demand;

use crate::documents::{self, Doc, Documents, KindId};
use crate::jobs::job::{Ending, Job, JobIndex};
use crate::leadership::election::SHARD;
use crate::models::demand::Wakes;
use crate::scheduling::planning::grace;
use crate::store::recovery::Load;
use crate::store::shard::Shard;
use crate::{Destination, Node, Pending};
use document::Fault;
use model::{Asked, MAX_NEAR, Phase, Rec, Rule, Seen, Spec, asked};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use wire::admin::{self, Whole};
use wire::api::{Changes, Condition, Item, JobSpec, Kind, Range, Revision, Transaction, Write};
use wire::http::Response;
use wire::models::{Ask, ModelStatus, Standing};
use wire::records::{self, Record};

/// Models that are up, or on their way, are looked at this often.
const LOOK_MS: u64 = 250;
const TIMEOUT_MS: u64 = 1500;
/// The leader's transactions for models that are out at once; the rest wait for the next look.
const MOST_OUT: usize = 32;
/// Machines that are kept for their weights at once.
const MOST_KEPT: usize = 256;
/// Records that are read after a failover, a page each.
const PAGE: usize = 500;

/// The kind of document.
pub(crate) struct Listed;

impl documents::Kind for Listed {
    type Content = Spec;
    type Edit = Whole<Spec>;
    type Ask = Ask;
    const ID: KindId = KindId::Models;

    fn doc(all: &Documents) -> &Doc<Listed> {
        &all.models
    }
    fn doc_mut(all: &mut Documents) -> &mut Doc<Listed> {
        &mut all.models
    }
    fn context(node: &Node) -> Option<Vec<String>> {
        Some(
            node.settings
                .cluster
                .teams
                .iter()
                .map(|t| t.name.clone())
                .collect(),
        )
    }
    fn edited(
        Whole::Set { spec }: &Whole<Spec>,
        _: &Spec,
        _: &Option<Vec<String>>,
    ) -> Result<Spec, Fault> {
        Ok(spec.clone())
    }
    fn set(spec: Spec) -> Whole<Spec> {
        Whole::Set { spec }
    }
    fn asked(node: &mut Node, conn: u64, Ask::List {}: Ask) {
        let all = node.models_standing();
        node.respond(conn, 200, admin::encode(&all), None);
    }
    fn in_force(node: &mut Node) {
        node.models_in_force();
    }
}

/// A record as it was read or written, and its stamp.
#[derive(Debug, Clone, Default)]
pub(crate) struct Known {
    pub rec: Rec,
    pub stamp: u64,
}

#[derive(Default)]
pub(crate) struct Models {
    /// The document that is in force.
    spec: Option<Arc<Spec>>,
    /// Demand as this node hears of it.
    pub wakes: Wakes,
    owned: Owned,
}

/// What the leader of the fleet knows of all models.
#[derive(Default)]
struct Owned {
    /// The term that it is of.
    term: u64,
    read: Read,
    after: Option<String>,
    recs: HashMap<String, Known>,
    /// Models to be looked at: those that are not asleep, and those that changed.
    due: BTreeSet<String>,
    looked_at: u64,
    /// Transactions that are out, by model.
    out: HashMap<String, Out>,
    /// Machines that are kept for a model, until when.
    kept: BTreeMap<String, (u64, Vec<String>)>,
    revision: u64,
    watching: bool,
    watch_at: u64,
    /// Models whose record goes, their jobs being over.
    over: BTreeSet<String>,
}

#[derive(Clone, Copy, PartialEq, Eq, Default)]
enum Read {
    #[default]
    Not,
    Asked,
    All,
}

/// A transaction of the leader's: what it writes, or that it takes the record away; and when it is sent again.
struct Out {
    rec: Option<Rec>,
    busy: bool,
    retry_at: u64,
    body: Vec<u8>,
    /// A try was not answered: what stands there has to be read before anything else is written.
    outcome_unknown: bool,
}

impl Models {
    /// The rule of a job, if it is a model.
    pub fn rule(&self, spec: &JobSpec) -> Option<Rule> {
        let doc = self.spec.as_ref().filter(|_| spec.kind == Kind::Service)?;
        doc.rule(&model::Job {
            id: &spec.id,
            class: &spec.class,
            team: &spec.team,
        })
        .cloned()
    }

    pub fn in_force(&self) -> bool {
        self.spec.is_some()
    }

    /// What the leader of the fleet knows of a model, if it has read all.
    pub fn known(&self, model: &str) -> Option<Known> {
        (self.owned.read == Read::All)
            .then(|| self.owned.recs.get(model).cloned().unwrap_or_default())
    }

    fn is_due(&mut self, model: &str) {
        self.owned.due.insert(model.to_owned());
    }
}

impl Node {
    /// Another document is in force, or none any more.
    fn models_in_force(&mut self) {
        let spec = self
            .shared
            .documents
            .models
            .good
            .as_ref()
            .map(|g| g.built.clone());
        let spec = spec.filter(|s| !s.rules.is_empty());
        let same = match (&self.models.spec, &spec) {
            (Some(old), Some(new)) => Arc::ptr_eq(old, new),
            (old, new) => old.is_none() && new.is_none(),
        };
        if same {
            return;
        }
        self.models.spec = spec;
        self.models.wakes.forget_told();
        if !self.models.in_force() {
            self.models.owned = Owned::default();
        }
        self.sort_models();
    }

    /// Whether a leader that takes over has to read records before its first start. If so they are read, and the load
    /// goes on after that.
    pub(crate) fn models_to_read(&mut self) -> bool {
        self.models_in_force();
        if !self.models.in_force() {
            return false;
        }
        let term = self.term;
        if self.models.owned.term != term {
            self.models.owned = Owned {
                term,
                ..Owned::default()
            };
        }
        if self.models.owned.read == Read::Not {
            self.read_models();
        }
        self.models.owned.read != Read::All
    }

    pub(crate) fn read_models(&mut self) {
        let owned = &mut self.models.owned;
        owned.read = Read::Asked;
        let mut path = format!("/keys?under={}&limit={PAGE}", records::MODELS);
        if let Some(after) = &owned.after {
            path.push_str(&format!("&from={after}"));
        }
        self.send(
            Destination::State,
            "GET",
            path,
            Vec::new(),
            3000,
            Pending::Models { term: self.term },
        );
    }

    pub(crate) fn models_received(&mut self, response: Option<Response>) {
        let page = response.filter(|r| r.status == 200);
        let page = page.and_then(|r| self.read::<Range<Rec>>("state service", &r));
        let Some(page) = page else {
            return self.load_later(Load::Models);
        };
        let owned = &mut self.models.owned;
        if owned.after.is_none() {
            owned.revision = page.revision;
        }
        owned.after = page.items.last().map(|i| i.key.clone());
        let more = page.more && !page.items.is_empty();
        for Item {
            key,
            value,
            version,
        } in page.items
        {
            if let Some(model) = key.strip_prefix(records::MODELS) {
                owned.recs.insert(
                    model.to_owned(),
                    Known {
                        rec: value,
                        stamp: version,
                    },
                );
            }
        }
        if more {
            return self.read_models();
        }
        let owned = &mut self.models.owned;
        (owned.read, owned.after) = (Read::All, None);
        self.sort_models();
        if self.shard.as_ref().is_some_and(|p| !p.loaded) {
            self.load_ended();
        }
    }

    /// Which jobs are models, after all of them or the document may have changed.
    fn sort_models(&mut self) {
        let Some(shard) = &self.shard else { return };
        let all: Vec<JobIndex> = (0..shard.jobs.len())
            .filter(|ix| shard.jobs[*ix].is_some())
            .collect();
        for ix in all {
            self.model_received(ix);
        }
        let Some(shard) = &self.shard else { return };
        let owned = &mut self.models.owned;
        let gone = owned
            .recs
            .keys()
            .filter(|m| !shard.job_index.contains_key(*m));
        owned.over.extend(gone.cloned().collect::<Vec<_>>());
    }

    /// A job has come to the leader's memory, or may have become a model.
    pub(crate) fn model_received(&mut self, ix: JobIndex) {
        let Some(shard) = &mut self.shard else { return };
        let Some(job) = shard.job(ix) else { return };
        let rule = job.spec.as_ref().and_then(|spec| self.models.rule(spec));
        if rule.is_none() && job.replicas.is_none() {
            return;
        }
        let id = job.id.clone();
        let Some(rule) = rule else {
            if let Some(job) = shard.job_mut(ix) {
                job.replicas = None;
            }
            shard.plan_due = true;
            return;
        };
        let known = self.models.known(&id);
        let replicas = known
            .as_ref()
            .map_or(0, |k| k.rec.replicas(&rule, job.tasks));
        set_replicas(shard, ix, replicas);
        if let Some(known) = known {
            self.models.is_due(&id);
            self.near_weights(ix, &known.rec);
            self.keep_weights(&id, &rule, &known.rec);
        }
    }

    /// Something about a job has changed; it matters here only if that is a model.
    pub(crate) fn model_changed(&mut self, ix: JobIndex) {
        let Some(job) = self.shard.as_ref().and_then(|p| p.job(ix)) else {
            return;
        };
        if job.replicas.is_none() {
            return;
        }
        let id = job.id.clone();
        if matches!(job.ending, Ending::Recorded(_)) {
            self.models.owned.over.insert(id);
        } else {
            self.models.is_due(&id);
        }
    }

    /// What the record says of machines with the weights, for a leader that has not seen that itself.
    fn near_weights(&mut self, ix: JobIndex, rec: &Rec) {
        let caches: HashMap<String, f64> = self
            .catalog()
            .map(|c| {
                c.types
                    .iter()
                    .map(|t| (t.name.clone(), t.cache_gb))
                    .collect()
            })
            .unwrap_or_default();
        let Some(shard) = &mut self.shard else { return };
        let Some(spec) = shard.job(ix).and_then(|j| j.spec.as_deref()) else {
            return;
        };
        let (image, gb) = (spec.image.clone(), spec.image_gb);
        let image = shard.images.get(&image);
        for name in rec.near.iter().take(MAX_NEAR) {
            let Some(m) = shard.machine_index.get(name).copied() else {
                continue;
            };
            let Some(machine) = shard.machine_mut(m) else {
                continue;
            };
            let cache = caches.get(&machine.machine_type).copied().unwrap_or(0.0);
            let held: f64 = machine.images.iter().map(|(_, gb)| gb).sum();
            // What a machine was seen to fetch is newer than the hint.
            if held + gb <= cache && machine.images.iter().all(|(i, _)| *i != image) {
                machine.images.insert(0, (image, gb));
            }
        }
    }

    /// Where the document says so, a machine with the weights of a model that sleeps is kept for a while.
    fn keep_weights(&mut self, model: &str, rule: &Rule, rec: &Rec) {
        let until = rec.since_ms.saturating_add((rule.keep_s * 1000.0) as u64);
        let asleep = rec.phase == Phase::Asleep && !rec.near.is_empty() && until > self.now.wall;
        if asleep && self.models.owned.kept.len() < MOST_KEPT {
            self.models
                .owned
                .kept
                .insert(model.to_owned(), (until, rec.near.clone()));
        }
    }

    /// The leader has read or written a record: what may run follows it.
    pub(crate) fn model_stands(&mut self, model: &str, known: Known) {
        let owned = &mut self.models.owned;
        // A read that comes late changes nothing.
        if owned.recs.get(model).is_some_and(|k| k.stamp > known.stamp) {
            return;
        }
        owned.recs.insert(model.to_owned(), known.clone());
        owned.due.insert(model.to_owned());
        let Some(shard) = &mut self.shard else { return };
        let Some(ix) = shard.job_index.get(model).copied() else {
            return;
        };
        let Some(job) = shard.job(ix) else { return };
        let Some(rule) = job.spec.as_ref().and_then(|spec| self.models.rule(spec)) else {
            return;
        };
        set_replicas(shard, ix, known.rec.replicas(&rule, job.tasks));
    }

    pub(crate) fn models_tick(&mut self) {
        self.wakes_tick();
        if !self.models.in_force() || !self.may_decide() || self.models_to_read() {
            return;
        }
        let now = self.now.mono;
        if !self.models.owned.watching && now >= self.models.owned.watch_at {
            self.watch_models();
        }
        if now < self.models.owned.looked_at + LOOK_MS {
            return;
        }
        self.models.owned.looked_at = now;
        let wall = self.now.wall;
        self.models.owned.kept.retain(|_, (until, _)| *until > wall);
        let due: Vec<String> = std::mem::take(&mut self.models.owned.due)
            .into_iter()
            .collect();
        for model in due {
            if self.look_at_model(&model) {
                self.models.is_due(&model);
            }
        }
        self.take_over_records();
    }

    /// What the leader sees of a model.
    fn seen(&self, job: &Job) -> Seen {
        let now = self.now.mono;
        let since = self.shard.as_ref().map_or(0, |p| p.since);
        let heard = self.models.wakes.heard(&job.id).max(since);
        let near = self
            .shard
            .as_ref()
            .map(|p| machines_near(p, job))
            .unwrap_or_default();
        Seen {
            claimed: job.claimed.len() as u32,
            running: job.running,
            quiet_ms: now.saturating_sub(heard),
            near,
        }
    }

    /// Writes what follows for a model, and stops what is no longer wanted. True if it is to be looked at again.
    fn look_at_model(&mut self, model: &str) -> bool {
        if let Some(out) = self.models.owned.out.get(model) {
            if !out.busy && out.retry_at <= self.now.mono {
                self.send_model(model);
            }
            return true;
        }
        let Some(shard) = &self.shard else {
            return false;
        };
        let Some(ix) = shard.job_index.get(model).copied() else {
            return false;
        };
        let Some(job) = shard.job(ix).filter(|j| j.ending == Ending::No) else {
            return false;
        };
        let Some(spec) = job.spec.as_ref() else {
            return false;
        };
        let Some(rule) = self.models.rule(spec) else {
            return false;
        };
        let known = self.models.known(model).unwrap_or_default();
        let seen = self.seen(job);
        let node = self.settings.node.clone();
        let (wall, tasks, version) = (self.now.wall, job.tasks, job.version);
        let first = known.stamp == 0 && (rule.begin == model::Begin::Awake || seen.claimed > 0);
        let missed =
            known.stamp > 0 && !known.rec.is_up() && self.asked_since(model, known.rec.since_ms);
        let next = if first || missed {
            match asked(&known.rec, &rule, tasks, &node, wall) {
                Asked::Wake(rec) => Some(*rec),
                _ => known.rec.next(&rule, tasks, &node, wall, &seen),
            }
        } else {
            known.rec.next(&rule, tasks, &node, wall, &seen)
        };
        if known.stamp > 0 && !known.rec.is_up() {
            self.stop_replicas(ix, known.rec.replicas(&rule, tasks));
        }
        let Some(rec) = next else {
            return known.rec.phase != Phase::Asleep || seen.claimed > 0;
        };
        if self.models.owned.out.len() >= MOST_OUT {
            return true;
        }
        self.keep_weights(model, &rule, &rec);
        self.write_model(model, Some(rec), known.stamp, Some(version));
        true
    }

    /// Whether somebody has asked for it here after it was put to sleep: what had been decided before that came late.
    fn asked_since(&self, model: &str, since_ms: u64) -> bool {
        let heard = self.models.wakes.heard(model);
        heard > 0
            && self
                .now
                .wall
                .saturating_sub(self.now.mono.saturating_sub(heard))
                > since_ms
    }

    /// Stops all replicas but the first few.
    fn stop_replicas(&mut self, ix: JobIndex, stay: u32) {
        let Some(shard) = &mut self.shard else { return };
        let Some(job) = shard.job(ix) else { return };
        let grace = job.spec.as_deref().map_or(0.0, grace);
        let mut tasks: Vec<u32> = job.claimed.keys().copied().collect();
        tasks.sort_unstable();
        let over: BTreeSet<u32> = tasks.into_iter().skip(stay as usize).collect();
        let on = job
            .claimed
            .iter()
            .filter(|(t, _)| over.contains(t))
            .flat_map(|(_, c)| c);
        let machines: BTreeSet<usize> = on.map(|(m, _)| *m).collect();
        for m in machines {
            let Some(machine) = shard.machine_mut(m) else {
                continue;
            };
            let mut news = false;
            for claim in machine
                .claims
                .iter_mut()
                .filter(|c| c.job == ix && over.contains(&c.task))
            {
                news |= claim.stop.is_none();
                claim.stop.get_or_insert(grace);
            }
            if news {
                shard.push.insert(m);
            }
        }
    }

    /// One transaction of the leader's about a model: under the guard of its own record, of the model's record as it was
    /// known, and of the job, which must not have ended.
    fn write_model(&mut self, model: &str, rec: Option<Rec>, stamp: u64, job: Option<u64>) {
        let Some(shard) = &self.shard else { return };
        let key = records::model_key(model);
        let mut guards = vec![
            Condition {
                key: records::leader_key(SHARD),
                version: shard.leader_version,
            },
            Condition {
                key: key.clone(),
                version: stamp,
            },
        ];
        guards.extend(job.map(|version| Condition {
            key: records::live_key(model),
            version,
        }));
        let write = match &rec {
            Some(rec) => Write::put(key, Record::Model(rec.clone())),
            None => Write::Remove { key },
        };
        let body = wire::encode(&Transaction {
            conditions: guards,
            writes: vec![write],
        });
        let out = Out {
            rec,
            busy: false,
            retry_at: 0,
            body,
            outcome_unknown: false,
        };
        self.models.owned.out.insert(model.to_owned(), out);
        self.send_model(model);
    }

    fn send_model(&mut self, model: &str) {
        let now = self.now.mono;
        if self.requests.level(now) < 1.0 || self.writes.level(now) < 1.0 {
            return;
        }
        let term = self.term;
        let Some(out) = self.models.owned.out.get_mut(model) else {
            return;
        };
        out.busy = true;
        let what = Pending::ModelWrite {
            term,
            model: model.to_owned(),
        };
        if out.outcome_unknown {
            let path = format!("/keys/{}", records::model_key(model));
            return self.send(
                Destination::State,
                "GET",
                path,
                Vec::new(),
                TIMEOUT_MS,
                what,
            );
        }
        let body = out.body.clone();
        self.writes.take(now, 1.0);
        self.send(
            Destination::State,
            "POST",
            "/txn".into(),
            body,
            TIMEOUT_MS,
            what,
        );
    }

    /// The end of a transaction, or of the read that follows one whose end is not known.
    pub(crate) fn model_written(&mut self, model: String, response: Option<Response>) {
        let now = self.now.mono;
        let wait = self.rng.u64(100..400);
        let status = response.as_ref().map(|r| r.status);
        let Some(out) = self.models.owned.out.get_mut(&model) else {
            return;
        };
        out.busy = false;
        out.retry_at = now + wait;
        match (out.outcome_unknown, status) {
            (false, Some(200)) => {
                let revision = response.and_then(|r| wire::decode::<Revision>(&r.body).ok());
                let Some(Revision { revision }) = revision else {
                    out.outcome_unknown = true;
                    return;
                };
                let rec = out.rec.clone();
                self.models.owned.out.remove(&model);
                match rec {
                    Some(rec) => {
                        log::info!(
                            "model {model}: {:?}, generation {}",
                            rec.phase,
                            rec.generation
                        );
                        self.model_stands(
                            &model,
                            Known {
                                rec,
                                stamp: revision,
                            },
                        );
                    }
                    None => self.record_gone(&model),
                }
            }
            // Another node has written it meanwhile, or the job has ended: what stands there is read.
            (false, Some(429 | 503)) => {}
            (false, _) => out.outcome_unknown = true,
            (true, Some(200)) => {
                let item = response.and_then(|r| wire::decode::<Item<Rec>>(&r.body).ok());
                let Some(item) = item else { return };
                self.models.owned.out.remove(&model);
                self.model_stands(
                    &model,
                    Known {
                        rec: item.value,
                        stamp: item.version,
                    },
                );
            }
            (true, Some(404)) => {
                self.models.owned.out.remove(&model);
                self.record_gone(&model);
            }
            (true, _) => {}
        }
        self.models.is_due(&model);
    }

    fn record_gone(&mut self, model: &str) {
        self.models.owned.recs.remove(model);
        self.models.owned.kept.remove(model);
        self.models.wakes.forget(model);
    }

    /// Records of jobs that are over go, one at a time.
    fn take_over_records(&mut self) {
        let Some(shard) = &self.shard else { return };
        let owned = &mut self.models.owned;
        let Some(model) = owned.over.pop_first() else {
            return;
        };
        let open = shard
            .job_index
            .get(&model)
            .and_then(|ix| shard.job(*ix))
            .is_some_and(|j| !j.is_over());
        let Some(stamp) = owned.recs.get(&model).map(|k| k.stamp).filter(|_| !open) else {
            return;
        };
        if owned.out.contains_key(&model) {
            owned.over.insert(model);
            return;
        }
        // Only of a job that is over: one that was accepted a moment ago may be unknown here.
        self.write_model(&model, None, stamp, Some(0));
    }

    fn watch_models(&mut self) {
        let term = self.term;
        self.models.owned.watching = true;
        let from = self.models.owned.revision;
        let path = format!("/changes?under={}&from={from}&waitMs=5000", records::MODELS);
        self.send(
            Destination::State,
            "GET",
            path,
            Vec::new(),
            7000,
            Pending::ModelWatch { term },
        );
    }

    pub(crate) fn models_watched(&mut self, response: Option<Response>) {
        let retry = self.now.mono + self.rng.u64(100..400);
        let owned = &mut self.models.owned;
        owned.watching = false;
        owned.watch_at = retry;
        let Some(response) = response else { return };
        if response.status == 410 {
            // Too much was missed: all of them again.
            (owned.read, owned.after) = (Read::Not, None);
            return;
        }
        if response.status != 200 {
            return;
        }
        let Some(changes) = self.read::<Changes<Rec>>("state service", &response) else {
            return;
        };
        let owned = &mut self.models.owned;
        owned.watch_at = 0;
        owned.revision = owned.revision.max(changes.revision);
        for change in changes.events {
            let key = change
                .put
                .as_deref()
                .or(change.remove.as_deref())
                .unwrap_or_default();
            let Some(model) = key.strip_prefix(records::MODELS).map(str::to_owned) else {
                continue;
            };
            let stamp = change.version;
            match change.value {
                Some(rec) => self.model_stands(&model, Known { rec, stamp }),
                None => self
                    .models
                    .owned
                    .recs
                    .retain(|m, k| *m != model || k.stamp > stamp),
            }
        }
    }

    /// Machines that are kept for the weights that they hold: one a model.
    pub(crate) fn kept_for_models(&self) -> Vec<usize> {
        let Some(shard) = &self.shard else {
            return Vec::new();
        };
        let owned = &self.models.owned;
        let first = |names: &Vec<String>| {
            names
                .iter()
                .find_map(|n| shard.machine_index.get(n).copied())
        };
        owned
            .kept
            .values()
            .filter_map(|(_, names)| first(names))
            .collect()
    }

    /// How a model stands for whoever asks.
    pub(crate) fn model_told(&self, spec: &JobSpec, rec: &Rec, asked: &Asked) -> ModelStatus {
        let (why, until) = match asked {
            Asked::NotNow { why, until_ms } => (Some(why.clone()), Some(*until_ms)),
            _ => (None, None),
        };
        let types = self
            .catalog()
            .map(|c| c.types.as_slice())
            .unwrap_or_default();
        let lead = types
            .iter()
            .filter(|t| {
                spec.types
                    .as_ref()
                    .is_none_or(|names| names.contains(&t.name))
            })
            .map(|t| t.boot_s + spec.image_gb / t.fetch_gb_per_s.max(0.01))
            .reduce(f64::min);
        let due = lead
            .map(|s| rec.since_ms + (s * 1000.0) as u64)
            .filter(|_| rec.phase == Phase::Waking);
        ModelStatus {
            model: spec.id.clone(),
            phase: rec.phase,
            generation: rec.generation,
            since_ms: rec.since_ms,
            due_ms: due,
            why,
            not_before_ms: until,
        }
    }

    /// All models, as their leader sees them.
    pub(crate) fn models_standing(&self) -> Vec<Standing> {
        let Some(shard) = &self.shard else {
            return Vec::new();
        };
        let mut out = Vec::new();
        for job in shard.jobs.iter().flatten().filter(|j| j.replicas.is_some()) {
            let Some(spec) = job.spec.as_ref().filter(|_| !job.is_ending()) else {
                continue;
            };
            let Some(rule) = self.models.rule(spec) else {
                continue;
            };
            let known = self.models.known(&job.id).unwrap_or_default();
            let asked = asked(&known.rec, &rule, job.tasks, "", self.now.wall);
            let seen = self.seen(job);
            out.push(Standing {
                told: self.model_told(spec, &known.rec, &asked),
                rule: rule.name,
                class: spec.class.clone(),
                team: spec.team.clone(),
                wanted: job.replicas.unwrap_or(0),
                claimed: seen.claimed,
                running: seen.running,
                by: known.rec.by,
                near: known.rec.near,
                quiet_ms: seen.quiet_ms,
            });
        }
        out.sort_by(|a, b| a.told.model.cmp(&b.told.model));
        out
    }
}

fn set_replicas(shard: &mut Shard, ix: JobIndex, replicas: u32) {
    if shard.job(ix).is_some_and(|j| j.replicas != Some(replicas)) {
        if let Some(job) = shard.job_mut(ix) {
            job.replicas = Some(replicas);
        }
        shard.plan_due = true;
    }
}

/// Machines on which replicas of a model are, and so its weights.
fn machines_near(shard: &Shard, job: &Job) -> Vec<String> {
    let on: BTreeSet<usize> = job.claimed.values().flatten().map(|(m, _)| *m).collect();
    on.into_iter()
        .filter_map(|m| shard.machine(m))
        .map(|m| m.name.clone())
        .take(MAX_NEAR)
        .collect()
}
