//! The retry budget: retries are a share of first tries, so that they cannot multiply an overload.

use std::time::Duration;

use rand::Rng;

/// Retries that a node may still make.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    available: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            available: burst,
        }
    }

    /// Counts a first try.
    pub fn record_first_attempt(&mut self) {
        self.available = (self.available + self.ratio).min(self.burst);
    }

    /// Takes a retry, if the budget holds one.
    pub fn try_take_retry(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Longest pause between tries.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Doublings after which the pause no longer grows.
const MOST_DOUBLINGS: u32 = 6;

/// The pause before try number `attempt`, with full jitter: between half and all of an exponential.
pub fn backoff(base: Duration, attempt: u32, random: &mut impl Rng) -> Duration {
    let longest = (base * 2_u32.pow(attempt.min(MOST_DOUBLINGS))).min(LONGEST_PAUSE);
    longest.mul_f64(random.random_range(0.5..=1.0))
}
