//! What the planner is shown: parameters, teams and quotas, and the index by which its answers are read. Machines are
//! added by `plan_machines`, jobs by `plan_jobs`.

use super::reservations::reservations;
use crate::agents::machine::Need;
use crate::jobs::class::Class;
use crate::jobs::job::{Job, JobIndex};
use crate::scheduling::entitlement::Entitlement;
use crate::scheduling::{entitlement, fair_share};
use crate::store::shard::{self, Shard};
use crate::{Node, Now, Tuning};
use std::collections::{BTreeMap, HashMap, HashSet};
use wire::api::{Catalog, MachineType};
use wire::records::TeamAllotment;
use wire::settings::{Objective, Team};

/// Steps of a plan that a whole core may spend; with a share of a core it is that share.
const STEPS_PER_CORE: f64 = 4e6;
/// Run time of a task that nothing is known of, in seconds.
const UNKNOWN_RUN_S: f64 = 60.0;
/// What a machine's record takes in the state service besides its claims, in bytes.
const MACHINE_RECORD_BYTES: f64 = 600.0;
/// What each claim adds to it, in bytes.
const CLAIM_BYTES: f64 = 40.0;

/// The jobs that a plan covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    All,
    /// Urgent jobs, and those that have waited so long that they go before all others.
    Urgent,
}

/// Maps the planner's indices to those of the leader's memory.
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

/// All that a machine of this type has.
pub(super) fn total_of(machine_type: &MachineType) -> plan::Resources {
    plan::Resources {
        cores: machine_type.cores,
        gpus: machine_type.gpus,
        mem: machine_type.mem_gb,
    }
}

/// Names as dense indices, in the order of the settings.
pub(super) fn index_names<'a>(names: impl Iterator<Item = &'a String>) -> HashMap<&'a str, u16> {
    names
        .enumerate()
        .map(|(i, name)| (name.as_str(), i as u16))
        .collect()
}

/// The dense indices by which a plan knows machine types, zones and teams.
pub(super) struct NameIndex<'a> {
    pub catalog: &'a Catalog,
    pub types: HashMap<&'a str, u16>,
    pub zones: HashMap<&'a str, u16>,
    pub teams: HashMap<&'a str, u16>,
    /// Teams on whose path nothing is guaranteed, where quotas nest.
    pub unguaranteed_teams: HashSet<u16>,
}

/// What a plan needs of a job for each of its claims, looked up once.
pub(super) struct ClaimedJob {
    pub team: Option<u16>,
    /// Expected run time of a task, in seconds.
    pub expected_s: f64,
    /// Run time after which a task saves, 0 if it never does.
    pub checkpoint_s: f64,
    pub image: Option<u32>,
}

impl ClaimedJob {
    fn of(
        job: &Job,
        teams: &HashMap<&str, u16>,
        classes: &BTreeMap<String, Class>,
        images: &mut shard::Names,
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
        let factor = classes.get(&spec.class).map_or(1.0, Class::factor);
        ClaimedJob {
            team,
            expected_s: (spec.estimate_s * factor - job.progress_s).max(1.0),
            checkpoint_s: spec.checkpoint_s,
            image: Some(images.get(&spec.image)),
        }
    }
}

/// A planner's input while it is built from a shard, step by step.
pub(super) struct InputBuilder<'a> {
    pub now: Now,
    pub shard: &'a mut Shard,
    pub names: NameIndex<'a>,
    pub objectives: &'a [Objective],
    pub entitlement: Entitlement,
    /// Machines whose last heartbeat is older take no tasks.
    pub silent_ms: u64,
    /// Claims that fit into a machine's record.
    pub max_claims: u32,
    /// By job index, as the shard's jobs are.
    pub claimed_jobs: Vec<Option<ClaimedJob>>,
    /// By job index, claims that stay: they count as held before what waits.
    pub continuing_claims: Vec<u32>,
    /// The planner's index of each machine that it is shown.
    pub machine_index: HashMap<usize, u32>,
    pub input: plan::Input,
    pub index: PlanIndex,
}

impl InputBuilder<'_> {
    /// Notes which jobs have begun to run, before the plan asks whether they still wait.
    fn note_begun_jobs(&mut self) {
        for job in self.shard.jobs.iter_mut().flatten() {
            job.began |= job.running > 0;
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
    /// The planner's input for this moment, and the index of what it names.
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
        if let (Some(tree), Some((_, counted))) = (&tree, &shard.counted) {
            input.groups = fair_share::planner_groups(tree, &counted.live);
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

    /// An input with the planner's parameters and nothing else.
    fn plan_parameters(&self) -> plan::Input {
        plan::Input {
            online_factor: self.tuning.online_factor,
            patience: self.tuning.patience_s,
            aging: plan::AgingThresholds {
                old: self.tuning.wait_s,
                latest: self.tuning.latest_s,
            },
            max_steps: (self.settings.limits().cores * STEPS_PER_CORE) as u64,
            ..plan::Input::default()
        }
    }

    /// Teams with their limits: those of the recorded allotment, the tree's by the version that stands there. Without
    /// one, or with another version in force, there is no room at all.
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
                path: path.into_iter().map(|node| node.0 as u16).collect(),
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

/// Limits of a team that nothing is allotted to, in the terms of the settings, where 0 is no limit.
const NO_ALLOTMENT: (f64, f64) = (-1.0, -1.0);

/// A limit of the settings as the planner has it.
fn planner_limit(max: f64) -> f64 {
    if max == 0.0 {
        f64::INFINITY
    } else {
        max.max(0.0)
    }
}
