//! Forwarding of streamed answers, which are resumed at another worker if the route allows it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use swiftshunt_http::{BodyChunk, StreamPoint};
use swiftshunt_scheduler::selection::AttemptOutcome;

use crate::answers::{AnswerBody, BodyError};
use crate::attempt::{Dispatcher, OutgoingRequest, SendFailure, SendLimits};
use crate::events::EventFramer;
use crate::pauses::StreamPauses;
use crate::request_context::RequestContext;
use crate::slots::{PlacementOutcome, PlacementQuery};
use crate::worker_answer::Answer;

/// Interval between two checks of a worker whose stream is silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What is read next of a worker's stream.
pub(crate) enum StreamChunk {
    Bytes(BodyChunk),
    /// The regular end of the stream.
    End,
}

/// Waits for the first bytes of a stream's body, or its end.
pub(crate) async fn first_chunk(
    dispatcher: &Dispatcher,
    context: &RequestContext,
    answer: &mut Answer,
) -> Result<StreamChunk, SendFailure> {
    let may_resume = context.route.resumable && context.runs + 1 < context.route.max_attempts;
    let prefill = answer.in_flight.chosen.expected_prefill;
    let silence = may_resume.then(|| context.silence_limit() + prefill);
    let may_continue = context.route.resumable;
    read_chunk(dispatcher, answer, context.deadline, silence, may_continue).await
}

/// Records the failure of a stream as the outcome of the attempt at its worker.
pub(crate) fn record_failure(answer: &mut Answer, failure: &SendFailure) {
    answer.in_flight.set_outcome(match failure {
        SendFailure::Silent => AttemptOutcome::TimedOut,
        SendFailure::OutOfTime => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Broken,
    });
}

/// Waits for the next bytes of a stream, or its end. Fails if the stream breaks off, at `deadline`, and once the stream has
/// ended no event and its worker has been silent for `silence`. `may_continue` tells whether another worker may go on with
/// the stream.
async fn read_chunk(
    dispatcher: &Dispatcher,
    answer: &mut Answer,
    deadline: Duration,
    silence: Option<Duration>,
    may_continue: bool,
) -> Result<StreamChunk, SendFailure> {
    let incarnation = answer.in_flight.chosen.incarnation.clone();
    let started = answer.wait_for_event(dispatcher.clock.now());
    loop {
        let now = dispatcher.clock.now();
        if now >= deadline {
            return Err(SendFailure::OutOfTime);
        }
        let pause = match silence {
            Some(silence) => {
                let stream_silence = now.saturating_sub(started);
                let worker_silence = dispatcher
                    .worker_silence(&incarnation, now)
                    .unwrap_or(stream_silence);
                if stream_silence >= silence && worker_silence >= silence {
                    return Err(SendFailure::Silent);
                }
                silence
                    .saturating_sub(stream_silence)
                    .max(SILENCE_CHECK_INTERVAL)
            }
            None => deadline - now,
        };
        let pause = pause.min(deadline - now);
        let Ok(chunk) = tokio::time::timeout(pause, answer.body.next_chunk()).await else {
            continue;
        };
        match chunk {
            None => {
                answer.check_stream_end(dispatcher, may_continue).await?;
                return Ok(StreamChunk::End);
            }
            Some(Err(error)) => {
                answer.record_number_break(dispatcher);
                return Err(SendFailure::Broken {
                    reason: error.to_string(),
                });
            }
            Some(Ok(chunk)) => {
                answer.record_chunk(&chunk);
                return Ok(StreamChunk::Bytes(chunk));
            }
        }
    }
}

/// A streamed answer that is being forwarded to a caller.
struct Relay {
    dispatcher: Arc<Dispatcher>,
    resume: Option<Resume>,
    answer: Option<Answer>,
    first: Option<StreamChunk>,
    deadline: Duration,
    id: String,
    pauses: StreamPauses,
}

