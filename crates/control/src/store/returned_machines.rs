//! Machines recently returned to the cloud, which outdated lists and heartbeats may still name.

use std::collections::HashMap;

/// How long a returned machine is remembered. A list or heartbeat that names it later is taken to name an unknown
/// machine. Names are never reused, so entries are dropped only to save memory.
const RETENTION_MS: u64 = 600_000;

/// Return times of machines, by name.
#[derive(Debug, Default)]
pub(crate) struct ReturnedMachines {
    returned_at: HashMap<String, u64>,
}

impl ReturnedMachines {
    pub fn add(&mut self, name: String, now: u64) {
        self.returned_at.insert(name, now);
    }

    /// Whether a machine was returned recently.
    pub fn contains(&self, name: &str) -> bool {
        self.returned_at.contains_key(name)
    }

    /// Drops entries older than the retention time.
    pub fn forget_old(&mut self, now: u64) {
        self.returned_at.retain(|_, at| *at + RETENTION_MS > now);
    }
}
