//! Entitlement: how many levels of guarantees cover each job's tasks. In nested quotas a task may be covered by its
//! team's own guarantee, by what sibling teams leave of their parent's guarantee, and so on up to the root's.
//!
//! A task that guarantees cover is called held, as in [`plan::Job::guarantee_levels`].

use super::fair_share::fulfilled_share;
use super::quota_usage::open_tasks;
use crate::documents::quotas::ActiveTree;
use crate::jobs::job::JobIndex;
use crate::scheduling::quota_usage::{QuotaUsage, resource_amount};
use crate::store::shard::Shard;
use quota::{Amount, EntitledAmounts, MAX_RESOURCES, QuotaState, TeamId, Tree};
use std::collections::{HashMap, HashSet};
use wire::api::{JobSpec, Kind};
use wire::settings::Team;

#[cfg(test)]
mod tests;

/// The guarantees that cover the open jobs: the team's own alone in flat quotas, those of the nodes above it too in
/// nested ones.
pub(crate) struct Entitlement {
    flat: HashSet<JobIndex>,
    nested: HashMap<JobIndex, Levels>,
    /// By team, in nested quotas: the share of its due guarantee that its least fulfilled node uses.
    pub fulfilled: HashMap<u16, f64>,
}

impl Entitlement {
    /// An entitlement by the teams' own guarantees alone.
    fn flat(flat: HashSet<JobIndex>) -> Self {
        Entitlement {
            flat,
            nested: HashMap::new(),
            fulfilled: HashMap::new(),
        }
    }

    /// Whether a job's team is below a node of the quota tree.
    pub fn is_nested(&self, job: JobIndex) -> bool {
        self.nested.contains_key(&job)
    }

    /// The number of levels that hold the `k`th task of a job.
    pub fn held(&self, job: JobIndex, k: u32) -> u8 {
        match self.nested.get(&job) {
            Some(levels) => covering_levels(levels, k),
            None => u8::from(self.flat.contains(&job)),
        }
    }

