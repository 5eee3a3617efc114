//! A stand-in for a worker in the platform's protocol, with its faults and a record of what ran.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use swiftshunt_platform::words::headers;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use super::server::{Body, BrokenOff, any_port, full_body, serve};
use crate::stand_in::lock;

/// What a worker does with the next requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerBehaviour {
    /// Serves them.
    #[default]
    #[serde(rename = "sound")]
    Normal,
    /// Runs them and does not answer.
    #[serde(rename = "dark")]
    Hang,
    /// Runs them, and does not answer every second one.
    #[serde(rename = "hang_sometimes")]
    HangEverySecond,
    /// Runs them and is silent for this long first.
    #[serde(rename = "late")]
    DelayAnswer(Duration),
    /// Runs them and closes the connection.
    #[serde(rename = "lose_answer")]
    CloseWithoutAnswer,
    /// Breaks streams off after this many events.
    #[serde(rename = "break_after")]
    TruncateStreamAfter(u64),
    /// Does not run them and says so.
    Decline,
    /// Runs them and answers for another request.
    #[serde(rename = "answer_another")]
    AnswerOtherRequestId,
    /// Runs them and does not sign.
    Unsigned,
    /// Runs them and fails.
    Fail,
    /// Says that they can never be done.
    #[serde(rename = "never")]
    RejectPermanently,
    /// Runs them and answers 503 without the word that they did not run.
    #[serde(rename = "false_refusal")]
    RunAndAnswer503,
    /// Runs them and signs another answer as theirs: no gateway can tell. Shows that a test would.
    WrongBody,
    /// Tells of each run twice. Shows that a test counts runs.
    #[serde(rename = "tell_twice")]
    ReportRunTwice,
    /// Runs them and says that it did not. Shows that a test looks at runs.
    #[serde(rename = "lying_refusal")]
    ReportRunAndDecline,
}

/// What it serves.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Its incarnation.
    pub incarnation: String,
    /// Requests at once.
    pub slots: usize,
    /// Events of a stream; none for whole answers.
    pub events: Option<u64>,
    /// Time before a whole answer, and between events.
    pub answer_delay: Duration,
    /// The body of a request that ends it a pause after it began to run.
    pub crash_on_body: Option<String>,
    /// When it started, in milliseconds of Unix time, if it tells.
    pub started_unix_ms: Option<u64>,
    /// The zone in which it stands.
    pub zone: String,
}

/// Where a test sets a worker's manner (a body of [`Manner`]).
pub const CONTROL_BEHAVIOUR_PATH: &str = "/stand-in/manner";

/// What is told about a run as it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEvent {
    /// The request came; it may wait for a slot.
    Arrived,
    /// It got a slot.
    Began,
    /// It left its slot.
    Ended,
}

/// Takes what happens to runs, at once and in order.
pub type RunWatcher = Arc<dyn Fn(RunEvent, &Run) + Send + Sync>;

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub id: String,
    /// Its path.
    pub path: String,
    /// The last event that the sender had.
    pub last_event: Option<u64>,
    /// Milliseconds that the worker was told.
    pub deadline_ms: Option<u64>,
    /// The tenants that were named to it, one for each header.
    pub tenants: Vec<String>,
    /// Whether it was shown a caller's credentials.
    pub has_credentials: bool,
    /// Whether it came to its end.
    pub completed: bool,
}

struct Shared {
    settings: WorkerSettings,
    watcher: RunWatcher,
    behaviour: Mutex<WorkerBehaviour>,
    runs: Mutex<Vec<Run>>,
    slots: Arc<Semaphore>,
    stop: CancellationToken,
}

impl Shared {
    fn running(&self) -> usize {
        self.settings.slots - self.slots.available_permits()
    }
}

/// A slot, held until this is dropped.
struct HeldSlot {
    _permit: OwnedSemaphorePermit,
    shared: Arc<Shared>,
    run: Run,
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        (self.shared.watcher)(RunEvent::Ended, &self.run);
    }
}

