//! Model engines: token streams that can be resumed and cancelled, load reports, cache events and
//! fenced orders.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use swiftshunt_types::{ModelName, Priority, RequestId};

use crate::BoxFuture;
use swiftshunt_http::{HttpClient, HttpError, HttpRequest, JSON, SendPermit};

/// Path at which tokens are generated.
pub const GENERATE_PATH: &str = "/v1/generate";
/// Path of the load report, also of submission workers.
pub const LOAD_PATH: &str = "/v1/load";
/// Path of the cancel call.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path of load orders.
pub const ORDERS_PATH: &str = "/v1/orders";

/// A request for tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// For matching answers and for cancelling.
    pub request: RequestId,
    /// The model.
    pub model: ModelName,
    /// The whole prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Who waits for whom.
    pub priority: Priority,
    /// Tokens that the caller already has; generation goes on after them.
    pub resume_from: u32,
}

/// One event of a token stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenEvent {
    /// The request that it belongs to.
    pub request: RequestId,
    /// The token's index in the whole answer, from 0.
    pub index: u32,
    /// The token's text; empty on the last event.
    pub text: String,
    /// Set on the last event.
    pub finish: Option<FinishReason>,
}

/// Why generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The answer is whole.
    Stop,
    /// `max_tokens` was reached.
    Length,
    /// The request was cancelled.
    Cancelled,
}

/// A worker's load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests running.
    pub running: u32,
    /// Of those, batch requests.
    pub running_batch: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
    /// Models loaded.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// The worker takes nothing new.
    #[serde(default)]
    pub leaving: bool,
}

/// Orders rise: a worker refuses one whose fence is below the highest it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// Generation of the partition that gave the order.
    pub generation: u64,
    /// Term of the leader that gave it.
    pub term: u64,
    /// Number of the order within the term.
    pub sequence: u64,
}

/// An order to load a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The order's fence.
    pub fence: Fence,
    /// Which model.
    pub model: ModelName,
}

/// Why an engine gave no tokens, or no more.
#[derive(Debug, Display, Error)]
pub enum EngineError {
    /// No byte was written, or the engine refused before it started.
    #[display("engine did not start it: {reason}")]
    NotStarted {
        /// The reason.
        reason: String,
    },
    /// The stream broke.
    #[display("engine stream broke: {reason}")]
    Broken {
        /// The reason.
        reason: String,
    },
    /// The engine refused the request itself; another engine would too.
    #[display("engine refused the request: {reason}")]
    Refused {
        /// The reason.
        reason: String,
    },
}

/// Events of one answer, in order of arrival.
pub type TokenStream = futures_util::stream::BoxStream<'static, Result<TokenEvent, EngineError>>;

/// The protocol of engines.
pub trait Engine: Send + Sync {
    /// Starts or resumes an answer, if the permit still holds when the request is written.
    fn generate<'a>(
        &'a self,
        engine: SocketAddr,
        request: &'a GenerateRequest,
        permit: SendPermit,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<TokenStream, EngineError>>;

    /// Stops an answer.
    fn cancel<'a>(
        &'a self,
        engine: SocketAddr,
        request: &'a RequestId,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<(), HttpError>>;

    /// The load, as the worker tells it.
    fn load(
        &self,
        worker: SocketAddr,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<EngineLoad, HttpError>>;

    /// Gives an order.
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
    /// A client.
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
            if status == StatusCode::SERVICE_UNAVAILABLE {
                Err(EngineError::NotStarted { reason })
            } else {
                Err(EngineError::Refused { reason })
            }
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

/// Reads server-sent events off a body.
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
