//! Machines that may exist, and pending rental requests.

use serde::{Deserialize, Serialize};

/// Machines that may exist. A machine is removed from its inventory shard only after the cloud has confirmed that it is
/// gone. Entries of log records about a machine that is in no inventory shard are ignored.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct InventoryRecord {
    /// The machines, by type and zone.
    pub kinds: Vec<KindRecord>,
}

/// Machines of one type and zone, with the time of their rental.
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

/// A rental request whose response has not been recorded yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentalRecord {
    /// The machine type, by its name in the catalogue.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether spot machines were requested.
    pub spot: bool,
    /// The number of machines requested.
    pub count: u32,
    /// Unix time of the request, in milliseconds.
    pub at_ms: u64,
}
