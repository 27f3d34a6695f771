//! Reconciles the tasks that a worker lists with the recorded claims.
//!
//! A claim ends only on proof that its task is gone and can't be started again. A task's absence from a heartbeat is
//! such proof only while no message is in flight that could still start it.

use crate::Node;
use crate::agents::command_fence::CommandStamp;
use crate::agents::machine::{Claim, ClaimState, Exited, Machine, StartState, UnclaimedTask};
use crate::jobs::job::{Job, JobIndex};
use crate::scheduling::apply_plan::grace_period_s;
use crate::store::claim_log::ClaimId;
use crate::store::shard::Shard;
use std::collections::BTreeSet;
use wire::api::{Catalog, Cause, Heartbeat, Kind, TaskStage, TaskStatus};
use wire::ids;

/// A job whose tasks failed on this many machines, and succeeded on none, is itself taken to be the cause.
const FAILING_JOB_MACHINES: usize = 3;
/// The base backoff of such a job, doubled with each failure up to [`FAILING_JOB_DOUBLINGS`] times.
const FAILING_JOB_BACKOFF_MS: u64 = 1000;
const FAILING_JOB_DOUBLINGS: u32 = 5;
const MAX_BACKOFF_MS: u64 = 30_000;
/// After an error that the machine may have caused, the job backs off, and the machine gets no tasks for longer.
const ERROR_BACKOFF_MS: u64 = 200;
const ERROR_PAUSE_MS: u64 = 3000;
/// After a worker refuses a task, the machine gets no tasks for this time. If the worker does not know the job yet, the
/// job backs off too.
const REFUSAL_PAUSE_MS: u64 = 2000;
const UNKNOWN_BACKOFF_MS: u64 = 1000;

/// A claim whose task is proved gone, identified by its position in the machine's claims.
pub(crate) struct EndedClaim {
    pub position: usize,
    /// The cause that the worker reported; `None` if only the task's absence shows that it ended.
    pub cause: Option<Cause>,
    /// Whether the task's progress was saved before it ended.
    pub saved: bool,
    pub proof: EndProof,
}

/// What proves that a claimed task is gone and can't be started again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndProof {
    /// The worker lists it as exited, and knows its attempt until it is reaped.
    Exited,
    /// The worker does not list it, and refuses copies of its start.
    Absent,
    /// No start is carried out: none was sent, or the worker refuses all of them.
    NeverStarted,
    /// The cloud has confirmed that the machine is gone.
    MachineGone,
}

impl EndedClaim {
    /// A claim that ended without a cause from the worker.
    pub fn unexplained(position: usize, proof: EndProof) -> Self {
        EndedClaim {
            position,
            cause: None,
            saved: false,
            proof,
        }
    }
}

/// A task listed in a heartbeat: job, task and attempt.
type ListedTask = (JobIndex, u32, u64);

/// The differences between a heartbeat and the recorded claims.
#[derive(Default)]
struct Comparison {
    listed: Vec<ListedTask>,
    ended: Vec<EndedClaim>,
    /// Claims for tasks that run without one.
    strays: Vec<Claim>,
    /// Successful tasks whose claims have ended already, under an earlier leader.
    finished: Vec<(JobIndex, u32)>,
    /// The number of tasks that are listed without a claim for the first time.
    unclaimed: u64,
}

/// What the absence of a claimed task from a worker's list shows.
enum Absence {
    /// The task is gone, and no start of it is carried out any more.
    Ended,
    /// The start was not carried out; it is to be sent again.
    StartMissed(StartState),
    /// The task is gone or was not started, and a copy of its start would still be carried out.
    AwaitsHigherToken,
    /// No start was sent.
    Expected,
}

