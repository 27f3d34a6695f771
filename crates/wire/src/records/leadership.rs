//! The leader of a shard, the counter of fencing tokens, and the records that every controller watches.

use super::serde_defaults::is_zero;
use crate::cloud::MachineType;
use serde::{Deserialize, Serialize};

/// The leader of a shard. The record is attached to the leader's lease, so that it is removed when the lease ends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the leader's node.
    pub node: String,
    /// The leader's fencing token.
    pub token: u64,
    /// The leader's lease. By it, a node that got no response to its takeover recognizes its own record.
    pub lease: u64,
    /// The incarnation of the node that wrote the record; 0 in records of versions without this field.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// The counter from which all fencing tokens are issued. It only increases.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenRecord {
    /// The token issued last.
    pub token: u64,
}

/// Any record under [`super::SHARED`], decoded without knowing its kind. Fields that the kind does not have are `None`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SharedRecord {
    /// The leader's node, in a [`LeaderRecord`].
    #[serde(default)]
    pub node: Option<String>,
    /// The token, in a [`LeaderRecord`] or a [`TokenRecord`].
    #[serde(default)]
    pub token: Option<u64>,
    /// The leader's lease, in a [`LeaderRecord`].
    #[serde(default)]
    pub lease: Option<u64>,
    /// The incarnation of the leader's node, in a [`LeaderRecord`]; 0 elsewhere.
    #[serde(default)]
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The head of a document; the key determines which one.
    #[serde(default, alias = "quota")]
    pub document: Option<document::Head>,
    /// The machine types, in the catalogue.
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<MachineType>>,
}
