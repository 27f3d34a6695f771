//! Reconciliation: squaring what an agent lists with the recorded claims.
//!
//! A claim ends only on proof that its task is gone and can't come back. A heartbeat is such proof only while nothing
//! is under way that could still start the task.

use crate::Node;
use crate::agents::machine::{Claim, ClaimState, Exited};
use crate::jobs::job::JobIndex;
use crate::scheduling::planning::grace;
use crate::store::claim_log::ClaimId;
use std::collections::BTreeSet;
use wire::api::{Cause, Heartbeat, Kind, TaskStage};
use wire::ids;

impl Node {
    /// Takes in a heartbeat, unless a newer one was seen. True if it is the newest.
    pub(crate) fn absorb(&mut self, m: usize, heartbeat: &Heartbeat) -> bool {
        let now = self.now.mono;
        let mut changed: BTreeSet<JobIndex> = BTreeSet::new();
        let Some(shard) = &mut self.shard else {
            return false;
        };
        let token = shard.token;
        let Some(machine) = shard.machines.get_mut(m).and_then(Option::as_mut) else {
            return false;
        };
        if (heartbeat.session, heartbeat.seq) <= machine.seen {
            return false;
        }
        machine.seen = (heartbeat.session, heartbeat.seq);
        machine.heard_at = now;
        // Answers to heartbeats of an earlier session are dropped. A worker that answers commands alone says no more of it.
        machine.unacknowledged_start = machine
            .unacknowledged_start
            .filter(|(session, _)| *session >= heartbeat.session);
        machine.addr = heartbeat.addr.parse().ok().or(machine.addr);
        if !machine.up {
            machine.up = true;
            machine.idle_since = now;
            shard.plan_due = true;
            log::info!("machine {}: up", machine.name);
        }
        if machine
            .unanswered_command
            .is_some_and(|(t, session)| heartbeat.token > t || heartbeat.session > session)
        {
            machine.unanswered_command = None;
            shard.plan_due = true;
        }
        // What is not listed now is gone only if nothing that could start it is still under way: no command
        // of an earlier token, no direct command unanswered, no start in an answer that a worker still waits for.
        let quiet = machine.direct.is_none()
            && machine.unacknowledged_start.is_none()
            && machine.unanswered_command.is_none();
        let proof = heartbeat.token >= token && quiet;
        let noticed = heartbeat
            .notice_s
            .filter(|n| n.is_finite() && *n >= 0.0)
            .map(|n| now + (n * 1000.0) as u64);
        let new_notice = noticed.is_some() && machine.notice_until.is_none();
        machine.notice_until = noticed.or(machine.notice_until);

        let mut listed: Vec<(JobIndex, u32, u64)> = Vec::with_capacity(heartbeat.tasks.len());
        let mut exited = Vec::new();
        let mut ends: Vec<(usize, Option<Cause>, bool)> = Vec::new();
        let mut strays: Vec<Claim> = Vec::new();
        let mut finished: Vec<(JobIndex, u32)> = Vec::new();
        for t in &heartbeat.tasks {
            let Some((id, task)) = ids::parse_task(&t.task) else {
                continue;
            };
            let ix = shard.job_index.get(id).copied();
            let found = ix.and_then(|ix| {
                listed.push((ix, task, t.attempt));
                machine
                    .claims
                    .iter()
                    .position(|c| c.job == ix && c.task == task && c.attempt == t.attempt)
            });
            if t.stage == TaskStage::Exited {
                exited.push(Exited {
                    job: id.to_owned(),
                    task,
                    attempt: t.attempt,
                    cause: t.cause,
                });
                match found {
                    Some(k) => ends.push((k, t.cause, t.saved.unwrap_or(false))),
                    // The result of a task whose claim an earlier leader has struck off already.
                    None if t.cause == Some(Cause::Done) => {
                        finished.extend(ix.map(|ix| (ix, task)))
                    }
                    _ => {}
                }
                continue;
            }
            let Some(k) = found else {
                // A heartbeat from before our time may be a copy of one that was overtaken long ago.
                if heartbeat.token < token {
                    continue;
                }
                // Not expected to happen; it counts and is stopped all the same.
                log::warn!(
                    "machine {}: task {} attempt {} without a claim",
                    machine.name,
                    t.task,
                    t.attempt
                );
                if let Some(ix) = ix {
                    let mut stray = Claim::new(ix, task, t.attempt);
                    stray.sent = true;
                    stray.stop = Some(0.0);
                    strays.push(stray);
                }
                continue;
            };
            let claim = &mut machine.claims[k];
            claim.sent = true;
            let was = claim.stage.replace(t.stage);
            if was != Some(t.stage) {
                let runs = |s: Option<TaskStage>| {
                    matches!(s, Some(TaskStage::Running | TaskStage::Saving))
                };
                let (ran, run) = (runs(was), runs(Some(t.stage)));
                if let Some(job) = shard.jobs.get_mut(claim.job).and_then(Option::as_mut) {
                    job.running = (job.running + u32::from(run && !ran))
                        .saturating_sub(u32::from(ran && !run));
                    if t.stage != TaskStage::Fetching
                        && let Some(spec) = &job.spec
                    {
                        let image = shard.images.get(&spec.image);
                        let cache = self.shared.catalog.as_ref().and_then(|c| {
                            c.types
                                .iter()
                                .find(|t| t.name == machine.machine_type)
                                .map(|t| t.cache_gb)
                        });
                        let gb = spec.image_gb;
                        machine.has_image(image, gb, cache.unwrap_or(0.0));
                    }
                }
                let claim = &mut machine.claims[k];
                if run && claim.running_since.is_none() {
                    claim.running_since = Some(now);
                }
            }
        }
        machine.exited = exited;
        if proof {
            for (k, claim) in machine.claims.iter_mut().enumerate() {
                if claim.state != ClaimState::Recorded || !claim.sent {
                    continue;
                }
                if listed.contains(&(claim.job, claim.task, claim.attempt)) {
                    continue;
                }
                // One that was read back may have ended and been reaped before our time.
                // Nor is an attempt begun in two sessions: what it came to in the first would be taken for its end in
                // the second, where a copy of an old heartbeat comes to a later leader.
                let earlier = claim.session < heartbeat.session;
                if claim.stage.is_some() || claim.stop.is_some() || claim.loaded || earlier {
                    ends.push((k, None, false));
                } else {
                    // It never got there: the same attempt can be sent again, since nothing was reaped.
                    claim.sent = false;
                    shard.push.insert(m);
                }
            }
        }
        for stray in strays {
            let id = ClaimId {
                machine: m,
                job: stray.job,
                task: stray.task,
                attempt: stray.attempt,
            };
            shard.make_claim(id, stray);
            changed.insert(id.job);
        }
        for (ix, task) in finished {
            if let Some(job) = shard.job_mut(ix) {
                job.complete(task);
            }
            changed.insert(ix);
        }
        // From the last to the first, since each leaves the list.
        ends.sort_unstable_by_key(|(k, _, _)| std::cmp::Reverse(*k));
        for (k, cause, saved) in ends {
            changed.extend(self.claim_ended(m, k, cause, saved));
        }
        if new_notice {
            self.drain_for_notice(m);
        }
        for ix in changed {
            self.job_changed(ix);
        }
        true
    }

