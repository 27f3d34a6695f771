//! The roles of a controller in an election.

/// A controller's role in the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Follower {
        /// When it may campaign; 0 while no vacancy has been found.
        may_campaign_at: u64,
    },
    /// Requesting a lease, or writing its leader record under that lease.
    Candidate(Campaign),
    Leader(HeldLease),
}

/// One attempt to become the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Campaign {
    /// When the lease was requested. Its lifetime is counted from then.
    pub sent: u64,
    pub give_up_at: u64,
    pub stage: CampaignStage,
}

/// The answer that a candidate is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CampaignStage {
    AwaitingLease,
    AwaitingRecord {
        lease: u64,
        /// The lease of the earlier incarnation whose leader record is to be replaced.
        former: Option<u64>,
    },
}

/// The lease that the leader holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeldLease {
    pub id: u64,
    /// When the last successful renewal was sent.
    pub renewed_at: u64,
    pub next_renewal: u64,
    pub renewal_in_flight: bool,
}

impl Role {
    /// A follower that campaigns once it finds the shard without a leader.
    pub const FOLLOWER: Role = Role::Follower { may_campaign_at: 0 };
}
