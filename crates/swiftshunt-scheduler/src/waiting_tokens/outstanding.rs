//! Outstanding tokens of a limit: tokens that the holders of the journal's partitions report, and
//! tokens of admitted jobs that the reports may not include yet.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use swiftshunt_types::total_tokens;

use super::{GRANT_LIFETIME, UNRESOLVED_GRANT_TTL};

/// Outstanding tokens of a partition, as its holder has read them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionTokens {
    /// Number of the partition.
    pub partition: u32,
    /// Tokens of unfinished items.
    pub tokens: u64,
    /// Offset up to which the holder has read. A report with a lower offset than a known one is
    /// outdated.
    pub end: u64,
    /// Moment up to which the report includes all appends.
    pub as_of: Duration,
}

/// A job that was admitted.
#[derive(Clone, Copy, Debug)]
struct Grant {
    partition: u32,
    tokens: u64,
    at: Duration,
    /// Number of admissions of the job that were not released; each may record it.
    admissions: u32,
    /// When the job was confirmed as recorded.
    recorded_at: Option<Duration>,
}

impl Grant {
    /// Returns whether the report of its partition includes the job, or is so late that the job was
    /// never recorded.
    fn is_reported_by(&self, report: &PartitionTokens) -> bool {
        let reported_from = self.recorded_at.unwrap_or(self.at + UNRESOLVED_GRANT_TTL);
        self.partition == report.partition && report.as_of >= reported_from
    }
}

/// Reported and granted tokens.
#[derive(Debug, Default)]
pub struct OutstandingTokens {
    /// Last report of each partition. The report of a silent holder still counts.
    reported: BTreeMap<u32, PartitionTokens>,
    /// Admitted jobs by name.
    grants: HashMap<String, Grant>,
}

impl OutstandingTokens {
    /// Applies a report, unless an earlier report of the partition is more recent by offset or
    /// time.
    pub fn apply_report(&mut self, report: PartitionTokens) {
        let known = self.reported.get(&report.partition);
        if known.is_some_and(|known| known.end > report.end || known.as_of > report.as_of) {
            return;
        }
        self.reported.insert(report.partition, report);
        self.grants
            .retain(|_, grant| !grant.is_reported_by(&report));
    }

    /// Records that a job was admitted.
    pub fn grant(&mut self, job: &str, partition: u32, tokens: u64, at: Duration) {
        let grant = Grant {
            partition,
            tokens,
            at,
            admissions: 1,
            recorded_at: None,
        };
        self.grants.insert(job.to_owned(), grant);
    }

    /// Returns whether a job was admitted and may be missing from the reports. It may then be
    /// recorded once more, so its lifetime as a grant starts again.
    pub fn grant_again(&mut self, job: &str, now: Duration) -> bool {
        let Some(grant) = self.grants.get_mut(job) else {
            return false;
        };
        grant.at = now;
        grant.admissions += 1;
        true
    }

    /// Marks an admitted job as recorded.
    pub fn mark_recorded(&mut self, job: &str, now: Duration) {
        if let Some(grant) = self.grants.get_mut(job) {
            grant.recorded_at.get_or_insert(now);
        }
    }

    /// Releases one admission of a job that its gateway did not record and will not. Returns the
    /// tokens that no longer count.
    pub fn release(&mut self, job: &str) -> u64 {
        let Some(grant) = self.grants.get_mut(job) else {
            return 0;
        };
        grant.admissions = grant.admissions.saturating_sub(1);
        if grant.admissions > 0 || grant.recorded_at.is_some() {
            return 0;
        }
        self.grants.remove(job).map_or(0, |grant| grant.tokens)
    }

    /// Returns whether each admitted job is known to be recorded, or is so old that its caller
    /// cannot be told any more that it was accepted.
    pub fn all_grants_resolved(&self, now: Duration) -> bool {
        let mut grants = self.grants.values();
        grants.all(|grant| grant.recorded_at.is_some() || now >= grant.at + GRANT_LIFETIME)
    }

    /// Returns the tokens that the partitions report.
    pub fn reported(&self) -> u64 {
        total_tokens(self.reported.values().map(|report| report.tokens))
    }

    /// Returns the tokens of admitted jobs that the reports may not include yet.
    pub fn granted(&self) -> u64 {
        total_tokens(self.grants.values().map(|grant| grant.tokens))
    }

    /// Returns an upper bound of the outstanding tokens in the reported partitions.
    pub fn max_tokens(&self) -> u64 {
        self.reported().saturating_add(self.granted())
    }

    /// Returns whether each of `partitions` partitions has a report as of `moment` or later.
    pub fn covers_partitions_since(&self, moment: Duration, partitions: u32) -> bool {
        (0..partitions).all(|partition| {
            let report = self.reported.get(&partition);
            report.is_some_and(|report| report.as_of >= moment)
        })
    }

    /// Returns the number of reported partitions.
    pub fn partitions(&self) -> usize {
        self.reported.len()
    }

    /// Returns the moment up to which the reports of all reported partitions are complete.
    pub fn as_of(&self) -> Duration {
        let moments = self.reported.values().map(|report| report.as_of);
        moments.min().unwrap_or_default()
    }
}
