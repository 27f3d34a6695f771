//! How the tasks of a gang find each other: hollow workers in different processes learn from the tool when their
//! attempt is complete, and when it has lost a task.

use crate::messages::{Change, TaskChange};
use std::collections::{HashMap, HashSet};
use wire::api::Cause;

/// An attempt of a gang.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Attempt {
    job: String,
    number: u64,
}

#[derive(Default)]
struct Members {
    ready: HashSet<String>,
    started: bool,
}

/// What the members of an attempt are to be told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    Complete { job: String, attempt: u64 },
    Broken { job: String, attempt: u64 },
}

/// All attempts of gangs that have a task on a machine.
#[derive(Default)]
pub struct Gangs {
    attempts: HashMap<Attempt, Members>,
}

impl Gangs {
    /// Takes a change of a task of a gang with so many tasks.
    pub fn changed(&mut self, change: &TaskChange, job: &str, width: usize) -> Option<Notice> {
        let key = Attempt {
            job: job.to_owned(),
            number: change.attempt,
        };
        match change.what {
            Change::On { .. } => self.arrived(key, &change.task, width),
            Change::Off { cause } => self.left(key, &change.task, cause),
        }
    }

    fn arrived(&mut self, key: Attempt, task: &str, width: usize) -> Option<Notice> {
        let members = self.attempts.entry(key.clone()).or_default();
        members.ready.insert(task.to_owned());
        if members.started || members.ready.len() < width {
            return None;
        }
        members.started = true;
        Some(Notice::Complete {
            job: key.job,
            attempt: key.number,
        })
    }

    fn left(&mut self, key: Attempt, task: &str, cause: Option<Cause>) -> Option<Notice> {
        let members = self.attempts.get_mut(&key)?;
        members.ready.remove(task);
        let is_first = members.started && cause != Some(Cause::Done) && cause != Some(Cause::Peers);
        if members.ready.is_empty() {
            self.attempts.remove(&key);
            return None;
        }
        is_first.then_some(Notice::Broken {
            job: key.job,
            attempt: key.number,
        })
    }
}
