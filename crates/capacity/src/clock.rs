//! The one clock of a run: processes of one machine agree on it.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970.
pub type Millis = u64;

/// The time of day.
pub fn now() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as Millis
}
