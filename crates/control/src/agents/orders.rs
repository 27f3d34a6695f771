//! Orders: what a machine is to be told.
//!
//! They are derived from the difference between the recorded claims and the newest heartbeat, so that a lost message
//! only costs time.

use crate::Node;
use crate::agents::machine::{Claim, ClaimState};
use wire::api::{Cause, Kind, Order, TaskStage};
use wire::ids;

impl Node {
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
        let Some(machine) = shard.machines.get_mut(m).and_then(Option::as_mut) else {
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
            let Some(job) = shard.jobs.get(c.job).and_then(Option::as_ref) else {
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
                let ix = shard.job_index.get(&e.job).copied();
                let job = ix
                    .and_then(|ix| shard.jobs.get(ix))
                    .and_then(Option::as_ref);
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

    /// All that a leader says that is unsure, or that asks: jobs that their users have cancelled here are to stop. Their ends are
    /// never taken back, and no worker is told to live on without it.
    pub(crate) fn last_orders(&self, m: usize) -> Vec<Order> {
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
}
