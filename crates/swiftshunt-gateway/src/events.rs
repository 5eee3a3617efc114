//! Event boundaries in a server-sent event stream that is forwarded unchanged.

use bytes::Bytes;
use swiftshunt_http::BodyChunk;

use crate::answer_buffer::{AnswerBuffer, AnswerBuffers, AnswerTooLong};

/// Buffers a partial event until the rest of it arrives. Partial events count for the limit of all answers.
pub(crate) struct EventFramer {
    buffers: AnswerBuffers,
    pending: AnswerBuffer,
    /// Why the bytes behind the last complete event are not in the buffer.
    overflow: Option<AnswerTooLong>,
}

impl EventFramer {
    pub(crate) fn new(buffers: &AnswerBuffers) -> Self {
        Self {
            buffers: buffers.clone(),
            pending: buffers.open(),
            overflow: None,
        }
    }

    /// Adds bytes to the buffer, and returns all complete events in it. No further bytes may be added once there is an
    /// [overflow](Self::overflow).
    pub(crate) fn push(&mut self, chunk: &BodyChunk) -> Bytes {
        let end = chunk.whole_events.unwrap_or(0);
        let whole = chunk.bytes.slice(..end);
        let complete = if end == 0 {
            Bytes::new()
        } else if self.pending.is_empty() {
            whole
        } else {
            [self.take_remainder(), whole].concat().into()
        };
        self.overflow = self.pending.append(&chunk.bytes[end..]).err();
        complete
    }

    /// Returns why the partial event behind the complete ones has no room in the buffer; `None` if it has.
    pub(crate) fn overflow(&self) -> Option<AnswerTooLong> {
        self.overflow
    }

    /// Discards the partial event of a stream that broke off.
    pub(crate) fn discard_partial(&mut self) {
        self.overflow = None;
        drop(self.take_remainder());
    }

    /// Returns the bytes behind the last complete event at the regular end of a stream.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        std::mem::replace(&mut self.pending, self.buffers.open()).finish()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn chunk(bytes: Vec<u8>, whole_events: Option<usize>) -> BodyChunk {
        BodyChunk {
            bytes: bytes.into(),
            whole_events,
            ends_event: whole_events.is_some(),
        }
    }

    #[test]
    fn complete_events_are_returned_although_the_partial_one_behind_them_has_no_room() {
        let buffers = AnswerBuffers::new(1 << 10);
        let mut framer = EventFramer::new(&buffers);
        assert_eq!(framer.push(&chunk(b"id: 0\nda".to_vec(), None)), "");
        let mut bytes = b"ta: a\n\n".to_vec();
        bytes.extend(vec![b'x'; 128 << 10]);
        assert_eq!(framer.push(&chunk(bytes, Some(7))), "id: 0\ndata: a\n\n");
        assert_eq!(framer.overflow(), Some(AnswerTooLong::Total));
        framer.discard_partial();
        assert_eq!(framer.overflow(), None);
        assert_eq!(framer.take_remainder(), "");
    }
}