fn absence_of(claim: &Claim, worker: CommandStamp) -> Absence {
    let was_started = claim.stage.is_some() || claim.stop.is_some();
    match claim.start {
        StartState::Unsent => Absence::Expected,
        // The task may have ended and been reaped under an earlier leader, whose tokens the worker refuses.
        StartState::Unknown => Absence::Ended,
        StartState::Missed(stamp) if stamp.is_refused_by(worker) => {
            Absence::StartMissed(StartState::Unsent)
        }
        StartState::Missed(_) if claim.stop.is_some() => Absence::AwaitsHigherToken,
        StartState::Missed(_) => Absence::Expected,
        // An attempt is never started in two agent epochs: a later leader that receives a delayed copy of an old
        // heartbeat would take the outcome in the first epoch for that in the second.
        StartState::Sent(stamp) if stamp.agent_epoch < worker.agent_epoch => Absence::Ended,
        StartState::Sent(stamp) if was_started => match stamp.is_refused_by(worker) {
            true => Absence::Ended,
            false => Absence::AwaitsHigherToken,
        },
        StartState::Sent(stamp) => Absence::StartMissed(match stamp.is_refused_by(worker) {
            true => StartState::Unsent,
            false => StartState::Missed(stamp),
        }),
    }
}

/// The token and the agent epoch that a worker reports.
fn worker_stamp(heartbeat: &Heartbeat) -> CommandStamp {
    CommandStamp {
        token: heartbeat.token,
        agent_epoch: heartbeat.agent_epoch,
    }
}

/// Whether a task in this stage counts as running for its job.
fn is_running(stage: Option<TaskStage>) -> bool {
    matches!(stage, Some(TaskStage::Running | TaskStage::Saving))
}

impl Shard {
    /// Updates what any message from a machine shows about it, whatever tasks it lists.
    fn note_contact(&mut self, machine_index: usize, heartbeat: &Heartbeat, now: u64) {
        let tokens = self.tokens;
        let Some(machine) = self.machines.get_mut(machine_index) else {
            return;
        };
        machine.newest_message = (heartbeat.agent_epoch, heartbeat.seq);
        machine.heard_at = now;
        // A worker ignores replies to heartbeats of an earlier agent epoch. While a worker only responds to
        // commands, a new epoch is the only proof that the start can't be executed any more.
        machine.unacknowledged_start = machine
            .unacknowledged_start
            .filter(|(agent_epoch, _)| *agent_epoch >= heartbeat.agent_epoch);
        machine.addr = heartbeat.addr.parse().ok().or(machine.addr);
        if !machine.up {
            machine.up = true;
            machine.idle_since = now;
            self.plan_triggers.request();
            log::info!("machine {}: up", machine.name);
        }
        if machine.fence.note_worker(worker_stamp(heartbeat), tokens) {
            self.plan_triggers.request();
        }
    }

    /// Whether a task that is not listed is gone for good. It is not if a message that could start it may still be in
    /// flight: a command with an earlier token, a direct command without a response, or a start in the reply to a
    /// heartbeat.
    fn proves_absence(&self, machine_index: usize, heartbeat: &Heartbeat) -> bool {
        self.machine(machine_index).is_some_and(|machine| {
            heartbeat.token >= self.tokens.first()
                && machine.command_in_flight.is_none()
                && machine.unacknowledged_start.is_none()
                && !machine.fence.has_unanswered()
        })
    }

    /// Notes when the cloud reclaims the machine, if the heartbeat says so. Returns true if that was not known before.
    fn note_reclaim_notice(
        &mut self,
        machine_index: usize,
        heartbeat: &Heartbeat,
        now: u64,
    ) -> bool {
        let Some(machine) = self.machine_mut(machine_index) else {
            return false;
        };
        let noticed = heartbeat
            .notice_s
            .filter(|n| n.is_finite() && *n >= 0.0)
            .map(|n| now + (n * 1000.0) as u64);
        let is_new = noticed.is_some() && machine.reclaim_at.is_none();
        machine.reclaim_at = noticed.or(machine.reclaim_at);
        is_new
    }

