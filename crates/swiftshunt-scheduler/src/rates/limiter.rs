//! Gateway side of a tenant's rate limit: credits from the counter, and the gateway's own share for
//! times without a counter.

use std::collections::VecDeque;
use std::time::Duration;

use swiftshunt_types::RateLimit;

use super::bucket::{CreditRequest, CreditResponse, RemainingCredits};
use super::{CREDIT_TTL, USAGE_WINDOW, Usage, gateway_share, max_saved_requests};

/// Time for which credits are prefetched, at the recent rate of requests.
const PREFETCH_WINDOW: Duration = Duration::from_millis(1_500);
/// Most credits that a gateway prefetches.
const MAX_PREFETCH: u32 = 64;
/// Pause before a prefetch is repeated, since the previous one may be lost.
const PREFETCH_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Age up to which the counter's report of all gateways' requests is used.
const COUNTER_REPORT_TTL: Duration = Duration::from_secs(30);
/// Time for which the highest of these reports is remembered.
const PEAK_TTL: Duration = Duration::from_secs(15);
/// Time for which a gateway decides by its own share after a `DecideAlone` response.
const OWN_SHARE_PERIOD: Duration = Duration::from_millis(500);

/// Credits granted by one response.
#[derive(Clone, Copy, Debug)]
struct Credits {
    count: u32,
    until: Duration,
}

/// The last report of a counter.
#[derive(Clone, Copy, Debug)]
struct CounterReport {
    /// Requests admitted by all gateways within the usage window.
    recent: u32,
    /// Credits that the counter had left.
    left: u32,
    counter: u64,
    at: Duration,
}

/// Requests that this gateway may admit without the counter: its share of the rate, less the
/// requests admitted.
#[derive(Clone, Copy, Debug)]
struct OwnShare {
    share: f64,
    level: f64,
    /// Highest level that the share may save up to.
    max_level: f64,
    refilled_at: Duration,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmitDecision {
    /// The request is admitted.
    Admitted,
    /// The counter must be asked.
    AskCounter,
    /// The request must be decided by this gateway's own share.
    UseOwnShare,
    /// The limit is reached.
    Refused {
        /// Time after which a credit is likely to be available.
        again_after: Duration,
    },
}

/// Rate limiter of one tenant at one gateway.
#[derive(Debug, Default)]
pub struct TenantLimiter {
    credits: VecDeque<Credits>,
    unused: u32,
    usage: Usage,
    first_response_at: Option<Duration>,
    used_at: Duration,
    asked_at: Option<Duration>,
    exhausted_until: Duration,
    last_report: Option<CounterReport>,
    /// The highest recent report.
    peak: Option<CounterReport>,
    own_share_until: Duration,
    own: Option<OwnShare>,
    /// Requests admitted from the own share that no counter has acknowledged, and how many of them
    /// the last credit request covered.
    own_share_admitted: u32,
    own_share_reported: u32,
}

impl TenantLimiter {
    /// Decides about a request from the credits held here.
    pub fn admit(&mut self, limit: RateLimit, gateways: usize, now: Duration) -> AdmitDecision {
        self.used_at = now;
        self.expire(now);
        if self.take_credit() {
            self.usage.add(now);
            let own = self.own_share(limit, gateways, now);
            own.level = (own.level - 1.0).max(0.0);
            return AdmitDecision::Admitted;
        }
        if now < self.exhausted_until {
            return AdmitDecision::Refused {
                again_after: self.exhausted_until - now,
            };
        }
        if now < self.own_share_until {
            return AdmitDecision::UseOwnShare;
        }
        AdmitDecision::AskCounter
    }

    /// Decides about a request from this gateway's own share. Returns whether it is admitted.
    pub fn admit_from_own_share(
        &mut self,
        limit: RateLimit,
        gateways: usize,
        now: Duration,
    ) -> bool {
        self.used_at = now;
        let own = self.own_share(limit, gateways, now);
        if own.level < 1.0 {
            return false;
        }
        own.level -= 1.0;
        self.own_share_admitted += 1;
        self.usage.add(now);
        true
    }

    /// Returns the own share, refilled up to `now`. It starts at level 0, since a gateway that has
    /// just started does not know how many requests were admitted before.
    fn own_share(&mut self, limit: RateLimit, gateways: usize, now: Duration) -> &mut OwnShare {
        let own = self.own.get_or_insert(OwnShare {
            share: gateway_share(0, 0, gateways),
            level: 0.0,
            max_level: 0.0,
            refilled_at: now,
        });
        let elapsed = now.saturating_sub(own.refilled_at).as_secs_f64();
        let refilled = elapsed * limit.per_second * own.share;
        own.max_level = max_saved_requests(limit, own.share);
        own.level = (own.level + refilled).min(own.max_level);
        own.refilled_at = now;
        own
    }

    /// Returns when a request was last decided.
    pub fn used_at(&self) -> Duration {
        self.used_at
    }

    /// Returns the requests recently admitted here, the requests admitted by all gateways as last
    /// reported by the counter, and the age of that report.
    pub fn figures(&mut self, now: Duration) -> UsageFigures {
        let last_report = self
            .last_report
            .filter(|report| now < report.at + COUNTER_REPORT_TTL);
        UsageFigures {
            here: self.usage.total(now),
            by_all: last_report.map(|report| report.recent),
            age: last_report.map(|report| now.saturating_sub(report.at)),
        }
    }

    /// Puts back the credit of an admitted request that was not sent to any worker.
    pub fn refund_credit(&mut self, now: Duration) {
        // The credit expires soon, so that it does not outlive credits that were granted with it.
        let until = now + PREFETCH_RETRY_INTERVAL;
        self.credits.push_front(Credits { count: 1, until });
    }

