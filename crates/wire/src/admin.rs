//! Requests of operators about documents, as JSON at the address for other controllers. Any controller accepts them; the
//! leader answers.

use crate::DecodeError;
use document::{Fault, Past};
use quota::{Amounts, Spec};
use serde::{Deserialize, Serialize};

const PREFIX: &str = "/admin/";
/// The path of requests about the quota tree.
pub const PATH: &str = "/admin/quota";
/// Largest request: a tree of 20,000 teams takes less. Answers add what each of them uses.
pub const BODY_LIMIT: usize = 2 << 20;
/// Largest answer, in bytes.
pub const ANSWER_LIMIT: usize = 16 << 20;

/// The path of a kind of document.
pub fn path(kind: &str) -> String {
    format!("{PREFIX}{kind}")
}

/// What is asked about any document. Questions that its kind alone has come in a form of their own, as its other
/// asks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AskOf<E> {
    /// The version in force, and the latest changes.
    Show,
    /// A change of the document.
    Change(ChangeOf<E>),
}

/// One change of a document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeOf<E> {
    /// Made by the operator before the first try; a repeat with the same one is the same change.
    pub id: String,
    /// Who makes the change, as it is kept in the history.
    pub by: String,
    /// The version that it was made for; another one in force is a conflict.
    #[serde(default)]
    pub expect: Option<u64>,
    /// Only say what would change, and what would be stopped.
    #[serde(default)]
    pub dry_run: bool,
    /// The change itself.
    pub edit: E,
}

/// The only change of most kinds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Whole<C> {
    /// Another document as a whole; an empty one removes it.
    Set {
        /// The new document.
        spec: C,
    },
}

/// No questions of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Nothing {}

/// What is asked about the quota tree. It is shown with use and wants.
pub type Ask = AskOf<Edit>;
/// A change of the quota tree.
pub type Change = ChangeOf<Edit>;

/// Questions that only the quota tree is asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Question {
    /// Why a team's work waits.
    Why {
        /// The team's name.
        team: String,
    },
}

/// Changes of the quota tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Another tree as a whole; an empty one takes the tree away.
    Set {
        /// The new tree.
        spec: Spec,
    },
    /// A team or node, with its guarantee, to below another node or the root.
    Move {
        /// The team or node that moves.
        name: String,
        /// Its new parent; none for the root.
        to: Option<String>,
    },
    /// Other bounds for a node.
    Shrink {
        /// The node whose bounds change.
        name: String,
        /// Its new guarantee, by resource.
        guarantee: Amounts,
        /// Its new maximum, by resource.
        max: Amounts,
        /// Whether guarantees below the node are cut in proportion, where the new one no longer holds them.
        scale: bool,
    },
}

/// A document that has nothing beside it to show.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Shown<C> {
    /// The version in force; 0 if there is none.
    pub version: u64,
    /// The document in force.
    pub spec: C,
    /// The latest changes.
    pub history: Vec<Past>,
    /// A version that did not check out, and why; the one in force is the last good one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<String>,
}

/// The quota tree in force, with the use of each node and team.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Tree {
    /// The version in force; 0 if there is none.
    pub version: u64,
    /// The tree in force.
    pub spec: Spec,
    /// Its nodes, with their use and demand.
    pub nodes: Vec<quota::Standing>,
    /// Its teams, with their use and demand.
    pub teams: Vec<quota::Standing>,
    /// The latest changes.
    pub history: Vec<Past>,
    /// A version that did not check out, and why; the one in force is the last good one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<String>,
}

/// How a change ended.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Changed {
    /// The version in force after it.
    pub version: u64,
    /// Whether nothing was changed, but only checked.
    pub dry_run: bool,
    /// What differs from the version before, in words, one line each.
    pub differences: Vec<String>,
    /// What comes of it: of a tree what is above its bound then, how much, and what becomes of it.
    pub above: Vec<String>,
}

/// Why a request was not served.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Refused {
    /// The reason in words.
    pub error: String,
    /// The version in force, where it was another one than expected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// What is wrong with the document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

/// The kind of document that a path is for.
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
