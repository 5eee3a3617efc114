//! The submission worker stand-in, and the journal that outlives it.
//!
//! Each execution is written to the journal before the worker answers, so tests count what really
//! ran even when the worker died right after.

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

/// Largest submission, in bytes.
const BODY_LIMIT: usize = 4 << 20;
/// Time for a write to the journal.
const JOURNAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Path of the journal.
pub const JOURNAL_PATH: &str = "/v1/journal";
/// Exit status of a worker that was told to die.
const CRASH_EXIT_STATUS: i32 = 86;

/// One execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The key under which it ran.
    pub key: String,
    /// The worker's name.
    pub worker: String,
    /// What was performed.
    pub body: String,
}

/// Executions of every worker.
#[derive(Default)]
pub struct Journal {
    executions: Mutex<Vec<Execution>>,
}

impl ObserveFailure for Journal {
    fn observe_failure(&self, _failure: &Failure) {}
}

impl Journal {
    /// Starts a journal as tasks of this process.
    pub async fn start(listen: SocketAddr) -> Result<(RunningStandIn, Arc<Self>), BindError> {
        let journal = Arc::new(Self::default());
        let router = Router::with_path(JOURNAL_PATH).post(endpoint(&journal, record));
        let running = RunningStandIn::start(listen, router).await?;
        Ok((running, journal))
    }

    /// Every execution so far.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.executions).clone()
    }

    /// How often each key ran.
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

/// How a worker behaves; may be changed while it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time before it acts.
    pub delay_ms: u64,
    /// Time between acting and answering.
    pub answer_delay_ms: u64,
    /// The process ends before it acts on the next submission.
    pub die_before: bool,
    /// The process ends after it acted on the next submission, before it answers.
    pub die_after: bool,
    /// It forgets keys: every send is an execution.
    pub forgets_keys: bool,
}

/// The state of a worker.
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

/// Starts a worker as tasks of this process.
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
    // The work goes on when the sender breaks off, as a real worker's would.
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

/// Marks a key as running; false if it was seen before.
fn mark_running(state: &WorkerState, key: &str) -> bool {
    let mut executions = lock(&state.executions);
    if executions.contains_key(key) {
        return false;
    }
    executions.insert(key.to_owned(), ExecutionState::Running);
    true
}

/// The answer of an execution that began before.
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
            // Written twice would be counted twice: better to show the fault.
            Err(error) => {
                eprintln!("journal: {error}");
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

/// Submissions that a worker takes at once; only shown.
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
