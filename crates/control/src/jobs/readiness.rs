//! Readiness, for the probes of whatever balances users' requests, and the role of this node, for its log.

use crate::Node;
use crate::leadership::role::Role;
use wire::api::ErrorBody;

impl Node {
    /// A node that lives is healthy. It may know nothing yet, or not be served: it still tells what others know or can
    /// take, and refuses the rest at once, where a removal sends its users away for up to a minute and can't tell one
    /// node's trouble from all nodes'.
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

    /// For the log: what this node is.
    pub fn role_name(&self) -> &'static str {
        match self.role {
            Role::Leader { .. } if self.has_valid_lease() => "leader",
            Role::Leader { .. } => "leader, unsure",
            Role::Candidate { .. } => "candidate",
            Role::Follower { .. } => "follower",
        }
    }
}
