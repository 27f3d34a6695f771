//! Decides what is sent to a worker and why: starts, stops and reaps, and the fencing token that they are sent under.
//!
//! Orders are derived from the difference between the recorded claims and the newest heartbeat, so a lost message only
//! costs time. Every message to a worker is a [`WorkerMessage`] that is made here.

use crate::Node;
use crate::agents::command_fence::CommandStamp;
use crate::agents::machine::{Claim, ClaimState, Exited, Machine, StartState, UnclaimedTask};
use crate::jobs::job::Job;
use crate::store::shard::Shard;
use wire::api::{Cause, Kind, Order, Orders, TaskStage};
use wire::ids;

/// The most orders in one message to a machine.
const MAX_ORDERS: usize = 400;
/// So many exited tasks are reaped at once, fewer after a heartbeat interval: a worker sends another heartbeat whenever its
/// tasks or its token change.
const REAP_BATCH: usize = 8;
/// A stop without effect is repeated after this time.
const STOP_RETRY_MS: u64 = 1500;
/// The same for a stop without a grace period, which is repeated even while its task saves.
const IMMEDIATE_STOP_RETRY_MS: u64 = 500;

/// The first agent epoch of a worker.
const FIRST_AGENT_EPOCH: u64 = 1;

/// How a message reaches a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// In the reply to its heartbeat.
    Reply,
    /// As a direct command.
    Command,
}

/// Orders to a worker, with the token and the agent epoch that they are sent under.
#[derive(Debug, Clone)]
pub(crate) struct WorkerMessage {
    pub stamp: CommandStamp,
    pub orders: Vec<Order>,
}

impl WorkerMessage {
    /// A message that only carries a token.
    pub fn without_orders(token: u64) -> Self {
        WorkerMessage {
            stamp: CommandStamp {
                token,
                agent_epoch: 0,
            },
            orders: Vec::new(),
        }
    }

    fn reaps(&self) -> usize {
        let is_reap = |order: &&Order| matches!(order, Order::Reap { .. });
        self.orders.iter().filter(is_reap).count()
    }

    /// The body of a reply to a heartbeat. A worker drops replies to heartbeats of an earlier epoch by itself.
    pub fn reply_body(&self) -> Vec<u8> {
        wire::encode(&Orders {
            token: self.stamp.token,
            agent_epoch: None,
            orders: self.orders.clone(),
        })
    }

    /// The body of a direct command. Most workers are in their first agent epoch, having never lost their lease. If one
    /// that was not heard yet is not, its rejection carries the current epoch.
    pub fn command_body(&self) -> Vec<u8> {
        wire::encode(&Orders {
            token: self.stamp.token,
            agent_epoch: Some(self.stamp.agent_epoch.max(FIRST_AGENT_EPOCH)),
            orders: self.orders.clone(),
        })
    }
}

/// Whether a claimed task may be started now. A gang starts only once all its tasks are claimed.
fn is_startable(claim: &Claim, job: &Job) -> bool {
    let is_whole = !job.is_gang_broken && job.claimed.len() == job.tasks as usize;
    let is_unstarted = claim.stage.is_none() && !claim.is_sent();
    is_unstarted && !job.is_ending() && (job.kind() != Kind::Gang || is_whole)
}

/// Builds the start order for a claimed task and marks it as sent.
fn start_order(claim: &mut Claim, job: &Job, stamp: CommandStamp) -> Order {
    claim.start = StartState::Sent(stamp);
    Order::Start {
        task: ids::task_name(&job.id, claim.task),
        attempt: claim.attempt,
    }
}

fn stop_order(claim: &Claim, job: &Job, grace_s: f64) -> Order {
    Order::Stop {
        task: ids::task_name(&job.id, claim.task),
        attempt: claim.attempt,
        grace_s,
    }
}

fn unclaimed_stop(task: &UnclaimedTask) -> Order {
    Order::Stop {
        task: task.task.clone(),
        attempt: task.attempt,
        grace_s: 0.0,
    }
}

/// Builds the stop order for a started task unless one was sent lately. While the task saves, the order is repeated
/// only if the grace period is 0.
fn stop_order_if_due(claim: &mut Claim, job: &Job, grace_s: f64, now: u64) -> Option<Order> {
    let is_told = claim
        .stop_sent
        .is_some_and(|at| claim.stage == Some(TaskStage::Saving) || at + STOP_RETRY_MS > now);
    let is_urgent = grace_s == 0.0
        && claim
            .stop_sent
            .is_none_or(|at| at + IMMEDIATE_STOP_RETRY_MS <= now);
    if is_told && !is_urgent {
        return None;
    }
    claim.stop_sent = Some(now);
    Some(stop_order(claim, job, grace_s))
}

