//! A window of the newest records at the end of a partition, its tail. One gateway, the reader, reads the tail from
//! the log and sends the relevant records to other gateways, its followers, which need not read the log themselves.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::KeyedRecord;

/// Maximum number of records in the window. Followers are usually at most a few seconds behind; one that is further
/// behind reads the log itself.
const MAX_RECORDS: usize = 4_096;

/// The part of a tail that the reader sends to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailPart {
    /// The newest relevant record of each key, in the order of their offsets.
    pub records: Vec<KeyedRecord>,
    /// Offset from which the follower continues: the end of what the reader has read, or the follower's own offset if
    /// that is further.
    pub next: u64,
    /// How long ago the log answered the reader again after an outage; `None` if the reader saw no outage.
    pub returned_ago: Option<Duration>,
}

/// The relevant records between two offsets, and the time until which the window is valid.
#[derive(Debug, Default)]
pub struct TailWindow {
    start: u64,
    next: u64,
    records: VecDeque<KeyedRecord>,
    /// Time until which followers may rely on the window; `None` while they may not.
    valid_until: Option<Duration>,
    returned_at: Option<Duration>,
}

impl TailWindow {
    /// Records that the log answered the reader with the records from offset `from` up to `next`, of which `records`
    /// are the relevant ones. The window keeps its earlier records if `from` is where it ended, and starts anew
    /// otherwise.
    ///
    /// The log's next answer is due by `valid_until`; followers must not rely on the window for longer, because the
    /// reader may have been suspended or may have stopped reading. `returned_at` is when the log answered again after
    /// an outage. Returns whether there are new relevant records.
    pub fn record_read(
        &mut self,
        from: u64,
        records: Vec<KeyedRecord>,
        next: u64,
        valid_until: Duration,
        returned_at: Option<Duration>,
    ) -> bool {
        let has_new_records = !records.is_empty();
        let records = newest_of_keys(records);
        if self.next != from {
            self.start = from;
            self.records.clear();
        }
        self.remove_superseded(&records);
        self.records.extend(records);
        while self.records.len() > MAX_RECORDS {
            let oldest = self.records.pop_front();
            self.start = oldest.map_or(self.start, |record| record.offset + 1);
        }
        self.next = next;
        self.valid_until = Some(valid_until);
        self.returned_at = returned_at;
        has_new_records
    }

    /// Removes records that newer records of the same keys replace. If every version of a configuration of 30 KB that
    /// changes every 60 ms went to 30 gateways, it would occupy a link of 30 Mbit/s for seconds.
    fn remove_superseded(&mut self, newer: &[KeyedRecord]) {
        let keys: HashSet<&[u8]> = newer.iter().map(|record| record.key.as_slice()).collect();
        self.records
            .retain(|record| !keys.contains(record.key.as_slice()));
    }

    /// Marks the window as invalid, because the log does not answer the reader in time or the reader has stopped
    /// reading. Returns whether it was marked valid before.
    pub fn invalidate(&mut self) -> bool {
        self.valid_until.take().is_some()
    }

    /// Returns whether a follower's request for the records from an offset on can be answered now: there is such a
    /// record, or the window does not cover the offset. Otherwise the request waits for the next change.
    pub fn can_answer(&self, from: u64, now: Duration) -> bool {
        let newest = self.records.back();
        let has_more = newest.is_some_and(|record| record.offset >= from);
        !self.covers(from, now) || has_more
    }

    /// Returns the records from an offset on; `None` if the window is not valid or begins after the offset.
    pub fn part(&self, from: u64, now: Duration) -> Option<TailPart> {
        if !self.covers(from, now) {
            return None;
        }
        let records = self.records.iter().filter(|record| record.offset >= from);
        Some(TailPart {
            records: records.cloned().collect(),
            next: self.next.max(from),
            returned_ago: self.returned_at.map(|at| now.saturating_sub(at)),
        })
    }

    fn covers(&self, from: u64, now: Duration) -> bool {
        let is_valid = self.valid_until.is_some_and(|until| now < until);
        is_valid && from >= self.start
    }
}

/// Returns the last record of each key, in the order of offsets.
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

/// Returns the relevant ones of the records that were read: records that drop a key, records that `is_relevant`
/// selects, and all later records of the same keys. The later ones are needed because `is_relevant` compares each
/// record with what was known before all of them.
pub fn relevant_records(
    records: &[KeyedRecord],
    is_relevant: impl Fn(&KeyedRecord) -> bool,
) -> Vec<KeyedRecord> {
    let mut keys = HashSet::new();
    let relevant = records.iter().filter(|record| {
        let key = record.key.as_slice();
        let is_relevant_or_follows =
            record.value.is_empty() || keys.contains(key) || is_relevant(record);
        if is_relevant_or_follows {
            keys.insert(key);
        }
        is_relevant_or_follows
    });
    relevant.cloned().collect()
}
