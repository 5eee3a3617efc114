//! The counter's side of a limit: it decides about jobs, collects reports of outstanding tokens, and maintains the
//! register.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use swiftshunt_journal::LogError;
use swiftshunt_scheduler::waiting_tokens::{
    AdmissionRequest, Counter, Decision, PartitionTokens, REGISTER_TTL,
};

use super::{CollectRequest, WaitingLimits};
use crate::fleet_state::lock;
use crate::messages::waiting::{Allowance, HeldPartition, JobVerdict, LimitedJob, WaitingMessage};
use crate::metrics::Basis;

/// Interval between two collections of reports while the outstanding tokens are near the limit.
const COLLECT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two collections while the outstanding tokens are far from the limit.
const COLLECT_INTERVAL_FAR: Duration = Duration::from_secs(2);
/// Interval between two collections while no job arrives.
const COLLECT_INTERVAL_IDLE: Duration = Duration::from_secs(30);
/// Divisor of the limit: outstanding tokens below the quotient are far from the limit.
const FAR_LIMIT_DIVISOR: u64 = 4;
/// Number of times that a register is read again within [`REGISTER_TTL`].
const VERIFICATIONS_PER_TTL: u32 = 2;
/// Maximum number of collection rounds of one limit whose answers are accepted.
const MAX_OPEN_ROUNDS: usize = 4;
/// Time after which a gateway may ask again if the register has to be read before its job is decided.
const VERIFICATION_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The collection rounds whose answers are still accepted.
#[derive(Default)]
pub(super) struct CollectRounds {
    last_number: u64,
    open_rounds: HashMap<Allowance, VecDeque<(u64, Duration)>>,
}

impl CollectRounds {
    /// Begins a round and returns its number.
    fn begin(&mut self, allowance: &Allowance, now: Duration) -> u64 {
        self.last_number += 1;
        let rounds = self.open_rounds.entry(allowance.clone()).or_default();
        rounds.push_back((self.last_number, now));
        while rounds.len() > MAX_OPEN_ROUNDS {
            rounds.pop_front();
        }
        self.last_number
    }

    /// Returns when a round began; `None` if its answers are no longer accepted.
    fn began_at(&self, allowance: &Allowance, round: u64) -> Option<Duration> {
        let mut rounds = self.open_rounds.get(allowance)?.iter();
        rounds
            .find(|(number, _)| *number == round)
            .map(|(_, at)| *at)
    }

    /// Returns when the last round of a limit began.
    fn last_at(&self, allowance: &Allowance) -> Option<Duration> {
        self.open_rounds.get(allowance)?.back().map(|(_, at)| *at)
    }
}

/// The work that is due for a limit.
struct DueWork {
    allowance: Allowance,
    limit: u64,
    should_verify: bool,
    /// `Some` if reports are collected now; the value says whether holders first read their partitions to the end.
    collect_exact: Option<bool>,
}

impl WaitingLimits {
    /// Decides whether a job is admitted; returns [`JobVerdict::NotCounter`] if this gateway is not the counter.
    pub(super) fn decide(&self, job: &LimitedJob) -> JobVerdict {
        if !self.is_counter(&job.allowance) {
            return JobVerdict::NotCounter;
        }
        let now = self.clock.now();
        let mut counters = lock(&self.counters);
        let Some(counter) = counters.get_mut(&job.allowance) else {
            return JobVerdict::NotCounter;
        };
        let request = AdmissionRequest {
            job: &job.job,
            partition: job.partition,
            tokens: job.tokens,
            limit: job.limit,
        };
        let decision = counter.decide(&request, now);
        self.log_decision(job, counter, decision, now);
        match decision {
            Decision::Admitted => JobVerdict::Admitted,
            Decision::Full => JobVerdict::Full,
            Decision::Lost => {
                self.wakeup.notify_one();
                JobVerdict::NotCounter
            }
            Decision::Settling(within) => {
                self.wakeup.notify_one();
                JobVerdict::Settling {
                    within_ms: within.as_millis() as u64,
                }
            }
            Decision::Unverified => {
                self.wakeup.notify_one();
                JobVerdict::Settling {
                    within_ms: VERIFICATION_RETRY_DELAY.as_millis() as u64,
                }
            }
        }
    }

