//! The retry budget: retries are limited to a share of first attempts, so that they cannot multiply
//! an overload.

use std::time::Duration;

use rand::Rng;

/// The retries that a node may still make.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    available: f64,
}

impl RetryBudget {
    /// Creates a full budget: `ratio` retries are added for each first attempt, up to `burst`.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            available: burst,
        }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.available = (self.available + self.ratio).min(self.burst);
    }

    /// Takes a retry from the budget. Returns whether there was one.
    pub fn try_take_retry(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Upper bound of the pause between attempts.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Doublings after which the pause no longer grows.
const MAX_DOUBLINGS: u32 = 6;

/// Returns the pause before attempt number `attempt`, with jitter: a random time between half and
/// all of the exponential backoff.
pub fn backoff(base: Duration, attempt: u32, random: &mut impl Rng) -> Duration {
    let max_pause = (base * 2_u32.pow(attempt.min(MAX_DOUBLINGS))).min(MAX_PAUSE);
    max_pause.mul_f64(random.random_range(0.5..=1.0))
}
