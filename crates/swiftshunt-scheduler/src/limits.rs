//! Token buckets for tenants.

use swiftshunt_types::Monotonic;

/// A bucket that refills evenly.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Monotonic,
}

impl TokenBucket {
    /// A full bucket.
    pub fn full(capacity: f64, now: Monotonic) -> Self {
        Self {
            tokens: capacity,
            refilled_at: now,
        }
    }

    /// Takes one token, or tells after how long one will be there.
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

/// Longest wait that is told to anybody; also the answer for a rate of zero.
const LONGEST_WAIT: Monotonic = Monotonic::from_secs(60);

fn wait_for(seconds: f64) -> Monotonic {
    Monotonic::try_from_secs_f64(seconds).map_or(LONGEST_WAIT, |wait| wait.min(LONGEST_WAIT))
}
