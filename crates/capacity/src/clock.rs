//! The one clock of a run: steady, and the same for all processes of this machine.

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since the machine began.
pub type Millis = u64;

/// The time now. It never goes back, which the order of what different processes tell rests on.
pub fn now() -> Millis {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as Millis * 1000 + now.tv_nsec as Millis / 1_000_000
}
