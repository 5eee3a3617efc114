//! The clocks of the process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time since the process started; never steps.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Milliseconds of Unix time; 0 before its beginning. The time of day may jump: it never decides
    /// what is true, only what goes first.
    pub(crate) fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }
}
