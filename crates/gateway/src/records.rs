//! What the gateway keeps in the state service, under `frontend/yarn/`: one record for the deployment, one for drains, one
//! for each application, and the launch descriptions of applications in parts beside them.

use crate::token::Keys;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub const PREFIX: &str = "side/yarn/";
pub const CLUSTER: &str = "side/yarn/cluster";
pub const DRAIN: &str = "side/yarn/drain";
pub const APPS: &str = "side/yarn/app/";
/// Not below [`PREFIX`], so that a new owner need not read descriptions.
pub const PARTS: &str = "side/yarn-launch/";

/// Longest texts that a record keeps, in bytes.
pub const SHORT: usize = 200;
pub const LONG: usize = 600;
/// Most tags of an application, and longest tag.
pub const TAGS: usize = 12;
pub const TAG: usize = 100;

pub fn app_key(app: u32) -> String {
    format!("{APPS}{app:010}")
}

/// A part of a launch description; named by what the whole of it is, so that it can only have one content.
pub fn part_key(app: u32, print: &str, part: u32) -> String {
    format!(
        "{PARTS}{app:010}/{}/{part:04}",
        &print[..print.len().min(24)]
    )
}

/// The deployment as its clients know it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterRecord {
    /// Milliseconds since 1970 of the first start; part of every id.
    pub stamp: i64,
    /// Ids up to this one may have been given.
    pub given: u32,
    /// Ids up to this one are no longer known if they are not here: they are over.
    pub forgotten: u32,
    pub keys: Keys,
}

/// What takes no new work.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// Queue path (`root` is the whole service) to what was asked.
    pub queues: BTreeMap<String, Drain>,
    /// Machines that get no further containers.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub machines: BTreeMap<String, Drain>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    pub since_ms: u64,
    /// Time of day at which what still runs is ended; none: it may end by itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until_ms: Option<u64>,
    /// Running applications get no further containers.
    #[serde(default)]
    pub containers: bool,
}

/// Where an application is, in the published order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Recorded: it will run, or be refused with a reason.
    Accepted,
    Running,
    Finished,
    Failed,
    Killed,
}

impl Stage {
    pub fn is_final(self) -> bool {
        self >= Stage::Finished
    }
}

/// How an application is to end other than by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ending {
    Killed,
    Failed,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AppRecord {
    pub id: u32,
    pub user: String,
    pub name: String,
    pub queue: String,
    pub team: String,
    pub kind: String,
    pub tags: Vec<String>,
    pub priority: i32,
    pub memory_mb: i64,
    pub cores: i32,
    pub gpus: i64,
    /// The machine type that the master must have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    pub unmanaged: bool,
    pub keep: bool,
    pub max_attempts: u32,
    /// Digest of what was submitted.
    pub print: String,
    /// Parts of its launch description.
    pub parts: u32,
    pub submitted_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub launched_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finished_ms: Option<u64>,
    /// Time of day at which it is ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until_ms: Option<u64>,
    pub stage: Stage,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ending: Option<Ending>,
    /// The published number of its final status.
    pub outcome: i32,
    pub diagnostics: String,
    pub tracking: String,
    /// The attempt in force, and the scheduler's own number of its start.
    pub attempt: u32,
    pub tried: u64,
    pub failures: u32,
    /// Jobs for containers that may have been submitted: those with numbers up to this.
    pub groups: u32,
    /// Nothing of it is left with the scheduler.
    pub closed: bool,
}

/// A text that fits a record: cut at a character, without control characters.
pub fn cut(text: &str, most: usize) -> String {
    let mut out = String::new();
    for c in text.chars().map(|c| if c.is_control() { ' ' } else { c }) {
        if out.len() + c.len_utf8() > most {
            break;
        }
        out.push(c);
    }
    out
}