    /// Compares the tasks that the worker lists with the claims on its machine, and updates the claims' stages.
    fn compare_listed(
        &mut self,
        machine_index: usize,
        heartbeat: &Heartbeat,
        catalog: Option<&Catalog>,
        now: u64,
    ) -> Comparison {
        let mut comparison = Comparison {
            listed: Vec::with_capacity(heartbeat.tasks.len()),
            ..Comparison::default()
        };
        let mut exited = Vec::new();
        let mut unclaimed = Vec::new();
        for status in &heartbeat.tasks {
            let Some((id, task)) = ids::parse_task(&status.task) else {
                continue;
            };
            let job_index = self.jobs.index_of(id);
            let position = job_index.and_then(|job_index| {
                comparison.listed.push((job_index, task, status.attempt));
                self.machine(machine_index)?
                    .claim_position(job_index, task, status.attempt)
            });
            match position {
                _ if status.stage == TaskStage::Exited => {
                    exited.push(Exited {
                        job: id.to_owned(),
                        task,
                        attempt: status.attempt,
                        cause: status.cause,
                    });
                    comparison.note_exited(job_index, task, position, status);
                }
                Some(position) => {
                    self.note_stage(machine_index, position, status.stage, catalog, now)
                }
                // A heartbeat with an earlier leader's token may be a delayed copy of an old one.
                None if heartbeat.token < self.tokens.first() => {}
                // Not expected to happen, but the task uses resources, so it gets a claim and is stopped. That of an
                // unknown job is only stopped.
                None => match job_index {
                    Some(job_index) => comparison.note_stray(heartbeat, job_index, task, status),
                    None => unclaimed.push(UnclaimedTask {
                        task: status.task.clone(),
                        attempt: status.attempt,
                    }),
                },
            }
        }
        if let Some(machine) = self.machine_mut(machine_index) {
            machine.exited = exited;
            let earlier = std::mem::replace(&mut machine.unclaimed, unclaimed);
            let new = machine.unclaimed.iter().filter(|t| !earlier.contains(t));
            for UnclaimedTask { task, attempt } in new {
                log_stray(heartbeat, task, *attempt);
                comparison.unclaimed += 1;
            }
        }
        comparison
    }

    /// Updates the stage of a claimed task that is listed and has not exited.
    fn note_stage(
        &mut self,
        machine_index: usize,
        position: usize,
        stage: TaskStage,
        catalog: Option<&Catalog>,
        now: u64,
    ) {
        let Some(machine) = self.machines.get_mut(machine_index) else {
            return;
        };
        let claim = &mut machine.claims[position];
        claim.note_listed();
        let earlier = claim.stage.replace(stage);
        if earlier == Some(stage) {
            return;
        }
        let (was_running, runs) = (is_running(earlier), is_running(Some(stage)));
        if runs && claim.running_since.is_none() {
            claim.running_since = Some(now);
        }
        let Some(job) = self.jobs.get_mut(claim.job) else {
            return;
        };
        job.running = (job.running + u32::from(runs && !was_running))
            .saturating_sub(u32::from(was_running && !runs));
        if stage != TaskStage::Fetching
            && let Some(spec) = &job.spec
        {
            let image = self.images.get(&spec.image);
            let cache_gb = catalog.and_then(|catalog| cache_of(catalog, &machine.machine_type));
            machine.note_cached_image(image, spec.image_gb, cache_gb.unwrap_or(0.0));
        }
    }

    /// Finds the claims whose tasks are missing from a heartbeat that proves their absence.
    fn find_absent(
        &mut self,
        machine_index: usize,
        worker: CommandStamp,
        comparison: &mut Comparison,
    ) {
        let Some(machine) = self.machines.get_mut(machine_index) else {
            return;
        };
        for (position, claim) in machine.claims.iter_mut().enumerate() {
            let is_listed = comparison
                .listed
                .contains(&(claim.job, claim.task, claim.attempt));
            if claim.state != ClaimState::Recorded || is_listed {
                continue;
            }
            match absence_of(claim, worker) {
                Absence::Ended => comparison
                    .ended
                    .push(EndedClaim::unexplained(position, EndProof::Absent)),
                Absence::StartMissed(start) => {
                    claim.start = start;
                    self.machines_with_orders.insert(machine_index);
                }
                Absence::AwaitsHigherToken => machine.fence.request_higher_token(),
                Absence::Expected => {}
            }
        }
    }

