//! What a gateway does that counts for a limit: it decides, learns what stands, and keeps the register.

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

/// Pause between two calls for what stands: near the limit, far from it, and while no job comes.
const COLLECT_INTERVAL: Duration = Duration::from_millis(400);
const COLLECT_INTERVAL_FAR: Duration = Duration::from_secs(2);
const COLLECT_INTERVAL_IDLE: Duration = Duration::from_secs(30);
/// Part of the limit up to which what stands is far from it.
const FAR_LIMIT_DIVISOR: u64 = 4;
/// Part of the time for which a register counts after which it is read again.
const VERIFICATIONS_PER_TTL: u32 = 2;
/// Calls of one limit that may be answered at a time.
const MAX_OPEN_ROUNDS: usize = 4;
/// When a question may be asked again that came before the register was read.
const VERIFICATION_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Calls for what stands that may still be answered.
#[derive(Default)]
pub(super) struct CollectRounds {
    last: u64,
    called: HashMap<Allowance, VecDeque<(u64, Duration)>>,
}

impl CollectRounds {
    /// Begins a call.
    fn begin(&mut self, allowance: &Allowance, now: Duration) -> u64 {
        self.last += 1;
        let calls = self.called.entry(allowance.clone()).or_default();
        calls.push_back((self.last, now));
        while calls.len() > MAX_OPEN_ROUNDS {
            calls.pop_front();
        }
        self.last
    }

    /// When a call began; none if it is too old to be answered.
    fn began_at(&self, allowance: &Allowance, round: u64) -> Option<Duration> {
        let mut calls = self.called.get(allowance)?.iter();
        calls.find(|(call, _)| *call == round).map(|(_, at)| *at)
    }

    /// When the last call began.
    fn last_at(&self, allowance: &Allowance) -> Option<Duration> {
        self.called.get(allowance)?.back().map(|(_, at)| *at)
    }
}

/// What is to be done about a limit.
struct Due {
    allowance: Allowance,
    limit: u64,
    is_to_verify: bool,
    /// Whether holders are called, and whether they first read what they have not seen.
    call: Option<bool>,
}

impl WaitingLimits {
    /// Decides about a job where this gateway counts.
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

    /// Whether this gateway counts for a limit, as far as it has read.
    pub(super) fn is_counter(&self, allowance: &Allowance) -> bool {
        let register = self.registers.cached(allowance);
        register.is_some_and(|register| register.counter == self.own_life && !register.is_stopped)
    }

