//! Weights of models: which machines hold them, and which machines are retained while a model is asleep.

use crate::Node;
use crate::jobs::job::{Job, JobIndex};
use crate::store::shard::Shard;
use model::{MAX_WEIGHT_HOLDERS, Phase, Rec, Rule};
use std::collections::{BTreeSet, HashMap};

/// The most models that machines are retained for at a time.
const MAX_RETAINED_MACHINES: usize = 256;

impl Node {
    /// Takes from the record which machines hold a model's weights, for a leader that has not seen this itself.
    pub(super) fn restore_weights(&mut self, job_index: JobIndex, record: &Rec) {
        let caches: HashMap<String, f64> = self
            .catalog()
            .map(|catalog| {
                catalog
                    .types
                    .iter()
                    .map(|t| (t.name.clone(), t.cache_gb))
                    .collect()
            })
            .unwrap_or_default();
        let Some(shard) = &mut self.shard else { return };
        let Some(spec) = shard.job(job_index).and_then(|job| job.spec.as_deref()) else {
            return;
        };
        let (image, image_gb) = (spec.image.clone(), spec.image_gb);
        let image = shard.images.get(&image);
        for name in record.near.iter().take(MAX_WEIGHT_HOLDERS) {
            let Some(machine_index) = shard.machines.index_of(name) else {
                continue;
            };
            let Some(machine) = shard.machine_mut(machine_index) else {
                continue;
            };
            let cache_gb = caches.get(&machine.machine_type).copied().unwrap_or(0.0);
            let held_gb: f64 = machine.images.iter().map(|(_, gb)| gb).sum();
            // Images that the machine was seen to fetch are more recent than the record, which is a hint only.
            if held_gb + image_gb <= cache_gb && machine.images.iter().all(|(i, _)| *i != image) {
                machine.images.insert(0, (image, image_gb));
            }
        }
    }

    /// Retains machines with the weights of a model that is asleep, for as long as the rule says.
    pub(super) fn retain_machines(&mut self, model: &str, rule: &Rule, record: &Rec) {
        let until_ms = record
            .since_ms
            .saturating_add((rule.keep_s * 1000.0) as u64);
        let should_retain =
            record.phase == Phase::Asleep && !record.near.is_empty() && until_ms > self.now.wall;
        if should_retain && self.models.leader_state.retained_machines.len() < MAX_RETAINED_MACHINES
        {
            self.models
                .leader_state
                .retained_machines
                .insert(model.to_owned(), (until_ms, record.near.clone()));
        }
    }

    /// Machines that are retained for the weights that they hold, one for each model.
    pub(crate) fn machines_retained_for_models(&self) -> Vec<usize> {
        let Some(shard) = &self.shard else {
            return Vec::new();
        };
        let leader_state = &self.models.leader_state;
        let first_known =
            |names: &Vec<String>| names.iter().find_map(|n| shard.machines.index_of(n));
        leader_state
            .retained_machines
            .values()
            .filter_map(|(_, names)| first_known(names))
            .collect()
    }
}

/// Machines with replicas of a model, which therefore hold its weights.
pub(super) fn machines_with_weights(shard: &Shard, job: &Job) -> Vec<String> {
    let machines: BTreeSet<usize> = job.claimed.values().flatten().map(|(m, _)| *m).collect();
    machines
        .into_iter()
        .filter_map(|m| shard.machine(m))
        .map(|m| m.name.clone())
        .take(MAX_WEIGHT_HOLDERS)
        .collect()
}
