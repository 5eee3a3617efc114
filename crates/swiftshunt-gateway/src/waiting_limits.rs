//! Limits of the tokens that a tenant may have waiting on a batch route: the holders of the journal's
//! partitions report to one gateway for each tenant and route what waits, and it says whether a job fits.
//!
//! Where that gateway does not answer, the last total that it told decides.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::waiting_tokens::{Admission, WaitingTokens};
use swiftshunt_types::TenantName;
use tokio::sync::oneshot;

use crate::beliefs::lock;
use crate::clock::Clock;
use crate::datagrams::Datagrams;
use crate::members::Members;
use crate::messages::Notice;
use crate::messages::waiting::{Allowance, WaitingMessage};
use crate::metrics::{Basis, Metrics};

/// Pause between two reports.
pub(crate) const REPORT_EVERY: Duration = Duration::from_millis(400);
/// How long the answer is waited for: a caller waits for its 202 meanwhile, for hundreds of
/// milliseconds at least.
const ANSWER_PATIENCE: Duration = Duration::from_millis(60);
/// Age up to which the last total counts where nobody answers.
const TOTAL_AGE: Duration = Duration::from_secs(5);

/// The last total that was told of a route.
#[derive(Clone, Copy)]
struct Total {
    waiting: u64,
    at: Duration,
}

/// The limits.
pub(crate) struct WaitingLimits {
    members: Arc<Members>,
    datagrams: Arc<Datagrams>,
    metrics: Arc<Metrics>,
    clock: Clock,
    /// What this gateway counts.
    counted: Mutex<HashMap<Allowance, WaitingTokens>>,
    totals: Mutex<HashMap<Allowance, Total>>,
    asks: Mutex<HashMap<u64, oneshot::Sender<(bool, u64)>>>,
    last_ask: AtomicU64,
}

impl WaitingLimits {
    pub(crate) fn new(
        members: Arc<Members>,
        datagrams: Arc<Datagrams>,
        metrics: Arc<Metrics>,
        clock: Clock,
    ) -> Self {
        Self {
            members,
            datagrams,
            metrics,
            clock,
            counted: Mutex::default(),
            totals: Mutex::default(),
            asks: Mutex::default(),
            last_ask: AtomicU64::new(0),
        }
    }

    /// The gateway that counts what waits.
    fn counter(&self, allowance: &Allowance) -> SocketAddr {
        let tenant = allowance.tenant.as_ref().map_or("", TenantName::as_str);
        self.members.owner(&Cell {
            service: format!("{}/{tenant}", allowance.route),
            region: None,
            count: 1,
            index: 0,
        })
    }

    fn send(&self, message: WaitingMessage, to: SocketAddr) {
        self.datagrams.send(&Notice::Waiting(message), [to]);
    }

    /// Reports what waits on a route in partitions that are held here.
    pub(crate) fn report(&self, allowance: &Allowance, partitions: Vec<(u32, u64)>) {
        let counter = self.counter(allowance);
        if counter == self.members.own() {
            self.take_report(allowance, partitions);
            return;
        }
        let message = WaitingMessage::Report {
            allowance: allowance.clone(),
            partitions,
        };
        self.send(message, counter);
    }

    fn take_report(&self, allowance: &Allowance, partitions: Vec<(u32, u64)>) {
        let now = self.clock.now();
        let mut counted = lock(&self.counted);
        counted
            .entry(allowance.clone())
            .or_default()
            .report(partitions, now);
    }

    /// Whether a job of `tokens` fits into the limit of its route.
    pub(crate) async fn fits(
        &self,
        allowance: &Allowance,
        job: &str,
        tokens: u64,
        limit: u64,
    ) -> bool {
        let counter = self.counter(allowance);
        let answer = if counter == self.members.own() {
            Some(self.count(allowance, job, tokens, limit))
        } else {
            self.ask(counter, allowance, job, tokens, limit).await
        };
        if let Some((fits, waiting)) = answer {
            let at = self.clock.now();
            lock(&self.totals).insert(allowance.clone(), Total { waiting, at });
            self.metrics.limit_decided(Basis::Counted, fits);
            return fits;
        }
        self.fits_into_last_total(allowance, job, tokens, limit)
    }

