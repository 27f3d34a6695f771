//! Machines and the claims on them.
//!
//! A claim assigns an attempt of a task to a machine. It is recorded before the start order is sent, and it ends only
//! on proof that the task is gone and can't be started again.

use crate::agents::command_fence::{CommandFence, CommandStamp};
use crate::jobs::job::JobIndex;
use crate::leadership::token_range::TokenRange;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wire::api::{Cause, TaskStage};
use wire::records::KindRecord;

/// Resources that one task takes on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct Need {
    pub cores: f64,
    pub gpus: f64,
    pub mem_gb: f64,
}

/// Whether a claim is in the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// Not recorded yet, and no order was sent.
    New,
    /// The write is in progress.
    Writing,
    Recorded,
}

/// How far the start of a claimed task has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartState {
    /// No start was sent.
    Unsent,
    /// A start with this stamp was sent.
    Sent(CommandStamp),
    /// A start with this stamp was sent, and the worker did not carry it out. It is sent again; a copy of the earlier one
    /// may still arrive.
    Missed(CommandStamp),
    /// The task may have been started by an earlier leader, or runs without a claim.
    Unknown,
}

/// An attempt of a task on a machine.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub job: JobIndex,
    pub task: u32,
    pub attempt: u64,
    pub state: ClaimState,
    /// The claim log record that contains the claim, once it is recorded.
    pub segment: u64,
    pub start: StartState,
    /// The stage that the worker last listed, if any.
    pub stage: Option<TaskStage>,
    /// When the task was first seen running.
    pub running_since: Option<u64>,
    /// Set if the task is to be stopped: the grace period in seconds.
    pub stop: Option<f64>,
    /// When the last stop order was sent.
    pub stop_sent: Option<u64>,
}

impl Claim {
    /// A new claim, which has to be recorded.
    pub fn new(job: JobIndex, task: u32, attempt: u64) -> Self {
        Claim {
            job,
            task,
            attempt,
            state: ClaimState::New,
            segment: 0,
            start: StartState::Unsent,
            stage: None,
            running_since: None,
            stop: None,
            stop_sent: None,
        }
    }

    /// A claim for a task that runs without one: its resources count as used, and it is to be stopped immediately.
    pub fn stray(job: JobIndex, task: u32, attempt: u64) -> Self {
        Claim {
            start: StartState::Unknown,
            stop: Some(0.0),
            ..Claim::new(job, task, attempt)
        }
    }

    /// Whether the claim is for this attempt.
    pub fn is_for(&self, job: JobIndex, task: u32, attempt: u64) -> bool {
        self.job == job && self.task == task && self.attempt == attempt
    }

    /// Whether the task may be on the machine: a start was sent, by this leader or an earlier one, and it is not known to
    /// have been missed.
    pub fn is_sent(&self) -> bool {
        matches!(self.start, StartState::Sent(_) | StartState::Unknown)
    }

    /// Whether the claim may end without proof from the worker: no start was sent, or the worker refuses all of them.
    pub fn is_releasable(&self, fence: &CommandFence) -> bool {
        self.state == ClaimState::Recorded
            && match self.start {
                StartState::Unsent => true,
                StartState::Missed(stamp) => fence.refuses(stamp),
                StartState::Sent(_) | StartState::Unknown => false,
            }
    }

    /// Notes that the worker lists the task.
    pub fn note_listed(&mut self) {
        self.start = match self.start {
            StartState::Missed(stamp) => StartState::Sent(stamp),
            StartState::Unsent => StartState::Unknown,
            sent => sent,
        };
    }

    /// How long the task has been seen running, in seconds, if it has.
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

/// A task without a claim whose job is not known, since it ended and was forgotten.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UnclaimedTask {
    pub task: String,
    pub attempt: u64,
}

/// A direct command that awaits a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CommandInFlight {
    pub serial: u64,
    pub stamp: CommandStamp,
}