impl Shard {
    /// Reap orders for the exited tasks that the worker may forget: those without a claim whose success, if any,
    /// is recorded.
    fn reap_orders(&self, machine_index: usize) -> Vec<Order> {
        let Some(machine) = self.machine(machine_index) else {
            return Vec::new();
        };
        let may_reap = |exited: &&Exited| {
            let job_index = self.jobs.index_of(&exited.job);
            let job = job_index.and_then(|job_index| self.job(job_index));
            let is_claimed = job_index.is_some_and(|job_index| {
                machine
                    .claim_position(job_index, exited.task, exited.attempt)
                    .is_some()
            });
            // The worker keeps a successful result until it is recorded.
            let is_safe = exited.cause != Some(Cause::Done)
                || job.is_none_or(|job| job.is_result_recorded(exited.task));
            !is_claimed && is_safe
        };
        let reap = |exited: &Exited| Order::Reap {
            task: ids::task_name(&exited.job, exited.task),
            attempt: exited.attempt,
        };
        machine.exited.iter().filter(may_reap).map(reap).collect()
    }
}

impl Shard {
    /// Whether the exited tasks are to be reaped now rather than with the next orders.
    fn is_reaping_due(
        &mut self,
        machine_index: usize,
        reaps: usize,
        now: u64,
        delay_ms: u64,
    ) -> bool {
        let Some(machine) = self.machines.get_mut(machine_index) else {
            return false;
        };
        if reaps == 0 {
            machine.reapable_since = None;
            return false;
        }
        let since = *machine.reapable_since.get_or_insert(now);
        reaps >= REAP_BATCH || now >= since + delay_ms
    }

    /// The token and agent epoch of the next message to a worker. A higher token than before is used if copies of earlier
    /// commands have to be refused first. It is raised in replies alone: a reply on its way would be refused once a
    /// command with a higher token has overtaken it.
    fn stamp_for(&mut self, machine_index: usize, delivery: Delivery, reaps: bool) -> CommandStamp {
        let tokens = self.tokens;
        let Some(machine) = self.machines.get_mut(machine_index) else {
            return CommandStamp::default();
        };
        let stamp = machine.message_stamp(tokens);
        let has_to_rise =
            machine.fence.is_higher_token_due() || (reaps && !machine.fence.allows_reaping(stamp));
        if has_to_rise && delivery == Delivery::Reply {
            self.raise_token_of(machine_index);
        }
        self.machine(machine_index)
            .map_or(stamp, |machine| machine.message_stamp(tokens))
    }

    /// Raises the token of later messages to a worker, or asks for another range of tokens if none is left.
    pub(crate) fn raise_token_of(&mut self, machine_index: usize) {
        let tokens = self.tokens;
        let Some(machine) = self.machines.get_mut(machine_index) else {
            return;
        };
        if !machine.fence.raise_token(tokens) {
            machine.fence.request_higher_token();
            self.raise_token = true;
        }
    }

    /// Starts and stops for the claims on a machine, and the positions of claims that end without proof.
    fn claim_orders(&mut self, machine_index: usize, context: &OrderContext) -> ClaimOrders {
        let mut result = ClaimOrders::default();
        let Some(machine) = self.machines.get_mut(machine_index) else {
            return result;
        };
        let fence = machine.fence;
        for (position, claim) in machine.claims.iter_mut().enumerate() {
            let job = self.jobs.get(claim.job);
            let Some(job) = job.filter(|_| claim.state == ClaimState::Recorded) else {
                continue;
            };
            match claim.stop {
                Some(_) if claim.is_releasable(&fence) => result.released.push(position),
                // It is stopped if a copy of its start arrives, and ends once the worker refuses all copies.
                Some(_) if !claim.is_sent() => {}
                Some(grace_s) => {
                    let stop = stop_order_if_due(claim, job, grace_s, context.now);
                    result.orders.extend(stop);
                }
                None if context.may_start && is_startable(claim, job) => {
                    result.orders.push(start_order(claim, job, context.stamp));
                }
                None => {}
            }
        }
        result
    }
}

/// What the orders of one message depend on besides the claims.
struct OrderContext {
    now: u64,
    stamp: CommandStamp,
    may_start: bool,
}

#[derive(Default)]
struct ClaimOrders {
    orders: Vec<Order>,
    /// Positions of claims that end without proof from the worker.
    released: Vec<usize>,
}

