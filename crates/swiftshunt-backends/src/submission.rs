//! Client of submission workers, which perform a booking or a reading under an idempotency key and report the
//! state of the execution of a key.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use swiftshunt_types::SubmissionId;

use crate::BoxFuture;
use swiftshunt_http::{HttpAnswer, HttpClient, HttpError, HttpRequest, JSON};

/// Header that carries the idempotency key, which is the same for each attempt.
pub const KEY_HEADER: &str = "idempotency-key";
/// Path of the call that performs a submission.
pub const PERFORM_PATH: &str = "/v1/perform";
/// Path prefix under which the execution of a key is looked up.
pub const EXECUTIONS_PATH: &str = "/v1/executions";

/// The response of a worker to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerAnswer {
    /// The HTTP status of the response.
    pub status: u16,
    /// The body of the response as text.
    pub body: String,
}

/// The state of the execution of a key, as the worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ExecutionState {
    /// The execution never started.
    NotStarted,
    /// The execution is in progress.
    Running,
    /// The execution has ended.
    Finished {
        /// The response that the execution gave.
        answer: WorkerAnswer,
    },
}

/// Why a call to a worker gave no response.
#[derive(Debug, Display, Error)]
pub enum WorkerError {
    /// No byte of the request was written, or the worker refused it before the execution started.
    #[display("worker did not start it: {reason}")]
    NotStarted {
        /// The transport error, or the body of the worker's response.
        reason: String,
    },
    /// The submission may have been performed.
    #[display("worker may have performed it: {source}")]
    Unknown {
        /// The transport error.
        source: HttpError,
    },
}

/// The protocol of submission workers.
pub trait SubmissionWorker: Send + Sync {
    /// Performs the submission `body` under `key`. A worker that remembers an execution of the key repeats its
    /// response; one that does not remember it executes the submission again.
    fn perform<'a>(
        &'a self,
        worker: SocketAddr,
        key: &'a SubmissionId,
        body: String,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<WorkerAnswer, WorkerError>>;

    /// Returns the state of the execution of `key` at the worker.
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
    /// Creates a client that sends its calls with `client`.
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
                Ok(answer) => worker_answer(&answer),
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

/// Converts a response: with status 503 the worker declares that it did not start the execution; any other
/// status is the result of the execution.
fn worker_answer(answer: &HttpAnswer) -> Result<WorkerAnswer, WorkerError> {
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    if answer.status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(WorkerError::NotStarted { reason: body });
    }
    Ok(WorkerAnswer {
        status: answer.status.as_u16(),
        body,
    })
}
