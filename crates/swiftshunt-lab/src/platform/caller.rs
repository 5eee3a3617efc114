//! A caller in the platform's protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use swiftshunt_http::{HttpAnswer, HttpClient, HttpError, HttpRequest};
use swiftshunt_platform::documents::{ItemDocument, JobDocument, PageDocument};
use swiftshunt_platform::words::{headers, paths, queries, values};

/// The host that callers name.
pub const HOST: &str = "caller.example";
/// Tokens of each item of a caller's jobs.
pub const ITEM_TOKENS: u64 = 100;
/// Time that one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A caller.
#[derive(Clone)]
pub struct PlatformCaller {
    client: HttpClient,
    key: Option<String>,
}

impl Default for PlatformCaller {
    fn default() -> Self {
        Self {
            client: HttpClient::new(None),
            key: None,
        }
    }
}

impl PlatformCaller {
    /// The same caller with a key.
    pub fn with_key(&self, key: &str) -> Self {
        Self {
            client: self.client.clone(),
            key: Some(key.to_owned()),
        }
    }

    /// Adds the caller's host, and its key if it has one.
    fn with_caller_headers(&self, request: HttpRequest) -> HttpRequest {
        let request = request.with_header("host", HOST);
        match &self.key {
            Some(key) => {
                request.with_header("authorization", format!("{} {key}", values::KEY_SCHEME))
            }
            None => request,
        }
    }

    fn text_request(
        &self,
        gateway: SocketAddr,
        path: &str,
        id: &str,
        deadline: Duration,
    ) -> HttpRequest {
        self.text_request_with_body(gateway, path, id, deadline, "a question")
    }

    fn text_request_with_body(
        &self,
        gateway: SocketAddr,
        path: &str,
        id: &str,
        deadline: Duration,
        body: &str,
    ) -> HttpRequest {
        let request = HttpRequest::post(gateway, path, "text/plain", body.to_owned());
        self.with_caller_headers(request)
            .with_header(headers::REQUEST_ID, id)
            .with_header(headers::DEADLINE, deadline.as_millis().to_string())
    }

