//! HTTP interface of the engine stand-in.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::json;
use swiftshunt_backends::engine::{
    CANCEL_PATH, EngineLoad, Fence, GENERATE_PATH, GenerateRequest, LOAD_PATH, LoadOrder,
    ORDERS_PATH, OTHER_SOFTWARE_STATUS, TokenEvent,
};
use swiftshunt_http::{BindError, Call, HttpClient, ObserveFailure, Reply, Router, endpoint};
use swiftshunt_types::{ErrorKind, Failure, ModelName, RequestId};
use tokio::sync::{Notify, mpsc};
use tokio_stream::wrappers::ReceiverStream;

use super::batcher::{AcceptedRequest, Batcher};
use super::settings::EngineSettings;
use crate::stand_in::{RunningStandIn, lock};

/// Largest accepted request body, in bytes.
const BODY_LIMIT: usize = 4 << 20;
/// Number of events buffered for the reader of one request.
const EVENT_BUFFER_LENGTH: usize = 64;
/// Time-out of fetching the weights of a model.
const FETCH_TIMEOUT: Duration = Duration::from_secs(300);
/// Number of past loads kept for lagging reports.
const LOAD_HISTORY_LIMIT: usize = 4096;

/// State of an engine: its requests, loads, loaded models and highest fence.
pub struct EngineState {
    settings: EngineSettings,
    batcher: Mutex<Batcher>,
    loads: Mutex<VecDeque<(Instant, EngineLoad)>>,
    models: Mutex<BTreeSet<ModelName>>,
    highest_fence: Mutex<Fence>,
    leaving: Mutex<bool>,
    work: Notify,
}

impl ObserveFailure for EngineState {
    fn observe_failure(&self, _failure: &Failure) {}
}

/// Starts an engine in tasks of this process.
pub async fn start(
    listen: SocketAddr,
    settings: EngineSettings,
) -> Result<(RunningStandIn, Arc<EngineState>), BindError> {
    let state = Arc::new(EngineState {
        batcher: Mutex::new(Batcher::new(settings.clone())),
        loads: Mutex::new(VecDeque::new()),
        models: Mutex::new(settings.models.iter().cloned().collect()),
        highest_fence: Mutex::new(Fence::default()),
        leaving: Mutex::new(false),
        work: Notify::new(),
        settings,
    });
    let router = Router::new()
        .push(Router::with_path(GENERATE_PATH).post(endpoint(&state, generate)))
        .push(Router::with_path(format!("{CANCEL_PATH}/{{id}}")).post(endpoint(&state, cancel)))
        .push(Router::with_path(LOAD_PATH).get(endpoint(&state, load)))
        .push(Router::with_path(ORDERS_PATH).post(endpoint(&state, order)))
        .push(Router::with_path("control/leave").post(endpoint(&state, leave)))
        .push(Router::with_path("control/tokens").get(endpoint(&state, tokens)))
        .push(Router::with_path("control/journal").get(endpoint(&state, journal)));
    let running = RunningStandIn::start(listen, router).await?;
    tokio::spawn(run_steps(Arc::clone(&state)));
    Ok((running, state))
}

async fn run_steps(state: Arc<EngineState>) {
    loop {
        let step = lock(&state.batcher).begin_step();
        state.record_load();
        match step {
            Some(duration) => {
                tokio::time::sleep(duration).await;
                lock(&state.batcher).end_step();
            }
            None => state.work.notified().await,
        }
    }
}

impl EngineState {
    fn current_load(&self) -> EngineLoad {
        let counts = lock(&self.batcher).counts();
        EngineLoad {
            running: counts.running,
            running_batch: counts.running_batch,
            waiting: counts.waiting,
            slots: self.settings.slots,
            models: lock(&self.models).iter().cloned().collect(),
            leaving: *lock(&self.leaving),
        }
    }

    fn record_load(&self) {
        let load = self.current_load();
        let mut loads = lock(&self.loads);
        if loads.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        if loads.len() == LOAD_HISTORY_LIMIT {
            loads.pop_front();
        }
        loads.push_back((Instant::now(), load));
    }

