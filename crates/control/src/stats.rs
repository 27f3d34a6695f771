//! What a controller counts for the operators' log.

/// Counts since the controller began.
#[derive(Debug, Default, Clone)]
pub struct Stats {
    /// Jobs that were accepted here.
    pub accepted: u64,
    /// Requests that were refused for now, with a time at which to come again.
    pub shed: u64,
    /// Users' requests that were forwarded to a peer.
    pub forwarded: u64,
    /// Questions about jobs that nobody could answer.
    pub unanswered: u64,
    /// Answers of others that could not be read, or could not be true.
    pub bad_answers: u64,
    /// Plans that were made, and their steps.
    pub plans: u64,
    pub plan_steps: u64,
    /// Tasks that plans have started and preempted.
    pub starts: u64,
    pub preempts: u64,
    /// Heartbeats that came by way of a peer.
    pub relayed: u64,
    /// Writes that the state service refused as it can't take them.
    pub refused_writes: u64,
}
