//! Token buckets for tenants.

use swiftshunt_types::Monotonic;

/// A token bucket that refills at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Monotonic,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn full(capacity: f64, now: Monotonic) -> Self {
        Self {
            tokens: capacity,
            refilled_at: now,
        }
    }

    /// Takes one token. If none is available, the error is the time until the next one, limited to
    /// 60 s.
    pub fn try_take(&mut self, rate: f64, capacity: f64, now: Monotonic) -> Result<(), Monotonic> {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(capacity);
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(wait_for((1.0 - self.tokens) / rate))
    }
}

/// Upper bound of the reported wait, which is also the wait for a rate of zero.
const MAX_WAIT: Monotonic = Monotonic::from_secs(60);

fn wait_for(seconds: f64) -> Monotonic {
    Monotonic::try_from_secs_f64(seconds).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
}
