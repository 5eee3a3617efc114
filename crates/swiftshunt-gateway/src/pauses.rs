//! Pauses between the pieces of a stream, as they were passed on: a stream that pauses for longer than
//! its route allows is late, however soon it began.

use std::time::Duration;

/// The pauses of one stream.
#[derive(Debug)]
pub(crate) struct StreamPauses {
    /// The longest pause that the route allows; none if it does not say.
    allowed: Option<Duration>,
    passed_at: Option<Duration>,
    longest: Duration,
}

impl StreamPauses {
    pub(crate) fn new(allowed: Option<Duration>) -> Self {
        Self {
            allowed,
            passed_at: None,
            longest: Duration::ZERO,
        }
    }

    /// A piece is passed on.
    pub(crate) fn record_chunk(&mut self, now: Duration) {
        if let Some(before) = self.passed_at {
            self.longest = self.longest.max(now.saturating_sub(before));
        }
        self.passed_at = Some(now);
    }

    /// The longest pause, if it was longer than the route allows.
    pub(crate) fn longest_over_limit(&self) -> Option<Duration> {
        let allowed = self.allowed?;
        (self.longest > allowed).then_some(self.longest)
    }
}
