//! Scale to zero for models: services that give their machines back while there is no demand for them, and are started
//! again, once, by the first demand.
//!
//! A model's record says whether the model is asleep, and which generation it is in; each wake-up begins a new one. Any
//! controller may begin the next generation, by a transaction that is guarded by the record as it was read
//! ([`crate::models::demand`]). Everything else about a record is written here, by the leader and guarded by the
//! leader's record as well. What is started and stopped follows from the model's record, by claims that end only on
//! proof, as for any job. So no replica is started that the record does not ask for, whichever node leads.
//!
//! Without a document, nothing is read, watched or written here.

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

/// The rules by which jobs are models, as a kind of document.
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
        node.apply_model_rules();
    }
}

/// A model's record as it was read or written, and its version in the state service.
#[derive(Debug, Clone, Default)]
pub(crate) struct VersionedRecord {
    pub record: Rec,
    pub record_version: u64,
}

#[derive(Default)]
pub(crate) struct Models {
    /// The document in force; `None` also if it has no rules.
    spec: Option<Arc<Spec>>,
    /// Demand that this node has seen.
    pub demand: DemandState,
    leader_state: LeaderState,
}

/// What the leader knows of all models.
#[derive(Default)]
struct LeaderState {
    /// The term of leadership that this belongs to.
    term: u64,
    read: ReadState,
    cursor: PageCursor,
    records: HashMap<String, VersionedRecord>,
    /// Models to be checked: those that are not asleep, and those that have changed.
    to_check: BTreeSet<String>,
    checked_at: u64,
    /// Transactions without a known outcome, by model.
    writes: HashMap<String, RecordWrite>,
    /// Machines that are retained for a model, and until when.
    retained_machines: BTreeMap<String, (u64, Vec<String>)>,
    revision: u64,
    watch_in_flight: bool,
    next_watch_at: u64,
    /// Models whose jobs are over, so that their records have to be removed.
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

    /// The leader's copy of a model's record; `None` until all records were read.
    pub fn known(&self, model: &str) -> Option<VersionedRecord> {
        (self.leader_state.read == ReadState::Complete).then(|| {
            self.leader_state
                .records
                .get(model)
                .cloned()
                .unwrap_or_default()
        })
    }

    fn mark_for_check(&mut self, model: &str) {
        self.leader_state.to_check.insert(model.to_owned());
    }
}

impl Node {
    /// Applies the document in force, if it has changed.
    fn apply_model_rules(&mut self) {
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
        self.update_model_bindings();
    }

    /// Determines again which jobs are models, after the document or the set of jobs may have changed.
    fn update_model_bindings(&mut self) {
        let Some(shard) = &self.shard else { return };
        let all: Vec<JobIndex> = (0..shard.jobs.slots())
            .filter(|job_index| shard.job(*job_index).is_some())
            .collect();
        for job_index in all {
            self.update_model_binding(job_index);
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

    /// Determines whether a job is a model, after the job was loaded or accepted or the rules have changed.
    pub(crate) fn update_model_binding(&mut self, index: JobIndex) {
        let Some(shard) = &mut self.shard else { return };
        let Some(job) = shard.job(index) else { return };
        let rule = job.spec.as_ref().and_then(|spec| self.models.rule(spec));
        if rule.is_none() && job.replicas.is_none() {
            return;
        }
        let id = job.id.clone();
        let Some(rule) = rule else {
            if let Some(job) = shard.job_mut(index) {
                job.replicas = None;
            }
            shard.plan_triggers.request();
            return;
        };
        let known = self.models.known(&id);
        let replicas = known
            .as_ref()
            .map_or(0, |known| known.record.replicas(&rule, job.tasks));
        set_replicas(shard, index, replicas);
        if let Some(known) = known {
            self.models.mark_for_check(&id);
            self.restore_weights(index, &known.record);
            self.retain_machines(&id, &rule, &known.record);
        }
    }

    /// Handles a change of a job, if the job is a model.
    pub(crate) fn model_changed(&mut self, job_index: JobIndex) {
        let Some(job) = self.shard.as_ref().and_then(|shard| shard.job(job_index)) else {
            return;
        };
        if job.replicas.is_none() {
            return;
        }
        let id = job.id.clone();
        if matches!(job.ending, Ending::Recorded(_)) {
            self.models.leader_state.ended_models.insert(id);
        } else {
            self.models.mark_for_check(&id);
        }
    }
}

fn set_replicas(shard: &mut Shard, job_index: JobIndex, replicas: u32) {
    if shard
        .job(job_index)
        .is_some_and(|job| job.replicas != Some(replicas))
    {
        if let Some(job) = shard.job_mut(job_index) {
            job.replicas = Some(replicas);
        }
        shard.plan_triggers.request();
    }
}
