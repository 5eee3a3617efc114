//! Pauses between the forwarded chunks of a stream. A stream that pauses for longer than its route allows counts as
//! late, even if its first chunk was in time.

use std::time::Duration;

/// The pauses of one stream.
#[derive(Debug)]
pub(crate) struct StreamPauses {
    /// Longest pause that the route allows; `None` if the route sets no limit.
    allowed: Option<Duration>,
    last_chunk_at: Option<Duration>,
    longest: Duration,
}

impl StreamPauses {
    pub(crate) fn new(allowed: Option<Duration>) -> Self {
        Self {
            allowed,
            last_chunk_at: None,
            longest: Duration::ZERO,
        }
    }

    /// Records that a chunk is forwarded.
    pub(crate) fn record_chunk(&mut self, now: Duration) {
        if let Some(before) = self.last_chunk_at {
            self.longest = self.longest.max(now.saturating_sub(before));
        }
        self.last_chunk_at = Some(now);
    }

    /// Returns the longest pause if it was longer than the route allows.
    pub(crate) fn longest_over_limit(&self) -> Option<Duration> {
        let allowed = self.allowed?;
        (self.longest > allowed).then_some(self.longest)
    }
}
