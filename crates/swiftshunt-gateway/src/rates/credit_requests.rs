//! Credit requests to the counters of tenants, and the handling of their answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use swiftshunt_scheduler::rates::bucket::CreditResponse;
use swiftshunt_scheduler::readers::stable_hash;
use swiftshunt_types::TenantName;

use super::{MAX_COUNTER_CANDIDATES, Rates};
use crate::fleet_state::lock;
use crate::messages::Notice;
use crate::messages::rates::{CounterAnswer, RateMessage, VersionedLimit};
use crate::metrics::RateAnswer;

/// Time to wait for a counter's answer: a few round trips within a region.
const ASK_TIMEOUT: Duration = Duration::from_millis(20);

/// A credit request that has no answer yet.
pub(super) struct PendingQuestion {
    tenant: TenantName,
    counter: SocketAddr,
    /// Time at which the request was sent.
    pub(super) at: Duration,
}

/// The result of waiting for a counter's answer.
pub(super) enum CounterReply {
    /// An answer arrived, or the wait for the answer to another task's credit request ended.
    Received,
    /// The asked gateway does not know yet whether it is the counter.
    NotYet,
    /// The counter did not answer in time.
    TimedOut(SocketAddr),
    /// All gateways that may be the counter are suspected to be gone.
    NoCounter,
}

/// The immediate result of a credit request.
pub(super) enum AskState {
    /// The request was sent to the gateway at this address.
    Sent(SocketAddr),
    /// This gateway is the counter and has answered.
    Answered,
    /// This gateway does not know yet whether it is the counter, or has learned that another one is.
    NotYet,
    /// All gateways that may be the counter are suspected to be gone.
    NoCounter,
}

impl Rates {
    /// Asks the counter for credits, or waits for the answer to a pending request, and returns how that ended.
    pub(super) async fn await_counter_reply(
        &self,
        tenant: &TenantName,
        limit: VersionedLimit,
    ) -> CounterReply {
        let within_region = ASK_TIMEOUT;
        let answer_timeout = self.counter(tenant).map_or(within_region, |counter| {
            self.members.answer_timeout(counter, within_region)
        });
        let (answered, should_ask) = {
            let now = self.clock.now();
            let mut state = lock(&self.tenants);
            let state = state.entry(tenant.clone()).or_default();
            state.waiting += 1;
            let requested_at = state.requested_at;
            let should_ask = requested_at.is_none_or(|at| now >= at + answer_timeout);
            if should_ask {
                state.requested_at = Some(now);
            }
            (Arc::clone(&state.answered), should_ask)
        };
        let _waiting = WaitingGuard {
            rates: self,
            tenant,
        };
        let reply = answered.notified_owned();
        tokio::pin!(reply);
        reply.as_mut().enable();
        let mut counter = None;
        if should_ask {
            match self.ask(tenant, 1, limit) {
                AskState::Sent(sent_to) => {
                    counter = Some((sent_to, self.members.heard_at(sent_to)))
                }
                AskState::Answered => return CounterReply::Received,
                AskState::NotYet => return CounterReply::NotYet,
                AskState::NoCounter => return CounterReply::NoCounter,
            }
        }
        let is_answered = tokio::time::timeout(answer_timeout, reply).await.is_ok();
        match counter {
            Some((counter, heard_at)) if !is_answered => {
                if self.members.heard_at(counter) > heard_at {
                    return CounterReply::NotYet;
                }
                CounterReply::TimedOut(counter)
            }
            _ => CounterReply::Received,
        }
    }

    /// Asks the counter for credits ahead of need if they run low.
    pub(super) fn prefetch_credits(&self, tenant: &TenantName, limit: VersionedLimit) {
        let now = self.clock.now();
        let is_due = lock(&self.tenants)
            .get_mut(tenant)
            .is_some_and(|state| state.limiter.should_prefetch(now));
        if is_due {
            self.ask(tenant, 0, limit);
        }
    }

    /// Returns the first gateway in the tenant's order that is not suspected to be gone; `None` if all are.
    fn counter(&self, tenant: &TenantName) -> Option<SocketAddr> {
        let order = self.members.tenant_counters(tenant, MAX_COUNTER_CANDIDATES);
        let mut available = order
            .into_iter()
            .filter(|gateway| !self.members.is_suspected(*gateway));
        available.next()
    }

