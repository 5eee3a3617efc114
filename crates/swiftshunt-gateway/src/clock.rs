//! The steady clock of the process.

use std::time::{Duration, Instant};

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
}
