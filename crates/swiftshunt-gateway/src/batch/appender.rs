//! Appends logical records to the journal.
//!
//! Each attempt has its own nonce, so that no key is ever written twice. A record that is in the log twice because
//! an answer was lost changes nothing, since the first valid record wins.

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
    /// The record is in the log.
    Done,
    /// The record is not in the log and will not be.
    Refused,
    /// The record may be in the log now, later or never.
    Unknown,
}

/// Pause before the next attempt when all earlier attempts have ended without success.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Largest number of concurrent appends of one record: if half of the answers are lost, four attempts give at least
/// one answer for fifteen of sixteen records.
const MAX_CONCURRENT_APPENDS: usize = 4;
/// Multiple of the average append time after which an answer counts as overdue.
const OVERDUE_FACTOR: u32 = 4;
/// Bounds of the delay after which an unanswered append counts as overdue. The lower bound avoids additional load on a
/// slow log. The upper bound leaves time for another attempt after a lost answer, since callers expect the 202 within
/// about 0.8 s.
const MIN_OVERDUE_DELAY: Duration = Duration::from_millis(100);
const MAX_OVERDUE_DELAY: Duration = Duration::from_millis(600);
/// Assumed append time until one has been measured.
const INITIAL_APPEND_TIME: Duration = Duration::from_millis(30);
/// Weight of a new append in the moving average of append times.
const APPEND_SMOOTHING: f64 = 0.2;

/// Appends records to the journal and retries them.
pub(crate) struct Appender {
    log: Arc<dyn Log>,
    metrics: Arc<Metrics>,
    clock: Clock,
    /// Moving average of the duration of successful appends.
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

    /// Appends a record with a single attempt.
    pub(crate) async fn append(&self, partition: u32, record: &JobRecord) -> Appended {
        self.append_all(partition, std::slice::from_ref(record))
            .await
    }

    /// Appends records to one partition with a single attempt, in one call if they fit. If the outcome is not
    /// [`Appended::Done`], some of them may be in the log.
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
        for call in split_into_calls(framed, self.append_bytes) {
            outcome = match self.log.append(Topic::Jobs, partition, call).await {
                AppendOutcome::Done { .. } => continue,
                // A record without its last frame has no effect, so the frames already appended are harmless.
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
                "an append failed or was not answered");
        }
        outcome
    }

    fn record_append_time(&self, took: Duration) {
        let mut mean_append_time = lock(&self.mean_append_time);
        *mean_append_time =
            mean_append_time.mul_f64(1.0 - APPEND_SMOOTHING) + took.mul_f64(APPEND_SMOOTHING);
    }

    /// Returns the time after which an answer counts as overdue.
    fn overdue_delay(&self) -> Duration {
        let mean_append_time = *lock(&self.mean_append_time);
        (mean_append_time * OVERDUE_FACTOR).clamp(MIN_OVERDUE_DELAY, MAX_OVERDUE_DELAY)
    }

    /// Appends a record, with retries, for at most `time`.
    ///
    /// If no attempt ends within the overdue delay, another one is started concurrently, up to
    /// [`MAX_CONCURRENT_APPENDS`]. Waiting for a lost answer until the call's own time-out of 2 s made the 202 too late
    /// for several jobs with about 150 items in total.
    ///
    /// Returns [`Appended::Done`] as soon as an attempt succeeds. Returns [`Appended::Refused`] at once, without a
    /// retry, if the last open attempt is refused and no earlier one ended with an unknown outcome. Otherwise retries
    /// until `time` is over and then returns [`Appended::Unknown`], because the record may be in the log.
    pub(crate) async fn append_within(
        &self,
        partition: u32,
        record: &JobRecord,
        time: Duration,
    ) -> Appended {
        let attempts = self.append_hedged(partition, record);
        let outcome = tokio::time::timeout(time, attempts).await;
        // Attempts that the time-out cancelled may have succeeded.
        outcome.unwrap_or(Appended::Unknown)
    }

    async fn append_hedged(&self, partition: u32, record: &JobRecord) -> Appended {
        let mut open = FuturesUnordered::new();
        open.push(self.append(partition, record));
        let mut may_be_recorded = false;
        loop {
            match tokio::time::timeout(self.overdue_delay(), open.next()).await {
                Ok(Some(Appended::Done)) => return Appended::Done,
                Ok(Some(Appended::Unknown)) => may_be_recorded = true,
                Ok(Some(Appended::Refused)) if open.is_empty() && !may_be_recorded => {
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

    /// Deletes keys from a partition by appending empty values.
    pub(crate) async fn drop_keys(&self, partition: u32, keys: Vec<Vec<u8>>) -> Appended {
        let records: Vec<_> = keys
            .into_iter()
            .map(|key| (key, bytes::Bytes::new()))
            .collect();
        for call in split_into_calls(records, self.append_bytes) {
            match self.log.append(Topic::Jobs, partition, call).await {
                AppendOutcome::Done { .. } => {}
                AppendOutcome::Refused => return Appended::Refused,
                AppendOutcome::Unknown => return Appended::Unknown,
            }
        }
        Appended::Done
    }
}

/// Size of a record in a call, in addition to its key and value.
const RECORD_OVERHEAD: usize = 8;

/// Splits records into calls of at most `limit` bytes. A larger record gets a call of its own.
fn split_into_calls(
    records: Vec<(Vec<u8>, bytes::Bytes)>,
    limit: usize,
) -> Vec<Vec<(Vec<u8>, bytes::Bytes)>> {
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
