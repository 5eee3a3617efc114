//! Endpoints as functions from an owned request to a response.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::stream::BoxStream;
use http_body_util::BodyExt;
use salvo::http::{HeaderValue, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde::Serialize;
use serde::de::DeserializeOwned;
use swiftshunt_types::{ErrorKind, Failure};

/// A request, owned by its handler.
pub struct Call {
    request: Request,
}

impl Call {
    /// Returns a header's value; `None` if it is missing or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.headers().get(name)?.to_str().ok()
    }

    /// Returns a query parameter; `None` if it is missing or cannot be parsed.
    pub fn query<T: DeserializeOwned>(&self, name: &str) -> Option<T> {
        self.request.query(name)
    }

    /// Returns the remote address of the connection; `None` if it is not an IP address.
    pub fn remote(&self) -> Option<std::net::SocketAddr> {
        self.request.remote_addr().clone().into_std()
    }

    /// Returns a path parameter.
    ///
    /// # Errors
    ///
    /// `NotFound` if the route has no such parameter.
    pub fn path_parameter(&self, name: &str) -> Result<String, Failure> {
        let found = self.request.param::<String>(name);
        found.ok_or_else(|| Failure::not_run(ErrorKind::NotFound, "no such path"))
    }

    /// Reads the whole body, which may have at most `limit` bytes.
    ///
    /// Data beyond the limit is read and discarded, up to [`DISCARD_LIMIT`]: a client that is still
    /// writing would otherwise see a broken connection instead of the response.
    ///
    /// # Errors
    ///
    /// `TooLarge` beyond the limit, `InvalidRequest` if the body breaks off.
    pub async fn body(&mut self, limit: usize) -> Result<Bytes, Failure> {
        let mut body = self.request.take_body();
        let mut read = BytesMut::new();
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame
                .map_err(|error| Failure::not_run(ErrorKind::InvalidRequest, error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            length += data.len();
            if length <= limit {
                read.extend_from_slice(&data);
            } else if length > limit + DISCARD_LIMIT {
                break;
            }
        }
        if length > limit {
            return Err(too_large(limit));
        }
        Ok(read.freeze())
    }

    /// Reads the body, of at most `limit` bytes, as JSON.
    ///
    /// # Errors
    ///
    /// Those of [`Call::body`], and `InvalidRequest` if the body cannot be decoded.
    pub async fn json<T: DeserializeOwned>(&mut self, limit: usize) -> Result<T, Failure> {
        let body = self.body(limit).await?;
        serde_json::from_slice(&body).map_err(|error| {
            let message = format!("the body is not what is expected here: {error}");
            Failure::not_run(ErrorKind::InvalidRequest, message)
        })
    }
}

/// Bytes beyond a body's limit that are read and discarded; data after them is left unread.
const DISCARD_LIMIT: usize = 64 << 20;

fn too_large(limit: usize) -> Failure {
    let message = format!("the body exceeds {limit} bytes");
    Failure::not_run(ErrorKind::TooLarge, message)
}

/// A response.
pub struct Reply {
    status: StatusCode,
    content_type: &'static str,
    body: ReplyBody,
    retry_after: Option<std::time::Duration>,
}

enum ReplyBody {
    Bytes(Bytes),
    Stream(BoxStream<'static, Result<Bytes, std::io::Error>>),
}

impl Reply {
    /// Creates a response with status 200 and a complete body.
    pub fn bytes(content_type: &'static str, body: impl Into<Bytes>) -> Self {
        Self {
            status: StatusCode::OK,
            content_type,
            body: ReplyBody::Bytes(body.into()),
            retry_after: None,
        }
    }

    /// Creates a response with status 200 and a JSON body, which is empty if `value` cannot be encoded.
    pub fn json(value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes("application/json", body)
    }

    /// Creates a response with status 200 that streams server-sent events.
    pub fn events(stream: BoxStream<'static, Result<Bytes, std::io::Error>>) -> Self {
        Self {
            status: StatusCode::OK,
            content_type: "text/event-stream",
            body: ReplyBody::Stream(stream),
            retry_after: None,
        }
    }

    /// Sets the status; an invalid status becomes 200.
    pub fn with_status(mut self, status: u16) -> Self {
        self.status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
        self
    }

    /// Creates a response that carries a failure in the error envelope.
    pub fn failure(failure: &Failure) -> Self {
        let mut reply = Self::json(&failure.envelope()).with_status(failure.kind.status());
        reply.retry_after = failure.retry_after;
        reply
    }

    fn write(self, response: &mut Response) {
        response.status_code(self.status);
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static(self.content_type));
        if let Some(wait) = self.retry_after {
            // Rounded up to whole seconds, at least one, because the header allows no fractions.
            let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
            headers.insert("retry-after", HeaderValue::from(seconds.max(1)));
        }
        match self.body {
            ReplyBody::Bytes(bytes) => {
                response.body(bytes);
            }
            ReplyBody::Stream(stream) => response.stream(stream),
        }
    }
}

/// Observes the failures that endpoints return; implemented by the state of the endpoints.
pub trait ObserveFailure: Send + Sync + 'static {
    /// Called before a request is answered with `failure`.
    fn observe_failure(&self, failure: &Failure);
}

/// Makes an asynchronous function with shared state a handler of the HTTP library.
pub fn endpoint<S, F, Fut>(state: &Arc<S>, function: F) -> Endpoint<S, F>
where
    S: ObserveFailure,
    F: Fn(Arc<S>, Call) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<Reply, Failure>> + Send + 'static,
{
    Endpoint {
        state: Arc::clone(state),
        function,
    }
}

/// The handler that [`endpoint`] returns.
pub struct Endpoint<S, F> {
    state: Arc<S>,
    function: F,
}

#[async_trait]
impl<S, F, Fut> Handler for Endpoint<S, F>
where
    S: ObserveFailure,
    F: Fn(Arc<S>, Call) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<Reply, Failure>> + Send + 'static,
{
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let call = Call {
            request: std::mem::take(request),
        };
        let reply = (self.function)(Arc::clone(&self.state), call).await;
        match reply {
            Ok(reply) => reply.write(response),
            Err(failure) => {
                self.state.observe_failure(&failure);
                Reply::failure(&failure).write(response);
            }
        }
    }
}
