//! Applies a plan's decisions about tasks: starts, and preemptions of single tasks and of whole gangs.

use super::planning::Planned;
use crate::Node;
use crate::agents::machine::Claim;
use crate::jobs::job::JobIndex;
use crate::store::claim_log::ClaimId;
use std::collections::HashMap;
use wire::api::{JobSpec, Kind};

/// The grace period is this multiple of the job's declared saving time, plus [`GRACE_MARGIN_S`].
const GRACE_FACTOR: f64 = 1.2;
/// Time for delivering the stop order and its response, in seconds.
const GRACE_MARGIN_S: f64 = 1.0;

/// The grace period in which a stopped task may save; 0 if it can't.
pub(crate) fn grace_period_s(spec: &JobSpec) -> f64 {
    if spec.checkpoint_s > 0.0 {
        spec.save_s * GRACE_FACTOR + GRACE_MARGIN_S
    } else {
        0.0
    }
}

impl Node {
    /// Creates claims for the tasks that a plan starts, with one attempt number for each job.
    pub(super) fn apply_starts(&mut self, planned: &Planned) {
        let mut attempts: HashMap<u32, u64> = HashMap::new();
        for start in &planned.output.starts {
            let Some(shard) = &mut self.shard else { return };
            let attempt = *attempts
                .entry(start.job)
                .or_insert_with(|| shard.next_attempt());
            let job = planned.index.jobs[start.job as usize];
            let machine = planned.index.machines[start.machine as usize];
            self.claim_tasks(job, machine, start.count, attempt);
        }
    }

    /// Stops what a plan preempts, except right after a failover: most machines have not sent a heartbeat yet, so their
    /// free room is unknown. Heartbeats are late by up to a quarter of the interval at times.
    pub(super) fn apply_preemptions(&mut self, planned: &Planned) {
        let Some(shard) = &self.shard else { return };
        if self.now.mono < shard.ready_since + self.heartbeat_interval_ms() * 5 / 4 {
            return;
        }
        for preempt in &planned.output.preempts {
            let machine = preempt.machine as usize;
            let claim = planned.index.claims[machine][preempt.task as usize];
            self.preempt(planned.index.machines[machine], claim);
        }
        for gang in &planned.output.preempted_gangs {
            self.preempt_gang(*gang as JobIndex);
        }
    }

    /// The interval between a machine's heartbeats.
    pub(super) fn heartbeat_interval_ms(&self) -> u64 {
        (self.settings.cluster.workers.report_s * 1000.0) as u64
    }

    /// Creates claims for tasks of a job; their starts are sent once the claims are recorded. All have the same attempt
    /// number, by which the tasks of a gang find each other.
    fn claim_tasks(&mut self, job_index: JobIndex, machine_index: usize, count: u32, attempt: u64) {
        let Some(shard) = &mut self.shard else { return };
        for _ in 0..count {
            let Some(task) = shard
                .job_mut(job_index)
                .and_then(super::super::jobs::job::Job::next_task)
            else {
                return;
            };
            if let (Some(job), Some(machine)) = (shard.job(job_index), shard.machine(machine_index))
            {
                log::debug!(
                    "task {}/{task} attempt {attempt}: to {}",
                    job.id,
                    machine.name
                );
            }
            let id = ClaimId {
                machine: machine_index,
                job: job_index,
                task,
                attempt,
            };
            shard.make_claim(id, Claim::new(job_index, task, attempt));
            self.stats.starts += 1;
        }
        let gang = shard
            .job_mut(job_index)
            .filter(|job| job.kind() == Kind::Gang);
        if let Some(job) = gang {
            job.is_gang_broken = job.claimed.len() != job.tasks as usize;
        }
        self.may_have_changes = true;
    }

    /// Stops a gang that runs beyond its team's guarantee, with a grace period to save.
    fn preempt_gang(&mut self, job_index: JobIndex) {
        let Some(job) = self.shard.as_ref().and_then(|shard| shard.job(job_index)) else {
            return;
        };
        let Some(spec) = &job.spec else { return };
        let grace_s = grace_period_s(spec);
        let Some((machine, _)) = job.claimed.values().flatten().next().copied() else {
            return;
        };
        log::info!("job {}: preempted for another team's guarantee", job.id);
        self.stats.preempts += u64::from(job.tasks);
        self.stop_on_machine(job_index, machine, grace_s);
    }

    /// Stops the task of one claim, with a grace period to save.
    fn preempt(&mut self, machine_index: usize, claim_index: usize) {
        let Some(shard) = &mut self.shard else { return };
        let Some(machine) = shard.machine(machine_index) else {
            return;
        };
        let Some(claim) = machine.claims.get(claim_index) else {
            return;
        };
        let Some(job) = shard.job(claim.job) else {
            return;
        };
        let grace_s = job.spec.as_deref().map_or(0.0, grace_period_s);
        log::info!(
            "task {}/{} on {}: stopped to make room",
            job.id,
            claim.task,
            machine.name
        );
        let claim = shard
            .machine_mut(machine_index)
            .and_then(|machine| machine.claims.get_mut(claim_index));
        if let Some(claim) = claim {
            claim.stop = Some(grace_s);
        }
        shard.machines_with_orders.insert(machine_index);
        self.stats.preempts += 1;
    }
}