    /// A task is proved gone. Returns its job.
    pub(crate) fn claim_ended(
        &mut self,
        m: usize,
        k: usize,
        cause: Option<Cause>,
        saved: bool,
    ) -> Option<JobIndex> {
        let now = self.now.mono;
        let shard = self.shard.as_mut()?;
        let machine = shard.machines.get_mut(m)?.as_mut()?;
        if k >= machine.claims.len() {
            return None;
        }
        let claim = machine.claims.remove(k);
        shard.claim_log.ended(claim.segment);
        let job = shard.jobs.get_mut(claim.job)?.as_mut()?;
        log::debug!(
            "task {}/{} attempt {} on {}: ended, {cause:?}",
            job.id,
            claim.task,
            claim.attempt,
            machine.name
        );
        if matches!(claim.stage, Some(TaskStage::Running | TaskStage::Saving)) {
            job.running = job.running.saturating_sub(1);
        }
        let ran = claim
            .running_since
            .map(|t| now.saturating_sub(t) as f64 / 1000.0);
        match cause {
            Some(Cause::Done) => {
                if let (Some(ran), Some(spec)) = (ran, &job.spec)
                    && spec.estimate_s > 0.0
                    && job.progress_s == 0.0
                    && !job.is_ending()
                {
                    shard
                        .classes
                        .entry(spec.class.clone())
                        .or_default()
                        .learn(ran / spec.estimate_s);
                }
                job.complete(claim.task);
                machine.errors = 0;
                machine.error_jobs.clear();
            }
            Some(Cause::Error) => {
                job.failures += 1;
                job.failed_on.insert(m);
                // Where a job failed on several machines and succeeded nowhere, the fault is its own.
                let job_is_bad = job.failed_on.len() >= 3 && !job.succeeded;
                let backoff = if job_is_bad {
                    (1000u64 << job.failures.min(5)).min(30_000)
                } else {
                    200
                };
                job.backoff_until = now + backoff;
                if !job_is_bad {
                    machine.errors += 1;
                    *machine.error_jobs.entry(claim.job).or_default() += 1;
                    // One job alone proves nothing against a machine, unless it succeeds elsewhere.
                    let several = machine.error_jobs.len() >= 2;
                    if several || (job.succeeded && machine.errors >= 2) {
                        log::warn!(
                            "machine {}: set aside after {} errors",
                            machine.name,
                            machine.errors
                        );
                        machine.sick = true;
                    } else {
                        machine.rest_until = now + 3000;
                    }
                }
            }
            Some(Cause::NoRoom | Cause::Busy | Cause::Unknown) => {
                log::warn!(
                    "task {}/{} refused by {}: {cause:?}",
                    job.id,
                    claim.task,
                    machine.name
                );
                machine.rest_until = now + 2000;
                if cause == Some(Cause::Unknown) {
                    job.backoff_until = now + 1000;
                }
            }
            _ => {
                if let (Some(ran), Some(spec)) = (ran, &job.spec)
                    && spec.checkpoint_s > 0.0
                {
                    let whole = job.progress_s + ran;
                    job.progress_s = if saved {
                        whole
                    } else {
                        (whole / spec.checkpoint_s).floor() * spec.checkpoint_s
                    };
                }
            }
        }
        job.unclaim(claim.task, m, claim.attempt);
        if machine.claims.is_empty() {
            machine.idle_since = now;
        }
        shard.plan_due = true;
        Some(claim.job)
    }