/// A machine of the fleet and the last known state of its worker.
pub(crate) struct Machine {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Wall-clock time of its rental.
    pub rented_ms: u64,
    /// The inventory shard that lists the machine, and the bytes that its entry adds to the shard's record.
    pub inventory_shard: u64,
    pub size: usize,
    /// The inventory record lists the machine.
    pub recorded: bool,
    pub addr: Option<SocketAddr>,
    /// The peer that relays the worker's heartbeats; `None` if they come directly.
    pub via: Option<usize>,
    /// Agent epoch and number of a heartbeat whose reply contained a start that the worker may not have received yet.
    pub unacknowledged_start: Option<(u64, u64)>,
    /// Its worker has been heard by this leader.
    pub up: bool,
    /// Set while the only evidence for the machine is a heartbeat with this token, which may be a delayed copy of an
    /// old one. The machine gets no tasks until its worker has responded to this leader.
    pub unconfirmed_token: Option<u64>,
    /// When its worker was last heard, by a heartbeat or a response to a command.
    pub heard_at: u64,
    /// When the last heartbeat arrived, directly or through a peer. Responses to commands don't count: they renew no
    /// lease.
    pub heartbeat_at: u64,
    /// Agent epoch and sequence number of the newest message.
    pub newest_message: (u64, u64),
    /// When the cloud reclaims the machine, if it has given notice.
    pub reclaim_at: Option<u64>,
    pub claims: Vec<Claim>,
    /// Exited tasks that its worker listed in the newest message.
    pub exited: Vec<Exited>,
    /// Tasks of unknown jobs that its worker listed in the newest message and that have not exited: no claim is made for
    /// them, and they are stopped.
    pub unclaimed: Vec<UnclaimedTask>,
    /// Since when some of the exited tasks could be reaped.
    pub reapable_since: Option<u64>,
    pub command_in_flight: Option<CommandInFlight>,
    /// Which earlier commands the worker may still carry out.
    pub fence: CommandFence,
    /// Serial of the probe that awaits a response.
    pub probe_in_flight: Option<u64>,
    pub probed_at: u64,
    /// The machine is to be returned to the cloud.
    pub to_be_returned: bool,
    /// The cloud lists it as failed.
    pub failed: bool,
    pub idle_since: u64,
    /// Images in its cache with their sizes in GB, most recently used last.
    pub images: Vec<(u32, f64)>,
    /// Tasks that failed here since the last one succeeded, in total and by job.
    pub errors: u32,
    pub error_jobs: BTreeMap<JobIndex, u32>,
    /// Tasks fail here, so the machine gets no more and is returned once its claims have ended.
    pub cordoned: bool,
    /// After a failed or refused task, the machine gets no tasks until this time.
    pub unschedulable_until: u64,
}

impl Machine {
    /// A machine from an inventory record.
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
            newest_message: (0, 0),
            reclaim_at: None,
            claims: Vec::new(),
            exited: Vec::new(),
            unclaimed: Vec::new(),
            reapable_since: None,
            command_in_flight: None,
            fence: CommandFence::default(),
            probe_in_flight: None,
            probed_at: 0,
            to_be_returned: false,
            failed: false,
            idle_since: 0,
            images: Vec::new(),
            errors: 0,
            error_jobs: BTreeMap::new(),
            cordoned: false,
            unschedulable_until: 0,
        }
    }

    /// A machine that has to be recorded: it was just rented, listed by the cloud or heard for the first time.
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

    /// Whether it may be given new tasks.
    pub fn usable(&self, now: u64) -> bool {
        self.up
            && self.unconfirmed_token.is_none()
            && self.recorded
            && !self.to_be_returned
            && !self.failed
            && !self.cordoned
            && self.reclaim_at.is_none()
            && self.unschedulable_until <= now
            && !self.fence.has_unanswered()
    }

    /// Whether it may be sent a direct command: no other awaits a response or went unanswered.
    pub fn takes_commands(&self) -> bool {
        self.up
            && self.addr.is_some()
            && self.command_in_flight.is_none()
            && !self.fence.has_unanswered()
            && !self.to_be_returned
    }

    /// Whether its worker has been heard by this leader, or by an earlier one that placed tasks on it.
    pub fn is_known_up(&self) -> bool {
        self.up || !self.claims.is_empty()
    }

    /// Whether the last heartbeat is so old that the worker's lease may be ending, even if it responds to commands.
    pub fn is_heartbeat_overdue(&self, now: u64, silent_ms: u64) -> bool {
        now.saturating_sub(self.heartbeat_at) > silent_ms
    }

    /// The position of an attempt's claim in `claims`.
    pub fn claim_position(&self, job: JobIndex, task: u32, attempt: u64) -> Option<usize> {
        self.claims
            .iter()
            .position(|claim| claim.is_for(job, task, attempt))
    }

    /// Positions of the claims that may end without proof from the worker.
    pub fn releasable_claims(&self) -> impl Iterator<Item = usize> + '_ {
        self.claims
            .iter()
            .enumerate()
            .filter(|(_, claim)| claim.is_releasable(&self.fence))
            .map(|(position, _)| position)
    }

    /// Whether a claim becomes releasable once the worker has seen a higher token.
    pub fn has_missed_starts(&self) -> bool {
        let is_missed = |claim: &Claim| matches!(claim.start, StartState::Missed(_));
        self.claims.iter().any(is_missed)
    }

    /// The token and agent epoch of the next message to the worker.
    pub fn message_stamp(&self, tokens: TokenRange) -> CommandStamp {
        CommandStamp {
            token: self.fence.token(tokens),
            agent_epoch: self.newest_message.0,
        }
    }

    /// Marks all tasks of a job as to be stopped. Returns true if the worker has to be told.
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

    /// Notes that an image was fetched for a task. The cache keeps the most recently used images.
    pub fn note_cached_image(&mut self, image: u32, gb: f64, cache_gb: f64) {
        self.images.retain(|(i, _)| *i != image);
        self.images.push((image, gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, g)| g).sum::<f64>() > cache_gb {
            self.images.remove(0);
        }
    }
}
