//! What a controller counts for the operators' log.

/// Counted for the operators' log.
#[derive(Debug, Default, Clone)]
pub struct Stats {
    pub accepted: u64,
    pub shed: u64,
    /// Users' requests that were forwarded to a peer.
    pub forwarded: u64,
    /// Questions about jobs that nobody could answer.
    pub unanswered: u64,
    pub bad_answers: u64,
    pub plans: u64,
    pub plan_steps: u64,
    pub starts: u64,
    pub preempts: u64,
    /// Reports that came by way of a peer.
    pub relayed: u64,
}
