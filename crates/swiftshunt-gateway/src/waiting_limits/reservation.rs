//! Reserves room for a job within a limit, at the gateway that receives the job.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use swiftshunt_journal::LogError;
use swiftshunt_scheduler::waiting_tokens::{Counter, Register};
use tokio::sync::oneshot;

use super::WaitingLimits;
use super::registers::RegisterReading;
use crate::batch::Member;
use crate::fleet_state::lock;
use crate::messages::waiting::{Allowance, JobVerdict, LimitedJob, WaitingMessage};
use crate::metrics::Basis;

/// Time to wait for the counter's answer. The caller waits for its 202 meanwhile, which takes hundreds of
/// milliseconds in any case.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Upper bound of the time to wait for the answer of a distant counter. The job is recorded after the answer, and that
/// has to happen within the lifetime of the grant.
pub(crate) const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(450);
/// Number of consecutive unanswered questions after which a gateway takes over: a single datagram may be lost.
const MAX_MISSED_ANSWERS: u32 = 2;
/// Pause before the counter is asked again.
const ASK_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum time until a decision, as announced by the counter, for which it is worth waiting.
const MAX_SETTLING_WAIT: Duration = Duration::from_millis(300);
/// Time limit for a decision; without one by then the caller is told to retry later.
const DECISION_TIMEOUT: Duration = Duration::from_millis(900);

/// The result of reserving room for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReservationOutcome {
    /// The job fits; its tokens are reserved until it is recorded.
    Reserved,
    /// The job does not fit into the limit now.
    Full,
    /// It is unknown whether the job fits; a decision is expected after this time.
    Undecided(Duration),
}

impl WaitingLimits {
    /// Reserves room for a job within its limit.
    pub(crate) async fn reserve(&self, job: &LimitedJob) -> ReservationOutcome {
        let until = self.clock.now() + DECISION_TIMEOUT;
        let mut missed = None;
        let mut settles_in = Duration::ZERO;
        while self.clock.now() < until {
            let left = until.saturating_sub(self.clock.now());
            let outcome =
                tokio::time::timeout(left, self.ask_current_counter(job, &mut missed)).await;
            match outcome {
                Ok(Ok(Some(JobVerdict::Admitted))) => return ReservationOutcome::Reserved,
                Ok(Ok(Some(JobVerdict::Full))) => return ReservationOutcome::Full,
                Ok(Ok(Some(JobVerdict::Settling { within_ms }))) => {
                    settles_in = Duration::from_millis(within_ms);
                    if settles_in > MAX_SETTLING_WAIT {
                        break;
                    }
                }
                Ok(Ok(Some(JobVerdict::NotCounter) | None)) => {}
                Ok(Err(error)) => {
                    log::debug!(job = job.job.as_str();
                        "cannot find the counter of a limit; trying again: {error}");
                }
                Err(_) => break,
            }
            tokio::time::sleep(ASK_RETRY_DELAY).await;
        }
        log::info!(job = job.job.as_str(), route = job.allowance.route.as_str(), tokens = job.tokens,
            limit = job.limit, settles_in_ms = settles_in.as_millis() as u64;
            "no decision in time whether a job fits into the limit of waiting tokens; reporting it as undecided");
        self.metrics.record_limit_decision(Basis::Nothing, false);
        ReservationOutcome::Undecided(settles_in)
    }

    /// Tells the counter that a job with a reservation was recorded.
    pub(crate) fn confirm_reservation(&self, job: &LimitedJob) {
        let (allowance, job) = (job.allowance.clone(), job.job.clone());
        match self.other_counter(&allowance) {
            None => self.apply_recorded(&allowance, &job),
            Some(counter) => self.send(WaitingMessage::Recorded { allowance, job }, counter),
        }
    }

    /// Tells the counter that a job with a reservation was not recorded and will not be.
    pub(crate) fn release_reservation(&self, job: &LimitedJob) {
        let (allowance, job) = (job.allowance.clone(), job.job.clone());
        match self.other_counter(&allowance) {
            None => self.apply_released(&allowance, &job),
            Some(counter) => self.send(WaitingMessage::Released { allowance, job }, counter),
        }
    }

    /// Returns the address of the counter; `None` if it is this gateway or unknown.
    fn other_counter(&self, allowance: &Allowance) -> Option<SocketAddr> {
        let register = self.registers.cached(allowance)?;
        let address = address_of(&register)?;
        Some(address).filter(|_| register.counter != self.own_member_name)
    }

    /// Asks the counter about a job, and takes over from a counter that is gone. Returns `None` if the caller has to
    /// ask again. `missed` is the counter that did not answer the last question, and its number of consecutive misses.
    async fn ask_current_counter(
        &self,
        job: &LimitedJob,
        missed: &mut Option<(String, u32)>,
    ) -> Result<Option<JobVerdict>, LogError> {
        let allowance = &job.allowance;
        let register = match self.registers.cached(allowance) {
            Some(register) => Some(register),
            None => self.registers.read(allowance).await?.register,
        };
        let Some(register) = register else {
            self.take_over(allowance, job.limit, None).await?;
            return Ok(None);
        };
        if register.is_stopped {
            let version = Some(register.version);
            self.take_over(allowance, job.limit, version).await?;
            return Ok(None);
        }
        if register.counter == self.own_member_name {
            return self.decide_locally(job).await.map(Some);
        }
        let verdict = self.ask(&register, job).await;
        let is_gone = match verdict {
            Some(JobVerdict::NotCounter) => true,
            Some(verdict) => return Ok(Some(verdict)),
            None => {
                let before = missed
                    .take()
                    .filter(|(counter, _)| *counter == register.counter);
                let misses = before.map_or(0, |(_, misses)| misses) + 1;
                *missed = Some((register.counter.clone(), misses));
                misses >= MAX_MISSED_ANSWERS
            }
        };
        if is_gone {
            let version = Some(register.version);
            self.take_over(allowance, job.limit, version).await?;
        }
        Ok(None)
    }

