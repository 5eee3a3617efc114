//! Client of model engines: token streams that can be resumed and cancelled, load reports and fenced orders.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use swiftshunt_types::{ModelName, Priority, RequestId, SoftwareVersion};

use crate::BoxFuture;
use swiftshunt_http::{HttpClient, HttpError, HttpRequest, JSON, SendPermit};

/// Path of the call that generates tokens.
pub const GENERATE_PATH: &str = "/v1/generate";
/// Path of the load report, at engines and at submission workers.
pub const LOAD_PATH: &str = "/v1/load";
/// Path prefix of the call that cancels a request.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Status of an engine that refuses to resume an output, since another software version began it.
pub const OTHER_SOFTWARE_STATUS: StatusCode = StatusCode::PRECONDITION_FAILED;
/// Path of the call that gives an order to load a model.
pub const ORDERS_PATH: &str = "/v1/orders";

/// A request to generate tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Identifier by which events are matched and the request is cancelled.
    pub request: RequestId,
    /// The model that generates the tokens.
    pub model: ModelName,
    /// The whole prompt.
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the request is online or batch work.
    pub priority: Priority,
    /// Number of tokens that the caller already has; generation resumes after them.
    pub resume_from: u32,
    /// Software version of the engine that generated these tokens. An engine of another version refuses the request with
    /// [`OTHER_SOFTWARE_STATUS`]. `None` for a new output, or if that engine named no version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
}

/// One event of a token stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenEvent {
    /// The request that the token belongs to.
    pub request: RequestId,
    /// Index of the token in the whole output, from 0.
    pub index: u32,
    /// Text of the token; empty on the last event.
    pub text: String,
    /// Why generation ended; only set on the last event.
    pub finish: Option<FinishReason>,
    /// Software version of the engine, on the first event of a stream. `None` from engines that name none; those of a pool
    /// are taken to have the same.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
}

/// Why generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The output is complete.
    Stop,
    /// `max_tokens` was reached.
    Length,
    /// The request was cancelled.
    Cancelled,
}

/// A worker's load, as reported at [`LOAD_PATH`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of batch requests among the running requests.
    pub running_batch: u32,
    /// Number of requests that are waiting.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// Models that are loaded.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Whether the worker is leaving and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// A fencing token of an order, compared field by field. A worker refuses an order whose fence is lower than
/// the highest fence that it has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// Generation of the partition that issued the order.
    pub generation: u64,
    /// Term of the leader that issued the order.
    pub term: u64,
    /// Number of the order within the term.
    pub sequence: u64,
}

/// An order to load a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Fence of the order.
    pub fence: Fence,
    /// The model to load.
    pub model: ModelName,
}

/// Why a token stream did not start or broke off.
#[derive(Debug, Display, Error)]
pub enum EngineError {
    /// No byte of the request was written, or the engine refused the request before it started.
    #[display("engine did not start it: {reason}")]
    NotStarted {
        /// The transport error, or the engine's response body.
        reason: String,
    },
    /// The exchange with the engine failed after the request may have been written.
    #[display("engine stream broke: {reason}")]
    Broken {
        /// The error of the transport or of the decoder.
        reason: String,
    },
    /// The engine did not start the request, since another software version began the output that is resumed.
    #[display("engine has other software: {reason}")]
    OtherSoftware {
        /// The engine's response body.
        reason: String,
    },
    /// The engine refused the request with another status, or the request could not be encoded.
    /// Another engine would refuse the request, too.
    #[display("engine refused the request: {reason}")]
    Refused {
        /// The encoder's error, or the engine's response body.
        reason: String,
    },
}

/// The events of one request, in the order of arrival.
pub type TokenStream = futures_util::stream::BoxStream<'static, Result<TokenEvent, EngineError>>;

/// The operations of engines.
pub trait Engine: Send + Sync {
    /// Starts or resumes the generation of tokens. The request is withheld if `permit` has expired when the
    /// request is written.
    fn generate<'a>(
        &'a self,
        engine: SocketAddr,
        request: &'a GenerateRequest,
        permit: SendPermit,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<TokenStream, EngineError>>;

    /// Cancels a request. A status other than success yields [`HttpError::Status`].
    fn cancel<'a>(
        &'a self,
        engine: SocketAddr,
        request: &'a RequestId,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<(), HttpError>>;

    /// Reads the load report of a worker.
    fn load(
        &self,
        worker: SocketAddr,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<EngineLoad, HttpError>>;

    /// Gives an engine an order to load a model. An engine that refuses the order yields [`HttpError::Status`].
    fn order<'a>(
        &'a self,
        engine: SocketAddr,
        order: &'a LoadOrder,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<(), HttpError>>;
}

/// Client of the engines' HTTP interface.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: HttpClient,
}

impl HttpEngine {
    /// Creates a client that sends its calls with `client`.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

impl Engine for HttpEngine {
    fn generate<'a>(
        &'a self,
        engine: SocketAddr,
        request: &'a GenerateRequest,
        permit: SendPermit,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<TokenStream, EngineError>> {
        Box::pin(async move {
            let body = serde_json::to_vec(request).map_err(|error| EngineError::Refused {
                reason: error.to_string(),
            })?;
            let request = HttpRequest::post(engine, GENERATE_PATH, JSON, body).with_permit(permit);
            let opened = self.client.open(request, timeout).await;
            let response = opened.map_err(start_error)?;
            let status = response.status();
            if status.is_success() {
                return Ok(token_events(response.into_body()));
            }
            let body = response.into_body().collect().await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            let reason = String::from_utf8_lossy(&body).into_owned();
            Err(match status {
                StatusCode::SERVICE_UNAVAILABLE => EngineError::NotStarted { reason },
                OTHER_SOFTWARE_STATUS => EngineError::OtherSoftware { reason },
                _ => EngineError::Refused { reason },
            })
        })
    }

    fn cancel<'a>(
        &'a self,
        engine: SocketAddr,
        request: &'a RequestId,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<(), HttpError>> {
        Box::pin(async move {
            let path = format!("{CANCEL_PATH}/{request}");
            let request = HttpRequest::post(engine, path, JSON, Vec::new());
            self.client
                .expect_success(request, timeout)
                .await
                .map(|_| ())
        })
    }

    fn load(
        &self,
        worker: SocketAddr,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<EngineLoad, HttpError>> {
        Box::pin(self.client.get_json(worker, LOAD_PATH, timeout))
    }

    fn order<'a>(
        &'a self,
        engine: SocketAddr,
        order: &'a LoadOrder,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<(), HttpError>> {
        Box::pin(async move {
            let answer = self.client.post_json(engine, ORDERS_PATH, order, timeout);
            answer.await.map(|_: serde::de::IgnoredAny| ())
        })
    }
}

fn start_error(error: HttpError) -> EngineError {
    let reason = error.to_string();
    if error.was_not_sent() {
        EngineError::NotStarted { reason }
    } else {
        EngineError::Broken { reason }
    }
}

/// Decodes the server-sent events of a body as token events.
fn token_events(body: hyper::body::Incoming) -> TokenStream {
    let data = body.into_data_stream();
    let events = eventsource_stream::EventStream::new(data);
    let tokens = events.map(|event| match event {
        Ok(event) => serde_json::from_str(&event.data).map_err(|error| EngineError::Broken {
            reason: format!("event cannot be read: {error}"),
        }),
        Err(error) => Err(EngineError::Broken {
            reason: error.to_string(),
        }),
    });
    tokens.boxed()
}
