//! What the tool and a process of hollow workers tell each other: JSON, a message a line.

use crate::clock::Millis;
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use wire::api::Cause;

/// To the hollow workers of a process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToWorkers {
    /// Where the controllers are, before anything else.
    Controllers(Vec<Controller>),
    /// A machine is up.
    Boot { machine: String, zone: usize },
    /// Machines are gone with all that is on them; the process says when that is so.
    Remove { machines: Vec<String>, request: u64 },
    /// A machine stands still until then.
    Hang { machine: String, until: Millis },
    /// All tasks of a gang's attempt have their images.
    GangComplete {
        job: String,
        attempt: u64,
        at: Millis,
    },
    /// A task of a gang that ran is gone.
    GangBroken { job: String, attempt: u64 },
    /// Zones that can reach nobody outside until then.
    Cut { zones: Vec<usize>, until: Millis },
}

/// A controller as workers know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Controller {
    pub node: String,
    pub address: String,
    pub zone: usize,
}

/// A change on a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskChange {
    pub at: Millis,
    pub task: String,
    pub attempt: u64,
    pub machine: String,
    pub zone: usize,
    pub what: Change,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// It has its image, which took this long to come. It waits if it is of a gang.
    On { fetch_ms: u64 },
    /// It has ended, or its machine has. Without a cause it was killed.
    Off { cause: Option<Cause> },
}

/// What hollow workers have sent and received since they began.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    pub workers: usize,
    /// Reports sent, by controller.
    pub reports: Vec<u64>,
    /// Reports that were not answered with 200.
    pub unserved: u64,
    pub commands: u64,
    /// Orders by reports' answers and by commands.
    pub orders: u64,
    /// Starts that were refused.
    pub refused: u64,
    /// Leases that ended.
    pub expired: u64,
    pub bytes_sent: u64,
    pub bytes_received: u64,
    pub connections: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        self.workers += other.workers;
        self.reports
            .resize(self.reports.len().max(other.reports.len()), 0);
        for (sum, count) in self.reports.iter_mut().zip(&other.reports) {
            *sum += count;
        }
        self.unserved += other.unserved;
        self.commands += other.commands;
        self.orders += other.orders;
        self.refused += other.refused;
        self.expired += other.expired;
        self.bytes_sent += other.bytes_sent;
        self.bytes_received += other.bytes_received;
        self.connections += other.connections;
    }
}

/// From the hollow workers of a process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromWorkers {
    /// It can't go on.
    Failed(String),
    Task(TaskChange),
    Removed {
        request: u64,
    },
    Counts(Counts),
}

/// Writes one message as a line.
pub fn write_line<T: Serialize>(out: &mut impl Write, message: &T) -> io::Result<()> {
    serde_json::to_writer(&mut *out, message)?;
    out.write_all(b"\n")
}
