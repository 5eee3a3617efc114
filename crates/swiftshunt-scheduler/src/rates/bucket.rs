//! Counter side of a tenant's rate limit: a token bucket that grants credits to gateways.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::time::Duration;

use swiftshunt_types::RateLimit;

use super::{CREDIT_TTL, Tolerance, USAGE_WINDOW, gateway_share, max_saved_requests};

/// Part of the capacity that gateways together may hold as prefetched credits.
const HELD_SHARE: f64 = 0.5;
/// Part of the bucket's level that one request may prefetch.
const PREFETCH_SHARE: f64 = 0.5;
/// Part of the capacity below which a tenant counts as near its limit. Load steps of a tenant that
/// keeps its limit seldom take the bucket below it.
const NEAR_LIMIT: f64 = 0.35;
/// Time after which a gateway that no longer asks is removed. The share of a gateway that is cut
/// off stays known for as long.
const GATEWAY_TTL: Duration = Duration::from_secs(600);
/// Gateways that asked within this time are expected to share the next credits.
const ACTIVE_WINDOW: Duration = Duration::from_secs(1);
/// Shortest and longest delay before a refused gateway may ask again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(10);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A gateway's request for credits.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct CreditRequest {
    /// Requests that wait for a credit.
    pub need: u32,
    /// Credits to prefetch.
    pub ahead: u32,
    /// Credits that the gateway holds.
    pub held: u32,
    /// Credits that expired unspent since its last request.
    pub unused: u32,
    /// Requests that the gateway admitted within the last [`USAGE_WINDOW`].
    pub recent: u32,
    /// Requests that it admitted from its own share and that the share's refill has not made up
    /// for.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub spent_alone: u32,
    /// Own share of the rate, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Requests of all gateways within that window, the highest count that counters recently
    /// reported to it.
    pub by_all: u32,
    /// Credits that another counter recently reported as left.
    pub left_elsewhere: Option<RemainingCredits>,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Credits that a counter had left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RemainingCredits {
    /// Number of credits.
    pub requests: u32,
    /// Age of the report.
    pub age: Duration,
}

/// The counter's response to a credit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CreditResponse {
    /// Credits are granted.
    Granted {
        /// Number of granted credits, possibly 0.
        credits: u32,
        /// Requests of the tenant admitted by all gateways within the last [`USAGE_WINDOW`].
        recent: u32,
        /// Credits left in the bucket.
        left: u32,
    },
    /// The limit is reached.
    Exhausted {
        /// Time after which a credit for this gateway is likely to be available.
        again_after: Duration,
        /// Requests of the tenant admitted by all gateways within the last [`USAGE_WINDOW`].
        recent: u32,
    },
    /// The counter has lost contact with most gateways, and another counter may serve them: each
    /// gateway must decide by its own share.
    DecideAlone,
}

/// Last request of a gateway, and what the counter knows of it.
#[derive(Clone, Copy, Debug)]
struct GatewayRecord {
    last_request_at: Duration,
    held: u32,
    held_until: Duration,
    recent: u32,
    /// Highest count of all gateways' requests that the gateway knows, including the count in the
    /// response to this request. The gateway computes its share from this count and its own.
    by_all: u32,
    /// Share that the gateway reported with its first request here. It results from another
    /// counter's reports, or is the initial share of a gateway without any.
    first_share: Option<f64>,
}

/// Token bucket of a tenant's limit.
#[derive(Debug)]
pub struct Bucket<G> {
    limit: RateLimit,
    version: u64,
    level: f64,
    refilled_at: Duration,
    created_at: Duration,
    records: HashMap<G, GatewayRecord>,
    /// Share of the rate that is reserved for silent gateways.
    reserved_share: f64,
    /// The silent gateways whose shares are reserved.
    reserved_for: HashSet<G>,
    /// Time up to which a gateway's own-share admissions are covered by a reservation or a
    /// deduction.
    deducted_until: HashMap<G, Duration>,
}

impl<G: Copy + Eq + Hash> Bucket<G> {
    /// Creates a bucket with `level` credits, for the limit of configuration version `version`.
    pub fn new(limit: RateLimit, version: u64, level: f64, now: Duration) -> Self {
        Self {
            limit,
            version,
            level,
            refilled_at: now,
            created_at: now,
            records: HashMap::new(),
            reserved_share: 0.0,
            reserved_for: HashSet::new(),
            deducted_until: HashMap::new(),
        }
    }

