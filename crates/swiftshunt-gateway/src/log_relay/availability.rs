//! Whether the log answers this gateway itself, and which others may help. Pure: time is given.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Calls in a row that failed after which the log may count as away.
const FAILURES: u32 = 2;
/// Time without an answer after which it does: where a part of the log is down, other calls succeed
/// all the time.
const QUIET: Duration = Duration::from_millis(600);
/// How long a gateway that could not help is not asked.
const DOUBT: Duration = Duration::from_secs(1);
/// Gateways that could not help, one after the other, after which none is asked for a while: the log
/// is then away for all.
const MOST_REFUSALS: u32 = 3;
/// That while.
const REST: Duration = Duration::from_secs(1);

/// What a gateway knows of its ways to the log.
#[derive(Debug, Default)]
pub(crate) struct LogAvailability {
    failures: u32,
    answered_at: Duration,
    is_away: bool,
    doubted_until: HashMap<SocketAddr, Duration>,
    helper: Option<SocketAddr>,
    refusals: u32,
    rests_until: Duration,
}

impl LogAvailability {
    /// Whether the log does not answer this gateway itself.
    pub(crate) fn is_away(&self) -> bool {
        self.is_away
    }

    /// A call of this gateway's own ended; tells whether the log came or went by it.
    pub(crate) fn record_call(&mut self, failed: bool, now: Duration) -> bool {
        let was_away = self.is_away;
        if failed {
            self.failures = self.failures.saturating_add(1);
            let is_quiet = now >= self.answered_at + QUIET;
            self.is_away |= self.failures >= FAILURES && is_quiet;
        } else {
            self.failures = 0;
            self.answered_at = now;
            self.is_away = false;
            self.helper = None;
        }
        was_away != self.is_away
    }

    /// Who of `others` is asked next: the last one that helped, else the first that may be asked.
    pub(crate) fn choose_relay(&self, others: &[SocketAddr], now: Duration) -> Option<SocketAddr> {
        if now < self.rests_until {
            return None;
        }
        let is_doubted = |other: &SocketAddr| {
            let until = self.doubted_until.get(other);
            until.is_some_and(|until| now < *until)
        };
        let last = self.helper.filter(|helper| others.contains(helper));
        let last = last.filter(|helper| !is_doubted(helper));
        last.or_else(|| others.iter().copied().find(|other| !is_doubted(other)))
    }

    /// Another gateway made a call for this one.
    pub(crate) fn record_relayed(&mut self, other: SocketAddr) {
        self.helper = Some(other);
        self.refusals = 0;
    }

    /// Another gateway could not help.
    pub(crate) fn record_refusal(&mut self, other: SocketAddr, now: Duration) {
        self.doubted_until.retain(|_, until| now < *until);
        self.doubted_until.insert(other, now + DOUBT);
        self.helper = None;
        self.refusals += 1;
        if self.refusals >= MOST_REFUSALS {
            self.refusals = 0;
            self.rests_until = now + REST;
        }
    }
}
