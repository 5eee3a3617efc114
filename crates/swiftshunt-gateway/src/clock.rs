//! The clocks of the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Time since the process started; never steps back. A time in which the machine was suspended counts: what a
/// gateway believed before (leases, the directory, that the configuration is in force) is as old as it is for
/// everybody else. The runtime's timers do not count such a time, and what they end may have been over for
/// long; whoever acts on an age asks this clock.
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

    /// Milliseconds of Unix time; 0 before its beginning. The time of day may jump: it never decides
    /// what is true, only what goes first.
    pub(crate) fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }
}

/// Time since the machine started, suspensions included.
fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    // Neither is negative: the clock begins at 0, and nanoseconds are those of a second.
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
