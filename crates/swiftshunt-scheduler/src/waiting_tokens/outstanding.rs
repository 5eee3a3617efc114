//! What stands in the partitions of the journal, as their holders report it, and what was admitted and may not
//! show there yet.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use swiftshunt_types::total_tokens;

use super::{GRANT_LIFETIME, UNRESOLVED_GRANT_TTL};

/// What stands in a partition, as its holder has read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionTokens {
    /// The partition.
    pub partition: u32,
    /// Tokens of unfinished items.
    pub tokens: u64,
    /// The offset up to which the holder has read: a holder that has read less reports the past.
    pub end: u64,
    /// A moment whose appends the holder has read.
    pub as_of: Duration,
}

/// A job that was admitted.
#[derive(Clone, Copy, Debug)]
struct Grant {
    partition: u32,
    tokens: u64,
    at: Duration,
    /// Gateways that may record it.
    tries: u32,
    /// When its record stood, as far as that was told.
    recorded_at: Option<Duration>,
}

impl Grant {
    /// Whether the report of its partition shows it, or it was never recorded.
    fn is_in(&self, holding: &PartitionTokens) -> bool {
        let from = self.recorded_at.unwrap_or(self.at + UNRESOLVED_GRANT_TTL);
        self.partition == holding.partition && holding.as_of >= from
    }
}

/// All that stands, or may.
#[derive(Debug, Default)]
pub struct OutstandingTokens {
    /// By partition, as reported last; what a silent holder reported counts on.
    reported: BTreeMap<u32, PartitionTokens>,
    /// By job.
    grants: HashMap<String, Grant>,
}

impl OutstandingTokens {
    /// Takes a report; one that has read less of a partition than an earlier one changes nothing.
    pub fn apply_report(&mut self, holding: PartitionTokens) {
        let known = self.reported.get(&holding.partition);
        if known.is_some_and(|known| known.end > holding.end || known.as_of > holding.as_of) {
            return;
        }
        self.reported.insert(holding.partition, holding);
        self.grants.retain(|_, grant| !grant.is_in(&holding));
    }

    /// A job was admitted.
    pub fn grant(&mut self, job: &str, partition: u32, tokens: u64, at: Duration) {
        let grant = Grant {
            partition,
            tokens,
            at,
            tries: 1,
            recorded_at: None,
        };
        self.grants.insert(job.to_owned(), grant);
    }

    /// Whether a job was admitted and may not show in a report yet. Asked for again, it may be recorded again: it
    /// counts from now on.
    pub fn grant_again(&mut self, job: &str, now: Duration) -> bool {
        let Some(grant) = self.grants.get_mut(job) else {
            return false;
        };
        grant.at = now;
        grant.tries += 1;
        true
    }

    /// The record of an admitted job stands.
    pub fn mark_recorded(&mut self, job: &str, now: Duration) {
        if let Some(grant) = self.grants.get_mut(job) {
            grant.recorded_at.get_or_insert(now);
        }
    }

    /// A gateway did not record an admitted job, and will not; gives the tokens that count no more.
    pub fn release(&mut self, job: &str) -> u64 {
        let Some(grant) = self.grants.get_mut(job) else {
            return 0;
        };
        grant.tries = grant.tries.saturating_sub(1);
        if grant.tries > 0 || grant.recorded_at.is_some() {
            return 0;
        }
        self.grants.remove(job).map_or(0, |grant| grant.tokens)
    }

    /// Whether of every admitted job it is known that its record stands, or its caller was not told that it was
    /// taken.
    pub fn all_grants_resolved(&self, now: Duration) -> bool {
        let mut grants = self.grants.values();
        grants.all(|grant| grant.recorded_at.is_some() || now >= grant.at + GRANT_LIFETIME)
    }

    /// Tokens that stand as reported.
    pub fn reported(&self) -> u64 {
        total_tokens(self.reported.values().map(|holding| holding.tokens))
    }

    /// Tokens that are admitted and may not show in a report yet.
    pub fn granted(&self) -> u64 {
        total_tokens(self.grants.values().map(|grant| grant.tokens))
    }

    /// Tokens that stand at most, as far as each partition was reported.
    pub fn max_tokens(&self) -> u64 {
        self.reported().saturating_add(self.granted())
    }

    /// Whether each of `partitions` partitions was reported as of a moment or later.
    pub fn covers_partitions_since(&self, moment: Duration, partitions: u32) -> bool {
        (0..partitions).all(|partition| {
            let holding = self.reported.get(&partition);
            holding.is_some_and(|holding| holding.as_of >= moment)
        })
    }

    /// Partitions that were reported.
    pub fn partitions(&self) -> usize {
        self.reported.len()
    }

    /// The moment as of which all reported partitions are known.
    pub fn as_of(&self) -> Duration {
        let moments = self.reported.values().map(|holding| holding.as_of);
        moments.min().unwrap_or_default()
    }
}
