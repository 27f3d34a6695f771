//! Orders to workers: start, stop and reap.
//!
//! They are derived from the difference between the recorded claims and the newest heartbeat, so a lost message only
//! costs time.

use crate::Node;
use crate::agents::machine::{Claim, ClaimState, Exited};
use crate::jobs::job::Job;
use crate::store::shard::Shard;
use wire::api::{Cause, Kind, Order, TaskStage};
use wire::ids;

/// The most orders in one message to a machine.
const MAX_ORDERS: usize = 400;
/// A stop without effect is repeated after this time.
const STOP_RETRY_MS: u64 = 1500;
/// The same for a stop without a grace period, which is repeated even while its task saves.
const IMMEDIATE_STOP_RETRY_MS: u64 = 500;

/// Whether a claimed task may be started now. A gang starts only once all its tasks are claimed.
fn is_startable(claim: &Claim, job: &Job) -> bool {
    let is_whole = !job.is_gang_broken && job.claimed.len() == job.tasks as usize;
    let is_unstarted = claim.stage.is_none() && !claim.sent;
    is_unstarted && !job.is_ending() && (job.kind() != Kind::Gang || is_whole)
}

/// Builds the start order for a claimed task and marks it as sent.
fn start_order(claim: &mut Claim, job: &Job, agent_epoch: u64) -> Order {
    claim.sent = true;
    claim.agent_epoch = agent_epoch;
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

impl Node {
    /// The orders for a worker now. A leader whose lease may have expired only stops tasks of cancelled jobs.
    pub(crate) fn orders_for(&mut self, machine_index: usize) -> Vec<Order> {
        if !self.may_decide() {
            return self.cancellation_stops(machine_index);
        }
        let now = self.now.mono;
        let silent = self.silent_ms();
        let Some(shard) = &mut self.shard else {
            return Vec::new();
        };
        let Some(machine) = shard.machines.get_mut(machine_index) else {
            return Vec::new();
        };
        // With orders on two paths at once, a task missing from a heartbeat could still be started by the other path.
        if machine.command_in_flight.is_some() {
            return Vec::new();
        }
        shard.machines_with_orders.remove(&machine_index);
        let has_unanswered_command = machine.unanswered_command.is_some();
        // No task starts shortly before the worker's lease ends, or on a machine that is to be returned.
        let may_start = !has_unanswered_command
            && !machine.to_be_returned
            && !machine.is_heartbeat_overdue(now, silent);
        let agent_epoch = machine.newest_message.0;
        let mut orders = Vec::new();
        let mut unsent = Vec::new();
        for (position, claim) in machine.claims.iter_mut().enumerate() {
            let job = shard.jobs.get(claim.job);
            let Some(job) = job.filter(|_| claim.state == ClaimState::Recorded) else {
                continue;
            };
            match claim.stop {
                Some(_) if !claim.sent => unsent.push(position),
                Some(grace_s) => orders.extend(stop_order_if_due(claim, job, grace_s, now)),
                None if may_start && is_startable(claim, job) => {
                    orders.push(start_order(claim, job, agent_epoch));
                }
                None => {}
            }
        }
        if !has_unanswered_command {
            orders.extend(shard.reap_orders(machine_index));
        }
        self.end_unsent_claims(machine_index, &unsent);
        orders.truncate(MAX_ORDERS);
        orders
    }

    /// The only orders in a probe, or from a leader whose lease may have expired: stops for the tasks of cancelled
    /// jobs. A cancellation is never undone, and no worker's lease may be renewed without delivering it.
    pub(crate) fn cancellation_stops(&self, machine_index: usize) -> Vec<Order> {
        let Some(shard) = &self.shard else {
            return Vec::new();
        };
        let Some(machine) = shard
            .machine(machine_index)
            .filter(|x| x.command_in_flight.is_none())
        else {
            return Vec::new();
        };
        let stop_if_cancelled = |claim: &Claim| {
            let job = shard.job(claim.job);
            let job = job.filter(|job| claim.sent && job.is_cancelled_or_ended_before_term())?;
            Some(stop_order(claim, job, 0.0))
        };
        machine
            .claims
            .iter()
            .filter_map(stop_if_cancelled)
            .collect()
    }
}
