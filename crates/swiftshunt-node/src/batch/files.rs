//! Files as log streams: a header, numbered chunks, an end. An upload that breaks off leaves no end
//! and is no file. An append that was repeated is recognised by its chunk number.

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

/// What a file is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FilePurpose {
    /// Items of a job.
    Batch,
    /// Results of a job.
    BatchOutput,
}

/// What is known of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FileInfo {
    pub(crate) id: FileId,
    pub(crate) tenant: TenantName,
    pub(crate) name: String,
    pub(crate) purpose: FilePurpose,
    pub(crate) created: u64,
    pub(crate) bytes: u64,
    pub(crate) lines: u32,
}

/// The result of one item: its index and its line in the output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ItemResult {
    pub(crate) index: u32,
    pub(crate) line: String,
}

/// A record of a file's stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum FileRecord {
    /// Whole lines of an uploaded file.
    Lines { chunk: u32, lines: Vec<String> },
    /// The end of an uploaded file.
    End { info: FileInfo, chunks: u32 },
    /// Results of a job's items, in the order in which they came.
    Results(Vec<ItemResult>),
}

/// Why a file cannot be read or stored.
#[derive(Debug, Display, Error, From)]
pub(crate) enum FileError {
    /// No such file, or its upload broke off.
    #[display("no such file")]
    NotFound,
    /// The log cannot be used.
    #[display("{source}")]
    Log {
        /// The reason.
        source: LogError,
    },
    /// A record cannot be read.
    #[display("a record of the file cannot be read: {reason}")]
    #[from(ignore)]
    BadRecord {
        /// Why.
        #[error(not(source))]
        reason: String,
    },
}

/// Bytes of lines in one record, at most, unless a single line is longer.
const CHUNK_BYTES: usize = 256 * 1024;
/// Tries of one append.
const MAX_APPEND_ATTEMPTS: u32 = 4;
/// First pause between tries.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Stores an uploaded file. It exists once this returns.
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

/// Appends with retries. A repeated append is harmless: readers drop what they have seen.
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

/// A file's content as replay gives it.
#[derive(Default)]
struct ReplayedFile {
    chunks: BTreeMap<u32, Vec<String>>,
    end: Option<(FileInfo, u32)>,
    results: BTreeMap<u32, String>,
}

async fn replay(log: &dyn LogService, file: &FileId) -> Result<ReplayedFile, FileError> {
    let stream = StreamName::file(file);
    let mut content = ReplayedFile::default();
    for bytes in read_all(log, &stream, 0).await? {
        let record = decode_cbor(&bytes).map_err(|reason| FileError::BadRecord { reason })?;
        match record {
            FileRecord::Lines { chunk, lines } => {
                content.chunks.entry(chunk).or_insert(lines);
            }
            FileRecord::End { info, chunks } => {
                content.end.get_or_insert((info, chunks));
            }
            FileRecord::Results(results) => {
                for result in results {
                    content.results.entry(result.index).or_insert(result.line);
                }
            }
        }
    }
    Ok(content)
}

/// What is known of an uploaded file.
pub(crate) async fn read_info(log: &dyn LogService, file: &FileId) -> Result<FileInfo, FileError> {
    let content = replay(log, file).await?;
    content.complete_end().map(|(info, _)| info.clone())
}

/// The lines of an uploaded file.
pub(crate) async fn read_lines(
    log: &dyn LogService,
    file: &FileId,
) -> Result<Vec<String>, FileError> {
    let content = replay(log, file).await?;
    content.complete_end()?;
    Ok(content.chunks.into_values().flatten().collect())
}

/// The results in a job's output, by item; the first result of an item stands.
pub(crate) async fn read_results(
    log: &dyn LogService,
    file: &FileId,
) -> Result<BTreeMap<u32, String>, FileError> {
    Ok(replay(log, file).await?.results)
}

/// The text of an uploaded file or of a job's output.
pub(crate) async fn read_content(log: &dyn LogService, file: &FileId) -> Result<String, FileError> {
    let content = replay(log, file).await?;
    let lines: Vec<String> = if content.results.is_empty() {
        content.complete_end()?;
        content.chunks.into_values().flatten().collect()
    } else {
        content.results.into_values().collect()
    };
    let mut text = lines.join("\n");
    text.push('\n');
    Ok(text)
}

impl ReplayedFile {
    /// The end record, if every chunk is there.
    fn complete_end(&self) -> Result<&(FileInfo, u32), FileError> {
        let end = self.end.as_ref().ok_or(FileError::NotFound)?;
        let complete = self.chunks.len() == end.1 as usize;
        complete.then_some(end).ok_or(FileError::NotFound)
    }
}

/// Appends results to a job's output.
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

    /// Appends results; returns once they are certainly there.
    pub(crate) async fn append(&self, results: &[ItemResult]) -> Result<Offset, FileError> {
        let record = FileRecord::Results(results.to_vec());
        let bytes = encode_cbor(&record).map_err(|reason| FileError::BadRecord { reason })?;
        Ok(self
            .log
            .append(&self.stream, vec![Bytes::from(bytes)])
            .await?)
    }
}
