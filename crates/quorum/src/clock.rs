//! The clocks of the host.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use base::Incarnation;
use base::Time;

/// The time since the host booted. This clock keeps running while the host sleeps.
pub fn now() -> Time {
    let spec = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(spec.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(spec.tv_nsec).unwrap_or(0);
    Time(secs * 1_000_000 + nanos / 1_000)
}

/// The time since 1970 by the host's wall clock.
pub fn wall_clock() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO)
}

/// An incarnation that is larger than that of any earlier process on this host, as
/// long as the wall clock does not go back.
pub fn new_incarnation() -> Incarnation {
    Incarnation(wall_clock().as_micros() as u64)
}
