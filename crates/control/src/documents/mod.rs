//! Versioned configuration: which version of each kind of document is in force, as every controller follows it, and
//! how it is changed under optimistic concurrency.
//!
//! A controller acts on one whole version. It reads the parts of a new one, checks that it holds together with what
//! it must fit, and only then takes it; one that does not check out is refused, and the last valid one stays. A new
//! leader reads all kinds before its first start.
//!
//! A change is made by the leader's own transactions, one after the other: parts that the state service has not yet,
//! then the head, with whatever its kind writes beside it. So a change is in place as a whole or not at all, whoever
//! dies in its midst; what a leader that died had written of parts is in the way of nothing, and is tidied away by
//! the next.

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
pub(crate) use operator_api::refused;
