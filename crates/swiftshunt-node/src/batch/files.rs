//! Files stored as log streams: numbered chunks of lines, then an end record. An interrupted upload
//! leaves no end record and does not count as a file. Repeated appends are recognised by their chunk
//! number, and in job outputs by the index of the item.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use swiftshunt_backends::log_service::{LogError, LogService, Offset, StreamName, read_all};
use swiftshunt_http::{decode_cbor, encode_cbor};
use swiftshunt_scheduler::retry::backoff;
use swiftshunt_types::{FileId, TenantName};

/// What the lines of a file are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FilePurpose {
    /// Items of a job.
    Batch,
    /// Results of a job.
    BatchOutput,
}

/// Metadata of an uploaded file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FileInfo {
    pub(crate) id: FileId,
    pub(crate) tenant: TenantName,
    pub(crate) name: String,
    pub(crate) purpose: FilePurpose,
    /// Creation time in seconds of Unix time.
    pub(crate) created: u64,
    pub(crate) bytes: u64,
    pub(crate) lines: u32,
}

/// The result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ItemResult {
    /// Index of the item in the job's input.
    pub(crate) index: u32,
    /// The item's line in the job's output, without the line break.
    pub(crate) line: String,
}

/// A record of a file's stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum FileRecord {
    /// Consecutive lines of an uploaded file.
    Lines { chunk: u32, lines: Vec<String> },
    /// The end of an uploaded file, with its number of chunks.
    End { info: FileInfo, chunks: u32 },
    /// Results of a job's items, in the order in which the items ended.
    Results(Vec<ItemResult>),
}

/// Why a file cannot be read or stored.
#[derive(Debug, Display, Error, From)]
pub(crate) enum FileError {
    /// The file does not exist, or its upload was interrupted.
    #[display("no such file")]
    NotFound,
    /// The log service failed or cannot be reached.
    #[display("{source}")]
    Log {
        /// The failure of the log service.
        source: LogError,
    },
    /// A record cannot be decoded or encoded.
    #[display("a record of the file cannot be read: {reason}")]
    #[from(ignore)]
    BadRecord {
        /// Message of the codec.
        #[error(not(source))]
        reason: String,
    },
}

/// Size from which a chunk of lines is closed, in bytes; its last line may exceed it.
const CHUNK_BYTES: usize = 256 * 1024;
/// Attempts of one append before it fails.
const MAX_APPEND_ATTEMPTS: u32 = 4;
/// Base delay of the exponential backoff between attempts.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Stores an uploaded file. The file exists once this returns without an error.
pub(crate) async fn store(
    log: &dyn LogService,
    info: &FileInfo,
    content: &str,
) -> Result<(), FileError> {
    let stream = StreamName::file(&info.id);
    let mut chunk = 0;
    let mut lines = Vec::new();
    let mut size = 0;
    for line in content.lines() {
        size += line.len();
        lines.push(line.to_owned());
        if size >= CHUNK_BYTES {
            let record = FileRecord::Lines {
                chunk,
                lines: std::mem::take(&mut lines),
            };
            append(log, &stream, &record).await?;
            chunk += 1;
            size = 0;
        }
    }
    if !lines.is_empty() {
        append(log, &stream, &FileRecord::Lines { chunk, lines }).await?;
        chunk += 1;
    }
    let end = FileRecord::End {
        info: info.clone(),
        chunks: chunk,
    };
    append(log, &stream, &end).await
}

