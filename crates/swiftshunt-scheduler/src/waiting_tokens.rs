//! How many tokens of batch items may wait on a route, counted in one place. Pure: time is given.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use swiftshunt_types::total_tokens;

/// Time in which an admitted job shows in the report of the partition that it lies in: an append, the
/// read of it and a report.
const ADMISSION_AGE: Duration = Duration::from_millis(1_500);
/// Age from which the report of a partition no longer counts: a few times as long as the next holder
/// of its lease needs to report.
const REPORT_AGE: Duration = Duration::from_secs(12);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    tokens: u64,
    at: Duration,
}

/// The tokens that wait on one route.
#[derive(Debug, Default)]
pub struct WaitingTokens {
    /// By partition, as its holder reported last.
    partitions: BTreeMap<u32, Waiting>,
    /// Jobs that were admitted and may not show in a report yet.
    admitted: HashMap<String, Waiting>,
}

/// What a count rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Partitions of which a report counts.
    pub partitions: usize,
    /// Age of the oldest of these reports.
    pub oldest: Duration,
    /// Tokens that are reported.
    pub reported: u64,
    /// Tokens that are admitted and may not show in a report yet.
    pub admitted: u64,
}

/// What is decided about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It fits.
    Admitted,
    /// It does not fit now.
    Full,
}

impl WaitingTokens {
    /// Takes the tokens that wait in each of some partitions.
    pub fn report(&mut self, partitions: impl IntoIterator<Item = (u32, u64)>, now: Duration) {
        for (partition, tokens) in partitions {
            self.partitions
                .insert(partition, Waiting { tokens, at: now });
        }
    }

    /// Tokens that wait, as far as known.
    pub fn waiting(&mut self, now: Duration) -> u64 {
        self.partitions
            .retain(|_, waiting| now < waiting.at + REPORT_AGE);
        self.admitted
            .retain(|_, waiting| now < waiting.at + ADMISSION_AGE);
        let reported = self.partitions.values();
        let admitted = self.admitted.values();
        total_tokens(reported.chain(admitted).map(|waiting| waiting.tokens))
    }

    /// What the count rests on.
    pub fn evidence(&mut self, now: Duration) -> Evidence {
        let waiting = self.waiting(now);
        let reported = total_tokens(self.partitions.values().map(|waiting| waiting.tokens));
        let ages = self.partitions.values().map(|it| now.saturating_sub(it.at));
        Evidence {
            partitions: self.partitions.len(),
            oldest: ages.max().unwrap_or_default(),
            reported,
            admitted: waiting.saturating_sub(reported),
        }
    }

    /// Admits a job of `tokens`, if they fit into `limit` together with what waits. The same job is
    /// counted once.
    pub fn admit(&mut self, job: &str, tokens: u64, limit: u64, now: Duration) -> Admission {
        let waiting = self.waiting(now);
        let known = self.admitted.get(job).map_or(0, |waiting| waiting.tokens);
        // Callers name the tokens, and may name any number.
        if waiting.saturating_sub(known).saturating_add(tokens) > limit {
            return Admission::Full;
        }
        let waiting = Waiting { tokens, at: now };
        self.admitted.insert(job.to_owned(), waiting);
        Admission::Admitted
    }
}
