//! Requests of operators about the release hours of jobs, and the responses. The calendar itself is a document, with
//! the requests of [`crate::admin`].

use crate::records::MovedRecord;
use serde::{Deserialize, Serialize};

/// Requests of operators about release hours.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// Lists release hours, of one studio or of all.
    List {
        /// The studio's name; `None` for all.
        studio: Option<String>,
    },
    /// Moves the hour of one job. A repeat that finds the new hour in place changes nothing.
    Move {
        /// The id of the job.
        job: String,
        /// The new hour, as a local time of the studio.
        to: String,
        /// Who moves it.
        by: String,
    },
    /// Sets the hours of one studio's pending jobs to those of the calendar in force.
    Reagree {
        /// The studio's name.
        studio: String,
        /// Who requests it.
        by: String,
        /// Whether to only report what would change.
        dry_run: bool,
    },
}

/// A job's release hour and whether it is kept.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The id of the job.
    pub job: String,
    /// The studio by the current calendar; `None` if the team no longer belongs to one.
    pub studio: Option<String>,
    /// The team that the job belongs to.
    pub team: String,
    /// The class of the job.
    pub class: String,
    /// The hour, as Unix time in milliseconds.
    pub due_ms: u64,
    /// The hour as a local time of the studio.
    pub due: String,
    /// Whether the hour is, or was, kept.
    pub state: State,
    /// By how many seconds a missed hour was exceeded.
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
    /// The hour has not passed, and nothing prevents it from being kept.
    Due,
    /// In the present state the hour can't be kept, for the given reason.
    AtRisk(Risk),
    /// The hour has passed, and the job has not ended or ended after it.
    Missed,
    /// The job ended by its hour.
    Kept,
    /// The job was cancelled by its user.
    Withdrawn,
}

/// Why an hour can't be kept in the present state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Risk {
    /// The machines do not have enough free resources.
    Room,
    /// The team's quota is used up.
    Quota,
    /// The tasks have machines, but none of them is running yet: images are being fetched.
    Image,
    /// Machines for the job are still booting.
    Boot,
    /// The zones that the job may run in are cut off.
    Cut,
}

/// A list of release hours, sorted by hour, with ended jobs last.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct List {
    /// The listed hours.
    pub lines: Vec<Line>,
    /// Number of jobs that are not listed.
    pub more: usize,
}

/// The result of moving release hours.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Moved {
    /// Whether the move was only checked and not made.
    pub dry_run: bool,
    /// Number of jobs whose hour moves.
    pub jobs: usize,
    /// Descriptions of some of them, one line of text each.
    pub lines: Vec<String>,
}
