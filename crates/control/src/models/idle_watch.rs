//! The idle watch: the leader checks all models that are up or waking, scales those to zero that there is no demand
//! for, and stops replicas that a record does not ask for.

use crate::Node;
use crate::agents::machine::Machine;
use crate::jobs::job::{Ending, Job, JobIndex};
use crate::models::VersionedRecord;
use crate::models::weights::machines_with_weights;
use crate::scheduling::apply_plan::grace_period_s;
use model::{Begin, DemandDecision, OwnerView, Phase, Rec, Rule, decide_demand};
use std::collections::BTreeSet;

/// Interval between checks of models that are up or waking.
const CHECK_INTERVAL_MS: u64 = 250;
/// The most transactions for models at a time; others wait for the next check.
const MAX_WRITES_IN_FLIGHT: usize = 32;

/// What the leader sees when it checks a model.
struct Observation {
    job_index: JobIndex,
    rule: Rule,
    known: VersionedRecord,
    view: OwnerView,
    tasks: u32,
    job_version: u64,
}

impl Observation {
    /// Whether a record exists and says that the model is not up.
    fn is_asleep(&self) -> bool {
        self.known.record_version > 0 && !self.known.record.is_up()
    }
}

impl Node {
    /// Removes old demand; on the leader, watches the records and checks the models.
    pub(crate) fn models_tick(&mut self) {
        self.demand_tick();
        if !self.models.in_force() || !self.may_decide() || self.needs_model_records() {
            return;
        }
        let now = self.now.mono;
        if !self.models.leader_state.watch_in_flight
            && now >= self.models.leader_state.next_watch_at
        {
            self.watch_models();
        }
        if now < self.models.leader_state.checked_at + CHECK_INTERVAL_MS {
            return;
        }
        self.models.leader_state.checked_at = now;
        self.check_models();
        self.remove_ended_record();
    }

    fn check_models(&mut self) {
        let wall = self.now.wall;
        let leader_state = &mut self.models.leader_state;
        leader_state
            .retained_machines
            .retain(|_, (until, _)| *until > wall);
        for model in std::mem::take(&mut leader_state.to_check) {
            if self.check_model(&model) {
                self.models.mark_for_check(&model);
            }
        }
    }

    /// What the leader sees of a model.
    pub(super) fn owner_view(&self, job: &Job) -> OwnerView {
        let now = self.now.mono;
        let ready_since = self.shard.as_ref().map_or(0, |shard| shard.ready_since);
        let last_demand = self.models.demand.last_demand(&job.id).max(ready_since);
        let near = self
            .shard
            .as_ref()
            .map(|shard| machines_with_weights(shard, job))
            .unwrap_or_default();
        OwnerView {
            claimed: job.claimed.len() as u32,
            running: job.running,
            quiet_ms: now.saturating_sub(last_demand),
            near,
        }
    }

    /// Writes the next record of a model, and stops replicas that are not wanted any more. True if the model has to be
    /// checked again.
    fn check_model(&mut self, model: &str) -> bool {
        if let Some(write) = self.models.leader_state.writes.get(model) {
            if write.is_due(self.now.mono) {
                self.send_record_write(model);
            }
            return true;
        }
        let Some(observation) = self.observe(model) else {
            return false;
        };
        let next = self.next_record(model, &observation);
        let Observation { known, rule, .. } = &observation;
        if observation.is_asleep() {
            self.stop_replicas(
                observation.job_index,
                known.record.replicas(rule, observation.tasks),
            );
        }
        let Some(record) = next else {
            return known.record.phase != Phase::Asleep || observation.view.claimed > 0;
        };
        if self.models.leader_state.writes.len() >= MAX_WRITES_IN_FLIGHT {
            return true;
        }
        self.retain_machines(model, rule, &record);
        self.write_record(
            model,
            Some(record),
            known.record_version,
            Some(observation.job_version),
        );
        true
    }

    /// What the leader sees of a model now; `None` unless a rule matches its job and the job is not ending.
    fn observe(&self, model: &str) -> Option<Observation> {
        let shard = self.shard.as_ref()?;
        let job_index = shard.jobs.index_of(model)?;
        let job = shard
            .job(job_index)
            .filter(|job| job.ending == Ending::Undecided)?;
        let rule = self.models.rule(job.spec.as_ref()?)?;
        Some(Observation {
            job_index,
            rule,
            known: self.models.known(model).unwrap_or_default(),
            view: self.owner_view(job),
            tasks: job.tasks,
            job_version: job.version,
        })
    }

    /// The record that a model should have now, if it differs from the known one.
    fn next_record(&self, model: &str, observation: &Observation) -> Option<Rec> {
        let Observation {
            known,
            rule,
            view,
            tasks,
            ..
        } = observation;
        let (node, wall) = (self.settings.node.as_str(), self.now.wall);
        let is_first =
            known.record_version == 0 && (rule.begin == Begin::Awake || view.claimed > 0);
        let is_wanted_again =
            observation.is_asleep() && self.demanded_since(model, known.record.since_ms);
        if (is_first || is_wanted_again)
            && let DemandDecision::Wake(record) =
                decide_demand(&known.record, rule, *tasks, node, wall)
        {
            return Some(*record);
        }
        known.record.next_record(rule, *tasks, node, wall, view)
    }

    /// Whether this node has seen demand after the model was put to sleep, by a decision that was made before the
    /// demand and recorded late.
    fn demanded_since(&self, model: &str, since_ms: u64) -> bool {
        let last_demand = self.models.demand.last_demand(model);
        last_demand > 0
            && self
                .now
                .wall
                .saturating_sub(self.now.mono.saturating_sub(last_demand))
                > since_ms
    }

    /// Stops all replicas but the first `keep` ones.
    fn stop_replicas(&mut self, index: JobIndex, keep: u32) {
        let Some(shard) = &mut self.shard else { return };
        let Some(job) = shard.job(index) else { return };
        let grace_s = job.spec.as_deref().map_or(0.0, grace_period_s);
        let surplus = surplus_tasks(job, keep);
        let machines: BTreeSet<usize> = job
            .claimed
            .iter()
            .filter(|(task, _)| surplus.contains(task))
            .flat_map(|(_, claims)| claims)
            .map(|(machine, _)| *machine)
            .collect();
        for machine_index in machines {
            let Some(machine) = shard.machine_mut(machine_index) else {
                continue;
            };
            if stop_claims(machine, index, &surplus, grace_s) {
                shard.machines_with_orders.insert(machine_index);
            }
        }
    }
}

/// The tasks with claims, in order, without the first `keep` ones.
fn surplus_tasks(job: &Job, keep: u32) -> BTreeSet<u32> {
    let mut tasks: Vec<u32> = job.claimed.keys().copied().collect();
    tasks.sort_unstable();
    tasks.into_iter().skip(keep as usize).collect()
}

/// Stops a job's claims for some tasks on a machine; true if the machine has to be notified.
fn stop_claims(machine: &mut Machine, job: JobIndex, tasks: &BTreeSet<u32>, grace_s: f64) -> bool {
    let mut is_changed = false;
    let claims = machine.claims.iter_mut();
    for claim in claims.filter(|c| c.job == job && tasks.contains(&c.task)) {
        is_changed |= claim.stop.is_none();
        claim.stop.get_or_insert(grace_s);
    }
    is_changed
}
