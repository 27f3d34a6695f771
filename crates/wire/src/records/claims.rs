//! The claim log: claims on tasks, completed tasks, and ranges of task numbers.

use super::serde_defaults::is_false;
use crate::users::MAX_TASKS;
use serde::{Deserialize, Serialize};

/// The changes of one turn of the controller: new claims, on any number of machines, and results. A record is removed
/// once all its claims and all jobs whose results it holds have ended; until then it may name claims that have ended.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LogRecord {
    /// New claims.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<ClaimsRecord>,
    /// Tasks that were completed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<DoneRecord>,
    /// Jobs that ended in the same transaction, by county and class. The record stays until they are included in the
    /// counts of their county.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<county::Delta>,
}

/// Claims on tasks of one job by one attempt. The record also holds the resources of a task, so that they count against
/// the team's limit until the task is gone, even if the job itself has ended.
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
    /// The attempt that starts the tasks.
    pub attempt: u64,
    /// For each range of tasks: its machine, its first task and the number of tasks.
    pub on: Vec<(String, u32, u32)>,
    /// The county that the tasks belong to. It applies until the tasks are gone, even if the job itself has ended, and
    /// so does `alone`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub county: Option<String>,
    /// Whether the tasks must not share a machine with other work.
    #[serde(default, skip_serializing_if = "is_false")]
    pub alone: bool,
}

/// Completed tasks of a job that has not ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DoneRecord {
    /// The id of the job.
    pub job: String,
    /// Ranges of completed tasks: the first task and the number of tasks of each.
    pub tasks: Vec<(u32, u32)>,
}

/// Encodes task numbers, given in ascending order, as ranges: the first number and the count of each.
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

/// The inverse of [`ranges`]. Every range is cut off at [`MAX_TASKS`], the most tasks that a job can have, so that a
/// damaged record can't cause a longer iteration.
pub fn unrange(ranges: &[(u32, u32)]) -> impl Iterator<Item = u32> + '_ {
    ranges.iter().flat_map(|(first, n)| {
        let n = (*n).min(MAX_TASKS.saturating_sub(*first));
        *first..first.saturating_add(n)
    })
}