    /// Decides by this gateway's own counter. If it has none, reads the register and starts to count if the register
    /// names this gateway.
    async fn decide_locally(&self, job: &LimitedJob) -> Result<JobVerdict, LogError> {
        let verdict = self.decide(job);
        if verdict == JobVerdict::NotCounter {
            let reading = self.registers.read(&job.allowance).await?;
            self.apply_reading(&job.allowance, reading, job.limit);
        }
        Ok(verdict)
    }

    /// Asks the counter that a register names. Returns `None` if it does not answer in time.
    pub(super) async fn ask(&self, register: &Register, job: &LimitedJob) -> Option<JobVerdict> {
        let counter = address_of(register)?;
        let ask = self.last_ask.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = oneshot::channel();
        lock(&self.pending_asks).insert(ask, sender);
        let question = WaitingMessage::Question {
            ask,
            counter: register.counter.clone(),
            job: job.clone(),
        };
        let asked_at = self.clock.now();
        self.send(question, counter);
        let answer_timeout = self.members.answer_timeout(counter, ANSWER_TIMEOUT);
        let answer_timeout = answer_timeout.min(MAX_ANSWER_TIMEOUT);
        let answer = tokio::time::timeout(answer_timeout, receiver).await;
        lock(&self.pending_asks).remove(&ask);
        if let Ok(Ok(verdict)) = answer {
            let took = self.clock.now().saturating_sub(asked_at);
            self.members.record_answer(counter, took);
            return Some(verdict);
        }
        self.members.record_timeout(counter);
        log::info!(job = job.job.as_str(), route = job.allowance.route.as_str(),
            counter = register.counter.as_str(), version = register.version;
            "the counter of a route's waiting tokens did not answer in time");
        None
    }

    /// Proposes this gateway as the counter, in place of the one that a version of the register names or as the first
    /// one. Proposes nothing if the register has changed meanwhile or this gateway is stopping.
    pub(super) async fn take_over(
        &self,
        allowance: &Allowance,
        limit: u64,
        version: Option<u64>,
    ) -> Result<(), LogError> {
        if self.is_stopping() {
            return Ok(());
        }
        let reading = self.registers.read(allowance).await?;
        if reading.register.as_ref().map(|register| register.version) != version {
            self.apply_reading(allowance, reading, limit);
            return Ok(());
        }
        let proposal = match &reading.register {
            None => Register::first(&self.own_member_name, limit),
            Some(register) if register.counter == self.own_member_name => {
                self.apply_reading(allowance, reading, limit);
                return Ok(());
            }
            Some(register) if self.has_settled_count(allowance, register) => {
                register.taken_back(&self.own_member_name)
            }
            Some(register) => register.taken_over(&self.own_member_name, limit),
        };
        let before = reading.register.map(|register| register.counter);
        let reading = self.registers.propose(allowance, &proposal).await?;
        let valid_register = reading.register.as_ref();
        let is_own =
            valid_register.is_some_and(|register| register.counter == self.own_member_name);
        log::info!(route = allowance.route.as_str(), before = before.as_deref().unwrap_or_default(), is_own,
            version = valid_register.map_or(0, |register| register.version),
            share = valid_register.map_or(0, |register| register.share), limit;
            "proposed this gateway as the counter of a route's waiting tokens");
        self.apply_reading(allowance, reading, limit);
        Ok(())
    }

    /// Updates the own counter of a limit from a reading of its register.
    pub(super) fn apply_reading(
        &self,
        allowance: &Allowance,
        reading: RegisterReading,
        limit: u64,
    ) {
        let Some(register) = reading.register else {
            return;
        };
        let mut counters = lock(&self.counters);
        if register.counter != self.own_member_name {
            // A gateway that knows the outstanding tokens keeps its counter until another gateway knows them.
            let is_own = register.known_to.as_ref() == Some(&self.own_member_name);
            if !is_own && counters.remove(allowance).is_some() {
                log::info!(route = allowance.route.as_str(), counter = register.counter.as_str(),
                    version = register.version;
                    "another gateway counts a route's waiting tokens; dropping the counter kept here");
            }
            return;
        }
        let now = self.clock.now();
        match counters.get_mut(allowance) {
            None if self.is_stopping() => {}
            Some(counter) => counter.confirm_register(register, reading.read_at, now),
            None => {
                let counter = Counter::new(register, limit, reading.read_at, now, self.partitions);
                counters.insert(allowance.clone(), counter);
                self.wakeup.notify_one();
            }
        }
    }

    /// Returns whether this gateway was the last one to know the outstanding tokens, and still knows them.
    fn has_settled_count(&self, allowance: &Allowance, register: &Register) -> bool {
        let counters = lock(&self.counters);
        let is_settled = counters.get(allowance).is_some_and(Counter::is_settled);
        is_settled && register.known_to.as_ref() == Some(&self.own_member_name)
    }
}

/// Returns the address of the counter that a register names; `None` if its name is invalid.
fn address_of(register: &Register) -> Option<SocketAddr> {
    match register.counter.parse::<Member>() {
        Ok(member) => Some(member.address),
        Err(error) => {
            log::warn!(
                "ignoring the register of a limit, whose counter has an invalid name: {error}"
            );
            None
        }
    }
}
