//! A worker's answer: whether it is complete, and what follows from its end.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::http::response;
use swiftshunt_http::{
    BodyChunk, EventStreamBody, Framing, StreamBreak, StreamEnd, is_only_line_ends,
};
use swiftshunt_scheduler::eligibility::OfferScope;
use swiftshunt_scheduler::selection::{AttemptOutcome, ChosenWorker};

use crate::attempt::{Dispatcher, SendFailure};
use crate::in_flight::InFlight;
use crate::messages::quarantine::Sight;
use crate::protocol::AnswerFacts;
use crate::quarantine::probe_connection;
use crate::upstream::Sender;

/// Time within which a process that ends closes its listening socket after its connections, on a busy machine.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(20);

/// A worker's answer whose head has arrived.
pub(crate) struct Answer {
    pub(crate) head: response::Parts,
    pub(crate) facts: AnswerFacts,
    pub(crate) body: EventStreamBody,
    pub(crate) in_flight: InFlight,
    /// Whether the end of the body shows that the answer is complete, as far as it was read.
    is_confirmed: bool,
    /// Since when the reader has waited for the end of the next event; `None` while it does not.
    awaits_event_since: Option<Duration>,
    sender: Sender,
}

impl Answer {
    pub(crate) fn new(
        head: response::Parts,
        facts: AnswerFacts,
        body: EventStreamBody,
        in_flight: InFlight,
        sender: Sender,
    ) -> Self {
        Self {
            is_confirmed: body.framing() != Framing::ConnectionClose,
            head,
            facts,
            body,
            in_flight,
            awaits_event_since: None,
            sender,
        }
    }

    /// Returns since when the reader has waited for the end of the next event: from `now` on, if it has not.
    pub(crate) fn wait_for_event(&mut self, now: Duration) -> Duration {
        *self.awaits_event_since.get_or_insert(now)
    }

    /// Records bytes of a stream. Only the end of an event is progress of the worker: other bytes may be no answer.
    pub(crate) fn record_chunk(&mut self, chunk: &BodyChunk) {
        self.in_flight.record_received(chunk.bytes.len());
        if chunk.ends_event {
            self.in_flight.record_progress();
            self.awaits_event_since = None;
        }
    }

    /// Logs and counts the event at which reading the stream failed, if that does not continue it.
    pub(crate) fn record_number_break(&self, dispatcher: &Dispatcher) {
        let Some(found) = self.body.number_break() else {
            return;
        };
        dispatcher.metrics.events_out_of_order.inc();
        let request = self.facts.request_id.as_deref().unwrap_or("");
        log::warn!(request, worker = self.in_flight.chosen.incarnation.as_str(), found:% = found,
            events = self.body.events(), bytes = self.body.received();
            "an event of a worker does not continue its stream");
    }

    /// Whether the status is a success, the worker signed the answer, and the body has no content encoding that
    /// an intermediary may have applied.
    pub(crate) fn is_signed_success(&self) -> bool {
        self.head.status.is_success()
            && self.facts.signed
            && !self.head.headers.contains_key("content-encoding")
    }

    /// Records an answer that was read to its end, and returns its connection to the pool.
    pub(crate) fn finish(self, dispatcher: &Dispatcher) {
        let Self {
            head,
            facts,
            mut in_flight,
            is_confirmed,
            sender,
            ..
        } = self;
        in_flight.set_outcome(outcome_by_status(head.status));
        if head.status.is_success() {
            let (quarantine, content) = (&dispatcher.quarantine, &in_flight.request_content);
            if is_confirmed {
                quarantine.record_success(content);
            } else {
                quarantine.confirm_success(content, &in_flight.chosen);
            }
        }
        let now = dispatcher.clock.now();
        let incarnation = &in_flight.chosen.incarnation;
        dispatcher
            .upstream
            .return_idle(incarnation, sender, facts.keep_alive, now);
    }

    /// Checks, after the body of a stream has ended without an error, that the stream did not break off. One whose end
    /// remains unconfirmed counts as broken off if it can be continued: another worker has nothing to add to a whole one.
    pub(crate) async fn check_stream_end(
        &mut self,
        dispatcher: &Dispatcher,
        may_continue: bool,
    ) -> Result<(), SendFailure> {
        let end = match self.body.end() {
            StreamEnd::Unconfirmed => dispatcher.confirm_end(&self.in_flight.chosen).await,
            end => end,
        };
        self.record_end(dispatcher, end);
        match end {
            StreamEnd::Complete => Ok(()),
            StreamEnd::Unconfirmed if !may_continue => Ok(()),
            StreamEnd::Unconfirmed => Err(SendFailure::Broken {
                reason: "its worker leaves, which may have ended the stream".to_owned(),
            }),
            StreamEnd::BrokenOff(shown_by) => Err(SendFailure::Broken {
                reason: format!("the stream is not complete: {shown_by}"),
            }),
        }
    }

