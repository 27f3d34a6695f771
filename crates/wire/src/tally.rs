//! Requests of operators about counts by county, and the responses.

use serde::{Deserialize, Serialize};

/// Lines of differences that an audit lists.
pub const DIFFERENCES: usize = 200;

/// Requests of operators about counts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Question {
    /// The counts of one county, or of all.
    Tally {
        /// The county's name or id; none for all.
        county: Option<String>,
    },
    /// A count from the records, asked for again until it is done. The id is made by the client.
    Audit {
        /// The id of the audit.
        id: String,
    },
}

/// One class of a county.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Line {
    /// The stable id of the county.
    pub county: String,
    /// Its name in the document in force, if it is there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// The class of the jobs.
    pub class: String,
    /// Jobs: accepted, and of these those that live, ended done, and ended cancelled.
    pub accepted: u64,
    /// Jobs that have not ended.
    pub live: u64,
    /// Jobs that ended by completing their tasks.
    pub done: u64,
    /// Jobs that ended by being cancelled.
    pub cancelled: u64,
    /// Tasks that were done when their jobs ended.
    pub done_tasks: u64,
}

/// All counts as of one revision of the state service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// The revision.
    pub revision: u64,
    /// The counts, by county and class.
    pub lines: Vec<Line>,
}

/// The progress or result of an audit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Audit {
    /// So many records were read so far.
    Running {
        /// Records that were read.
        read: u64,
    },
    /// As of this revision. No differences: the counts are those of the records.
    Done {
        /// The revision of the state service.
        revision: u64,
        /// Records that were read.
        read: u64,
        /// Differences between counts and records, in words; at most [`DIFFERENCES`].
        differences: Vec<String>,
    },
}
