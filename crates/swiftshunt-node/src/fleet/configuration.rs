//! The fleet configuration at this node: replay from the log, transfer from peers, publication.

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

/// Limit of the records in one read.
const READ_LIMIT: usize = 256;
/// How long a read at the end of the stream waits for a record.
const TAIL_READ_TIMEOUT: Duration = Duration::from_millis(1000);
/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// How long a publisher waits until replay reaches its own record.
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
            Ok(read) if read.records.is_empty() => start_serving_if_configured(&context),
            Ok(read) => {
                apply_records(&context, &read);
                if context.configuration.borrow().next_offset == from {
                    log::warn!(offset = from; "the log returned only records that were replayed before, retrying");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            Err(error) => {
                log::debug!("reading the configuration stream failed, retrying: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Applies records in order. Records that cannot be decoded are skipped, so that replay continues.
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
                log::error!(offset = offset; "configuration record cannot be decoded and is skipped: {reason}");
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

/// Starts serving at the end of the stream if a configuration is in force. Without reachable peers,
/// this is the only way for a node to start serving.
fn start_serving_if_configured(context: &Context) {
    let is_starting = context.lifecycle.stage() == Stage::Starting;
    let is_configured = context.configuration.borrow().version > 0;
    if is_starting && is_configured {
        context.lifecycle.start_serving();
    }
}

/// Fetches the configuration from a peer and adopts it if it is newer.
pub(crate) async fn fetch(context: Arc<Context>, peer: SocketAddr) {
    let Ok(peer_history) = context.peers.configuration(peer).await else {
        return;
    };
    adopt(&context, peer_history);
}

fn adopt(context: &Context, peer_history: ConfigurationHistory) {
    let version = peer_history.version;
    let is_newer = context
        .configuration
        .send_if_modified(|history| history.adopt(peer_history));
    if is_newer {
        record_version_metric(context);
        log::info!(version = version; "configuration in force, fetched from a peer");
    }
}

/// Why a publication did not succeed.
#[derive(Debug, Display, Error)]
pub(crate) enum PublishError {
    /// The base is not the version in force; the configuration was not applied.
    #[display(
        "version {in_force} by `{author}` is in force; the change was based on version {base}"
    )]
    Stale {
        /// The version that the configuration was based on.
        base: Version,
        /// The version in force.
        in_force: Version,
        /// Name of the operator who published the version in force.
        author: String,
    },
    /// The log cannot be reached; nothing was appended.
    #[display("the log cannot be reached: {source}")]
    NotPublished {
        /// The failure of the log service.
        source: LogError,
    },
    /// The outcome is unknown: replay did not reach the record in time, and the configuration may still
    /// come into force. Also returned if the record cannot be encoded; then nothing was appended.
    #[display("the log did not confirm; the change may come into force")]
    Unknown,
}

/// Publishes a configuration based on version `base` and waits until replay has applied or ignored it.
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
    // After any other failure, the log may have stored the record.
    let search = find_outcome(context, &record, current);
    let found = tokio::time::timeout(PUBLISH_CONFIRM_TIMEOUT, search).await;
    found.unwrap_or(Err(PublishError::Unknown))
}

/// Replays the stream from `history` on until the record `own`, recognised by its nonce, is applied or
/// ignored.
async fn find_outcome(
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
