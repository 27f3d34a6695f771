//! The counters that a controller writes to the log.

/// Counters since the start of the controller.
#[derive(Debug, Default, Clone)]
pub struct Stats {
    /// Jobs that this controller accepted.
    pub accepted: u64,
    /// Requests that were refused with a time after which to retry.
    pub shed: u64,
    /// Users' requests that were forwarded to a peer.
    pub forwarded: u64,
    /// Queries of jobs that no controller could answer.
    pub unanswered: u64,
    /// Answers that could not be decoded or were implausible.
    pub bad_answers: u64,
    /// Plans that were made, and the number of their steps.
    pub plans: u64,
    pub plan_steps: u64,
    /// Tasks that plans started and preempted.
    pub starts: u64,
    pub preempts: u64,
    /// Heartbeats that were relayed by a peer.
    pub relayed: u64,
    /// Writes that the state service refused with status 400.
    pub refused_writes: u64,
    /// Exited tasks that workers were told to forget.
    pub reaps: u64,
    /// Messages to workers that carried a higher token than those before, so that earlier commands are refused.
    pub token_raises: u64,
    /// Heartbeats that listed a task without a claim, once for each such task.
    pub unclaimed_tasks: u64,
}
