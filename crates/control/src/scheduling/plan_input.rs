//! What the planner is shown: machines, jobs, teams and quotas, built from the leader's memory.

use super::objectives::Aims;
use super::reservations::spares;
use crate::Node;
use crate::agents::machine::{Machine, Need};
use crate::jobs::job::{Class, Ending, Job, JobIndex};
use crate::scheduling::urgent;
use crate::scheduling::{entitlement, fair_share};
use crate::store::shard::Shard;
use std::collections::{HashMap, HashSet};
use wire::api::{Catalog, JobSpec, Kind};
use wire::records::TeamAllotment;
use wire::settings::Team;

/// Steps of a plan that a whole core may spend; with a share of a core it is that share.
const STEPS_A_CORE: f64 = 4e6;

/// Run time of a task that nothing is known of, in seconds.
const UNKNOWN_RUN_S: f64 = 60.0;

/// Whom a plan is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    All,
    /// Urgent work, and what has waited so long that it goes before all others.
    Urgent,
}

/// The planner's indices and ours.
pub(super) struct Map {
    pub machines: Vec<usize>,
    pub jobs: Vec<JobIndex>,
    /// For each machine of the input, the claims behind its running tasks.
    pub claims: Vec<Vec<usize>>,
}

impl From<Need> for plan::Res {
    fn from(n: Need) -> Self {
        plan::Res {
            cores: n.cores,
            gpus: n.gpus,
            mem: n.mem_gb,
        }
    }
}

/// Names as dense indices, in the order of the settings.
pub(super) fn index<'a>(names: impl Iterator<Item = &'a String>) -> HashMap<&'a str, u16> {
    names
        .enumerate()
        .map(|(i, n)| (n.as_str(), i as u16))
        .collect()
}

/// The dense indices of this plan.
pub(super) struct Names<'a> {
    pub catalog: &'a Catalog,
    pub types: &'a HashMap<&'a str, u16>,
    pub zones: &'a HashMap<&'a str, u16>,
    pub teams: &'a HashMap<&'a str, u16>,
    /// Teams on whose path nothing is guaranteed, where quotas nest.
    pub unheld: &'a HashSet<u16>,
}

/// A job as the planner sees it, as far as its description says.
pub(super) fn shaped(
    spec: &JobSpec,
    images: &mut crate::store::shard::Names,
    names: &Names<'_>,
    team: u16,
) -> plan::Job {
    let types = match &spec.types {
        Some(list) => list
            .iter()
            .filter_map(|t| names.types.get(t.as_str()))
            .fold(0, |bits, i| bits | 1 << i),
        None => (0..names.catalog.types.len()).fold(0, |bits, i| bits | 1 << i),
    };
    plan::Job {
        shape: match spec.kind {
            Kind::Array => plan::Shape::Array,
            Kind::Gang => plan::Shape::Gang,
            Kind::Service => plan::Shape::Service,
        },
        priority: spec.priority as u8,
        arrival: 0.0,
        estimate: spec.estimate_s,
        tasks: spec.tasks,
        pending: spec.tasks,
        need: plan::Res {
            cores: spec.cores,
            gpus: spec.gpus,
            mem: spec.mem_gb,
        },
        types,
        zone: spec
            .zone
            .as_ref()
            .map(|z| names.zones.get(z.as_str()).copied().unwrap_or(u16::MAX)),
        one_zone: spec.one_zone,
        spread: spec.spread,
        spot: spec.spot,
        image: images.get(&spec.image),
        image_gb: spec.image_gb,
        team,
        due: None,
        waits: false,
        promised: false,
        held: 0,
        zones: Vec::new(),
        avoid: Vec::new(),
        tenant: plan::Tenant::default(),
        only: Vec::new(),
    }
}

/// What a plan needs of a job for each of its claims, looked up once.
struct ClaimedJob {
    team: Option<u16>,
    /// Run time that is expected of a task, in seconds.
    expected: f64,
    /// Run time after which a task saves, 0 if it never does.
    saves: f64,
    image: Option<u32>,
}

