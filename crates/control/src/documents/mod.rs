//! Versioned configuration documents: which version of each kind is in force, how every controller follows it, and how
//! it is changed under optimistic concurrency.
//!
//! A controller always acts on one complete version. It reads the parts of a new version, validates it against its
//! context (the settings and the quota tree), and only then activates it. A version that fails validation is rejected,
//! and the last valid one stays in force. A new leader reads all kinds before it starts any task.
//!
//! The leader makes a change by a sequence of transactions: first the parts that the state service does not have yet,
//! then the head together with whatever else its kind writes. A change is therefore made completely or not at all, even
//! if the leader crashes in between. Parts that a crashed leader has written do no harm and are removed by its
//! successor.

mod change;
mod change_writes;
pub(crate) mod counties;
pub(crate) mod county_audit;
pub(crate) mod county_counts;
pub(crate) mod hours;
mod in_force;
mod kind;
pub(crate) mod operator_api;
pub(crate) mod quotas;
mod reading;

pub(crate) use in_force::{ActiveVersion, Document, Documents};
pub(crate) use kind::{ALL, Kind, KindId, for_kind};
pub(crate) use operator_api::refusal;
