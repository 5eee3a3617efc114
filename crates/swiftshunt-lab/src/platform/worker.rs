//! A stand-in for a worker that speaks the platform's protocol, with injected faults and a record of its runs.

mod streams;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use swiftshunt_platform::words::headers;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::server::{Body, BrokenOff, ServerStop, any_port, full_body, serve};
use crate::stand_in::lock;
pub use streams::{
    CutPlace, NumberFault, StreamCut, StreamFraming, event_data, versioned_event_data, versions_in,
};
use streams::{StreamRun, stream_answer};

/// How a worker processes the requests that it receives from then on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerBehaviour {
    /// Runs them and responds.
    #[default]
    #[serde(rename = "sound")]
    Normal,
    /// Runs them and never responds. Each keeps its slot until the sender closes the connection.
    #[serde(rename = "dark")]
    Hang,
    /// Runs them and never responds to every second one, beginning with the worker's first run. These release
    /// their slots.
    #[serde(rename = "hang_sometimes")]
    HangEverySecond,
    /// Runs them and delays the response by this time, in addition to [`WorkerSettings::answer_delay`].
    #[serde(rename = "late")]
    DelayAnswer(Duration),
    /// Runs them and closes the connection without a response.
    #[serde(rename = "lose_answer")]
    CloseWithoutAnswer,
    /// Runs them and closes the connection of a stream after this many events, not counting those before the
    /// event at which it was resumed. Other responses are not affected.
    #[serde(rename = "break_after")]
    TruncateStreamAfter(u64),
    /// Runs them and ends the bodies of streams inside an event, while their framing is complete. Other responses are
    /// not affected.
    #[serde(rename = "end_inside_event")]
    EndStreamInsideEvent(StreamCut),
    /// Runs them and numbers the events of streams wrongly. Other responses are not affected.
    MisnumberEvents(NumberFault),
    /// Runs them and sends streams with neither a length nor chunks. Other responses are not affected.
    #[serde(rename = "unframed")]
    UnframedStreams,
    /// Does not run them, and responds with 503 and the header which states that.
    Decline,
    /// Runs them and sends a signed response with status 200 and the identifier of another request.
    #[serde(rename = "answer_another")]
    AnswerOtherRequestId,
    /// Runs them and leaves the signature out of the response.
    Unsigned,
    /// Runs them and responds with 500.
    Fail,
    /// Runs them and responds with 422, which states that no worker can run them successfully.
    #[serde(rename = "never")]
    RejectPermanently,
    /// Runs them and responds with 503, without the header which states that they did not run.
    #[serde(rename = "false_refusal")]
    RunAndAnswer503,
    /// Runs them and responds with a signed body of another request, which no gateway can detect. Used to
    /// verify that a test detects it. Streams are not affected.
    WrongBody,
    /// Runs them, responds, and reports the arrival of each request twice. Used to verify that a test counts
    /// runs.
    #[serde(rename = "tell_twice")]
    ReportRunTwice,
    /// Reports their arrival as if they ran, and states in the response that they did not run. Used to verify
    /// that a test checks the reported runs.
    #[serde(rename = "lying_refusal")]
    ReportRunAndDecline,
}

/// Settings of a worker stand-in.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The incarnation. Requests that expect another one get 421.
    pub incarnation: String,
    /// Number of requests that run at the same time; more wait.
    pub slots: usize,
    /// Number of events in a stream; `None` if responses are not streamed.
    pub events: Option<u64>,
    /// Delay before a response that is not streamed, and before each event of a stream.
    pub answer_delay: Duration,
    /// Delay before each event of a batch item; `None` for that of streams.
    pub item_event_delay: Option<Duration>,
    /// A request body that crashes the worker: it stops `answer_delay` after such a request began to run, cancelled or
    /// not, or inside the second event of a stream with neither a length nor chunks. Items of batch jobs never crash it.
    pub crash_on_body: Option<String>,
    /// A part of prompts, except the last, that crashes the worker: it stops inside the second event of a stream whose
    /// request names the part. Items of batch jobs never crash it.
    pub crash_on_prompt_part: Option<u64>,
    /// Start time in milliseconds since the Unix epoch, if the worker reports one in the directory.
    pub started_unix_ms: Option<u64>,
    /// Name of the worker's zone.
    pub zone: String,
    /// Version of the worker's software, which its stream events name; `None` if they name none.
    pub software: Option<String>,
}

/// Path at which a test sets the behaviour; the body is a [`WorkerBehaviour`] in JSON.
pub const CONTROL_BEHAVIOUR_PATH: &str = "/stand-in/manner";

/// Events of a request at a worker, in the order in which they are reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEvent {
    /// The worker received the request, which may have to wait for a slot.
    Arrived,
    /// The request got a slot and runs.
    Began,
    /// The request released its slot, completed or not.
    Ended,
}

/// Callback for events of runs, called synchronously as they happen.
pub type RunWatcher = Arc<dyn Fn(RunEvent, &Run) + Send + Sync>;

/// A run of a request at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Identifier of the request; empty if it has none.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Number of the last event that the sender already has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Value of the deadline header, in milliseconds; `None` if it is absent or not a number.
    pub deadline_ms: Option<u64>,
    /// Values of all tenant headers.
    pub tenants: Vec<String>,
    /// Whether the request had an authorization header; gateways with tenants must not forward it.
    pub has_credentials: bool,
    /// Whether the run produced its whole result. False if the worker closed the connection or sent a substitute
    /// response, such as a failure status. Says nothing about whether the sender received the result.
    pub completed: bool,
}

