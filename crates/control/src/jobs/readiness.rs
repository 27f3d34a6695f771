//! Readiness probes of load balancers, and the role of this node for its log.

use crate::Node;
use crate::leadership::role::Role;
use wire::api::ErrorBody;

impl Node {
    /// Answers a readiness probe. A running node always reports ready, even before it has loaded anything or while the
    /// state service does not serve it: it can still forward requests to peers, and refuses the others at once. Removal
    /// by the load balancer would cut its users off for up to a minute, and could not tell a failure of one node from a
    /// failure of all.
    pub(super) fn answer_readiness_probe(&mut self, conn: u64) {
        self.respond(
            conn,
            200,
            wire::encode(&ErrorBody {
                error: String::new(),
            }),
            None,
        )
    }

    /// Role of this node, for the log.
    pub fn role_name(&self) -> &'static str {
        match self.role {
            Role::Leader { .. } if self.has_valid_lease() => "leader",
            Role::Leader { .. } => "leader, unsure",
            Role::Candidate { .. } => "candidate",
            Role::Follower { .. } => "follower",
        }
    }
}
