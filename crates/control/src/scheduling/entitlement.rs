//! How far guarantees hold each job where quotas nest: its team's own, what its siblings leave of their desk's, what
//! others leave of the house's, and so on up.

use crate::documents::quotas::Good;
use crate::jobs::job::{Job, JobIndex};
use crate::store::shard::Shard;
use quota::{Amount, Count, Live, MAX_RESOURCES, NOTHING, Share, TeamId, Tree, amount};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use wire::api::{JobSpec, Kind};
use wire::settings::Team;

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

/// What tasks take, in the tree's resources.
pub(crate) fn takes(cores: f64, gpus: f64, mem_gb: f64) -> Amount {
    amount(&[("cpus", cores), ("gpus", gpus), ("mem_gb", mem_gb)])
}

fn add(to: &mut Amount, need: &Amount, n: i64) {
    to.iter_mut()
        .zip(need)
        .for_each(|(a, b)| *a = a.saturating_add(b.saturating_mul(n)));
}

/// Tasks of a job that are not done, a gang's always all.
fn open_tasks(job: &Job, spec: &JobSpec) -> u32 {
    if spec.kind == Kind::Array {
        return spec.tasks - job.done_count.min(spec.tasks);
    }
    // Nothing is held for a model that is asleep.
    job.replicas.map_or(spec.tasks, |n| n.min(spec.tasks))
}

/// What a job adds to its team's counts: all open tasks, and all claims, wherever they are.
fn counts(job: &Job, tree: &Tree) -> Option<(TeamId, Count)> {
    let team = tree.team(&job.team)?;
    let need = takes(job.need.cores, job.need.gpus, job.need.mem_gb);
    let claims: usize = job.claimed.values().map(Vec::len).sum();
    let open = job
        .spec
        .as_deref()
        .filter(|_| !job.is_ending())
        .map_or(0, |spec| open_tasks(job, spec));
    let mut count = Count::default();
    add(&mut count.used, &need, claims as i64);
    // What still runs of an ended job is wanted too, until it is gone.
    add(&mut count.demand, &need, i64::from(open).max(claims as i64));
    Some((team, count))
}

/// A tree with what its teams want and have. It is brought up to date by the jobs that changed, and no others.
pub(crate) struct Counted {
    pub live: Live,
    by_job: HashMap<JobIndex, (TeamId, Count)>,
}

impl Counted {
    /// All jobs, counted anew.
    pub fn new(shard: &Shard, tree: Arc<Tree>) -> Self {
        let mut out = Counted {
            live: Live::new(tree),
            by_job: HashMap::new(),
        };
        out.follow(shard, 0..shard.jobs.slots());
        out
    }

    fn follow(&mut self, shard: &Shard, touched: impl IntoIterator<Item = JobIndex>) {
        let mut teams: HashMap<TeamId, Count> = HashMap::new();
        let mut shift = |live: &Live, team: TeamId, by: &Count, sign: i64| {
            let count = teams.entry(team).or_insert_with(|| live.team(team));
            add(&mut count.demand, &by.demand, sign);
            add(&mut count.used, &by.used, sign);
        };
        for ix in touched {
            let after = shard.job(ix).and_then(|job| counts(job, self.live.tree()));
            let before = match after {
                Some(after) => self.by_job.insert(ix, after),
                None => self.by_job.remove(&ix),
            };
            if before != after {
                before
                    .iter()
                    .for_each(|(team, count)| shift(&self.live, *team, count, -1));
                after
                    .iter()
                    .for_each(|(team, count)| shift(&self.live, *team, count, 1));
            }
        }
        for (team, count) in teams {
            self.live.set_demand(team, count.demand);
            self.live.set_used(team, count.used);
        }
    }

