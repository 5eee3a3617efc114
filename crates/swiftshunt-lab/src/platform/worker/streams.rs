//! The event streams of a worker stand-in: their data, the ways in which they break off, and their framing.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, Version};
use serde::{Deserialize, Serialize};

use super::{HeldSlot, Shared, WorkerBehaviour};
use crate::platform::server::{Body, BrokenOff, full_body};
use crate::stand_in::lock;

/// What ends the body of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFraming {
    /// The last chunk.
    Chunked,
    /// Its stated length; the body is sent at once.
    Length,
    /// The end of the connection.
    ConnectionClose,
}

/// Place inside an event at which a stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutPlace {
    /// Inside the name of its second field.
    InsideField,
    /// Behind its last line, before the empty line.
    BeforeEmptyLine,
}

/// How a stream ends inside an event while its framing is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamCut {
    /// Number of whole events before the incomplete one, not counting those before the event at which the stream was
    /// resumed.
    pub events: u64,
    /// Where the incomplete event ends.
    pub place: CutPlace,
    /// What ends the body.
    pub framing: StreamFraming,
}

/// How the events of a run do not follow each other, or those that the sender has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NumberFault {
    /// A continuation begins with the event that the sender has.
    RepeatsLast,
    /// A continuation begins with the first event of the stream.
    FromBeginning,
    /// A continuation leaves its first event out.
    LeavesFirstOut,
    /// A run goes back by one event.
    GoesBack,
}

/// Returns the data of a stream's event. It depends only on its arguments, so that a stream can be resumed at any
/// worker.
pub fn event_data(id: &str, event: u64) -> String {
    format!("{id}-piece-{event}")
}

/// Separates the data of an event from the software version that made it.
const VERSION_SEPARATOR: char = '@';

/// Returns the data of an event that a worker of a software version makes.
pub fn versioned_event_data(id: &str, event: u64, software: Option<&str>) -> String {
    let data = event_data(id, event);
    match software {
        Some(software) => format!("{data}{VERSION_SEPARATOR}{software}"),
        None => data,
    }
}

/// Returns the software versions that made the events of a text, one event a line, without repetitions.
pub fn versions_in(text: &str) -> BTreeSet<&str> {
    let versions = text
        .lines()
        .filter_map(|line| line.rsplit_once(VERSION_SEPARATOR));
    versions.map(|(_, version)| version).collect()
}

/// A stream that a worker is asked for.
pub(super) struct StreamRun {
    pub(super) id: String,
    /// Position of the run in the worker's list of runs.
    pub(super) index: usize,
    /// Delay before each event.
    pub(super) event_delay: Duration,
    /// Number of the last event that the sender already has.
    pub(super) last_event: Option<u64>,
    /// Number of events of the whole stream.
    pub(super) events: u64,
    pub(super) behaviour: WorkerBehaviour,
    /// Whether the worker crashes inside the second event.
    pub(super) crashes: bool,
}

impl StreamRun {
    fn first_event(&self) -> u64 {
        self.last_event.map_or(0, |last| last + 1)
    }

    /// Returns the numbers of the events that are sent, and one more for the end of a whole stream.
    fn event_numbers(&self) -> Vec<u64> {
        let (first, last) = (self.first_event(), self.last_sent());
        let sound = first..=last;
        let WorkerBehaviour::MisnumberEvents(fault) = self.behaviour else {
            return sound.collect();
        };
        let is_continuation = self.last_event.is_some();
        match fault {
            NumberFault::RepeatsLast if is_continuation => (first - 1..=last).collect(),
            NumberFault::FromBeginning if is_continuation => (0..=last).collect(),
            // A continuation without its only event is that of a stream without further events.
            NumberFault::LeavesFirstOut if is_continuation && first + 1 < self.events => {
                (first + 1..=last).collect()
            }
            NumberFault::GoesBack if first + 1 < last => {
                [first, first + 1].into_iter().chain(sound).collect()
            }
            _ => sound.collect(),
        }
    }

