//! Sends that fail at many workers together: then the cause is likely to be this gateway or its links.

use std::collections::VecDeque;
use std::time::Duration;

/// Time within which failures at many workers show that this gateway's own links fail: connections
/// that are reset together show it within milliseconds, time-outs within theirs.
const TOGETHER: Duration = Duration::from_millis(300);
/// Share of a service's workers at which sends may fail within that time before this gateway takes
/// itself for the cause: racks and zones of workers are smaller.
const MOST_FAILING_SHARE: usize = 4;
/// The same where a service has few workers.
const FEWEST_FAILING: usize = 3;

/// Workers at which sends of this gateway failed a moment ago.
#[derive(Default)]
pub(crate) struct LocalFaultDetector {
    recent: VecDeque<(Duration, String)>,
}

impl LocalFaultDetector {
    /// Records that a send to a worker failed.
    pub(crate) fn record_failure(&mut self, incarnation: &str, now: Duration) {
        self.recent.retain(|(at, _)| now < *at + TOGETHER);
        if !self.recent.iter().any(|(_, known)| known == incarnation) {
            self.recent.push_back((now, incarnation.to_owned()));
        }
    }

    /// At how many workers sends have failed of late.
    pub(crate) fn failing_workers(&self) -> usize {
        self.recent.len()
    }

    /// Whether these are too many of a service's `workers` for the cause to be theirs.
    pub(crate) fn is_local_fault(&self, workers: usize) -> bool {
        self.failing_workers() > FEWEST_FAILING.max(workers / MOST_FAILING_SHARE)
    }
}