    /// Whether counting everything anew gives the same.
    fn is_right(&self, shard: &Shard) -> bool {
        let anew = Counted::new(shard, self.live.tree().clone());
        (0..self.live.tree().leaves.len() as u32)
            .map(TeamId)
            .all(|t| anew.live.team(t) == self.live.team(t))
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

/// How much of what the nodes above a team are entitled to is used: that of the node furthest below, at most 1. The
/// wait that a guarantee allows shrinks with it, so that who is furthest below has the earliest deadline.
fn fulfilled(live: &Live, team: TeamId) -> f64 {
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
fn may_be_held(tree: &Tree, team: TeamId) -> bool {
    let leaf = &tree.leaves[team.0 as usize];
    let path = tree.path(team);
    path.is_empty()
        || leaf.guarantee != NOTHING
        || tree.nodes[path[0].0 as usize].guarantee != NOTHING
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

/// Teams on whose path nothing is guaranteed.
pub(crate) fn unheld(tree: &quota::Tree, teams: &HashMap<&str, u16>) -> Vec<u16> {
    let none = |name: &str| tree.team(name).is_some_and(|t| !may_be_held(tree, t));
    teams
        .iter()
        .filter(|(name, _)| none(name))
        .map(|(_, t)| *t)
        .collect()
}

/// The tree's nodes as the planner knows them; all claims below one count against its bound.
pub(crate) fn groups(tree: &quota::Tree, live: &quota::Live) -> Vec<plan::Group> {
    let units = |v: i64| {
        if v == quota::UNBOUNDED {
            f64::INFINITY
        } else {
            v as f64 / 1000.0
        }
    };
    let res = |a: &quota::Amount| plan::Res {
        cores: units(a[quota::CPUS]),
        gpus: units(a[quota::GPUS]),
        mem: units(a[quota::MEM]),
    };
    let group = |(i, node): (usize, &quota::Node)| plan::Group {
        used: res(&live.used(quota::NodeId(i as u32))),
        max: res(&node.max),
        sheds: node.over == quota::Over::Reclaim,
    };
    tree.nodes.iter().enumerate().map(group).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use wire::api::Priority;
    use wire::records::JobRecord;

    fn spec(id: u32, team: &str, tasks: u32, cores: f64, gpus: f64) -> JobSpec {
        JobSpec {
            id: format!("job-{id}"),
            class: "c".into(),
            team: team.into(),
            kind: Kind::Array,
            priority: Priority::Normal,
            tasks,
            cores,
            gpus,
            mem_gb: 1.0,
            image: "i".into(),
            image_gb: 1.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: 10.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        }
    }

    fn share(gpus: i64) -> Share {
        let mut out = [None; MAX_RESOURCES];
        out[quota::GPUS] = Some(gpus * 1000);
        out
    }

    /// 100,000 jobs of 10,000 teams on six levels: a start or an end costs steps on its own path, not on the others'.
    #[test]
    fn a_start_among_many_jobs_touches_its_path() {
        let mut spec_of_tree = quota::Spec::default();
        for i in 0..1111u32 {
            // Ten below each: levels of 1, 10, 100 and 1,000, and the last with a thin path of two more.
            let parent = (i > 0).then(|| format!("n{}", (i - 1) / 10));
            spec_of_tree
                .nodes
                .push(quota::NodeSpec::new(&format!("n{i}"), parent.as_deref()));
        }
        spec_of_tree
            .nodes
            .push(quota::NodeSpec::new("deep", Some("n1110")));
        spec_of_tree.nodes[0].guarantee = [("cpus".to_owned(), 50_000.0)].into();
        let teams: Vec<quota::Team> = (0..10_000)
            .map(|i| quota::Team::new(&format!("t{i}")))
            .collect();
        for (i, team) in teams.iter().enumerate() {
            let parent = if i % 1000 == 999 {
                "deep".to_owned()
            } else {
                format!("n{}", 111 + i % 1000)
            };
            spec_of_tree
                .teams
                .push(quota::TeamSpec::new(&team.name, Some(&parent)));
        }
        let tree = Arc::new(Tree::build(&spec_of_tree, &teams).expect("good"));
        assert_eq!(tree.levels() + 1, 6);
        let mut shard = Shard::new(1, 1, 0, 16.0);
        for i in 0..100_000u32 {
            let spec = spec(i, &teams[i as usize % 10_000].name, 2, 1.0, 0.0);
            shard.add_job(Job::new(JobRecord::new(spec, u64::from(i), 0), 1));
        }
        shard.take_touched();
        let mut counted = Counted::new(&shard, tree);
        let all = counted.live.steps;
        for ix in [0, 999, 55_555] {
            shard.job_mut(ix).expect("there").claim(0, 7, 1);
            let touched = shard.take_touched();
            assert_eq!(touched, [ix]);
            let before = counted.live.steps;
            counted.follow(&shard, touched);
            let steps = counted.live.steps - before;
            assert!(
                steps <= 2 * 7 && steps * 1000 < all,
                "job {ix}: {steps} steps of {all}"
            );
        }
        assert!(counted.is_right(&shard));
        assert_eq!(
            nested(&shard, &open_jobs(&shard), &mut counted.live).len(),
            100_000
        );
    }

    /// The wait that a guarantee allows shrinks with what the node furthest below has of what it is due; in a flat tree,
    /// and for what nothing is due to, it stays as it is.
    #[test]
    fn the_furthest_below_has_the_earliest_deadline() {
        let gpus = |n: f64| [("gpus".to_owned(), n)].into();
        let node = |name: &str, parent, n| quota::NodeSpec {
            guarantee: gpus(n),
            ..quota::NodeSpec::new(name, parent)
        };
        let spec = quota::Spec {
            nodes: vec![
                node("house", None, 20.0),
                node("a", Some("house"), 10.0),
                node("b", Some("house"), 10.0),
            ],
            teams: vec![
                quota::TeamSpec::new("ta", Some("a")),
                quota::TeamSpec::new("tb", Some("b")),
            ],
        };
        let teams = ["ta", "tb", "flat"].map(quota::Team::new);
        let mut live = Live::new(Tree::build(&spec, &teams).expect("good").into());
        let at = |n: f64| amount(&[("gpus", n)]);
        for (team, demand, used) in [(0, 10.0, 2.0), (1, 12.0, 8.0), (2, 5.0, 0.0)] {
            live.set_demand(TeamId(team), at(demand));
            live.set_used(TeamId(team), at(used));
        }
        // Desk a has 2 of 10, desk b 8 of 10, the house 10 of 20.
        assert_eq!(
            [0, 1, 2].map(|t| fulfilled(&live, TeamId(t))),
            [0.2, 0.5, 1.0]
        );
        live.set_used(TeamId(0), at(30.0));
        assert_eq!(fulfilled(&live, TeamId(0)), 1.0, "never more");
        live.set_demand(TeamId(0), at(0.0));
        live.set_demand(TeamId(1), at(0.0));
        assert_eq!(fulfilled(&live, TeamId(1)), 1.0, "nothing is due");
    }

    /// An array is held task by task, a gang whole or not at all, and what is held below is held above.
    #[test]
    fn tasks_are_held_as_far_as_they_fit() {
        let mut left = [share(10), share(6), share(3)];
        let two = takes(1.0, 2.0, 1.0);
        assert_eq!(fit(&mut left, &two, 4, Kind::Array), [4, 3, 1]);
        // 2, 0 and 1 GPUs are left.
        assert_eq!(
            fit(&mut left, &takes(0.0, 1.0, 0.0), 2, Kind::Gang),
            [2, 0, 0]
        );
        assert_eq!(
            fit(&mut left, &takes(0.0, 1.0, 0.0), 1, Kind::Service),
            [1, 1, 1]
        );
        assert_eq!(
            fit(&mut left, &takes(8.0, 0.0, 1.0), 9, Kind::Array),
            [0, 0, 0],
            "nothing of it is guaranteed"
        );
        let levels = vec![4, 3, 1];
        assert_eq!(
            (0..5).map(|k| held(&levels, k)).collect::<Vec<_>>(),
            [3, 2, 2, 1, 0]
        );
    }

    fn team(name: &str, cpus: f64, gpus: f64) -> Team {
        Team {
            name: name.into(),
            cpus,
            cpus_max: 0.0,
            gpus,
            gpus_max: 0.0,
        }
    }

    /// GPU jobs of a team that has only processors guaranteed were never within its guarantee.
    #[test]
    fn a_guarantee_counts_by_the_resources_that_are_guaranteed() {
        let teams = [
            team("cpus", 20.0, 0.0),
            team("gpus", 0.0, 4.0),
            team("both", 20.0, 4.0),
        ];
        let mut shard = Shard::new(1, 1, 0, 16.0);
        let jobs = [
            ("cpus", 3, 6.0, 1.0, true), // 18 of 20 CPUs, though no GPU is guaranteed.
            ("cpus", 1, 6.0, 0.0, false), // Past them, with the job before.
            ("gpus", 4, 60.0, 1.0, true), // The CPUs do not count.
            ("gpus", 1, 1.0, 0.0, false), // Takes nothing of what is guaranteed.
            ("both", 4, 2.0, 1.0, true), // Fits in both.
            ("both", 1, 2.0, 1.0, false), // No GPU is left.
            ("none", 1, 1.0, 0.0, false), // An unknown team.
        ];
        for (i, (team, tasks, cores, gpus, _)) in jobs.iter().enumerate() {
            let spec = spec(i as u32, team, *tasks, *cores, *gpus);
            shard.add_job(Job::new(JobRecord::new(spec, i as u64, 0), 1));
        }
        let within = within_guarantee(&shard, &open_jobs(&shard), &teams);
        for (i, (team, .., expected)) in jobs.iter().enumerate() {
            assert_eq!(within.contains(&i), *expected, "job {i} of {team}");
        }
    }

    /// A flat tree that repeats the settings, and no tree, hold the same jobs; so decisions are the same, one for one.
    #[test]
    fn a_flat_tree_holds_what_the_settings_do() {
        let teams = [
            team("a", 20.0, 0.0),
            team("b", 0.3333, 4.0),
            team("c", 0.0, 0.0),
        ];
        let leaves: Vec<quota::Team> = teams
            .iter()
            .map(|t| quota::Team {
                guarantee: [("cpus".to_owned(), t.cpus), ("gpus".to_owned(), t.gpus)].into(),
                ..quota::Team::new(&t.name)
            })
            .collect();
        let mut spec_of_tree = quota::Spec::default();
        spec_of_tree
            .teams
            .extend(["a", "c"].map(|t| quota::TeamSpec::new(t, None)));
        let tree = quota::Tree::build(&spec_of_tree, &leaves).expect("good");
        let good = Good {
            version: 1,
            spec: spec_of_tree.into(),
            built: tree.into(),
        };
        let index: HashMap<&str, u16> = teams
            .iter()
            .enumerate()
            .map(|(i, t)| (t.name.as_str(), i as u16))
            .collect();
        let mut rng = fastrand::Rng::with_seed(5);
        for _ in 0..200 {
            let mut shard = Shard::new(1, 1, 0, 16.0);
            for i in 0..12 {
                let team = ["a", "b", "c"][rng.usize(0..3)];
                let (tasks, cores) = (rng.u32(1..5), [0.1111, 1.0, 6.0][rng.usize(0..3)]);
                let spec = spec(i, team, tasks, cores, f64::from(rng.u32(0..3)));
                shard.add_job(Job::new(JobRecord::new(spec, u64::from(i), 0), 1));
            }
            let without = holds(&mut shard, &teams, None, &index);
            let with = holds(&mut shard, &teams, Some(&good), &index);
            assert_eq!(without.flat, with.flat);
            assert!(with.nested.is_empty() && with.fulfilled.is_empty() && shard.counted.is_none());
        }
    }
}
