//! The body of a response that may be a server-sent event stream, and how it ended.
//!
//! The HTTP library reports the end of a body without an error whenever the framing is satisfied. A response with neither
//! a length nor chunks ends with its connection, whatever the reason for which that was closed, so the events have to tell
//! whether the stream is whole.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};

use crate::event_numbers::{EventNumbers, NumberBreak, NumberRule, StreamPoint};

/// Content type of event streams.
const EVENT_STREAM: &str = "text/event-stream";
/// Most bytes of a stream from the end of one event to the end of the next, comments included. The whole text of an answer
/// is smaller: listings hold at most 1 MB.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
/// The byte order mark that may precede the first line of an event stream.
const BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];

/// What ends the body of a response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Framing {
    /// The number of bytes that its length states.
    #[display("length")]
    Length,
    /// The last chunk.
    #[display("chunked")]
    Chunked,
    /// The end of its connection.
    #[display("connection")]
    ConnectionClose,
}

impl Framing {
    /// Returns the framing that the headers of a response state. A body with a transfer coding is chunked only if that is
    /// its last coding (RFC 9112, section 6.3).
    pub fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            if is_chunked(headers) {
                Self::Chunked
            } else {
                Self::ConnectionClose
            }
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::ConnectionClose
        }
    }
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = codings.and_then(|codings| codings.to_str().ok());
    let last = codings.and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}

/// Whether bytes are nothing but ends of lines. A body without framing that has no other bytes may be the rest of a head in
/// which its sender stopped.
pub fn is_only_line_ends(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n'))
}

/// How an event stream ended whose body ended without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The framing and the events are complete.
    Complete,
    /// The connection ended behind an event, or behind any byte of a body without events: a sender that ended there leaves
    /// the same bytes.
    Unconfirmed,
    /// Something is missing.
    BrokenOff(StreamBreak),
}

/// What shows that an event stream broke off although its body ended without an error.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StreamBreak {
    /// The last event is incomplete.
    #[display("it ended inside an event")]
    InsideEvent,
    /// The connection ended before the first event.
    #[display("its connection ended before the first event")]
    BeforeFirstEvent,
    /// The connection ended before any content.
    #[display("its connection ended before any content")]
    BeforeContent,
    /// The connection ended, and so did its sender's process.
    #[display("its connection ended with the worker")]
    SenderEnded,
    /// The connection ended, and its sender cannot be reached.
    #[display("its connection ended, and the worker cannot be reached")]
    SenderUnreachable,
}

/// Why the next bytes of a stream cannot be read.
#[derive(Debug, Display, Error)]
pub enum StreamReadError {
    /// The connection or the framing broke.
    #[display("{source}")]
    Broken {
        /// The error of the HTTP library.
        source: hyper::Error,
    },
    /// An event does not continue the stream.
    #[display("{found}")]
    OutOfOrder {
        /// The event.
        #[error(not(source))]
        found: NumberBreak,
    },
    /// More than [`MAX_EVENT_BYTES`] arrived without the end of an event.
    #[display("{bytes} bytes without the end of an event")]
    EndlessEvent {
        /// Number of bytes behind the last event.
        bytes: usize,
    },
}

/// The position in an event stream: inside an event or between two.
#[derive(Clone, Debug)]
pub struct EventPosition {
    numbers: EventNumbers,
    /// The first event that does not continue the stream.
    number_break: Option<NumberBreak>,
    /// Progress in the byte order mark that may precede the first line.
    mark: MarkState,
    /// Whether the current line has a byte.
    in_line: bool,
    /// Whether the current line is a comment.
    in_comment: bool,
    /// Whether a field has begun since the last event.
    in_event: bool,
    /// Whether the last byte was a carriage return, whose line feed may follow.
    after_carriage_return: bool,
    events: u64,
}

/// Progress in the byte order mark.
#[derive(Clone, Copy, Debug)]
enum MarkState {
    /// This number of its bytes were seen, and nothing else.
    Seen(usize),
    /// Other bytes were seen.
    Over,
}

impl Default for MarkState {
    fn default() -> Self {
        Self::Seen(0)
    }
}

