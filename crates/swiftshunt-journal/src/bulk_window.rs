//! A limit of concurrent bulk reads of the log that adapts to their duration. This module does no I/O: the caller
//! measures the durations.

use std::time::Duration;

/// Initial, lowest and highest limit of concurrent reads.
const INITIAL_LIMIT: f64 = 2.0;
const MIN_LIMIT: f64 = 1.0;
const MAX_LIMIT: f64 = 6.0;
/// Duration of a read up to which the limit rises, so that an urgent read waits behind a bulk read for at most about
/// this long.
const SHORT_READ: Duration = Duration::from_millis(250);
/// Duration of a read from which the limit falls.
const LONG_READ: Duration = Duration::from_millis(500);
/// Factor applied to the limit after a read that took long or failed.
const BACK_OFF_FACTOR: f64 = 0.5;

/// The number of reads in flight and its limit, which rises while responses arrive soon and is halved after one that
/// arrived late or never. This keeps the data in flight on a slow link near what the link delivers within 250 to
/// 500 ms.
#[derive(Debug)]
pub struct BulkWindow {
    limit: f64,
    in_flight: u32,
}

impl Default for BulkWindow {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            in_flight: 0,
        }
    }
}

impl BulkWindow {
    /// Starts a read if the limit allows it; returns whether it did. Each started read needs a call of `record_end`.
    pub fn try_begin(&mut self) -> bool {
        let may_start = f64::from(self.in_flight) + 1.0 <= self.limit;
        self.in_flight += u32::from(may_start);
        may_start
    }

    /// Records the end of a read and adapts the limit; `duration` is `None` if the read failed.
    pub fn record_end(&mut self, duration: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match duration {
            Some(duration) if duration <= SHORT_READ => {
                self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT)
            }
            Some(duration) if duration < LONG_READ => {}
            Some(_) | None => self.limit = (self.limit * BACK_OFF_FACTOR).max(MIN_LIMIT),
        }
    }
}
