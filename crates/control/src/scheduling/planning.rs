//! Between the leader's memory and the planner: what it is shown, and what follows from its plan.

use crate::agents::machine::{Claim, Machine, Need};
use crate::jobs::job::{Class, Ending, Job, JobIndex};
use crate::scheduling::entitlement::{self, Holds};
use crate::scheduling::urgent;
use crate::store::claim_log::ClaimId;
use crate::store::rental::RentalState;
use crate::store::shard::Shard;
use crate::{Node, Tuning};
use std::collections::{HashMap, HashSet};
use wire::api::{Catalog, Cause, JobSpec, Kind, MachineType, Priority};
use wire::records::TeamAllotment;
use wire::settings::{Objective, Team};

/// The most that the cloud rents out in one call.
const MOST_A_CALL: u32 = 50;
/// Steps of a plan that a whole core may spend; with a share of a core it is that share.
const STEPS_A_CORE: f64 = 4e6;
/// No more than this is on its way at once.
const MOST_COMING: usize = 2000;

/// Whom a plan is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    All,
    /// Urgent work, and what has waited so long that it goes before all others.
    Urgent,
}

/// The planner's indices and ours.
struct Map {
    machines: Vec<usize>,
    jobs: Vec<JobIndex>,
    /// For each machine of the input, the claims behind its running tasks.
    claims: Vec<Vec<usize>>,
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
fn index<'a>(names: impl Iterator<Item = &'a String>) -> HashMap<&'a str, u16> {
    names
        .enumerate()
        .map(|(i, n)| (n.as_str(), i as u16))
        .collect()
}

/// The dense indices of this plan.
struct Names<'a> {
    catalog: &'a Catalog,
    types: &'a HashMap<&'a str, u16>,
    zones: &'a HashMap<&'a str, u16>,
    teams: &'a HashMap<&'a str, u16>,
    /// Teams on whose path nothing is guaranteed, where quotas nest.
    unheld: &'a HashSet<u16>,
}

