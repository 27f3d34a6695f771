//! The claim log: claims on tasks, completed tasks, and ranges of task numbers.

use super::serde_defaults::is_false;
use crate::users::MAX_TASKS;
use serde::{Deserialize, Serialize};

/// What changed in one turn: claims that were made, on any number of machines, and results. A record is removed
/// once all that it says has been overtaken; until then it may also name claims that have ended.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LogRecord {
    /// Claims that were made.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<ClaimsRecord>,
    /// Tasks that were completed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<DoneRecord>,
    /// What ended in the same transaction, by county and class. The record stays until that is in their sheets.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<county::Delta>,
}

/// Claims on tasks of one job by one attempt. The resources of a task are kept here too, so that they count against the
/// team's limit until the task is gone, also when the job itself has ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimsRecord {
    /// The id of the job.
    pub job: String,
    /// The team that the tasks count against.
    pub team: String,
    /// CPU cores of one task.
    pub cores: f64,
    /// GPUs of one task.
    pub gpus: f64,
    /// Memory of one task, in GB.
    pub mem_gb: f64,
    /// The attempt by which the tasks are started.
    pub attempt: u64,
    /// Machine, first task, and how many tasks from there on.
    pub on: Vec<(String, u32, u32)>,
    /// Whose work it is, and whether it shares no machine: this holds until the tasks are gone, also when the job
    /// itself has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub county: Option<String>,
    /// Whether the tasks share no machine with other work.
    #[serde(default, skip_serializing_if = "is_false")]
    pub alone: bool,
}

/// Completed tasks of a job that has not ended: the first, and how many from there on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DoneRecord {
    /// The id of the job.
    pub job: String,
    /// Ranges of completed tasks: the first, and how many from there on.
    pub tasks: Vec<(u32, u32)>,
}

/// Numbers in rising order as ranges: the first, and how many from there on.
pub fn ranges(tasks: impl IntoIterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut out: Vec<(u32, u32)> = Vec::new();
    for t in tasks {
        match out.last_mut() {
            Some((first, n)) if *first + *n == t => *n += 1,
            _ => out.push((t, 1)),
        }
    }
    out
}

/// The reverse of [`ranges`]. No record makes us count further than a job can have tasks.
pub fn unrange(ranges: &[(u32, u32)]) -> impl Iterator<Item = u32> + '_ {
    ranges.iter().flat_map(|(first, n)| {
        let n = (*n).min(MAX_TASKS.saturating_sub(*first));
        *first..first.saturating_add(n)
    })
}
