//! The status of models: of one model for whoever requests it, or of all models on the leader.

use crate::Node;
use model::{DemandDecision, Phase, Rec, decide_demand};
use wire::api::JobSpec;
use wire::models::{ModelStatus, Standing};

impl Node {
    /// The status of a model, given the result of a request for it.
    pub(crate) fn model_status(
        &self,
        spec: &JobSpec,
        record: &Rec,
        decision: &DemandDecision,
    ) -> ModelStatus {
        let (why, not_before_ms) = match decision {
            DemandDecision::NotNow { why, until_ms } => (Some(why.clone()), Some(*until_ms)),
            _ => (None, None),
        };
        let types = self
            .catalog()
            .map(|c| c.types.as_slice())
            .unwrap_or_default();
        let lead_s = types
            .iter()
            .filter(|t| {
                spec.types
                    .as_ref()
                    .is_none_or(|names| names.contains(&t.name))
            })
            .map(|t| t.boot_s + spec.image_gb / t.fetch_gb_per_s.max(0.01))
            .reduce(f64::min);
        let due_ms = lead_s
            .map(|s| record.since_ms + (s * 1000.0) as u64)
            .filter(|_| record.phase == Phase::Waking);
        ModelStatus {
            model: spec.id.clone(),
            phase: record.phase,
            generation: record.generation,
            since_ms: record.since_ms,
            due_ms,
            why,
            not_before_ms,
        }
    }

    /// All models, as the leader sees them.
    pub(crate) fn list_models(&self) -> Vec<Standing> {
        let Some(shard) = &self.shard else {
            return Vec::new();
        };
        let mut models = Vec::new();
        for job in shard
            .jobs
            .iter()
            .flatten()
            .filter(|job| job.replicas.is_some())
        {
            let Some(spec) = job.spec.as_ref().filter(|_| !job.is_ending()) else {
                continue;
            };
            let Some(rule) = self.models.rule(spec) else {
                continue;
            };
            let known = self.models.known(&job.id).unwrap_or_default();
            let decision = decide_demand(&known.record, &rule, job.tasks, "", self.now.wall);
            let view = self.owner_view(job);
            models.push(Standing {
                told: self.model_status(spec, &known.record, &decision),
                rule: rule.name,
                class: spec.class.clone(),
                team: spec.team.clone(),
                wanted: job.replicas.unwrap_or(0),
                claimed: view.claimed,
                running: view.running,
                by: known.record.by,
                near: known.record.near,
                quiet_ms: view.quiet_ms,
            });
        }
        models.sort_by(|a, b| a.told.model.cmp(&b.told.model));
        models
    }
}
