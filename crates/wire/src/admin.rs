//! What operators ask a controller, as JSON over the peers' door. Any controller takes it; the owner answers.

use document::{Fault, Past};
use quota::{Amounts, Spec};
use serde::{Deserialize, Serialize};

const PREFIX: &str = "/admin/";
pub const PATH: &str = "/admin/quota";
/// Largest request: a tree of 20,000 teams takes less. Answers add what each of them uses.
pub const BODY_LIMIT: usize = 2 << 20;
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
    Change(ChangeOf<E>),
}

/// One change of a document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeOf<E> {
    /// Made by the operator before the first try; a repeat with the same one is the same change.
    pub id: String,
    pub by: String,
    /// The version that it was made for; another one in force is a conflict.
    #[serde(default)]
    pub expect: Option<u64>,
    /// Only say what would change, and what would be stopped.
    #[serde(default)]
    pub dry_run: bool,
    pub edit: E,
}

/// The only change of most kinds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Whole<C> {
    /// Another document as a whole; an empty one takes it away.
    Set { spec: C },
}

/// No questions of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Nothing {}

/// What is asked about the quota tree. It is shown with use and wants.
pub type Ask = AskOf<Edit>;
pub type Change = ChangeOf<Edit>;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Question {
    /// Why a team's work waits.
    Why { team: String },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Another tree as a whole; an empty one takes the tree away.
    Set { spec: Spec },
    /// A team or node, with its guarantee, to below another node or the root.
    Move { name: String, to: Option<String> },
    /// Other bounds for a node.
    Shrink {
        name: String,
        guarantee: Amounts,
        max: Amounts,
        scale: bool,
    },
}

/// A document that has nothing beside it to show.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Shown<C> {
    pub version: u64,
    pub spec: C,
    pub history: Vec<Past>,
    /// A version that did not check out, and why; the one in force is the last good one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Tree {
    pub version: u64,
    pub spec: Spec,
    pub nodes: Vec<quota::Standing>,
    pub teams: Vec<quota::Standing>,
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
    pub dry_run: bool,
    pub differences: Vec<String>,
    /// What comes of it: of a tree what is above its bound then, how much, and what becomes of it.
    pub above: Vec<String>,
}

/// Why a request was not served.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Refused {
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

pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

pub fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, crate::BadBody> {
    serde_json::from_slice(body).map_err(|e| crate::BadBody(e.to_string()))
}
