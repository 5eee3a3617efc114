//! Records of ends of workers in the log, which all gateways follow.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use swiftshunt_journal::{AppendOutcome, Change, Topic};
use swiftshunt_scheduler::quarantine::{Fingerprint, WorkerEnd};
use swiftshunt_scheduler::slots::WorkerKey;
use tokio::sync::Notify;

use super::Quarantine;
use crate::fleet_state::lock;
use crate::tails::SharedTails;
use crate::topic_follower::{LogBackoff, TailTiming, TopicFollower};

/// Timing of the reads that follow the records. Datagrams are faster, so the reads need not be quick. A lost read costs
/// both times together: three seconds and a half, which is half of the time between two attempts of a caller.
const FOLLOW_TIMING: TailTiming = TailTiming {
    wait: Duration::from_millis(2_500),
    hedge_after: Duration::from_secs(1),
};
/// Maximum number of records in one append: some 70 bytes each.
const MAX_RECORDS_PER_APPEND: usize = 500;
/// Maximum number of records that wait for an append. Ends beyond that are known only to gateways that received the
/// datagrams.
const MAX_PENDING_RECORDS: usize = 8_192;
/// Pause before a failed append is repeated.
const APPEND_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Separates the request, the worker and the time of its end in a record's key.
const SEPARATOR: char = '-';

/// The reason for ignoring a record.
#[derive(Debug, Display, Error)]
enum Unreadable {
    #[display("its key names no request, worker and time")]
    Key,
    #[display("its value is no end of a worker: {reason}")]
    Value { reason: String },
    #[display("its value is about another end than its key")]
    AnotherEnd,
}

/// The end of a worker that a record is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EndKey {
    fingerprint: Fingerprint,
    worker: WorkerKey,
    ended_unix_ms: u64,
}

/// Records to append to the log, `None` for a removal. A newer entry replaces an older one with the same key, and
/// repeating an append does no harm since the key is the same.
#[derive(Default)]
pub(super) struct PendingRecords {
    records: Mutex<BTreeMap<EndKey, Option<WorkerEnd>>>,
    added: Notify,
}

impl PendingRecords {
    /// Adds a record of the end of a worker that ran the request.
    pub(super) fn add_end(&self, fingerprint: Fingerprint, end: WorkerEnd) {
        self.add(EndKey::of(fingerprint, &end), Some(end));
    }

    /// Adds the removal of an end's record.
    pub(super) fn add_removal(&self, fingerprint: Fingerprint, end: &WorkerEnd) {
        self.add(EndKey::of(fingerprint, end), None);
    }

    fn add(&self, end_key: EndKey, end: Option<WorkerEnd>) {
        let mut records = lock(&self.records);
        if records.len() >= MAX_PENDING_RECORDS {
            log::warn!(fingerprint:% = end_key.fingerprint;
                "too many records wait for the log; dropping a new record");
            return;
        }
        records.insert(end_key, end);
        self.added.notify_one();
    }

    fn take_batch(&self) -> Vec<(EndKey, Option<WorkerEnd>)> {
        let mut records = lock(&self.records);
        let taken: Vec<_> = records
            .iter()
            .take(MAX_RECORDS_PER_APPEND)
            .map(|(end_key, end)| (*end_key, *end))
            .collect();
        for (end_key, _) in &taken {
            records.remove(end_key);
        }
        taken
    }

    /// Puts records whose append failed back into the queue, except those that a newer entry replaces.
    fn put_back(&self, taken: Vec<(EndKey, Option<WorkerEnd>)>) {
        let mut records = lock(&self.records);
        for (end_key, end) in taken {
            records.entry(end_key).or_insert(end);
        }
        self.added.notify_one();
    }
}

