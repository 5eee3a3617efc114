//! Callers that close the connection of a stream and take the stream up at another gateway.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use swiftshunt_http::HttpError;

use super::{Load, outcome_of_error};
use crate::platform::caller::{StreamPart, TakeUp};
use crate::platform::fleet::STREAM;
use crate::soak::history::{OnlineCall, OnlineKind, Outcome, ReceivedEvent, TakenUpStream};
use crate::soak::testbed::EVENTS;
use crate::stand_in::lock;

/// Most attempts of a caller for one stream.
const MAX_ATTEMPTS: usize = 6;
/// Pause before an attempt after a refusal or an attempt without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Longest time that a caller waits for the end of an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(9);
/// Deadline that the requests state, in milliseconds.
const DEADLINE_MS: u64 = 20_000;

impl Load {
    /// Requests a stream, and takes it up again and again until it is complete.
    pub(super) async fn send_taken_up_stream(self: &Arc<Self>) {
        let id = format!("t-{:016x}", rand::random::<u64>());
        let mut stream = TakenUpStream {
            id: id.clone(),
            ended: 0,
            events: Vec::new(),
            is_complete: false,
        };
        for number in 0..MAX_ATTEMPTS {
            let attempt = match number {
                0 => id.clone(),
                _ => format!("{id}-{number}"),
            };
            let events_left = EVENTS.saturating_sub(stream.events.len() as u64);
            let is_cut_short = number < 2 && events_left > 1;
            let max_events = match is_cut_short {
                true => rand::rng().random_range(1..events_left) as usize,
                false => usize::MAX,
            };
            let part = self.read_part(&attempt, &stream, max_events).await;
            let Some(part) = part.filter(|part| part.status.is_success()) else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            let received = part.events.into_iter();
            stream
                .events
                .extend(received.map(|(number, data)| ReceivedEvent {
                    attempt: attempt.clone(),
                    number,
                    data,
                }));
            if part.is_complete {
                stream.is_complete = true;
                break;
            }
        }
        stream.ended = self.testbed.now();
        lock(&self.records).taken_up.push(stream);
    }

    /// Makes an attempt that goes on behind the events so far, and records it as an online request. Returns `None` if it
    /// brought no head of a response.
    async fn read_part(
        &self,
        attempt: &str,
        stream: &TakenUpStream,
        max_events: usize,
    ) -> Option<StreamPart> {
        let take_up = stream.events.last().map(|last| TakeUp {
            first_attempt: stream.id.clone(),
            last_event: last.number,
        });
        let gateway = self.testbed.pick_gateway();
        let (generation, sent) = (self.testbed.generation(gateway), self.testbed.now());
        let address = self.testbed.caller_address(gateway);
        let read =
            (self.caller).read_stream(address, STREAM, attempt, take_up.as_ref(), max_events);
        let read = tokio::time::timeout(ATTEMPT_TIMEOUT, read).await.ok();
        lock(&self.records).online.push(OnlineCall {
            id: attempt.to_owned(),
            path: STREAM.to_owned(),
            kind: OnlineKind::Stream,
            gateway,
            generation,
            sent,
            ended: self.testbed.now(),
            deadline: DEADLINE_MS,
            outcome: outcome_of(read.as_ref(), max_events),
        });
        read?.ok()
    }
}

fn outcome_of(read: Option<&Result<StreamPart, HttpError>>, max_events: usize) -> Outcome {
    match read {
        // The attempt's connection is closed when its time is over.
        None => Outcome::Left,
        Some(Err(error)) => outcome_of_error(error),
        Some(Ok(part)) if part.is_complete || !part.status.is_success() => Outcome::Answered {
            status: part.status.as_u16(),
            // The events are checked together with those of the other attempts.
            whole: true,
        },
        Some(Ok(part)) if part.events.len() >= max_events => Outcome::Left,
        Some(Ok(_)) => Outcome::Broken,
    }
}
