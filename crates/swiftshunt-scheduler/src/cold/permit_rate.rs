//! A token bucket for start permits: a sustained rate with a small burst.

use std::time::Duration;

use super::{ColdBound, ISSUE_WINDOW};

/// Most permits that one issuer issues at the same moment, if the bound allows as many.
const MAX_BURST: f64 = 2.0;

/// The rate at which permits are issued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitRate {
    /// Sustained rate in permits per second.
    pub per_second: f64,
    /// Most permits that are issued at the same moment; no permits are issued if this is below 1.
    pub burst: f64,
}

impl PermitRate {
    /// Returns the highest rate at which at most `max_permits` are issued within [`ISSUE_WINDOW`],
    /// the time in which the permits for sends of the same second are issued, and at most
    /// `per_second` in the long run.
    pub fn within(max_permits: u32, per_second: f64) -> Self {
        let max_permits = f64::from(max_permits);
        let window = ISSUE_WINDOW.as_secs_f64();
        let burst = (max_permits - per_second * window).clamp(1.0, MAX_BURST);
        Self {
            per_second: per_second.min((max_permits - burst) / window).max(0.0),
            burst: burst.min(max_permits),
        }
    }

    /// Returns the combined rate of all issuers. A slot owner uses it to avoid assigning requests
    /// to a worker for which no permits are left.
    pub fn of_all(bound: &ColdBound) -> Self {
        Self {
            per_second: bound.per_second,
            burst: MAX_BURST.min(bound.max_in_one_second).max(1.0),
        }
    }
}

/// A token bucket of start permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitBucket {
    permits: f64,
    refilled_at: Duration,
}

impl PermitBucket {
    /// Creates a bucket that holds the burst of `permit_rate`.
    pub fn full(permit_rate: PermitRate, now: Duration) -> Self {
        let permits = permit_rate.burst;
        Self {
            permits,
            refilled_at: now,
        }
    }

    fn refill(&mut self, permit_rate: PermitRate, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.permits = (self.permits + elapsed * permit_rate.per_second).min(permit_rate.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes a permit. If none is available, the error is the time until there may be one.
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
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(ISSUE_WINDOW);
        Err(wait.min(ISSUE_WINDOW))
    }

    /// Returns whether a permit is available.
    pub fn has_permit(&self, permit_rate: PermitRate, now: Duration) -> bool {
        let mut bucket = *self;
        bucket.try_take(permit_rate, now).is_ok()
    }
}
