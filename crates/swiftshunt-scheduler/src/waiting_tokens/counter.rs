//! What the gateway that counts for a limit decides.

use std::time::Duration;

use super::outstanding::{OutstandingTokens, PartitionTokens};
use super::register::{FIRST_TERM, Register};
use super::{GRANT_LIFETIME, IDLE_TIMEOUT, REGISTER_READ_TIMEOUT, REGISTER_TTL};

/// A job that asks for room.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'r> {
    /// The job.
    pub job: &'r str,
    /// The partition that it lies in.
    pub partition: u32,
    /// Its tokens.
    pub tokens: u64,
    /// The limit by the configuration of the gateway that asks.
    pub limit: u64,
}

/// The moment as of which reports show all that gateways have admitted that count no more since `now` at the latest.
fn surely_shown_from(now: Duration) -> Duration {
    now + REGISTER_TTL + GRANT_LIFETIME
}

/// What is decided about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It fits.
    Admitted,
    /// It does not fit now.
    Full,
    /// It is not known yet whether it fits; it is after this time.
    Settling(Duration),
    /// The register has to be read before: another gateway may count.
    Unverified,
    /// The register cannot be read here: another gateway is to count.
    Lost,
}

/// A change of the register that the gateway that counts wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Shares are counted, and free again.
    Settle(Register),
    /// All that is free is needed.
    Raise(Register),
    /// What is not needed is given back.
    GiveBack(Register),
}

impl Change {
    /// The register after the change.
    pub fn register(&self) -> &Register {
        match self {
            Self::Settle(register) | Self::Raise(register) | Self::GiveBack(register) => register,
        }
    }
}

/// The gateway that counts for one limit.
#[derive(Debug)]
pub struct Counter {
    register: Register,
    /// When the read began that showed the register.
    verified_at: Duration,
    /// When it was first asked since the register is too old to count by.
    unverified_since: Option<Duration>,
    /// Reports as of this moment show what every gateway that counted before has admitted.
    settles_from: Duration,
    /// Reports have to be as of this moment: when it was asked first after a time without jobs.
    needed_from: Duration,
    /// Whether reports have shown all that stands.
    is_shown: bool,
    /// Tokens of the share that are spent.
    spent: u64,
    outstanding: OutstandingTokens,
    partitions: u32,
    /// The limit that was asked for last, and when.
    limit: u64,
    asked_at: Duration,
    /// Tokens for which there must be room so that the last job that found none fits; 0 if there is none.
    needed: u64,
    /// Whether it admits nothing more, since its process stops.
    is_stopping: bool,
}

impl Counter {
    /// A gateway that has begun to count, with `limit` tokens in all: `register` says so, by a read that began at
    /// `verified_at` and has ended `now`. `partitions` is how many the journal has.
    pub fn new(
        register: Register,
        limit: u64,
        verified_at: Duration,
        now: Duration,
        partitions: u32,
    ) -> Self {
        let settles_from = if register.term == FIRST_TERM || register.follows_stopped {
            now
        } else {
            surely_shown_from(now)
        };
        Self {
            register,
            verified_at,
            unverified_since: None,
            settles_from,
            needed_from: Duration::ZERO,
            is_shown: false,
            spent: 0,
            outstanding: OutstandingTokens::default(),
            partitions,
            limit,
            asked_at: now,
            needed: 0,
            is_stopping: false,
        }
    }

    /// Admits nothing more, so that another gateway can take over without waiting for what this one may do.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// The register that says that it has stopped; none as long as what it admitted may still be recorded, or
    /// something may be in the hands of others.
    pub fn stopped_register(&self, now: Duration) -> Option<Register> {
        let is_resolved = self.is_stopping && self.outstanding.all_grants_resolved(now);
        (is_resolved && self.has_no_shares_elsewhere()).then(|| self.register.stopped())
    }

    /// Whether it knows what stands, and no room is in the hands of others.
    pub fn has_no_shares_elsewhere(&self) -> bool {
        self.is_settled() && self.register.shares() == 0
    }

    /// The register that it counts by.
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// What stands, as far as known.
    pub fn outstanding(&self) -> &OutstandingTokens {
        &self.outstanding
    }

    /// Whether it counts by what stands: that is known, and the register says so. One gateway alone does.
    pub fn is_settled(&self) -> bool {
        self.is_shown && self.is_known_to_this()
    }

