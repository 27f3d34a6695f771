//! Machines that may exist, and rentals that are not answered yet.

use serde::{Deserialize, Serialize};

/// Machines that may exist: one leaves its inventory shard only when the cloud has said that it is gone. What a log record
/// says of a machine that is in no inventory shard is ignored.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct InventoryRecord {
    /// The machines, by type and zone.
    pub kinds: Vec<KindRecord>,
}

/// Machines of one type and zone, with the time of day of their rental.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KindRecord {
    /// The machine type, by its name in the catalogue.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether they are spot machines.
    pub spot: bool,
    /// The machines' names, each with the Unix time of its rental in milliseconds.
    pub machines: Vec<(String, u64)>,
}

/// A rental request whose answer has not been recorded yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentalRecord {
    /// The machine type, by its name in the catalogue.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether spot machines were asked for.
    pub spot: bool,
    /// How many machines were asked for.
    pub count: u32,
    /// Unix time of the request, in milliseconds.
    pub at_ms: u64,
}
