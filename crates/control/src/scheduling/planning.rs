//! Decides when a plan is due and for which jobs, makes it, and applies its decisions in order.

use super::plan_input::{PlanIndex, Scope};
use crate::Node;
use crate::store::shard::Shard;
use std::collections::HashMap;
use wire::api::Catalog;

/// A plan with the input that it was made from.
pub(super) struct Planned {
    pub scope: Scope,
    pub input: plan::Input,
    pub index: PlanIndex,
    pub output: plan::Output,
}

impl Node {
    /// Makes and applies a plan if one is due.
    pub(crate) fn scheduling_tick(&mut self) {
        if !self.may_decide() {
            return;
        }
        let Some(scope) = self.due_scope() else {
            return;
        };
        let Some(catalog) = self.shared.catalog.clone() else {
            return;
        };
        self.plan_pacing.record_plan();
        let planned = self.make_plan(&catalog, scope);
        self.note_planned(&planned);
        self.apply_starts(&planned);
        self.apply_preemptions(&planned);
        self.scale(&planned, &catalog);
    }

    /// The scope of the plan that is due, if any. Marks a full plan as made.
    fn due_scope(&mut self) -> Option<Scope> {
        let now = self.now.mono;
        let interval = self.plan_pacing.interval(self.tuning.every_ms as u64);
        let shard = self.shard.as_mut()?;
        if shard.plan_triggers.is_due(now, interval) {
            shard.plan_triggers.note_plan(now);
            return Some(Scope::All);
        }
        shard
            .plan_triggers
            .urgent
            .is_due(now, &self.plan_pacing)
            .then_some(Scope::Urgent)
    }

    fn make_plan(&mut self, catalog: &Catalog, scope: Scope) -> Planned {
        let (input, index) = self.plan_input(catalog, scope);
        let output = plan::plan(&input);
        Planned {
            scope,
            input,
            index,
            output,
        }
    }

    /// Updates statistics, the log and the state for later plans.
    fn note_planned(&mut self, planned: &Planned) {
        let Planned {
            scope,
            input,
            index,
            output,
        } = planned;
        let stopped_at = output.resume.map(|job| index.jobs[job as usize]);
        if let Some(shard) = &mut self.shard {
            note_urgent(shard, self.now.mono, input, output);
            if *scope == Scope::All {
                shard.plan_triggers.stopped_at = stopped_at;
            }
        }
        self.stats.plans += 1;
        self.stats.plan_steps += output.steps;
        log_plan(input, output);
        if *scope == Scope::All {
            self.hours_planned(input, output, &index.jobs);
        }
    }
}

fn log_plan(input: &plan::Input, output: &plan::Output) {
    let usable = input.machines.iter().filter(|m| m.usable);
    log::debug!(
        "plan: {} jobs, {} machines with {:.0} of {:.0} GPUs free, stretch {:.2}, {} starts, {} waiting, {} steps",
        input.jobs.len(),
        input.machines.len(),
        usable.map(|m| m.free().gpus).sum::<f64>(),
        input.machines.iter().map(|m| m.total.gpus).sum::<f64>(),
        output.stretch,
        output.starts.len(),
        output.waiting.len(),
        output.steps
    );
}

/// Notes whether urgent work still waits, and whether this plan made progress on it.
fn note_urgent(shard: &mut Shard, now: u64, input: &plan::Input, output: &plan::Output) {
    let is_urgent = |job: usize| {
        let job = &input.jobs[job];
        let may_go_first = input.groups.is_empty() || job.guarantee_levels > 0;
        job.priority >= plan::URGENT && job.shape != plan::Shape::Service && may_go_first
    };
    let mut started: HashMap<u32, u32> = HashMap::new();
    for start in &output.starts {
        *started.entry(start.job).or_default() += start.count;
    }
    let waits = |job: usize| {
        let started = started.get(&(job as u32)).copied().unwrap_or(0);
        is_urgent(job) && started < input.jobs[job].pending
    };
    let still_waits = (0..input.jobs.len()).any(waits);
    let has_started = started.keys().any(|job| is_urgent(*job as usize));
    let made_progress = !output.preempts.is_empty() || has_started;
    shard
        .plan_triggers
        .urgent
        .note_plan(now, still_waits, made_progress);
}
