//! Questions to the counters of tenants, and their answers.

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

/// How long a counter's answer is waited for: a few times the way to and fro within a region.
const ASK_TIMEOUT: Duration = Duration::from_millis(20);

/// A question under way.
pub(super) struct PendingQuestion {
    tenant: TenantName,
    counter: SocketAddr,
    pub(super) at: Duration,
}

/// What became of a question to the counter.
pub(super) enum CounterReply {
    /// It answered.
    Received,
    /// It is finding out whether it is to count.
    NotYet,
    /// It did not answer in time.
    TimedOut(SocketAddr),
    /// There is nobody to ask.
    NoCounter,
}

/// What became of a question as it was asked.
pub(super) enum AskState {
    /// It is on its way to a gateway.
    Sent(SocketAddr),
    /// This gateway counts and has answered.
    Answered,
    /// This gateway is finding out whether it is to count.
    NotYet,
    /// There is nobody to ask.
    NoCounter,
}

impl Rates {
    /// Asks the counter, or waits for the answer to a question under way.
    pub(super) async fn await_counter_reply(
        &self,
        tenant: &TenantName,
        limit: VersionedLimit,
    ) -> CounterReply {
        let within_region = ASK_TIMEOUT;
        let answer_timeout = self.counter(tenant).map_or(within_region, |counter| {
            self.members.answer_timeout(counter, within_region)
        });
        let (answered, is_to_ask) = {
            let now = self.clock.now();
            let mut state = lock(&self.tenants);
            let state = state.entry(tenant.clone()).or_default();
            state.waiting += 1;
            let asked = state.asked_for_them;
            let is_to_ask = asked.is_none_or(|at| now >= at + answer_timeout);
            if is_to_ask {
                state.asked_for_them = Some(now);
            }
            (Arc::clone(&state.answered), is_to_ask)
        };
        let _waiting = Waiting {
            rates: self,
            tenant,
        };
        let reply = answered.notified_owned();
        tokio::pin!(reply);
        reply.as_mut().enable();
        let mut counter = None;
        if is_to_ask {
            match self.ask(tenant, 1, limit) {
                AskState::Sent(asked) => counter = Some((asked, self.members.heard_at(asked))),
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

    /// Asks the counter for credits though no request waits, if they run low.
    pub(super) fn prefetch_credits(&self, tenant: &TenantName, limit: VersionedLimit) {
        let now = self.clock.now();
        let is_due = lock(&self.tenants)
            .get_mut(tenant)
            .is_some_and(|state| state.limiter.should_prefetch(now));
        if is_due {
            self.ask(tenant, 0, limit);
        }
    }

    /// The first gateway in the tenant's order that is not in doubt; none if all are.
    fn counter(&self, tenant: &TenantName) -> Option<SocketAddr> {
        let order = self.members.tenant_counters(tenant, MAX_COUNTER_CANDIDATES);
        let mut there = order
            .into_iter()
            .filter(|gateway| !self.members.is_suspected(*gateway));
        there.next()
    }

    /// Asks the counter for credits.
    pub(super) fn ask(&self, tenant: &TenantName, need: u32, limit: VersionedLimit) -> AskState {
        let now = self.clock.now();
        let Some(counter) = self.counter(tenant) else {
            return AskState::NoCounter;
        };
        let question = {
            let mut state = lock(&self.tenants);
            let state = state.entry(tenant.clone()).or_default();
            let need = state.waiting.max(need);
            state.limiter.credit_request(need, number_of(counter), now)
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
        let asked = PendingQuestion {
            tenant: tenant.clone(),
            counter,
            at: now,
        };
        lock(&self.pending).insert(ask, asked);
        let message = RateMessage::Ask {
            ask,
            tenant: tenant.clone(),
            question,
            limit,
        };
        self.datagrams.send(&Notice::Rate(message), [counter]);
        AskState::Sent(counter)
    }

    /// Takes a message of another gateway.
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
                let asked = lock(&self.pending).remove(&ask);
                if let Some(asked) = asked.filter(|asked| asked.counter == from) {
                    self.apply_answer(asked, answer, from);
                }
            }
            RateMessage::Ping => self
                .datagrams
                .send(&Notice::Rate(RateMessage::Pong), [from]),
            RateMessage::Pong => {}
        }
    }

    fn apply_answer(&self, asked: PendingQuestion, answer: CounterAnswer, from: SocketAddr) {
        let took = self.clock.now().saturating_sub(asked.at);
        self.members.record_answer(from, took);
        match answer {
            CounterAnswer::Counted(verdict) => {
                self.metrics.record_rate_answer(answer_of(verdict));
                self.apply_verdict(&asked.tenant, verdict, asked.at, from);
            }
            CounterAnswer::CountedBy(counter) => {
                self.metrics.record_rate_answer(RateAnswer::NotCounter);
                self.members.confirm_alive(counter);
                self.wake(&asked.tenant);
            }
            CounterAnswer::NotYet => self.metrics.record_rate_answer(RateAnswer::NotCounter),
        }
    }

    fn wake(&self, tenant: &TenantName) {
        if let Some(state) = lock(&self.tenants).get_mut(tenant) {
            state.asked_for_them = None;
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
                "a tenant's requests are counted again");
        }
        state.counter = Some(counter);
        state.asked_for_them = None;
        let number = number_of(counter);
        state
            .limiter
            .apply_response(verdict, number, gateways, asked_at, now);
        state.answered.notify_waiters();
    }
}

/// The number that names a counter.
fn number_of(counter: SocketAddr) -> u64 {
    stable_hash(counter)
}

fn answer_of(verdict: CreditResponse) -> RateAnswer {
    match verdict {
        CreditResponse::Granted { .. } => RateAnswer::Granted,
        CreditResponse::Exhausted { .. } => RateAnswer::Exhausted,
        CreditResponse::DecideAlone => RateAnswer::Alone,
    }
}

/// A request that waits for the counter's answer.
struct Waiting<'r> {
    rates: &'r Rates,
    tenant: &'r TenantName,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(state) = lock(&self.rates.tenants).get_mut(self.tenant) {
            state.waiting = state.waiting.saturating_sub(1);
        }
    }
}
