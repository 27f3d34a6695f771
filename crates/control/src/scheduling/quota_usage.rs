//! Resource usage and demand of jobs, counted by team in the quota tree.

use crate::jobs::job::{Job, JobIndex};
use crate::store::shard::Shard;
use quota::{Amount, QuotaState, TeamId, TeamUsage, Tree, amount};
use std::collections::HashMap;
use std::sync::Arc;
use wire::api::{JobSpec, Kind};

/// The resources of a task as an amount of the quota tree.
pub(crate) fn resource_amount(cores: f64, gpus: f64, mem_gb: f64) -> Amount {
    amount(&[("cpus", cores), ("gpus", gpus), ("mem_gb", mem_gb)])
}

fn add(to: &mut Amount, need: &Amount, n: i64) {
    to.iter_mut()
        .zip(need)
        .for_each(|(a, b)| *a = a.saturating_add(b.saturating_mul(n)));
}

/// The number of a job's tasks that still need resources. A gang or service counts all, whatever is done.
pub(super) fn open_tasks(job: &Job, spec: &JobSpec) -> u32 {
    if spec.kind == Kind::Array {
        return spec.tasks - job.done_count.min(spec.tasks);
    }
    // A model that is asleep has no open tasks: its replicas are 0.
    job.replicas.map_or(spec.tasks, |n| n.min(spec.tasks))
}

/// What a job adds to its team's demand and usage: all open tasks, and all claims on any machine.
fn job_usage(job: &Job, tree: &Tree) -> Option<(TeamId, TeamUsage)> {
    let team = tree.team(&job.team)?;
    let need = resource_amount(job.need.cores, job.need.gpus, job.need.mem_gb);
    let claims: usize = job.claimed.values().map(Vec::len).sum();
    let open = job
        .spec
        .as_deref()
        .filter(|_| !job.is_ending())
        .map_or(0, |spec| open_tasks(job, spec));
    let mut count = TeamUsage::default();
    add(&mut count.used, &need, claims as i64);
    // Tasks of an ended job that still run count as demand until they are gone.
    add(&mut count.demand, &need, i64::from(open).max(claims as i64));
    Some((team, count))
}

/// A quota tree with the demand and usage of its teams, updated incrementally from the jobs that changed.
pub(crate) struct QuotaUsage {
    pub live: QuotaState,
    by_job: HashMap<JobIndex, (TeamId, TeamUsage)>,
}

impl QuotaUsage {
    /// Counts all jobs.
    pub fn new(shard: &Shard, tree: Arc<Tree>) -> Self {
        let mut out = QuotaUsage {
            live: QuotaState::new(tree),
            by_job: HashMap::new(),
        };
        out.update(shard, 0..shard.jobs.slots());
        out
    }

    pub(super) fn update(&mut self, shard: &Shard, changed: impl IntoIterator<Item = JobIndex>) {
        let mut teams: HashMap<TeamId, TeamUsage> = HashMap::new();
        let mut add_to_team = |live: &QuotaState, team: TeamId, by: &TeamUsage, sign: i64| {
            let count = teams.entry(team).or_insert_with(|| live.team(team));
            add(&mut count.demand, &by.demand, sign);
            add(&mut count.used, &by.used, sign);
        };
        for job_index in changed {
            let after = shard
                .job(job_index)
                .and_then(|job| job_usage(job, self.live.tree()));
            let before = match after {
                Some(after) => self.by_job.insert(job_index, after),
                None => self.by_job.remove(&job_index),
            };
            if before != after {
                before
                    .iter()
                    .for_each(|(team, count)| add_to_team(&self.live, *team, count, -1));
                after
                    .iter()
                    .for_each(|(team, count)| add_to_team(&self.live, *team, count, 1));
            }
        }
        for (team, count) in teams {
            self.live.set_demand(team, count.demand);
            self.live.set_used(team, count.used);
        }
    }

    /// Whether a full recount gives the same result.
    pub(super) fn is_consistent(&self, shard: &Shard) -> bool {
        let recounted = QuotaUsage::new(shard, self.live.tree().clone());
        (0..self.live.tree().leaves.len() as u32)
            .map(TeamId)
            .all(|t| recounted.live.team(t) == self.live.team(t))
    }
}
