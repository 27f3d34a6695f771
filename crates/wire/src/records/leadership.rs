//! Who leads a shard, the counter of tokens, and what every controller follows.

use super::serde_defaults::is_zero;
use crate::cloud::MachineType;
use serde::{Deserialize, Serialize};

/// Who leads a shard. Attached to the leader's lease, so that it goes when the leader does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the leader's node.
    pub node: String,
    /// The leader's fencing token.
    pub token: u64,
    /// The leader's lease. It tells the own take-over, whose answer was lost, from that of another node.
    pub lease: u64,
    /// Which incarnation of the node wrote it; 0 in records of versions that did not write it.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// The one counter that all tokens come from; it only rises.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenRecord {
    /// The last token that was given out.
    pub token: u64,
}

/// Any record under [`super::SHARED`], read without knowing beforehand which. Fields that it does not have are none.
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
    /// The head of a document; the key tells which.
    #[serde(default, alias = "quota")]
    pub document: Option<document::Head>,
    /// The machine types, in the catalogue.
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<MachineType>>,
}
