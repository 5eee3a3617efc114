//! A worker's answer: whether it is complete, and what follows from its end.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::http::response;
use swiftshunt_http::{BodyChunk, EventStreamBody, Framing, StreamBreak, StreamEnd};
use swiftshunt_scheduler::eligibility::OfferScope;
use swiftshunt_scheduler::selection::{AttemptOutcome, ChosenWorker};

use crate::answer_buffer::AnswerBuffers;
use crate::attempt::{Dispatcher, SendFailure};
use crate::in_flight::InFlight;
use crate::protocol::AnswerFacts;
use crate::upstream::Sender;

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

    /// Checks, after the body of a stream has ended without an error, that the stream did not break off. Logs and counts
    /// its end.
    pub(crate) async fn check_stream_end(
        &mut self,
        dispatcher: &Dispatcher,
    ) -> Result<(), SendFailure> {
        let end = match self.body.end() {
            StreamEnd::Unconfirmed => dispatcher.confirm_end(&self.in_flight.chosen).await,
            end => end,
        };
        self.is_confirmed = end == StreamEnd::Complete;
        let framing = self.body.framing();
        dispatcher.metrics.record_stream_end(framing, end);
        if end != StreamEnd::Complete {
            let request = self.facts.request_id.as_deref().unwrap_or("");
            log::info!(request, worker = self.in_flight.chosen.incarnation.as_str(), end:? = end,
                framing:% = framing, events = self.body.events(), bytes = self.body.received(),
                waited_ms = self.in_flight.time_at_worker().as_millis() as u64;
                "the body of a worker's stream ended, which does not show that the stream is complete");
        }
        match end {
            StreamEnd::Complete | StreamEnd::Unconfirmed => Ok(()),
            StreamEnd::BrokenOff(shown_by) => Err(SendFailure::Broken {
                reason: format!("the stream is not complete: {shown_by}"),
            }),
        }
    }

    /// Reads the whole body.
    pub(crate) async fn read_body(&mut self, buffers: &AnswerBuffers) -> Result<Bytes, String> {
        let mut whole = buffers.open();
        while let Some(frame) = self.body.as_incoming().frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.in_flight.record_progress();
            self.in_flight.record_received(data.len());
            whole.append(&data).map_err(|error| error.to_string())?;
        }
        Ok(whole.finish())
    }
}

impl Dispatcher {
    /// Returns how a stream ended that ended with its connection, behind an event. The connection is replaced, which the
    /// next request to the worker needs anyway, and a worker that refuses has ended together with the stream. One that
    /// is to get no requests may be leaving as planned, right behind its last answer.
    async fn confirm_end(&self, chosen: &ChosenWorker) -> StreamEnd {
        let scope = OfferScope::default();
        let offered = self
            .fleet_state
            .selector()
            .may_offer(&chosen.incarnation, &scope);
        if offered.is_err() {
            return StreamEnd::Unconfirmed;
        }
        match self.upstream.connect(chosen.address).await {
            Ok(sender) => {
                let now = self.clock.now();
                self.upstream
                    .return_idle(&chosen.incarnation, sender, None, now);
                StreamEnd::Complete
            }
            Err(error) if error.is_refused => StreamEnd::BrokenOff(StreamBreak::SenderEnded),
            Err(_) => StreamEnd::Unconfirmed,
        }
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
