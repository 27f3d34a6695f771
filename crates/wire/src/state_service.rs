//! Messages of the state service's interface: transactions, range reads, changes, and leases.

use crate::records::Record;
use serde::{Deserialize, Serialize};

/// A condition of a transaction: the key must have the given version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version that the key must have; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        #[serde(rename = "v")]
        value: Box<Record>,
        /// The lease that the key is attached to. The key is removed when the lease ends.
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Remove {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Write {
    /// Sets a key that is attached to no lease.
    pub fn put(key: String, value: Record) -> Self {
        Write::Put {
            key,
            value: Box::new(value),
            lease: None,
        }
    }
}

/// A transaction: if every condition holds, all writes are made; otherwise none is.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Transaction {
    /// The conditions.
    #[serde(rename = "guards")]
    pub conditions: Vec<Condition>,
    /// The writes. Without any, the transaction only checks its conditions.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub writes: Vec<Write>,
}

/// The response to a committed transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// The revision of the state service after the transaction.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// The response to a transaction that was not committed because some of its conditions did not hold.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Conflict {
    /// The keys whose conditions did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item<T> {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(rename = "v")]
    pub value: T,
    /// The revision of the last write to the key.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One page of a range read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Range<T> {
    /// The items, in the order of their keys.
    pub items: Vec<Item<T>>,
    /// Whether more items follow.
    #[serde(default)]
    pub more: bool,
    /// The revision at which the page was read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// One change of a key: a write or a removal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Deserialize<'de>"))]
pub struct Change<T> {
    /// The key, if it was written.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The new value, if it was written.
    #[serde(
        rename = "v",
        default = "none",
        skip_serializing_if = "Option::is_none"
    )]
    pub value: Option<T>,
    /// The key, if it was removed.
    #[serde(rename = "remove", default, skip_serializing_if = "Option::is_none")]
    pub remove: Option<String>,
    /// The revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

fn none<T>() -> Option<T> {
    None
}

/// Changes since a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Deserialize<'de>"))]
pub struct Changes<T> {
    /// The revision up to which the changes are complete.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes, in the order in which they were made.
    #[serde(rename = "log", default = "Vec::new")]
    pub events: Vec<Change<T>>,
}

/// A request for a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Time after which the lease ends unless it is renewed, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// A lease that was granted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The id of the lease.
    #[serde(rename = "tenancy")]
    pub lease: u64,
}
