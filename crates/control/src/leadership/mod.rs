//! Leadership: election of the leader by a lease in the state service, the time limits on its actions, and what the
//! controllers know of each other.

pub(crate) mod election;
pub(crate) mod incarnation;
pub(crate) mod lease;
pub mod lease_bound;
pub(crate) mod lease_delegate;
pub(crate) mod peer_status;
pub(crate) mod role;
pub(crate) mod shared_state;
pub(crate) mod token_range;
