//! Adds machines and the tasks on them to the planner's input.

use super::plan_input::{ClaimedJob, InputBuilder, total_of};
use crate::agents::machine::{Claim, Machine};
use crate::jobs::job::Job;
use wire::api::Kind;

/// An overdue machine or task is expected to take this fraction of the time that it is overdue, plus [`OVERDUE_MIN_S`].
const OVERDUE_FACTOR: f64 = 0.5;
/// The least time that an overdue machine or task is expected to take, in seconds.
const OVERDUE_MIN_S: f64 = 5.0;
/// Time until a task that is being stopped is expected to be gone, in seconds.
const EXPECTED_STOP_S: f64 = 1.0;
/// The most run time that a task with checkpoints is assumed to lose when it is stopped, in seconds.
const MAX_CHECKPOINT_LOSS_S: f64 = 2.0;

impl InputBuilder<'_> {
    /// Counts the resources of all claims as used by their teams, including those on machines that the plan leaves out.
    pub(super) fn count_team_usage(&mut self) {
        let claims = self.shard.machines.iter().flatten().flat_map(|m| &m.claims);
        for claim in claims {
            let Some(job) = self.shard.jobs.get(claim.job) else {
                continue;
            };
            let known = self.claimed_jobs[claim.job].as_ref();
            if let Some(team) = known.and_then(|known| known.team) {
                let team = &mut self.input.teams[usize::from(team)];
                team.cores_used += job.need.cores;
                team.gpus_used += job.need.gpus;
            }
        }
    }

    pub(super) fn add_machines(&mut self) {
        for machine_index in 0..self.shard.machines.slots() {
            let Some((machine, claims)) = self.planner_machine(machine_index) else {
                continue;
            };
            self.machine_index
                .insert(machine_index, self.input.machines.len() as u32);
            self.index.machines.push(machine_index);
            self.index.claims.push(claims);
            self.input.machines.push(machine);
        }
    }

    /// The planner's form of a machine, and the positions of the claims behind its running tasks. `None` if its type or
    /// zone is unknown.
    fn planner_machine(&mut self, machine_index: usize) -> Option<(plan::Machine, Vec<usize>)> {
        let now = self.now;
        let machine = self.shard.machines.get(machine_index)?;
        let type_index = *self.names.types.get(machine.machine_type.as_str())?;
        let machine_type = &self.names.catalog.types[usize::from(type_index)];
        let zone = *self.names.zones.get(machine.zone.as_str())?;
        let mut running = Vec::new();
        let mut claims = Vec::new();
        let mut images: Vec<u32> = machine.images.iter().map(|(image, _)| *image).collect();
        for (k, claim) in machine.claims.iter().enumerate() {
            let job = self.shard.jobs.get(claim.job);
            let known = self.claimed_jobs.get(claim.job).and_then(Option::as_ref);
            let (Some(job), Some(known)) = (job, known) else {
                continue;
            };
            let mut task = running_task(claim, job, known, now.mono);
            // Tasks that are being stopped don't count against the guarantee any more.
            if !task.is_stopping {
                let nth = &mut self.continuing_claims[claim.job];
                task.guarantee_levels = self.entitlement.held(claim.job, *nth);
                task.is_protected_by_aging = is_spared(job, *nth, &self.input.aging, now.wall);
                *nth += 1;
            }
            images.extend(known.image.filter(|image| !images.contains(image)));
            running.push(task);
            claims.push(k);
        }
        let is_silent = machine.is_heartbeat_overdue(now.mono, self.silent_ms);
        let planner_machine = plan::Machine {
            machine_type: type_index,
            zone,
            spot: machine.spot,
            usable: machine.usable(now.mono) && !is_silent,
            usable_at: ready_in(machine, machine_type.boot_s, now.wall),
            total: total_of(machine_type),
            slots: self.max_claims.saturating_sub(running.len() as u32),
            running,
            images,
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
        };
        Some((planner_machine, claims))
    }
}

/// The planner's form of a claim, before guarantees are applied.
fn running_task(claim: &Claim, job: &Job, known: &ClaimedJob, now_ms: u64) -> plan::Running {
    let is_leaving = claim.stop.is_some();
    let ran_s = claim
        .running_since
        .map_or(0.0, |since| now_ms.saturating_sub(since) as f64 / 1000.0);
    plan::Running {
        need: job.need.into(),
        expected_end: if is_leaving {
            EXPECTED_STOP_S
        } else {
            remaining_s(ran_s, known.expected_s)
        },
        priority: job.priority() as u8,
        lost_on_preemption: if known.checkpoint_s > 0.0 {
            ran_s.min(MAX_CHECKPOINT_LOSS_S)
        } else {
            ran_s
        },
        is_preemptible: !is_leaving && job.kind() != Kind::Gang && job.kind() != Kind::Service,
        is_stopping: is_leaving,
        team: known.team.unwrap_or(u16::MAX),
        guarantee_levels: 0,
        is_protected_by_aging: false,
        gang: (job.kind() == Kind::Gang).then_some(claim.job as u32),
        tenant: job.tenant,
    }
}

/// The expected remaining run time of a task, also if it is overdue.
fn remaining_s(ran_s: f64, expected_s: f64) -> f64 {
    if ran_s < expected_s {
        expected_s - ran_s
    } else {
        (ran_s - expected_s) * OVERDUE_FACTOR + OVERDUE_MIN_S
    }
}

/// The time in which a booting machine is expected to take tasks, also if it is overdue. Infinite if it is not booting.
fn ready_in(machine: &Machine, boot_s: f64, wall: u64) -> f64 {
    if machine.up || machine.to_be_returned || machine.failed {
        return f64::INFINITY;
    }
    let age_s = wall.saturating_sub(machine.rented_ms) as f64 / 1000.0;
    if age_s < boot_s {
        boot_s - age_s + 1.0
    } else {
        (age_s - boot_s) * OVERDUE_FACTOR + OVERDUE_MIN_S
    }
}

/// Whether the `nth` claim of a job is protected from preemption for more urgent work. For an array older than
/// `aging.old` that is its first share until one of its tasks is done, for one older than `aging.latest` all its
/// claims.
fn is_spared(job: &Job, nth: u32, aging: &plan::AgingThresholds, wall: u64) -> bool {
    let Some(spec) = job.spec.as_deref().filter(|s| s.kind == Kind::Array) else {
        return false;
    };
    let age_s = wall.saturating_sub(job.at_ms) as f64 / 1000.0;
    let is_first = job.done_count == 0 && nth < plan::first_share(plan::Shape::Array, spec.tasks);
    age_s >= aging.first_of_all_after || is_first && age_s >= aging.aged_after
}
