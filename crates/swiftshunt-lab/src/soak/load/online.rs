//! Callers of online requests.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use swiftshunt_http::HttpAnswer;

use super::{Load, outcome_of_error};
use crate::platform::fleet::{ASK, ONCE, STREAM, STREAM_ONCE};
use crate::platform::worker::event_data;
use crate::soak::history::{OnlineCall, OnlineKind, Outcome};
use crate::soak::testbed::{EVENTS, marker};
use crate::stand_in::lock;

/// Time allowed by a caller for its request, in milliseconds.
const DEADLINE_MS: std::ops::Range<u64> = 1_500..7_000;
/// Share of callers that close the connection early.
const DISCONNECT_SHARE: f64 = 0.08;
/// Time after which a caller that does not wait for its response closes the connection, in milliseconds.
const DISCONNECT_DELAY_MS: std::ops::Range<u64> = 5..400;
/// Time for which a caller waits beyond the deadline, so that late responses are recorded as well.
const LATE_RESPONSE_GRACE: Duration = Duration::from_secs(3);

impl Load {
    /// Sends one request of a random kind.
    pub(super) async fn send_random_request(self: &Arc<Self>) {
        let (kind, path) = match rand::rng().random_range(0..10) {
            0..=2 => (OnlineKind::Ask, ASK),
            3..=4 => (OnlineKind::Once, ONCE),
            5..=7 => (OnlineKind::Stream, STREAM),
            _ => (OnlineKind::StreamOnce, STREAM_ONCE),
        };
        self.send_request(kind, path.to_owned()).await;
    }

    /// Sends one request on the marker route of the latest acknowledged configuration.
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
        let outcome = match answer {
            Err(_) if disconnect_delay.is_some() => Outcome::Left,
            Err(_) => Outcome::Unanswered,
            Ok(Err(error)) => outcome_of_error(&error),
            Ok(Ok(answer)) => Outcome::Answered {
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
            outcome,
        };
        lock(&self.records).online.push(call);
    }
}

/// Draws the time after which a caller closes the connection early; `None` if it waits for the response. Callers of
/// marker routes always wait.
fn draw_disconnect_delay(kind: OnlineKind) -> Option<Duration> {
    let mut random = rand::rng();
    let will_disconnect =
        !matches!(kind, OnlineKind::Marker { .. }) && random.random_bool(DISCONNECT_SHARE);
    will_disconnect.then(|| Duration::from_millis(random.random_range(DISCONNECT_DELAY_MS)))
}

fn is_signed(answer: &HttpAnswer) -> bool {
    let signature = swiftshunt_platform::words::headers::SIGNATURE;
    answer.headers.contains_key(signature)
}

/// Returns the complete body that a worker sends for a request.
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
