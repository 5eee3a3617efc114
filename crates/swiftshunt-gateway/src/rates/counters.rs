//! The buckets of the tenants whose counter is this gateway, and the check that it may act as their counter.
//!
//! The first gateway in a tenant's order is its counter. If that gateway is gone, the next one takes over, but
//! only after its own probes were not answered: two counters together would admit twice the limit.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_scheduler::rates::Tolerance;
use swiftshunt_scheduler::rates::bucket::{Bucket, CreditRequest, CreditResponse};
use swiftshunt_types::TenantName;

use super::MAX_COUNTER_CANDIDATES;
use super::reachability::{Reachability, ReachabilityView};
use crate::clock::Clock;
use crate::datagrams::Datagrams;
use crate::fleet_state::lock;
use crate::members::Members;
use crate::messages::Notice;
use crate::messages::rates::{CounterAnswer, RateMessage, VersionedLimit};

/// Time without an answer to pings after which a gateway counts as gone: two round trips within a region
/// and an allowance for short stalls of the process.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_millis(45);
/// Pause between two pings while the state of a gateway is unknown.
const PING_RETRY_INTERVAL: Duration = Duration::from_millis(15);
/// Pause between two pings to a gateway that is known to be gone or alive.
const SETTLED_PING_INTERVAL: Duration = Duration::from_millis(250);

/// A tenant whose counter is this gateway.
struct CountedTenant {
    bucket: Bucket<SocketAddr>,
    /// Whether the bucket reserves shares for silent gateways.
    has_reservations: bool,
}

/// Pings to a gateway that comes before this one in a tenant's order.
#[derive(Clone, Copy)]
struct Probe {
    /// Time of the first ping since the gateway was last found alive.
    first: Duration,
    /// Time of the latest ping.
    last: Duration,
}

/// The state of a gateway that comes before this one in a tenant's order.
enum PredecessorState {
    Gone,
    Alive,
    Probing,
}

/// The buckets of the tenants that this gateway counts.
pub(super) struct Counters {
    members: Arc<Members>,
    datagrams: Arc<Datagrams>,
    clock: Clock,
    tolerance: Tolerance,
    tenants: Mutex<HashMap<TenantName, CountedTenant>>,
    probes: Mutex<HashMap<SocketAddr, Probe>>,
    reachability: Mutex<Reachability>,
}

impl Counters {
    pub(super) fn new(
        members: Arc<Members>,
        datagrams: Arc<Datagrams>,
        clock: Clock,
        tolerance: Tolerance,
    ) -> Self {
        Self {
            members,
            datagrams,
            clock,
            tolerance,
            tenants: Mutex::default(),
            probes: Mutex::default(),
            reachability: Mutex::default(),
        }
    }

    /// Answers a gateway that considers this one the counter of a tenant.
    pub(super) fn answer(
        &self,
        from: SocketAddr,
        tenant: &TenantName,
        question: CreditRequest,
        limit: VersionedLimit,
    ) -> CounterAnswer {
        let own = self.members.own_address();
        let order = self.members.tenant_counters(tenant, MAX_COUNTER_CANDIDATES);
        for gateway in order.iter().take_while(|gateway| **gateway != own) {
            match self.predecessor_state(*gateway) {
                PredecessorState::Gone => {}
                PredecessorState::Alive => {
                    self.stop_counting(tenant, *gateway);
                    return CounterAnswer::CountedBy(*gateway);
                }
                PredecessorState::Probing => return CounterAnswer::NotYet,
            }
        }
        let is_first = order.first() == Some(&own);
        let now = self.clock.now();
        let Some(view) = self.reachability_view(!is_first, now) else {
            return CounterAnswer::NotYet;
        };
        if view.is_cut_off {
            return CounterAnswer::Counted(CreditResponse::DecideAlone);
        }
        let mut tenants = lock(&self.tenants);
        if !tenants.contains_key(tenant) {
            let new_tenant = self.start_counting(tenant, limit, is_first, now);
            tenants.insert(tenant.clone(), new_tenant);
        }
        let Some(counted) = tenants.get_mut(tenant) else {
            return CounterAnswer::NotYet;
        };
        let tolerance = &self.tolerance;
        let bucket = &mut counted.bucket;
        bucket.update_limit(limit.limit(), limit.version, tolerance, now);
        let verdict = bucket.grant_credits(from, question, tolerance, now);
        self.reserve_for_silent_gateways(counted, now);
        CounterAnswer::Counted(verdict)
    }