    /// Checks, after a body that is no stream has been read, that it did not break off. `has_content` tells whether it has
    /// other bytes than ends of lines.
    async fn check_body_end(
        &mut self,
        dispatcher: &Dispatcher,
        has_content: bool,
    ) -> Result<(), String> {
        if self.body.framing() != Framing::ConnectionClose {
            return Ok(());
        }
        let end = if self.head.status.is_success() && !has_content {
            StreamEnd::BrokenOff(StreamBreak::BeforeContent)
        } else {
            dispatcher.confirm_end(&self.in_flight.chosen).await
        };
        self.record_end(dispatcher, end);
        match end {
            StreamEnd::Complete | StreamEnd::Unconfirmed => Ok(()),
            StreamEnd::BrokenOff(shown_by) => {
                Err(format!("the answer is not complete: {shown_by}"))
            }
        }
    }

    /// Logs and counts how the body ended.
    fn record_end(&mut self, dispatcher: &Dispatcher, end: StreamEnd) {
        self.is_confirmed = end == StreamEnd::Complete;
        let framing = self.body.framing();
        dispatcher.metrics.record_stream_end(framing, end);
        if end == StreamEnd::Complete {
            return;
        }
        let request = self.facts.request_id.as_deref().unwrap_or("");
        log::info!(request, worker = self.in_flight.chosen.incarnation.as_str(), end:? = end,
            framing:% = framing, events = self.body.events(), bytes = self.body.received(),
            waited_ms = self.in_flight.time_at_worker().as_millis() as u64;
            "the body of a worker's answer ended, which does not show that the answer is complete");
    }

    /// Reads the whole body.
    pub(crate) async fn read_body(&mut self, dispatcher: &Dispatcher) -> Result<Bytes, String> {
        let mut whole = dispatcher.answer_buffers.open();
        let mut has_content = false;
        while let Some(frame) = self.body.as_incoming().frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.in_flight.record_progress();
            self.in_flight.record_received(data.len());
            has_content |= !is_only_line_ends(&data);
            whole.append(&data).map_err(|error| error.to_string())?;
        }
        self.check_body_end(dispatcher, has_content).await?;
        Ok(whole.finish())
    }
}

impl Dispatcher {
    /// Returns how an answer ended that ended with its connection, between two events if it has any. The connection is
    /// replaced, which the next request to the worker needs anyway, and a worker that refuses has ended together with the
    /// answer. One that takes connections but is to get no requests may be leaving, and close the connections of answers
    /// that are not complete.
    async fn confirm_end(&self, chosen: &ChosenWorker) -> StreamEnd {
        match self.reconnect(chosen).await {
            Sight::Refuses => StreamEnd::BrokenOff(StreamBreak::SenderEnded),
            Sight::Nothing => StreamEnd::BrokenOff(StreamBreak::SenderUnreachable),
            Sight::Takes if self.may_get_requests(chosen) => StreamEnd::Complete,
            Sight::Takes => StreamEnd::Unconfirmed,
        }
    }

    fn may_get_requests(&self, chosen: &ChosenWorker) -> bool {
        let selector = self.fleet_state.selector();
        let offered = selector.may_offer(&chosen.incarnation, &OfferScope::default());
        offered.is_ok()
    }

    /// Opens a connection to a worker for later requests, and returns whether the worker takes it. A process that ends may
    /// close its connections before its listening socket, and resets those that wait there.
    async fn reconnect(&self, chosen: &ChosenWorker) -> Sight {
        let sender = match self.upstream.connect(chosen.address).await {
            Ok(sender) => sender,
            Err(error) if error.is_refused => return Sight::Refuses,
            Err(_) => return Sight::Nothing,
        };
        tokio::time::sleep(LISTENER_CLOSE_TIME).await;
        if sender.is_closed() {
            return probe_connection(chosen.address).await;
        }
        if self.may_get_requests(chosen) {
            let now = self.clock.now();
            self.upstream
                .return_idle(&chosen.incarnation, sender, None, now);
        }
        Sight::Takes
    }
}

/// Returns the outcome of an attempt that was answered with a status. Server errors count as failures of the
/// worker, also where the answer is forwarded: otherwise, a worker that fails at once would look idle and
/// attract requests.
fn outcome_by_status(status: StatusCode) -> AttemptOutcome {
    if status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    }
}
