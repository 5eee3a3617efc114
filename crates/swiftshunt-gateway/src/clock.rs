//! The clocks of the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, Timespec, clock_gettime};

/// A monotonic clock that starts at zero with the gateway. It includes the time in which the machine was suspended:
/// after a suspension, leases, the directory and the confirmation of the configuration are as old as for every other
/// machine. The runtime's timers do not include that time and may fire long after the deadline, so code that depends
/// on an age reads this clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Duration,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        since_boot().saturating_sub(self.start)
    }

    /// Returns the Unix time in milliseconds; 0 before 1970. The system time may jump, so it is used only to order
    /// work, never to decide whether something has expired.
    pub(crate) fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }
}

/// Returns the time since the machine started, including suspensions.
fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    // Neither number is negative: the clock begins at 0, and the nanoseconds are below one second.
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