    /// While a tenant is near its limit, reserves the shares that silent gateways may admit on their own.
    fn reserve_for_silent_gateways(&self, counted: &mut CountedTenant, now: Duration) {
        let CountedTenant {
            bucket,
            has_reservations,
        } = counted;
        if !bucket.is_near_limit(&self.tolerance) {
            if std::mem::take(has_reservations) {
                bucket.release_reserved(&self.tolerance, now);
            }
            return;
        }
        if let Some(view) = self.reachability_view(true, now) {
            let gateways = self.members.count();
            bucket.reserve_for_silent(&view.silent, gateways, &self.tolerance, now);
            *has_reservations = true;
        }
    }

    /// Returns which gateways are silent; `None` if `must_be_known` is set and no recent poll of all gateways has
    /// ended. Starts a poll if one is due.
    fn reachability_view(&self, must_be_known: bool, now: Duration) -> Option<ReachabilityView> {
        let mut reachability = lock(&self.reachability);
        let gateways_to_ping = reachability.poll(&self.members, must_be_known, now);
        self.ping(gateways_to_ping);
        reachability.view(must_be_known, now)
    }

    fn start_counting(
        &self,
        tenant: &TenantName,
        limit: VersionedLimit,
        is_first: bool,
        now: Duration,
    ) -> CountedTenant {
        // A counter that replaces another starts with an empty bucket, since the other one may still be granting
        // credits to gateways that reach it.
        let level = if is_first {
            self.tolerance.cold_start_level(limit.limit())
        } else {
            0.0
        };
        log::info!(tenant = tenant.as_str(), level, is_first; "this gateway starts to count a tenant's requests");
        CountedTenant {
            bucket: Bucket::new(limit.limit(), limit.version, level, now),
            has_reservations: false,
        }
    }

    fn ping(&self, gateways: impl IntoIterator<Item = SocketAddr>) {
        self.datagrams
            .send(&Notice::Rate(RateMessage::Ping), gateways);
    }

    /// Returns the state of a gateway that comes before this one in a tenant's order, and pings it if due.
    fn predecessor_state(&self, gateway: SocketAddr) -> PredecessorState {
        let now = self.clock.now();
        let mut probes = lock(&self.probes);
        let new_probe = Probe {
            first: now,
            last: now,
        };
        let Some(probe) = probes.get_mut(&gateway) else {
            probes.insert(gateway, new_probe);
            self.ping([gateway]);
            return PredecessorState::Probing;
        };
        let predecessor_timeout = self.members.answer_timeout(gateway, PREDECESSOR_TIMEOUT);
        let was_heard = self.members.heard_at(gateway) >= probe.first;
        let is_gone = !was_heard && now >= probe.first + predecessor_timeout;
        let pause = if was_heard || is_gone {
            SETTLED_PING_INTERVAL
        } else {
            PING_RETRY_INTERVAL
        };
        if now >= probe.last + pause {
            probe.last = now;
            self.ping([gateway]);
            if was_heard {
                *probe = new_probe;
            }
        }
        match (was_heard, is_gone) {
            (true, _) => PredecessorState::Alive,
            (false, true) => PredecessorState::Gone,
            (false, false) => PredecessorState::Probing,
        }
    }

    fn stop_counting(&self, tenant: &TenantName, counter: SocketAddr) {
        if lock(&self.tenants).remove(tenant).is_some() {
            log::info!(tenant = tenant.as_str(), counter = counter.to_string().as_str();
                "another gateway counts a tenant's requests; dropping the bucket kept here");
        }
    }

    /// Removes buckets and probes that were not used for the given time.
    pub(super) fn remove_idle(&self, after: Duration) {
        let now = self.clock.now();
        let is_recent = |at: Duration| now < at + after;
        lock(&self.tenants).retain(|_, counted| is_recent(counted.bucket.last_request_at()));
        lock(&self.probes).retain(|_, probe| is_recent(probe.last));
    }
}
