//! When a plan is due, for which jobs, and the order in which its decisions are carried out.

use super::plan_input::Scope;
use crate::Node;
use crate::jobs::job::JobIndex;
use crate::store::shard::Shard;
use std::collections::HashMap;

pub(crate) use super::apply_plan::grace;

/// Notes whether urgent work still waits, and whether this plan brought it on.
fn note_urgent(shard: &mut Shard, now: u64, input: &plan::Input, output: &plan::Output) {
    let is_urgent = |job: usize| {
        let job = &input.jobs[job];
        let may_go_first = input.groups.is_empty() || job.held > 0;
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
    let got_on = !output.preempts.is_empty() || started.keys().any(|job| is_urgent(*job as usize));
    shard.urgent.planned(now, still_waits, got_on);
}

impl Node {
    pub(crate) fn sched_tick(&mut self) {
        let now = self.now.mono;
        if !self.may_decide() {
            return;
        }
        let every = self.plan_pacing.apart(self.tuning.every_ms as u64);
        let plan_pacing = self.plan_pacing;
        let settle = (self.settings.cluster.workers.report_s * 1000.0) as u64;
        let Some(shard) = &mut self.shard else { return };
        let due = (shard.plan_due && now >= shard.planned_at + every)
            || now >= shard.planned_at + 2 * every;
        let scope = match due {
            true => Scope::All,
            false if shard.urgent.is_due(now, &plan_pacing) => Scope::Urgent,
            false => return,
        };
        if scope == Scope::All {
            shard.plan_due = false;
            shard.planned_at = now;
        }
        let since = shard.since;
        let Some(catalog) = self.shared.catalog.clone() else {
            return;
        };
        self.plan_pacing.planned();
        let (input, map) = self.plan_input(&catalog, scope);
        let output = plan::plan(&input);
        let stopped_at = output.resume.map(|job| map.jobs[job as usize]);
        if let Some(shard) = &mut self.shard {
            note_urgent(shard, now, &input, &output);
            if scope == Scope::All {
                shard.plan_stopped_at = stopped_at;
            }
        }
        self.stats.plans += 1;
        self.stats.plan_steps += output.steps;
        log::debug!(
            "plan: {} jobs, {} machines with {:.0} of {:.0} GPUs free, stretch {:.2}, {} starts, {} waiting, {} steps",
            input.jobs.len(),
            input.machines.len(),
            input
                .machines
                .iter()
                .filter(|m| m.usable)
                .map(|m| m.free().gpus)
                .sum::<f64>(),
            input.machines.iter().map(|m| m.total.gpus).sum::<f64>(),
            output.stretch,
            output.starts.len(),
            output.waiting.len(),
            output.steps
        );
        if scope == Scope::All {
            self.hours_planned(&input, &output, &map.jobs);
        }
        let mut attempts: HashMap<u32, u64> = HashMap::new();
        for start in &output.starts {
            let Some(shard) = &mut self.shard else { return };
            let attempt = *attempts
                .entry(start.job)
                .or_insert_with(|| shard.next_attempt());
            self.start(
                map.jobs[start.job as usize],
                map.machines[start.machine as usize],
                start.count,
                attempt,
            );
        }
        // Right after a failover most machines have not been heard of yet, and the room on them is not seen. Reports
        // come a quarter late at times.
        if now >= since + settle * 5 / 4 {
            for p in &output.preempts {
                self.preempt(
                    map.machines[p.machine as usize],
                    map.claims[p.machine as usize][p.task as usize],
                );
            }
            for gang in &output.recalls {
                self.recall(*gang as JobIndex);
            }
        }
        if scope == Scope::All && now >= since + 2 * settle {
            self.rent_for(&input, &output, &catalog);
            let mut kept: Vec<usize> = output
                .kept
                .iter()
                .map(|m| map.machines[*m as usize])
                .collect();
            kept.extend(self.kept_for_models());
            self.return_idle(&kept);
        }
    }
}
