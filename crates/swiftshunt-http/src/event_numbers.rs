//! The numbers of a stream's events: each event continues the stream behind the one before, in a run and from one run to the
//! next.

use derive_more::Display;

/// Field of an event that holds its number.
const NUMBER_FIELD: &[u8] = b"id";
/// Most bytes of a number, with a space before it.
const MAX_NUMBER_BYTES: usize = 21;

/// Which number may follow another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NumberRule {
    /// The next one: the stream can be continued behind each of its events.
    Consecutive,
    /// Any larger one. A run that is to continue a stream may begin it anew.
    #[default]
    Ascending,
}

/// Where the events so far leave a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamPoint {
    /// No event has been read, and none came before.
    Beginning,
    /// The last event has this number.
    Behind(u64),
    /// The last event has no number, so the stream cannot be continued.
    Unnumbered,
}

/// An event whose number does not continue the stream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NumberBreak {
    /// Its number does not follow that of the event before.
    #[display("event {found} came behind event {before}")]
    OutOfOrder {
        /// Number of the event before.
        before: u64,
        /// Number of this event.
        found: u64,
    },
    /// It is the first one behind an event of another run, and has no number.
    #[display("an event without a number came behind event {before} of another run")]
    Unnumbered {
        /// Number of the event before.
        before: u64,
    },
}

/// Follows the numbers of the events of one run.
#[derive(Clone, Debug)]
pub struct EventNumbers {
    rule: NumberRule,
    point: StreamPoint,
    /// The largest number so far, or the one that the run continues behind.
    last: Option<u64>,
    /// Whether an event of this run has ended.
    has_events: bool,
    /// Number of the event that is being read; `None` while it has none.
    current: Option<u64>,
    line: NumberLine,
}

impl EventNumbers {
    /// Follows a run that continues behind the event with the number `last`, or begins a stream.
    pub fn new(rule: NumberRule, last: Option<u64>) -> Self {
        Self {
            rule,
            point: last.map_or(StreamPoint::Beginning, StreamPoint::Behind),
            last,
            has_events: false,
            current: None,
            line: NumberLine::default(),
        }
    }

    /// Returns where the whole events so far leave the stream.
    pub fn point(&self) -> StreamPoint {
        self.point
    }

    /// Adds a byte of a line that is no comment.
    pub(crate) fn push_byte(&mut self, byte: u8) {
        self.line.push(byte);
    }

    /// Ends a line that has a byte. Returns why the event that it belongs to does not continue the stream, as soon as its
    /// number is known.
    pub(crate) fn end_line(&mut self) -> Option<NumberBreak> {
        let line = std::mem::take(&mut self.line);
        let number = line.number()?;
        self.current = Some(number);
        let before = self.last?;
        let follows = match self.rule {
            NumberRule::Consecutive => before.checked_add(1) == Some(number),
            NumberRule::Ascending => !self.has_events || number > before,
        };
        (!follows).then_some(NumberBreak::OutOfOrder {
            before,
            found: number,
        })
    }

    /// Ends an event. Returns why it does not continue the stream.
    pub(crate) fn end_event(&mut self) -> Option<NumberBreak> {
        let number = self.current.take();
        if let Some(before) = self.last
            && self.rule == NumberRule::Consecutive
            && !self.has_events
            && number.is_none()
        {
            return Some(NumberBreak::Unnumbered { before });
        }
        self.has_events = true;
        self.last = number.or(self.last);
        self.point = number.map_or(StreamPoint::Unnumbered, StreamPoint::Behind);
        None
    }
}

/// The start of a line, as far as it may hold a number.
#[derive(Clone, Debug, Default)]
struct NumberLine {
    bytes: Vec<u8>,
}

impl NumberLine {
    fn push(&mut self, byte: u8) {
        let longest = NUMBER_FIELD.len() + 1 + MAX_NUMBER_BYTES;
        if self.bytes.len() <= longest {
            self.bytes.push(byte);
        }
    }

    /// Returns the number that the line gives its event; `None` if it gives none.
    fn number(&self) -> Option<u64> {
        let value = self.bytes.strip_prefix(NUMBER_FIELD)?.strip_prefix(b":")?;
        if value.len() > MAX_NUMBER_BYTES {
            return None;
        }
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    }
}
