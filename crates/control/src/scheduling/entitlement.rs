//! Entitlement: how far guarantees hold each job. Where quotas nest, a job may be held by its team's own guarantee, by what
//! its siblings leave of their common parent's, by what others leave of the root's, and so on up.

use super::fair_share::fulfilled;
use super::quota_usage::open_tasks;
use crate::documents::quotas::Good;
use crate::jobs::job::JobIndex;
use crate::store::shard::Shard;
use quota::{Amount, Live, MAX_RESOURCES, Share, TeamId};
use std::collections::{HashMap, HashSet};
use wire::api::{JobSpec, Kind};
use wire::settings::Team;

pub(crate) use super::quota_usage::{Counted, takes};

#[cfg(test)]
mod tests;

/// How far guarantees hold what there is: by the team's own alone, or by those of the nodes above it too.
pub(crate) struct Holds {
    flat: HashSet<JobIndex>,
    nested: HashMap<JobIndex, Levels>,
    /// By team, as far as quotas nest: how much of what its nodes are due is used.
    pub fulfilled: HashMap<u16, f64>,
}

impl Holds {
    /// Whether a job's team hangs below a node.
    pub fn is_nested(&self, job: JobIndex) -> bool {
        self.nested.contains_key(&job)
    }

    /// Levels that hold the task that is the `k`th of a job.
    pub fn held(&self, job: JobIndex, k: u32) -> u8 {
        match self.nested.get(&job) {
            Some(levels) => held(levels, k),
            None => u8::from(self.flat.contains(&job)),
        }
    }

    /// The job's waiting tasks by the levels that hold them, when so many are claimed; one entry for all that must
    /// not be parted.
    pub fn waiting(
        &self,
        ix: JobIndex,
        spec: &JobSpec,
        claimed: u32,
        pending: u32,
    ) -> Vec<(u8, u32)> {
        let parted = spec.kind == Kind::Array && !spec.spread && !spec.one_zone;
        if !parted || !self.nested.contains_key(&ix) {
            return vec![(self.held(ix, claimed), pending)];
        }
        let mut out: Vec<(u8, u32)> = Vec::new();
        for k in claimed..claimed + pending {
            let held = self.held(ix, k);
            match out.last_mut() {
                Some((same, n)) if *same == held => *n += 1,
                // What is held least comes last: the rest is all alike.
                _ if held == 0 => {
                    out.push((0, claimed + pending - k));
                    break;
                }
                _ => out.push((held, 1)),
            }
        }
        out
    }
}

/// How many tasks of a job are held on at least one, two, ... levels, from the root down; the first is the largest.
type Levels = Vec<u32>;

/// How many levels hold the task that is the `k`th of its job, those that run first.
fn held(levels: &Levels, k: u32) -> u8 {
    levels.iter().take_while(|n| **n > k).count() as u8
}

/// The jobs of teams below some node, each with how far its tasks are held. The earlier accepted come first, and an
/// array is held task by task.
fn nested(
    shard: &Shard,
    open: &[(JobIndex, &JobSpec)],
    live: &mut Live,
) -> HashMap<JobIndex, Levels> {
    let tree = live.tree().clone();
    let mut left: HashMap<TeamId, Vec<Share>> = HashMap::new();
    let mut out = HashMap::new();
    for (ix, spec) in open {
        let Some(team) = tree.team(&spec.team) else {
            continue;
        };
        if tree.leaves[team.0 as usize].parent.is_none() {
            continue;
        }
        let left = left.entry(team).or_insert_with(|| {
            (0..=tree.path(team).len())
                .map(|depth| live.entitled(team, depth))
                .collect()
        });
        let tasks = shard.job(*ix).map_or(0, |job| open_tasks(job, spec));
        out.insert(
            *ix,
            fit(
                left,
                &takes(spec.cores, spec.gpus, spec.mem_gb),
                tasks,
                spec.kind,
            ),
        );
    }
    out
}

/// Takes a job's tasks out of what its team is entitled to on each level, as far as they fit.
fn fit(left: &mut [Share], need: &Amount, tasks: u32, kind: Kind) -> Levels {
    let mut levels = vec![0; left.len()];
    let mut deeper = 0;
    for (at, share) in left.iter_mut().enumerate().rev() {
        let counted = |r: &usize| need[*r] > 0 && share[*r].is_some();
        let fits = (0..MAX_RESOURCES)
            .filter(counted)
            .map(|r| share[r].unwrap_or(0).max(0) / need[r])
            .min();
        let fits = fits.unwrap_or(0).min(i64::from(tasks)) as u32;
        // Half a gang is of no use; nor is half a service.
        let fits = if kind == Kind::Array || fits == tasks {
            fits
        } else {
            0
        };
        // What a deeper level holds, this one does.
        deeper = fits.max(deeper);
        levels[at] = deeper;
        for r in 0..MAX_RESOURCES {
            if let Some(left) = &mut share[r] {
                *left -= need[r] * i64::from(deeper);
            }
        }
    }
    levels
}

