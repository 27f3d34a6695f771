//! Jobs: their table, admission, cancellation and queries, and the session guarantees of what users are told.

pub(crate) mod admission;
pub(crate) mod answer_history;
pub(crate) mod feasibility;
pub(crate) mod forwarding;
pub(crate) mod job;
pub(crate) mod query;
