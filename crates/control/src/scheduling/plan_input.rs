//! Builds the planner's input: parameters, teams and quotas, and the index that maps its output back. Machines are
//! added by `plan_machines`, jobs by `plan_jobs`.

use super::reservations::reservations;
use crate::agents::machine::Need;
use crate::jobs::class::ClassStatistics;
use crate::jobs::job::{Job, JobIndex};
use crate::scheduling::entitlement::Entitlement;
use crate::scheduling::{entitlement, fair_share};
use crate::store::shard::{self, Shard};
use crate::{Node, Now, Tuning};
use std::collections::{BTreeMap, HashMap, HashSet};
use wire::api::{Catalog, MachineType};
use wire::records::TeamAllotment;
use wire::settings::{Objective, Team};

/// Bound on a plan's steps with one core; it scales with the cores of the node's limits.
const STEPS_PER_CORE: f64 = 4e6;
/// Expected run time of a task whose job's spec is unknown, in seconds.
const UNKNOWN_RUN_S: f64 = 60.0;
/// Size of a machine's record in the state service without its claims, in bytes.
const MACHINE_RECORD_BYTES: f64 = 600.0;
/// Size that each claim adds to the record, in bytes.
const CLAIM_BYTES: f64 = 40.0;

/// The jobs that a plan covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    All,
    /// Urgent jobs, and others except services that have waited longer than the tuning value `wait_s`.
    Urgent,
}

/// Maps the planner's indices to those of the leader's shard.
#[derive(Default)]
pub(super) struct PlanIndex {
    pub machines: Vec<usize>,
    pub jobs: Vec<JobIndex>,
    /// For each machine of the input, the claims behind its running tasks.
    pub claims: Vec<Vec<usize>>,
}

impl From<Need> for plan::Resources {
    fn from(need: Need) -> Self {
        plan::Resources {
            cores: need.cores,
            gpus: need.gpus,
            mem: need.mem_gb,
        }
    }
}

/// The total resources of a machine type.
pub(super) fn total_of(machine_type: &MachineType) -> plan::Resources {
    plan::Resources {
        cores: machine_type.cores,
        gpus: machine_type.gpus,
        mem: machine_type.mem_gb,
    }
}

/// Maps names to their position in the list.
pub(super) fn index_names<'a>(names: impl Iterator<Item = &'a String>) -> HashMap<&'a str, u16> {
    names
        .enumerate()
        .map(|(i, name)| (name.as_str(), i as u16))
        .collect()
}

/// The indices of machine types, zones and teams in a plan.
pub(super) struct NameIndex<'a> {
    pub catalog: &'a Catalog,
    pub types: HashMap<&'a str, u16>,
    pub zones: HashMap<&'a str, u16>,
    pub teams: HashMap<&'a str, u16>,
    /// In nested quotas, teams without a guarantee of their own or at the root of their path.
    pub unguaranteed_teams: HashSet<u16>,
}

/// Values of a job that a plan needs for each of its claims, looked up once.
pub(super) struct ClaimedJob {
    pub team: Option<u16>,
    /// Expected run time of a task, in seconds.
    pub expected_s: f64,
    /// Interval between checkpoints in seconds, 0 if the task never saves.
    pub checkpoint_s: f64,
    pub image: Option<u32>,
}

impl ClaimedJob {
    fn of(
        job: &Job,
        teams: &HashMap<&str, u16>,
        classes: &BTreeMap<String, ClassStatistics>,
        images: &mut shard::NameInterner,
    ) -> Self {
        let team = teams.get(job.team.as_str()).copied();
        let Some(spec) = &job.spec else {
            return ClaimedJob {
                team,
                expected_s: UNKNOWN_RUN_S,
                checkpoint_s: 0.0,
                image: None,
            };
        };
        let factor = classes
            .get(&spec.class)
            .map_or(1.0, ClassStatistics::estimate_factor);
        ClaimedJob {
            team,
            expected_s: (spec.estimate_s * factor - job.progress_s).max(1.0),
            checkpoint_s: spec.checkpoint_s,
            image: Some(images.get(&spec.image)),
        }
    }
}

/// Builds the planner's input from a shard.
pub(super) struct InputBuilder<'a> {
    pub now: Now,
    pub shard: &'a mut Shard,
    pub names: NameIndex<'a>,
    pub objectives: &'a [Objective],
    pub entitlement: Entitlement,
    /// Machines whose last heartbeat is older take no tasks.
    pub silent_ms: u64,
    /// The most claims that fit into a machine's record.
    pub max_claims: u32,
    /// By job index.
    pub claimed_jobs: Vec<Option<ClaimedJob>>,
    /// By job index, the number of claims that are not being stopped. Guarantees cover these before waiting tasks.
    pub continuing_claims: Vec<u32>,
    /// The planner's index of each machine in the input, by machine index.
    pub machine_index: HashMap<usize, u32>,
    pub input: plan::Input,
    pub index: PlanIndex,
}

