//! Quantities that must not be mixed up.

/// A moment, in milliseconds since an epoch of the user's choice.
///
/// ```
/// use dependency::{DurationMs, TimeMs};
/// assert_eq!(TimeMs(5_000).before(DurationMs(7_000)), TimeMs(-2_000));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeMs(pub i64);

impl TimeMs {
    /// The moment that lies `duration` earlier; at the ends of the range it saturates.
    pub fn before(self, duration: DurationMs) -> Self {
        Self(self.0.saturating_sub_unsigned(duration.0))
    }
}

/// A length of time, in milliseconds.
///
/// ```
/// assert!(dependency::DurationMs(999) < dependency::DurationMs(1_000));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DurationMs(pub u64);

/// A priority: the greater value is served first.
///
/// ```
/// assert!(dependency::Priority(3) > dependency::Priority(1));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u8);
