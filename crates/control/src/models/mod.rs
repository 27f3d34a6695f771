//! Scale to zero for models: standing jobs that give their machines back while nobody asks for them, and are started
//! again, once, by the first who does.
//!
//! A model's record says whether it is asleep and which generation it is in. Any controller begins the next generation,
//! by one transaction under a guard on the record as it was read ([`crate::models::demand`]); everything else about it is written
//! here, by the leader of the fleet and under the guard of its record too. What is started and stopped follows from the
//! record, by claims and proofs as for any job: so nothing starts that a record does not want, whoever leads the fleet.
//!
//! Without a document nothing is read, watched or written here.

pub(crate) mod demand;
mod idle_watch;
mod record_writes;
mod records;
mod status;
pub(crate) mod wake_up;
mod weights;

use crate::Node;
use crate::documents::{self, Document, Documents, KindId};
use crate::jobs::job::{Ending, JobIndex};
use crate::models::demand::DemandState;
use crate::models::record_writes::RecordWrite;
use crate::state_requests::PageCursor;
use crate::store::shard::Shard;
use document::Fault;
use model::{Rec, Rule, Spec};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use wire::admin::{self, Whole};
use wire::api::{JobSpec, Kind};
use wire::models::Ask;

/// The kind of document.
pub(crate) struct ModelRules;

impl documents::Kind for ModelRules {
    type Content = Spec;
    type Edit = Whole<Spec>;
    type Query = Ask;
    const ID: KindId = KindId::Models;

    fn document(all: &Documents) -> &Document<ModelRules> {
        &all.models
    }
    fn document_mut(all: &mut Documents) -> &mut Document<ModelRules> {
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
    fn apply_edit(
        Whole::Set { spec }: &Whole<Spec>,
        _: &Spec,
        _: &Option<Vec<String>>,
    ) -> Result<Spec, Fault> {
        Ok(spec.clone())
    }
    fn replacement(spec: Spec) -> Whole<Spec> {
        Whole::Set { spec }
    }
    fn answer_query(node: &mut Node, conn: u64, Ask::List {}: Ask) {
        let all = node.list_models();
        node.respond(conn, 200, admin::encode(&all), None);
    }
    fn version_activated(node: &mut Node) {
        node.models_in_force();
    }
}

/// A record as it was read or written, and its stamp.
#[derive(Debug, Clone, Default)]
pub(crate) struct VersionedRecord {
    pub record: Rec,
    pub stamp: u64,
}

#[derive(Default)]
pub(crate) struct Models {
    /// The document that is in force.
    spec: Option<Arc<Spec>>,
    /// Demand as this node hears of it.
    pub demand: DemandState,
    leader_state: LeaderState,
}

/// What the leader of the fleet knows of all models.
#[derive(Default)]
struct LeaderState {
    /// The term that it is of.
    term: u64,
    read: ReadState,
    cursor: PageCursor,
    records: HashMap<String, VersionedRecord>,
    /// Models to be looked at: those that are not asleep, and those that changed.
    to_check: BTreeSet<String>,
    checked_at: u64,
    /// Transactions that are out, by model.
    writes: HashMap<String, RecordWrite>,
    /// Machines that are kept for a model, until when.
    retained_machines: BTreeMap<String, (u64, Vec<String>)>,
    revision: u64,
    watching: bool,
    next_watch_at: u64,
    /// Models whose record goes, their jobs being over.
    ended_models: BTreeSet<String>,
}

#[derive(Clone, Copy, PartialEq, Eq, Default)]
enum ReadState {
    #[default]
    NotRead,
    InProgress,
    Complete,
}

impl Models {
    /// The rule of a job, if it is a model.
    pub fn rule(&self, spec: &JobSpec) -> Option<Rule> {
        let document = self.spec.as_ref().filter(|_| spec.kind == Kind::Service)?;
        document
            .rule(&model::Job {
                id: &spec.id,
                class: &spec.class,
                team: &spec.team,
            })
            .cloned()
    }

    /// Whether any rule is in force: without one, no job is a model.
    pub fn in_force(&self) -> bool {
        self.spec.is_some()
    }

    /// What the leader of the fleet knows of a model, if it has read all.
    pub fn known(&self, model: &str) -> Option<VersionedRecord> {
        (self.leader_state.read == ReadState::Complete).then(|| {
            self.leader_state
                .records
                .get(model)
                .cloned()
                .unwrap_or_default()
        })
    }

    fn mark_due(&mut self, model: &str) {
        self.leader_state.to_check.insert(model.to_owned());
    }
}

impl Node {
    /// Another document is in force, or none any more.
    fn models_in_force(&mut self) {
        let spec = self
            .shared
            .documents
            .models
            .active
            .as_ref()
            .map(|active| active.built.clone());
        let spec = spec.filter(|s| !s.rules.is_empty());
        let is_unchanged = match (&self.models.spec, &spec) {
            (Some(old), Some(new)) => Arc::ptr_eq(old, new),
            (old, new) => old.is_none() && new.is_none(),
        };
        if is_unchanged {
            return;
        }
        self.models.spec = spec;
        self.models.demand.forget_cached();
        if !self.models.in_force() {
            self.models.leader_state = LeaderState::default();
        }
        self.bind_models();
    }

    /// Which jobs are models, after all of them or the document may have changed.
    fn bind_models(&mut self) {
        let Some(shard) = &self.shard else { return };
        let all: Vec<JobIndex> = (0..shard.jobs.slots())
            .filter(|ix| shard.job(*ix).is_some())
            .collect();
        for ix in all {
            self.bind_model(ix);
        }
        let Some(shard) = &self.shard else { return };
        let leader_state = &mut self.models.leader_state;
        let without_job = leader_state
            .records
            .keys()
            .filter(|model| !shard.jobs.contains(model));
        leader_state
            .ended_models
            .extend(without_job.cloned().collect::<Vec<_>>());
    }

    /// A job has come to the leader's memory, or may have become a model.
    pub(crate) fn bind_model(&mut self, ix: JobIndex) {
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
            shard.plan_triggers.request();
            return;
        };
        let known = self.models.known(&id);
        let replicas = known
            .as_ref()
            .map_or(0, |known| known.record.replicas(&rule, job.tasks));
        set_replicas(shard, ix, replicas);
        if let Some(known) = known {
            self.models.mark_due(&id);
            self.restore_weights(ix, &known.record);
            self.retain_machines(&id, &rule, &known.record);
        }
    }

    /// Something about a job has changed; it matters here only if that is a model.
    pub(crate) fn model_changed(&mut self, ix: JobIndex) {
        let Some(job) = self.shard.as_ref().and_then(|shard| shard.job(ix)) else {
            return;
        };
        if job.replicas.is_none() {
            return;
        }
        let id = job.id.clone();
        if matches!(job.ending, Ending::Recorded(_)) {
            self.models.leader_state.ended_models.insert(id);
        } else {
            self.models.mark_due(&id);
        }
    }
}

fn set_replicas(shard: &mut Shard, ix: JobIndex, replicas: u32) {
    if shard
        .job(ix)
        .is_some_and(|job| job.replicas != Some(replicas))
    {
        if let Some(job) = shard.job_mut(ix) {
            job.replicas = Some(replicas);
        }
        shard.plan_triggers.request();
    }
}
