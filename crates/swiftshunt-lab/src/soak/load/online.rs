//! Online requests.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use swiftshunt_http::HttpAnswer;

use super::{Load, ending_of_error};
use crate::platform::fleet::{ASK, ONCE, STREAM, STREAM_ONCE};
use crate::platform::worker::event_data;
use crate::soak::history::{Ending, OnlineCall, OnlineKind};
use crate::soak::testbed::{EVENTS, marker};
use crate::stand_in::lock;

/// Times that callers allow, in milliseconds.
const DEADLINE_MS: std::ops::Range<u64> = 1_500..7_000;
/// Share of callers that leave without waiting for their answers, and when, in milliseconds.
const DISCONNECT_SHARE: f64 = 0.08;
const DISCONNECT_DELAY_MS: std::ops::Range<u64> = 5..400;
/// How much longer a caller listens: an answer that comes late is still seen.
const LATE_RESPONSE_GRACE: Duration = Duration::from_secs(3);

impl Load {
    /// One request of a kind that is drawn.
    pub(super) async fn send_random_request(self: &Arc<Self>) {
        let (kind, path) = match rand::rng().random_range(0..10) {
            0..=2 => (OnlineKind::Ask, ASK),
            3..=4 => (OnlineKind::Once, ONCE),
            5..=7 => (OnlineKind::Stream, STREAM),
            _ => (OnlineKind::StreamOnce, STREAM_ONCE),
        };
        self.send_request(kind, path.to_owned()).await;
    }

    /// One request on the route that the newest configuration brought.
    pub(super) async fn send_marker_request(self: &Arc<Self>) {
        let Some(configuration) = self.testbed.latest_configuration() else {
            return;
        };
        let version = configuration.version;
        self.send_request(OnlineKind::Marker { version }, marker(version))
            .await;
    }

    async fn send_request(&self, kind: OnlineKind, path: String) {
        let gateway = self.testbed.pick_gateway();
        let id = format!("r-{:016x}", rand::random::<u64>());
        let deadline = rand::rng().random_range(DEADLINE_MS);
        let timeout = Duration::from_millis(deadline);
        let (generation, sent) = (self.testbed.generation(gateway), self.testbed.now());
        let call = self
            .caller
            .ask(self.testbed.caller_address(gateway), &path, &id, timeout);
        let disconnect_delay = draw_disconnect_delay(kind);
        let wait_limit = disconnect_delay.unwrap_or(timeout + LATE_RESPONSE_GRACE);
        let answer = tokio::time::timeout(wait_limit, call).await;
        let ending = match answer {
            Err(_) if disconnect_delay.is_some() => Ending::Left,
            Err(_) => Ending::Unanswered,
            Ok(Err(error)) => ending_of_error(&error),
            Ok(Ok(answer)) => Ending::Answered {
                status: answer.status.as_u16(),
                whole: answer.body == expected_body(kind, &id) && is_signed(&answer),
            },
        };
        let call = OnlineCall {
            id,
            path,
            kind,
            gateway,
            generation,
            sent,
            ended: self.testbed.now(),
            deadline,
            ending,
        };
        lock(&self.records).online.push(call);
    }
}

/// When a caller leaves without waiting for its answer, if it does.
fn draw_disconnect_delay(kind: OnlineKind) -> Option<Duration> {
    let mut random = rand::rng();
    let disconnects =
        !matches!(kind, OnlineKind::Marker { .. }) && random.random_bool(DISCONNECT_SHARE);
    disconnects.then(|| Duration::from_millis(random.random_range(DISCONNECT_DELAY_MS)))
}

fn is_signed(answer: &HttpAnswer) -> bool {
    let signature = swiftshunt_platform::words::headers::SIGNATURE;
    answer.headers.contains_key(signature)
}

/// The worker's whole answer.
fn expected_body(kind: OnlineKind, id: &str) -> String {
    match kind {
        OnlineKind::Ask | OnlineKind::Once | OnlineKind::Marker { .. } => {
            format!("answer to {id}")
        }
        OnlineKind::Stream | OnlineKind::StreamOnce => {
            let events = 0..EVENTS;
            let event = |event| format!("id: {event}\ndata: {}\n\n", event_data(id, event));
            events.map(event).collect()
        }
    }
}
