//! Stand-in for the log service: keeps streams in memory and injects the faults of a real log service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use swiftshunt_backends::log_service::{AppendAnswer, AppendBody, Offset, ReadAnswer};
use swiftshunt_http::{BindError, Call, ObserveFailure, Reply, Router, endpoint};
use swiftshunt_types::{ErrorKind, Failure};
use tokio::sync::Notify;

use crate::stand_in::{RunningStandIn, lock};

/// Largest accepted request body, in bytes.
const BODY_LIMIT: usize = 64 << 20;
/// Largest number of records in one response.
const READ_LIMIT: usize = 4096;
/// Delay of a response that counts as lost. Longer than the time-out of any caller.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(60);

/// Faults to inject. They can be changed while the stand-in runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Refuse every append and read with `Unavailable` and `not_run`, without any effect.
    pub down: bool,
    /// Milliseconds by which each append and read is delayed before it takes effect.
    pub delay_ms: u64,
    /// Apply appends, but hold back their responses until the callers time out.
    pub lose_append_answers: bool,
    /// Number of records by which reads start before the requested offset, so that records are delivered again.
    pub read_back: u64,
}

/// The streams of the stand-in and the faults that it injects.
#[derive(Default)]
pub struct LogState {
    streams: Mutex<HashMap<String, Vec<String>>>,
    faults: Mutex<LogFaults>,
    appended: Notify,
}

impl ObserveFailure for LogState {
    fn observe_failure(&self, _failure: &Failure) {}
}

/// Starts a log service in tasks of this process.
pub async fn start(listen: SocketAddr) -> Result<(RunningStandIn, Arc<LogState>), BindError> {
    let state = Arc::new(LogState::default());
    let router = Router::new()
        .push(
            Router::with_path("v1/streams/{stream}/records")
                .post(endpoint(&state, append))
                .get(endpoint(&state, read)),
        )
        .push(Router::with_path("control/faults").post(endpoint(&state, set_faults)))
        .push(Router::with_path("control/sizes").get(endpoint(&state, sizes)));
    let running = RunningStandIn::start(listen, router).await?;
    Ok((running, state))
}

impl LogState {
    /// Replaces all faults.
    pub fn set_faults(&self, faults: LogFaults) {
        *lock(&self.faults) = faults;
    }

    /// Fails if the log is down; otherwise waits for the configured delay. Returns the faults as of before the delay.
    async fn apply_faults(&self) -> Result<LogFaults, Failure> {
        let faults = lock(&self.faults).clone();
        if faults.down {
            return Err(Failure::not_run(ErrorKind::Unavailable, "the log is down"));
        }
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        Ok(faults)
    }

    fn read_records(&self, stream: &str, from: Offset, limit: usize) -> Vec<String> {
        let streams = lock(&self.streams);
        let records = streams.get(stream).map_or(&[][..], Vec::as_slice);
        records
            .iter()
            .skip(from as usize)
            .take(limit)
            .cloned()
            .collect()
    }
}

async fn append(state: Arc<LogState>, mut call: Call) -> Result<Reply, Failure> {
    let stream = call.path_parameter("stream")?;
    let body: AppendBody = call.json(BODY_LIMIT).await?;
    let faults = state.apply_faults().await?;
    let offset = {
        let mut streams = lock(&state.streams);
        let records = streams.entry(stream).or_default();
        let offset = records.len() as Offset;
        records.extend(body.records);
        offset
    };
    state.appended.notify_waiters();
    if faults.lose_append_answers {
        tokio::time::sleep(LOST_ANSWER_DELAY).await;
    }
    Ok(Reply::json(&AppendAnswer { offset }))
}

async fn read(state: Arc<LogState>, call: Call) -> Result<Reply, Failure> {
    let stream = call.path_parameter("stream")?;
    let faults = state.apply_faults().await?;
    let from: Offset = call.query("from").unwrap_or_default();
    let first = from.saturating_sub(faults.read_back);
    let limit = call.query("limit").unwrap_or(READ_LIMIT).min(READ_LIMIT);
    let wait = Duration::from_millis(call.query("wait_ms").unwrap_or_default());
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let appended = state.appended.notified();
        let records = state.read_records(&stream, first, limit);
        let timed_out = tokio::time::Instant::now() >= deadline;
        if !records.is_empty() || timed_out {
            return Ok(Reply::json(&ReadAnswer { first, records }));
        }
        drop(tokio::time::timeout_at(deadline, appended).await);
    }
}

async fn set_faults(state: Arc<LogState>, mut call: Call) -> Result<Reply, Failure> {
    let faults: LogFaults = call.json(BODY_LIMIT).await?;
    state.set_faults(faults);
    Ok(Reply::json(&json!({})))
}

async fn sizes(state: Arc<LogState>, _call: Call) -> Result<Reply, Failure> {
    let streams = lock(&state.streams);
    let sizes: HashMap<&String, usize> = streams
        .iter()
        .map(|(name, records)| (name, records.len()))
        .collect();
    Ok(Reply::json(&sizes))
}
