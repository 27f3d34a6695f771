//! Machines and the claims on them.
//!
//! A claim is (task, attempt, machine). It is recorded before its start is sent, and it ends only on proof
//! that the task is gone and can't come back.

use crate::jobs::job::JobIndex;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wire::api::{Cause, TaskStage};
use wire::records::KindRecord;

/// What one task takes of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct Need {
    pub cores: f64,
    pub gpus: f64,
    pub mem_gb: f64,
}

/// How far the record of a claim has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// Not recorded yet; nothing was sent.
    New,
    /// The record is on its way.
    Writing,
    Recorded,
}

/// An attempt of a task on a machine.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub job: JobIndex,
    pub task: u32,
    pub attempt: u64,
    pub state: ClaimState,
    /// The log record that it stands in, once it is recorded.
    pub segment: u64,
    /// Read back after a failover: it may have ended long ago.
    pub loaded: bool,
    /// A start may have been sent, by us or by an earlier leader.
    pub sent: bool,
    /// The worker's agent epoch that our last start was for; in a later one it is never executed.
    pub agent_epoch: u64,
    /// As last listed, if it ever was.
    pub stage: Option<TaskStage>,
    /// When it was first seen running.
    pub running_since: Option<u64>,
    /// It is to be stopped, with this grace.
    pub stop: Option<f64>,
    /// When its worker was last told so.
    pub stop_sent: Option<u64>,
}

impl Claim {
    /// A claim that has to be recorded.
    pub fn new(job: JobIndex, task: u32, attempt: u64) -> Self {
        Claim {
            job,
            task,
            attempt,
            state: ClaimState::New,
            segment: 0,
            loaded: false,
            sent: false,
            agent_epoch: 0,
            stage: None,
            running_since: None,
            stop: None,
            stop_sent: None,
        }
    }

    /// A claim for a task that is there without one: it counts, and is to be stopped at once.
    pub fn stray(job: JobIndex, task: u32, attempt: u64) -> Self {
        Claim {
            sent: true,
            stop: Some(0.0),
            ..Claim::new(job, task, attempt)
        }
    }

    /// Whether it is the claim of this attempt.
    pub fn is_for(&self, job: JobIndex, task: u32, attempt: u64) -> bool {
        self.job == job && self.task == task && self.attempt == attempt
    }

    /// Seconds for which its task has been seen running, if it has.
    pub fn ran_s(&self, now: u64) -> Option<f64> {
        self.running_since
            .map(|since| now.saturating_sub(since) as f64 / 1000.0)
    }
}

/// An exited task that the worker still lists.
#[derive(Debug, Clone)]
pub(crate) struct Exited {
    pub job: String,
    pub task: u32,
    pub attempt: u64,
    pub cause: Option<Cause>,
}

/// A machine of the fleet, and what its worker last said.
pub(crate) struct Machine {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// The time of day of its rental.
    pub rented_ms: u64,
    /// The inventory shard that it stands in, and what it adds to its record's length.
    pub inventory_shard: u64,
    pub size: usize,
    /// It stands in that record.
    pub recorded: bool,
    pub addr: Option<SocketAddr>,
    /// The peer by way of which its worker heartbeats, if not by itself.
    pub via: Option<usize>,
    /// A heartbeat whose answer carried a start, which may still be on its way to the worker.
    pub unacknowledged_start: Option<(u64, u64)>,
    /// Its worker has heartbeated to us.
    pub up: bool,
    /// All that speaks for it is a heartbeat, made under this token, which may be a copy of one that is long past: it gets
    /// no tasks until its worker has answered us.
    pub unconfirmed_token: Option<u64>,
    /// When its worker was last heard, by a heartbeat or by the answer to a command.
    pub heard_at: u64,
    /// When its worker last heartbeated, by itself or by way of a peer. Answers to commands renew no lease.
    pub heartbeat_at: u64,
    /// Agent epoch and number of the newest message.
    pub seen: (u64, u64),
    /// When the cloud takes it away, if it has said so.
    pub reclaim_at: Option<u64>,
    pub claims: Vec<Claim>,
    /// Exited tasks that its worker listed in the newest message.
    pub exited: Vec<Exited>,
    /// Serial of the direct command that is out.
    pub command_in_flight: Option<u64>,
    /// A direct command was not answered: it may still be executed, until the worker has seen a token
    /// above this one or has begun a later agent epoch.
    pub unanswered_command: Option<(u64, u64)>,
    /// Serial of the probe that is out.
    pub probe_in_flight: Option<u64>,
    pub probed_at: u64,
    /// It is to be returned to the cloud.
    pub deleting: bool,
    /// The cloud lists it as failed.
    pub failed: bool,
    pub idle_since: u64,
    /// Images that its tasks have fetched, newest last.
    pub images: Vec<(u32, f64)>,
    /// Tasks that failed here since one was done, and how many of which job.
    pub errors: u32,
    pub error_jobs: BTreeMap<JobIndex, u32>,
    /// Cordoned: it fails its tasks, gets no more, and is returned once it is empty.
    pub cordoned: bool,
    /// It gets no tasks until then, after an error or a refusal.
    pub unschedulable_until: u64,
}

