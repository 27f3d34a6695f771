//! Jobs: accepted and living, and ended.

use super::keys::ShardId;
use super::serde_defaults::is_false;
use crate::users::{JobSpec, Stage};
use serde::{Deserialize, Serialize};

/// A job that was accepted and has not ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as its user submitted it.
    pub spec: JobSpec,
    /// Unix time of the acceptance, in milliseconds; accurate to the clock error of the settings.
    pub at_ms: u64,
    /// The shard that the job belongs to.
    #[serde(rename = "part")]
    pub shard: ShardId,
    /// What was agreed for it when it was accepted. Read from here, never worked out again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hour: Option<HourRecord>,
    /// The county that the job counts for, as it was when the job was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub county: Option<CountyRecord>,
}

impl JobRecord {
    /// One that nothing was agreed for.
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
    /// Unix time, in milliseconds.
    pub due_ms: u64,
    /// The version of the calendar that said so.
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
    /// 0 if it had none.
    pub from_ms: u64,
}

/// The county that a job counts for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CountyRecord {
    /// Its stable id.
    pub county: String,
    /// The version that bound it.
    pub version: u64,
    /// It shares no machine with other work at the same time.
    #[serde(default, skip_serializing_if = "is_false")]
    pub alone: bool,
    /// The only zones that it may run in; none for all.
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
    /// By when it was to end, and when it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hour: Option<EndHourRecord>,
    /// Where it was counted, so that counts can be made again from the records.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub county: Option<CountedRecord>,
}

/// What became of a job's hour, as Unix times in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndHourRecord {
    /// The hour by which it was to end.
    pub due_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
}

/// The county and the class that an ended job is counted in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CountedRecord {
    /// The stable id of the county.
    pub county: String,
    /// The class of the job.
    pub class: String,
}