impl Quarantine {
    /// Appends pending records to the log, until the process ends.
    pub(crate) async fn run_recording(self: Arc<Self>) {
        loop {
            self.pending_records.added.notified().await;
            loop {
                let taken = self.pending_records.take_batch();
                if taken.is_empty() {
                    break;
                }
                let records = taken
                    .iter()
                    .map(|(end_key, end)| record(end_key, end.as_ref()));
                let appended = self.log.append(Topic::Quarantine, 0, records.collect());
                let outcome = appended.await;
                log::debug!(records = taken.len(), outcome:? = outcome; "appended ends of workers to the log");
                if !matches!(outcome, AppendOutcome::Done { .. }) {
                    self.pending_records.put_back(taken);
                    tokio::time::sleep(APPEND_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Applies the records of all gateways as they are appended, until the process ends.
    pub(crate) async fn follow(self: Arc<Self>, tails: Arc<SharedTails>) {
        let shared = tails.shared_tail(Topic::Quarantine, |_| true);
        let mut follower =
            TopicFollower::new(Topic::Quarantine, self.clock).with_shared_tail(shared);
        let mut backoff = LogBackoff::new("quarantine", 0);
        loop {
            let changes = follower
                .next_changes(self.log.as_ref(), FOLLOW_TIMING)
                .await;
            backoff.backoff_on_error(&changes).await;
            let Ok(changes) = changes else {
                continue;
            };
            for change in changes {
                self.apply(change);
            }
            self.is_read.send_replace(true);
        }
    }

    fn apply(&self, change: Change) {
        match change {
            Change::Set(record) => match decode_record(&record.key, &record.value) {
                Ok((fingerprint, end)) if end.part.is_some() => {
                    self.apply_part_end(fingerprint, end);
                }
                Ok((fingerprint, end)) => self.collect_end(&fingerprint, end),
                Err(error) => {
                    self.unreadable
                        .record_unreadable(Topic::Quarantine, &record.key, &error)
                }
            },
            Change::Dropped(key) => {
                self.unreadable.mark_readable(Topic::Quarantine, &key);
                // A record with an unreadable key was never applied, so there is nothing to remove.
                if let Ok(end_key) = parse_key(&key) {
                    let mut table = lock(&self.table);
                    table.forget(&end_key.fingerprint, end_key.worker, end_key.ended_unix_ms);
                }
            }
        }
    }
}

impl Quarantine {
    /// Applies the record of an end of a part that is held. One that arrives after the part was acquitted is removed.
    fn apply_part_end(&self, fingerprint: Fingerprint, end: WorkerEnd) {
        let was_acquitted = lock(&self.table).was_acquitted(&fingerprint, self.clock.now());
        if !was_acquitted {
            return self.record_hold(&fingerprint, vec![end]);
        }
        if self.is_collector(&fingerprint, &end) {
            self.pending_records.add_removal(fingerprint, &end);
        }
    }
}

impl EndKey {
    fn of(fingerprint: Fingerprint, end: &WorkerEnd) -> Self {
        Self {
            fingerprint,
            worker: end.worker,
            ended_unix_ms: end.ended_unix_ms,
        }
    }
}

/// Builds the record of an end, or one with an empty value that drops the key if `end` is `None`. Keys are text, since a
/// log may list them as text.
fn record(end_key: &EndKey, end: Option<&WorkerEnd>) -> (Vec<u8>, Bytes) {
    let EndKey {
        fingerprint,
        worker,
        ended_unix_ms,
    } = end_key;
    let key = format!(
        "{fingerprint}{SEPARATOR}{:016x}{SEPARATOR}{ended_unix_ms:x}",
        worker.0
    );
    let mut value = Vec::new();
    if let Some(end) = end
        && let Err(error) = ciborium::into_writer(end, &mut value)
    {
        log::error!("cannot serialize an end of a worker: {error}");
    }
    (key.into_bytes(), value.into())
}

fn parse_key(key: &[u8]) -> Result<EndKey, Unreadable> {
    let key = std::str::from_utf8(key).map_err(|_| Unreadable::Key)?;
    let mut parts = key.split(SEPARATOR);
    let mut next = || parts.next().ok_or(Unreadable::Key);
    let (fingerprint, worker, ended) = (next()?, next()?, next()?);
    let number = |digits| u64::from_str_radix(digits, 16).map_err(|_| Unreadable::Key);
    Ok(EndKey {
        fingerprint: fingerprint.parse().map_err(|_| Unreadable::Key)?,
        worker: WorkerKey(number(worker)?),
        ended_unix_ms: number(ended)?,
    })
}

fn decode_record(key: &[u8], value: &[u8]) -> Result<(Fingerprint, WorkerEnd), Unreadable> {
    let end_key = parse_key(key)?;
    let end: WorkerEnd = ciborium::from_reader(value).map_err(|error| Unreadable::Value {
        reason: error.to_string(),
    })?;
    if EndKey::of(end_key.fingerprint, &end) != end_key {
        return Err(Unreadable::AnotherEnd);
    }
    Ok((end_key.fingerprint, end))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::earlier_builds::entry;

    #[test]
    fn a_record_of_an_earlier_build_is_read_and_its_key_written_unchanged() {
        let (key, value) = (entry("quarantine-key"), entry("quarantine-value"));
        let (fingerprint, end) =
            decode_record(&key, &value).expect("cannot decode the record of an earlier build");
        assert_eq!(end.worker, WorkerKey(9));
        assert_eq!(end.sent_unix_ms, 1_700_000_000_000);
        assert_eq!(end.ended_unix_ms, 1_700_000_000_250);
        let written = record(&EndKey::of(fingerprint, &end), Some(&end));
        assert_eq!(written.0, key);
    }
}
