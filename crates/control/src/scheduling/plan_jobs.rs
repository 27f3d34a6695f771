//! Adds waiting jobs to the planner's input.

use super::objectives::Objectives;
use super::plan_input::{InputBuilder, NameIndex, Scope};
use crate::documents::county_counts;
use crate::jobs::class::ClassStatistics;
use crate::jobs::job::{Ending, Job, JobIndex};
use crate::scheduling::urgent;
use crate::store::shard;
use wire::api::{JobSpec, Kind};

impl InputBuilder<'_> {
    pub(super) fn add_jobs(&mut self, scope: Scope) {
        let zone_of = self.zones_by_machine();
        for job_index in 0..self.shard.jobs.slots() {
            self.add_job(job_index, scope, &zone_of);
        }
    }

    /// The zone of each machine, by machine index.
    fn zones_by_machine(&self) -> Vec<Option<u16>> {
        let zone = |name: &str| self.names.zones.get(name).copied();
        self.shard
            .machines
            .iter()
            .map(|machine| zone(&machine?.zone))
            .collect()
    }

    /// Adds a job's waiting tasks, if it has any in this scope, as one planner job for each number of guarantee
    /// levels that hold them.
    fn add_job(&mut self, job_index: JobIndex, scope: Scope, zone_of: &[Option<u16>]) {
        let now = self.now;
        let shard = &mut *self.shard;
        let Some(job) = shard.jobs.get(job_index) else {
            return;
        };
        let Some(spec) = &job.spec else { return };
        if job.ending != Ending::Undecided || job.backoff_until > now.mono {
            return;
        }
        let age_s = now.wall.saturating_sub(job.at_ms) as f64 / 1000.0;
        let is_old = age_s >= self.input.aging.aged_after;
        let goes_first = urgent::is_urgent(spec) || is_old && spec.kind != Kind::Service;
        if scope == Scope::Urgent && !goes_first {
            return;
        }
        let Some(team) = self.names.teams.get(spec.team.as_str()) else {
            return;
        };
        let pending = startable_tasks(job, spec);
        if pending == 0 {
            return;
        }
        let factor = shard
            .classes
            .get(&spec.class)
            .map_or(1.0, ClassStatistics::estimate_factor);
        let template = plan::Job {
            arrival: -age_s,
            estimate: (spec.estimate_s * factor - job.progress_s).max(1.0),
            tasks_by_zone: tasks_by_zone(job, zone_of),
            awaits_first_start: job.may_await_first_start(),
            excluded_machines: job
                .failed_on
                .iter()
                .filter_map(|m| self.machine_index.get(m).copied())
                .collect(),
            tenant: job.tenant,
            allowed_zones: county_counts::allowed_zones(job, &self.names.zones),
            ..planner_job(spec, &mut shard.images, &self.names, *team)
        };
        let objectives = Objectives {
            all: self.objectives,
        };
        let nested = !self.input.groups.is_empty();
        let parts =
            self.entitlement
                .waiting(job_index, spec, self.continuing_claims[job_index], pending);
        for (k, (guarantee_levels, pending)) in parts.into_iter().enumerate() {
            // In nested quotas, tasks beyond the guarantees come after all tasks within them, even if urgent.
            let is_due = guarantee_levels > 0 || !nested || is_old;
            if scope == Scope::Urgent && !is_due {
                continue;
            }
            let part = plan::Job {
                pending,
                guarantee_levels,
                awaits_first_start: template.awaits_first_start && k == 0,
                ..template.clone()
            };
            let part = objectives.with_deadline(part, spec, &self.entitlement, job_index);
            self.index.jobs.push(job_index);
            self.input.jobs.push(match &job.hour {
                Some(hour) => hour.cap_deadline(part, spec, self.names.catalog, now.wall),
                None => part,
            });
        }
    }
}

/// The planner's form of a job, from its spec alone.
pub(super) fn planner_job(
    spec: &JobSpec,
    images: &mut shard::NameInterner,
    names: &NameIndex<'_>,
    team: u16,
) -> plan::Job {
    let zone_index = |name: &String| names.zones.get(name.as_str()).copied().unwrap_or(u16::MAX);
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
        need: plan::Resources {
            cores: spec.cores,
            gpus: spec.gpus,
            mem: spec.mem_gb,
        },
        machine_types: allowed_types(spec, names),
        zone: spec.zone.as_ref().map(zone_index),
        one_zone: spec.one_zone,
        spread: spec.spread,
        spot: spec.spot,
        image: images.get(&spec.image),
        image_gb: spec.image_gb,
        team,
        deadline: None,
        awaits_first_start: false,
        is_within_guarantee: false,
        guarantee_levels: 0,
        tasks_by_zone: Vec::new(),
        excluded_machines: Vec::new(),
        tenant: plan::Tenant::default(),
        allowed_zones: Vec::new(),
    }
}

/// Machine types that a job may use, as a bit set.
fn allowed_types(spec: &JobSpec, names: &NameIndex<'_>) -> u64 {
    match &spec.types {
        Some(list) => list
            .iter()
            .filter_map(|name| names.types.get(name.as_str()))
            .fold(0, |bits, i| bits | 1 << i),
        None => (0..names.catalog.types.len()).fold(0, |bits, i| bits | 1 << i),
    }
}

/// The number of tasks that may start now. A gang starts as a whole, once no claim of its previous attempt is left.
fn startable_tasks(job: &Job, spec: &JobSpec) -> u32 {
    if spec.kind == Kind::Gang && !job.claimed.is_empty() {
        0
    } else {
        job.pending()
    }
}

/// The number of a job's claimed tasks in each zone.
fn tasks_by_zone(job: &Job, zone_of: &[Option<u16>]) -> Vec<(u16, u32)> {
    let mut by_zone: Vec<(u16, u32)> = Vec::new();
    for (machine_index, _) in job.claimed.values().flatten() {
        let Some(Some(zone)) = zone_of.get(*machine_index) else {
            continue;
        };
        match by_zone.iter_mut().find(|(z, _)| z == zone) {
            Some((_, count)) => *count += 1,
            None => by_zone.push((*zone, 1)),
        }
    }
    by_zone
}
