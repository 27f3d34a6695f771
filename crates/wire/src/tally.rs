//! What operators ask about counts by county.

use serde::{Deserialize, Serialize};

/// Lines of differences that an audit lists.
pub const DIFFERENCES: usize = 200;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Question {
    /// The counts of one county, or of all.
    Tally { county: Option<String> },
    /// A count from the records, asked for again until it is done. The id is made by whoever asks.
    Audit { id: String },
}

/// One class of a county.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Line {
    pub county: String,
    /// Its name in the document in force, if it is there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    pub class: String,
    /// Jobs: accepted, and of these those that live, ended done, and ended cancelled.
    pub accepted: u64,
    pub live: u64,
    pub done: u64,
    pub cancelled: u64,
    /// Tasks that were done when their jobs ended.
    pub done_tasks: u64,
}

/// All counts as of one revision of the state service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Counts {
    pub revision: u64,
    pub lines: Vec<Line>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Audit {
    /// So many records were read so far.
    Running { read: u64 },
    /// As of this revision. No differences: the counts are those of the records.
    Done {
        revision: u64,
        read: u64,
        differences: Vec<String>,
    },
}
