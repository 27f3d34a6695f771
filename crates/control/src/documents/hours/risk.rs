//! Hours in the plan: they cap the deadlines of jobs, and the plan shows which hours are at risk, and why.

use crate::Node;
use crate::documents::hours::ReleaseHour;
use crate::jobs::job::{Job, JobIndex};
use crate::store::shard::Shard;
use std::collections::BTreeMap;
use wire::api::{Catalog, JobSpec, Kind as JobKind};
use wire::hours::{Risk, State};

/// Time between a plan and the start of its tasks: their claims are recorded, then sent to the worker.
const START_DELAY_S: f64 = 2.0;

impl ReleaseHour {
    /// Caps a planned job's deadline at its hour, less the time to start, to fetch the image and to save. An hour that
    /// can't be kept any more caps nothing, since its job must not come before jobs whose hours can be kept. The
    /// planner itself leaves arrays time to fetch.
    pub fn cap_deadline(
        &self,
        job: plan::Job,
        spec: &JobSpec,
        catalog: &Catalog,
        wall: u64,
    ) -> plan::Job {
        let remaining_s = self.seconds_left(wall) - START_DELAY_S - spec.save_s;
        let fetch_s = least_fetch_s(spec, catalog);
        if remaining_s - fetch_s < job.estimate {
            return job;
        }
        let cap_s = if spec.kind == JobKind::Gang {
            remaining_s - fetch_s
        } else {
            remaining_s
        };
        plan::Job {
            deadline: Some(job.deadline.map_or(cap_s, |due| due.min(cap_s))),
            ..job
        }
    }

    /// Seconds until the hour; negative once it has passed.
    pub(super) fn seconds_left(&self, wall: u64) -> f64 {
        (self.record.due_ms as f64 - wall as f64) / 1000.0
    }
}

/// The time to fetch a job's image on the fastest machine type that the job allows, in seconds.
fn least_fetch_s(spec: &JobSpec, catalog: &Catalog) -> f64 {
    let allowed = |name: &String| spec.types.as_ref().is_none_or(|list| list.contains(name));
    let rates = catalog
        .types
        .iter()
        .filter(|t| allowed(&t.name))
        .map(|t| t.fetch_gb_per_s);
    spec.image_gb / rates.fold(0.01, f64::max)
}

/// A job's tasks in a plan.
#[derive(Default)]
struct PlannedJob {
    pending: u32,
    started: u32,
    /// The job's index in the plan's input; the last one if it has several.
    index: usize,
}

/// The planned tasks of jobs with release hours.
fn planned_jobs(
    shard: &Shard,
    input: &plan::Input,
    output: &plan::Output,
    jobs: &[JobIndex],
) -> BTreeMap<JobIndex, PlannedJob> {
    let mut planned: BTreeMap<JobIndex, PlannedJob> = BTreeMap::new();
    for (index, job_index) in jobs.iter().enumerate() {
        if shard.job(*job_index).is_some_and(|job| job.hour.is_some()) {
            let planned_job = planned.entry(*job_index).or_default();
            planned_job.pending += input.jobs[index].pending;
            planned_job.index = index;
        }
    }
    for start in &output.starts {
        let job = jobs.get(start.job as usize);
        if let Some(planned_job) = job.and_then(|job_index| planned.get_mut(job_index)) {
            planned_job.started += start.count;
        }
    }
    planned
}

/// The plan and the state of the shard that hours are assessed by.
struct Assessment<'a> {
    shard: &'a Shard,
    input: &'a plan::Input,
    catalog: &'a Catalog,
    zones: &'a [String],
    wall: u64,
    /// Whether a machine was rented and is not up yet.
    has_booting_machine: bool,
}

