//! Machines that were returned to the cloud: old lists and heartbeats may still name them.

use std::collections::HashMap;

/// Lists and heartbeats that come later than this after a machine's return are taken for a machine's that nobody knows;
/// names never come back, so only memory speaks for forgetting them.
const RETENTION_MS: u64 = 600_000;

/// Names of returned machines, each with the time of its return.
#[derive(Debug, Default)]
pub(crate) struct ReturnedMachines {
    returned_at: HashMap<String, u64>,
}

impl ReturnedMachines {
    /// A machine has been returned.
    pub fn add(&mut self, name: String, now: u64) {
        self.returned_at.insert(name, now);
    }

    /// Whether a machine was returned lately.
    pub fn contains(&self, name: &str) -> bool {
        self.returned_at.contains_key(name)
    }

    /// Keeps only what later lists may still need.
    pub fn forget_old(&mut self, now: u64) {
        self.returned_at.retain(|_, at| *at + RETENTION_MS > now);
    }
}
