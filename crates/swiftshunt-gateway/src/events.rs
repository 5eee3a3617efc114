//! Event boundaries in a server-sent event stream that is forwarded unchanged.

use bytes::{Bytes, BytesMut};
use swiftshunt_http::BodyChunk;

/// Buffers a partial event until the rest of it arrives.
#[derive(Debug, Default)]
pub(crate) struct EventFramer {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl EventFramer {
    /// Adds bytes to the buffer, and returns all complete events in it.
    pub(crate) fn push(&mut self, chunk: &BodyChunk) -> Bytes {
        let Some(end) = chunk.whole_events else {
            self.pending.extend_from_slice(&chunk.bytes);
            return Bytes::new();
        };
        let (whole, partial) = chunk.bytes.split_at(end);
        self.pending.extend_from_slice(whole);
        let complete = self.pending.split().freeze();
        self.pending.extend_from_slice(partial);
        if let Some(id) = last_identifier(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Returns the last identifier among the complete events; `None` if they have none.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards the partial event of a stream that broke off.
    pub(crate) fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Returns the bytes behind the last complete event at the regular end of a stream.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// Returns the value of the last `id:` field.
fn last_identifier(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
    let value = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