    /// Claims of which nothing was sent are over at once: no proof is needed.
    pub(crate) fn never_started(&mut self, m: usize, claims: &[usize]) {
        let mut changed = BTreeSet::new();
        for k in claims.iter().rev() {
            changed.extend(self.claim_ended(m, *k, None, false));
        }
        for ix in changed {
            self.job_changed(ix);
        }
    }

    /// The cloud takes the machine away soon: what can save does so now, and what can't end in time is freed
    /// to start elsewhere.
    fn drain_for_notice(&mut self, m: usize) {
        let now = self.now.mono;
        let Some(shard) = &mut self.shard else { return };
        let Some(machine) = shard.machine(m) else {
            return;
        };
        log::info!("machine {}: is about to be taken", machine.name);
        let left = machine.notice_until.unwrap_or(now).saturating_sub(now) as f64 / 1000.0;
        let mut stops: Vec<(JobIndex, f64)> = Vec::new();
        for c in &machine.claims {
            let Some(spec) = shard.job(c.job).and_then(|j| j.spec.as_ref()) else {
                continue;
            };
            let ran = c
                .running_since
                .map_or(0.0, |t| now.saturating_sub(t) as f64 / 1000.0);
            if spec.checkpoint_s > 0.0 || c.running_since.is_none() || spec.estimate_s - ran > left
            {
                stops.push((c.job, grace(spec)));
            }
        }
        for (ix, grace) in stops {
            self.stop_here(ix, m, grace);
        }
    }

    /// Stops a job's tasks on one machine; a gang's on all, since they end together.
    pub(crate) fn stop_here(&mut self, ix: JobIndex, m: usize, grace_s: f64) {
        let Some(shard) = &mut self.shard else { return };
        let Some(job) = shard.job(ix) else { return };
        let machines: BTreeSet<usize> = if job.kind() == Kind::Gang {
            job.claimed.values().flatten().map(|(m, _)| *m).collect()
        } else {
            BTreeSet::from([m])
        };
        for m in machines {
            shard.stop_job(ix, m, grace_s);
        }
    }
}