impl ClaimedJob {
    fn of(
        job: &Job,
        teams: &HashMap<&str, u16>,
        classes: &std::collections::BTreeMap<String, Class>,
        images: &mut crate::store::shard::Names,
    ) -> Self {
        let team = teams.get(job.team.as_str()).copied();
        let Some(spec) = &job.spec else {
            return ClaimedJob {
                team,
                expected: UNKNOWN_RUN_S,
                saves: 0.0,
                image: None,
            };
        };
        let factor = classes.get(&spec.class).map_or(1.0, |c| c.factor());
        ClaimedJob {
            team,
            expected: (spec.estimate_s * factor - job.progress_s).max(1.0),
            saves: spec.checkpoint_s,
            image: Some(images.get(&spec.image)),
        }
    }
}

/// Tasks of a job that hold a place now, by zone.
fn zones_taken(job: &Job, zone_of: &[Option<u16>]) -> Vec<(u16, u32)> {
    let mut out: Vec<(u16, u32)> = Vec::new();
    for (m, _) in job.claimed.values().flatten() {
        let Some(Some(z)) = zone_of.get(*m) else {
            continue;
        };
        match out.iter_mut().find(|(id, _)| id == z) {
            Some((_, n)) => *n += 1,
            None => out.push((*z, 1)),
        }
    }
    out
}

/// When a machine that boots is expected to take tasks. One that is late is expected a while from now.
fn ready_in(machine: &Machine, boot_s: f64, wall: u64) -> f64 {
    if machine.up || machine.deleting || machine.failed {
        return f64::INFINITY;
    }
    let age = wall.saturating_sub(machine.rented_ms) as f64 / 1000.0;
    if age < boot_s {
        boot_s - age + 1.0
    } else {
        (age - boot_s) * 0.5 + 5.0
    }
}

/// Whether the `nth` claim of a job is not stopped for urgency alone: of an old array a first share until some of it is
/// done, of one that has waited as long as any may all.
fn is_spared(job: &Job, nth: u32, waits: &plan::Waits, wall: u64) -> bool {
    let Some(spec) = job.spec.as_deref().filter(|s| s.kind == Kind::Array) else {
        return false;
    };
    let age = wall.saturating_sub(job.at_ms) as f64 / 1000.0;
    let first = job.done_count == 0 && nth < plan::first_share(plan::Shape::Array, spec.tasks);
    age >= waits.latest || first && age >= waits.old
}

impl Node {
    /// Teams with their limits: those of the recorded allotment, the tree's by the version that stands there. Without
    /// one, or with another version in force, there is no room at all.
    fn plan_teams(&self, tree: Option<&quota::Tree>) -> Vec<plan::Team> {
        let version = self.shared.documents.quota.version();
        let recorded = |p: &&Shard| p.allotment_version > 0 && p.allotment_wanted.is_none();
        let allotment = self
            .shard
            .as_ref()
            .filter(recorded)
            .and_then(|p| p.allotment.as_ref());
        let allotment = allotment.filter(|a| Some(a.tree) == version);
        let listed: HashMap<&str, &TeamAllotment> = allotment
            .iter()
            .flat_map(|a| &a.teams)
            .map(|t| (t.name.as_str(), t))
            .collect();
        let whole = allotment.is_some_and(|a| a.whole.is_some());
        let max = |m: f64| if m == 0.0 { f64::INFINITY } else { m.max(0.0) };
        let team = |t: &Team| {
            let path = tree
                .and_then(|tree| Some(tree.path(tree.team(&t.name)?)))
                .unwrap_or_default();
            let limits = listed
                .get(t.name.as_str())
                .map(|a| (a.cpus_max, a.gpus_max));
            let limits = limits.or(whole.then_some((t.cpus_max, t.gpus_max)));
            let (cpus_max, gpus_max) = limits.unwrap_or((-1.0, -1.0));
            plan::Team {
                path: path.into_iter().map(|n| n.0 as u16).collect(),
                cores_used: 0.0,
                gpus_used: 0.0,
                cores_max: max(cpus_max),
                gpus_max: max(gpus_max),
            }
        };
        self.settings.cluster.teams.iter().map(team).collect()
    }

