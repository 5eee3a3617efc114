//! Appends of logical records.
//!
//! Each try has a nonce of its own: a record that stands twice because an answer was lost changes
//! nothing, since the first valid record wins, and no key is ever written twice.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::RngCore;
use swiftshunt_jobs::JobRecord;
use swiftshunt_journal::{AppendOutcome, Log, Topic, frames};

use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;

/// How the append of a logical record ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Appended {
    /// It stands.
    Done,
    /// It does not stand and will not.
    Refused,
    /// It may stand now, later or never.
    Unknown,
}

/// Pause before an append without an answer is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Appends of one record that may be open at a time: with half of the answers lost, fifteen in sixteen
/// records have one among four.
const MAX_CONCURRENT_APPENDS: usize = 4;
/// Usual times of an append after which an answer counts as overdue.
const OVERDUE_FACTOR: u32 = 4;
/// Shortest and longest such time: a log that is slow is not asked more for it, and one that loses
/// answers must not cost a caller what it waits for a 202 (some 0.8 s).
const MIN_OVERDUE_DELAY: Duration = Duration::from_millis(100);
const MAX_OVERDUE_DELAY: Duration = Duration::from_millis(600);
/// Time of an append until one has been observed.
const INITIAL_APPEND_TIME: Duration = Duration::from_millis(30);
/// Weight of a new append in the usual time.
const APPEND_SMOOTHING: f64 = 0.2;

/// Appends.
pub(crate) struct Appender {
    log: Arc<dyn Log>,
    metrics: Arc<Metrics>,
    clock: Clock,
    /// How long appends take that are answered.
    mean_append_time: Mutex<Duration>,
    record_bytes: usize,
    append_bytes: usize,
}

impl Appender {
    pub(crate) fn new(
        log: Arc<dyn Log>,
        settings: &GatewaySettings,
        metrics: Arc<Metrics>,
        clock: Clock,
    ) -> Self {
        Self {
            log,
            metrics,
            clock,
            mean_append_time: Mutex::new(INITIAL_APPEND_TIME),
            record_bytes: settings.log.record_bytes,
            append_bytes: settings.log.append_bytes,
        }
    }

    /// Appends once.
    pub(crate) async fn append(&self, partition: u32, record: &JobRecord) -> Appended {
        self.append_all(partition, std::slice::from_ref(record))
            .await
    }

    /// Appends records of one partition once, in one call if they fit. If it does not succeed, some
    /// of them may stand.
    pub(crate) async fn append_all(&self, partition: u32, records: &[JobRecord]) -> Appended {
        let mut framed = Vec::new();
        for record in records {
            let nonce = rand::rng().next_u64();
            match frames(record.job(), nonce, record, self.record_bytes) {
                Ok(frames) => framed.extend(frames),
                Err(error) => {
                    log::error!(job = record.job(); "a record cannot be written: {error}");
                    return Appended::Refused;
                }
            }
        }
        let began = self.clock.now();
        let mut outcome = Appended::Done;
        for call in calls(framed, self.append_bytes) {
            outcome = match self.log.append(Topic::Jobs, partition, call).await {
                AppendOutcome::Done { .. } => continue,
                // Frames without the last one have no effect: the record does not stand.
                AppendOutcome::Refused => Appended::Refused,
                AppendOutcome::Unknown => Appended::Unknown,
            };
            break;
        }
        self.metrics.record_append(outcome);
        if outcome == Appended::Done {
            self.record_append_time(self.clock.now().saturating_sub(began));
        } else {
            log::info!(partition, records = records.len(), outcome:? = outcome;
                "an append did not succeed");
        }
        outcome
    }

    fn record_append_time(&self, took: Duration) {
        let mut mean_append_time = lock(&self.mean_append_time);
        *mean_append_time =
            mean_append_time.mul_f64(1.0 - APPEND_SMOOTHING) + took.mul_f64(APPEND_SMOOTHING);
    }

    /// Time after which an answer counts as overdue.
    fn overdue_delay(&self) -> Duration {
        let mean_append_time = *lock(&self.mean_append_time);
        (mean_append_time * OVERDUE_FACTOR).clamp(MIN_OVERDUE_DELAY, MAX_OVERDUE_DELAY)
    }

    /// Appends until the record stands or `time` is over. A log that loses an answer says nothing
    /// more, so the record is appended again beside an append whose answer is overdue: waiting for
    /// the call's own time-out of 2 s cost 150 items of a job their 202 in time. A first refusal is
    /// final, so that the caller is told at once; once an answer was lost, only success is certain.
    pub(crate) async fn append_within(
        &self,
        partition: u32,
        record: &JobRecord,
        time: Duration,
    ) -> Appended {
        let tries = self.append_hedged(partition, record);
        let outcome = tokio::time::timeout(time, tries).await;
        // The tries that were cut off may have been done.
        outcome.unwrap_or(Appended::Unknown)
    }

    async fn append_hedged(&self, partition: u32, record: &JobRecord) -> Appended {
        let mut open = FuturesUnordered::new();
        open.push(self.append(partition, record));
        let mut may_stand = false;
        loop {
            match tokio::time::timeout(self.overdue_delay(), open.next()).await {
                Ok(Some(Appended::Done)) => return Appended::Done,
                Ok(Some(Appended::Unknown)) => may_stand = true,
                Ok(Some(Appended::Refused)) if open.is_empty() && !may_stand => {
                    return Appended::Refused;
                }
                Ok(Some(Appended::Refused) | None) => {}
                Err(_) if open.len() < MAX_CONCURRENT_APPENDS => {
                    open.push(self.append(partition, record));
                    continue;
                }
                Err(_) => continue,
            }
            if open.is_empty() {
                tokio::time::sleep(RETRY_DELAY).await;
                open.push(self.append(partition, record));
            }
        }
    }

    /// Drops keys.
    pub(crate) async fn drop_keys(&self, partition: u32, keys: Vec<Vec<u8>>) -> Appended {
        let records: Vec<_> = keys
            .into_iter()
            .map(|key| (key, bytes::Bytes::new()))
            .collect();
        for call in calls(records, self.append_bytes) {
            match self.log.append(Topic::Jobs, partition, call).await {
                AppendOutcome::Done { .. } => {}
                AppendOutcome::Refused => return Appended::Refused,
                AppendOutcome::Unknown => return Appended::Unknown,
            }
        }
        Appended::Done
    }
}

/// Bytes that each record takes beside key and value.
const RECORD_OVERHEAD: usize = 8;

/// Records in calls of at most `limit` bytes.
fn calls(records: Vec<(Vec<u8>, bytes::Bytes)>, limit: usize) -> Vec<Vec<(Vec<u8>, bytes::Bytes)>> {
    let mut calls = Vec::new();
    let mut call = Vec::new();
    let mut size = 0;
    for (key, value) in records {
        let record = RECORD_OVERHEAD + key.len() + value.len();
        if size + record > limit && !call.is_empty() {
            calls.push(std::mem::take(&mut call));
            size = 0;
        }
        size += record;
        call.push((key, value));
    }
    if !call.is_empty() {
        calls.push(call);
    }
    calls
}
