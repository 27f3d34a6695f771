//! Limits on the sizes of records and transactions, for everything that is written to the state service.
//!
//! The settings may announce limits that will take effect without notice. Everything written then fits both sets from
//! the start, so that the change does not have to be detected and nothing stored by this version is ever too large.
//! Larger records stored before stay readable; `store::inventory_split` and the writers of each kind of record
//! rewrite them.
//!
//! A transaction that is refused for its size nevertheless lowers the limits ([`WriteLimits::shrink_after_refusal`]).
//! They are not raised again while the process runs, because each wrong guess costs writes.

use wire::settings::{Settings, StateLimits};

/// Fraction of the limit on values that records may fill, as a margin to the length that the service counts.
const FILL_FACTOR: f64 = 0.95;
/// The service allows this many conditions per change of a transaction.
const CONDITIONS_PER_CHANGE: usize = 4;
/// Refusals lower the limits no further than this: every record has a form that fits.
pub const MIN_CHANGES: usize = 4;
pub const MIN_VALUE_KB: f64 = 1.0;
/// Number of log records above which the oldest is compacted, and how far it is raised where records are smaller.
const COMPACTION_THRESHOLD: f64 = 400.0;
const MAX_THRESHOLD_FACTOR: f64 = 4.0;

/// Limits that everything written keeps to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WriteLimits {
    value_kb: f64,
    /// Maximum number of changes per transaction.
    changes: usize,
    requests_per_s: f64,
    changes_per_s: f64,
    /// The limit on values that the settings give as current, before any reduction.
    stored_kb: f64,
    /// Whether the lengths of records are computed exactly instead of bounded roughly, because records may have to be
    /// as small as possible.
    exact_lengths: bool,
}

impl WriteLimits {
    /// The smaller of the current and the announced limits in the settings.
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

    /// Typical limits, with values of this size.
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

    /// Maximum length of a value in KiB, as the service counts it.
    pub fn value_kb(&self) -> f64 {
        self.value_kb
    }

    /// Maximum length of a record in bytes, with a margin to the limit on values.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0 * FILL_FACTOR) as usize
    }

    /// Maximum number of changes per transaction.
    pub fn changes(&self) -> usize {
        self.changes
    }

    /// Maximum number of conditions per transaction.
    pub fn max_conditions(&self) -> usize {
        self.changes * CONDITIONS_PER_CHANGE
    }

    /// Requests per second that all controllers together may make.
    pub fn requests_per_s(&self) -> f64 {
        self.requests_per_s
    }

    /// Changes per second that all controllers together may make.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_s
    }

    /// Whether the lengths of records are computed exactly.
    pub fn are_tight(&self) -> bool {
        self.exact_lengths
    }

    /// Number of log records above which the oldest is compacted. It is higher where records are smaller, so that the
    /// log takes about the same number of bytes.
    pub fn compaction_threshold(&self) -> usize {
        let factor = (self.stored_kb / self.value_kb).clamp(1.0, MAX_THRESHOLD_FACTOR);
        (COMPACTION_THRESHOLD * factor) as usize
    }

    /// Lowers the limits after a transaction with this many changes was refused for its size. Returns false if they
    /// could not be lowered further.
    pub fn shrink_after_refusal(&mut self, changes: usize) -> bool {
        let previous = *self;
        self.changes = self.changes.min((changes / 2).max(MIN_CHANGES));
        self.value_kb = (self.value_kb / 2.0).max(MIN_VALUE_KB).min(self.value_kb);
        self.exact_lengths = true;
        (self.changes, self.value_kb) != (previous.changes, previous.value_kb)
    }
}