    /// Returns when a gateway last requested credits.
    pub fn last_request_at(&self) -> Duration {
        let asked = self.records.values().map(|record| record.last_request_at);
        asked.max().unwrap_or(self.refilled_at)
    }

    /// Replaces the limit if `version` of the configuration is newer.
    pub fn update_limit(
        &mut self,
        limit: RateLimit,
        version: u64,
        tolerance: &Tolerance,
        now: Duration,
    ) {
        if version <= self.version {
            return;
        }
        self.refill(tolerance, now);
        self.limit = limit;
        self.version = version;
        self.level = self.level.min(self.room(tolerance, now));
    }

    /// Answers a gateway's credit request.
    pub fn grant_credits(
        &mut self,
        from: G,
        request: CreditRequest,
        tolerance: &Tolerance,
        now: Duration,
    ) -> CreditResponse {
        self.refill(tolerance, now);
        self.record_request(from, &request, now);
        let room = self.room(tolerance, now);
        self.level = (self.level + f64::from(request.unused)).min(room);
        if let Some(left) = request.left_elsewhere {
            self.limit_to_predecessor(left);
        }
        self.deduct_spent_alone(from, request.spent_alone, now);
        let recent = self.recent(now);
        if let Some(record) = self.records.get_mut(&from) {
            record.by_all = record.by_all.max(recent);
        }
        if request.need > 0 && self.level < 1.0 {
            let again_after = self.again_after(now);
            return CreditResponse::Exhausted {
                again_after,
                recent,
            };
        }
        let needed = f64::from(request.need).min(self.level).floor() as u32;
        let ahead = self.credits_to_prefetch(&request, needed, tolerance, now);
        if let Some(record) = self.records.get_mut(&from) {
            // Credits for waiting requests are spent on arrival, so they do not count as held.
            record.held += ahead;
        }
        let credits = needed + ahead;
        self.level -= f64::from(credits);
        CreditResponse::Granted {
            credits,
            recent,
            left: self.level.max(0.0) as u32,
        }
    }

    /// Limits the level to the credits that another counter had left, plus the refill since: this
    /// bucket filled while the other one granted credits, and together they must not grant more
    /// than one bucket.
    fn limit_to_predecessor(&mut self, left: RemainingCredits) {
        let since = left.age.as_secs_f64() * self.limit.per_second;
        self.level = self.level.min(f64::from(left.requests) + since);
    }

    fn record_request(&mut self, from: G, request: &CreditRequest, now: Duration) {
        let before = self.records.get(&from);
        let first_share = before.map_or(request.share, |before| before.first_share);
        let record = GatewayRecord {
            last_request_at: now,
            held: request.held,
            held_until: now + CREDIT_TTL,
            recent: request.recent,
            by_all: request.by_all,
            first_share,
        };
        self.records.insert(from, record);
        self.records
            .retain(|_, record| now < record.last_request_at + GATEWAY_TTL);
    }

    /// Returns whether few credits are left, so that requests admitted by gateways out of contact
    /// matter.
    pub fn is_near_limit(&self, tolerance: &Tolerance) -> bool {
        self.level < NEAR_LIMIT * tolerance.capacity(self.limit)
    }

    /// Reserves the own shares of the `silent` gateways among `gateways`, since each may admit
    /// requests without the counter. Deducts what a newly silent gateway may have saved up.
    pub fn reserve_for_silent(
        &mut self,
        silent: &[G],
        gateways: usize,
        tolerance: &Tolerance,
        now: Duration,
    ) {
        self.refill(tolerance, now);
        let unknown_share = self.share_of_unknown(silent, gateways);
        let now_silent = silent.iter().copied().collect();
        let before = std::mem::replace(&mut self.reserved_for, now_silent);
        let mut reserved_share = 0.0;
        for gateway in silent {
            let record = self.records.get(gateway);
            let share = record.map_or(unknown_share, |record| {
                gateway_share(record.recent, record.by_all, gateways)
            });
            reserved_share += share;
            if !before.contains(gateway) {
                self.level -= self.max_saved_since_deduction(*gateway, share, now);
            }
            self.deducted_until.insert(*gateway, now);
        }
        self.reserved_share = reserved_share.min(1.0);
    }

