//! Request limits of tenants, enforced across all gateways. This module does no I/O.
//!
//! For each tenant one gateway is the counter: it keeps a token bucket ([`bucket`]) and grants
//! credits. Each gateway keeps a [`limiter`] for each tenant that calls there: a request spends a
//! credit, and the limiter prefetches credits so that few requests wait for the counter.
//!
//! In any window of `w` seconds, no more requests are admitted than `rate x w + burst` plus a part
//! of the tolerance:
//! - The level of a bucket plus the credits that gateways hold never exceeds the bucket's capacity,
//!   so a window begins with at most the capacity, and `rate x w` is added within it.
//! - A bucket whose earlier state is lost begins with the part of the tolerance that the capacity
//!   leaves: before the loss, no more can have been admitted than the capacity and the rate allow.
//! - A gateway that gets no answer from a counter admits only its own share of the rate
//!   ([`gateway_share`]). The shares of all gateways add up to 1. A counter near the limit finds
//!   out which gateways are silent and reserves their shares, together with the requests that they
//!   may have saved up while nothing was reserved.
//! - A counter that takes over does not know the shares of gateways that never contacted it.
//!   Together these gateways have what the shares reported by the others leave to 1.
//! - A gateway that is connected again reports the requests that it admitted from its own share. A
//!   counter that had reserved nothing for it deducts them.

pub mod bucket;
pub mod limiter;
mod usage;

use std::time::Duration;

use swiftshunt_types::RateLimit;

pub use usage::{USAGE_WINDOW, Usage};

/// Time for which a credit may be spent, counted from the request for it: about two requests of a
/// caller that sends one per second. Credits of a gateway that dies are lost to the tenant for that
/// long.
pub const CREDIT_TTL: Duration = Duration::from_secs(3);
/// Part of the tolerance that a bucket may hold beyond the burst. A bucket refills evenly, and
/// without this part it would refuse load steps that the window allows.
const CAPACITY_SHARE: f64 = 0.25;
/// Part of the tolerance with which a bucket begins whose earlier state is unknown. The rest of the
/// tolerance covers gateways that decide by their own share until the counter has reserved that
/// share.
const COLD_START_SHARE: f64 = 0.2;

/// Most requests that a gateway may save up beyond its share of the burst, and the time in which it
/// saves them. Callers arrive at random: without saving, a gateway that gets a request every few
/// seconds would refuse every second one.
const SAVED_REQUESTS: f64 = 1.5;
const SAVED_WITHIN: Duration = Duration::from_secs(10);

/// Returns the part of a tenant's limit that a gateway may admit without the counter, from the
/// requests recently admitted here and by all gateways. The shares of all gateways add up to 1, and
/// a gateway without requests has a share, too.
pub fn gateway_share(here: u32, by_all: u32, gateways: usize) -> f64 {
    let all = f64::from(by_all.max(here)) + gateways.max(1) as f64;
    (f64::from(here) + 1.0) / all
}

/// Returns the most requests that a gateway with this share can have saved up.
pub(crate) fn max_saved_requests(limit: RateLimit, share: f64) -> f64 {
    let saved = limit.per_second * share * SAVED_WITHIN.as_secs_f64();
    (limit.burst * share + saved.min(SAVED_REQUESTS)).max(1.0)
}

/// Excess over its limit that a tenant may be admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The window within which requests are counted.
    pub window: Duration,
    /// Excess as a share of the requests that the limit allows in a window.
    pub share: f64,
    /// Further requests in a window, added to that share.
    pub requests: f64,
}

impl Tolerance {
    /// Returns the requests beyond the limit that are tolerated in a window.
    fn slack(&self, limit: RateLimit) -> f64 {
        let allowed = limit.per_second * self.window.as_secs_f64() + limit.burst;
        self.share * allowed + self.requests
    }

    /// Returns the most credits that the bucket of this limit and the gateways hold together.
    pub fn capacity(&self, limit: RateLimit) -> f64 {
        (limit.burst + CAPACITY_SHARE * self.slack(limit)).max(1.0)
    }

    /// Returns the initial level of a bucket of this limit whose earlier state is unknown.
    pub fn cold_start_level(&self, limit: RateLimit) -> f64 {
        let cold = COLD_START_SHARE * self.slack(limit);
        cold.min(self.capacity(limit))
    }
}
