//! Event boundaries in a server-sent event stream that is forwarded unchanged.

use bytes::{Bytes, BytesMut};
use swiftshunt_http::BodyChunk;

/// Buffers a partial event until the rest of it arrives.
#[derive(Debug, Default)]
pub(crate) struct EventFramer {
    pending: BytesMut,
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
        complete
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