    /// Returns whether this gateway is the counter of a limit according to the last register that it read.
    pub(super) fn is_counter(&self, allowance: &Allowance) -> bool {
        let register = self.registers.cached(allowance);
        register.is_some_and(|register| {
            register.counter == self.own_member_name && !register.is_stopped
        })
    }

    fn log_decision(&self, job: &LimitedJob, counter: &Counter, decision: Decision, now: Duration) {
        let register = counter.register();
        let outstanding = counter.outstanding();
        // The gateway of a job that has to wait asks again every few milliseconds and logs the final outcome.
        let level = match decision {
            Decision::Admitted | Decision::Full | Decision::Lost => log::Level::Info,
            Decision::Settling(_) | Decision::Unverified => log::Level::Debug,
        };
        log::log!(level, job = job.job.as_str(), route = job.allowance.route.as_str(), tokens = job.tokens,
            limit = job.limit, decision:? = decision, settled = counter.is_settled(),
            reported = outstanding.reported(), granted = outstanding.granted(), partitions = outstanding.partitions(),
            oldest_ms = now.saturating_sub(outstanding.as_of()).as_millis() as u64, version = register.version,
            counted = register.counted, share = register.share, earlier_shares = register.earlier_shares;
            "decided whether a job fits into the limit of waiting tokens");
        let basis = if counter.is_settled() {
            Basis::Counted
        } else {
            Basis::Share
        };
        let fits = decision == Decision::Admitted;
        self.metrics.record_limit_decision(basis, fits);
    }

    pub(super) fn apply_recorded(&self, allowance: &Allowance, job: &str) {
        let now = self.clock.now();
        if let Some(counter) = lock(&self.counters).get_mut(allowance) {
            counter.mark_recorded(job, now);
        }
    }

    pub(super) fn apply_released(&self, allowance: &Allowance, job: &str) {
        if let Some(counter) = lock(&self.counters).get_mut(allowance) {
            counter.release(job);
        }
    }

    /// Applies a holder's report of its partitions; ignores it if its round is no longer open.
    pub(super) fn apply_collected(
        &self,
        allowance: &Allowance,
        round: u64,
        partitions: Vec<HeldPartition>,
    ) {
        let Some(round_began_at) = lock(&self.rounds).began_at(allowance, round) else {
            return;
        };
        let mut counters = lock(&self.counters);
        let Some(counter) = counters.get_mut(allowance) else {
            return;
        };
        for held in partitions {
            counter.apply_report(PartitionTokens {
                partition: held.partition,
                tokens: held.tokens,
                end: held.end,
                as_of: round_began_at.saturating_sub(Duration::from_millis(held.age_ms)),
            });
        }
    }

    /// Maintains the limits whose counter is this gateway, until the process ends. `holders` returns the addresses of
    /// the gateways that hold partitions of the journal.
    pub(crate) async fn run_counting<Holders>(self: Arc<Self>, holders: impl Fn() -> Holders)
    where
        Holders: Future<Output = BTreeSet<SocketAddr>>,
    {
        loop {
            if lock(&self.counters).is_empty() {
                self.wakeup.notified().await;
            } else {
                let wakeup = self.wakeup.notified();
                drop(tokio::time::timeout(COLLECT_INTERVAL, wakeup).await);
            }
            let due_work = self.due_work();
            if due_work
                .iter()
                .any(|due_work| due_work.collect_exact.is_some())
            {
                let holders = holders().await;
                for due_work in &due_work {
                    self.request_holder_reports(due_work, &holders);
                }
            }
            join_all(
                due_work
                    .iter()
                    .map(|due_work| self.maintain_register(due_work)),
            )
            .await;
        }
    }

