//! The roles that a controller can have in an election.

/// What a controller is to the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Follower {
        /// When it may campaign; 0 while a vacancy is not known yet.
        may_campaign_at: u64,
    },
    /// Asking for a lease, or writing our name on it.
    Candidate(Campaign),
    Leader(HeldLease),
}

/// One attempt to become the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Campaign {
    /// When the lease was asked for: its time is counted from then.
    pub sent: u64,
    pub give_up_at: u64,
    pub stage: CampaignStage,
}

/// What a candidate waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CampaignStage {
    AwaitingLease,
    AwaitingRecord {
        lease: u64,
        /// The lease of the former incarnation whose record is to be replaced.
        former: Option<u64>,
    },
}

/// The lease that the leader holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeldLease {
    pub id: u64,
    /// When the last renewal that succeeded was sent.
    pub renewed_at: u64,
    pub next_renewal: u64,
    /// A renewal is out.
    pub renewal_in_flight: bool,
}

impl Role {
    /// A follower that campaigns once it has found the shard vacant.
    pub const FOLLOWER: Role = Role::Follower { may_campaign_at: 0 };
}
