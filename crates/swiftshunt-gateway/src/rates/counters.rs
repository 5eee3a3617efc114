//! The buckets of the tenants for which this gateway counts, and whether it is to count at all.
//!
//! The first gateway in a tenant's order counts. Where it is gone the next one does, once it has found that
//! itself: two that count would let in twice the limit.

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

/// Time without a sign of life, though it was asked for, after which a gateway is gone: twice the way to
/// and fro within a region and some standstill.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_millis(45);
/// Pause between two such questions.
const PING_RETRY_INTERVAL: Duration = Duration::from_millis(15);
/// Pause between two such questions to a gateway that is gone, or was found to be there.
const SETTLED_PING_INTERVAL: Duration = Duration::from_millis(250);
/// A tenant that is counted here.
struct Counted {
    bucket: Bucket<SocketAddr>,
    /// Whether something is set aside for silent gateways.
    sets_aside: bool,
}

/// A gateway that should count before this one and was asked for a sign of life.
#[derive(Clone, Copy)]
struct Probe {
    first: Duration,
    last: Duration,
}

/// What is known of a gateway that should count before this one.
enum PredecessorState {
    Gone,
    Alive,
    Probing,
}

/// The buckets.
pub(super) struct Counters {
    members: Arc<Members>,
    datagrams: Arc<Datagrams>,
    clock: Clock,
    tolerance: Tolerance,
    counted: Mutex<HashMap<TenantName, Counted>>,
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
            counted: Mutex::default(),
            probes: Mutex::default(),
            reachability: Mutex::default(),
        }
    }

    /// Answers a gateway that takes this one for the counter of a tenant.
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
        let mut counted = lock(&self.counted);
        if !counted.contains_key(tenant) {
            let begun = self.begin(tenant, limit, is_first, now);
            counted.insert(tenant.clone(), begun);
        }
        let Some(counted) = counted.get_mut(tenant) else {
            return CounterAnswer::NotYet;
        };
        let tolerance = &self.tolerance;
        let bucket = &mut counted.bucket;
        bucket.update_limit(limit.limit(), limit.version, tolerance, now);
        let verdict = bucket.grant_credits(from, question, tolerance, now);
        self.set_aside(counted, now);
        CounterAnswer::Counted(verdict)
    }

    /// While a tenant is near its limit, sets aside what silent gateways may let in alone.
    fn set_aside(&self, counted: &mut Counted, now: Duration) {
        let Counted { bucket, sets_aside } = counted;
        if !bucket.is_near_limit(&self.tolerance) {
            if std::mem::take(sets_aside) {
                bucket.release_reserved(&self.tolerance, now);
            }
            return;
        }
        if let Some(view) = self.reachability_view(true, now) {
            let gateways = self.members.count();
            bucket.reserve_for_silent(&view.silent, gateways, &self.tolerance, now);
            *sets_aside = true;
        }
    }

    /// Which gateways are silent, as far as it is known; none where it must be known and is not yet.
    fn reachability_view(&self, must_be_known: bool, now: Duration) -> Option<ReachabilityView> {
        let mut reachability = lock(&self.reachability);
        let asked = reachability.poll(&self.members, must_be_known, now);
        self.ping(asked);
        reachability.view(must_be_known, now)
    }

    fn begin(
        &self,
        tenant: &TenantName,
        limit: VersionedLimit,
        is_first: bool,
        now: Duration,
    ) -> Counted {
        // Whoever counts in place of another begins with nothing: that one may be counting for others.
        let level = if is_first {
            self.tolerance.cold_start_level(limit.limit())
        } else {
            0.0
        };
        log::info!(tenant = tenant.as_str(), level, is_first; "this gateway counts a tenant's requests");
        Counted {
            bucket: Bucket::new(limit.limit(), limit.version, level, now),
            sets_aside: false,
        }
    }

    fn ping(&self, gateways: impl IntoIterator<Item = SocketAddr>) {
        self.datagrams
            .send(&Notice::Rate(RateMessage::Ping), gateways);
    }

    /// Whether a gateway that should count before this one is gone.
    fn predecessor_state(&self, gateway: SocketAddr) -> PredecessorState {
        let now = self.clock.now();
        let mut probes = lock(&self.probes);
        let fresh = Probe {
            first: now,
            last: now,
        };
        let Some(probe) = probes.get_mut(&gateway) else {
            probes.insert(gateway, fresh);
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
                *probe = fresh;
            }
        }
        match (was_heard, is_gone) {
            (true, _) => PredecessorState::Alive,
            (false, true) => PredecessorState::Gone,
            (false, false) => PredecessorState::Probing,
        }
    }

    fn stop_counting(&self, tenant: &TenantName, counter: SocketAddr) {
        if lock(&self.counted).remove(tenant).is_some() {
            log::info!(tenant = tenant.as_str(), counter = counter.to_string().as_str();
                "another gateway counts a tenant's requests");
        }
    }

    /// Forgets buckets and gateways about which nobody asks any more.
    pub(super) fn remove_idle(&self, after: Duration) {
        let now = self.clock.now();
        let is_new = |at: Duration| now < at + after;
        lock(&self.counted).retain(|_, counted| is_new(counted.bucket.last_request_at()));
        lock(&self.probes).retain(|_, probe| is_new(probe.last));
    }
}
