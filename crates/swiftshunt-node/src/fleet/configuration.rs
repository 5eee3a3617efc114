//! The fleet configuration at this node: replayed from the log, fetched from peers, published.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use swiftshunt_backends::log_service::{LogError, ReadRecords, StreamName};
use swiftshunt_config::{
    ConfigurationHistory, ConfigurationRecord, FleetConfiguration, RecordOutcome, Version,
};
use swiftshunt_http::{decode_cbor, encode_cbor};

use crate::context::{Context, random_u64};
use crate::lifecycle::Stage;

/// Records read at a time.
const READ_LIMIT: usize = 256;
/// How long a read waits at the end of the stream.
const TAIL_READ_TIMEOUT: Duration = Duration::from_millis(1000);
/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// How long a publisher looks for its own record.
const PUBLISH_CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// Replays the configuration stream until the process ends.
pub(crate) async fn follow_configuration(context: Arc<Context>) {
    let stream = StreamName::configuration();
    loop {
        let from = context.configuration.borrow().next_offset;
        match context
            .log
            .read(&stream, from, READ_LIMIT, TAIL_READ_TIMEOUT)
            .await
        {
            Ok(read) if read.records.is_empty() => start_serving_without_peers(&context),
            Ok(read) => {
                apply_records(&context, &read);
                if context.configuration.borrow().next_offset == from {
                    log::warn!(offset = from; "the log answers from an old offset");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            Err(error) => {
                log::debug!("configuration cannot be read: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply_records(context: &Context, read: &ReadRecords) {
    let mut last = None;
    for (index, bytes) in read.records.iter().enumerate() {
        let offset = read.first + index as u64;
        match decode_cbor::<ConfigurationRecord>(bytes) {
            Ok(record) => {
                let outcome = apply(context, offset, &record);
                if !matches!(outcome, RecordOutcome::Repeated) {
                    last = Some(outcome);
                }
            }
            Err(reason) => {
                log::error!(offset = offset; "configuration record cannot be read: {reason}");
                context
                    .configuration
                    .send_modify(|history| history.skip(offset));
            }
        }
    }
    if let Some(RecordOutcome::Applied(version)) = last {
        log::info!(version = version; "configuration in force");
    }
}

fn apply(context: &Context, offset: u64, record: &ConfigurationRecord) -> RecordOutcome {
    let mut outcome = RecordOutcome::Repeated;
    context
        .configuration
        .send_modify(|history| outcome = history.apply(offset, record));
    record_version_metric(context);
    outcome
}

fn record_version_metric(context: &Context) {
    let version = context.configuration.borrow().version;
    context.metrics.configuration_version.set(version);
}

/// A node that has read the stream to its end and knows no peer may serve.
fn start_serving_without_peers(context: &Context) {
    let starting = context.lifecycle.stage() == Stage::Starting;
    let configured = context.configuration.borrow().version > 0;
    if starting && configured {
        context.lifecycle.start_serving();
    }
}

/// Takes over a newer configuration from a peer.
pub(crate) async fn fetch(context: Arc<Context>, peer: SocketAddr) {
    let Ok(theirs) = context.peers.configuration(peer).await else {
        return;
    };
    adopt(&context, theirs);
}

fn adopt(context: &Context, theirs: ConfigurationHistory) {
    let version = theirs.version;
    let is_newer = context
        .configuration
        .send_if_modified(|history| history.adopt(theirs));
    if is_newer {
        record_version_metric(context);
        log::info!(version = version; "configuration in force, from a peer");
    }
}

/// Why a configuration is not in force.
#[derive(Debug, Display, Error)]
pub(crate) enum PublishError {
    /// Another one came first.
    #[display(
        "version {in_force} by `{author}` is in force; the change was based on version {base}"
    )]
    Stale {
        /// What the author saw.
        base: Version,
        /// What is in force.
        in_force: Version,
        /// Who published that.
        author: String,
    },
    /// The log cannot be reached: nothing was published.
    #[display("the log cannot be reached: {source}")]
    NotPublished {
        /// The reason.
        source: LogError,
    },
    /// The answer was lost, and the record was not seen in time.
    #[display("the log did not confirm; the change may come into force")]
    Unknown,
}

/// Publishes a configuration based on version `base` and waits until replay has decided on it.
pub(crate) async fn publish(
    context: &Context,
    base: Version,
    author: String,
    configuration: FleetConfiguration,
) -> Result<Version, PublishError> {
    let current = context.configuration.borrow().clone();
    if current.version > base {
        return Err(PublishError::Stale {
            base,
            in_force: current.version,
            author: current.author,
        });
    }
    let record = ConfigurationRecord {
        base,
        author,
        nonce: random_u64(),
        configuration,
    };
    let stream = StreamName::configuration();
    let bytes = encode_cbor(&record).map_err(|_| PublishError::Unknown)?;
    let appended = context.log.append(&stream, vec![Bytes::from(bytes)]).await;
    if let Err(source @ LogError::NotReached { .. }) = appended {
        return Err(PublishError::NotPublished { source });
    }
    let search = find_decision(context, &record, current);
    let found = tokio::time::timeout(PUBLISH_CONFIRM_TIMEOUT, search).await;
    found.unwrap_or(Err(PublishError::Unknown))
}

/// Replays from `history` on until the author's own record is decided.
async fn find_decision(
    context: &Context,
    own: &ConfigurationRecord,
    mut history: ConfigurationHistory,
) -> Result<Version, PublishError> {
    let stream = StreamName::configuration();
    loop {
        let from = history.next_offset;
        let Ok(read) = context
            .log
            .read(&stream, from, READ_LIMIT, TAIL_READ_TIMEOUT)
            .await
        else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        for (index, bytes) in read.records.iter().enumerate() {
            let offset = read.first + index as u64;
            let Ok(record) = decode_cbor::<ConfigurationRecord>(bytes) else {
                history.skip(offset);
                continue;
            };
            let outcome = history.apply(offset, &record);
            if record.nonce == own.nonce {
                adopt(context, history);
                return publish_result(own.base, outcome);
            }
        }
    }
}

fn publish_result(base: Version, outcome: RecordOutcome) -> Result<Version, PublishError> {
    match outcome {
        RecordOutcome::Applied(version) => Ok(version),
        RecordOutcome::Stale { in_force, author } => Err(PublishError::Stale {
            base,
            in_force,
            author,
        }),
        RecordOutcome::Repeated => Err(PublishError::Unknown),
    }
}
