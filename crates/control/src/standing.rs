//! How far guarantees hold each job where quotas nest: its team's own, what its siblings leave of their desk's, what
//! others leave of the house's, and so on up.

use crate::jobs::JobIx;
use crate::part::Part;
use quota::{Amount, Count, Live, MAX_RESOURCES, NOTHING, Share, TeamId, Tree, amount};
use std::collections::HashMap;
use wire::api::{JobSpec, Kind};

/// What tasks take, in the tree's resources.
pub(crate) fn takes(cores: f64, gpus: f64, mem_gb: f64) -> Amount {
    amount(&[("cpus", cores), ("gpus", gpus), ("mem_gb", mem_gb)])
}

fn add(to: &mut Amount, need: &Amount, n: i64) {
    to.iter_mut().zip(need).for_each(|(a, b)| *a = a.saturating_add(b.saturating_mul(n)));
}

/// Tasks of a job that are not done, a gang's always all.
fn open_tasks(job: &crate::jobs::Job, spec: &JobSpec) -> u32 {
    if spec.kind == Kind::Array { spec.tasks - job.done_count.min(spec.tasks) } else { spec.tasks }
}

/// What each team of the tree wants and has: all open tasks, and all claims, wherever they are.
pub(crate) fn team_counts(part: &Part, tree: &Tree) -> Vec<Count> {
    let mut out = vec![Count::default(); tree.leaves.len()];
    for job in part.jobs.iter().flatten() {
        let Some(team) = tree.team(&job.team) else { continue };
        let count = &mut out[team.0 as usize];
        let need = takes(job.need.cores, job.need.gpus, job.need.mem_gb);
        let claims: usize = job.claimed.values().map(Vec::len).sum();
        add(&mut count.used, &need, claims as i64);
        let open = job.spec.as_deref().filter(|_| !job.is_ending()).map_or(0, |spec| open_tasks(job, spec));
        // What still runs of an ended job is wanted too, until it is gone.
        add(&mut count.demand, &need, i64::from(open).max(claims as i64));
    }
    out
}

/// Brings the tree's counts up to date; teams that did not change cost a comparison.
pub(crate) fn update(live: &mut Live, counts: &[Count]) {
    for (i, count) in counts.iter().enumerate() {
        let team = TeamId(i as u32);
        let before = live.team(team);
        if before.demand != count.demand {
            live.set_demand(team, count.demand);
        }
        if before.used != count.used {
            live.set_used(team, count.used);
        }
    }
}

/// How many tasks of a job are held on at least one, two, ... levels, from the root down; the first is the largest.
pub(crate) type Levels = Vec<u32>;

/// How many levels hold the task that is the `k`th of its job, those that run first.
pub(crate) fn held(levels: &Levels, k: u32) -> u8 {
    levels.iter().take_while(|n| **n > k).count() as u8
}

/// The jobs of teams below some node, each with how far its tasks are held. The earlier accepted come first, and an
/// array is held task by task.
pub(crate) fn nested(part: &Part, live: &mut Live) -> HashMap<JobIx, Levels> {
    let tree = live.tree().clone();
    let mut open: Vec<(u64, JobIx, TeamId, &JobSpec)> = Vec::new();
    for (ix, job) in part.jobs.iter().enumerate() {
        if let Some(job) = job
            && let Some(spec) = &job.spec
            && !job.is_ending()
            && let Some(team) = tree.team(&spec.team)
            && tree.leaves[team.0 as usize].parent.is_some()
        {
            open.push((job.at_ms, ix, team, spec));
        }
    }
    open.sort_unstable_by_key(|(at, ix, _, _)| (*at, *ix));
    let mut left: HashMap<TeamId, Vec<Share>> = HashMap::new();
    let mut out = HashMap::new();
    for (_, ix, team, spec) in open {
        let left = left
            .entry(team)
            .or_insert_with(|| (0..=tree.path(team).len()).map(|depth| live.entitled(team, depth)).collect());
        let tasks = part.job(ix).map_or(0, |job| open_tasks(job, spec));
        out.insert(ix, fit(left, &takes(spec.cores, spec.gpus, spec.mem_gb), tasks, spec.kind));
    }
    out
}

/// Takes a job's tasks out of what its team is entitled to on each level, as far as they fit.
fn fit(left: &mut [Share], need: &Amount, tasks: u32, kind: Kind) -> Levels {
    let mut levels = vec![0; left.len()];
    let mut deeper = 0;
    for (at, share) in left.iter_mut().enumerate().rev() {
        let counted = |r: &usize| need[*r] > 0 && share[*r].is_some();
        let fits = (0..MAX_RESOURCES).filter(counted).map(|r| share[r].unwrap_or(0).max(0) / need[r]).min();
        let fits = fits.unwrap_or(0).min(i64::from(tasks)) as u32;
        // Half a gang is of no use; nor is half a service.
        let fits = if kind == Kind::Array || fits == tasks { fits } else { 0 };
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

/// How much of what the nodes above a team are entitled to is used: that of the node furthest below, at most 1. The
/// wait that a guarantee allows shrinks with it, so that who is furthest below has the earliest deadline.
pub(crate) fn fulfilled(live: &Live, team: TeamId) -> f64 {
    let tree = live.tree();
    let node = |n: &quota::NodeId| {
        let guarantee = tree.nodes[n.0 as usize].guarantee;
        let (used, wanted) = (live.used(*n), live.wanted(*n));
        let due: Amount = std::array::from_fn(|r| guarantee[r].min(wanted[r]));
        let shares = (0..MAX_RESOURCES).filter(|r| due[*r] > 0);
        shares
            .map(|r| used[r] as f64 / due[r] as f64)
            .fold(None, |a: Option<f64>, b| Some(a.map_or(b, |a| a.max(b))))
    };
    tree.path(team).iter().filter_map(node).fold(1.0, f64::min)
}

/// Whether something on a team's path is guaranteed anything.
pub(crate) fn may_be_held(tree: &Tree, team: TeamId) -> bool {
    let leaf = &tree.leaves[team.0 as usize];
    let path = tree.path(team);
    path.is_empty() || leaf.guarantee != NOTHING || tree.nodes[path[0].0 as usize].guarantee != NOTHING
}

#[cfg(test)]
mod tests {
    use super::*;

    fn share(gpus: i64) -> Share {
        let mut out = [None; MAX_RESOURCES];
        out[quota::GPUS] = Some(gpus * 1000);
        out
    }

    /// An array is held task by task, a gang whole or not at all, and what is held below is held above.
    #[test]
    fn tasks_are_held_as_far_as_they_fit() {
        let mut left = [share(10), share(6), share(3)];
        let two = takes(1.0, 2.0, 1.0);
        assert_eq!(fit(&mut left, &two, 4, Kind::Array), [4, 3, 1]);
        // 2, 0 and 1 GPUs are left.
        assert_eq!(fit(&mut left, &takes(0.0, 1.0, 0.0), 2, Kind::Gang), [2, 0, 0]);
        assert_eq!(fit(&mut left, &takes(0.0, 1.0, 0.0), 1, Kind::Service), [1, 1, 1]);
        assert_eq!(
            fit(&mut left, &takes(8.0, 0.0, 1.0), 9, Kind::Array),
            [0, 0, 0],
            "nothing of it is guaranteed"
        );
        let levels = vec![4, 3, 1];
        assert_eq!((0..5).map(|k| held(&levels, k)).collect::<Vec<_>>(), [3, 2, 2, 1, 0]);
    }
}
