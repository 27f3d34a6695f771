//! Description of a tree in files and records, before validation.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Units by resource: `cpus`, `gpus`, `mem_gb`, or a name of the installation's own.
pub type Amounts = BTreeMap<String, f64>;

/// What becomes of work that is above a node's maximum after it has shrunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Over {
    /// It is stopped, with the time to save, what loses least first.
    #[default]
    Reclaim,
    /// It may run to its end; nothing new starts.
    LetEnd,
}

/// An inner node: a member, a desk, or whatever stands between the whole and its teams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodeSpec {
    /// Unique among all nodes.
    pub name: String,
    /// The node that it hangs below; none for one directly below the root.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// What it may always have. Those of its children add up to no more.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub guarantee: Amounts,
    /// What all below it may use together at most; a resource that is not named has no bound.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub max: Amounts,
    /// Its part of what its siblings leave, against theirs.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub weight: f64,
    /// What becomes of work above a maximum that has shrunk.
    #[serde(default, skip_serializing_if = "is_default")]
    pub over: Over,
}

impl NodeSpec {
    pub fn new(name: &str, parent: Option<&str>) -> Self {
        NodeSpec {
            name: name.to_owned(),
            parent: parent.map(str::to_owned),
            guarantee: Amounts::new(),
            max: Amounts::new(),
            weight: 1.0,
            over: Over::default(),
        }
    }
}

/// Where a team of the settings hangs. Its guarantee and its maximum are those of the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// As in the settings.
    pub name: String,
    /// The node that it hangs below; none for the root.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// A smaller guarantee than that of the settings, where a desk has been cut.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub guarantee: Option<Amounts>,
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub weight: f64,
}

impl TeamSpec {
    pub fn new(name: &str, parent: Option<&str>) -> Self {
        TeamSpec {
            name: name.to_owned(),
            parent: parent.map(str::to_owned),
            guarantee: None,
            weight: 1.0,
        }
    }
}

/// A tree as it is written down. Teams that it does not name hang below the root.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    #[serde(default, rename = "node", skip_serializing_if = "Vec::is_empty")]
    pub nodes: Vec<NodeSpec>,
    #[serde(default, rename = "team", skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamSpec>,
}

fn one() -> f64 {
    1.0
}
fn is_one(v: &f64) -> bool {
    *v == 1.0
}
fn is_default(v: &Over) -> bool {
    *v == Over::default()
}
