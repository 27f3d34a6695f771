//! Messages of the cloud's interface: the catalogue of machine types, rentals, and lists of machines.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "label")]
    pub name: String,
    pub cores: f64,
    pub gpus: f64,
    #[serde(rename = "ramGb")]
    pub mem_gb: f64,
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly", default)]
    pub price: f64,
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    #[serde(rename = "halls", default)]
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HireRequest {
    #[serde(rename = "hire")]
    pub request: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "burrows")]
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "nameId")]
    pub name: String,
    #[serde(default)]
    pub addr: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "stage")]
    pub stage: String,
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "burrows")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub more: bool,
}