/// A job as the planner sees it, as far as its description says.
fn shaped(
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

/// Room for the jobs that come while a machine boots and fetches, in classes whose users expect a start within
/// less than that: by an aim for the class, or for all work within its team's guarantee.
fn spares(
    shard: &mut Shard,
    aims: &[Objective],
    names: &Names<'_>,
    tuning: &Tuning,
    wall: u64,
) -> Vec<plan::Spare> {
    let guaranteed = guarantee_aim(aims);
    let mut out: Vec<plan::Spare> = Vec::new();
    for (class, seen) in &shard.classes {
        let Some(spec) = &seen.like else { continue };
        let own = wait_aims(aims, class).map(|within| (within, tuning.spare));
        let Some(team) = names.teams.get(spec.team.as_str()) else {
            continue;
        };
        let like = shaped(spec, &mut shard.images, names, *team);
        let lead = |t: &MachineType| t.boot_s + spec.image_gb / t.fetch_gb_per_s.max(0.01);
        let fitting = names
            .catalog
            .types
            .iter()
            .enumerate()
            .filter(|(i, _)| like.types >> i & 1 == 1);
        let Some(lead) = fitting.map(|(_, t)| lead(t)).reduce(f64::min) else {
            continue;
        };
        // What is of low urgency waits for a machine to boot. A gang that lacks one place has none, while an array
        // starts with what there is. Who may wait for a while needs room only for what comes in the rest of the time.
        let may_hold = spec.priority > Priority::Low && !names.unheld.contains(team);
        let promised = guaranteed
            .filter(|_| may_hold)
            .map(|within| match spec.kind {
                Kind::Gang => (within, tuning.spare),
                _ => (
                    within,
                    tuning.spare_guaranteed * (1.0 - within / lead).max(0.0).sqrt(),
                ),
            });
        // A class may have a patient aim of its own and yet do work that is guaranteed to start soon.
        let hasty = own.chain(promised).filter(|(within, _)| *within < lead);
        let Some(share) = hasty.map(|(_, share)| share).reduce(f64::max) else {
            continue;
        };
        // Machines that end their work make room for as many jobs as come; what is kept is for the difference
        // between the two, which has the deviation of the arrivals in the time that a new machine takes.
        let deviation = (seen.rate(wall) * lead * seen.tasks_squared.clamp(1.0, 40_000.0)).sqrt();
        let count = (deviation * share).round() as u32;
        let images = seen.images.iter();
        let images = images
            .map(|(name, gb, share)| (shard.images.get(name), *gb, *share))
            .collect();
        if count > 0 {
            out.push(plan::Spare {
                like,
                count,
                images,
            });
        }
    }
    out.sort_by_key(|s| (std::cmp::Reverse(s.like.priority), s.like.image));
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

/// How soon jobs of a class are expected to start, by each aim for it.
fn wait_aims<'a>(aims: &'a [Objective], class: &'a str) -> impl Iterator<Item = f64> + 'a {
    let own = aims
        .iter()
        .filter(move |a| a.kind == "wait" && a.class.as_deref() == Some(class));
    own.filter_map(|a| a.within_s)
}

/// How soon work within a guarantee is expected to start.
fn guarantee_aim(aims: &[Objective]) -> Option<f64> {
    aims.iter()
        .filter(|a| a.kind == "guarantee")
        .filter_map(|a| a.within_s)
        .reduce(f64::min)
}

/// What users were told to expect.
struct Aims<'a> {
    all: &'a [Objective],
}

impl Aims<'_> {
    /// What users were told to expect is a deadline too: the first that can still be kept. Who is furthest below what
    /// it is due by the tree has the earliest of those alike.
    fn with_deadline(
        &self,
        job: plan::Job,
        spec: &JobSpec,
        holds: &Holds,
        ix: JobIndex,
    ) -> plan::Job {
        let share = holds.fulfilled.get(&job.team).copied().unwrap_or(1.0);
        let promise = guarantee_aim(self.all)
            .filter(|_| job.held > 0)
            .map(|within| within * share);
        let told = match spec.kind {
            Kind::Gang => told(self.all, &spec.class, promise, -job.arrival),
            // An array starts task by task: what is left of it is no less promised for being late.
            _ => promise,
        };
        let told = told.map(|within| within + job.estimate);
        let due = spec.deadline_s.into_iter().chain(told).reduce(f64::min);
        // What a tree entitles to stays due, also when the wait that users were told is over.
        let promised = if holds.is_nested(ix) {
            job.held > 0
        } else {
            promise.is_some_and(|within| within + job.arrival > 0.0)
        };
        plan::Job {
            due: due.map(|d| d + job.arrival),
            promised,
            ..job
        }
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

/// Run time of a task that nothing is known of, in seconds.
const UNKNOWN_RUN_S: f64 = 60.0;

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

/// How soon after its arrival a job that has waited for `age` should start: the first aim that can still be kept.
fn told(aims: &[Objective], class: &str, guarantee: Option<f64>, age: f64) -> Option<f64> {
    wait_aims(aims, class)
        .chain(guarantee)
        .filter(|within| *within > age)
        .reduce(f64::min)
}

/// The time that a stopped task is given to save, if it can.
pub(crate) fn grace(spec: &JobSpec) -> f64 {
    if spec.checkpoint_s > 0.0 {
        spec.save_s * 1.2 + 1.0
    } else {
        0.0
    }
}

/// Notes whether urgent work still waits, and whether this plan brought it on.
fn note_urgent(shard: &mut Shard, now: u64, input: &plan::Input, output: &plan::Output) {
    let is_urgent = |job: usize| {
        let job = &input.jobs[job];
        let may_go_first = input.groups.is_empty() || job.held > 0;
        job.priority >= plan::URGENT && job.shape != plan::Shape::Service && may_go_first
    };
    let mut started: HashMap<u32, u32> = HashMap::new();
    for start in &output.starts {
        *started.entry(start.job).or_default() += start.count;
    }
    let waits = |job: usize| {
        let started = started.get(&(job as u32)).copied().unwrap_or(0);
        is_urgent(job) && started < input.jobs[job].pending
    };
    let still_waits = (0..input.jobs.len()).any(waits);
    let got_on = !output.preempts.is_empty() || started.keys().any(|job| is_urgent(*job as usize));
    shard.plan_triggers.urgent.planned(now, still_waits, got_on);
}

impl Node {
    pub(crate) fn sched_tick(&mut self) {
        let now = self.now.mono;
        if !self.may_decide() {
            return;
        }
        let every = self.plan_pacing.apart(self.tuning.every_ms as u64);
        let plan_pacing = self.plan_pacing;
        let settle = (self.settings.cluster.workers.report_s * 1000.0) as u64;
        let Some(shard) = &mut self.shard else { return };
        let due = shard.plan_triggers.is_due(now, every);
        let scope = match due {
            true => Scope::All,
            false if shard.plan_triggers.urgent.is_due(now, &plan_pacing) => Scope::Urgent,
            false => return,
        };
        if scope == Scope::All {
            shard.plan_triggers.planned(now);
        }
        let since = shard.since;
        let Some(catalog) = self.shared.catalog.clone() else {
            return;
        };
        self.plan_pacing.planned();
        let (input, map) = self.plan_input(&catalog, scope);
        let output = plan::plan(&input);
        let stopped_at = output.resume.map(|job| map.jobs[job as usize]);
        if let Some(shard) = &mut self.shard {
            note_urgent(shard, now, &input, &output);
            if scope == Scope::All {
                shard.plan_triggers.stopped_at = stopped_at;
            }
        }
        self.stats.plans += 1;
        self.stats.plan_steps += output.steps;
        log::debug!(
            "plan: {} jobs, {} machines with {:.0} of {:.0} GPUs free, stretch {:.2}, {} starts, {} waiting, {} steps",
            input.jobs.len(),
            input.machines.len(),
            input
                .machines
                .iter()
                .filter(|m| m.usable)
                .map(|m| m.free().gpus)
                .sum::<f64>(),
            input.machines.iter().map(|m| m.total.gpus).sum::<f64>(),
            output.stretch,
            output.starts.len(),
            output.waiting.len(),
            output.steps
        );
        if scope == Scope::All {
            self.hours_planned(&input, &output, &map.jobs);
        }
        let mut attempts: HashMap<u32, u64> = HashMap::new();
        for start in &output.starts {
            let Some(shard) = &mut self.shard else { return };
            let attempt = *attempts
                .entry(start.job)
                .or_insert_with(|| shard.next_attempt());
            self.start(
                map.jobs[start.job as usize],
                map.machines[start.machine as usize],
                start.count,
                attempt,
            );
        }
        // Right after a failover most machines have not been heard of yet, and the room on them is not seen. Reports
        // come a quarter late at times.
        if now >= since + settle * 5 / 4 {
            for p in &output.preempts {
                self.preempt(
                    map.machines[p.machine as usize],
                    map.claims[p.machine as usize][p.task as usize],
                );
            }
            for gang in &output.recalls {
                self.recall(*gang as JobIndex);
            }
        }
        if scope == Scope::All && now >= since + 2 * settle {
            self.rent_for(&input, &output, &catalog);
            let mut kept: Vec<usize> = output
                .kept
                .iter()
                .map(|m| map.machines[*m as usize])
                .collect();
            kept.extend(self.kept_for_models());
            self.return_idle(&kept);
        }
    }

    /// Teams with their limits: those of the recorded allotment, the tree's by the version that stands there. Without
    /// one, or with another version in force, there is no room at all.
    fn plan_teams(&self, tree: Option<&quota::Tree>) -> Vec<plan::Team> {
        let version = self.shared.documents.quota.version();
        let recorded = |p: &&Shard| p.allotment.is_settled();
        let allotment = self
            .shard
            .as_ref()
            .filter(recorded)
            .and_then(|p| p.allotment.current());
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

    fn plan_input(&mut self, catalog: &Catalog, scope: Scope) -> (plan::Input, Map) {
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
            .flat_map(|tree| entitlement::unheld(tree, &teams))
            .collect();
        let names = Names {
            catalog,
            types: &types,
            zones: &zones,
            teams: &teams,
            unheld: &unheld,
        };
        if let (Some(tree), Some((_, counted))) = (&tree, &shard.counted) {
            input.groups = entitlement::groups(tree, &counted.live);
        }
        shard
            .jobs
            .iter_mut()
            .flatten()
            .for_each(|j| j.began |= j.running > 0);
        // Claims of each job that stay: they count as held before what waits.
        let mut staying: Vec<u32> = vec![0; shard.jobs.slots()];
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
                if let Some(job) = shard.jobs.get(c.job)
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
                let Some(job) = shard.jobs.get(c.job) else {
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

    /// Claims places for a job's tasks; they are sent once recorded. One attempt for all: by it the tasks of a
    /// gang find each other.
    fn start(&mut self, ix: JobIndex, m: usize, count: u32, attempt: u64) {
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
    fn recall(&mut self, ix: JobIndex) {
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

    fn preempt(&mut self, m: usize, k: usize) {
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

    fn rent_for(&mut self, input: &plan::Input, output: &plan::Output, catalog: &Catalog) {
        let now = self.now;
        let zones = index(self.settings.cluster.zones.iter());
        let horizon = self.tuning.horizon_s;
        let Some(shard) = &mut self.shard else { return };
        // Records first: what is still to be written down would be hired twice.
        if !shard.plan_triggers.rentals_due(now.mono)
            || shard.rentals.values().any(|h| h.state == RentalState::New)
        {
            return;
        }
        shard.plan_triggers.rentals_considered(now.mono);
        let mut offers = Vec::new();
        let mut names = Vec::new();
        for (i, t) in catalog.types.iter().enumerate() {
            for zone in &t.zones {
                let Some(z) = zones.get(zone.as_str()) else {
                    continue;
                };
                for spot in [true, false] {
                    let offer = plan::MachineOffer {
                        machine_type: i as u16,
                        zone: *z,
                        spot,
                        total: plan::Res {
                            cores: t.cores,
                            gpus: t.gpus,
                            mem: t.mem_gb,
                        },
                        price: if spot { t.spot_price } else { t.price },
                        boot: t.boot_s,
                        fetch_gb_per_s: t.fetch_gb_per_s,
                    };
                    names.push((t.name.clone(), zone.clone(), spot));
                    offers.push(offer);
                }
            }
        }
        let mut coming: Vec<(plan::MachineOffer, u32)> = Vec::new();
        for machine in shard
            .machines
            .iter()
            .flatten()
            .filter(|m| !m.up && !m.deleting && !m.failed)
        {
            let kind = (
                machine.machine_type.clone(),
                machine.zone.clone(),
                machine.spot,
            );
            if let Some(i) = names.iter().position(|n| *n == kind) {
                coming.push((offers[i].clone(), 1));
            }
        }
        for rental in shard
            .rentals
            .values()
            .filter(|h| h.state == RentalState::Recorded)
        {
            let kind = (
                rental.record.machine_type.clone(),
                rental.record.zone.clone(),
                rental.record.spot,
            );
            if let Some(i) = names.iter().position(|n| *n == kind) {
                coming.push((offers[i].clone(), rental.record.count));
            }
        }
        // The zone with fewest machines first, so that one zone's loss takes the least.
        let mut load: HashMap<&str, u32> = HashMap::new();
        for machine in shard.machines.iter().flatten() {
            *load.entry(machine.zone.as_str()).or_default() += 1;
        }
        let mut order: Vec<usize> = (0..names.len())
            .filter(|i| !shard.cloud_calls.is_refused(&names[*i], now.mono))
            // A new machine in a zone that can't be heard is paid for nothing.
            .filter(|i| !shard.zones.is_cut(&names[*i].1))
            .collect();
        order.sort_by_key(|i| load.get(names[*i].1.as_str()).copied().unwrap_or(0));
        let open: Vec<plan::MachineOffer> = order.iter().map(|i| offers[*i].clone()).collect();
        let most = MOST_COMING;
        let wishes = plan::wishes(&plan::HireInput {
            input,
            output,
            offers: &open,
            coming: &coming,
            horizon,
            most,
        });
        for wish in wishes {
            let (machine_type, zone, spot) = names[order[wish.offer]].clone();
            // As many calls as half a second's budget allows; the rest is wished for again.
            let calls = (self.settings.cluster.cloud.rps / 2.0).ceil() as u32;
            let mut left = wish.count.min(calls * MOST_A_CALL);
            while left > 0 {
                let count = left.min(MOST_A_CALL);
                self.rental(&machine_type, &zone, spot, count);
                left -= count;
            }
        }
    }

    /// Returns machines that have had nothing to do for a while, the dearest first.
    fn return_idle(&mut self, kept: &[usize]) {
        let now = self.now.mono;
        let idle_ms = (self.tuning.idle_s * 1000.0) as u64;
        let Some(shard) = &mut self.shard else { return };
        // Also while tasks wait: a machine that is idle all the same is none that they may use, and it may
        // stand in the way of one.
        let jobs = &shard.jobs;
        // With the machine, a result that is recorded nowhere would be gone, were this leader to end too.
        let owes = |machine: &Machine| {
            machine
                .exited
                .iter()
                .filter(|e| e.cause == Some(Cause::Done))
                .any(|e| jobs.named(&e.job).is_some_and(|j| !j.recorded(e.task)))
        };
        for (m, machine) in shard.machines.iter_mut().enumerate() {
            let Some(machine) = machine else { continue };
            let idle = machine.up
                && !kept.contains(&m)
                && machine.claims.is_empty()
                && !owes(machine)
                && !machine.deleting
                && machine.idle_since + idle_ms < now;
            if idle {
                log::info!("machine {}: idle, to be returned", machine.name);
                machine.deleting = true;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    /// A gang that had missed one aim for good stood before those that could still keep it.
    #[test]
    fn the_first_aim_that_can_still_be_kept_counts() {
        let aim = |class: &str, within: f64| Objective {
            kind: "wait".into(),
            class: Some(class.into()),
            within_s: Some(within),
            share: None,
        };
        let aims = [aim("c", 250.0), aim("c", 150.0), aim("other", 20.0)];
        let seen: Vec<Option<f64>> = [0.0, 10.0, 200.0, 300.0]
            .iter()
            .map(|age| told(&aims, "c", Some(10.0), *age))
            .collect();
        assert_eq!(seen, [Some(10.0), Some(150.0), Some(250.0), None]);
    }
}
