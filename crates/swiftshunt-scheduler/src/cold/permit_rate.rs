//! A steady rate with a small burst.

use std::time::Duration;

use super::{ColdBound, ISSUE_WINDOW};

/// Most starts that are handed out at the same moment by one keeper, as far as the bound allows.
const LARGEST_BURST: f64 = 2.0;

/// How fast starts are handed out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitRate {
    /// Starts a second in the long run.
    pub per_second: f64,
    /// Starts at the same moment at most; none are handed out where it is below one.
    pub burst: f64,
}

impl PermitRate {
    /// The fastest that hands out no more than `most` within the time in which those that may be sent in the
    /// same second are handed out, and no more than `per_second` in the long run.
    pub fn within(most: u32, per_second: f64) -> Self {
        let most = f64::from(most);
        let window = ISSUE_WINDOW.as_secs_f64();
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
            burst: LARGEST_BURST.min(bound.max_in_one_second).max(1.0),
        }
    }
}

/// What is left at a pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitBucket {
    permits: f64,
    at: Duration,
}

impl PermitBucket {
    /// All that a pace allows at once.
    pub fn full(permit_rate: PermitRate, now: Duration) -> Self {
        let permits = permit_rate.burst;
        Self { permits, at: now }
    }

    fn refill(&mut self, permit_rate: PermitRate, now: Duration) {
        let since = now.saturating_sub(self.at).as_secs_f64();
        self.permits = (self.permits + since * permit_rate.per_second).min(permit_rate.burst);
        self.at = self.at.max(now);
    }

    /// Takes one; gives the time until there may be one where there is none.
    pub fn try_take(&mut self, permit_rate: PermitRate, now: Duration) -> Result<(), Duration> {
        self.refill(permit_rate, now);
        if self.permits >= 1.0 {
            self.permits -= 1.0;
            return Ok(());
        }
        if permit_rate.burst < 1.0 || permit_rate.per_second <= 0.0 {
            return Err(ISSUE_WINDOW);
        }
        let wait = (1.0 - self.permits) / permit_rate.per_second;
        Err(Duration::from_secs_f64(wait).min(ISSUE_WINDOW))
    }

    /// Whether there is one.
    pub fn has_permit(&self, permit_rate: PermitRate, now: Duration) -> bool {
        let mut bucket = *self;
        bucket.try_take(permit_rate, now).is_ok()
    }
}
