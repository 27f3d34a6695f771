//! Jobs: the job itself, admission, cancellation and queries, and the session guarantees of the answers to users.

pub(crate) mod admission;
pub(crate) mod answer_history;
pub(crate) mod answers;
pub(crate) mod api;
pub(crate) mod cancellation;
pub(crate) mod class;
pub(crate) mod feasibility;
pub(crate) mod forwarding;
pub(crate) mod job;
pub(crate) mod peer_requests;
pub(crate) mod query;
pub(crate) mod readiness;
