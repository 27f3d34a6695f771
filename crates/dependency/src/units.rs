//! Newtypes for quantities that must not be confused.

/// A point in time, in milliseconds since an epoch of the caller's choice.
///
/// ```
/// use dependency::{DurationMs, TimeMs};
/// assert_eq!(TimeMs(5_000).before(DurationMs(7_000)), TimeMs(-2_000));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeMs(pub i64);

impl TimeMs {
    /// The time that is `duration` earlier. Saturates at the limits of the range.
    pub fn before(self, duration: DurationMs) -> Self {
        Self(self.0.saturating_sub_unsigned(duration.0))
    }
}

/// A duration, in milliseconds.
///
/// ```
/// assert!(dependency::DurationMs(999) < dependency::DurationMs(1_000));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DurationMs(pub u64);

/// A priority; greater values are served first.
///
/// ```
/// assert!(dependency::Priority(3) > dependency::Priority(1));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u8);