    pub(super) fn plan_input(&mut self, catalog: &Catalog, scope: Scope) -> (plan::Input, Map) {
        let now = self.now;
        let types = index(catalog.types.iter().map(|t| &t.name));
        let zones = index(self.settings.cluster.zones.iter());
        let teams = index(self.settings.cluster.teams.iter().map(|t| &t.name));
        let silent = self.silent_ms();
        let value_room = (self.settings.cluster.state.value_kb * 1024.0 - 600.0) / 40.0;
        let mut input = plan::Input {
            online_factor: self.tuning.online_factor,
            patience: self.tuning.patience_s,
            waits: plan::Waits {
                old: self.tuning.wait_s,
                latest: self.tuning.latest_s,
            },
            max_steps: (self.settings.limits().cores * STEPS_A_CORE) as u64,
            ..plan::Input::default()
        };
        let mut map = Map {
            machines: Vec::new(),
            jobs: Vec::new(),
            claims: Vec::new(),
        };
        let good = self.shared.documents.quota.good.clone();
        let tree = good
            .as_ref()
            .map(|g| g.built.clone())
            .filter(|tree| !tree.nodes.is_empty());
        input.teams = self.plan_teams(tree.as_deref());
        let Some(shard) = &mut self.shard else {
            return (input, map);
        };
        let aims = Aims {
            all: &self.settings.cluster.objectives,
        };
        let holds = entitlement::holds(shard, &self.settings.cluster.teams, good.as_ref(), &teams);
        let unheld: HashSet<u16> = tree
            .iter()
            .flat_map(|tree| fair_share::unheld(tree, &teams))
            .collect();
        let names = Names {
            catalog,
            types: &types,
            zones: &zones,
            teams: &teams,
            unheld: &unheld,
        };
        if let (Some(tree), Some((_, counted))) = (&tree, &shard.counted) {
            input.groups = fair_share::groups(tree, &counted.live);
        }
        shard
            .jobs
            .iter_mut()
            .flatten()
            .for_each(|j| j.began |= j.running > 0);
        // Claims of each job that stay: they count as held before what waits.
        let mut staying: Vec<u32> = vec![0; shard.jobs.len()];
        let (classes, images) = (&shard.classes, &mut shard.images);
        let claimed_jobs: Vec<Option<ClaimedJob>> = shard
            .jobs
            .iter()
            .map(|job| Some(ClaimedJob::of(job.as_ref()?, &teams, classes, images)))
            .collect();
        let claimed_job = |ix: JobIndex| claimed_jobs.get(ix).and_then(Option::as_ref);
        let mut to_plan: HashMap<usize, u32> = HashMap::new();
        for (m, machine) in shard.machines.iter().enumerate() {
            let Some(machine) = machine else { continue };
            // All claims count against their team, wherever they are.
            for c in &machine.claims {
                if let Some(job) = shard.jobs.get(c.job).and_then(Option::as_ref)
                    && let Some(t) = claimed_job(c.job).and_then(|known| known.team)
                {
                    input.teams[usize::from(t)].cores_used += job.need.cores;
                    input.teams[usize::from(t)].gpus_used += job.need.gpus;
                }
            }
            let Some(kind) = types.get(machine.machine_type.as_str()) else {
                continue;
            };
            let t = &catalog.types[*kind as usize];
            let Some(zone) = zones.get(machine.zone.as_str()) else {
                continue;
            };
            let mut running = Vec::new();
            let mut claims = Vec::new();
            let mut images: Vec<u32> = machine.images.iter().map(|(i, _)| *i).collect();
            for (k, c) in machine.claims.iter().enumerate() {
                let Some(job) = shard.jobs.get(c.job).and_then(Option::as_ref) else {
                    continue;
                };
                // What is on its way out holds no place any more.
                let (mut held, mut spared) = (0, false);
                if c.stop.is_none() {
                    let nth = &mut staying[c.job];
                    held = holds.held(c.job, *nth);
                    spared = is_spared(job, *nth, &input.waits, now.wall);
                    *nth += 1;
                }
                let ran = c
                    .running_since
                    .map_or(0.0, |t| now.mono.saturating_sub(t) as f64 / 1000.0);
                let Some(known) = claimed_job(c.job) else {
                    continue;
                };
                let (expected, saves) = (known.expected, known.saves);
                if let Some(image) = known.image.filter(|image| !images.contains(image)) {
                    images.push(image);
                }
                // A task that is overdue is expected to run for a while yet.
                let rest = if ran < expected {
                    expected - ran
                } else {
                    (ran - expected) * 0.5 + 5.0
                };
                running.push(plan::Running {
                    need: job.need.into(),
                    ends: if c.stop.is_some() { 1.0 } else { rest },
                    priority: job.priority() as u8,
                    lost: if saves > 0.0 { ran.min(2.0) } else { ran },
                    stoppable: c.stop.is_none()
                        && job.kind() != Kind::Gang
                        && job.kind() != Kind::Service,
                    leaving: c.stop.is_some(),
                    team: known.team.unwrap_or(u16::MAX),
                    held,
                    spared,
                    gang: (job.kind() == Kind::Gang).then_some(c.job as u32),
                    tenant: job.tenant,
                });
                claims.push(k);
            }
            to_plan.insert(m, input.machines.len() as u32);
            map.machines.push(m);
            map.claims.push(claims);
            input.machines.push(plan::Machine {
                machine_type: *kind,
                zone: *zone,
                spot: machine.spot,
                usable: machine.usable(now.mono) && !machine.is_heartbeat_overdue(now.mono, silent),
                ready: ready_in(machine, t.boot_s, now.wall),
                total: plan::Res {
                    cores: t.cores,
                    gpus: t.gpus,
                    mem: t.mem_gb,
                },
                slots: (value_room as u32).saturating_sub(running.len() as u32),
                running,
                images,
                fetch_gb_per_s: t.fetch_gb_per_s,
            });
        }
        let zone_of: Vec<Option<u16>> = shard
            .machines
            .iter()
            .map(|m| m.as_ref().and_then(|m| zones.get(m.zone.as_str()).copied()))
            .collect();
        let nested = !input.groups.is_empty();
        for (ix, job) in shard.jobs.iter().enumerate() {
            let Some(job) = job else { continue };
            let Some(spec) = &job.spec else { continue };
            if job.ending != Ending::No || job.backoff_until > now.mono {
                continue;
            }
            let age = now.wall.saturating_sub(job.at_ms) as f64 / 1000.0;
            let is_old = age >= input.waits.old && spec.kind != Kind::Service;
            let is_first = urgent::is_urgent(spec) || is_old;
            if scope == Scope::Urgent && !is_first {
                continue;
            }
            let mut pending = job.pending();
            // A gang starts whole, once nothing of its last attempt is left.
            if spec.kind == Kind::Gang && !job.claimed.is_empty() {
                pending = 0;
            }
            let Some(team) = teams.get(spec.team.as_str()) else {
                continue;
            };
            if pending == 0 {
                continue;
            }
            let by_zone = zones_taken(job, &zone_of);
            let factor = shard.classes.get(&spec.class).map_or(1.0, |c| c.factor());
            let like = plan::Job {
                arrival: -(now.wall.saturating_sub(job.at_ms) as f64 / 1000.0),
                estimate: (spec.estimate_s * factor - job.progress_s).max(1.0),
                zones: by_zone,
                waits: job.waits(),
                avoid: job
                    .failed_on
                    .iter()
                    .filter_map(|m| to_plan.get(m).copied())
                    .collect(),
                tenant: job.tenant,
                only: crate::documents::county_counts::zones(job, &zones),
                ..shaped(spec, &mut shard.images, &names, *team)
            };
            let claimed = staying[ix];
            for (k, (held, pending)) in holds
                .waiting(ix, spec, claimed, pending)
                .into_iter()
                .enumerate()
            {
                // Where quotas nest, what is borrowed has its turn after all that is held, also if it is urgent.
                let is_due = held > 0 || !nested || age >= input.waits.old;
                if scope == Scope::Urgent && !is_due {
                    continue;
                }
                let planned = plan::Job {
                    pending,
                    held,
                    waits: like.waits && k == 0,
                    ..like.clone()
                };
                map.jobs.push(ix);
                let planned = aims.with_deadline(planned, spec, &holds, ix);
                input.jobs.push(match &job.hour {
                    Some(hour) => hour.cap(planned, spec, catalog, now.wall),
                    None => planned,
                });
            }
        }
        input.spares = spares(
            shard,
            &self.settings.cluster.objectives,
            &names,
            &self.tuning,
            now.wall,
        );
        (input, map)
    }
}
