//! Machines that may exist, and rentals that are not answered yet.

use serde::{Deserialize, Serialize};

/// Machines that may exist: one leaves its inventory shard only when the cloud has said that it is gone. What a log record
/// says of a machine that stands in no inventory shard is void.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct InventoryRecord {
    pub kinds: Vec<KindRecord>,
}

/// Machines of one type and zone, with the time of day of their rental.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KindRecord {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub machines: Vec<(String, u64)>,
}

/// A rental request whose answer has not been recorded yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentalRecord {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    pub at_ms: u64,
}
