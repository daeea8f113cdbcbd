//! Clocks of an entry.

use std::time::Duration;
use std::time::SystemTime;

use rustix::time::ClockId;
use wigeonhinge::Time;

/// Returns the time since the machine booted, including the time for which it was suspended.
///
/// The monotonic clock of the standard library stops while the machine is suspended, so a lease
/// that ended in that time would look valid.
pub(crate) fn now() -> Time {
    let time = rustix::time::clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> i64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |time| time.as_millis() as i64)
}
