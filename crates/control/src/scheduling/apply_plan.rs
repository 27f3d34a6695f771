//! Carries out a plan's decisions about tasks: starts, preemptions, and gangs that are stopped whole.

use super::planning::Planned;
use crate::Node;
use crate::agents::machine::Claim;
use crate::jobs::job::JobIndex;
use crate::store::claim_log::ClaimId;
use std::collections::HashMap;
use wire::api::{JobSpec, Kind};

/// A saving task is given this many times the time that it says saving takes, and [`GRACE_MARGIN_S`] more.
const GRACE_FACTOR: f64 = 1.2;
/// Time for the order to stop and its answer, in seconds.
const GRACE_MARGIN_S: f64 = 1.0;

/// The time that a stopped task is given to save, if it can.
pub(crate) fn grace(spec: &JobSpec) -> f64 {
    if spec.checkpoint_s > 0.0 {
        spec.save_s * GRACE_FACTOR + GRACE_MARGIN_S
    } else {
        0.0
    }
}

impl Node {
    /// Claims the places that a plan gives to waiting tasks, with one attempt for each job.
    pub(super) fn apply_starts(&mut self, planned: &Planned) {
        let mut attempts: HashMap<u32, u64> = HashMap::new();
        for start in &planned.output.starts {
            let Some(shard) = &mut self.shard else { return };
            let attempt = *attempts
                .entry(start.job)
                .or_insert_with(|| shard.next_attempt());
            let job = planned.index.jobs[start.job as usize];
            let machine = planned.index.machines[start.machine as usize];
            self.start(job, machine, start.count, attempt);
        }
    }

    /// Stops what a plan preempts. Right after a failover most machines have not been heard of yet, and the room on
    /// them is not seen. Heartbeats come a quarter late at times.
    pub(super) fn apply_preemptions(&mut self, planned: &Planned) {
        let Some(shard) = &self.shard else { return };
        if self.now.mono < shard.since + self.heartbeat_interval_ms() * 5 / 4 {
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

    /// The time between two heartbeats of a machine.
    pub(super) fn heartbeat_interval_ms(&self) -> u64 {
        (self.settings.cluster.workers.report_s * 1000.0) as u64
    }

    /// Claims places for a job's tasks; they are sent once recorded. One attempt for all: by it the tasks of a
    /// gang find each other.
    fn start(&mut self, job_index: JobIndex, machine_index: usize, count: u32, attempt: u64) {
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
            job.broken = job.claimed.len() != job.tasks as usize;
        }
        self.to_write = true;
    }

    /// Stops a gang that runs beyond its team's guarantee, with the time to save.
    fn preempt_gang(&mut self, job_index: JobIndex) {
        let Some(job) = self.shard.as_ref().and_then(|shard| shard.job(job_index)) else {
            return;
        };
        let Some(spec) = &job.spec else { return };
        let grace = grace(spec);
        let Some((machine, _)) = job.claimed.values().flatten().next().copied() else {
            return;
        };
        log::info!("job {}: stopped to give another team its guarantee", job.id);
        self.stats.preempts += u64::from(job.tasks);
        self.stop_on_machine(job_index, machine, grace);
    }

    /// Stops the task of one claim, with the time to save.
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
        let grace = job.spec.as_deref().map_or(0.0, grace);
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
            claim.stop = Some(grace);
        }
        shard.push.insert(machine_index);
        self.stats.preempts += 1;
    }
}