    /// Returns the due work for each limit whose counter is this gateway.
    fn due_work(&self) -> Vec<DueWork> {
        let now = self.clock.now();
        let rounds = lock(&self.rounds);
        let counters = lock(&self.counters);
        let due_work = counters.iter().map(|(allowance, counter)| {
            let was_asked = counter.was_asked_recently(now);
            let max_tokens = counter.outstanding().max_tokens();
            let is_exact = counter.needs_exact_reports(now);
            let is_far = counter.is_settled() && max_tokens < counter.limit() / FAR_LIMIT_DIVISOR;
            let pause = if !was_asked {
                COLLECT_INTERVAL_IDLE
            } else if is_far && !is_exact {
                COLLECT_INTERVAL_FAR
            } else {
                COLLECT_INTERVAL
            };
            let round_began_at = rounds.last_at(allowance);
            let is_due = round_began_at.is_none_or(|at| now >= at + pause);
            let should_collect =
                is_due && self.is_counter(allowance) && (was_asked || max_tokens > 0);
            DueWork {
                allowance: allowance.clone(),
                limit: counter.limit(),
                should_verify: was_asked
                    && now >= counter.verified_at() + REGISTER_TTL / VERIFICATIONS_PER_TTL,
                collect_exact: should_collect.then_some(is_exact),
            }
        });
        due_work.collect()
    }

    /// Starts a collection round: asks all holders for the outstanding tokens in their partitions.
    fn request_holder_reports(&self, due_work: &DueWork, holders: &BTreeSet<SocketAddr>) {
        let Some(is_exact) = due_work.collect_exact else {
            return;
        };
        let now = self.clock.now();
        let round = lock(&self.rounds).begin(&due_work.allowance, now);
        let own = self.members.own_address();
        self.enqueue(CollectRequest {
            from: own,
            round,
            allowance: due_work.allowance.clone(),
            is_exact,
        });
        for holder in holders.iter().filter(|holder| **holder != own) {
            let message = WaitingMessage::Collect {
                round,
                allowance: due_work.allowance.clone(),
                is_exact,
            };
            self.send(message, *holder);
        }
    }

    /// Reads the register again if that is due, and proposes the change that the counter wants, if any.
    async fn maintain_register(&self, due_work: &DueWork) {
        let maintained = async {
            if due_work.should_verify {
                let reading = self.registers.read(&due_work.allowance).await?;
                self.apply_reading(&due_work.allowance, reading, due_work.limit);
                self.reclaim_if_unanswered(due_work).await?;
            }
            self.change_register(due_work).await
        };
        if let Err(error) = maintained.await {
            log::debug!(route = due_work.allowance.route.as_str();
                "cannot maintain the register of a limit; trying again: {error}");
        }
    }

    /// Proposes the change of the register that the counter wants, if any.
    async fn change_register(&self, due_work: &DueWork) -> Result<(), LogError> {
        let allowance = &due_work.allowance;
        if !self.is_counter(allowance) {
            return Ok(());
        }
        let change = lock(&self.counters)
            .get_mut(allowance)
            .and_then(Counter::next_change);
        let Some(change) = change else {
            return Ok(());
        };
        let proposal = change.register();
        log::info!(route = allowance.route.as_str(), change:? = change;
            "proposing a change of a limit's register");
        let reading = self.registers.propose(allowance, proposal).await?;
        self.apply_reading(allowance, reading, due_work.limit);
        Ok(())
    }

    /// Asks another gateway that has taken over a limit about an empty job. Takes the limit back if that gateway does
    /// not answer as the counter, since it may be cut off from all others; otherwise drops the own counter.
    async fn reclaim_if_unanswered(&self, due_work: &DueWork) -> Result<(), LogError> {
        let known = self.registers.cached(&due_work.allowance);
        let Some(register) = known.filter(|register| register.counter != self.own_member_name)
        else {
            return Ok(());
        };
        let question = LimitedJob {
            allowance: due_work.allowance.clone(),
            job: String::new(),
            partition: 0,
            tokens: 0,
            limit: due_work.limit,
        };
        match self.ask(&register, &question).await {
            None | Some(JobVerdict::NotCounter) => {
                let version = Some(register.version);
                self.take_over(&due_work.allowance, due_work.limit, version)
                    .await
            }
            Some(_) => {
                lock(&self.counters).remove(&due_work.allowance);
                Ok(())
            }
        }
    }
}
