//! Client of the append-only log service, which stores streams of records with offsets.
//!
//! Only appends and reads by offset are required of the service; it has no compare-and-set.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::BoxFuture;
use swiftshunt_http::{HttpClient, HttpError};

/// Position of a record in a stream, from 0.
pub type Offset = u64;

/// Name of a stream.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
pub struct StreamName(String);

impl StreamName {
    /// The stream of the fleet's configuration.
    pub fn configuration() -> Self {
        Self("configuration".to_owned())
    }

    /// The stream that archives a ledger partition.
    pub fn archive(partition: swiftshunt_types::PartitionId) -> Self {
        Self(format!("ledger-{partition}"))
    }

    /// The stream that holds the content of a file.
    pub fn file(file: &swiftshunt_types::FileId) -> Self {
        Self(file.0.clone())
    }
}

/// Records read from a stream.
#[derive(Clone, Debug, Default)]
pub struct ReadRecords {
    /// Offset of the first record.
    pub first: Offset,
    /// The records, with contiguous offsets.
    pub records: Vec<Bytes>,
}

/// Why a call to the log failed.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// The request was not written, so the call certainly had no effect.
    #[display("log not reached: {source}")]
    NotReached {
        /// The transport error.
        source: HttpError,
    },
    /// The request may have been written but got no successful response; an append may have taken effect.
    #[display("log answer lost: {source}")]
    AnswerLost {
        /// The transport error.
        source: HttpError,
    },
    /// A record in the log's response cannot be decoded.
    #[display("log record at offset {offset} of {stream} cannot be read: {reason}")]
    BadRecord {
        /// The stream of the record.
        stream: StreamName,
        /// The offset of the record.
        offset: Offset,
        /// The error of the decoder.
        reason: String,
    },
}

impl LogError {
    fn from_http(source: HttpError) -> Self {
        if source.was_not_sent() {
            Self::NotReached { source }
        } else {
            Self::AnswerLost { source }
        }
    }
}

/// A log service.
pub trait LogService: Send + Sync {
    /// Appends records and returns the offset of the first.
    fn append<'a>(
        &'a self,
        stream: &'a StreamName,
        records: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<Offset, LogError>>;

    /// Reads up to `limit` records, beginning at offset `from`. At the end of the stream, waits up to `wait`
    /// for a record and returns none if there is still none.
    fn read<'a>(
        &'a self,
        stream: &'a StreamName,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<ReadRecords, LogError>>;
}

/// The request body of an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendBody {
    /// The records in base64.
    pub records: Vec<String>,
}

/// The response to an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Offset of the first record.
    pub offset: Offset,
}

/// The response to a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Offset of the first record.
    pub first: Offset,
    /// The records in base64.
    pub records: Vec<String>,
}

/// Client of the log service's HTTP interface.
#[derive(Clone, Debug)]
pub struct HttpLogService {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpLogService {
    /// Creates a client of the service at `address`. `timeout` limits each call, in addition to the time that
    /// a read waits for records.
    pub fn new(client: HttpClient, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }
}

impl LogService for HttpLogService {
    fn append<'a>(
        &'a self,
        stream: &'a StreamName,
        records: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<Offset, LogError>> {
        Box::pin(async move {
            let encoded = records.iter().map(|record| BASE64.encode(record));
            let body = AppendBody {
                records: encoded.collect(),
            };
            let path = format!("/v1/streams/{stream}/records");
            let answer = self
                .client
                .post_json(self.address, &path, &body, self.timeout);
            let answer: AppendAnswer = answer.await.map_err(LogError::from_http)?;
            Ok(answer.offset)
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a StreamName,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<ReadRecords, LogError>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let path =
                format!("/v1/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}");
            let timeout = self.timeout + wait;
            let answer = self.client.get_json(self.address, &path, timeout).await;
            let answer: ReadAnswer = answer.map_err(LogError::from_http)?;
            decode_records(stream, answer)
        })
    }
}

fn decode_records(stream: &StreamName, answer: ReadAnswer) -> Result<ReadRecords, LogError> {
    let mut records = Vec::with_capacity(answer.records.len());
    for (index, text) in answer.records.iter().enumerate() {
        let decoded = BASE64.decode(text).map_err(|error| LogError::BadRecord {
            stream: stream.clone(),
            offset: answer.first + index as u64,
            reason: error.to_string(),
        })?;
        records.push(Bytes::from(decoded));
    }
    Ok(ReadRecords {
        first: answer.first,
        records,
    })
}

/// Limit of records per read in [`read_all`].
const READ_ALL_LIMIT: usize = 4096;

/// Reads a stream from offset `from` to its current end.
pub async fn read_all(
    log: &dyn LogService,
    stream: &StreamName,
    from: Offset,
) -> Result<Vec<Bytes>, LogError> {
    let mut records = Vec::new();
    loop {
        let next = from + records.len() as u64;
        let batch = log
            .read(stream, next, READ_ALL_LIMIT, Duration::ZERO)
            .await?;
        if batch.records.is_empty() {
            return Ok(records);
        }
        records.extend(batch.records);
    }
}