/// Appends a record, with retries. A repeated append is harmless, as readers drop duplicates.
async fn append(
    log: &dyn LogService,
    stream: &StreamName,
    record: &FileRecord,
) -> Result<(), FileError> {
    let bytes = encode_cbor(record).map_err(|reason| FileError::BadRecord { reason })?;
    let bytes = Bytes::from(bytes);
    let mut attempt = 0;
    loop {
        let appended = log.append(stream, vec![bytes.clone()]).await;
        attempt += 1;
        match appended {
            Ok(_) => return Ok(()),
            Err(source) if attempt == MAX_APPEND_ATTEMPTS => return Err(source.into()),
            Err(_) => {
                let delay = backoff(APPEND_RETRY_DELAY, attempt, &mut rand::rng());
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// State of a file after replay of its stream.
#[derive(Default)]
struct ReplayedFile {
    chunks: BTreeMap<u32, Vec<String>>,
    end: Option<(FileInfo, u32)>,
    results: BTreeMap<u32, String>,
}

async fn replay(log: &dyn LogService, file: &FileId) -> Result<ReplayedFile, FileError> {
    let stream = StreamName::file(file);
    let mut replayed = ReplayedFile::default();
    for bytes in read_all(log, &stream, 0).await? {
        let record = decode_cbor(&bytes).map_err(|reason| FileError::BadRecord { reason })?;
        match record {
            FileRecord::Lines { chunk, lines } => {
                replayed.chunks.entry(chunk).or_insert(lines);
            }
            FileRecord::End { info, chunks } => {
                replayed.end.get_or_insert((info, chunks));
            }
            FileRecord::Results(results) => {
                for result in results {
                    replayed.results.entry(result.index).or_insert(result.line);
                }
            }
        }
    }
    Ok(replayed)
}

/// Reads the metadata of an uploaded file; `NotFound` unless its upload is complete.
pub(crate) async fn read_info(log: &dyn LogService, file: &FileId) -> Result<FileInfo, FileError> {
    let replayed = replay(log, file).await?;
    replayed.complete_end().map(|(info, _)| info.clone())
}

/// Reads the lines of an uploaded file; `NotFound` unless its upload is complete.
pub(crate) async fn read_lines(
    log: &dyn LogService,
    file: &FileId,
) -> Result<Vec<String>, FileError> {
    let replayed = replay(log, file).await?;
    replayed.complete_end()?;
    Ok(replayed.chunks.into_values().flatten().collect())
}

/// Reads the results in a job's output, by index of the item; of several results of an item, the first
/// counts.
pub(crate) async fn read_results(
    log: &dyn LogService,
    file: &FileId,
) -> Result<BTreeMap<u32, String>, FileError> {
    Ok(replay(log, file).await?.results)
}

/// Reads the text of an uploaded file or of a job's output.
pub(crate) async fn read_content(log: &dyn LogService, file: &FileId) -> Result<String, FileError> {
    let replayed = replay(log, file).await?;
    let lines: Vec<String> = if replayed.results.is_empty() {
        replayed.complete_end()?;
        replayed.chunks.into_values().flatten().collect()
    } else {
        replayed.results.into_values().collect()
    };
    let mut text = lines.join("\n");
    text.push('\n');
    Ok(text)
}

impl ReplayedFile {
    /// The end record; `NotFound` unless every chunk is present.
    fn complete_end(&self) -> Result<&(FileInfo, u32), FileError> {
        let end = self.end.as_ref().ok_or(FileError::NotFound)?;
        let complete = self.chunks.len() == end.1 as usize;
        complete.then_some(end).ok_or(FileError::NotFound)
    }
}

/// Appends results of items to a job's output.
pub(crate) struct OutputWriter {
    log: Arc<dyn LogService>,
    stream: StreamName,
}

impl OutputWriter {
    pub(crate) fn new(log: Arc<dyn LogService>, output: &FileId) -> Self {
        Self {
            log,
            stream: StreamName::file(output),
        }
    }

    /// Appends results in one record; once this returns without an error, they are stored.
    pub(crate) async fn append(&self, results: &[ItemResult]) -> Result<Offset, FileError> {
        let record = FileRecord::Results(results.to_vec());
        let bytes = encode_cbor(&record).map_err(|reason| FileError::BadRecord { reason })?;
        Ok(self
            .log
            .append(&self.stream, vec![Bytes::from(bytes)])
            .await?)
    }
}
