//! Limits of tenants' requests, over all gateways together: one gateway counts for each tenant, the
//! others ask it for credits ([`swiftshunt_scheduler::rates`]).

mod counters;
mod credit_requests;
mod reachability;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_routing::Tenant;
use swiftshunt_scheduler::rates::limiter::{AdmitDecision, TenantLimiter, UsageFigures};
use swiftshunt_scheduler::rates::{CREDIT_TTL, Tolerance};
use swiftshunt_types::{RateLimit, TenantName};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::datagrams::Datagrams;
use crate::fleet_state::lock;
use crate::members::Members;
use crate::messages::rates::VersionedLimit;
use crate::metrics::{Metrics, RateAnswer};
use counters::Counters;
use credit_requests::{CounterReply, PendingQuestion};

/// Pause before a gateway is asked again that is finding out whether it is to count.
const NOT_YET_RETRY_DELAY: Duration = Duration::from_millis(15);
/// Longest time for which a request waits for a counter: until the first one in order is found to be gone,
/// and the next one has found so, too.
const MAX_COUNTER_WAIT: Duration = Duration::from_millis(240);
/// Gateways in a tenant's order that may count for it.
const MAX_COUNTER_CANDIDATES: usize = 3;
/// Pause between questions while requests are decided alone.
const ALONE_ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two looks for what is no longer needed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a request after which an account or a bucket is forgotten.
const IDLE_TTL: Duration = Duration::from_secs(60);

/// A tenant's requests here.
#[derive(Default)]
struct TenantState {
    limiter: TenantLimiter,
    /// Wakes requests that wait for an answer.
    answered: Arc<Notify>,
    waiting: u32,
    /// When the question was asked for which requests wait, if its answer may still come in time.
    asked_for_them: Option<Duration>,
    /// Where the counter's last word came from.
    counter: Option<SocketAddr>,
    /// Since when requests are decided alone.
    alone_since: Option<Duration>,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    /// The limit is reached; there is likely to be room after this time.
    Limit(Duration),
    /// The counter does not answer, and this gateway's part is used up or not known.
    Unsure,
}

/// What a line on a refusal tells.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusalContext {
    pub(crate) figures: UsageFigures,
    pub(crate) counter: Option<SocketAddr>,
}

/// The limits.
pub(crate) struct Rates {
    members: Arc<Members>,
    datagrams: Arc<Datagrams>,
    metrics: Arc<Metrics>,
    clock: Clock,
    tenants: Mutex<HashMap<TenantName, TenantState>>,
    pending: Mutex<HashMap<u64, PendingQuestion>>,
    last_ask: AtomicU64,
    counters: Counters,
}

impl Rates {
    pub(crate) fn new(
        members: Arc<Members>,
        datagrams: Arc<Datagrams>,
        metrics: Arc<Metrics>,
        clock: Clock,
        tolerance: Tolerance,
    ) -> Self {
        Self {
            counters: Counters::new(
                Arc::clone(&members),
                Arc::clone(&datagrams),
                clock,
                tolerance,
            ),
            members,
            datagrams,
            metrics,
            clock,
            tenants: Mutex::default(),
            pending: Mutex::default(),
            last_ask: AtomicU64::new(0),
        }
    }

    /// Lets a tenant's request in, or not. `version` is that of the configuration that names the tenant.
    pub(crate) async fn admit(&self, tenant: &Tenant, version: u64) -> Result<(), Refused> {
        let Some(limit) = tenant.rate else {
            return Ok(());
        };
        if !self.members.is_list_loaded() {
            // Whoever knows of no other gateway would count for itself alone.
            return Err(Refused::Unsure);
        }
        let versioned = VersionedLimit::new(limit, version);
        let name = &tenant.name;
        let deadline = self.clock.now() + self.members.max_answer_timeout(MAX_COUNTER_WAIT);
        while self.clock.now() < deadline {
            match self.decide(name, limit) {
                AdmitDecision::Admitted => {
                    self.prefetch_credits(name, versioned);
                    return Ok(());
                }
                AdmitDecision::Refused { again_after } => return Err(Refused::Limit(again_after)),
                AdmitDecision::UseOwnShare => break,
                AdmitDecision::AskCounter => {}
            }
            if self.members.is_cut_off() {
                break;
            }
            match self.await_counter_reply(name, versioned).await {
                CounterReply::Received => {}
                CounterReply::NotYet => tokio::time::sleep(NOT_YET_RETRY_DELAY).await,
                CounterReply::TimedOut(counter) => {
                    self.metrics.record_rate_answer(RateAnswer::Silent);
                    self.members.record_timeout(counter);
                }
                CounterReply::NoCounter => break,
            }
        }
        self.admit_alone(name, versioned)
    }

    /// Lets a request in by this gateway's share alone, or not.
    fn admit_alone(&self, tenant: &TenantName, limit: VersionedLimit) -> Result<(), Refused> {
        let now = self.clock.now();
        let gateways = self.members.count();
        let (is_admitted, begins, is_due) = {
            let mut state = lock(&self.tenants);
            let state = state.entry(tenant.clone()).or_default();
            let begins = state.alone_since.is_none();
            state.alone_since.get_or_insert(now);
            let asked_at = state.limiter.asked_at();
            let is_due = asked_at.is_none_or(|at| now >= at + ALONE_ASK_INTERVAL);
            let limiter = &mut state.limiter;
            let is_admitted = limiter.admit_from_own_share(limit.limit(), gateways, now);
            (is_admitted, begins, is_due)
        };
        if begins {
            log::info!(tenant = tenant.as_str(), is_cut_off = self.members.is_cut_off();
                "no gateway that counts a tenant's requests answers");
        }
        if is_due {
            self.ask(tenant, 0, limit);
        }
        if is_admitted {
            self.metrics.record_rate_answer(RateAnswer::Alone);
            Ok(())
        } else {
            Err(Refused::Unsure)
        }
    }

    /// A request that was let in went to no worker.
    pub(crate) fn refund_credit(&self, tenant: &Tenant) {
        if tenant.rate.is_none() {
            return;
        }
        let now = self.clock.now();
        if let Some(state) = lock(&self.tenants).get_mut(&tenant.name) {
            state.limiter.refund_credit(now);
        }
    }

    /// What is known of a tenant's requests.
    pub(crate) fn refusal_context(&self, tenant: &TenantName) -> RefusalContext {
        let now = self.clock.now();
        let mut state = lock(&self.tenants);
        let state = state.entry(tenant.clone()).or_default();
        RefusalContext {
            figures: state.limiter.figures(now),
            counter: state.counter,
        }
    }

    fn decide(&self, tenant: &TenantName, limit: RateLimit) -> AdmitDecision {
        let now = self.clock.now();
        let gateways = self.members.count();
        let mut tenants = lock(&self.tenants);
        if let Some(state) = tenants.get_mut(tenant) {
            return state.limiter.admit(limit, gateways, now);
        }
        let state = tenants.entry(tenant.clone()).or_default();
        state.limiter.admit(limit, gateways, now)
    }

    /// Forgets what is no longer needed, for as long as the process lives.
    pub(crate) async fn run_cleanup(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let now = self.clock.now();
            let is_new = |at: Duration| now < at + IDLE_TTL;
            lock(&self.tenants)
                .retain(|_, state| state.waiting > 0 || is_new(state.limiter.used_at()));
            lock(&self.pending).retain(|_, asked| now < asked.at + CREDIT_TTL);
            self.counters.remove_idle(IDLE_TTL);
        }
    }
}
