//! The room that a shard may give each team.

use super::serde_defaults::is_zero;
use serde::{Deserialize, Serialize};

/// The room that a shard may give each team; the shards' allotments add up to the team's limit at most.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AllotmentRecord {
    /// The allotment of each team; empty if `whole` is there.
    pub teams: Vec<TeamAllotment>,
    /// Where a list of all teams would be too large: a digest of it. The shard has the whole of each limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub whole: Option<String>,
    /// The version of the quota tree whose bounds the shard keeps, all of them being its own as long as it is the only
    /// one; 0 without a tree. Nothing starts under a version that is not recorded here.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tree: u64,
}

impl AllotmentRecord {
    /// All limits whole, in a record of at most `value` bytes.
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

/// A limit of 0 means none, as in the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamAllotment {
    /// The team's name.
    pub name: String,
    /// CPU cores at most.
    pub cpus_max: f64,
    /// GPUs at most.
    pub gpus_max: f64,
}