/// The stand-in.
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Worker {
    /// Starts a worker.
    pub async fn start(settings: WorkerSettings) -> std::io::Result<Self> {
        Self::start_watched(any_port(), settings, Arc::new(|_, _| {})).await
    }

    /// Starts a worker at an address, and tells `watcher` what happens to its runs.
    pub async fn start_watched(
        listen: SocketAddr,
        settings: WorkerSettings,
        watcher: RunWatcher,
    ) -> std::io::Result<Self> {
        let stop = CancellationToken::new();
        let shared = Arc::new(Shared {
            slots: Arc::new(Semaphore::new(settings.slots)),
            settings,
            watcher,
            behaviour: Mutex::default(),
            runs: Mutex::default(),
            stop: stop.clone(),
        });
        let server_shared = Arc::clone(&shared);
        let address = serve(listen, stop.clone(), move |request| {
            handle_request(Arc::clone(&server_shared), request)
        })
        .await?;
        Ok(Self {
            address,
            shared,
            stop,
        })
    }

    /// Its incarnation.
    pub fn incarnation(&self) -> &str {
        &self.shared.settings.incarnation
    }

    /// What it tells of its start.
    pub fn started_unix_ms(&self) -> Option<u64> {
        self.shared.settings.started_unix_ms
    }

    /// What it was started with.
    pub fn settings(&self) -> &WorkerSettings {
        &self.shared.settings
    }

    /// Changes its manner.
    pub fn set_behaviour(&self, behaviour: WorkerBehaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// What ran so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Whether it has ended, and nothing runs on it any more.
    pub fn has_crashed(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// Requests that hold a slot now.
    pub fn running(&self) -> usize {
        self.shared.running()
    }

    /// Ends at once, with everything that runs.
    pub fn crash(&self) {
        self.stop.cancel();
    }
}

fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

fn header_values(headers: &HeaderMap, name: &str) -> Vec<String> {
    let values = headers.get_all(name).iter();
    let values = values.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
    values.collect()
}

fn answer_with(status: StatusCode, headers: &[(&'static str, &str)], body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            answer
                .headers_mut()
                .insert(HeaderName::from_static(name), value);
        }
    }
    answer
}

fn declined_answer(status: StatusCode, id: &str) -> Response<Body> {
    let answer_headers = [(headers::REQUEST_ID, id), (headers::DECLINED, "1")];
    answer_with(status, &answer_headers, full_body(Bytes::new()))
}

/// Obeys a test.
async fn handle_control_call(
    shared: &Shared,
    request: Request<Incoming>,
) -> Result<Response<Body>, BrokenOff> {
    let body = request.into_body().collect().await;
    let behaviour = serde_json::from_slice(&body.map_err(|_| BrokenOff)?.to_bytes());
    let status = match behaviour {
        Ok(behaviour) => {
            *lock(&shared.behaviour) = behaviour;
            StatusCode::OK
        }
        Err(_) => StatusCode::BAD_REQUEST,
    };
    Ok(answer_with(status, &[], full_body(Bytes::new())))
}

async fn handle_request(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, BrokenOff> {
    if request.uri().path() == CONTROL_BEHAVIOUR_PATH {
        return handle_control_call(&shared, request).await;
    }
    let id = header_text(request.headers(), headers::REQUEST_ID).unwrap_or("");
    let id = id.to_owned();
    let behaviour = *lock(&shared.behaviour);
    let expected = header_text(request.headers(), headers::INCARNATION);
    if expected.is_some_and(|expected| expected != shared.settings.incarnation) {
        return Ok(answer_with(
            StatusCode::MISDIRECTED_REQUEST,
            &[(headers::REQUEST_ID, &id)],
            full_body(Bytes::new()),
        ));
    }
    if behaviour == WorkerBehaviour::Decline {
        return Ok(declined_answer(StatusCode::SERVICE_UNAVAILABLE, &id));
    }
    let last_event = header_text(request.headers(), headers::LAST_EVENT);
    let last_event = last_event.and_then(|last| last.parse().ok());
    let deadline = header_text(request.headers(), headers::DEADLINE);
    let run = Run {
        id: id.clone(),
        path: request.uri().path().to_owned(),
        last_event,
        deadline_ms: deadline.and_then(|deadline| deadline.parse().ok()),
        tenants: header_values(request.headers(), headers::TENANT),
        has_credentials: request.headers().contains_key(AUTHORIZATION),
        completed: false,
    };
    // A slot is held for as long as the answer is made; the semaphore is never closed.
    (shared.watcher)(RunEvent::Arrived, &run);
    match behaviour {
        WorkerBehaviour::ReportRunTwice => (shared.watcher)(RunEvent::Arrived, &run),
        WorkerBehaviour::ReportRunAndDecline => {
            return Ok(declined_answer(StatusCode::SERVICE_UNAVAILABLE, &id));
        }
        _ => {}
    }
    let slots = Arc::clone(&shared.slots);
    let permit = slots.acquire_owned().await.map_err(|_| BrokenOff)?;
    (shared.watcher)(RunEvent::Began, &run);
    let slot = HeldSlot {
        _permit: permit,
        shared: Arc::clone(&shared),
        run: run.clone(),
    };
    let index = {
        let mut runs = lock(&shared.runs);
        runs.push(run);
        runs.len() - 1
    };
    if let Some(body) = &shared.settings.crash_on_body
        && has_body(request, body).await
    {
        tokio::time::sleep(shared.settings.answer_delay).await;
        shared.stop.cancel();
        return Err(BrokenOff);
    }
    match behaviour {
        WorkerBehaviour::Hang => return std::future::pending().await,
        WorkerBehaviour::HangEverySecond if index % 2 == 0 => {
            drop(slot);
            return std::future::pending().await;
        }
        WorkerBehaviour::DelayAnswer(pause) => tokio::time::sleep(pause).await,
        WorkerBehaviour::CloseWithoutAnswer => return Err(BrokenOff),
        WorkerBehaviour::Fail => {
            return Ok(signed_answer(
                &shared,
                StatusCode::INTERNAL_SERVER_ERROR,
                &id,
            ));
        }
        WorkerBehaviour::RejectPermanently => {
            return Ok(signed_answer(
                &shared,
                StatusCode::UNPROCESSABLE_ENTITY,
                &id,
            ));
        }
        WorkerBehaviour::RunAndAnswer503 => {
            return Ok(signed_answer(&shared, StatusCode::SERVICE_UNAVAILABLE, &id));
        }
        WorkerBehaviour::AnswerOtherRequestId => {
            return Ok(signed_answer(&shared, StatusCode::OK, "another"));
        }
        _ => {}
    }
    let signature = format!("signed-by-{}", shared.settings.incarnation);
    let mut answer_headers = vec![(headers::REQUEST_ID, id.as_str())];
    if behaviour != WorkerBehaviour::Unsigned {
        answer_headers.push((headers::SIGNATURE, signature.as_str()));
    }
    let load = format!("{},0,{}", shared.running(), shared.settings.slots);
    answer_headers.push((headers::LOAD, load.as_str()));
    let Some(events) = shared.settings.events else {
        tokio::time::sleep(shared.settings.answer_delay).await;
        lock(&shared.runs)[index].completed = true;
        let body = match behaviour {
            WorkerBehaviour::WrongBody => full_body("answer to another"),
            _ => full_body(format!("answer to {id}")),
        };
        return Ok(answer_with(StatusCode::OK, &answer_headers, body));
    };
    let body = event_stream_body(&shared, slot, index, &id, events, last_event, behaviour);
    let mut answer = answer_with(StatusCode::OK, &answer_headers, body);
    let content_type = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    Ok(answer)
}

/// Whether a request's body is `expected`.
async fn has_body(request: Request<Incoming>, expected: &str) -> bool {
    let body = request.into_body().collect().await;
    body.is_ok_and(|body| body.to_bytes() == expected)
}

fn signed_answer(shared: &Shared, status: StatusCode, id: &str) -> Response<Body> {
    let signature = format!("signed-by-{}", shared.settings.incarnation);
    let answer_headers = [
        (headers::REQUEST_ID, id),
        (headers::SIGNATURE, signature.as_str()),
    ];
    answer_with(status, &answer_headers, full_body("the worker's own words"))
}

/// Data of an event: the same at every worker.
pub fn event_data(id: &str, event: u64) -> String {
    format!("{id}-piece-{event}")
}

fn event_stream_body(
    shared: &Arc<Shared>,
    slot: HeldSlot,
    index: usize,
    id: &str,
    events: u64,
    last_event: Option<u64>,
    behaviour: WorkerBehaviour,
) -> Body {
    let first = last_event.map_or(0, |last| last + 1);
    let shared = Arc::clone(shared);
    let id = id.to_owned();
    // The slot is free when the last event was sent, or when the sender closes the connection.
    let slot = Arc::new(slot);
    let frames = futures_util::stream::iter(first..=events).then(move |event| {
        let shared = Arc::clone(&shared);
        let id = id.clone();
        let slot = Arc::clone(&slot);
        async move {
            let _held_slot = slot;
            if let WorkerBehaviour::TruncateStreamAfter(limit) = behaviour
                && event >= first + limit
            {
                // What was sent before gets out first.
                tokio::time::sleep(shared.settings.answer_delay).await;
                return Err(BrokenOff);
            }
            if event == events {
                lock(&shared.runs)[index].completed = true;
                return Ok(Frame::data(Bytes::new()));
            }
            tokio::time::sleep(shared.settings.answer_delay).await;
            let text = format!("id: {event}\ndata: {}\n\n", event_data(&id, event));
            Ok(Frame::data(Bytes::from(text)))
        }
    });
    StreamBody::new(frames)
        .map_err(|error: BrokenOff| error)
        .boxed_unsync()
}
