//! Memory of answers that are read whole before they are forwarded, and of events of streams. All of them together have a limit, since a faulty
//! worker may send as much as one answer may hold to each of its requests.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::reserved_bytes::{merge, with_reservation};

/// Most bytes of one answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Bytes of each answer that do not count for the total: most answers have fewer, and must not fail because of others.
const FREE_BYTES: usize = 64 << 10;

/// Why an answer is not read to its end.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum AnswerTooLong {
    /// It is longer than one answer may be.
    #[display("the answer has more than {MAX_ANSWER_BYTES} bytes")]
    One,
    /// The answers that are being read have too many bytes together.
    #[display("the answers that are being read have too many bytes")]
    Total,
}

/// The limit that all answers share. Clones share it, too.
#[derive(Clone)]
pub(crate) struct AnswerBuffers {
    /// A permit for each byte.
    free: Arc<Semaphore>,
}

impl AnswerBuffers {
    /// Returns the limit of answers that have at most `capacity` bytes together, without [`FREE_BYTES`] of each.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            free: Arc::new(Semaphore::new(capacity)),
        }
    }

    /// Returns the empty buffer of an answer.
    pub(crate) fn open(&self) -> AnswerBuffer {
        AnswerBuffer {
            bytes: BytesMut::new(),
            free: Arc::clone(&self.free),
            reserved: None,
        }
    }
}

/// An answer that is being read.
pub(crate) struct AnswerBuffer {
    bytes: BytesMut,
    free: Arc<Semaphore>,
    /// Permits for the bytes beyond [`FREE_BYTES`].
    reserved: Option<OwnedSemaphorePermit>,
}

impl AnswerBuffer {
    /// Appends the next bytes of the answer.
    pub(crate) fn append(&mut self, bytes: &[u8]) -> Result<(), AnswerTooLong> {
        let length = self.bytes.len() + bytes.len();
        if length > MAX_ANSWER_BYTES {
            return Err(AnswerTooLong::One);
        }
        self.reserve(length.saturating_sub(FREE_BYTES))?;
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    fn reserve(&mut self, needed: usize) -> Result<(), AnswerTooLong> {
        let reserved = self
            .reserved
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = needed.saturating_sub(reserved);
        if missing == 0 {
            return Ok(());
        }
        let missing = u32::try_from(missing).map_err(|_| AnswerTooLong::One)?;
        let permit = Arc::clone(&self.free)
            .try_acquire_many_owned(missing)
            .map_err(|_| AnswerTooLong::Total)?;
        merge(&mut self.reserved, permit);
        Ok(())
    }

    /// Returns the whole answer. Its bytes count for the total until they are dropped.
    pub(crate) fn finish(self) -> Bytes {
        match self.reserved {
            None => self.bytes.freeze(),
            Some(reserved) => with_reservation(self.bytes, reserved),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    static CHUNK: [u8; 1 << 20] = [0; 1 << 20];

    fn read(buffers: &AnswerBuffers, chunks: usize) -> Result<AnswerBuffer, AnswerTooLong> {
        let mut buffer = buffers.open();
        for _ in 0..chunks {
            buffer.append(&CHUNK)?;
        }
        Ok(buffer)
    }

    #[test]
    fn answers_share_the_limit_until_they_are_forwarded() {
        let buffers = AnswerBuffers::new(24 << 20);
        assert_eq!(read(&buffers, 17).err(), Some(AnswerTooLong::One));
        let first = read(&buffers, 16).map(AnswerBuffer::finish);
        let second = read(&buffers, 8).map(AnswerBuffer::finish);
        assert_eq!(read(&buffers, 1).err(), Some(AnswerTooLong::Total));
        let mut small = buffers.open();
        assert_eq!(small.append(&CHUNK[..FREE_BYTES]), Ok(()));
        assert_eq!(first.as_ref().map(Bytes::len).ok(), Some(16 << 20));
        drop((first, second));
        assert!(read(&buffers, 16).is_ok());
    }
}
