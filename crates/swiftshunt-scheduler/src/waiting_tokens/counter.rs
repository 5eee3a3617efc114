//! Admission decisions of the gateway that is the counter of a limit.

use std::time::Duration;

use super::outstanding::{OutstandingTokens, PartitionTokens};
use super::register::{FIRST_TERM, Register};
use super::{GRANT_LIFETIME, IDLE_TIMEOUT, REGISTER_READ_TIMEOUT, REGISTER_TTL};

/// A job that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'r> {
    /// Name of the job.
    pub job: &'r str,
    /// Partition that the job is stored in.
    pub partition: u32,
    /// Tokens of the job.
    pub tokens: u64,
    /// The limit in the configuration of the gateway that asks.
    pub limit: u64,
}

/// Returns the moment from which reports include all jobs admitted by gateways that stopped
/// counting by `now`.
fn fully_reported_from(now: Duration) -> Duration {
    now + REGISTER_TTL + GRANT_LIFETIME
}

/// Decision about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The job fits.
    Admitted,
    /// The job does not fit now.
    Full,
    /// Whether the job fits is not known yet; it will be after this time.
    Settling(Duration),
    /// The register must be read first, since another gateway may be the counter now.
    Unverified,
    /// This gateway cannot read the register: another gateway should become the counter.
    Lost,
}

/// A change of the register that the counter requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The shares are included in the known outstanding tokens and become free again.
    Settle(Register),
    /// The counter needs all free tokens.
    Raise(Register),
    /// The counter gives back tokens that it does not need.
    GiveBack(Register),
}

impl Change {
    /// Returns the register after the change.
    pub fn register(&self) -> &Register {
        match self {
            Self::Settle(register) | Self::Raise(register) | Self::GiveBack(register) => register,
        }
    }
}

/// The counter of one limit.
#[derive(Debug)]
pub struct Counter {
    register: Register,
    /// When the last read of the register began that confirmed this counter.
    verified_at: Duration,
    /// When a job first asked for admission after the register had become too old to count by.
    unverified_since: Option<Duration>,
    /// Reports as of this moment include all that previous counters admitted.
    predecessors_reported_from: Duration,
    /// Reports must be as of this moment or later: the first request after a time without jobs.
    reports_needed_from: Duration,
    /// Whether reports have included all outstanding tokens at least once.
    has_full_reports: bool,
    /// Tokens of the share that are spent.
    spent: u64,
    outstanding: OutstandingTokens,
    partitions: u32,
    /// The limit named by the last request, and the time of that request.
    limit: u64,
    last_request_at: Duration,
    /// Room in tokens that the largest job deferred since the last call of `next_change` needs,
    /// outstanding tokens included if they are known; 0 if no job was deferred.
    needed: u64,
    /// Whether the counter admits nothing more because its process is stopping.
    is_stopping: bool,
}

impl Counter {
    /// Creates the counter that `register` names, for a limit of `limit` tokens. The read that
    /// returned the register began at `verified_at` and ended `now`. The journal has `partitions`
    /// partitions.
    pub fn new(
        register: Register,
        limit: u64,
        verified_at: Duration,
        now: Duration,
        partitions: u32,
    ) -> Self {
        let predecessors_reported_from = if register.term == FIRST_TERM || register.follows_stopped
        {
            now
        } else {
            fully_reported_from(now)
        };
        Self {
            register,
            verified_at,
            unverified_since: None,
            predecessors_reported_from,
            reports_needed_from: Duration::ZERO,
            has_full_reports: false,
            spent: 0,
            outstanding: OutstandingTokens::default(),
            partitions,
            limit,
            last_request_at: now,
            needed: 0,
            is_stopping: false,
        }
    }

    /// Stops admitting jobs, so that another gateway can take over without waiting for grants of
    /// this one.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Returns the register that marks this counter as stopped; `None` while a job that it admitted
    /// may still be recorded, or shares are set aside for others.
    pub fn stopped_register(&self, now: Duration) -> Option<Register> {
        let is_resolved = self.is_stopping && self.outstanding.all_grants_resolved(now);
        (is_resolved && self.has_no_shares_elsewhere()).then(|| self.register.stopped())
    }

    /// Returns whether this counter knows all outstanding tokens and no shares are set aside.
    pub fn has_no_shares_elsewhere(&self) -> bool {
        self.is_settled() && self.register.shares() == 0
    }

    /// Returns the register by which this counter decides.
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// Returns the outstanding tokens, as far as known.
    pub fn outstanding(&self) -> &OutstandingTokens {
        &self.outstanding
    }

    /// Returns whether this counter decides by the outstanding tokens: it knows them, and the
    /// register records that it does. At most one gateway decides so.
    pub fn is_settled(&self) -> bool {
        self.has_full_reports && self.is_registered_as_settled()
    }

    fn is_registered_as_settled(&self) -> bool {
        self.register.known_to.as_ref() == Some(&self.register.counter)
    }

    /// Returns the limit named by the last request.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns when the last read of the register began that confirmed this counter.
    pub fn verified_at(&self) -> Duration {
        self.verified_at
    }

