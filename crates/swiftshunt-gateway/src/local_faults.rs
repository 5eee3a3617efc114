//! Detection of faults of this gateway or its network links: sends fail at many workers at the same time.

use std::collections::VecDeque;
use std::time::Duration;

/// Time within which failures at many workers indicate a fault of this gateway's own links: connections that are reset
/// together fail within milliseconds of each other, and time-outs end at about the same time.
const FAILURE_WINDOW: Duration = Duration::from_millis(300);
/// One in this many workers of a service may fail within `FAILURE_WINDOW` before this gateway counts as the cause: a
/// rack or zone, whose workers may fail together, has a smaller share of the workers.
const MAX_FAILING_DIVISOR: usize = 4;
/// Number of workers that may fail in any case, for services with few workers.
const MIN_FAILING_LIMIT: usize = 3;

/// The workers at which sends of this gateway failed within `FAILURE_WINDOW`.
#[derive(Default)]
pub(crate) struct LocalFaultDetector {
    recent: VecDeque<(Duration, String)>,
}

impl LocalFaultDetector {
    /// Records that a send to a worker failed.
    pub(crate) fn record_failure(&mut self, incarnation: &str, now: Duration) {
        self.recent.retain(|(at, _)| now < *at + FAILURE_WINDOW);
        if !self.recent.iter().any(|(_, known)| known == incarnation) {
            self.recent.push_back((now, incarnation.to_owned()));
        }
    }

    /// Returns the number of workers at which sends failed within `FAILURE_WINDOW` before the last failure.
    pub(crate) fn failing_workers(&self) -> usize {
        self.recent.len()
    }

    /// Whether too many of a service's `workers` failed for the cause to be the workers themselves.
    pub(crate) fn is_local_fault(&self, workers: usize) -> bool {
        self.failing_workers() > MIN_FAILING_LIMIT.max(workers / MAX_FAILING_DIVISOR)
    }
}