    /// Builds the credit request to the counter identified by `counter`, for `need` waiting
    /// requests.
    pub fn credit_request(&mut self, need: u32, counter: u64, now: Duration) -> CreditRequest {
        self.expire(now);
        let last_report = self.last_report.filter(|report| report.counter != counter);
        let last_report = last_report.filter(|report| now < report.at + USAGE_WINDOW);
        self.asked_at = Some(now);
        self.own_share_reported = self.own_share_admitted;
        CreditRequest {
            need,
            ahead: self.target_credits(now).saturating_sub(self.held()),
            held: self.held(),
            unused: std::mem::take(&mut self.unused),
            recent: self.usage.total(now),
            spent_alone: self.spent_alone(),
            share: self.own.map(|own| own.share),
            by_all: self.peak(now),
            left_elsewhere: last_report.map(|report| RemainingCredits {
                requests: report.left,
                age: now.saturating_sub(report.at),
            }),
        }
    }

    /// Returns the requests admitted from the own share for which the share has not been refilled
    /// since. A counter that did not know of them holds as many credits too many.
    fn spent_alone(&self) -> u32 {
        let missing = self.own.map_or(0.0, |own| own.max_level - own.level);
        self.own_share_admitted.min(missing.max(0.0).ceil() as u32)
    }

    /// Returns whether credits should be prefetched although no request waits.
    pub fn should_prefetch(&mut self, now: Duration) -> bool {
        let was_asked = self
            .asked_at
            .is_some_and(|at| now < at + PREFETCH_RETRY_INTERVAL);
        let target_credits = self.target_credits(now);
        let is_low = target_credits > 0 && self.held() * 2 <= target_credits;
        !was_asked && is_low && now >= self.exhausted_until
    }

    /// Returns when the counter was last asked.
    pub fn asked_at(&self) -> Option<Duration> {
        self.asked_at
    }

    /// Applies the response of the counter identified by `counter` to a request sent at `asked_at`.
    pub fn apply_response(
        &mut self,
        response: CreditResponse,
        counter: u64,
        gateways: usize,
        asked_at: Duration,
        now: Duration,
    ) {
        let (recent, left) = match response {
            CreditResponse::Granted {
                credits,
                recent,
                left,
            } => {
                let until = asked_at + CREDIT_TTL;
                if credits > 0 {
                    let count = credits;
                    self.credits.push_back(Credits { count, until });
                }
                (recent, left)
            }
            CreditResponse::Exhausted {
                again_after,
                recent,
            } => {
                self.exhausted_until = now + again_after;
                self.clear_saved(now);
                (recent, 0)
            }
            CreditResponse::DecideAlone => {
                self.own_share_until = now + OWN_SHARE_PERIOD;
                return;
            }
        };
        let report = CounterReport {
            recent,
            left,
            counter,
            at: now,
        };
        self.last_report = Some(report);
        self.own_share_admitted = self
            .own_share_admitted
            .saturating_sub(self.own_share_reported);
        self.own_share_reported = 0;
        if recent >= self.peak(now) {
            self.peak = Some(report);
        }
        let here = self.usage.total(now);
        let by_all = self.peak(now);
        let first_response_at = *self.first_response_at.get_or_insert(now);
        let share = gateway_share(here, by_all, gateways);
        if let Some(own) = &mut self.own {
            // Until a whole usage window has passed since the first response, the shares of all
            // gateways may add up to more than 1.
            own.share = if now < first_response_at + USAGE_WINDOW {
                share.min(gateway_share(0, 0, gateways))
            } else {
                share
            };
        }
    }

    /// Sets the saved part of the own share to 0: when the counter has no credits left, no gateway
    /// has saved any requests.
    fn clear_saved(&mut self, now: Duration) {
        if let Some(own) = &mut self.own {
            own.level = 0.0;
            own.refilled_at = now;
        }
    }

    /// Returns the highest recent count of all gateways' requests. A single report may be too low:
    /// a counter that has just begun knows of few requests.
    fn peak(&self, now: Duration) -> u32 {
        let peak = self.peak.filter(|peak| now < peak.at + PEAK_TTL);
        peak.map_or(0, |peak| peak.recent)
    }

    fn target_credits(&mut self, now: Duration) -> u32 {
        let recent = f64::from(self.usage.total(now));
        let expected = recent * PREFETCH_WINDOW.as_secs_f64() / USAGE_WINDOW.as_secs_f64();
        (expected as u32).min(MAX_PREFETCH)
    }

    fn held(&self) -> u32 {
        self.credits.iter().map(|credits| credits.count).sum()
    }

    fn take_credit(&mut self) -> bool {
        let Some(oldest) = self.credits.front_mut() else {
            return false;
        };
        oldest.count -= 1;
        if oldest.count == 0 {
            self.credits.pop_front();
        }
        true
    }

    fn expire(&mut self, now: Duration) {
        let is_expired = |credits: &Credits| now >= credits.until;
        let unused: u32 = self
            .credits
            .iter()
            .filter(|credits| is_expired(credits))
            .map(|credits| credits.count)
            .sum();
        self.unused += unused;
        self.credits.retain(|credits| !is_expired(credits));
    }
}

/// Recent requests of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageFigures {
    /// Requests admitted here within the last [`USAGE_WINDOW`].
    pub here: u32,
    /// Requests admitted by all gateways within that window, as the counter last reported; `None`
    /// without a recent report.
    pub by_all: Option<u32>,
    /// Age of that report.
    pub age: Option<Duration>,
}
