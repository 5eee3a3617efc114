//! Stand-in for a submission worker, and the journal of executions. The journal is a server of its own, so that its
//! entries survive the exit of a worker's process.
//!
//! The worker writes each execution to the journal before it responds, so tests count the actual executions even
//! if the worker exits right afterwards.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use swiftshunt_backends::engine::{EngineLoad, LOAD_PATH};
use swiftshunt_backends::submission::{
    EXECUTIONS_PATH, ExecutionState, KEY_HEADER, PERFORM_PATH, WorkerAnswer,
};
use swiftshunt_http::{BindError, Call, HttpClient, ObserveFailure, Reply, Router, endpoint};
use swiftshunt_types::{ErrorKind, Failure};

use crate::stand_in::{RunningStandIn, lock};

/// Largest accepted request body, in bytes.
const BODY_LIMIT: usize = 4 << 20;
/// Time-out of one write to the journal.
const JOURNAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Path of the call that writes an execution to the journal.
pub const JOURNAL_PATH: &str = "/v1/journal";
/// Exit status of a worker that exits by [`Behaviour::die_before`] or [`Behaviour::die_after`].
const CRASH_EXIT_STATUS: i32 = 86;

/// An entry of the journal: one execution of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Idempotency key of the submission.
    pub key: String,
    /// Name of the worker that executed it.
    pub worker: String,
    /// Body of the submission.
    pub body: String,
}

/// Executions of all workers, in the order in which they were written.
#[derive(Default)]
pub struct Journal {
    executions: Mutex<Vec<Execution>>,
}

impl ObserveFailure for Journal {
    fn observe_failure(&self, _failure: &Failure) {}
}

impl Journal {
    /// Starts a journal in tasks of this process.
    pub async fn start(listen: SocketAddr) -> Result<(RunningStandIn, Arc<Self>), BindError> {
        let journal = Arc::new(Self::default());
        let router = Router::with_path(JOURNAL_PATH).post(endpoint(&journal, record));
        let running = RunningStandIn::start(listen, router).await?;
        Ok((running, journal))
    }

    /// Returns all executions written so far.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.executions).clone()
    }

    /// Returns the number of executions per key.
    pub fn counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for execution in lock(&self.executions).iter() {
            *counts.entry(execution.key.clone()).or_default() += 1;
        }
        counts
    }
}

async fn record(journal: Arc<Journal>, mut call: Call) -> Result<Reply, Failure> {
    let execution: Execution = call.json(BODY_LIMIT).await?;
    lock(&journal.executions).push(execution);
    Ok(Reply::json(&json!({})))
}

/// Delays and faults of a worker. They can be changed while the worker runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Milliseconds between receiving a submission and executing it.
    pub delay_ms: u64,
    /// Milliseconds between executing a submission and responding.
    pub answer_delay_ms: u64,
    /// Exit the process before the next submission is executed.
    pub die_before: bool,
    /// Exit the process after the next submission is executed and before the response.
    pub die_after: bool,
    /// Ignore idempotency keys, so that every request is executed.
    pub forgets_keys: bool,
}

/// State of a worker: its executions by key, and its load.
pub struct WorkerState {
    name: String,
    journal: SocketAddr,
    client: HttpClient,
    behaviour: Mutex<Behaviour>,
    executions: Mutex<HashMap<String, ExecutionState>>,
    leaving: Mutex<bool>,
    in_progress: Mutex<u32>,
}

impl ObserveFailure for WorkerState {
    fn observe_failure(&self, _failure: &Failure) {}
}

/// Starts a worker in tasks of this process. `journal` is the address of the [`Journal`].
pub async fn start(
    listen: SocketAddr,
    name: String,
    journal: SocketAddr,
    behaviour: Behaviour,
) -> Result<(RunningStandIn, Arc<WorkerState>), BindError> {
    let state = Arc::new(WorkerState {
        name,
        journal,
        client: HttpClient::new(None),
        behaviour: Mutex::new(behaviour),
        executions: Mutex::new(HashMap::new()),
        leaving: Mutex::new(false),
        in_progress: Mutex::new(0),
    });
    let router = Router::new()
        .push(Router::with_path(PERFORM_PATH).post(endpoint(&state, perform)))
        .push(
            Router::with_path(format!("{EXECUTIONS_PATH}/{{key}}")).get(endpoint(&state, look_up)),
        )
        .push(Router::with_path(LOAD_PATH).get(endpoint(&state, load)))
        .push(Router::with_path("control/behaviour").post(endpoint(&state, set_behaviour)))
        .push(Router::with_path("control/leave").post(endpoint(&state, leave)));
    let running = RunningStandIn::start(listen, router).await?;
    Ok((running, state))
}

