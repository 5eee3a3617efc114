//! Tracks whether the log answers this gateway directly, and which other gateways may relay its calls. Callers pass in
//! the time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of consecutive failed calls from which on the log may count as unavailable.
const FAILURE_THRESHOLD: u32 = 2;
/// Time without a successful call that must also have passed before the log counts as unavailable. While only a part of
/// the log is down, other calls keep succeeding, and the log stays available.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a gateway is skipped after a call through it failed.
const SUSPICION_DURATION: Duration = Duration::from_secs(1);
/// Number of consecutive failed calls through other gateways after which none is tried for [`RELAY_PAUSE`], since
/// the log is then considered unavailable to all gateways.
const MAX_CONSECUTIVE_RELAY_FAILURES: u32 = 3;
/// Pause of relaying after [`MAX_CONSECUTIVE_RELAY_FAILURES`].
const RELAY_PAUSE: Duration = Duration::from_secs(1);

/// State of a gateway's access to the log, direct and through other gateways.
#[derive(Debug, Default)]
pub(crate) struct LogAvailability {
    failures: u32,
    answered_at: Duration,
    is_unavailable: bool,
    suspected_until: HashMap<SocketAddr, Duration>,
    last_relay: Option<SocketAddr>,
    relay_failures: u32,
    paused_until: Duration,
}

impl LogAvailability {
    /// Whether the log does not answer this gateway's direct calls.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Records the end of a direct call. Returns whether the log became unavailable or available by it.
    pub(crate) fn record_call(&mut self, failed: bool, now: Duration) -> bool {
        let was_unavailable = self.is_unavailable;
        if failed {
            self.failures = self.failures.saturating_add(1);
            let is_unanswered = now >= self.answered_at + UNANSWERED_TIMEOUT;
            self.is_unavailable |= self.failures >= FAILURE_THRESHOLD && is_unanswered;
        } else {
            self.failures = 0;
            self.answered_at = now;
            self.is_unavailable = false;
            self.last_relay = None;
        }
        was_unavailable != self.is_unavailable
    }

    /// Returns which of `others` to use as relay: the last one that relayed a call, else the first that is not
    /// suspected. Returns `None` during a pause or if all are suspected.
    pub(crate) fn choose_relay(&self, others: &[SocketAddr], now: Duration) -> Option<SocketAddr> {
        if now < self.paused_until {
            return None;
        }
        let is_suspected = |other: &SocketAddr| {
            let until = self.suspected_until.get(other);
            until.is_some_and(|until| now < *until)
        };
        let last = self
            .last_relay
            .filter(|last_relay| others.contains(last_relay));
        let last = last.filter(|last_relay| !is_suspected(last_relay));
        last.or_else(|| others.iter().copied().find(|other| !is_suspected(other)))
    }

    /// Records that a call through another gateway succeeded.
    pub(crate) fn record_relayed(&mut self, other: SocketAddr) {
        self.last_relay = Some(other);
        self.relay_failures = 0;
    }

    /// Records that a call through another gateway failed.
    pub(crate) fn record_relay_failure(&mut self, other: SocketAddr, now: Duration) {
        self.suspected_until.retain(|_, until| now < *until);
        self.suspected_until.insert(other, now + SUSPICION_DURATION);
        self.last_relay = None;
        self.relay_failures += 1;
        if self.relay_failures >= MAX_CONSECUTIVE_RELAY_FAILURES {
            self.relay_failures = 0;
            self.paused_until = now + RELAY_PAUSE;
        }
    }
}
