//! Requests of operators about documents, and the responses, as JSON over the address for other controllers. Any
//! controller accepts the requests; the leader answers them.

use crate::DecodeError;
use document::{Fault, Past};
use quota::{Amounts, Spec};
use serde::{Deserialize, Serialize};

const PREFIX: &str = "/admin/";
/// The path of requests about the quota tree.
pub const PATH: &str = "/admin/quota";
/// Maximum length of a request, in bytes. A quota tree of 20,000 teams takes less. Responses are longer, since they add
/// the use of each team.
pub const BODY_LIMIT: usize = 2 << 20;
/// Maximum length of a response, in bytes.
pub const ANSWER_LIMIT: usize = 16 << 20;

/// The path of requests about a kind of document.
pub fn path(kind: &str) -> String {
    format!("{PREFIX}{kind}")
}

/// Requests that every kind of document has. Requests that only one kind has are messages of their own, such as
/// [`Question`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AskOf<E> {
    /// Asks for the version in force and the latest changes.
    Show,
    /// Changes the document.
    Change(ChangeOf<E>),
}

/// One change of a document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeOf<E> {
    /// The id of the change, chosen by the client before the first attempt. A repeat with the same id is the same
    /// change.
    pub id: String,
    /// Who makes the change, as recorded in the history.
    pub by: String,
    /// The version that the change is based on. If another version is in force, the change is a conflict.
    #[serde(default)]
    pub expect: Option<u64>,
    /// Whether to only report what would change and which work would be stopped.
    #[serde(default)]
    pub dry_run: bool,
    /// The change itself.
    pub edit: E,
}

/// The only change that most kinds of documents have.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Whole<C> {
    /// Replaces the whole document; an empty one removes it.
    Set {
        /// The new document.
        spec: C,
    },
}

/// For kinds of documents that have no requests of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Nothing {}

/// Requests about the quota tree. The response to a show request is a [`Tree`], with use and demand.
pub type Ask = AskOf<Edit>;
/// A change of the quota tree.
pub type Change = ChangeOf<Edit>;

/// Requests that only the quota tree has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Question {
    /// Asks why a team's work is waiting.
    Why {
        /// The team's name.
        team: String,
    },
}

/// Changes of the quota tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Replaces the whole tree; an empty one removes it.
    Set {
        /// The new tree.
        spec: Spec,
    },
    /// Moves a team or node, with its guarantee, below another node or the root.
    Move {
        /// The team or node that moves.
        name: String,
        /// Its new parent; `None` for the root.
        to: Option<String>,
    },
    /// Sets new limits for a node.
    Shrink {
        /// The node whose limits change.
        name: String,
        /// Its new guarantee, by resource.
        guarantee: Amounts,
        /// Its new maximum, by resource.
        max: Amounts,
        /// Whether to reduce the guarantees below the node proportionally if the new one no longer covers them.
        scale: bool,
    },
}

/// The response to a show request about a document that has no state besides its content.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Shown<C> {
    /// The version in force; 0 if there is none.
    pub version: u64,
    /// The document in force.
    pub spec: C,
    /// The latest changes.
    pub history: Vec<Past>,
    /// A version that failed validation, and why. The version in force is the last valid one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<String>,
}

/// The quota tree in force, with the use and demand of each node and team.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Tree {
    /// The version in force; 0 if there is none.
    pub version: u64,
    /// The tree in force.
    pub spec: Spec,
    /// The nodes, with their use and demand.
    pub nodes: Vec<quota::Standing>,
    /// The teams, with their use and demand.
    pub teams: Vec<quota::Standing>,
    /// The latest changes.
    pub history: Vec<Past>,
    /// A version that failed validation, and why. The version in force is the last valid one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<String>,
}

/// The result of a change.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Changed {
    /// The version in force after the change.
    pub version: u64,
    /// Whether the change was only checked and not made.
    pub dry_run: bool,
    /// Differences from the previous version, one line of text each.
    pub differences: Vec<String>,
    /// Consequences of the change. For a quota tree: what exceeds its limit after the change, by how much, and what
    /// happens to it.
    pub above: Vec<String>,
}

/// Why a request was not served.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Refused {
    /// The reason, as text.
    pub error: String,
    /// The version in force, if it differs from the expected one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// The errors in the document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

/// The kind of document that a path refers to.
pub fn kind_of(path: &str) -> Option<&str> {
    path.strip_prefix(PREFIX)
}

/// Encodes a message as JSON.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// Decodes a message from JSON.
pub fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    serde_json::from_slice(body).map_err(DecodeError::malformed)
}
