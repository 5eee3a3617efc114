//! Limits of the tokens that wait on batch routes: the holders of the journal's partitions report to
//! one gateway for each route what waits, and it says whether a job fits.
//!
//! Where that gateway does not answer, the last total that it told decides.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use swiftshunt_scheduler::quota::{Admission, Quota};
use swiftshunt_scheduler::slots::cell::Cell;
use tokio::sync::oneshot;

use crate::beliefs::lock;
use crate::clock::Clock;
use crate::datagrams::Datagrams;
use crate::members::Members;
use crate::peers::Notice;

/// Pause between two reports.
pub(crate) const REPORT_EVERY: Duration = Duration::from_millis(400);
/// How long the answer is waited for: a caller waits for its 202 meanwhile, for hundreds of
/// milliseconds at least.
const ANSWER_PATIENCE: Duration = Duration::from_millis(60);
/// Age up to which the last total counts where nobody answers.
const TOTAL_AGE: Duration = Duration::from_secs(5);

/// A message about the limit of a route. Each is one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum QuotaMessage {
    /// What waits in partitions that the sender holds.
    Report {
        /// The route.
        route: String,
        /// Tokens by partition.
        partitions: Vec<(u32, u64)>,
    },
    /// Asks whether a job fits.
    Ask {
        /// Names the question in the answer.
        ask: u64,
        /// The route.
        route: String,
        /// The job.
        job: String,
        /// Its tokens.
        tokens: u64,
        /// The limit.
        limit: u64,
    },
    /// The answer.
    Answer {
        /// The question.
        ask: u64,
        /// Whether it fits.
        fits: bool,
        /// Tokens that wait, with this job if it fits.
        waiting: u64,
    },
}

/// The last total that was told of a route.
#[derive(Clone, Copy)]
struct Total {
    waiting: u64,
    at: Duration,
}

/// The limits.
pub(crate) struct Quotas {
    members: Arc<Members>,
    datagrams: Arc<Datagrams>,
    clock: Clock,
    /// Of the routes that this gateway counts.
    counted: Mutex<HashMap<String, Quota>>,
    totals: Mutex<HashMap<String, Total>>,
    asks: Mutex<HashMap<u64, oneshot::Sender<(bool, u64)>>>,
    last_ask: AtomicU64,
}

impl Quotas {
    pub(crate) fn new(members: Arc<Members>, datagrams: Arc<Datagrams>, clock: Clock) -> Self {
        Self {
            members,
            datagrams,
            clock,
            counted: Mutex::default(),
            totals: Mutex::default(),
            asks: Mutex::default(),
            last_ask: AtomicU64::new(0),
        }
    }

    /// The gateway that counts what waits on a route.
    fn counter(&self, route: &str) -> SocketAddr {
        self.members.owner(&Cell {
            service: route.to_owned(),
            count: 1,
            index: 0,
        })
    }

    fn send(&self, message: QuotaMessage, to: SocketAddr) {
        self.datagrams.send(&Notice::Quota(message), [to]);
    }

    /// Reports what waits on a route in partitions that are held here.
    pub(crate) fn report(&self, route: &str, partitions: Vec<(u32, u64)>) {
        let counter = self.counter(route);
        if counter == self.members.own() {
            self.take_report(route, partitions);
            return;
        }
        let message = QuotaMessage::Report {
            route: route.to_owned(),
            partitions,
        };
        self.send(message, counter);
    }

    fn take_report(&self, route: &str, partitions: Vec<(u32, u64)>) {
        let now = self.clock.now();
        let mut counted = lock(&self.counted);
        counted
            .entry(route.to_owned())
            .or_default()
            .report(partitions, now);
    }

    /// Whether a job of `tokens` fits into the limit of its route.
    pub(crate) async fn fits(&self, route: &str, job: &str, tokens: u64, limit: u64) -> bool {
        let counter = self.counter(route);
        let answer = if counter == self.members.own() {
            Some(self.count(route, job, tokens, limit))
        } else {
            self.ask(counter, route, job, tokens, limit).await
        };
        let now = self.clock.now();
        let mut totals = lock(&self.totals);
        if let Some((fits, waiting)) = answer {
            totals.insert(route.to_owned(), Total { waiting, at: now });
            return fits;
        }
        let last = totals.get_mut(route).filter(|it| now < it.at + TOTAL_AGE);
        let Some(total) = last else {
            return true;
        };
        let fits = total.waiting + tokens <= limit;
        if fits {
            total.waiting += tokens;
        }
        fits
    }

    /// Decides about a job where what waits on its route is counted here.
    fn count(&self, route: &str, job: &str, tokens: u64, limit: u64) -> (bool, u64) {
        let now = self.clock.now();
        let mut counted = lock(&self.counted);
        let quota = counted.entry(route.to_owned()).or_default();
        let admission = quota.admit(job, tokens, limit, now);
        (admission == Admission::Admitted, quota.waiting(now))
    }

    async fn ask(
        &self,
        counter: SocketAddr,
        route: &str,
        job: &str,
        tokens: u64,
        limit: u64,
    ) -> Option<(bool, u64)> {
        let ask = self.last_ask.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = oneshot::channel();
        lock(&self.asks).insert(ask, sender);
        let message = QuotaMessage::Ask {
            ask,
            route: route.to_owned(),
            job: job.to_owned(),
            tokens,
            limit,
        };
        self.send(message, counter);
        let answer = tokio::time::timeout(ANSWER_PATIENCE, receiver).await;
        lock(&self.asks).remove(&ask);
        match answer {
            Ok(Ok(answer)) => Some(answer),
            _ => {
                self.members.missed(counter);
                log::info!(job, route, counter = counter.to_string().as_str();
                    "the gateway that counts a route's waiting tokens did not answer");
                None
            }
        }
    }

    /// Takes a message of another gateway.
    pub(crate) fn take(&self, message: QuotaMessage, from: SocketAddr) {
        self.members.heard(from);
        match message {
            QuotaMessage::Report { route, partitions } => self.take_report(&route, partitions),
            QuotaMessage::Ask {
                ask,
                route,
                job,
                tokens,
                limit,
            } => {
                let (fits, waiting) = self.count(&route, &job, tokens, limit);
                let answer = QuotaMessage::Answer { ask, fits, waiting };
                self.send(answer, from);
            }
            QuotaMessage::Answer { ask, fits, waiting } => {
                let asked = lock(&self.asks).remove(&ask);
                if asked.is_some_and(|asked| asked.send((fits, waiting)).is_err()) {
                    log::debug!(ask; "an answer about a limit came to nobody");
                }
            }
        }
    }
}