    /// Asks the counter for credits for at least `need` requests, or decides here if this gateway is the counter.
    pub(super) fn ask(&self, tenant: &TenantName, need: u32, limit: VersionedLimit) -> AskState {
        let now = self.clock.now();
        let Some(counter) = self.counter(tenant) else {
            return AskState::NoCounter;
        };
        let question = {
            let mut state = lock(&self.tenants);
            let state = state.entry(tenant.clone()).or_default();
            let need = state.waiting.max(need);
            state
                .limiter
                .credit_request(need, counter_number(counter), now)
        };
        let own = self.members.own_address();
        if counter == own {
            self.metrics.record_rate_answer(RateAnswer::Own);
            return match self.counters.answer(own, tenant, question, limit) {
                CounterAnswer::Counted(verdict) => {
                    self.apply_verdict(tenant, verdict, now, own);
                    AskState::Answered
                }
                CounterAnswer::CountedBy(counter) => {
                    self.members.confirm_alive(counter);
                    AskState::NotYet
                }
                CounterAnswer::NotYet => AskState::NotYet,
            };
        }
        let ask = self.last_ask.fetch_add(1, Ordering::Relaxed) + 1;
        let pending = PendingQuestion {
            tenant: tenant.clone(),
            counter,
            at: now,
        };
        lock(&self.pending).insert(ask, pending);
        let message = RateMessage::Ask {
            ask,
            tenant: tenant.clone(),
            question,
            limit,
        };
        self.datagrams.send(&Notice::Rate(message), [counter]);
        AskState::Sent(counter)
    }

    /// Handles a message from another gateway.
    pub(crate) fn handle_message(&self, message: RateMessage, from: SocketAddr) {
        match message {
            RateMessage::Ask {
                ask,
                tenant,
                question,
                limit,
            } => {
                let answer = self.counters.answer(from, &tenant, question, limit);
                let message = RateMessage::Answer { ask, answer };
                self.datagrams.send(&Notice::Rate(message), [from]);
            }
            RateMessage::Answer { ask, answer } => {
                let pending = lock(&self.pending).remove(&ask);
                if let Some(pending) = pending.filter(|pending| pending.counter == from) {
                    self.apply_answer(pending, answer, from);
                }
            }
            RateMessage::Ping => self
                .datagrams
                .send(&Notice::Rate(RateMessage::Pong), [from]),
            RateMessage::Pong => {}
        }
    }

    fn apply_answer(&self, pending: PendingQuestion, answer: CounterAnswer, from: SocketAddr) {
        let took = self.clock.now().saturating_sub(pending.at);
        self.members.record_answer(from, took);
        match answer {
            CounterAnswer::Counted(verdict) => {
                self.metrics.record_rate_answer(rate_answer(verdict));
                self.apply_verdict(&pending.tenant, verdict, pending.at, from);
            }
            CounterAnswer::CountedBy(counter) => {
                self.metrics.record_rate_answer(RateAnswer::NotCounter);
                self.members.confirm_alive(counter);
                self.wake(&pending.tenant);
            }
            CounterAnswer::NotYet => self.metrics.record_rate_answer(RateAnswer::NotCounter),
        }
    }

    fn wake(&self, tenant: &TenantName) {
        if let Some(state) = lock(&self.tenants).get_mut(tenant) {
            state.requested_at = None;
            state.answered.notify_waiters();
        }
    }

    fn apply_verdict(
        &self,
        tenant: &TenantName,
        verdict: CreditResponse,
        asked_at: Duration,
        counter: SocketAddr,
    ) {
        let now = self.clock.now();
        let gateways = self.members.count();
        let mut state = lock(&self.tenants);
        let Some(state) = state.get_mut(tenant) else {
            return;
        };
        let is_counted = verdict != CreditResponse::DecideAlone;
        if let Some(since) = state.alone_since.filter(|_| is_counted) {
            state.alone_since = None;
            log::info!(tenant = tenant.as_str(), counter = counter.to_string().as_str(),
                alone_ms = now.saturating_sub(since).as_millis() as u64;
                "the counter of a tenant answers again; leaving this gateway's own share");
        }
        state.counter = Some(counter);
        state.requested_at = None;
        let number = counter_number(counter);
        state
            .limiter
            .apply_response(verdict, number, gateways, asked_at, now);
        state.answered.notify_waiters();
    }
}

/// Returns the number that identifies a counter to the limiter.
fn counter_number(counter: SocketAddr) -> u64 {
    stable_hash(counter)
}

fn rate_answer(verdict: CreditResponse) -> RateAnswer {
    match verdict {
        CreditResponse::Granted { .. } => RateAnswer::Granted,
        CreditResponse::Exhausted { .. } => RateAnswer::Exhausted,
        CreditResponse::DecideAlone => RateAnswer::Alone,
    }
}

/// Counts a request as waiting in its tenant's state until dropped.
struct WaitingGuard<'r> {
    rates: &'r Rates,
    tenant: &'r TenantName,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        if let Some(state) = lock(&self.rates.tenants).get_mut(self.tenant) {
            state.waiting = state.waiting.saturating_sub(1);
        }
    }
}
