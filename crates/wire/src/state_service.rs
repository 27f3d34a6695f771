//! Messages of the state service's interface: transactions, ranges, changes, and leases.

use crate::records::Record;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "v")]
        value: Box<Record>,
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Remove {
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Write {
    pub fn put(key: String, value: Record) -> Self {
        Write::Put {
            key,
            value: Box::new(value),
            lease: None,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Txn {
    pub guards: Vec<Guard>,
    /// Without any, the versions are only compared.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub writes: Vec<Write>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// Why a transaction was not made: the keys whose versions were others than its guards say.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Conflict {
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item<T> {
    pub key: String,
    #[serde(rename = "v")]
    pub value: T,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Range<T> {
    pub items: Vec<Item<T>>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "ledger")]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Deserialize<'de>"))]
pub struct Change<T> {
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(
        rename = "v",
        default = "none",
        skip_serializing_if = "Option::is_none"
    )]
    pub value: Option<T>,
    #[serde(rename = "remove", default, skip_serializing_if = "Option::is_none")]
    pub remove: Option<String>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

fn none<T>() -> Option<T> {
    None
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Deserialize<'de>"))]
pub struct Changes<T> {
    #[serde(rename = "ledger")]
    pub revision: u64,
    #[serde(rename = "log", default = "Vec::new")]
    pub events: Vec<Change<T>>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    #[serde(rename = "tenancy")]
    pub lease: u64,
}
