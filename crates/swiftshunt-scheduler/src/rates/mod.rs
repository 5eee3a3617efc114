//! Limits of a tenant's requests, over all gateways together, without I/O.
//!
//! For each tenant one gateway counts: it keeps a token bucket ([`bucket`]) and hands out credits. Each
//! gateway keeps an account for each tenant that calls there ([`limiter`]): a request takes a credit, and
//! credits are asked for ahead of need, so that hardly a request waits for the counter.
//!
//! In any window of `w` seconds no more requests are let in than `rate x w + burst` and a part of the
//! tolerance:
//! - what a bucket holds and what gateways hold of it together never pass the bucket's capacity, so a
//!   window begins with no more than that, and `rate x w` is added in it;
//! - a bucket whose past is lost begins with the part of the tolerance that the capacity leaves: before the
//!   loss no more can have been let in than the capacity and the rate allow;
//! - a gateway that no counter answers lets in its own share of the rate and no more ([`gateway_share`]); shares
//!   of all gateways make one. A counter near the limit finds out which gateways are silent and sets their
//!   shares aside, with what they may have saved up while nothing was set aside;
//! - a counter that takes over does not know the shares of those that it never heard: together they have what
//!   is missing to one in the shares that the others bring;
//! - a gateway that comes back says what it let in alone: a counter that set nothing aside for it takes that
//!   off.

pub mod bucket;
pub mod limiter;
mod usage;

use std::time::Duration;

use swiftshunt_types::RateLimit;

pub use usage::{USAGE_WINDOW, Usage};

/// How long a credit may be spent, counted from the question for it: about two requests of a caller that
/// asks once a second. Credits of a gateway that dies are lost to the tenant for that long.
pub const CREDIT_TTL: Duration = Duration::from_secs(3);
/// Part of the tolerance that a bucket may hold beyond the burst: steps of a tenant's load that a window
/// allows must not be refused since a bucket refills evenly.
const CAPACITY_SHARE: f64 = 0.25;
/// Part of the tolerance with which a bucket begins whose past is not known. What is left covers gateways
/// that decide alone until the counter has set their share aside.
const COLD_START_SHARE: f64 = 0.2;

/// Requests that a gateway may have saved up at most beyond its share of the burst, and the time in which it
/// saves them: callers come at random, and a gateway at which a request comes every few seconds would
/// refuse every second one if it saved nothing.
const SAVED_REQUESTS: f64 = 1.5;
const SAVED_WITHIN: Duration = Duration::from_secs(10);

/// The part of a tenant's requests that a gateway may let in alone, by what was let in of late here and by
/// all. Shares of all gateways make one; one at which nothing came has a share, too.
pub fn gateway_share(here: u32, by_all: u32, gateways: usize) -> f64 {
    let all = f64::from(by_all.max(here)) + gateways.max(1) as f64;
    (f64::from(here) + 1.0) / all
}

/// Most requests that a gateway with a share has saved up.
pub(crate) fn max_saved_requests(limit: RateLimit, share: f64) -> f64 {
    let saved = limit.per_second * share * SAVED_WITHIN.as_secs_f64();
    (limit.burst * share + saved.min(SAVED_REQUESTS)).max(1.0)
}

/// By how much more than its limit a tenant may be let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The window within which requests are counted.
    pub window: Duration,
    /// Share of what the limit allows in a window.
    pub share: f64,
    /// Requests in a window beyond that share.
    pub requests: f64,
}

impl Tolerance {
    /// Requests beyond the limit that a window may have.
    fn slack(&self, limit: RateLimit) -> f64 {
        let allowed = limit.per_second * self.window.as_secs_f64() + limit.burst;
        self.share * allowed + self.requests
    }

    /// Most that a bucket of this limit holds, with what gateways hold of it.
    pub fn capacity(&self, limit: RateLimit) -> f64 {
        (limit.burst + CAPACITY_SHARE * self.slack(limit)).max(1.0)
    }

    /// What a bucket of this limit begins with whose past is not known.
    pub fn cold_start_level(&self, limit: RateLimit) -> f64 {
        let cold = COLD_START_SHARE * self.slack(limit);
        cold.min(self.capacity(limit))
    }
}
