//! A steady rate with a small burst.

use std::time::Duration;

use super::{ColdBound, HANDED_OUT_WITHIN};

/// Most starts that are handed out at the same moment by one keeper, as far as the bound allows.
const LARGEST_BURST: f64 = 2.0;

/// How fast starts are handed out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Starts a second in the long run.
    pub per_second: f64,
    /// Starts at the same moment at most; none are handed out where it is below one.
    pub burst: f64,
}

impl Pace {
    /// The fastest that hands out no more than `most` within the time in which those that may be sent in the
    /// same second are handed out, and no more than `per_second` in the long run.
    pub fn within(most: u32, per_second: f64) -> Self {
        let most = f64::from(most);
        let window = HANDED_OUT_WITHIN.as_secs_f64();
        let burst = (most - per_second * window).clamp(1.0, LARGEST_BURST);
        Self {
            per_second: per_second.min((most - burst) / window).max(0.0),
            burst: burst.min(most),
        }
    }

    /// That of all keepers together: by it an owner of slots spares requests the way to a worker that has no
    /// start left.
    pub fn of_all(bound: &ColdBound) -> Self {
        Self {
            per_second: bound.per_second,
            burst: LARGEST_BURST.min(bound.in_a_second).max(1.0),
        }
    }
}

/// What is left at a pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Left {
    starts: f64,
    at: Duration,
}

impl Left {
    /// All that a pace allows at once.
    pub fn full(pace: Pace, now: Duration) -> Self {
        let starts = pace.burst;
        Self { starts, at: now }
    }

    fn refill(&mut self, pace: Pace, now: Duration) {
        let since = now.saturating_sub(self.at).as_secs_f64();
        self.starts = (self.starts + since * pace.per_second).min(pace.burst);
        self.at = self.at.max(now);
    }

    /// Takes one; gives the time until there may be one where there is none.
    pub fn take(&mut self, pace: Pace, now: Duration) -> Result<(), Duration> {
        self.refill(pace, now);
        if self.starts >= 1.0 {
            self.starts -= 1.0;
            return Ok(());
        }
        if pace.burst < 1.0 || pace.per_second <= 0.0 {
            return Err(HANDED_OUT_WITHIN);
        }
        let wait = (1.0 - self.starts) / pace.per_second;
        Err(Duration::from_secs_f64(wait).min(HANDED_OUT_WITHIN))
    }

    /// Whether there is one.
    pub fn has_one(&self, pace: Pace, now: Duration) -> bool {
        let mut left = *self;
        left.take(pace, now).is_ok()
    }
}
