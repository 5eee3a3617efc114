//! A pooled HTTP client whose errors distinguish requests of which no byte was written from requests that may
//! have arrived.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::final_status::is_final_status;
use crate::send_permit::{PermitOver, PermittedBody, SendPermit};

/// The content type of JSON.
pub const JSON: &str = "application/json";
/// The content type of CBOR.
pub const CBOR: &str = "application/cbor";

/// Why an exchange failed.
#[derive(Debug, Display, Error)]
pub enum HttpError {
    /// No connection could be established; no byte of the request was written.
    #[display("cannot connect to {address}")]
    NotConnected {
        /// The remote address.
        address: SocketAddr,
    },
    /// The permit to send expired before the request was written.
    #[display("the request to {address} was withheld")]
    Withheld {
        /// The remote address.
        address: SocketAddr,
    },
    /// The connection broke after bytes may have been written, or what arrived is no answer.
    #[display("exchange with {address} broke off: {reason}")]
    BrokenOff {
        /// The remote address.
        address: SocketAddr,
        /// The error of the HTTP library, with its causes.
        reason: String,
    },
    /// No complete response arrived within the time limit; the request may have arrived.
    #[display("no answer from {address} in time")]
    TimedOut {
        /// The remote address.
        address: SocketAddr,
    },
    /// The response has a status other than success.
    #[display("{address} answered {status}: {body}")]
    Status {
        /// The remote address.
        address: SocketAddr,
        /// The status of the response.
        status: u16,
        /// The body of the response as text.
        body: String,
        /// The `Retry-After` header, in seconds; `None` if it is missing or not a number.
        retry_after: Option<u64>,
    },
    /// The response cannot be decoded, or the request cannot be built or encoded.
    #[display("{address} answered what cannot be read: {reason}")]
    Unreadable {
        /// The remote address.
        address: SocketAddr,
        /// The error of the decoder or encoder.
        reason: String,
    },
}

impl HttpError {
    /// Returns whether the request was certainly not written.
    pub fn was_not_sent(&self) -> bool {
        matches!(self, Self::NotConnected { .. } | Self::Withheld { .. })
    }
}

/// A request to one address.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The remote address.
    pub address: SocketAddr,
    /// The HTTP method.
    pub method: Method,
    /// The path and the query.
    pub path: String,
    /// Names and values of the headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
    /// Checked right before the request is written.
    pub permit: SendPermit,
}

impl HttpRequest {
    /// Creates a GET request without a body.
    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            address,
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            permit: SendPermit::always(),
        }
    }

    /// Creates a POST request with a body.
    pub fn post(
        address: SocketAddr,
        path: impl Into<String>,
        content_type: &str,
        body: impl Into<Bytes>,
    ) -> Self {
        Self {
            address,
            method: Method::POST,
            path: path.into(),
            headers: vec![("content-type", content_type.to_owned())],
            body: body.into(),
            permit: SendPermit::always(),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Withholds the request once `permit` has expired. A request without a body is never withheld.
    pub fn with_permit(mut self, permit: SendPermit) -> Self {
        self.permit = permit;
        self
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Time limit for establishing a connection within the fleet's network.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest number of idle connections kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP client with a connection pool, which its clones share.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, PermittedBody>,
}

impl HttpClient {
    /// Creates a client whose connections are bound to the local address `source`, unless it is `None` or
    /// unspecified.
    pub fn new(source: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_local_address(source.filter(|address| !address.is_unspecified()));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(MAX_IDLE_PER_ADDRESS)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns when the head of the response has arrived. `timeout` does not limit the
    /// body.
    pub async fn open(
        &self,
        request: HttpRequest,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let address = request.address;
        let request = build(request)?;
        let answer = tokio::time::timeout(timeout, self.inner.request(request)).await;
        match answer {
            Err(_) => Err(HttpError::TimedOut { address }),
            Ok(Err(error)) if error.is_connect() => Err(HttpError::NotConnected { address }),
            Ok(Err(error)) if PermitOver::caused(&error) => Err(HttpError::Withheld { address }),
            Ok(Err(error)) => Err(HttpError::BrokenOff {
                address,
                reason: describe(&error),
            }),
            Ok(Ok(response)) if !is_final_status(response.status()) => Err(HttpError::BrokenOff {
                address,
                reason: format!("status {} is that of no final answer", response.status()),
            }),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Sends a request and reads the complete response, whatever its status, within `timeout`.
    pub async fn exchange(
        &self,
        request: HttpRequest,
        timeout: Duration,
    ) -> Result<HttpAnswer, HttpError> {
        let address = request.address;
        let complete_exchange = async {
            let response = self.open(request, timeout).await?;
            let (head, body) = response.into_parts();
            let collected = body.collect().await;
            let body = collected.map_err(|error| HttpError::BrokenOff {
                address,
                reason: describe(&error),
            })?;
            Ok(HttpAnswer {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        let answer = tokio::time::timeout(timeout, complete_exchange).await;
        answer.unwrap_or(Err(HttpError::TimedOut { address }))
    }

    /// Sends a request and reads the complete response; any status other than success is an error.
    pub async fn expect_success(
        &self,
        request: HttpRequest,
        timeout: Duration,
    ) -> Result<HttpAnswer, HttpError> {
        let address = request.address;
        let answer = self.exchange(request, timeout).await?;
        if answer.status.is_success() {
            return Ok(answer);
        }
        Err(HttpError::Status {
            address,
            status: answer.status.as_u16(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
            retry_after: retry_after(&answer.headers),
        })
    }

    /// Posts `body` as JSON and decodes the JSON response.
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let unreadable = |error: serde_json::Error| HttpError::Unreadable {
            address,
            reason: error.to_string(),
        };
        let body = serde_json::to_vec(body).map_err(unreadable)?;
        let request = HttpRequest::post(address, path, JSON, body);
        let answer = self.expect_success(request, timeout).await?;
        serde_json::from_slice(&answer.body).map_err(unreadable)
    }

    /// Gets `path` and decodes the JSON response.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let request = HttpRequest::get(address, path);
        let answer = self.expect_success(request, timeout).await?;
        serde_json::from_slice(&answer.body).map_err(|error| HttpError::Unreadable {
            address,
            reason: error.to_string(),
        })
    }
}

/// Returns the seconds of the `Retry-After` header; `None` if it is missing or not a number.
pub fn retry_after(headers: &HeaderMap) -> Option<u64> {
    headers.get("retry-after")?.to_str().ok()?.parse().ok()
}

fn build(request: HttpRequest) -> Result<Request<PermittedBody>, HttpError> {
    let HttpRequest {
        address,
        method,
        path,
        headers,
        body,
        permit,
    } = request;
    let unreadable = |error: hyper::http::Error| HttpError::Unreadable {
        address,
        reason: error.to_string(),
    };
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
        .map_err(unreadable)?;
    let mut builder = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        builder = builder.header(name, value);
    }
    builder
        .body(PermittedBody::new(body, permit))
        .map_err(unreadable)
}

/// Returns the text of an error followed by the texts of its causes.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
