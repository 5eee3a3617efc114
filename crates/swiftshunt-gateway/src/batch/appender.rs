//! Appends of logical records.
//!
//! Each try has a nonce of its own: a record that stands twice because an answer was lost changes
//! nothing, since the first valid record wins, and no key is ever written twice.

use std::sync::Arc;
use std::time::Duration;

use rand::RngCore;
use swiftshunt_jobs::JobRecord;
use swiftshunt_journal::{AppendOutcome, Log, Topic, frames};

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

/// First and longest pause before a refused or unanswered append is tried again.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Appends.
pub(crate) struct Appender {
    log: Arc<dyn Log>,
    metrics: Arc<Metrics>,
    record_bytes: usize,
    append_bytes: usize,
}

impl Appender {
    pub(crate) fn new(
        log: Arc<dyn Log>,
        settings: &GatewaySettings,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            log,
            metrics,
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
        self.metrics.append_ended(outcome);
        if outcome != Appended::Done {
            log::info!(partition, records = records.len(), outcome:? = outcome;
                "an append did not succeed");
        }
        outcome
    }

    /// Appends until the record stands or `time` is over. Once an answer was lost, only success
    /// is certain.
    pub(crate) async fn append_within(
        &self,
        partition: u32,
        record: &JobRecord,
        time: Duration,
    ) -> Appended {
        let mut worst = Appended::Refused;
        let tries = async {
            let mut pause = FIRST_RETRY_PAUSE;
            loop {
                match self.append(partition, record).await {
                    Appended::Done => return,
                    Appended::Unknown => worst = Appended::Unknown,
                    Appended::Refused => {}
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_RETRY_PAUSE);
            }
        };
        match tokio::time::timeout(time, tries).await {
            Ok(()) => Appended::Done,
            // The try that was cut off may have been done.
            Err(_) => Appended::Unknown.min_certain(worst),
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

impl Appended {
    fn min_certain(self, other: Self) -> Self {
        if self == Self::Unknown || other == Self::Unknown {
            Self::Unknown
        } else {
            Self::Refused
        }
    }
}

/// Bytes that each record takes beside key and value.
const RECORD_HEAD: usize = 8;

/// Records in calls of at most `limit` bytes.
fn calls(records: Vec<(Vec<u8>, bytes::Bytes)>, limit: usize) -> Vec<Vec<(Vec<u8>, bytes::Bytes)>> {
    let mut calls = Vec::new();
    let mut call = Vec::new();
    let mut size = 0;
    for (key, value) in records {
        let record = RECORD_HEAD + key.len() + value.len();
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
