//! A gateway's side: credits for one tenant's requests, and what is let in without the counter.

use std::collections::VecDeque;
use std::time::Duration;

use swiftshunt_types::RateLimit;

use super::bucket::{CreditRequest, CreditResponse, RemainingCredits};
use super::{CREDIT_TTL, USAGE_WINDOW, Usage, gateway_share, max_saved_requests};

/// Time for which credits are asked for ahead, by the requests of late.
const PREFETCH_WINDOW: Duration = Duration::from_millis(1_500);
/// Most credits that are asked for ahead.
const MAX_PREFETCH: u32 = 64;
/// Pause between two questions ahead of need: one may be lost.
const PREFETCH_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Age up to which the counter's word on the requests of all gateways is believed.
const COUNTER_REPORT_TTL: Duration = Duration::from_secs(30);

/// How long the most of these words is kept in mind.
const PEAK_TTL: Duration = Duration::from_secs(15);
/// Time for which a gateway decides alone after the counter told it so.
const OWN_SHARE_PERIOD: Duration = Duration::from_millis(500);

/// Credits of one answer.
#[derive(Clone, Copy, Debug)]
struct Credits {
    count: u32,
    until: Duration,
}

/// What the counter told last.
#[derive(Clone, Copy, Debug)]
struct CounterReport {
    /// Requests let in by all gateways.
    recent: u32,
    /// What the counter had left.
    left: u32,
    counter: u64,
    at: Duration,
}

/// What this gateway may let in alone: its part of the rate, less what it has let in.
#[derive(Clone, Copy, Debug)]
struct OwnShare {
    share: f64,
    level: f64,
    /// Most that it may have saved up.
    most: f64,
    refilled_at: Duration,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmitDecision {
    /// It is let in.
    Admitted,
    /// The counter is to be asked.
    AskCounter,
    /// It is to be decided by this gateway's share alone.
    UseOwnShare,
    /// The limit is reached: there is likely to be room after this time.
    Refused {
        /// The time.
        again_after: Duration,
    },
}

/// One tenant's requests at one gateway.
#[derive(Debug, Default)]
pub struct TenantLimiter {
    credits: VecDeque<Credits>,
    unused: u32,
    usage: Usage,
    began: Option<Duration>,
    used_at: Duration,
    asked_at: Option<Duration>,
    exhausted_until: Duration,
    last_report: Option<CounterReport>,
    /// The most that was told of late.
    peak: Option<CounterReport>,
    alone_until: Duration,
    own: Option<OwnShare>,
    /// Requests let in alone that no counter has answered for, and how many of them the last question named.
    alone: u32,
    alone_reported: u32,
}

impl TenantLimiter {
    /// Decides about a request, by the credits that are here.
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
        if now < self.alone_until {
            return AdmitDecision::UseOwnShare;
        }
        AdmitDecision::AskCounter
    }

    /// Decides about a request by this gateway's share alone.
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
        self.alone += 1;
        self.usage.add(now);
        true
    }

    /// The share, brought up to date. It begins with nothing: a gateway that has just started does not know
    /// what was let in before.
    fn own_share(&mut self, limit: RateLimit, gateways: usize, now: Duration) -> &mut OwnShare {
        let own = self.own.get_or_insert(OwnShare {
            share: gateway_share(0, 0, gateways),
            level: 0.0,
            most: 0.0,
            refilled_at: now,
        });
        let elapsed = now.saturating_sub(own.refilled_at).as_secs_f64();
        let come = elapsed * limit.per_second * own.share;
        own.most = max_saved_requests(limit, own.share);
        own.level = (own.level + come).min(own.most);
        own.refilled_at = now;
        own
    }

    /// When a request was decided last.
    pub fn used_at(&self) -> Duration {
        self.used_at
    }

    /// How many requests were let in here of late, how many by all gateways as of the counter's last word,
    /// and the age of that.
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

    /// A request that was let in was sent to nobody.
    pub fn refund_credit(&mut self, now: Duration) {
        // Nearly over, so that it is not spent after credits that were granted with it.
        let until = now + PREFETCH_RETRY_INTERVAL;
        self.credits.push_front(Credits { count: 1, until });
    }

    /// The question to a counter, which a number names, for so many requests that wait.
    pub fn credit_request(&mut self, need: u32, counter: u64, now: Duration) -> CreditRequest {
        self.expire(now);
        let last_report = self.last_report.filter(|report| report.counter != counter);
        let last_report = last_report.filter(|report| now < report.at + USAGE_WINDOW);
        self.asked_at = Some(now);
        self.alone_reported = self.alone;
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

    /// What was let in alone and has not come back since: a counter that did not know of it has saved as much.
    fn spent_alone(&self) -> u32 {
        let missing = self.own.map_or(0.0, |own| own.most - own.level);
        self.alone.min(missing.max(0.0).ceil() as u32)
    }

    /// Whether the counter is to be asked though no request waits.
    pub fn should_prefetch(&mut self, now: Duration) -> bool {
        let was_asked = self
            .asked_at
            .is_some_and(|at| now < at + PREFETCH_RETRY_INTERVAL);
        let target_credits = self.target_credits(now);
        let is_low = target_credits > 0 && self.held() * 2 <= target_credits;
        !was_asked && is_low && now >= self.exhausted_until
    }

    /// When the counter was asked last.
    pub fn asked_at(&self) -> Option<Duration> {
        self.asked_at
    }

    /// A counter, which a number names, answered a question of `asked_at`.
    pub fn apply_response(
        &mut self,
        verdict: CreditResponse,
        counter: u64,
        gateways: usize,
        asked_at: Duration,
        now: Duration,
    ) {
        let (recent, left) = match verdict {
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
                self.alone_until = now + OWN_SHARE_PERIOD;
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
        self.alone = self.alone.saturating_sub(self.alone_reported);
        self.alone_reported = 0;
        if recent >= self.peak(now) {
            self.peak = Some(report);
        }
        let here = self.usage.total(now);
        let by_all = self.peak(now);
        let began = *self.began.get_or_insert(now);
        let share = gateway_share(here, by_all, gateways);
        if let Some(own) = &mut self.own {
            // Before a window is full the shares of all gateways make more than one.
            own.share = if now < began + USAGE_WINDOW {
                share.min(gateway_share(0, 0, gateways))
            } else {
                share
            };
        }
    }

    /// Where the counter has nothing left, no gateway has saved anything.
    fn clear_saved(&mut self, now: Duration) {
        if let Some(own) = &mut self.own {
            own.level = 0.0;
            own.refilled_at = now;
        }
    }

    /// The most that was told of late: a counter that has just begun knows of few requests.
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
        let over = |credits: &Credits| now >= credits.until;
        let unused: u32 = self
            .credits
            .iter()
            .filter(|credits| over(credits))
            .map(|credits| credits.count)
            .sum();
        self.unused += unused;
        self.credits.retain(|credits| !over(credits));
    }
}

/// What is known of a tenant's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageFigures {
    /// Requests let in here within the last [`USAGE_WINDOW`].
    pub here: u32,
    /// The same of all gateways, as the counter told last.
    pub by_all: Option<u32>,
    /// Age of that.
    pub age: Option<Duration>,
}
