//! The resources that a shard may give each team.

use super::serde_defaults::is_zero;
use serde::{Deserialize, Serialize};

/// The resources that a shard may give each team. The allotments of all shards together never exceed the team's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AllotmentRecord {
    /// The allotment of each team; empty if `whole` is set.
    pub teams: Vec<TeamAllotment>,
    /// A digest of the list of all teams, in place of a list that does not fit into one value. The shard then has the
    /// full limit of every team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub whole: Option<String>,
    /// The version of the quota tree whose limits the shard enforces; 0 without a tree. As long as there is only one
    /// shard, it has all limits of the tree. No task starts under a version that is not recorded here.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tree: u64,
}

impl AllotmentRecord {
    /// The full limits of all teams, in a record of at most `value` bytes.
    pub fn whole(teams: Vec<TeamAllotment>, tree: u64, value: usize) -> Self {
        let list = AllotmentRecord {
            teams,
            whole: None,
            tree,
        };
        if document::text(&list).len() <= value {
            return list;
        }
        AllotmentRecord {
            teams: Vec::new(),
            whole: Some(document::digest(&list.teams)),
            tree,
        }
    }
}

/// The allotment of one team. A limit of 0 means no limit, as in the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamAllotment {
    /// The team's name.
    pub name: String,
    /// Maximum number of CPU cores.
    pub cpus_max: f64,
    /// Maximum number of GPUs.
    pub gpus_max: f64,
}
