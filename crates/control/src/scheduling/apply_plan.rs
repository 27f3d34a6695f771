//! Carries out a plan's decisions about tasks: starts, preemptions, and gangs that are stopped whole.

use crate::Node;
use crate::agents::machine::Claim;
use crate::jobs::job::JobIndex;
use crate::store::claim_log::ClaimId;
use wire::api::{JobSpec, Kind};

/// The time that a stopped task is given to save, if it can.
pub(crate) fn grace(spec: &JobSpec) -> f64 {
    if spec.checkpoint_s > 0.0 {
        spec.save_s * 1.2 + 1.0
    } else {
        0.0
    }
}

impl Node {
    /// Claims places for a job's tasks; they are sent once recorded. One attempt for all: by it the tasks of a
    /// gang find each other.
    pub(super) fn start(&mut self, ix: JobIndex, m: usize, count: u32, attempt: u64) {
        let Some(shard) = &mut self.shard else { return };
        for _ in 0..count {
            let Some(task) = shard.job_mut(ix).and_then(|j| j.next_task()) else {
                return;
            };
            if let (Some(job), Some(machine)) = (shard.job(ix), shard.machine(m)) {
                log::debug!(
                    "task {}/{task} attempt {attempt}: to {}",
                    job.id,
                    machine.name
                );
            }
            let id = ClaimId {
                machine: m,
                job: ix,
                task,
                attempt,
            };
            shard.make_claim(id, Claim::new(ix, task, attempt));
            self.stats.starts += 1;
        }
        if let Some(job) = shard.job_mut(ix).filter(|j| j.kind() == Kind::Gang) {
            job.broken = job.claimed.len() != job.tasks as usize;
        }
        self.to_write = true;
    }

    /// Stops a gang that runs beyond its team's guarantee, with the time to save.
    pub(super) fn recall(&mut self, ix: JobIndex) {
        let Some(job) = self.shard.as_ref().and_then(|p| p.job(ix)) else {
            return;
        };
        let Some(spec) = &job.spec else { return };
        let grace = grace(spec);
        let Some(m) = job.claimed.values().flatten().map(|(m, _)| *m).next() else {
            return;
        };
        log::info!("job {}: stopped to give another team its guarantee", job.id);
        self.stats.preempts += u64::from(job.tasks);
        self.stop_here(ix, m, grace);
    }

    pub(super) fn preempt(&mut self, m: usize, k: usize) {
        let Some(shard) = &mut self.shard else { return };
        let Some(machine) = shard.machine(m) else {
            return;
        };
        let Some(claim) = machine.claims.get(k) else {
            return;
        };
        let (ix, task) = (claim.job, claim.task);
        let Some(job) = shard.job(ix) else { return };
        let grace = job.spec.as_deref().map_or(0.0, grace);
        log::info!(
            "task {}/{task} on {}: stopped to make room",
            job.id,
            machine.name
        );
        if let Some(claim) = shard.machine_mut(m).and_then(|x| x.claims.get_mut(k)) {
            claim.stop = Some(grace);
        }
        shard.push.insert(m);
        self.stats.preempts += 1;
    }
}
