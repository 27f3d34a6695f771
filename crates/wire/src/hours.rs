//! Requests of operators about release hours beside the calendar itself, and the responses.

use crate::records::MovedRecord;
use serde::{Deserialize, Serialize};

/// Requests of operators about release hours.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// What is due when, of one studio or of all.
    List {
        /// The studio's name; none for all.
        studio: Option<String>,
    },
    /// Another hour for one job. A repeat that finds it in place changes nothing.
    Move {
        /// The id of the job.
        job: String,
        /// The new hour, as a local time of the studio.
        to: String,
        /// Who moves it.
        by: String,
    },
    /// The hours of one studio's pending jobs as the calendar in force has them.
    Reagree {
        /// The studio's name.
        studio: String,
        /// Who asks for it.
        by: String,
        /// Only say what would change.
        dry_run: bool,
    },
}

/// A job's hour, and what became of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The id of the job.
    pub job: String,
    /// As the calendar has it now; none if the team belongs to none any more.
    pub studio: Option<String>,
    /// The team that the job belongs to.
    pub team: String,
    /// The class of the job.
    pub class: String,
    /// The hour, as Unix time in milliseconds.
    pub due_ms: u64,
    /// As the studio's clocks show it.
    pub due: String,
    /// Whether the hour is, or was, kept.
    pub state: State,
    /// Seconds after the hour, of what was missed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub late_s: Option<f64>,
    /// The last move of the hour by an operator.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moved: Option<MovedRecord>,
}

/// Whether a release hour is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The hour is to come, and nothing is in its way.
    Due,
    /// It can't be kept as things are, and why.
    AtRisk(Risk),
    /// The hour is past, and the job has not ended, or ended after it.
    Missed,
    /// The job ended by its hour.
    Kept,
    /// Cancelled by its user.
    Withdrawn,
}

/// Why an hour can't be kept as things are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Risk {
    /// There is no room on the machines.
    Room,
    /// The team's quota is used up.
    Quota,
    /// Its tasks have machines, but none of them runs yet: images are being fetched.
    Image,
    /// Machines for it are still booting.
    Boot,
    /// The zones that it may run in are cut off.
    Cut,
}

/// By hour; what has ended last.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct List {
    /// The hours that are listed.
    pub lines: Vec<Line>,
    /// Jobs that are not listed.
    pub more: usize,
}

/// What came of a move, or would.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Moved {
    /// Only say what would change.
    pub dry_run: bool,
    /// Jobs whose hour moves.
    pub jobs: usize,
    /// Some of them, for people.
    pub lines: Vec<String>,
}
