//! Whether the log answers this gateway itself, and which others may help. Pure: time is given.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Calls in a row that failed after which the log may count as away.
const FAILURE_THRESHOLD: u32 = 2;
/// Time without an answer after which it does: where a part of the log is down, other calls succeed
/// all the time.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a gateway that could not help is not asked.
const SUSPICION_DURATION: Duration = Duration::from_secs(1);
/// Gateways that could not help, one after the other, after which none is asked for a while: the log
/// is then away for all.
const MAX_CONSECUTIVE_REFUSALS: u32 = 3;
/// That while.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

/// What a gateway knows of its ways to the log.
#[derive(Debug, Default)]
pub(crate) struct LogAvailability {
    failures: u32,
    answered_at: Duration,
    is_unavailable: bool,
    suspected_until: HashMap<SocketAddr, Duration>,
    last_relay: Option<SocketAddr>,
    refusals: u32,
    paused_until: Duration,
}

impl LogAvailability {
    /// Whether the log does not answer this gateway itself.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// A call of this gateway's own ended; tells whether the log came or went by it.
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

    /// Who of `others` is asked next: the last one that helped, else the first that may be asked.
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

    /// Another gateway made a call for this one.
    pub(crate) fn record_relayed(&mut self, other: SocketAddr) {
        self.last_relay = Some(other);
        self.refusals = 0;
    }

    /// Another gateway could not help.
    pub(crate) fn record_refusal(&mut self, other: SocketAddr, now: Duration) {
        self.suspected_until.retain(|_, until| now < *until);
        self.suspected_until.insert(other, now + SUSPICION_DURATION);
        self.last_relay = None;
        self.refusals += 1;
        if self.refusals >= MAX_CONSECUTIVE_REFUSALS {
            self.refusals = 0;
            self.paused_until = now + REFUSAL_PAUSE;
        }
    }
}
