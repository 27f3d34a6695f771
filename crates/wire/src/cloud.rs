//! Messages of the cloud's interface: the catalogue of machine types, rental requests, and lists of machines.

use serde::{Deserialize, Serialize};

/// A machine type of the catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// CPU cores.
    pub cores: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "ramGb")]
    pub mem_gb: f64,
    /// Space for cached images on the machine, in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// On-demand price per hour.
    #[serde(rename = "hourly", default)]
    pub price: f64,
    /// Spot price per hour.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    /// Time from the rental to the first heartbeat, in seconds.
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    /// The zones in which the type can be rented.
    #[serde(rename = "halls", default)]
    pub zones: Vec<String>,
}

/// The catalogue of machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The machine types.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines of one type in one zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HireRequest {
    /// The id of the request. A repeat with the same id rents no further machines.
    #[serde(rename = "hire")]
    pub request: String,
    /// The machine type, by its name in the catalogue.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether to rent spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines that were rented, or that are to be returned.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "burrows")]
    pub machines: Vec<String>,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "nameId")]
    pub name: String,
    /// The agent's address and port; empty until it is known.
    #[serde(default)]
    pub addr: String,
    /// Its type, by its name in the catalogue.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The lifecycle stage of the machine, by the cloud's name.
    #[serde(rename = "stage")]
    pub stage: String,
    /// Time since its rental, in seconds.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

/// One page of the cloud's list of machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines of this page.
    #[serde(rename = "burrows")]
    pub machines: Vec<ListedMachine>,
    /// Whether more pages follow.
    #[serde(default)]
    pub more: bool,
}