impl InputBuilder<'_> {
    /// Marks the jobs that have begun to run. This precedes `add_jobs`, which reads whether jobs still wait.
    fn note_begun_jobs(&mut self) {
        for job in self.shard.jobs.iter_mut().flatten() {
            job.was_running_at_plan |= job.running > 0;
        }
    }

    fn look_up_claimed_jobs(&mut self) {
        let Shard {
            jobs,
            classes,
            images,
            ..
        } = &mut *self.shard;
        let teams = &self.names.teams;
        self.claimed_jobs = jobs
            .iter()
            .map(|job| Some(ClaimedJob::of(job?, teams, classes, images)))
            .collect();
        self.continuing_claims = vec![0; jobs.slots()];
    }

    fn add_reservations(&mut self, tuning: &Tuning) {
        self.input.reservations = reservations(
            self.shard,
            self.objectives,
            &self.names,
            tuning,
            self.now.wall,
        );
    }
}

impl Node {
    /// The planner's input at this time, and the index that maps its output back.
    pub(super) fn plan_input(
        &mut self,
        catalog: &Catalog,
        scope: Scope,
    ) -> (plan::Input, PlanIndex) {
        let active = self.shared.documents.quota.active.clone();
        let tree = active
            .as_ref()
            .map(|active| active.built.clone())
            .filter(|tree| !tree.nodes.is_empty());
        let mut input = self.plan_parameters();
        input.teams = self.plan_teams(tree.as_deref());
        let silent_ms = self.silent_ms();
        let cluster = &self.settings.cluster;
        let Some(shard) = &mut self.shard else {
            return (input, PlanIndex::default());
        };
        let teams = index_names(cluster.teams.iter().map(|team| &team.name));
        let entitlement = entitlement::entitlement(shard, &cluster.teams, active.as_ref(), &teams);
        if let (Some(tree), Some((_, usage))) = (&tree, &shard.quota_usage) {
            input.groups = fair_share::planner_groups(tree, &usage.live);
        }
        let unguaranteed_teams = tree
            .iter()
            .flat_map(|tree| fair_share::unguaranteed_teams(tree, &teams))
            .collect();
        let names = NameIndex {
            catalog,
            types: index_names(catalog.types.iter().map(|t| &t.name)),
            zones: index_names(cluster.zones.iter()),
            teams,
            unguaranteed_teams,
        };
        let record_bytes = cluster.state.value_kb * 1024.0;
        let mut builder = InputBuilder {
            now: self.now,
            shard,
            names,
            objectives: &cluster.objectives,
            entitlement,
            silent_ms,
            max_claims: ((record_bytes - MACHINE_RECORD_BYTES) / CLAIM_BYTES) as u32,
            claimed_jobs: Vec::new(),
            continuing_claims: Vec::new(),
            machine_index: HashMap::new(),
            input,
            index: PlanIndex::default(),
        };
        builder.note_begun_jobs();
        builder.look_up_claimed_jobs();
        builder.count_team_usage();
        builder.add_machines();
        builder.add_jobs(scope);
        builder.add_reservations(&self.tuning);
        (builder.input, builder.index)
    }

    /// An input that contains only the planner's parameters.
    fn plan_parameters(&self) -> plan::Input {
        plan::Input {
            online_factor: self.tuning.online_factor,
            patience: self.tuning.patience_s,
            aging: plan::AgingThresholds {
                aged_after: self.tuning.wait_s,
                first_of_all_after: self.tuning.latest_s,
            },
            max_steps: (self.settings.limits().cores * STEPS_PER_CORE) as u64,
            ..plan::Input::default()
        }
    }

    /// Teams with the limits of the recorded allotment. Without an allotment, or if it was recorded for a version of
    /// the quota tree other than the one in force, teams may use nothing.
    fn plan_teams(&self, tree: Option<&quota::Tree>) -> Vec<plan::Team> {
        let version = self.shared.documents.quota.version();
        let is_recorded = |shard: &&Shard| shard.allotment.is_settled();
        let allotment = self
            .shard
            .as_ref()
            .filter(is_recorded)
            .and_then(|shard| shard.allotment.current())
            .filter(|allotment| Some(allotment.tree) == version);
        let listed: HashMap<&str, &TeamAllotment> = allotment
            .iter()
            .flat_map(|allotment| &allotment.teams)
            .map(|team| (team.name.as_str(), team))
            .collect();
        let is_whole = allotment.is_some_and(|allotment| allotment.whole.is_some());
        let planner_team = |team: &Team| {
            let path = tree
                .and_then(|tree| Some(tree.path(tree.team(&team.name)?)))
                .unwrap_or_default();
            let listed_limits = listed
                .get(team.name.as_str())
                .map(|listed| (listed.cpus_max, listed.gpus_max));
            let whole_limits = is_whole.then_some((team.cpus_max, team.gpus_max));
            let (cpus_max, gpus_max) = listed_limits.or(whole_limits).unwrap_or(NO_ALLOTMENT);
            plan::Team {
                groups: path.into_iter().map(|node| node.0 as u16).collect(),
                cores_used: 0.0,
                gpus_used: 0.0,
                cores_max: planner_limit(cpus_max),
                gpus_max: planner_limit(gpus_max),
            }
        };
        self.settings
            .cluster
            .teams
            .iter()
            .map(planner_team)
            .collect()
    }
}

/// Limits of a team without an allotment. In the settings 0 means unlimited, so these are negative.
const NO_ALLOTMENT: (f64, f64) = (-1.0, -1.0);

/// Converts a limit of the settings, where 0 means unlimited, to the planner's.
fn planner_limit(max: f64) -> f64 {
    if max == 0.0 {
        f64::INFINITY
    } else {
        max.max(0.0)
    }
}