/// Jobs that have not ended, the earlier accepted first.
fn open_jobs(shard: &Shard) -> Vec<(JobIndex, &JobSpec)> {
    let mut open: Vec<(u64, JobIndex, &JobSpec)> = Vec::new();
    for (ix, job) in shard.jobs.iter().enumerate() {
        if let Some(job) = job
            && let Some(spec) = &job.spec
            && !job.is_ending()
        {
            open.push((job.at_ms, ix, spec));
        }
    }
    open.sort_unstable_by_key(|(at, ix, _)| (*at, *ix));
    open.into_iter().map(|(_, ix, spec)| (ix, spec)).collect()
}

/// Open jobs that fit into their team's guarantee together with the team's earlier ones.
fn within_guarantee(
    shard: &Shard,
    open: &[(JobIndex, &JobSpec)],
    teams: &[Team],
) -> HashSet<JobIndex> {
    let mut left: HashMap<&str, (&Team, f64, f64)> = teams
        .iter()
        .map(|t| (t.name.as_str(), (t, t.cpus, t.gpus)))
        .collect();
    let mut out = HashSet::new();
    for (ix, spec) in open {
        let Some((team, cpus, gpus)) = left.get_mut(spec.team.as_str()) else {
            continue;
        };
        let n = f64::from(
            shard
                .job(*ix)
                .and_then(|j| j.replicas)
                .map_or(spec.tasks, |n| n.min(spec.tasks)),
        );
        if n == 0.0 {
            continue;
        }
        *cpus -= spec.cores * n;
        *gpus -= spec.gpus * n;
        // A team that has one resource guaranteed has its jobs counted by that one, whatever else they take; one
        // that takes none of what is guaranteed has no guarantee.
        let counted = |guaranteed: f64, need: f64| guaranteed > 0.0 && need > 0.0;
        let (by_cpus, by_gpus) = (
            counted(team.cpus, spec.cores),
            counted(team.gpus, spec.gpus),
        );
        let fits =
            (by_cpus || by_gpus) && !(by_cpus && *cpus < -1e-6) && !(by_gpus && *gpus < -1e-6);
        if fits {
            out.insert(*ix);
        }
    }
    out
}

/// How far guarantees hold all open jobs. Brings the tree's counts up to date on the way.
pub(crate) fn holds(
    shard: &mut Shard,
    teams: &[Team],
    good: Option<&Good>,
    index: &HashMap<&str, u16>,
) -> Holds {
    let touched = shard.take_touched();
    let kept = shard.counted.take();
    let flat_only = |flat| Holds {
        flat,
        nested: HashMap::new(),
        fulfilled: HashMap::new(),
    };
    let Some(good) = good else {
        return flat_only(within_guarantee(shard, &open_jobs(shard), teams));
    };
    let open = open_jobs(shard);
    let flat = within_guarantee(shard, &open, &cut_guarantees(teams, good));
    let tree = &good.built;
    if tree.nodes.is_empty() {
        return flat_only(flat);
    }
    let mut counted = match kept.filter(|(version, _)| *version == good.version) {
        Some((_, mut counted)) => {
            counted.follow(shard, touched);
            counted
        }
        None => Counted::new(shard, tree.clone()),
    };
    debug_assert!(
        counted.is_right(shard),
        "a job was changed that plans did not hear of"
    );
    let nested = nested(shard, &open, &mut counted.live);
    let below = tree.leaves.iter().filter(|l| l.parent.is_some());
    let ids = below.filter_map(|l| Some((*index.get(l.name.as_str())?, tree.team(&l.name)?)));
    let fulfilled = ids
        .map(|(t, id)| (t, fulfilled(&counted.live, id)))
        .collect();
    shard.counted = Some((good.version, counted));
    Holds {
        flat,
        nested,
        fulfilled,
    }
}

/// The teams of the settings, with the smaller guarantees that a tree may give them.
fn cut_guarantees(teams: &[Team], good: &Good) -> Vec<Team> {
    let own = good
        .spec
        .teams
        .iter()
        .filter_map(|t| Some((t.name.as_str(), t.guarantee.as_ref()?)));
    let own: HashMap<&str, &quota::Amounts> = own.collect();
    let cut = |t: &Team| match own.get(t.name.as_str()) {
        Some(own) => {
            let of = |name: &str| own.get(name).copied().unwrap_or(0.0);
            Team {
                cpus: of("cpus"),
                gpus: of("gpus"),
                ..t.clone()
            }
        }
        None => t.clone(),
    };
    teams.iter().map(cut).collect()
}