    /// Returns the share assumed for each silent gateway that never asked here: together they may
    /// have all that the shares of the others leave to 1.
    fn share_of_unknown(&self, silent: &[G], gateways: usize) -> f64 {
        let unknown = silent.iter();
        let unknown = unknown.filter(|gateway| !self.records.contains_key(gateway));
        let unknown = unknown.count();
        let by_all = self.records.values().map(|record| record.by_all).max();
        let idle_share = gateway_share(0, by_all.unwrap_or(0), gateways);
        let asked = self.records.values();
        let known_shares: f64 = asked
            .map(|record| record.first_share.unwrap_or(idle_share))
            .sum();
        let never_asked = gateways.saturating_sub(unknown + self.records.len());
        let left = 1.0 - known_shares - idle_share * never_asked as f64;
        (left / unknown.max(1) as f64).max(gateway_share(0, 0, gateways))
    }

    /// Deducts the requests that a gateway admitted from its own share, unless that share is
    /// reserved.
    fn deduct_spent_alone(&mut self, gateway: G, spent: u32, now: Duration) {
        if spent > 0 && !self.reserved_for.contains(&gateway) {
            let max_saved = self.max_saved_since_deduction(gateway, 1.0, now);
            self.level -= f64::from(spent).min(max_saved);
            self.deducted_until.insert(gateway, now);
        }
    }

    /// Returns the most requests that a gateway with this share may have saved up since the last
    /// deduction or reservation for it, or else since the bucket was created: when all gateways
    /// start together, none has saved any before.
    fn max_saved_since_deduction(&self, gateway: G, share: f64, now: Duration) -> f64 {
        let deducted_until = self.deducted_until.get(&gateway).copied();
        let since = deducted_until.unwrap_or(self.created_at);
        let refilled = now.saturating_sub(since).as_secs_f64() * self.limit.per_second * share;
        refilled.min(max_saved_requests(self.limit, share))
    }

    /// Releases all reserved shares.
    pub fn release_reserved(&mut self, tolerance: &Tolerance, now: Duration) {
        self.refill(tolerance, now);
        self.reserved_share = 0.0;
        for gateway in self.reserved_for.drain() {
            self.deducted_until.insert(gateway, now);
        }
    }

    /// Returns the number of credits to prefetch for a gateway.
    fn credits_to_prefetch(
        &self,
        request: &CreditRequest,
        needed: u32,
        tolerance: &Tolerance,
        now: Duration,
    ) -> u32 {
        let capacity = tolerance.capacity(self.limit);
        let may_be_held = (HELD_SHARE * capacity - self.outstanding(now)).max(0.0);
        let left = (self.level - f64::from(needed)) * PREFETCH_SHARE;
        let ahead = f64::from(request.ahead).min(may_be_held).min(left);
        ahead as u32
    }

    /// Returns the credits that gateways hold and may still spend.
    fn outstanding(&self, now: Duration) -> f64 {
        let holding = self
            .records
            .values()
            .filter(|record| now < record.held_until);
        holding.map(|record| f64::from(record.held)).sum()
    }

    /// Returns the highest level that the bucket may have beside the credits that gateways hold.
    fn room(&self, tolerance: &Tolerance, now: Duration) -> f64 {
        let capacity = tolerance.capacity(self.limit);
        (capacity - self.outstanding(now)).max(0.0)
    }

    /// Returns the requests that all gateways recently admitted.
    fn recent(&self, now: Duration) -> u32 {
        let recent_records = self.records.values();
        let recent_records =
            recent_records.filter(|record| now < record.last_request_at + USAGE_WINDOW);
        recent_records.map(|record| record.recent).sum()
    }

    fn refill(&mut self, tolerance: &Tolerance, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let rate = self.limit.per_second * (1.0 - self.reserved_share);
        self.refilled_at = now;
        self.level = (self.level + elapsed * rate).min(self.room(tolerance, now));
    }

    /// Returns the time until the bucket holds a credit for each active gateway.
    fn again_after(&self, now: Duration) -> Duration {
        let active = self.records.values();
        let active = active.filter(|record| now < record.last_request_at + ACTIVE_WINDOW);
        let missing = active.count() as f64 - self.level;
        let seconds = missing / self.limit.per_second;
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(MAX_RETRY_DELAY)
            .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }
}