    fn is_known_to_this(&self) -> bool {
        self.register.known_to.as_ref() == Some(&self.register.counter)
    }

    /// The limit that was asked for last.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// When the read began by which it counts.
    pub fn verified_at(&self) -> Duration {
        self.verified_at
    }

    /// Whether reports have to show what stands as of now.
    pub fn needs_exact_reports(&self, now: Duration) -> bool {
        let has_shares = !self.is_settled() || self.register.shares() > 0;
        (has_shares && now >= self.settles_from) || !self.is_current()
    }

    /// Whether reports are as new as they have to be.
    fn is_current(&self) -> bool {
        self.outstanding
            .covers_partitions_since(self.needed_from, self.partitions)
    }

    /// Whether it was asked of late.
    pub fn was_asked_recently(&self, now: Duration) -> bool {
        now < self.asked_at + IDLE_TIMEOUT
    }

    /// A read that began at `read_at` shows that it still counts. Where others counted meanwhile, what they were
    /// given stays set aside until reports show what became of it.
    pub fn confirm_register(&mut self, register: Register, read_at: Duration, now: Duration) {
        self.verified_at = self.verified_at.max(read_at);
        self.unverified_since = None;
        if register.version <= self.register.version {
            return;
        }
        if register.term > self.register.term {
            self.settles_from = surely_shown_from(now);
        }
        self.register = register;
    }

    /// Takes what a holder reports of a partition.
    pub fn apply_report(&mut self, holding: PartitionTokens) {
        self.outstanding.apply_report(holding);
        self.is_shown |= self.is_all_shown();
    }

    fn is_all_shown(&self) -> bool {
        self.outstanding
            .covers_partitions_since(self.settles_from, self.partitions)
    }

    /// The record of an admitted job stands.
    pub fn mark_recorded(&mut self, job: &str, now: Duration) {
        self.outstanding.mark_recorded(job, now);
    }

    /// An admitted job was not recorded, and will not be.
    pub fn release(&mut self, job: &str) {
        let tokens = self.outstanding.release(job);
        if !self.is_settled() {
            self.spent = self.spent.saturating_sub(tokens);
        }
    }

    /// Decides about a job. The same job is counted once.
    pub fn decide(&mut self, request: &AdmissionRequest<'_>, now: Duration) -> Decision {
        self.limit = request.limit;
        if !self.was_asked_recently(now) {
            self.needed_from = now;
        }
        self.asked_at = now;
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
        // Callers name the tokens, and may name any number.
        let most = self.outstanding.max_tokens().saturating_add(request.tokens);
        if most <= self.register.counted.min(request.limit) {
            return Decision::Admitted;
        }
        if most > request.limit {
            return Decision::Full;
        }
        self.needed = self.needed.max(most);
        if most <= request.limit.saturating_sub(self.register.shares()) {
            return Decision::Settling(Duration::ZERO);
        }
        Decision::Settling(self.settles_from.saturating_sub(now))
    }

    fn decide_by_share(&mut self, request: &AdmissionRequest<'_>, now: Duration) -> Decision {
        let spent = self.spent.saturating_add(request.tokens);
        if spent <= self.register.share.min(request.limit) {
            self.spent = spent;
            return Decision::Admitted;
        }
        self.needed = self.needed.max(request.tokens);
        Decision::Settling(self.settles_from.saturating_sub(now))
    }

    /// A change of the register that is due.
    pub fn next_change(&mut self) -> Option<Change> {
        if !self.is_shown || self.limit == 0 || self.is_stopping {
            return None;
        }
        let most = self.outstanding.max_tokens();
        let needed = std::mem::take(&mut self.needed).max(most);
        let change = if self.is_to_settle() {
            Change::Settle(self.register.settled(needed, self.limit))
        } else if needed > self.register.counted && self.register.free(self.limit) > 0 {
            Change::Raise(self.register.raised(self.limit))
        } else {
            Change::GiveBack(self.register.lowered(needed, self.limit)?)
        };
        // The change may be made though nobody tells: what it gives away is no longer there.
        self.register.counted = self.register.counted.min(change.register().counted);
        Some(change)
    }

    /// Whether shares are set aside of which reports have shown all, or nobody knew what stands.
    fn is_to_settle(&self) -> bool {
        let is_due = !self.is_known_to_this() || self.register.shares() > 0;
        is_due && self.is_all_shown()
    }
}
