//! The leader's persistent state: compare-and-swap transactions against the state service, the write-ahead log of
//! claims, and recovery of both after a failover.

pub(crate) mod allotment;
pub(crate) mod apply;
pub(crate) mod claim_log;
pub(crate) mod claim_records;
pub(crate) mod cloud_calls;
pub(crate) mod commit;
pub(crate) mod inventory_split;
pub(crate) mod live_jobs;
pub(crate) mod plan_triggers;
pub(crate) mod rate_budget;
pub(crate) mod record_sizes;
pub(crate) mod recovery;
pub(crate) mod rental;
pub(crate) mod returned_machines;
pub(crate) mod shard;
pub(crate) mod table;
pub(crate) mod transaction;
pub(crate) mod transaction_split;
pub mod write_limits;
pub(crate) mod write_rate;
pub(crate) mod zone_reachability;
