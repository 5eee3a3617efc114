//! Rate limits of tenants' requests across all gateways. One gateway is the counter of each tenant, and the
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

/// Pause before credits are requested again after a gateway answered that it does not know yet whether it is the
/// counter.
const NOT_YET_RETRY_DELAY: Duration = Duration::from_millis(15);
/// Longest time for which a request waits for a counter. It covers the time in which this gateway, and then the
/// next gateway in order, find that the first gateway in order is gone.
const MAX_COUNTER_WAIT: Duration = Duration::from_millis(240);
/// Number of gateways in a tenant's order that may be its counter.
const MAX_COUNTER_CANDIDATES: usize = 3;
/// Pause between credit requests while requests are admitted by this gateway's own share.
const ALONE_ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two removals of unused state.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a request after which a tenant's state or bucket is removed.
const IDLE_TTL: Duration = Duration::from_secs(60);

/// The state of a tenant's rate limit at this gateway.
#[derive(Default)]
struct TenantState {
    limiter: TenantLimiter,
    /// Wakes requests that wait for the counter's answer.
    answered: Arc<Notify>,
    /// Number of requests that wait for the counter's answer.
    waiting: u32,
    /// Time of the credit request for whose answer requests wait; `None` if there is none.
    requested_at: Option<Duration>,
    /// The counter that answered last.
    counter: Option<SocketAddr>,
    /// Time since which requests are admitted by this gateway's own share; `None` while a counter answers.
    alone_since: Option<Duration>,
}

/// The reason for not admitting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    /// The limit is reached; a request is likely to be admitted after this time.
    Limit(Duration),
    /// No counter answers, and this gateway's own share is used up or unknown.
    Unsure,
}

/// Values for the log line about a refused request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusalContext {
    pub(crate) figures: UsageFigures,
    pub(crate) counter: Option<SocketAddr>,
}

/// The rate limits of all tenants at this gateway.
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

    /// Admits or refuses a tenant's request. `version` is the version of the configuration that the tenant is from.
    pub(crate) async fn admit(&self, tenant: &Tenant, version: u64) -> Result<(), Refused> {
        let Some(limit) = tenant.rate else {
            return Ok(());
        };
        if !self.members.is_list_loaded() {
            // Without the list of gateways this one would act as a counter unknown to the others.
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

    /// Admits or refuses a request by this gateway's own share.
    fn admit_alone(&self, tenant: &TenantName, limit: VersionedLimit) -> Result<(), Refused> {
        let now = self.clock.now();
        let gateways = self.members.count();
        let (is_admitted, starts_alone, is_due) = {
            let mut state = lock(&self.tenants);
            let state = state.entry(tenant.clone()).or_default();
            let starts_alone = state.alone_since.is_none();
            state.alone_since.get_or_insert(now);
            let asked_at = state.limiter.asked_at();
            let is_due = asked_at.is_none_or(|at| now >= at + ALONE_ASK_INTERVAL);
            let limiter = &mut state.limiter;
            let is_admitted = limiter.admit_from_own_share(limit.limit(), gateways, now);
            (is_admitted, starts_alone, is_due)
        };
        if starts_alone {
            log::info!(tenant = tenant.as_str(), is_cut_off = self.members.is_cut_off();
                "no counter answers for a tenant; admitting requests by this gateway's own share");
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

    /// Refunds the credit of an admitted request that was sent to no worker.
    pub(crate) fn refund_credit(&self, tenant: &Tenant) {
        if tenant.rate.is_none() {
            return;
        }
        let now = self.clock.now();
        if let Some(state) = lock(&self.tenants).get_mut(&tenant.name) {
            state.limiter.refund_credit(now);
        }
    }

    /// Returns the values to log when a request of a tenant is refused.
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

    /// Removes unused state periodically, until the process ends.
    pub(crate) async fn run_cleanup(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let now = self.clock.now();
            let is_recent = |at: Duration| now < at + IDLE_TTL;
            lock(&self.tenants)
                .retain(|_, state| state.waiting > 0 || is_recent(state.limiter.used_at()));
            lock(&self.pending).retain(|_, question| now < question.at + CREDIT_TTL);
            self.counters.remove_idle(IDLE_TTL);
        }
    }
}
