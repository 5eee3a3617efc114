//! Counts requests admitted within a sliding window.

use std::time::Duration;

/// Number of parts of the window; each is cleared as a whole.
const PARTS: usize = 10;
/// Length of a part.
const PART_LENGTH: Duration = Duration::from_millis(500);
/// Length of the window over which requests are counted.
pub const USAGE_WINDOW: Duration = Duration::from_secs(5);

/// Number of requests within the last [`USAGE_WINDOW`].
#[derive(Clone, Debug, Default)]
pub struct Usage {
    parts: [u32; PARTS],
    newest: u64,
}

impl Usage {
    /// Counts one request.
    pub fn add(&mut self, now: Duration) {
        self.roll(now);
        self.parts[self.newest as usize % PARTS] += 1;
    }

    /// Returns the number of requests in the window that ends `now`.
    pub fn total(&mut self, now: Duration) -> u32 {
        self.roll(now);
        self.parts.iter().sum()
    }

    fn roll(&mut self, now: Duration) {
        let part = (now.as_millis() / PART_LENGTH.as_millis()) as u64;
        let passed = part.saturating_sub(self.newest).min(PARTS as u64);
        for step in 1..=passed {
            self.parts[(part - passed + step) as usize % PARTS] = 0;
        }
        self.newest = self.newest.max(part);
    }
}