impl Machine {
    /// One that stands in a record.
    pub fn new(name: &str, machine_type: &str, zone: &str, spot: bool, rented_ms: u64) -> Self {
        Machine {
            name: name.to_owned(),
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            rented_ms,
            inventory_shard: 0,
            size: KindRecord::entry(name, machine_type, zone),
            recorded: false,
            addr: None,
            via: None,
            unacknowledged_start: None,
            up: false,
            unconfirmed_token: None,
            heard_at: 0,
            heartbeat_at: 0,
            seen: (0, 0),
            reclaim_at: None,
            claims: Vec::new(),
            exited: Vec::new(),
            command_in_flight: None,
            unanswered_command: None,
            probe_in_flight: None,
            probed_at: 0,
            deleting: false,
            failed: false,
            idle_since: 0,
            images: Vec::new(),
            errors: 0,
            error_jobs: BTreeMap::new(),
            cordoned: false,
            unschedulable_until: 0,
        }
    }

    /// One that has to be recorded: rented, listed or heard of just now.
    pub fn unrecorded(
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        rented_ms: u64,
        now: u64,
    ) -> Self {
        let mut machine = Machine::new(name, machine_type, zone, spot, rented_ms);
        machine.heard_at = now;
        machine.idle_since = now;
        machine
    }

    /// May be given new tasks.
    pub fn usable(&self, now: u64) -> bool {
        self.up
            && self.unconfirmed_token.is_none()
            && self.recorded
            && !self.deleting
            && !self.failed
            && !self.cordoned
            && self.reclaim_at.is_none()
            && self.unschedulable_until <= now
            && self.unanswered_command.is_none()
    }

    /// May be sent a direct command: no other is out or in doubt.
    pub fn takes_commands(&self) -> bool {
        self.up
            && self.addr.is_some()
            && self.command_in_flight.is_none()
            && self.unanswered_command.is_none()
            && !self.deleting
    }

    /// It has heartbeated to us, or to an earlier leader who gave it tasks.
    pub fn is_known_up(&self) -> bool {
        self.up || !self.claims.is_empty()
    }

    /// Its worker may have told nobody for so long that its lease is ending, though it answers commands.
    pub fn is_heartbeat_overdue(&self, now: u64, silent_ms: u64) -> bool {
        now.saturating_sub(self.heartbeat_at) > silent_ms
    }

    /// Where the claim of an attempt is in its list.
    pub fn claim_position(&self, job: JobIndex, task: u32, attempt: u64) -> Option<usize> {
        self.claims
            .iter()
            .position(|claim| claim.is_for(job, task, attempt))
    }

    /// Claims whose start was never sent, nor will be by an earlier leader.
    pub fn unsent(&self) -> impl Iterator<Item = usize> + '_ {
        let unsent = |c: &Claim| c.state == ClaimState::Recorded && !c.sent;
        self.claims
            .iter()
            .enumerate()
            .filter(move |(_, c)| unsent(c))
            .map(|(k, _)| k)
    }

    /// Marks all tasks of a job as to be stopped; true if the worker is to be told.
    pub fn stop_job(&mut self, job: JobIndex, grace_s: f64) -> bool {
        let mut changed = false;
        for claim in self.claims.iter_mut().filter(|c| c.job == job) {
            if claim.stop.is_none_or(|g| grace_s < g) {
                claim.stop = Some(grace_s);
                claim.stop_sent = None;
                changed = true;
            }
        }
        changed
    }

    /// An image was fetched for a task here; the cache keeps the most recently used.
    pub fn note_cached_image(&mut self, image: u32, gb: f64, cache_gb: f64) {
        self.images.retain(|(i, _)| *i != image);
        self.images.push((image, gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, g)| g).sum::<f64>() > cache_gb {
            self.images.remove(0);
        }
    }
}