async fn perform(state: Arc<WorkerState>, mut call: Call) -> Result<Reply, Failure> {
    let key = call.header(KEY_HEADER).unwrap_or_default().to_owned();
    let body = call.body(BODY_LIMIT).await?;
    let body = String::from_utf8_lossy(&body).into_owned();
    if *lock(&state.leaving) {
        return Err(Failure::not_run(
            ErrorKind::Unavailable,
            "the worker is leaving",
        ));
    }
    // A separate task, so that the execution continues if the caller disconnects, as on a real worker.
    let work = tokio::spawn(execute(Arc::clone(&state), key, body));
    let answer = work
        .await
        .map_err(|_| Failure::unknown(ErrorKind::WorkerFailed, "the execution broke off"))?;
    Ok(Reply::bytes("application/json", answer.body).with_status(answer.status))
}

async fn execute(state: Arc<WorkerState>, key: String, body: String) -> WorkerAnswer {
    let behaviour = lock(&state.behaviour).clone();
    if !behaviour.forgets_keys && !mark_running(&state, &key) {
        return wait_for_answer(&state, &key).await;
    }
    *lock(&state.in_progress) += 1;
    tokio::time::sleep(Duration::from_millis(behaviour.delay_ms)).await;
    if behaviour.die_before {
        std::process::exit(CRASH_EXIT_STATUS);
    }
    let execution = Execution {
        key: key.clone(),
        worker: state.name.clone(),
        body: body.clone(),
    };
    write_journal(&state, &execution).await;
    if behaviour.die_after {
        std::process::exit(CRASH_EXIT_STATUS);
    }
    let answer = WorkerAnswer {
        status: 200,
        body: json!({ "confirmed": body, "key": key }).to_string(),
    };
    let execution_state = ExecutionState::Finished {
        answer: answer.clone(),
    };
    lock(&state.executions).insert(key, execution_state);
    *lock(&state.in_progress) -= 1;
    tokio::time::sleep(Duration::from_millis(behaviour.answer_delay_ms)).await;
    answer
}

/// Marks a key as running. Returns false if the key is already known.
fn mark_running(state: &WorkerState, key: &str) -> bool {
    let mut executions = lock(&state.executions);
    if executions.contains_key(key) {
        return false;
    }
    executions.insert(key.to_owned(), ExecutionState::Running);
    true
}

/// Waits until the execution of `key` has finished and returns its response.
async fn wait_for_answer(state: &WorkerState, key: &str) -> WorkerAnswer {
    loop {
        if let Some(ExecutionState::Finished { answer }) = lock(&state.executions).get(key) {
            return answer.clone();
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

async fn write_journal(state: &WorkerState, execution: &Execution) {
    loop {
        let written =
            state
                .client
                .post_json(state.journal, JOURNAL_PATH, execution, JOURNAL_TIMEOUT);
        let written: Result<serde_json::Value, _> = written.await;
        match written {
            Ok(_) => return,
            Err(error) if error.was_not_sent() => {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            // The entry may have been written. A retry could write it twice, and tests would count two executions.
            Err(error) => {
                eprintln!("cannot write to the journal; execution may be missing there: {error}");
                return;
            }
        }
    }
}

async fn look_up(state: Arc<WorkerState>, call: Call) -> Result<Reply, Failure> {
    let key = call.path_parameter("key")?;
    let executions = lock(&state.executions);
    let found = executions.get(&key).cloned();
    Ok(Reply::json(&found.unwrap_or(ExecutionState::NotStarted)))
}

/// Slots in the load report. The worker does not enforce this limit.
const REPORTED_SLOTS: u32 = 64;

async fn load(state: Arc<WorkerState>, _call: Call) -> Result<Reply, Failure> {
    let running = *lock(&state.in_progress);
    Ok(Reply::json(&EngineLoad {
        running,
        slots: REPORTED_SLOTS,
        leaving: *lock(&state.leaving),
        ..EngineLoad::default()
    }))
}

async fn set_behaviour(state: Arc<WorkerState>, mut call: Call) -> Result<Reply, Failure> {
    let behaviour: Behaviour = call.json(BODY_LIMIT).await?;
    *lock(&state.behaviour) = behaviour;
    Ok(Reply::json(&json!({})))
}

async fn leave(state: Arc<WorkerState>, _call: Call) -> Result<Reply, Failure> {
    *lock(&state.leaving) = true;
    Ok(Reply::json(&json!({})))
}
