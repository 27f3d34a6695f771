//! What workers say and are told.
//!
//! Orders are derived from the difference between the recorded claims and the newest heartbeat, so that a lost
//! message only costs time.

use crate::agents::machine::{Claim, ClaimState, Exited, Machine};
use crate::agents::relay::NOT_SENT;
use crate::jobs::job::JobIndex;
use crate::leadership::peer_status::TOKEN_BOUND;
use crate::scheduling::planning::grace;
use crate::store::claim_log::ClaimId;
use crate::{Node, Pending};
use std::collections::BTreeSet;
use wire::api::{Cause, Heartbeat, Kind, Order, Orders, Redirect, TaskStage};
use wire::http::Response;
use wire::ids;

const DIRECT_TIMEOUT_MS: u64 = 2000;

/// What a heartbeat is answered.
pub(crate) enum HeartbeatReply {
    /// The body of a 200.
    Orders(Vec<u8>),
    Refused(&'static str),
}

impl Node {
    pub(crate) fn heartbeat_received(&mut self, conn: u64, body: &[u8]) {
        let heartbeat: Heartbeat = match wire::decode(body) {
            Ok(r) => r,
            Err(e) => return self.refuse(conn, 400, &e.to_string()),
        };
        if self.shard.is_none() {
            if let Some(body) = self.delegate_answer(&heartbeat) {
                return self.respond(conn, 200, body, None);
            }
            if self.takes(conn, &heartbeat, body) {
                return;
            }
            return match self.leader_name().filter(|o| *o != self.settings.node) {
                Some(node) => {
                    let body = wire::encode(&Redirect {
                        report_to: Some(node),
                    });
                    self.respond(conn, 421, body, None)
                }
                None => self.refuse(conn, 503, "no owner yet"),
            };
        }
        if let Some(node) = self.moved_to(&heartbeat) {
            let body = wire::encode(&Redirect {
                report_to: Some(node),
            });
            return self.respond(conn, 421, body, None);
        }
        match self.take_heartbeat(&heartbeat, None) {
            HeartbeatReply::Orders(body) => self.respond(conn, 200, body, None),
            HeartbeatReply::Refused(why) => self.refuse(conn, 503, why),
        }
    }

    /// A heartbeat to the leader, from the worker itself or by way of a peer.
    pub(crate) fn take_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        via: Option<usize>,
    ) -> HeartbeatReply {
        let Some(shard) = &self.shard else {
            return HeartbeatReply::Refused("not the owner");
        };
        if heartbeat.token > shard.token {
            return HeartbeatReply::Refused(self.outranked(heartbeat.token));
        }
        let token = shard.token;
        if !shard.loaded {
            // What runs there may have been cancelled long ago, so its lease is not renewed: the worker drops what
            // has no token, but stays.
            let body = wire::encode(&Orders {
                token: 0,
                session: None,
                orders: Vec::new(),
            });
            return HeartbeatReply::Orders(body);
        }
        if !self.may_renew() {
            return HeartbeatReply::Refused("not sure for too long");
        }
        let orders = match self.sender_of(heartbeat) {
            Some(m) if self.heard(m, heartbeat, via) => {
                let orders = self.orders_for(m);
                self.note_unacknowledged_start(m, &orders);
                orders
            }
            // Its worker may wait for the answer all the same, and its lease is renewed by it: not without the stops of
            // what was cancelled.
            Some(m) => self.last_orders(m),
            None => Vec::new(),
        };
        HeartbeatReply::Orders(wire::encode(&Orders {
            token,
            session: None,
            orders,
        }))
    }

    /// A start in the answer to a heartbeat may overtake a command, or be overtaken: until the next heartbeat, what a worker
    /// answers to commands proves nothing about it.
    fn note_unacknowledged_start(&mut self, m: usize, orders: &[Order]) {
        if orders.iter().any(|o| matches!(o, Order::Start { .. }))
            && let Some(machine) = self.shard.as_mut().and_then(|p| p.machine_mut(m))
        {
            machine.unacknowledged_start = Some(machine.seen);
        }
    }