/// The state needed to resume a stream at another worker.
struct Resume {
    outgoing: OutgoingRequest,
    service: String,
    tried: Vec<String>,
    runs_left: u32,
    caller_deadline: Option<Duration>,
    silence: Duration,
    framer: EventFramer,
}

/// Returns a body that forwards a stream whose first bytes have arrived.
pub(crate) fn relay_body(
    dispatcher: Arc<Dispatcher>,
    context: &mut RequestContext,
    answer: Answer,
    first: StreamChunk,
) -> AnswerBody {
    let id = context.outgoing.id.clone().unwrap_or_default();
    let origin = answer.in_flight.chosen.origin();
    let resume = context.route.resumable.then(|| Resume {
        outgoing: context.outgoing.clone().continuing(origin),
        service: context.service.clone(),
        tried: context.tried.clone(),
        runs_left: (context.route.max_attempts).saturating_sub(context.runs + 1),
        caller_deadline: context.caller_deadline(),
        silence: context.silence_limit(),
        framer: EventFramer::new(&dispatcher.answer_buffers),
    });
    let relay = Relay {
        dispatcher,
        resume,
        answer: Some(answer),
        first: Some(first),
        deadline: context.deadline,
        id,
        pauses: StreamPauses::new(context.route.pause_target),
    };
    let frames = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next_bytes().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

impl Relay {
    /// Returns the next bytes for the caller; `None` at the end of the stream. Resumes the stream at another
    /// worker if the current one fails.
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let Some(answer) = &mut self.answer else {
                return Ok(None);
            };
            let may_continue = self.resume.is_some();
            let resumable = self.resume.as_ref().filter(|resume| resume.runs_left > 0);
            let silence = resumable.map(|resume| resume.silence);
            let overflow = self.resume.as_ref().and_then(|it| it.framer.overflow());
            let chunk = match (overflow, self.first.take()) {
                (Some(error), _) => Err(SendFailure::Broken {
                    reason: error.to_string(),
                }),
                (None, Some(first)) => Ok(first),
                (None, None) => {
                    let deadline = self.deadline;
                    read_chunk(&self.dispatcher, answer, deadline, silence, may_continue).await
                }
            };
            match chunk {
                Ok(StreamChunk::Bytes(chunk)) => {
                    let complete = match &mut self.resume {
                        Some(resume) => resume.framer.push(&chunk),
                        None => chunk.bytes,
                    };
                    if !complete.is_empty() {
                        self.pauses.record_chunk(self.dispatcher.clock.now());
                        return Ok(Some(complete));
                    }
                }
                Ok(StreamChunk::End) => {
                    if let Some(answer) = self.answer.take() {
                        self.log_pauses(&answer);
                        answer.finish(&self.dispatcher);
                    }
                    let rest = self
                        .resume
                        .as_mut()
                        .map(|resume| resume.framer.take_remainder());
                    return Ok(rest.filter(|rest| !rest.is_empty()));
                }
                Err(failure) => self.resume_elsewhere(failure).await?,
            }
        }
    }

    /// Logs and counts the stream if one of its pauses exceeded the limit of its route.
    fn log_pauses(&self, answer: &Answer) {
        let Some(longest) = self.pauses.longest_over_limit() else {
            return;
        };
        self.dispatcher.metrics.streams_paused.inc();
        log::info!(request = self.id.as_str(), worker = answer.in_flight.chosen.incarnation.as_str(),
            longest_ms = longest.as_millis() as u64; "a stream paused for longer than its route allows");
    }

    /// Replaces the failed answer by the answer of another worker that continues the stream. Returns an error, which
    /// aborts the caller's stream, if no worker does.
    async fn resume_elsewhere(&mut self, failure: SendFailure) -> Result<(), BodyError> {
        let point =
            (self.answer.as_ref()).map_or(StreamPoint::Beginning, |answer| answer.body.point());
        let began_at = (self.answer.as_ref())
            .map(|answer| answer.in_flight.chosen.software.to_string())
            .unwrap_or_default();
        let mut request_content = None;
        if let Some(mut answer) = self.answer.take() {
            log::info!(request = self.id.as_str(), failure:% = failure, point:? = point,
                worker = answer.in_flight.chosen.incarnation.as_str(),
                fingerprint:% = answer.in_flight.request_content.fingerprint(); "a stream broke off");
            record_failure(&mut answer, &failure);
            request_content = Some(answer.in_flight.request_content.clone());
        }
        let dispatcher = Arc::clone(&self.dispatcher);
        let deadline = self.deadline;
        let continuation = match (&mut self.resume, position_to_resume(point)) {
            (Some(resume), Some(last)) if !matches!(failure, SendFailure::OutOfTime) => {
                resume.framer.discard_partial();
                resume.find_continuation(&dispatcher, last, deadline).await
            }
            _ => None,
        };
        let Some(answer) = continuation else {
            if let Some(request_content) = request_content {
                dispatcher
                    .quarantine
                    .wait_until_reported(&request_content)
                    .await;
            }
            return Err(format!("the stream broke off: {failure:?}").into());
        };
        log::info!(request = self.id.as_str(), point:? = point,
            began_at, software = answer.in_flight.chosen.software.as_str(),
            worker = answer.in_flight.chosen.incarnation.as_str(); "stream resumed at another worker");
        self.answer = Some(answer);
        Ok(())
    }
}

