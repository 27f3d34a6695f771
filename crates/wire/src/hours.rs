//! What operators ask of release hours beside the calendar itself, and what they are told.

use crate::records::MovedRecord;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// What is due when, of one studio or of all.
    List { studio: Option<String> },
    /// Another hour for one job. A repeat that finds it in place changes nothing.
    Move { job: String, to: String, by: String },
    /// The hours of one studio's pending jobs as the calendar in force has them.
    Reagree {
        studio: String,
        by: String,
        dry_run: bool,
    },
}

/// A job's hour, and what became of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub job: String,
    /// As the calendar has it now; none if the team belongs to none any more.
    pub studio: Option<String>,
    pub team: String,
    pub class: String,
    pub due_ms: u64,
    /// As the studio's clocks show it.
    pub due: String,
    pub state: State,
    /// Seconds after the hour, of what was missed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub late_s: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moved: Option<MovedRecord>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Due,
    /// It can't be kept as things are, and why.
    AtRisk(Risk),
    /// The hour is past, and the job has not ended, or ended after it.
    Missed,
    Kept,
    /// Cancelled by its user.
    Withdrawn,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Risk {
    Room,
    Quota,
    Image,
    Boot,
    Cut,
}

/// By hour; what has ended last.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct List {
    pub lines: Vec<Line>,
    /// Jobs that are not listed.
    pub more: usize,
}

/// What came of a move, or would.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Moved {
    pub dry_run: bool,
    /// Jobs whose hour moves.
    pub jobs: usize,
    /// Some of them, for people.
    pub lines: Vec<String>,
}