    /// Adds claims for tasks that have none. Returns their jobs.
    fn add_stray_claims(&mut self, machine_index: usize, strays: Vec<Claim>) -> BTreeSet<JobIndex> {
        let mut jobs = BTreeSet::new();
        for stray in strays {
            let id = ClaimId {
                machine: machine_index,
                job: stray.job,
                task: stray.task,
                attempt: stray.attempt,
            };
            self.make_claim(id, stray);
            jobs.insert(id.job);
        }
        jobs
    }

    /// Marks successful tasks without a claim as done. Returns their jobs.
    fn complete_finished(&mut self, finished: Vec<(JobIndex, u32)>) -> BTreeSet<JobIndex> {
        let mut jobs = BTreeSet::new();
        for (job_index, task) in finished {
            if let Some(job) = self.job_mut(job_index) {
                job.complete(task);
            }
            jobs.insert(job_index);
        }
        jobs
    }
}

fn log_stray(heartbeat: &Heartbeat, task: &str, attempt: u64) {
    log::warn!(
        "machine {}: task {task} attempt {attempt} without a claim, to be stopped; its worker is at token {}, agent epoch {}",
        heartbeat.machine,
        heartbeat.token,
        heartbeat.agent_epoch
    );
}

impl Comparison {
    /// Notes a running task without a claim.
    fn note_stray(
        &mut self,
        heartbeat: &Heartbeat,
        job_index: JobIndex,
        task: u32,
        status: &TaskStatus,
    ) {
        log_stray(heartbeat, &status.task, status.attempt);
        self.unclaimed += 1;
        self.strays
            .push(Claim::stray(job_index, task, status.attempt));
    }

    /// Notes an exited task: its claim has ended, or, without a claim, its success still counts.
    fn note_exited(
        &mut self,
        job_index: Option<JobIndex>,
        task: u32,
        position: Option<usize>,
        status: &TaskStatus,
    ) {
        match position {
            Some(position) => self.ended.push(EndedClaim {
                position,
                cause: status.cause,
                saved: status.saved.unwrap_or(false),
                proof: EndProof::Exited,
            }),
            None if status.cause == Some(Cause::Done) => {
                self.finished
                    .extend(job_index.map(|job_index| (job_index, task)));
            }
            None => {}
        }
    }
}

fn cache_of(catalog: &Catalog, machine_type: &str) -> Option<f64> {
    let known = catalog.types.iter().find(|t| t.name == machine_type);
    known.map(|t| t.cache_gb)
}

/// The class of a job and the ratio of its task's run time to the estimate, if the run is representative of later
/// tasks.
fn measured_ratio(job: &Job, claim: &Claim, now: u64) -> Option<(String, f64)> {
    let spec = job.spec.as_ref()?;
    let ran_s = claim.ran_s(now)?;
    let is_whole_run = job.progress_s == 0.0 && !job.is_ending();
    (spec.estimate_s > 0.0 && is_whole_run).then(|| (spec.class.clone(), ran_s / spec.estimate_s))
}

