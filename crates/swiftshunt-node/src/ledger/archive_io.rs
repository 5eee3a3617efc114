//! Tasks that read from and append to a partition's archive stream and report the results to the driver.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use swiftshunt_backends::log_service::{LogError, LogService, StreamName};
use swiftshunt_http::{decode_cbor, encode_cbor};
use swiftshunt_ledger::archive::{ArchivePosition, ArchiveRecord, Replay};
use swiftshunt_ledger::raft::Index;
use swiftshunt_types::Monotonic;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::input::{ArchiveEvent, DriverInput};

/// Most records in one read.
const MAX_RECORDS_PER_READ: usize = 1024;
/// Time for which a read waits for new records at the end of the stream.
const TAIL_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed read of the tail.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Access to one partition's archive stream.
#[derive(Clone)]
pub(super) struct ArchiveIo {
    pub(super) log: Arc<dyn LogService>,
    pub(super) stream: StreamName,
    pub(super) events: mpsc::UnboundedSender<DriverInput>,
}

impl ArchiveIo {
    /// Sends an event to the driver; returns `false` if the driver has ended.
    fn report(&self, event: ArchiveEvent) -> bool {
        self.events.send(DriverInput::Archive(event)).is_ok()
    }

    /// Appends a record of entries, the last of which has the index `up_to`.
    pub(super) fn append(&self, record: ArchiveRecord, up_to: Index) {
        let archive = self.clone();
        tokio::spawn(async move {
            let event = match archive.append_record(&record).await {
                Ok(()) => ArchiveEvent::Appended { up_to },
                Err(reason) => ArchiveEvent::AppendFailed { reason },
            };
            archive.report(event);
        });
    }

    /// Appends a claim. Only a replay shows whether it is the first valid one of its generation.
    pub(super) fn claim(&self, record: ArchiveRecord) {
        let archive = self.clone();
        tokio::spawn(async move {
            if let Err(error) = archive.append_record(&record).await {
                log::warn!(
                    "append of a generation claim failed or was not acknowledged; the next replay shows whether the archive contains the claim: {error}"
                );
            }
            archive.report(ArchiveEvent::ClaimAppended);
        });
    }

    async fn append_record(&self, record: &ArchiveRecord) -> Result<(), LogError> {
        let bytes = encode_cbor(record).map_err(|reason| LogError::BadRecord {
            stream: self.stream.clone(),
            offset: 0,
            reason,
        })?;
        let records = vec![Bytes::from(bytes)];
        self.log.append(&self.stream, records).await.map(|_| ())
    }

    /// Reads the stream from `position` and reports each advance, until the task is aborted or the
    /// driver has ended.
    pub(super) fn follow(&self, mut position: ArchivePosition) -> JoinHandle<()> {
        let archive = self.clone();
        tokio::spawn(async move {
            loop {
                let read = archive
                    .read_batch(&mut position, TAIL_READ_TIMEOUT, |_| {})
                    .await;
                match read {
                    Ok(0) => {}
                    Ok(_) => {
                        if !archive.report(ArchiveEvent::Tail(position.clone())) {
                            return;
                        }
                    }
                    Err(_) => tokio::time::sleep(RETRY_DELAY).await,
                }
            }
        })
    }

    /// Reads from `position` to the end of the stream and reports the position reached, with
    /// `started_at`.
    pub(super) fn verify(&self, mut position: ArchivePosition, started_at: Monotonic) {
        let archive = self.clone();
        tokio::spawn(async move {
            let outcome = archive.read_to_end(&mut position, |_| {}).await;
            archive.report(ArchiveEvent::Verified {
                started_at,
                outcome: outcome.map(|()| position),
            });
        });
    }

    /// Replays the stream from its start and reports the result.
    pub(super) fn replay(&self) {
        let archive = self.clone();
        tokio::spawn(async move {
            let mut position = ArchivePosition::default();
            let mut replay = Box::<Replay>::default();
            let outcome = archive
                .read_to_end(&mut position, |record| replay.apply(record))
                .await;
            archive.report(ArchiveEvent::Replayed(outcome.map(|()| replay)));
        });
    }

    async fn read_to_end(
        &self,
        position: &mut ArchivePosition,
        mut apply: impl FnMut(&ArchiveRecord),
    ) -> Result<(), LogError> {
        while self
            .read_batch(position, Duration::ZERO, &mut apply)
            .await?
            > 0
        {}
        Ok(())
    }

    /// Reads the next records and returns their number; 0 at the end of the stream.
    async fn read_batch(
        &self,
        position: &mut ArchivePosition,
        wait: Duration,
        mut apply: impl FnMut(&ArchiveRecord),
    ) -> Result<usize, LogError> {
        let from = position.next_offset;
        let read = self
            .log
            .read(&self.stream, from, MAX_RECORDS_PER_READ, wait)
            .await?;
        if read.first != from && !read.records.is_empty() {
            return Err(self.bad_record(
                from,
                "the log service returned records from another offset than requested".to_owned(),
            ));
        }
        for (index, bytes) in read.records.iter().enumerate() {
            let record: ArchiveRecord = decode_cbor(bytes)
                .map_err(|reason| self.bad_record(from + index as u64, reason))?;
            position.advance(&record);
            apply(&record);
        }
        Ok(read.records.len())
    }

    fn bad_record(&self, offset: u64, reason: String) -> LogError {
        LogError::BadRecord {
            stream: self.stream.clone(),
            offset,
            reason,
        }
    }
}
