//! What one record and one transaction may take. Whoever writes to the state service asks here.
//!
//! Where the settings name the limits that will hold some day without notice, what is written fits both sets from the
//! start: then nothing has to be found out, and nothing that is stored by this version is ever too large. What was
//! stored larger before stays readable, and is rewritten by `store::inventory_split` and the writers of each kind.
//!
//! A transaction that is refused for its size all the same teaches smaller limits ([`WriteLimits::refused`]). They are
//! never raised again while the process lives: a guess that fails costs writes.

use wire::settings::{Settings, StateLimits};

/// Part of a value's limit that records are built to: some distance to the service's own count.
const FILL_FACTOR: f64 = 0.95;
/// The service allows so many conditions for each change.
const CONDITIONS_PER_CHANGE: usize = 4;
/// Refusals teach no smaller limits than these: every record has a form that fits them.
pub const MIN_CHANGES: usize = 4;
pub const MIN_VALUE_KB: f64 = 1.0;
/// Log records that stand before the oldest are moved, and how many more there may be where records are smaller.
const COMPACTION_THRESHOLD: f64 = 400.0;
const MAX_THRESHOLD_FACTOR: f64 = 4.0;

/// The limits that everything written is built to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WriteLimits {
    value_kb: f64,
    /// Changes of one transaction.
    changes: usize,
    requests_per_s: f64,
    changes_per_s: f64,
    /// The largest value that the settings name.
    stored_kb: f64,
    /// Records are as small as they may have to be: their lengths are counted, not bounded roughly.
    exact_lengths: bool,
}

impl WriteLimits {
    /// The smaller of all limits that the settings name.
    pub fn of(settings: &Settings) -> Self {
        let current: &StateLimits = &settings.cluster.state;
        let mut limits = WriteLimits {
            value_kb: current.value_kb,
            changes: current.txn_ops,
            requests_per_s: current.rps,
            changes_per_s: current.write_rps,
            stored_kb: current.value_kb,
            exact_lengths: false,
        };
        if let Some(next) = current.next_limits() {
            limits.value_kb = limits.value_kb.min(next.value_kb);
            limits.changes = limits.changes.min(next.txn_ops);
            limits.requests_per_s = limits.requests_per_s.min(next.rps);
            limits.changes_per_s = limits.changes_per_s.min(next.write_rps);
            limits.exact_lengths = true;
        }
        limits
    }

    /// Usual limits with values of this size.
    #[cfg(test)]
    pub(crate) fn of_values(value_kb: f64) -> Self {
        WriteLimits {
            value_kb,
            changes: 16,
            requests_per_s: 150.0,
            changes_per_s: 35.0,
            stored_kb: value_kb,
            exact_lengths: false,
        }
    }

    /// Largest value, as the service counts it.
    pub fn value_kb(&self) -> f64 {
        self.value_kb
    }

    /// The same in bytes, with some distance.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0 * FILL_FACTOR) as usize
    }

    /// Most changes of one transaction.
    pub fn changes(&self) -> usize {
        self.changes
    }

    /// Most conditions of one transaction.
    pub fn max_conditions(&self) -> usize {
        self.changes * CONDITIONS_PER_CHANGE
    }

    /// Requests that all controllers together may make in a second.
    pub fn requests_per_s(&self) -> f64 {
        self.requests_per_s
    }

    /// Changes that all controllers together may make in a second.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_s
    }

    /// Whether lengths are counted exactly.
    pub fn are_tight(&self) -> bool {
        self.exact_lengths
    }

    /// Log records that may stand before the oldest are moved: about the same bytes whatever a record takes.
    pub fn compaction_threshold(&self) -> usize {
        let factor = (self.stored_kb / self.value_kb).clamp(1.0, MAX_THRESHOLD_FACTOR);
        (COMPACTION_THRESHOLD * factor) as usize
    }

    /// A transaction of so many changes was refused for its size. Returns whether there is anything left to make
    /// smaller.
    pub fn shrink_after_refusal(&mut self, changes: usize) -> bool {
        let before = *self;
        self.changes = self.changes.min((changes / 2).max(MIN_CHANGES));
        self.value_kb = (self.value_kb / 2.0).max(MIN_VALUE_KB).min(self.value_kb);
        self.exact_lengths = true;
        (self.changes, self.value_kb) != (before.changes, before.value_kb)
    }
}