/// Handles a failed task. A job that failed on several machines and succeeded on none backs off; otherwise the machine
/// may be at fault, and is paused or cordoned.
fn task_failed(
    job: &mut Job,
    machine: &mut Machine,
    machine_index: usize,
    claim: &Claim,
    now: u64,
) {
    job.failures += 1;
    job.failed_on.insert(machine_index);
    if job.failed_on.len() >= FAILING_JOB_MACHINES && !job.succeeded {
        let backoff = FAILING_JOB_BACKOFF_MS << job.failures.min(FAILING_JOB_DOUBLINGS);
        job.backoff_until = now + backoff.min(MAX_BACKOFF_MS);
        return;
    }
    job.backoff_until = now + ERROR_BACKOFF_MS;
    machine.errors += 1;
    *machine.error_jobs.entry(claim.job).or_default() += 1;
    // Failures of a single job don't show that the machine is at fault, unless the job succeeds elsewhere.
    let several_jobs_failed = machine.error_jobs.len() >= 2;
    if several_jobs_failed || (job.succeeded && machine.errors >= 2) {
        log::warn!(
            "machine {}: cordoned after {} errors",
            machine.name,
            machine.errors
        );
        machine.cordoned = true;
    } else {
        machine.unschedulable_until = now + ERROR_PAUSE_MS;
    }
}

/// Handles a task that a worker refused to start, for lack of room or because it does not know the job yet.
fn task_refused(job: &mut Job, machine: &mut Machine, claim: &Claim, cause: Cause, now: u64) {
    log::warn!(
        "task {}/{} refused by {}: {:?}",
        job.id,
        claim.task,
        machine.name,
        Some(cause)
    );
    machine.unschedulable_until = now + REFUSAL_PAUSE_MS;
    if cause == Cause::Unknown {
        job.backoff_until = now + UNKNOWN_BACKOFF_MS;
    }
}

/// Notes the progress of a task that was stopped or lost: what it saved counts for the next attempt.
fn note_progress(job: &mut Job, claim: &Claim, saved: bool, now: u64) {
    let (Some(ran_s), Some(spec)) = (claim.ran_s(now), &job.spec) else {
        return;
    };
    if spec.checkpoint_s > 0.0 {
        let total_s = job.progress_s + ran_s;
        job.progress_s = if saved {
            total_s
        } else {
            (total_s / spec.checkpoint_s).floor() * spec.checkpoint_s
        };
    }
}

impl Node {
    /// Applies a heartbeat to the machine, its claims and their jobs, unless a newer one was seen. Returns true if it
    /// is the newest.
    pub(crate) fn reconcile(&mut self, machine_index: usize, heartbeat: &Heartbeat) -> bool {
        let now = self.now.mono;
        let catalog = self.shared.catalog.as_ref();
        let Some(shard) = &mut self.shard else {
            return false;
        };
        let Some(machine) = shard.machine_mut(machine_index) else {
            return false;
        };
        if (heartbeat.agent_epoch, heartbeat.seq) <= machine.newest_message {
            return false;
        }
        shard.note_contact(machine_index, heartbeat, now);
        let proves_absence = shard.proves_absence(machine_index, heartbeat);
        let has_new_notice = shard.note_reclaim_notice(machine_index, heartbeat, now);
        let mut comparison = shard.compare_listed(machine_index, heartbeat, catalog, now);
        if proves_absence {
            shard.find_absent(machine_index, worker_stamp(heartbeat), &mut comparison);
        }
        self.stats.unclaimed_tasks += comparison.unclaimed;
        let mut changed = shard.add_stray_claims(machine_index, comparison.strays);
        changed.extend(shard.complete_finished(comparison.finished));
        changed.extend(self.end_claims(machine_index, comparison.ended));
        if has_new_notice {
            self.drain_before_reclaim(machine_index);
        }
        for job_index in changed {
            self.job_changed(job_index);
        }
        true
    }

    /// Ends several claims of a machine. Returns their jobs.
    pub(crate) fn end_claims(
        &mut self,
        machine_index: usize,
        mut ended: Vec<EndedClaim>,
    ) -> BTreeSet<JobIndex> {
        // From last to first, because each removal shifts the positions after it.
        ended.sort_unstable_by_key(|end| std::cmp::Reverse(end.position));
        ended
            .into_iter()
            .filter_map(|end| self.claim_ended(machine_index, end))
            .collect()
    }

