//! Event boundaries in a server-sent event stream that is forwarded unchanged.

use bytes::{Bytes, BytesMut};

/// Buffers a partial event until the rest of it arrives.
#[derive(Debug, Default)]
pub(crate) struct EventFramer {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl EventFramer {
    /// Adds bytes to the buffer, and returns all complete events in it.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.pending) else {
            return Bytes::new();
        };
        let complete = self.pending.split_to(end).freeze();
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

/// Returns the position behind the last empty line, which ends an event.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let lf_end = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let crlf_end = bytes.windows(4).rposition(|window| window == b"\r\n\r\n");
    let lf_end = lf_end.map(|at| at + 2);
    let crlf_end = crlf_end.map(|at| at + 4);
    lf_end.max(crlf_end)
}

/// Returns the value of the last `id:` field.
fn last_identifier(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let value = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
