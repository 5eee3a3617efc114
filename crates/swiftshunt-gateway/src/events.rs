//! Borders of events in a stream that is passed on unchanged.

use bytes::{Bytes, BytesMut};

/// Holds back what is not yet a whole event.
#[derive(Debug, Default)]
pub(crate) struct EventFramer {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl EventFramer {
    /// Takes bytes; gives all whole events that are there now.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_border(&self.pending) else {
            return Bytes::new();
        };
        let whole = self.pending.split_to(end).freeze();
        if let Some(id) = last_identifier(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Identifier of the last whole event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Drops what a broken stream left behind.
    pub(crate) fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// What stands behind the last border when a stream ends as complete.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// Position just behind the last empty line.
fn last_border(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let network = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let unix = unix.map(|at| at + 2);
    let network = network.map(|at| at + 4);
    unix.max(network)
}

/// The last `id:` field.
fn last_identifier(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let value = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
