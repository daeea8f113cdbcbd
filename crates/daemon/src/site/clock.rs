//! Clocks of an entry.

use std::time::Duration;
use std::time::SystemTime;

use rustix::time::ClockId;
use wigeonhinge::Time;

/// Returns the time since the machine started, with the time for which it stood still.
///
/// The steady clock of the standard library does not count a freeze, so a
/// lease that ended meanwhile would look valid.
pub(crate) fn now() -> Time {
    let time = rustix::time::clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}

/// Returns the time of day in milliseconds since 1970.
pub(crate) fn wall_ms() -> i64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |time| time.as_millis() as i64)
}
