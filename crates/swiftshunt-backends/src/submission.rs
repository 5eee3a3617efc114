//! Submission workers: perform a booking or reading under a key, and tell what became of a key.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use swiftshunt_types::SubmissionId;

use crate::BoxFuture;
use swiftshunt_http::{HttpAnswer, HttpClient, HttpError, HttpRequest, JSON};

/// Header that carries the key, the same at every try.
pub const KEY_HEADER: &str = "idempotency-key";
/// Path at which work is performed.
pub const PERFORM_PATH: &str = "/v1/perform";
/// Path under which a key's execution is looked up.
pub const EXECUTIONS_PATH: &str = "/v1/executions";

/// A worker's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// What a worker knows of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ExecutionState {
    /// It never started.
    NotStarted,
    /// It runs.
    Running,
    /// It ended.
    Finished {
        /// With this answer.
        answer: WorkerAnswer,
    },
}

/// Why a worker gave no answer.
#[derive(Debug, Display, Error)]
pub enum WorkerError {
    /// No byte was written, or the worker refused before it started.
    #[display("worker did not start it: {reason}")]
    NotStarted {
        /// The reason.
        reason: String,
    },
    /// It may have been performed.
    #[display("worker may have performed it: {source}")]
    Unknown {
        /// The transport's reason.
        source: HttpError,
    },
}

/// The protocol of submission workers.
pub trait SubmissionWorker: Send + Sync {
    /// Performs `body` under `key`; a worker that knows the key answers as before.
    fn perform<'a>(
        &'a self,
        worker: SocketAddr,
        key: &'a SubmissionId,
        body: String,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<WorkerAnswer, WorkerError>>;

    /// What the worker knows of `key`.
    fn look_up<'a>(
        &'a self,
        worker: SocketAddr,
        key: &'a SubmissionId,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<ExecutionState, HttpError>>;
}

/// Client of the workers' HTTP interface.
#[derive(Clone, Debug)]
pub struct HttpSubmissionWorker {
    client: HttpClient,
}

impl HttpSubmissionWorker {
    /// A client.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

impl SubmissionWorker for HttpSubmissionWorker {
    fn perform<'a>(
        &'a self,
        worker: SocketAddr,
        key: &'a SubmissionId,
        body: String,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<WorkerAnswer, WorkerError>> {
        let request = HttpRequest::post(worker, PERFORM_PATH, JSON, Bytes::from(body))
            .with_header(KEY_HEADER, key.as_str());
        Box::pin(async move {
            match self.client.exchange(request, timeout).await {
                Ok(answer) => read_answer(&answer),
                Err(error) if error.was_not_sent() => Err(WorkerError::NotStarted {
                    reason: error.to_string(),
                }),
                Err(source) => Err(WorkerError::Unknown { source }),
            }
        })
    }

    fn look_up<'a>(
        &'a self,
        worker: SocketAddr,
        key: &'a SubmissionId,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<ExecutionState, HttpError>> {
        Box::pin(async move {
            let path = format!("{EXECUTIONS_PATH}/{key}");
            self.client.get_json(worker, &path, timeout).await
        })
    }
}

/// 503 is a worker's word that it did not start; every other status is its answer.
fn read_answer(answer: &HttpAnswer) -> Result<WorkerAnswer, WorkerError> {
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    if answer.status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(WorkerError::NotStarted { reason: body });
    }
    Ok(WorkerAnswer {
        status: answer.status.as_u16(),
        body,
    })
}
