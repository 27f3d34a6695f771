//! Records of accepted jobs, live and ended.

use super::keys::ShardId;
use super::serde_defaults::is_false;
use crate::users::{JobSpec, Stage};
use serde::{Deserialize, Serialize};

/// An accepted job that has not ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as its user submitted it.
    pub spec: JobSpec,
    /// Unix time of the acceptance, in milliseconds; accurate to within the clock error of the settings.
    pub at_ms: u64,
    /// The shard that the job belongs to.
    #[serde(rename = "part")]
    pub shard: ShardId,
    /// The release hour that was agreed when the job was accepted. It is read from here and never computed again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hour: Option<HourRecord>,
    /// The county that the job counts towards, as defined when the job was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub county: Option<CountyRecord>,
}

impl JobRecord {
    /// A record without an agreed hour and without a county.
    pub fn new(spec: JobSpec, at_ms: u64, shard: ShardId) -> Self {
        JobRecord {
            spec,
            at_ms,
            shard,
            hour: None,
            county: None,
        }
    }
}

/// The hour by which a job is to be released.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HourRecord {
    /// The hour, as Unix time in milliseconds.
    pub due_ms: u64,
    /// The version of the calendar that determined it.
    pub version: u64,
    /// The last move of the hour by an operator.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moved: Option<MovedRecord>,
}

/// An operator's last move of an hour.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MovedRecord {
    /// Who moved it.
    pub by: String,
    /// When it was moved, as Unix time in milliseconds.
    pub at_ms: u64,
    /// The hour before the move, as Unix time in milliseconds; 0 if the job had none.
    pub from_ms: u64,
}

/// The county that a job counts towards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CountyRecord {
    /// The stable id of the county.
    pub county: String,
    /// The version of the document by which the job was assigned to the county.
    pub version: u64,
    /// Whether the job must not share a machine with other work at the same time.
    #[serde(default, skip_serializing_if = "is_false")]
    pub alone: bool,
    /// The zones that the job may run in; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
}

/// The final state of a job. Never removed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndRecord {
    /// Whether the job was completed or cancelled.
    pub stage: Stage,
    /// How many of its tasks were completed.
    pub done: u32,
    /// When the job was due, and when it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hour: Option<EndHourRecord>,
    /// Where the job was counted, so that the counts can be recomputed from the records.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub county: Option<CountedRecord>,
}

/// The release hour of an ended job and the time of its end, as Unix times in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndHourRecord {
    /// When the job was due.
    pub due_ms: u64,
    /// When the job ended.
    pub ended_ms: u64,
}

/// The county and the class in which an ended job is counted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CountedRecord {
    /// The stable id of the county.
    pub county: String,
    /// The class of the job.
    pub class: String,
}