/// Whether tasks may be started on a machine: not shortly before its worker's lease ends, while an unanswered command may
/// still be carried out, or if the machine is to be returned.
fn may_start_tasks(machine: &Machine, now: u64, silent_ms: u64) -> bool {
    !machine.fence.has_unanswered()
        && !machine.to_be_returned
        && !machine.is_heartbeat_overdue(now, silent_ms)
}

fn log_message(machine: &Machine, message: &WorkerMessage, delivery: Delivery) {
    let CommandStamp { token, agent_epoch } = message.stamp;
    for order in &message.orders {
        log::debug!(
            "machine {}: {order:?} by {delivery:?} under token {token}, agent epoch {agent_epoch}",
            machine.name
        );
    }
}

impl Node {
    /// The message for a worker now. A leader whose lease may have expired only stops tasks of cancelled jobs.
    pub(crate) fn message_for(
        &mut self,
        machine_index: usize,
        delivery: Delivery,
    ) -> WorkerMessage {
        let is_busy = |shard: &Shard| {
            let machine = shard.machine(machine_index);
            machine.is_none_or(|machine| machine.command_in_flight.is_some())
        };
        // With orders on two paths at once, a task missing from a heartbeat could still be started by the other path.
        if !self.may_decide() || self.shard.as_ref().is_none_or(is_busy) {
            return self.cancellation_message(machine_index);
        }
        let now = self.now.mono;
        let silent_ms = self.silent_ms();
        let heartbeat_interval_ms = (self.settings.cluster.workers.report_s * 1000.0) as u64;
        let Some(shard) = &mut self.shard else {
            return WorkerMessage::without_orders(0);
        };
        shard.machines_with_orders.remove(&machine_index);
        let reaps = shard.reap_orders(machine_index);
        let reaps_now =
            shard.is_reaping_due(machine_index, reaps.len(), now, heartbeat_interval_ms);
        let tokens = shard.tokens;
        let token_before = shard
            .machine(machine_index)
            .map(|machine| machine.fence.token(tokens));
        let stamp = shard.stamp_for(machine_index, delivery, reaps_now);
        let may_start = shard
            .machine(machine_index)
            .is_some_and(|machine| may_start_tasks(machine, now, silent_ms));
        let context = OrderContext {
            now,
            stamp,
            may_start,
        };
        let ClaimOrders {
            mut orders,
            released,
        } = shard.claim_orders(machine_index, &context);
        let has_start = orders.iter().any(|o| matches!(o, Order::Start { .. }));
        if let Some(machine) = shard.machine_mut(machine_index) {
            orders.extend(machine.unclaimed.iter().map(unclaimed_stop));
            if (reaps_now || !orders.is_empty()) && machine.fence.allows_reaping(stamp) {
                orders.extend(reaps);
            }
            if has_start {
                machine.fence.note_start(stamp);
            }
        }
        orders.truncate(MAX_ORDERS);
        let message = WorkerMessage { stamp, orders };
        if let Some(machine) = shard.machine(machine_index) {
            log_message(machine, &message, delivery);
            self.stats.token_raises += u64::from(token_before.is_some_and(|t| t < stamp.token));
            self.stats.reaps += message.reaps() as u64;
        }
        self.end_releasable_claims(machine_index, &released);
        message
    }

    /// The message of a probe, or of a leader whose lease may have expired: its only orders are stops for the tasks of
    /// cancelled jobs. A cancellation is never undone, and no worker's lease may be renewed without delivering it.
    pub(crate) fn cancellation_message(&self, machine_index: usize) -> WorkerMessage {
        let Some(shard) = &self.shard else {
            return WorkerMessage::without_orders(0);
        };
        let Some(machine) = shard.machine(machine_index) else {
            return WorkerMessage::without_orders(shard.tokens.first());
        };
        WorkerMessage {
            stamp: machine.message_stamp(shard.tokens),
            orders: shard.cancellation_stops(machine),
        }
    }
}

impl Shard {
    fn cancellation_stops(&self, machine: &Machine) -> Vec<Order> {
        if machine.command_in_flight.is_some() {
            return Vec::new();
        }
        let stop_if_cancelled = |claim: &Claim| {
            let job = self.job(claim.job);
            let job = job.filter(|job| {
                claim.start != StartState::Unsent && job.is_cancelled_or_ended_before_term()
            })?;
            Some(stop_order(claim, job, 0.0))
        };
        machine
            .claims
            .iter()
            .filter_map(stop_if_cancelled)
            .collect()
    }
}