/// Returns the last event that the caller has, `None` inside if it has none. `None` if it has events behind which the stream
/// cannot be resumed.
fn position_to_resume(point: StreamPoint) -> Option<Option<u64>> {
    match point {
        StreamPoint::Beginning => Some(None),
        StreamPoint::Behind(last) => Some(Some(last)),
        StreamPoint::Unnumbered => None,
    }
}

impl Resume {
    /// Sends the request to other workers until one continues behind `last_event`, the last one that the caller has.
    /// Returns `None` if no further attempt is allowed or no worker is available.
    async fn find_continuation(
        &mut self,
        dispatcher: &Dispatcher,
        last_event: Option<u64>,
        deadline: Duration,
    ) -> Option<Answer> {
        loop {
            let now = dispatcher.clock.now();
            if self.runs_left == 0 || now >= deadline {
                return None;
            }
            if let Some(held) = dispatcher
                .quarantine
                .find_hold(&self.outgoing.request_content)
                .await
            {
                log::info!(request = self.outgoing.id.as_deref().unwrap_or(""), ends = held.ends;
                    "request is in quarantine, since workers ended while they ran it; not resuming its stream");
                return None;
            }
            if let Some(configuration) = dispatcher.fleet_state.configuration() {
                self.outgoing.bind_residency(&configuration);
            }
            let query = PlacementQuery {
                request: self.outgoing.id.as_deref().unwrap_or(""),
                service: &self.service,
                demand: &self.outgoing.demand,
                tried: &self.tried,
                may_repeat: true,
                // The caller already reads the stream: any slot is better than a longer interruption.
                max_wait: None,
            };
            let PlacementOutcome::Worker(chosen) = dispatcher.slots.place(query).await else {
                return None;
            };
            self.tried.push(chosen.incarnation.clone());
            let limits = SendLimits {
                deadline,
                caller_deadline: self.caller_deadline,
                // The last allowed attempt has no silence limit, since no other worker could replace it.
                silence: (self.runs_left > 1).then_some(self.silence + chosen.expected_prefill),
            };
            match dispatcher
                .send(&chosen, &self.outgoing, last_event, limits)
                .await
            {
                Ok(answer) if answer.is_signed_success() => {
                    self.runs_left -= 1;
                    return Some(answer);
                }
                Ok(_) => self.runs_left -= 1,
                Err(SendFailure::Held { .. }) => return None,
                Err(failure) if failure.did_not_run() => {}
                Err(_) => self.runs_left -= 1,
            }
        }
    }
}