    /// Ends the claim of a task that is proved gone. Returns its job.
    fn claim_ended(&mut self, machine_index: usize, end: EndedClaim) -> Option<JobIndex> {
        let now = self.now.mono;
        let shard = self.shard.as_mut()?;
        let machine = shard.machines.get_mut(machine_index)?;
        if end.position >= machine.claims.len() {
            return None;
        }
        let claim = machine.claims.remove(end.position);
        shard.claim_log.release_claim(claim.segment);
        let job = shard.jobs.get_mut(claim.job)?;
        log::debug!(
            "task {}/{} attempt {} on {}: ended, {:?}, proved by {:?}; start {:?}, {:?}",
            job.id,
            claim.task,
            claim.attempt,
            machine.name,
            end.cause,
            end.proof,
            claim.start,
            machine.fence
        );
        if is_running(claim.stage) {
            job.running = job.running.saturating_sub(1);
        }
        match end.cause {
            Some(Cause::Done) => {
                if let Some((class, ratio)) = measured_ratio(job, &claim, now) {
                    shard.classes.entry(class).or_default().record_run(ratio);
                }
                job.complete(claim.task);
                machine.errors = 0;
                machine.error_jobs.clear();
            }
            Some(Cause::Error) => task_failed(job, machine, machine_index, &claim, now),
            Some(cause @ (Cause::NoRoom | Cause::Busy | Cause::Unknown)) => {
                task_refused(job, machine, &claim, cause, now);
            }
            _ => note_progress(job, &claim, end.saved, now),
        }
        job.remove_claim(claim.task, machine_index, claim.attempt);
        if machine.claims.is_empty() {
            machine.idle_since = now;
        }
        shard.plan_triggers.request();
        Some(claim.job)
    }

    /// Ends claims that need no proof from the worker.
    pub(crate) fn end_releasable_claims(&mut self, machine_index: usize, claims: &[usize]) {
        let ended = claims
            .iter()
            .map(|position| EndedClaim::unexplained(*position, EndProof::NeverStarted));
        for job_index in self.end_claims(machine_index, ended.collect()) {
            self.job_changed(job_index);
        }
    }

    /// Drains a machine that the cloud is about to reclaim: stops the tasks that can save, that have not begun to run
    /// or that would not end in time, so that they can start elsewhere.
    fn drain_before_reclaim(&mut self, machine_index: usize) {
        let now = self.now.mono;
        let Some(shard) = &mut self.shard else { return };
        let Some(machine) = shard.machine(machine_index) else {
            return;
        };
        log::info!("machine {}: the cloud is about to reclaim it", machine.name);
        let left_s = machine.reclaim_at.unwrap_or(now).saturating_sub(now) as f64 / 1000.0;
        let mut stops: Vec<(JobIndex, f64)> = Vec::new();
        for claim in &machine.claims {
            let Some(spec) = shard.job(claim.job).and_then(|job| job.spec.as_ref()) else {
                continue;
            };
            let can_save = spec.checkpoint_s > 0.0;
            let remaining_s = spec.estimate_s - claim.ran_s(now).unwrap_or(0.0);
            if can_save || claim.running_since.is_none() || remaining_s > left_s {
                stops.push((claim.job, grace_period_s(spec)));
            }
        }
        for (job_index, grace_s) in stops {
            self.stop_on_machine(job_index, machine_index, grace_s);
        }
    }

    /// Stops a job's tasks on one machine; those of a gang on all, since they end together.
    pub(crate) fn stop_on_machine(&mut self, index: JobIndex, machine_index: usize, grace_s: f64) {
        let Some(shard) = &mut self.shard else { return };
        let Some(job) = shard.job(index) else { return };
        let machines: BTreeSet<usize> = if job.kind() == Kind::Gang {
            job.machines()
        } else {
            BTreeSet::from([machine_index])
        };
        for machine_index in machines {
            shard.stop_job(index, machine_index, grace_s);
        }
    }
}