impl Default for EventPosition {
    fn default() -> Self {
        Self::new(EventNumbers::new(NumberRule::default(), None))
    }
}

impl EventPosition {
    /// Returns the position at the beginning of a run whose events have these numbers.
    pub fn new(numbers: EventNumbers) -> Self {
        Self {
            numbers,
            number_break: None,
            mark: MarkState::default(),
            in_line: false,
            in_comment: false,
            in_event: false,
            after_carriage_return: false,
            events: 0,
        }
    }

    /// Returns where the whole events so far leave the stream.
    pub fn point(&self) -> StreamPoint {
        self.numbers.point()
    }

    /// Returns the first event that does not continue the stream.
    pub fn number_break(&self) -> Option<NumberBreak> {
        self.number_break
    }

    /// Advances over `bytes`, to the first event that does not continue the stream at most. Returns the number of them up
    /// to the last place that lies between two events; `None` if there is no such place behind the first byte.
    pub fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut last_boundary = None;
        for (index, byte) in bytes.iter().enumerate() {
            let is_boundary = self.advance_byte(*byte);
            if self.number_break.is_some() {
                break;
            }
            if is_boundary {
                last_boundary = Some(index + 1);
            }
        }
        last_boundary
    }

    /// Whether everything so far belongs to whole events or comments.
    pub fn is_between_events(&self) -> bool {
        !self.in_line && !self.in_event
    }

    /// Returns the number of whole events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the byte ends a line behind which no event is open.
    fn advance_byte(&mut self, byte: u8) -> bool {
        if self.skip_mark(byte) {
            return false;
        }
        let ends_carriage_return = self.after_carriage_return && byte == b'\n';
        self.after_carriage_return = byte == b'\r';
        if ends_carriage_return {
            return self.is_between_events();
        }
        if byte == b'\n' || byte == b'\r' {
            self.end_line();
            return self.is_between_events();
        }
        if !self.in_line {
            self.in_line = true;
            self.in_comment = byte == b':';
            self.in_event |= !self.in_comment;
        }
        if !self.in_comment {
            self.numbers.push_byte(byte);
        }
        false
    }

    fn end_line(&mut self) {
        let broken = if self.in_line && !self.in_comment {
            self.numbers.end_line()
        } else if !self.in_line && self.in_event {
            self.in_event = false;
            let broken = self.numbers.end_event();
            self.events += u64::from(broken.is_none());
            broken
        } else {
            None
        };
        self.number_break = self.number_break.or(broken);
        self.in_line = false;
    }

    /// Returns whether the byte belongs to the byte order mark.
    fn skip_mark(&mut self, byte: u8) -> bool {
        let MarkState::Seen(seen) = self.mark else {
            return false;
        };
        if BYTE_ORDER_MARK.get(seen) == Some(&byte) {
            self.mark = MarkState::Seen(seen + 1);
            return true;
        }
        self.mark = MarkState::Over;
        false
    }
}

/// The next bytes of a body.
#[derive(Clone, Debug)]
pub struct BodyChunk {
    /// The bytes, as they arrived.
    pub bytes: Bytes,
    /// Number of the bytes up to the last place between two events; `None` if there is none behind the first byte.
    pub whole_events: Option<usize>,
    /// Whether an event ends in the bytes. Always true if the body is no event stream.
    pub ends_event: bool,
}

/// The body of a response, read as an event stream.
#[derive(Debug)]
pub struct EventStreamBody {
    body: Incoming,
    framing: Framing,
    /// Whether the headers leave open that the body is an event stream.
    has_events: bool,
    /// Whether the stream continues behind events that the receiver already has, so that none may be left.
    is_continuation: bool,
    position: EventPosition,
    /// Number of bytes behind the last event.
    bytes_behind_event: usize,
    received: u64,
    /// Whether a byte was received that is no end of a line.
    has_content: bool,
}