    /// A job's waiting tasks by the number of levels that hold them, given how many are claimed. Tasks that must be
    /// planned together get a single entry.
    pub fn waiting(
        &self,
        job_index: JobIndex,
        spec: &JobSpec,
        claimed: u32,
        pending: u32,
    ) -> Vec<(u8, u32)> {
        let is_divisible = spec.kind == Kind::Array && !spec.spread && !spec.one_zone;
        if !is_divisible || !self.nested.contains_key(&job_index) {
            return vec![(self.held(job_index, claimed), pending)];
        }
        let mut out: Vec<(u8, u32)> = Vec::new();
        for k in claimed..claimed + pending {
            let held = self.held(job_index, k);
            match out.last_mut() {
                Some((same, n)) if *same == held => *n += 1,
                // The number of levels never rises with `k`, so no later task is held either.
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

/// How many tasks of a job are held on at least one, two, ... levels, counted from the root. Never increasing.
type Levels = Vec<u32>;

/// How many levels hold the `k`th task of a job, where running tasks come first.
fn covering_levels(levels: &Levels, k: u32) -> u8 {
    levels.iter().take_while(|n| **n > k).count() as u8
}

/// The levels of the jobs whose teams are below a node. `open` is in the order of acceptance: earlier jobs take their
/// share of a guarantee first.
fn nested_levels(
    shard: &Shard,
    open: &[(JobIndex, &JobSpec)],
    live: &mut QuotaState,
) -> HashMap<JobIndex, Levels> {
    let tree = live.tree().clone();
    let mut left: HashMap<TeamId, Vec<EntitledAmounts>> = HashMap::new();
    let mut out = HashMap::new();
    for (job_index, spec) in open {
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
        let tasks = shard.job(*job_index).map_or(0, |job| open_tasks(job, spec));
        out.insert(
            *job_index,
            allocate_levels(
                left,
                &resource_amount(spec.cores, spec.gpus, spec.mem_gb),
                tasks,
                spec.kind,
            ),
        );
    }
    out
}

/// Deducts a job's tasks from what its team is entitled to on each level, as far as they fit. Tasks of an array are
/// counted one by one, those of other jobs all or none.
fn allocate_levels(left: &mut [EntitledAmounts], need: &Amount, tasks: u32, kind: Kind) -> Levels {
    let mut levels = vec![0; left.len()];
    let mut deeper = 0;
    for (at, share) in left.iter_mut().enumerate().rev() {
        let counted = |r: &usize| need[*r] > 0 && share[*r].is_some();
        let fits = (0..MAX_RESOURCES)
            .filter(counted)
            .map(|r| share[r].unwrap_or(0).max(0) / need[r])
            .min();
        let fits = fits.unwrap_or(0).min(i64::from(tasks)) as u32;
        // Part of a gang or a service is of no use.
        let fits = if kind == Kind::Array || fits == tasks {
            fits
        } else {
            0
        };
        // A task that a deeper level holds is held on this one too.
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

/// Jobs that have not ended, in the order of acceptance.
fn open_jobs(shard: &Shard) -> Vec<(JobIndex, &JobSpec)> {
    let mut open: Vec<(u64, JobIndex, &JobSpec)> = Vec::new();
    for (job_index, job) in shard.jobs.iter().enumerate() {
        if let Some(job) = job
            && let Some(spec) = &job.spec
            && !job.is_ending()
        {
            open.push((job.at_ms, job_index, spec));
        }
    }
    open.sort_unstable_by_key(|(at, job_index, _)| (*at, *job_index));
    open.into_iter()
        .map(|(_, job_index, spec)| (job_index, spec))
        .collect()
}

/// What is left of a team's own guarantee.
struct RemainingGuarantee<'a> {
    team: &'a Team,
    cpus: f64,
    gpus: f64,
}

impl RemainingGuarantee<'_> {
    /// Deducts tasks from the guarantee, even beyond it. Returns whether they fit.
    fn take(&mut self, spec: &JobSpec, tasks: f64) -> bool {
        self.cpus -= spec.cores * tasks;
        self.gpus -= spec.gpus * tasks;
        // Only resources that the team is guaranteed count, whatever else its jobs use. A job that uses none of them
        // is not covered.
        let is_counted = |guaranteed: f64, need: f64| guaranteed > 0.0 && need > 0.0;
        let by_cpus = is_counted(self.team.cpus, spec.cores);
        let by_gpus = is_counted(self.team.gpus, spec.gpus);
        let is_over = by_cpus && self.cpus < -ROUNDING_TOLERANCE
            || by_gpus && self.gpus < -ROUNDING_TOLERANCE;
        (by_cpus || by_gpus) && !is_over
    }
}

/// Upper bound of the rounding error in sums of amounts.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Open jobs that fit into their team's own guarantee together with the team's earlier ones.
fn within_guarantee(
    shard: &Shard,
    open: &[(JobIndex, &JobSpec)],
    teams: &[Team],
) -> HashSet<JobIndex> {
    let all_left = |team| RemainingGuarantee {
        team,
        cpus: team.cpus,
        gpus: team.gpus,
    };
    let mut left: HashMap<&str, RemainingGuarantee<'_>> = teams
        .iter()
        .map(|team| (team.name.as_str(), all_left(team)))
        .collect();
    let mut within = HashSet::new();
    for (job_index, spec) in open {
        let Some(left) = left.get_mut(spec.team.as_str()) else {
            continue;
        };
        let replicas = shard.job(*job_index).and_then(|job| job.replicas);
        let tasks = replicas.map_or(spec.tasks, |replicas| replicas.min(spec.tasks));
        if tasks > 0 && left.take(spec, f64::from(tasks)) {
            within.insert(*job_index);
        }
    }
    within
}

/// Computes the entitlement of all open jobs, and updates the usage counts of the quota tree.
pub(super) fn entitlement(
    shard: &mut Shard,
    teams: &[Team],
    active: Option<&ActiveTree>,
    team_index: &HashMap<&str, u16>,
) -> Entitlement {
    let changed = shard.take_changed_since_plan();
    let previous = shard.quota_usage.take();
    let Some(active) = active else {
        return Entitlement::flat(within_guarantee(shard, &open_jobs(shard), teams));
    };
    let tree = &active.built;
    let guarantees = override_guarantees(teams, active);
    if tree.nodes.is_empty() {
        return Entitlement::flat(within_guarantee(shard, &open_jobs(shard), &guarantees));
    }
    let mut usage = match previous.filter(|(version, _)| *version == active.version) {
        Some((_, mut usage)) => {
            usage.update(shard, changed);
            usage
        }
        None => QuotaUsage::new(shard, tree.clone()),
    };
    debug_assert!(
        usage.is_consistent(shard),
        "a job changed without being listed in `changed_since_plan`"
    );
    let open = open_jobs(shard);
    let entitlement = Entitlement {
        flat: within_guarantee(shard, &open, &guarantees),
        nested: nested_levels(shard, &open, &mut usage.live),
        fulfilled: fulfilled_by_team(tree, &usage.live, team_index),
    };
    shard.quota_usage = Some((active.version, usage));
    entitlement
}

/// For each team below a node, the share of its due guarantee that its least fulfilled node uses.
fn fulfilled_by_team(
    tree: &Tree,
    live: &QuotaState,
    team_index: &HashMap<&str, u16>,
) -> HashMap<u16, f64> {
    tree.leaves
        .iter()
        .filter(|leaf| leaf.parent.is_some())
        .filter_map(|leaf| {
            let index = *team_index.get(leaf.name.as_str())?;
            Some((index, fulfilled_share(live, tree.team(&leaf.name)?)))
        })
        .collect()
}

/// The teams of the settings, with the smaller guarantees that the quota tree may set for them.
fn override_guarantees(teams: &[Team], active: &ActiveTree) -> Vec<Team> {
    let own = active
        .spec
        .teams
        .iter()
        .filter_map(|t| Some((t.name.as_str(), t.guarantee.as_ref()?)));
    let own: HashMap<&str, &quota::Amounts> = own.collect();
    let overridden = |t: &Team| match own.get(t.name.as_str()) {
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
    teams.iter().map(overridden).collect()
}