    /// A heartbeat that a worker has made of itself; true if it is the newest. It waits for no answer to an earlier one
    /// any more, so nothing of that can still be executed.
    fn heard(&mut self, m: usize, heartbeat: &Heartbeat, via: Option<usize>) -> bool {
        let Some(shard) = &mut self.shard else {
            return false;
        };
        let (ours, now) = (shard.token, self.now.mono);
        shard.heard_itself |= via.is_none();
        let Some(machine) = shard.machine_mut(m) else {
            return false;
        };
        if (heartbeat.session, heartbeat.seq) > machine.seen {
            machine.via = via;
            machine.heartbeat_at = now;
            // It has heard of us after that first heartbeat, if it obeys a token now that it did not know then.
            machine.unconfirmed_token = machine
                .unconfirmed_token
                .filter(|token| *token >= ours || heartbeat.token < ours);
            if machine
                .unacknowledged_start
                .is_some_and(|unacknowledged_start| {
                    unacknowledged_start < (heartbeat.session, heartbeat.seq)
                })
            {
                machine.unacknowledged_start = None;
            }
        }
        self.absorb(m, heartbeat)
    }

    /// Its worker obeys a higher token than ours. While sure of our lease that can only be a stray number, and
    /// we go above it; otherwise there is a new leader.
    fn outranked(&mut self, token: u64) -> &'static str {
        log::warn!("a worker obeys token {token}, above ours");
        if self.has_valid_lease() {
            // One worker's absurd number must neither use up the counter nor unseat a rightful leader.
            if token >= TOKEN_BOUND {
                return "that token was never given out";
            }
            self.shared.token = self.shared.token.max(token);
            if let Some(shard) = &mut self.shard {
                shard.raise_token = true;
            }
            return "raising the token";
        }
        self.step_down("workers obey a higher token");
        "not the owner any more"
    }

    /// The machine that a heartbeat comes from; one that nobody expected is taken in.
    fn sender_of(&mut self, heartbeat: &Heartbeat) -> Option<usize> {
        let now = self.now;
        let shard = self.shard.as_mut()?;
        if let Some(m) = shard.machines.index_of(&heartbeat.machine) {
            return Some(m);
        }
        if shard.returned.contains(&heartbeat.machine) || !name_ok(&heartbeat.machine) {
            return None;
        }
        log::info!(
            "machine {}: heartbeats unexpectedly, taken in",
            heartbeat.machine
        );
        let r = heartbeat;
        let mut machine = Machine::unrecorded(
            &r.machine,
            &r.machine_type,
            &r.zone,
            r.spot,
            now.wall,
            now.mono,
        );
        machine.unconfirmed_token = Some(r.token);
        machine.addr = r.addr.parse().ok();
        let m = shard.add_machine(machine);
        self.probe_machine(m);
        Some(m)
    }

    /// Takes in a heartbeat, unless a newer one was seen. True if it is the newest.
    pub(crate) fn absorb(&mut self, m: usize, heartbeat: &Heartbeat) -> bool {
        let now = self.now.mono;
        let mut changed: BTreeSet<JobIndex> = BTreeSet::new();
        let Some(shard) = &mut self.shard else {
            return false;
        };
        let token = shard.token;
        let Some(machine) = shard.machines.get_mut(m) else {
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
            shard.plan_triggers.request();
            log::info!("machine {}: up", machine.name);
        }
        if machine
            .unanswered_command
            .is_some_and(|(t, session)| heartbeat.token > t || heartbeat.session > session)
        {
            machine.unanswered_command = None;
            shard.plan_triggers.request();
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
            let ix = shard.jobs.index_of(id);
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
                if let Some(job) = shard.jobs.get_mut(claim.job) {
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
        let machine = shard.machines.get_mut(m)?;
        if k >= machine.claims.len() {
            return None;
        }
        let claim = machine.claims.remove(k);
        shard.claim_log.ended(claim.segment);
        let job = shard.jobs.get_mut(claim.job)?;
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
        shard.plan_triggers.request();
        Some(claim.job)
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

    /// What the worker is to do now. Only a leader that is sure of its lease gives orders.
    pub(crate) fn orders_for(&mut self, m: usize) -> Vec<Order> {
        let mut orders = Vec::new();
        if !self.may_decide() {
            return self.last_orders(m);
        }
        let now = self.now.mono;
        let silent = self.silent_ms();
        let Some(shard) = &mut self.shard else {
            return orders;
        };
        let Some(machine) = shard.machines.get_mut(m) else {
            return orders;
        };
        // Nothing begins in the last of a lease, or on a machine that goes.
        let may_start = machine.unanswered_command.is_none()
            && !machine.deleting
            && !machine.is_heartbeat_overdue(now, silent);
        // Two ways at once would make an absence in a heartbeat prove nothing.
        if machine.direct.is_some() {
            return orders;
        }
        shard.push.remove(&m);
        let mut never_started = Vec::new();
        for (k, c) in machine.claims.iter_mut().enumerate() {
            if c.state != ClaimState::Recorded {
                continue;
            }
            let Some(job) = shard.jobs.get(c.job) else {
                continue;
            };
            if let Some(grace_s) = c.stop {
                if !c.sent {
                    never_started.push(k);
                    continue;
                }
                // Saving takes its time: told once, unless it is to end at once.
                let told = c
                    .stop_sent
                    .is_some_and(|at| c.stage == Some(TaskStage::Saving) || at + 1500 > now);
                if !told || (grace_s == 0.0 && c.stop_sent.is_none_or(|at| at + 500 <= now)) {
                    c.stop_sent = Some(now);
                    orders.push(Order::Stop {
                        task: ids::task_name(&job.id, c.task),
                        attempt: c.attempt,
                        grace_s,
                    });
                }
            } else if c.stage.is_none() && !c.sent && !job.is_ending() && may_start {
                // A gang starts only when all its claims stand.
                if job.kind() == Kind::Gang
                    && (job.broken || job.claimed.len() != job.tasks as usize)
                {
                    continue;
                }
                c.sent = true;
                c.session = machine.seen.0;
                orders.push(Order::Start {
                    task: ids::task_name(&job.id, c.task),
                    attempt: c.attempt,
                });
            }
        }
        if machine.unanswered_command.is_none() {
            for e in &machine.exited {
                let ix = shard.jobs.index_of(&e.job);
                let job = ix.and_then(|ix| shard.jobs.get(ix));
                let claimed = ix.is_some_and(|ix| {
                    machine
                        .claims
                        .iter()
                        .any(|c| c.job == ix && c.task == e.task && c.attempt == e.attempt)
                });
                // The result first, then the reaping.
                let safe = e.cause != Some(Cause::Done) || job.is_none_or(|j| j.recorded(e.task));
                if !claimed && safe {
                    orders.push(Order::Reap {
                        task: ids::task_name(&e.job, e.task),
                        attempt: e.attempt,
                    });
                }
            }
        }
        self.never_started(m, &never_started);
        orders.truncate(400);
        orders
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

    /// All that a leader says that is unsure, or that asks: jobs that their users have cancelled here are to stop. Their ends are
    /// never taken back, and no worker is told to live on without it.
    fn last_orders(&self, m: usize) -> Vec<Order> {
        let Some(shard) = &self.shard else {
            return Vec::new();
        };
        let Some(machine) = shard.machine(m).filter(|x| x.direct.is_none()) else {
            return Vec::new();
        };
        let stop = |c: &Claim| {
            let job = shard.job(c.job).filter(|j| c.sent && j.is_unwanted())?;
            let task = ids::task_name(&job.id, c.task);
            Some(Order::Stop {
                task,
                attempt: c.attempt,
                grace_s: 0.0,
            })
        };
        machine.claims.iter().filter_map(stop).collect()
    }

    /// Tells workers at once what they would otherwise hear with their next heartbeat.
    pub(crate) fn push_orders(&mut self) {
        if !self.may_decide() {
            return;
        }
        let Some(shard) = &self.shard else { return };
        let ready = |m: &usize| {
            shard.machine(*m).is_some_and(|x| {
                x.up && x.addr.is_some()
                    && x.direct.is_none()
                    && x.unanswered_command.is_none()
                    && !x.deleting
            })
        };
        let due: Vec<usize> = shard.push.iter().copied().filter(ready).collect();
        for m in due {
            let orders = self.orders_for(m);
            if orders.iter().all(|o| matches!(o, Order::Reap { .. })) {
                continue;
            }
            let term = self.term;
            let Some(shard) = &mut self.shard else { return };
            let serial = shard.next_serial();
            let token = shard.token;
            let Some(machine) = shard.machine_mut(m) else {
                continue;
            };
            let Some(addr) = machine.addr else { continue };
            machine.direct = Some(serial);
            let via = machine.via.is_some();
            let body = wire::encode(&Orders {
                token,
                session: Some(machine.seen.0),
                orders,
            });
            let what = Pending::Direct {
                term,
                machine: m,
                serial,
                via,
            };
            self.command(m, addr, body, DIRECT_TIMEOUT_MS, what);
        }
    }

    /// The heartbeat that answers a command, executed or not.
    fn command_heartbeat(&mut self, response: Option<Response>) -> Option<Heartbeat> {
        let response = response.filter(|r| r.status == 200 || r.status == 409)?;
        self.read("worker", &response)
    }

    pub(crate) fn direct_received(&mut self, m: usize, serial: u64, response: Option<Response>) {
        let unsent = response.as_ref().is_some_and(|r| r.status == NOT_SENT);
        let heartbeat = self.command_heartbeat(response);
        let Some(shard) = &mut self.shard else { return };
        let token = shard.token;
        let Some(machine) = shard.machine_mut(m) else {
            return;
        };
        if machine.direct != Some(serial) {
            return;
        }
        machine.direct = None;
        match heartbeat {
            Some(heartbeat) if heartbeat.machine == machine.name => {
                machine.unconfirmed_token = None;
                self.absorb(m, &heartbeat);
            }
            // Nothing of it can ever be executed; its next heartbeat brings what is missing to light.
            _ if unsent => {}
            _ => {
                // It may be executed minutes from now. Only a higher token, once the worker has seen it, rules
                // that out; until then nothing here is reaped or proved gone, and nothing new is placed.
                log::info!("machine {}: a command was not answered", machine.name);
                machine.unanswered_command = Some((token, machine.seen.0));
                shard.raise_token = true;
            }
        }
    }

    /// Asks a worker for its heartbeat, by a command: it also shows our token to a worker that still obeys an earlier one.
    /// All that it orders are stops of what was cancelled, so that it can be executed at any time without harm, and a
    /// machine that hung hears of them first.
    pub(crate) fn probe_machine(&mut self, m: usize) {
        let (now, term) = (self.now.mono, self.term);
        let orders = self.last_orders(m);
        let Some(shard) = &mut self.shard else { return };
        let serial = shard.next_serial();
        let token = shard.token;
        let Some(machine) = shard.machine_mut(m) else {
            return;
        };
        let Some(addr) = machine.addr else { return };
        machine.probe = Some(serial);
        machine.probed_at = now;
        // Most have never lost their lease; otherwise the refusal tells the session.
        let session = Some(machine.seen.0.max(1));
        let via = machine.via.is_some();
        let body = wire::encode(&Orders {
            token,
            session,
            orders,
        });
        let what = Pending::Probe {
            term,
            machine: m,
            serial,
            via,
        };
        self.command(m, addr, body, DIRECT_TIMEOUT_MS, what);
    }

    /// The machine was not asked: it will be.
    pub(crate) fn probe_unsent(&mut self, m: usize, serial: u64) {
        let machine = self.shard.as_mut().and_then(|p| p.machine_mut(m));
        if let Some(machine) = machine.filter(|x| x.probe == Some(serial)) {
            machine.probe = None;
        }
    }

    pub(crate) fn show_received(&mut self, m: usize, serial: u64, response: Option<Response>) {
        let heartbeat = self.command_heartbeat(response);
        let now = self.now.mono;
        let silent = self.silent_ms();
        let Some(machine) = self.shard.as_mut().and_then(|p| p.machine_mut(m)) else {
            return;
        };
        if machine.probe != Some(serial) {
            return;
        }
        machine.probe = None;
        let direct = machine.via.is_none();
        if let Some(heartbeat) = heartbeat.filter(|r| r.machine == machine.name) {
            machine.unconfirmed_token = None;
            if let Some(shard) = self.shard.as_mut().filter(|_| direct) {
                shard.heard_itself = true;
            }
            self.absorb(m, &heartbeat);
            return;
        }
        let gap = now.saturating_sub(machine.heard_at);
        if gap <= silent {
            return;
        }
        // Where a whole zone is silent, its machines are likely to come back, with their tasks if that is before
        // their leases end. Only then is it better to return those that hold tasks, so that these can go on
        // elsewhere.
        self.look_at_zones();
        let Some(machine) = self.shard.as_ref().and_then(|p| p.machine(m)) else {
            return;
        };
        let kept = self.delegated_ms(&machine.zone, machine.heard_at);
        let lease = (self.settings.cluster.workers.lease_s * 1000.0) as u64 + silent + kept;
        let Some(shard) = &mut self.shard else { return };
        let Some(machine) = shard.machines.get_mut(m) else {
            return;
        };
        let patient = shard.zones.is_doubtful(&machine.zone);
        if patient && (machine.claims.is_empty() || gap <= lease) {
            return;
        }
        log::warn!(
            "machine {}: silent and unreachable, to be returned",
            machine.name
        );
        machine.deleting = true;
    }

    /// A machine that says nothing for so long is asked. Heartbeats come a quarter late at times.
    pub(crate) fn silent_ms(&self) -> u64 {
        let heartbeats = self.settings.cluster.workers.report_s * 1.5 + 1.0;
        (self.tuning.silent_s.max(heartbeats) * 1000.0) as u64
    }
}

fn name_ok(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= 100
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::store::shard::Shard;
    use crate::{Destination, Effect, Event, Now, Tuning};

    /// A leader with one machine that was last heard long ago, and the serial that its next command has.
    fn leader() -> (Node, usize) {
        let text = include_str!("../../../../deploy/settings-example.json");
        let settings = serde_json::from_str(text).expect("the example is accepted");
        let now = Now {
            mono: 1_000_000,
            wall: 1_000_000,
        };
        let mut node = Node::new(settings, Tuning::default(), 1, now);
        let mut shard = Shard::new(7, 1, 0, 8.0);
        let mut machine = Machine::unrecorded("host-1", "g8", "a", false, 0, 0);
        machine.addr = Some(([127, 0, 0, 1], 1).into());
        machine.direct = Some(3);
        let m = shard.add_machine(machine);
        node.shard = Some(shard);
        (node, m)
    }

    fn tag(node: &mut Node, what: Pending) -> u64 {
        let to = Destination::Worker(([127, 0, 0, 1], 1).into());
        node.send(to, "POST", "/commands".into(), Vec::new(), 1000, what);
        let Some(Effect::Send { tag, .. }) = node.effects.pop() else {
            panic!("nothing is sent")
        };
        tag
    }

    /// Without a socket nothing was sent, so nothing can be executed later: no token need be raised for it.
    #[test]
    fn a_command_that_was_not_sent_casts_no_doubt() {
        for (via, sent) in [(false, false), (true, false), (false, true)] {
            let (mut node, m) = leader();
            let tag = tag(
                &mut node,
                Pending::Direct {
                    term: 0,
                    machine: m,
                    serial: 3,
                    via,
                },
            );
            node.unsent_or_silent(tag, sent);
            let shard = node.shard.as_ref().expect("the owner");
            let machine = shard.machine(m).expect("the machine");
            assert_eq!(machine.direct, None);
            assert_eq!(
                (machine.unanswered_command.is_some(), shard.raise_token),
                (sent, sent),
                "via a peer: {via}"
            );
        }
    }

    /// A machine that could not be asked for want of a socket has not failed to answer.
    #[test]
    fn a_machine_that_was_not_asked_is_not_returned() {
        for sent in [false, true] {
            let (mut node, m) = leader();
            node.shard
                .as_mut()
                .and_then(|p| p.machine_mut(m))
                .expect("the machine")
                .probe = Some(3);
            let tag = tag(
                &mut node,
                Pending::Probe {
                    term: 0,
                    machine: m,
                    serial: 3,
                    via: false,
                },
            );
            node.unsent_or_silent(tag, sent);
            let machine = node
                .shard
                .as_ref()
                .and_then(|p| p.machine(m))
                .expect("the machine");
            assert_eq!((machine.probe, machine.deleting), (None, sent));
        }
    }

    impl Node {
        fn unsent_or_silent(&mut self, tag: u64, sent: bool) {
            let event = if sent {
                Event::Reply {
                    tag,
                    response: None,
                }
            } else {
                Event::Unsent { tag }
            };
            self.handle(self.now, event);
        }
    }
}