impl EventStreamBody {
    /// Creates the reader of a response's body whose events have these numbers.
    pub fn new(headers: &HeaderMap, body: Incoming, numbers: EventNumbers) -> Self {
        let content_type = headers.get(CONTENT_TYPE);
        let content_type = content_type.map(|value| value.as_bytes().to_ascii_lowercase());
        // A body that is known to be empty, by the status or the request, needs no framing.
        let framing = if body.is_end_stream() {
            Framing::Length
        } else {
            Framing::of(headers)
        };
        Self {
            body,
            framing,
            has_events: content_type.is_none_or(|value| value.starts_with(EVENT_STREAM.as_bytes())),
            is_continuation: numbers.point() != StreamPoint::Beginning,
            position: EventPosition::new(numbers),
            bytes_behind_event: 0,
            received: 0,
            has_content: false,
        }
    }

    /// Reads the body as an event stream, whatever its content type.
    pub fn expect_events(&mut self) {
        self.has_events = true;
    }

    /// Returns the next bytes; `None` at the end of the body. Fails at the first event that does not continue the stream,
    /// of which no byte is returned unless it was read before its number.
    pub async fn next_chunk(&mut self) -> Option<Result<BodyChunk, StreamReadError>> {
        if let Some(found) = self.position.number_break() {
            return Some(Err(StreamReadError::OutOfOrder { found }));
        }
        loop {
            let frame = match self.body.frame().await? {
                Ok(frame) => frame,
                Err(source) => return Some(Err(StreamReadError::Broken { source })),
            };
            if let Ok(bytes) = frame.into_data() {
                return Some(self.accept(bytes));
            }
        }
    }

    fn accept(&mut self, mut bytes: Bytes) -> Result<BodyChunk, StreamReadError> {
        self.received += bytes.len() as u64;
        self.has_content |= !is_only_line_ends(&bytes);
        if !self.has_events {
            return Ok(BodyChunk {
                whole_events: Some(bytes.len()),
                ends_event: true,
                bytes,
            });
        }
        let events_before = self.position.events();
        let whole_events = self.position.advance(&bytes);
        let ends_event = self.position.events() > events_before;
        if let Some(found) = self.position.number_break() {
            bytes.truncate(whole_events.unwrap_or(0));
            if bytes.is_empty() {
                return Err(StreamReadError::OutOfOrder { found });
            }
        }
        if ends_event {
            self.bytes_behind_event = bytes.len() - whole_events.unwrap_or(0);
        } else {
            self.bytes_behind_event += bytes.len();
        }
        if self.bytes_behind_event > MAX_EVENT_BYTES {
            return Err(StreamReadError::EndlessEvent {
                bytes: self.bytes_behind_event,
            });
        }
        Ok(BodyChunk {
            bytes,
            whole_events,
            ends_event,
        })
    }

    /// Returns the body, to be read without regard to events.
    pub fn as_incoming(&mut self) -> &mut Incoming {
        &mut self.body
    }

    /// Returns how the stream ended, once [`Self::next_chunk`] has returned `None`.
    pub fn end(&self) -> StreamEnd {
        if self.has_events && !self.position.is_between_events() {
            return StreamEnd::BrokenOff(StreamBreak::InsideEvent);
        }
        if self.framing != Framing::ConnectionClose {
            return StreamEnd::Complete;
        }
        if self.has_events && self.position.events() == 0 && !self.is_continuation {
            return StreamEnd::BrokenOff(StreamBreak::BeforeFirstEvent);
        }
        if !self.has_content {
            return StreamEnd::BrokenOff(StreamBreak::BeforeContent);
        }
        StreamEnd::Unconfirmed
    }

    /// Returns the framing of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the first event that does not continue the stream.
    pub fn number_break(&self) -> Option<NumberBreak> {
        self.position.number_break()
    }

    /// Returns where the whole events so far leave the stream; [`StreamPoint::Unnumbered`] behind any byte of a body that
    /// is no event stream.
    pub fn point(&self) -> StreamPoint {
        if !self.has_events && self.received > 0 {
            return StreamPoint::Unnumbered;
        }
        self.position.point()
    }

    /// Returns the number of whole events so far.
    pub fn events(&self) -> u64 {
        self.position.events()
    }

    /// Returns the number of bytes so far.
    pub fn received(&self) -> u64 {
        self.received
    }
}