    /// Returns the load as of `report_lag` ago, or the oldest kept load if all are younger.
    fn reported_load(&self) -> EngineLoad {
        let loads = lock(&self.loads);
        let lag = self.settings.report_lag;
        let old_enough = loads.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let reported = old_enough.or_else(|| loads.front());
        reported.map_or_else(EngineLoad::default, |(_, load)| load.clone())
    }

    /// Returns all requests that the engine accepted so far, in order of arrival.
    pub fn accepted_requests(&self) -> Vec<AcceptedRequest> {
        lock(&self.batcher).journal().to_vec()
    }

    fn serves(&self, model: &ModelName) -> bool {
        let models = lock(&self.models);
        models.is_empty() || models.contains(model)
    }
}

async fn generate(state: Arc<EngineState>, mut call: Call) -> Result<Reply, Failure> {
    let request: GenerateRequest = call.json(BODY_LIMIT).await?;
    if !state.serves(&request.model) {
        let message = format!("model {} is not loaded", request.model);
        return Err(Failure::not_run(ErrorKind::Unavailable, message));
    }
    let own = &state.settings.software;
    if request.software.is_some() && request.software != *own {
        let message = format!("this engine has the version {own:?}");
        let refusal = Failure::not_run(ErrorKind::Conflict, message);
        let status = OTHER_SOFTWARE_STATUS.as_u16();
        return Ok(Reply::failure(&refusal).with_status(status));
    }
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER_LENGTH);
    if !lock(&state.batcher).submit(request, sender) {
        return Err(Failure::not_run(ErrorKind::Overloaded, "the queue is full"));
    }
    state.work.notify_one();
    let events = ReceiverStream::new(receiver).map(|event: TokenEvent| {
        let data = serde_json::to_string(&event).unwrap_or_default();
        Ok(Bytes::from(format!("data: {data}\n\n")))
    });
    Ok(Reply::events(events.boxed()))
}

async fn cancel(state: Arc<EngineState>, call: Call) -> Result<Reply, Failure> {
    let id = RequestId(call.path_parameter("id")?);
    let found = lock(&state.batcher).cancel(&id);
    Ok(Reply::json(&json!({ "cancelled": found })))
}

/// Responds with the lagging load, but with the current value of `leaving`.
async fn load(state: Arc<EngineState>, _call: Call) -> Result<Reply, Failure> {
    state.record_load();
    let mut load = state.reported_load();
    load.leaving = *lock(&state.leaving);
    Ok(Reply::json(&load))
}

/// Accepts an order to load a model unless an order with a higher fence has been accepted.
async fn order(state: Arc<EngineState>, mut call: Call) -> Result<Reply, Failure> {
    let order: LoadOrder = call.json(BODY_LIMIT).await?;
    let mut highest = lock(&state.highest_fence);
    if order.fence < *highest {
        return Err(Failure::not_run(ErrorKind::Conflict, "the fence is stale"));
    }
    *highest = order.fence;
    drop(highest);
    tokio::spawn(load_model(Arc::clone(&state), order.model));
    Ok(Reply::json(&json!({})))
}

/// Fetches the weights of a model from the weight store, if one is configured, and then serves the model.
async fn load_model(state: Arc<EngineState>, model: ModelName) {
    if let Some(store) = state.settings.weight_store {
        let path = format!("/v1/weights/{model}/fetch");
        let client = HttpClient::new(None);
        let fetched = client
            .post_json(store, &path, &json!({}), FETCH_TIMEOUT)
            .await;
        let fetched: Result<serde_json::Value, _> = fetched;
        if let Err(error) = fetched {
            eprintln!("cannot fetch the weights of {model}; it is not served: {error}");
            return;
        }
    }
    lock(&state.models).insert(model);
    state.record_load();
}

async fn leave(state: Arc<EngineState>, _call: Call) -> Result<Reply, Failure> {
    *lock(&state.leaving) = true;
    Ok(Reply::json(&json!({})))
}

async fn journal(state: Arc<EngineState>, _call: Call) -> Result<Reply, Failure> {
    Ok(Reply::json(&state.accepted_requests()))
}

async fn tokens(state: Arc<EngineState>, _call: Call) -> Result<Reply, Failure> {
    Ok(Reply::json(&lock(&state.batcher).tokens()))
}