    fn log_decision(&self, job: &LimitedJob, counter: &Counter, decision: Decision, now: Duration) {
        let register = counter.register();
        let outstanding = counter.outstanding();
        // A job that has to wait asks again every few milliseconds, and its gateway tells how that ended.
        let level = match decision {
            Decision::Admitted | Decision::Full | Decision::Lost => log::Level::Info,
            Decision::Settling(_) | Decision::Unverified => log::Level::Debug,
        };
        log::log!(level, job = job.job.as_str(), route = job.allowance.route.as_str(), tokens = job.tokens,
            limit = job.limit, decision:? = decision, settled = counter.is_settled(),
            reported = outstanding.reported(), granted = outstanding.granted(), partitions = outstanding.partitions(),
            oldest_ms = now.saturating_sub(outstanding.as_of()).as_millis() as u64, version = register.version,
            counted = register.counted, share = register.share, earlier_shares = register.earlier_shares;
            "it is decided whether a job fits");
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

    /// Takes what a holder tells of its partitions.
    pub(super) fn apply_collected(
        &self,
        allowance: &Allowance,
        round: u64,
        partitions: Vec<HeldPartition>,
    ) {
        let Some(called_at) = lock(&self.rounds).began_at(allowance, round) else {
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
                as_of: called_at.saturating_sub(Duration::from_millis(held.age_ms)),
            });
        }
    }

    /// Keeps what this gateway counts, for as long as the process lives. `holders` tells where the gateways are
    /// reached that hold partitions of the journal.
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
            let due = self.due();
            if due.iter().any(|due| due.call.is_some()) {
                let holders = holders().await;
                for due in &due {
                    self.request_holder_reports(due, &holders);
                }
            }
            join_all(due.iter().map(|due| self.maintain_register(due))).await;
        }
    }

    /// What is to be done, about each limit for which this gateway counts.
    fn due(&self) -> Vec<Due> {
        let now = self.clock.now();
        let rounds = lock(&self.rounds);
        let counters = lock(&self.counters);
        let due = counters.iter().map(|(allowance, counter)| {
            let is_asked = counter.was_asked_recently(now);
            let most = counter.outstanding().max_tokens();
            let is_exact = counter.needs_exact_reports(now);
            let is_far = counter.is_settled() && most < counter.limit() / FAR_LIMIT_DIVISOR;
            let pause = if !is_asked {
                COLLECT_INTERVAL_IDLE
            } else if is_far && !is_exact {
                COLLECT_INTERVAL_FAR
            } else {
                COLLECT_INTERVAL
            };
            let called_at = rounds.last_at(allowance);
            let is_time = called_at.is_none_or(|at| now >= at + pause);
            let is_call = is_time && self.is_counter(allowance) && (is_asked || most > 0);
            Due {
                allowance: allowance.clone(),
                limit: counter.limit(),
                is_to_verify: is_asked
                    && now >= counter.verified_at() + REGISTER_TTL / VERIFICATIONS_PER_TTL,
                call: is_call.then_some(is_exact),
            }
        });
        due.collect()
    }

    /// Calls for what stands in all partitions.
    fn request_holder_reports(&self, due: &Due, holders: &BTreeSet<SocketAddr>) {
        let Some(is_exact) = due.call else {
            return;
        };
        let now = self.clock.now();
        let round = lock(&self.rounds).begin(&due.allowance, now);
        let own = self.members.own_address();
        self.enqueue(CollectRequest {
            from: own,
            round,
            allowance: due.allowance.clone(),
            is_exact,
        });
        for holder in holders.iter().filter(|holder| **holder != own) {
            let message = WaitingMessage::Collect {
                round,
                allowance: due.allowance.clone(),
                is_exact,
            };
            self.send(message, *holder);
        }
    }

    /// Reads the register again where that is due, and changes it where that is wanted.
    async fn maintain_register(&self, due: &Due) {
        let attended = async {
            if due.is_to_verify {
                let reading = self.registers.read(&due.allowance).await?;
                self.apply_reading(&due.allowance, reading, due.limit);
                self.count_again(due).await?;
            }
            self.change_register(due).await
        };
        if let Err(error) = attended.await {
            log::debug!(route = due.allowance.route.as_str(); "a register of a limit is not kept: {error}");
        }
    }

    /// Makes the change of the register that is wanted.
    async fn change_register(&self, due: &Due) -> Result<(), LogError> {
        let allowance = &due.allowance;
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
        log::info!(route = allowance.route.as_str(), change:? = change; "a register of a limit changes");
        let reading = self.registers.propose(allowance, proposal).await?;
        self.apply_reading(allowance, reading, due.limit);
        Ok(())
    }

    /// Counts again where this gateway knows what stands and the one that has taken over does not answer: that one
    /// may be cut off from all others.
    async fn count_again(&self, due: &Due) -> Result<(), LogError> {
        let known = self.registers.cached(&due.allowance);
        let Some(register) = known.filter(|register| register.counter != self.own_life) else {
            return Ok(());
        };
        let question = LimitedJob {
            allowance: due.allowance.clone(),
            job: String::new(),
            partition: 0,
            tokens: 0,
            limit: due.limit,
        };
        match self.ask(&register, &question).await {
            None | Some(JobVerdict::NotCounter) => {
                let version = Some(register.version);
                self.take_over(&due.allowance, due.limit, version).await
            }
            Some(_) => {
                lock(&self.counters).remove(&due.allowance);
                Ok(())
            }
        }
    }
}