    /// Returns the number of whole events before the one inside which the stream ends, and where that ends.
    fn cut(&self) -> Option<(u64, CutPlace)> {
        match self.behaviour {
            _ if self.crashes => Some((1, CutPlace::InsideField)),
            WorkerBehaviour::EndStreamInsideEvent(cut) => Some((cut.events, cut.place)),
            _ => None,
        }
    }

    fn framing(&self) -> StreamFraming {
        match self.behaviour {
            WorkerBehaviour::EndStreamInsideEvent(cut) => cut.framing,
            WorkerBehaviour::UnframedStreams => StreamFraming::ConnectionClose,
            _ => StreamFraming::Chunked,
        }
    }

    /// Returns the number of the last event of which anything is sent, or one more for the end of a whole stream.
    fn last_sent(&self) -> u64 {
        let cut_event = self.cut().map(|(events, _)| self.first_event() + events);
        let crash = u64::from(self.crashes);
        cut_event.map_or(self.events, |event| (event + crash).min(self.events))
    }
}

/// Returns a response that streams the events of a run. The slot is released after the last event, or when the sender
/// closes the connection.
pub(super) async fn stream_answer(
    shared: &Arc<Shared>,
    slot: HeldSlot,
    run: StreamRun,
    mut answer: Response<Body>,
) -> Response<Body> {
    let framing = run.framing();
    let body = event_stream_body(shared, slot, run);
    *answer.body_mut() = match framing {
        StreamFraming::Length => {
            let whole = body.collect().await;
            full_body(whole.map(|body| body.to_bytes()).unwrap_or_default())
        }
        StreamFraming::Chunked | StreamFraming::ConnectionClose => body,
    };
    if framing == StreamFraming::ConnectionClose {
        // A response of this version cannot be chunked.
        *answer.version_mut() = Version::HTTP_10;
    }
    let content_type = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}

fn event_stream_body(shared: &Arc<Shared>, slot: HeldSlot, run: StreamRun) -> Body {
    let shared = Arc::clone(shared);
    let numbers = run.event_numbers();
    let state = Arc::new((slot, run));
    let frames = futures_util::stream::iter(numbers).then(move |event| {
        let shared = Arc::clone(&shared);
        let state = Arc::clone(&state);
        async move {
            let (_, run) = &*state;
            next_frame(&shared, run, event).await
        }
    });
    StreamBody::new(frames)
        .map_err(|error: BrokenOff| error)
        .boxed_unsync()
}

/// Returns the frame with an event, a part of it, or nothing behind the last event.
async fn next_frame(
    shared: &Shared,
    run: &StreamRun,
    event: u64,
) -> Result<Frame<Bytes>, BrokenOff> {
    if let WorkerBehaviour::TruncateStreamAfter(limit) = run.behaviour
        && event >= run.first_event() + limit
    {
        // The delay lets the events sent so far reach the sender before the connection is closed.
        tokio::time::sleep(shared.settings.answer_delay).await;
        return Err(BrokenOff);
    }
    if run.crashes && event >= run.first_event() + 2 {
        tokio::time::sleep(shared.settings.answer_delay).await;
        shared.stop.cancel();
        return Err(BrokenOff);
    }
    if event == run.events {
        lock(&shared.runs)[run.index].completed = true;
        return Ok(Frame::data(Bytes::new()));
    }
    tokio::time::sleep(run.event_delay).await;
    let data = versioned_event_data(&run.id, event, shared.settings.software.as_deref());
    let cut = run.cut();
    let cut = cut.filter(|(events, _)| event == run.first_event() + events);
    let text = match cut.map(|(_, place)| place) {
        None => format!("id: {event}\ndata: {data}\n\n"),
        Some(CutPlace::InsideField) => format!("id: {event}\nda"),
        Some(CutPlace::BeforeEmptyLine) => format!("id: {event}\ndata: {data}\n"),
    };
    Ok(Frame::data(Bytes::from(text)))
}
