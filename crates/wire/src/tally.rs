//! Requests of operators about job and task counts by county, and the responses.

use serde::{Deserialize, Serialize};

/// Maximum number of differences that an audit lists.
pub const DIFFERENCES: usize = 200;

/// Requests of operators about counts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Question {
    /// Asks for the counts of one county or of all.
    Tally {
        /// The county's name or id; `None` for all.
        county: Option<String>,
    },
    /// Recounts the records and compares the result with the counts. The client repeats the request until the audit is
    /// done.
    Audit {
        /// The id of the audit, chosen by the client.
        id: String,
    },
}

/// The counts of one class of jobs in a county.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Line {
    /// The stable id of the county.
    pub county: String,
    /// The county's name, if it is in the document in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// The class of the jobs.
    pub class: String,
    /// All accepted jobs: the sum of `live`, `done` and `cancelled`.
    pub accepted: u64,
    /// Jobs that have not ended.
    pub live: u64,
    /// Jobs that completed all their tasks.
    pub done: u64,
    /// Jobs that were cancelled.
    pub cancelled: u64,
    /// Tasks of ended jobs that were completed when the job ended.
    pub done_tasks: u64,
}

/// Counts as of one revision of the state service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// The revision of the state service.
    pub revision: u64,
    /// The counts, by county and class.
    pub lines: Vec<Line>,
}

/// The progress or result of an audit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Audit {
    /// The audit is still reading records.
    Running {
        /// Number of records read so far.
        read: u64,
    },
    /// The audit is done. Without differences the counts match the records.
    Done {
        /// The revision of the state service that was audited.
        revision: u64,
        /// Number of records read.
        read: u64,
        /// Differences between counts and records, one line of text each; at most [`DIFFERENCES`].
        differences: Vec<String>,
    },
}