impl Assessment<'_> {
    /// The state of a job's hour; `None` if it does not change any more.
    fn state(&self, job: &Job, planned: &PlannedJob) -> Option<State> {
        let (hour, spec) = (job.hour.as_ref()?, job.spec.as_ref()?);
        if hour.state == State::Missed || job.is_ending() {
            return None;
        }
        let placed_tasks = job.claimed.len() as u32 + planned.started;
        let is_late = hour.seconds_left(self.wall) < self.needed_s(spec, planned, placed_tasks);
        Some(if is_late {
            State::AtRisk(self.risk(job, spec, planned, placed_tasks))
        } else {
            State::Due
        })
    }

    /// Estimated seconds until the job is done, with as many tasks at a time as are placed now.
    fn needed_s(&self, spec: &JobSpec, planned: &PlannedJob, placed_tasks: u32) -> f64 {
        let later_rounds = planned
            .pending
            .saturating_sub(planned.started)
            .div_ceil(placed_tasks.max(1));
        let rounds = if placed_tasks == 0 {
            1
        } else {
            later_rounds + 1
        };
        self.input.jobs[planned.index].estimate * f64::from(rounds)
            + least_fetch_s(spec, self.catalog)
            + START_DELAY_S
            + spec.save_s
    }

    /// Why an hour can't be kept.
    fn risk(&self, job: &Job, spec: &JobSpec, planned: &PlannedJob, placed_tasks: u32) -> Risk {
        let planned = &self.input.jobs[planned.index];
        if self.is_cut_off(spec) {
            Risk::Cut
        } else if placed_tasks == 0 && self.is_beyond_quota(planned) {
            Risk::Quota
        } else if placed_tasks > 0 && job.running == 0 {
            Risk::Image
        } else if self.has_booting_machine {
            Risk::Boot
        } else {
            Risk::Room
        }
    }

    /// Whether the job's zone is cut off from the leader, or all zones are if it names none.
    fn is_cut_off(&self, spec: &JobSpec) -> bool {
        let is_cut = |zone: &String| self.shard.zones.is_cut(zone);
        match &spec.zone {
            Some(zone) => is_cut(zone),
            None => self.zones.iter().all(is_cut),
        }
    }

    /// Whether the quota of the job's team, or of a group above it, has no room for one more task of the job.
    fn is_beyond_quota(&self, job: &plan::Job) -> bool {
        let team = &self.input.teams[usize::from(job.team)];
        let is_full = |group: &u16| {
            let group = &self.input.groups[usize::from(*group)];
            let free = plan::Resources {
                cores: group.max.cores - group.used.cores,
                gpus: group.max.gpus - group.used.gpus,
                mem: group.max.mem - group.used.mem,
            };
            free.count(&job.need, 1) == 0
        };
        team.allows(&job.need, 1) == 0
            || (!self.input.groups.is_empty() && team.groups.iter().any(is_full))
    }
}

impl Node {
    /// Updates the states of hours after a plan: whether each can be kept with the tasks of its job that are claimed or
    /// about to start.
    pub(crate) fn hours_planned(
        &mut self,
        input: &plan::Input,
        output: &plan::Output,
        jobs: &[JobIndex],
    ) {
        let wall = self.now.wall;
        let Some(shard) = &mut self.shard else { return };
        if shard.hours.upcoming.is_empty() {
            return;
        }
        let Some(catalog) = &self.shared.catalog else {
            return;
        };
        let assessment = Assessment {
            shard,
            input,
            catalog,
            zones: &self.settings.cluster.zones,
            wall,
            has_booting_machine: shard
                .machines
                .iter()
                .flatten()
                .any(|m| !m.up && !m.to_be_returned && !m.failed),
        };
        let mut changes = Vec::new();
        for (ix, planned) in planned_jobs(shard, input, output, jobs) {
            let Some(job) = shard.job(ix) else { continue };
            let state = assessment.state(job, &planned);
            let known = job.hour.as_ref().map(|hour| hour.state);
            if let Some(state) = state.filter(|state| Some(*state) != known) {
                changes.push((ix, state));
            }
        }
        shard.set_states(changes, wall);
    }
}