    /// Sends a request with headers of the caller's choice.
    pub async fn ask_with_headers(
        &self,
        gateway: SocketAddr,
        path: &str,
        id: &str,
        extra_headers: &[(&'static str, &str)],
    ) -> Result<HttpAnswer, HttpError> {
        let mut request = self.text_request(gateway, path, id, CALL_TIMEOUT);
        for (name, value) in extra_headers {
            request = request.with_header(name, *value);
        }
        self.client.exchange(request, CALL_TIMEOUT).await
    }

    /// Sends a request on a route and reads the whole answer.
    pub async fn ask(
        &self,
        gateway: SocketAddr,
        path: &str,
        id: &str,
        deadline: Duration,
    ) -> Result<HttpAnswer, HttpError> {
        let request = self.text_request(gateway, path, id, deadline);
        self.client.exchange(request, CALL_TIMEOUT).await
    }

    /// Sends a request with a body of the caller's choice.
    pub async fn ask_with_body(
        &self,
        gateway: SocketAddr,
        path: &str,
        id: &str,
        body: &str,
    ) -> Result<HttpAnswer, HttpError> {
        let request = self.text_request_with_body(gateway, path, id, CALL_TIMEOUT, body);
        self.client.exchange(request, CALL_TIMEOUT).await
    }

    /// Sends a request whose prompt has `tokens` tokens.
    pub async fn ask_with_prompt(
        &self,
        gateway: SocketAddr,
        path: &str,
        id: &str,
        tokens: u32,
    ) -> Result<HttpAnswer, HttpError> {
        let parts = [(u64::from(tokens), tokens)];
        self.ask_with_parts(gateway, path, id, &parts).await
    }

    /// Sends a request whose prompt has these parts, each a name and its tokens.
    pub async fn ask_with_parts(
        &self,
        gateway: SocketAddr,
        path: &str,
        id: &str,
        parts: &[(u64, u32)],
    ) -> Result<HttpAnswer, HttpError> {
        let tokens: u32 = parts.iter().map(|(_, tokens)| tokens).sum();
        let part_texts: Vec<String> = parts
            .iter()
            .map(|(part, tokens)| format!("{part:x}:{tokens}"))
            .collect();
        let request = self
            .text_request(gateway, path, id, CALL_TIMEOUT)
            .with_header(headers::TOKENS, format!("{tokens},10"))
            .with_header(headers::PROMPT, part_texts.join(","));
        self.client.exchange(request, CALL_TIMEOUT).await
    }

    /// Asks, and leaves after `patience`.
    pub async fn ask_and_disconnect(
        &self,
        gateway: SocketAddr,
        path: &str,
        id: &str,
        leave_after: Duration,
    ) {
        let asked = self.ask(gateway, path, id, CALL_TIMEOUT);
        drop(tokio::time::timeout(leave_after, asked).await);
    }

    /// Hands a job in.
    pub async fn submit(
        &self,
        gateway: SocketAddr,
        path: &str,
        job: &str,
        items: usize,
    ) -> Result<StatusCode, HttpError> {
        let bodies = (0..items).map(|item| item_body(job, item));
        self.submit_bodies(gateway, path, job, bodies).await
    }

    /// Hands a job in whose items have these bodies.
    pub async fn submit_bodies(
        &self,
        gateway: SocketAddr,
        path: &str,
        job: &str,
        bodies: impl Iterator<Item = String>,
    ) -> Result<StatusCode, HttpError> {
        let items = bodies.enumerate().map(|(item, body)| ItemDocument {
            id: item_id(job, item),
            path: format!("{path}{item}"),
            headers: BTreeMap::new(),
            body: STANDARD.encode(body),
            tokens: ITEM_TOKENS as f64,
        });
        let document = JobDocument {
            requests: items.collect(),
        };
        let body = serde_json::to_vec(&document).unwrap_or_default();
        let request = HttpRequest::post(gateway, path, "application/json", body);
        let request = self
            .with_caller_headers(request)
            .with_header(headers::REQUEST_ID, job);
        let answer = self.client.exchange(request, CALL_TIMEOUT).await?;
        Ok(answer.status)
    }

    /// Reads results from a position on.
    pub async fn results(
        &self,
        gateway: SocketAddr,
        job: &str,
        from: usize,
        wait: Duration,
    ) -> Result<(StatusCode, PageDocument), HttpError> {
        let path = format!("{}{job}?{}={from}", paths::JOBS, queries::AFTER);
        let request = self
            .with_caller_headers(HttpRequest::get(gateway, path))
            .with_header(headers::WAIT, wait.as_millis().to_string());
        let answer = self.client.exchange(request, CALL_TIMEOUT).await?;
        let document = serde_json::from_slice(&answer.body);
        // An answer without a page says so by its status.
        let document = document.unwrap_or(PageDocument {
            total: 0,
            next_token: 0,
            results: Vec::new(),
        });
        Ok((answer.status, document))
    }

    /// Reads the body of an item.
    pub async fn item(
        &self,
        gateway: SocketAddr,
        job: &str,
        item: &str,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let path = format!("{}{job}?{}={item}", paths::ITEMS, queries::ITEM);
        let request = self.with_caller_headers(HttpRequest::get(gateway, path));
        let answer = self.client.exchange(request, CALL_TIMEOUT).await?;
        Ok((answer.status, answer.body))
    }

    /// Ends a job.
    pub async fn end(&self, gateway: SocketAddr, job: &str) -> Result<StatusCode, HttpError> {
        let mut request = HttpRequest::get(gateway, format!("{}{job}", paths::JOBS));
        request.method = Method::DELETE;
        let request = self.with_caller_headers(request);
        let answer = self.client.exchange(request, CALL_TIMEOUT).await?;
        Ok(answer.status)
    }

    /// All figures that a gateway tells; nothing if it does not answer.
    pub async fn metrics(&self, metrics: SocketAddr) -> String {
        let request = HttpRequest::get(metrics, "/metrics");
        let Ok(answer) = self.client.exchange(request, CALL_TIMEOUT).await else {
            return String::new();
        };
        String::from_utf8_lossy(&answer.body).into_owned()
    }

    /// A figure that a gateway tells: the value of the line that begins with `name`, 0 without one.
    pub async fn metric_value(&self, metrics: SocketAddr, name: &str) -> f64 {
        let text = self.metrics(metrics).await;
        let mut lines = text.lines();
        let line = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.and_then(|value| value.parse().ok()).unwrap_or(0.0)
    }

    /// Asks whether a gateway is ready.
    pub async fn is_ready(&self, ready: SocketAddr) -> bool {
        let request = HttpRequest::get(ready, "/v1/ready");
        let answer = self.client.exchange(request, CALL_TIMEOUT).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }
}

/// Identifier of an item.
pub fn item_id(job: &str, item: usize) -> String {
    format!("{job}-item-{item}")
}

/// Body of an item.
pub fn item_body(job: &str, item: usize) -> String {
    format!("body of {job}/{item}")
}