    /// Returns whether the reports of all partitions must be renewed as of `now`.
    pub fn needs_exact_reports(&self, now: Duration) -> bool {
        let has_shares = !self.is_settled() || self.register.shares() > 0;
        (has_shares && now >= self.predecessors_reported_from) || !self.is_current()
    }

    /// Returns whether the reports are as recent as required.
    fn is_current(&self) -> bool {
        self.outstanding
            .covers_partitions_since(self.reports_needed_from, self.partitions)
    }

    /// Returns whether a job recently asked for admission.
    pub fn was_asked_recently(&self, now: Duration) -> bool {
        now < self.last_request_at + IDLE_TIMEOUT
    }

    /// Applies a read of the register that began at `read_at` and names this gateway as the
    /// counter. If others counted in the meantime, their shares stay set aside until reports
    /// include what they admitted.
    pub fn confirm_register(&mut self, register: Register, read_at: Duration, now: Duration) {
        self.verified_at = self.verified_at.max(read_at);
        self.unverified_since = None;
        if register.version <= self.register.version {
            return;
        }
        if register.term > self.register.term {
            self.predecessors_reported_from = fully_reported_from(now);
        }
        self.register = register;
    }

    /// Applies a holder's report of a partition.
    pub fn apply_report(&mut self, report: PartitionTokens) {
        self.outstanding.apply_report(report);
        self.has_full_reports |= self.are_predecessors_reported();
    }

    fn are_predecessors_reported(&self) -> bool {
        self.outstanding
            .covers_partitions_since(self.predecessors_reported_from, self.partitions)
    }

    /// Marks an admitted job as recorded.
    pub fn mark_recorded(&mut self, job: &str, now: Duration) {
        self.outstanding.mark_recorded(job, now);
    }

    /// Releases an admitted job that was not recorded and will not be.
    pub fn release(&mut self, job: &str) {
        let tokens = self.outstanding.release(job);
        if !self.is_settled() {
            self.spent = self.spent.saturating_sub(tokens);
        }
    }

    /// Decides about a job. A job that asks again is counted once.
    pub fn decide(&mut self, request: &AdmissionRequest<'_>, now: Duration) -> Decision {
        self.limit = request.limit;
        if !self.was_asked_recently(now) {
            self.reports_needed_from = now;
        }
        self.last_request_at = now;
        if self.is_stopping {
            return Decision::Unverified;
        }
        if now >= self.verified_at + REGISTER_TTL {
            let since = *self.unverified_since.get_or_insert(now);
            return if now < since + REGISTER_READ_TIMEOUT {
                Decision::Unverified
            } else {
                Decision::Lost
            };
        }
        if self.outstanding.grant_again(request.job, now) {
            return Decision::Admitted;
        }
        let decision = if self.is_settled() {
            self.decide_by_outstanding(request, now)
        } else {
            self.decide_by_share(request, now)
        };
        if decision == Decision::Admitted {
            self.outstanding
                .grant(request.job, request.partition, request.tokens, now);
        }
        decision
    }

    fn decide_by_outstanding(&mut self, request: &AdmissionRequest<'_>, now: Duration) -> Decision {
        if !self.is_current() {
            return Decision::Settling(Duration::ZERO);
        }
        // Callers choose the token count, so the sum could overflow.
        let total = self.outstanding.max_tokens().saturating_add(request.tokens);
        if total <= self.register.counted.min(request.limit) {
            return Decision::Admitted;
        }
        if total > request.limit {
            return Decision::Full;
        }
        self.needed = self.needed.max(total);
        if total <= request.limit.saturating_sub(self.register.shares()) {
            return Decision::Settling(Duration::ZERO);
        }
        Decision::Settling(self.predecessors_reported_from.saturating_sub(now))
    }

    fn decide_by_share(&mut self, request: &AdmissionRequest<'_>, now: Duration) -> Decision {
        let spent = self.spent.saturating_add(request.tokens);
        if spent <= self.register.share.min(request.limit) {
            self.spent = spent;
            return Decision::Admitted;
        }
        self.needed = self.needed.max(request.tokens);
        Decision::Settling(self.predecessors_reported_from.saturating_sub(now))
    }

    /// Returns the change of the register that is due, if any.
    pub fn next_change(&mut self) -> Option<Change> {
        if !self.has_full_reports || self.limit == 0 || self.is_stopping {
            return None;
        }
        let total = self.outstanding.max_tokens();
        let needed = std::mem::take(&mut self.needed).max(total);
        let change = if self.should_settle() {
            Change::Settle(self.register.settled(needed, self.limit))
        } else if needed > self.register.counted && self.register.free(self.limit) > 0 {
            Change::Raise(self.register.raised(self.limit))
        } else {
            Change::GiveBack(self.register.lowered(needed, self.limit)?)
        };
        // The change may take effect without a confirmation, so tokens that it gives back are no
        // longer used.
        self.register.counted = self.register.counted.min(change.register().counted);
        Some(change)
    }

    /// Returns whether shares are set aside, or this counter is not yet registered as knowing the
    /// outstanding tokens, and reports include all of them.
    fn should_settle(&self) -> bool {
        let is_due = !self.is_registered_as_settled() || self.register.shares() > 0;
        is_due && self.are_predecessors_reported()
    }
}