struct Shared {
    settings: WorkerSettings,
    watcher: RunWatcher,
    behaviour: Mutex<WorkerBehaviour>,
    runs: Mutex<Vec<Run>>,
    slots: Arc<Semaphore>,
    stop: ServerStop,
}

impl Shared {
    fn running(&self) -> usize {
        self.settings.slots - self.slots.available_permits()
    }

    /// Stops the worker after a delay, also if the request that crashes it is cancelled meanwhile.
    fn crash_after(&self, delay: Duration) {
        let stop = self.stop.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            stop.cancel();
        });
    }
}

/// An occupied slot. Dropping it releases the slot and reports the end of the run.
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

/// The worker stand-in. Dropping it stops it.
pub struct Worker {
    /// The bound address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: ServerStop,
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Worker {
    /// Starts a worker at a free port of the loopback address.
    pub async fn start(settings: WorkerSettings) -> std::io::Result<Self> {
        Self::start_watched(any_port(), settings, Arc::new(|_, _| {})).await
    }

    /// Starts a worker at an address; `watcher` is called for each event of its runs. Fails if the address cannot
    /// be bound.
    pub async fn start_watched(
        listen: SocketAddr,
        settings: WorkerSettings,
        watcher: RunWatcher,
    ) -> std::io::Result<Self> {
        let stop = ServerStop::default();
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

    /// Returns the worker's incarnation.
    pub fn incarnation(&self) -> &str {
        &self.shared.settings.incarnation
    }

    /// Returns the start time that the worker reports in the directory, in milliseconds since the Unix epoch.
    pub fn started_unix_ms(&self) -> Option<u64> {
        self.shared.settings.started_unix_ms
    }

    /// Returns the settings with which the worker was started.
    pub fn settings(&self) -> &WorkerSettings {
        &self.shared.settings
    }

    /// Sets the behaviour for requests received from now on; those that run keep theirs.
    pub fn set_behaviour(&self, behaviour: WorkerBehaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Returns the behaviour that was set last.
    pub fn behaviour(&self) -> WorkerBehaviour {
        *lock(&self.shared.behaviour)
    }

    /// Returns the runs so far, in the order in which they began.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Whether the worker has stopped, by [`Worker::crash`] or by a request body that crashes it.
    pub fn has_crashed(&self) -> bool {
        self.stop.connections.is_cancelled()
    }

    /// Returns the number of occupied slots.
    pub fn running(&self) -> usize {
        self.shared.running()
    }

    /// Stops the worker at once: all its connections and runs end.
    pub fn crash(&self) {
        self.stop.cancel();
    }

    /// Ends all connections and runs of the worker at once, and closes its listening socket after a delay, as a process
    /// may that takes long to exit.
    pub fn crash_with_listener_delay(&self, delay: Duration) {
        self.stop.connections.cancel();
        let listener = self.stop.listener.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            listener.cancel();
        });
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

/// Sets the behaviour to that in the request's body. Responds with 400 if the body cannot be parsed.
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
    (shared.watcher)(RunEvent::Arrived, &run);
    match behaviour {
        WorkerBehaviour::ReportRunTwice => (shared.watcher)(RunEvent::Arrived, &run),
        WorkerBehaviour::ReportRunAndDecline => {
            return Ok(declined_answer(StatusCode::SERVICE_UNAVAILABLE, &id));
        }
        _ => {}
    }
    // The slot is occupied until the response is returned or, for a stream, until its body ends. Acquiring it
    // cannot fail, since the semaphore is never closed.
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
    // Of all requests only items of batch jobs have no deadline.
    let is_item = deadline.is_none();
    let has_part = |part| shares_prompt_part(request.headers(), part);
    let crashes_on_part = !is_item && shared.settings.crash_on_prompt_part.is_some_and(has_part);
    let crashes = match &shared.settings.crash_on_body {
        Some(body) if !is_item => has_body(request, body).await,
        _ => false,
    };
    let crashes_in_stream = crashes && behaviour == WorkerBehaviour::UnframedStreams;
    if crashes && !crashes_in_stream {
        shared.crash_after(shared.settings.answer_delay);
        return std::future::pending().await;
    }
    match behaviour {
        WorkerBehaviour::Hang => return std::future::pending().await,
        WorkerBehaviour::HangEverySecond if index % 2 == 0 => {
            drop(slot);
            return std::future::pending().await;
        }
        WorkerBehaviour::DelayAnswer(delay) => tokio::time::sleep(delay).await,
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
    let answer = answer_with(StatusCode::OK, &answer_headers, full_body(Bytes::new()));
    let item_event_delay = shared.settings.item_event_delay.filter(|_| is_item);
    let stream = StreamRun {
        event_delay: item_event_delay.unwrap_or(shared.settings.answer_delay),
        id: id.clone(),
        index,
        last_event,
        events,
        behaviour,
        crashes: crashes_in_stream || crashes_on_part,
    };
    Ok(stream_answer(&shared, slot, stream, answer).await)
}

/// Whether the request's prompt has this part before its last one.
fn shares_prompt_part(request_headers: &HeaderMap, part: u64) -> bool {
    let prompt = header_text(request_headers, headers::PROMPT).unwrap_or("");
    let shared_parts = prompt.rsplit(',').skip(1);
    let mut parts = shared_parts.filter_map(|part| part.split_once(':'));
    parts.any(|(id, _)| u64::from_str_radix(id, 16).is_ok_and(|id| id == part))
}

/// Whether the request's body equals `expected`.
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