    /// Decides where the gateway that counts does not answer.
    fn fits_into_last_total(
        &self,
        allowance: &Allowance,
        job: &str,
        tokens: u64,
        limit: u64,
    ) -> bool {
        let now = self.clock.now();
        let mut totals = lock(&self.totals);
        let last = totals
            .get_mut(allowance)
            .filter(|it| now < it.at + TOTAL_AGE);
        let Some(total) = last else {
            log::info!(job, route = allowance.route.as_str(), tokens, limit;
                "a job is admitted though nobody knows what waits");
            self.metrics.limit_decided(Basis::Nothing, true);
            return true;
        };
        let fits = total.waiting + tokens <= limit;
        log::info!(job, route = allowance.route.as_str(), tokens, limit, fits,
            waiting = total.waiting, age_ms = now.saturating_sub(total.at).as_millis() as u64;
            "the last total decides about a job");
        self.metrics.limit_decided(Basis::LastTotal, fits);
        if fits {
            total.waiting += tokens;
        }
        fits
    }

    /// Decides about a job where what waits on its route is counted here.
    fn count(&self, allowance: &Allowance, job: &str, tokens: u64, limit: u64) -> (bool, u64) {
        let now = self.clock.now();
        let mut counted = lock(&self.counted);
        let counted_here = counted.entry(allowance.clone()).or_default();
        let evidence = counted_here.evidence(now);
        let fits = counted_here.admit(job, tokens, limit, now) == Admission::Admitted;
        log::info!(job, route = allowance.route.as_str(), tokens, limit, fits,
            reported = evidence.reported, admitted = evidence.admitted,
            partitions = evidence.partitions, oldest_ms = evidence.oldest.as_millis() as u64;
            "what waits was counted for a job");
        (fits, counted_here.waiting(now))
    }

    async fn ask(
        &self,
        counter: SocketAddr,
        allowance: &Allowance,
        job: &str,
        tokens: u64,
        limit: u64,
    ) -> Option<(bool, u64)> {
        let ask = self.last_ask.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = oneshot::channel();
        lock(&self.asks).insert(ask, sender);
        let message = WaitingMessage::Ask {
            ask,
            allowance: allowance.clone(),
            job: job.to_owned(),
            tokens,
            limit,
        };
        self.send(message, counter);
        let asked_at = self.clock.now();
        let patience = self.members.patience(counter, ANSWER_PATIENCE);
        let answer = tokio::time::timeout(patience, receiver).await;
        lock(&self.asks).remove(&ask);
        match answer {
            Ok(Ok(answer)) => {
                let took = self.clock.now().saturating_sub(asked_at);
                self.members.answered(counter, took);
                Some(answer)
            }
            _ => {
                self.members.missed(counter);
                log::info!(job, route = allowance.route.as_str(), counter = counter.to_string().as_str();
                    "the gateway that counts a route's waiting tokens did not answer");
                None
            }
        }
    }

    /// Takes a message of another gateway.
    pub(crate) fn take(&self, message: WaitingMessage, from: SocketAddr) {
        self.members.heard(from);
        match message {
            WaitingMessage::Report {
                allowance,
                partitions,
            } => self.take_report(&allowance, partitions),
            WaitingMessage::Ask {
                ask,
                allowance,
                job,
                tokens,
                limit,
            } => {
                let (fits, waiting) = self.count(&allowance, &job, tokens, limit);
                let answer = WaitingMessage::Answer { ask, fits, waiting };
                self.send(answer, from);
            }
            WaitingMessage::Answer { ask, fits, waiting } => {
                let asked = lock(&self.asks).remove(&ask);
                if asked.is_some_and(|asked| asked.send((fits, waiting)).is_err()) {
                    log::debug!(ask; "an answer about a limit came to nobody");
                }
            }
        }
    }
}
