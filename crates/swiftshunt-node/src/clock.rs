//! The monotonic clock of the process, and Unix time.

use std::time::Instant;

use swiftshunt_types::Monotonic;

/// Monotonic time since the start of the process.
///
/// The system's monotonic clock advances while the process is suspended. Leases and the detection of
/// pauses rely on that.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose time is zero at this moment.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Monotonic {
        self.origin.elapsed()
    }
}

/// Returns the Unix time in seconds. It may jump, so it serves only for display and for deadlines
/// that are stated in Unix time.
pub fn unix_seconds() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs())
}
