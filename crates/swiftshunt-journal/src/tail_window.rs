//! The newest part of a tail, as one reader passes it on to those who follow the tail through it.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::KeyedRecord;

/// Records that are kept: those who follow fall behind by some seconds at most, and one that falls
/// further reads the log.
const MOST_RECORDS: usize = 4_096;

/// A part of a tail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailPart {
    /// The records that matter, in the order of their offsets.
    pub records: Vec<KeyedRecord>,
    /// Offset up to which the reader has read.
    pub next: u64,
    /// How long ago the log was back after it had not answered the reader, if it had not.
    pub returned_ago: Option<Duration>,
}

/// Everything that matters between two offsets, and whether the reader may be relied on.
#[derive(Debug, Default)]
pub struct TailWindow {
    start: u64,
    next: u64,
    records: VecDeque<KeyedRecord>,
    /// Until when the reader may be relied on; none while it may not.
    sure_until: Option<Duration>,
    returned_at: Option<Duration>,
}

impl TailWindow {
    /// The log answered the reader with what stands from an offset up to `next`; `records` are those
    /// that matter of it. What was read before stays if this follows it. The next answer is due by
    /// `sure_until`: a reader that stood still, or reads no more, must not be relied on for longer.
    /// `returned_at` is when the log was back after it had not answered. Tells whether there is something
    /// new.
    pub fn record_read(
        &mut self,
        from: u64,
        records: Vec<KeyedRecord>,
        next: u64,
        sure_until: Duration,
        returned_at: Option<Duration>,
    ) -> bool {
        let is_new = !records.is_empty();
        let records = newest_of_keys(records);
        if self.next != from {
            self.start = from;
            self.records.clear();
        }
        self.supersede(&records);
        self.records.extend(records);
        while self.records.len() > MOST_RECORDS {
            let oldest = self.records.pop_front();
            self.start = oldest.map_or(self.start, |record| record.offset + 1);
        }
        self.next = next;
        self.sure_until = Some(sure_until);
        self.returned_at = returned_at;
        is_new
    }

    /// Drops what newer records of the same keys make needless: a configuration of 30 KB that changes every
    /// 60 ms, passed on whole to 30 gateways, takes a link of 30 Mbit/s for seconds.
    fn supersede(&mut self, newer: &[KeyedRecord]) {
        let keys: HashSet<&[u8]> = newer.iter().map(|record| record.key.as_slice()).collect();
        self.records
            .retain(|record| !keys.contains(record.key.as_slice()));
    }

    /// The log does not answer the reader in time, or it reads no more: nobody is to rely on it. Tells
    /// whether somebody could until now.
    pub fn invalidate(&mut self) -> bool {
        self.sure_until.take().is_some()
    }

    /// Whether there is an answer to a question for what stands from an offset on; otherwise it is to
    /// wait for the next change.
    pub fn can_answer(&self, from: u64, now: Duration) -> bool {
        let newest = self.records.back();
        let has_more = newest.is_some_and(|record| record.offset >= from);
        !self.knows(from, now) || has_more
    }

    /// What stands from an offset on; none if the reader does not know.
    pub fn part(&self, from: u64, now: Duration) -> Option<TailPart> {
        if !self.knows(from, now) {
            return None;
        }
        let records = self.records.iter().filter(|record| record.offset >= from);
        Some(TailPart {
            records: records.cloned().collect(),
            next: self.next.max(from),
            returned_ago: self.returned_at.map(|at| now.saturating_sub(at)),
        })
    }

    fn knows(&self, from: u64, now: Duration) -> bool {
        let is_sure = self.sure_until.is_some_and(|until| now < until);
        is_sure && from >= self.start
    }
}

/// The last record of each key, in the order of offsets.
fn newest_of_keys(records: Vec<KeyedRecord>) -> Vec<KeyedRecord> {
    let mut seen = HashSet::new();
    let mut newest: Vec<KeyedRecord> = records
        .into_iter()
        .rev()
        .filter(|record| seen.insert(record.key.clone()))
        .collect();
    newest.reverse();
    newest
}

/// The records that matter of those that were read: every end of a key, what `is_news` says, and what
/// follows that under the same key, since news is judged by what was known before all of them.
pub fn relevant_records(
    records: &[KeyedRecord],
    is_news: impl Fn(&KeyedRecord) -> bool,
) -> Vec<KeyedRecord> {
    let mut keys = HashSet::new();
    let matter = records.iter().filter(|record| {
        let key = record.key.as_slice();
        let matters = record.value.is_empty() || keys.contains(key) || is_news(record);
        if matters {
            keys.insert(key);
        }
        matters
    });
    matter.cloned().collect()
}
