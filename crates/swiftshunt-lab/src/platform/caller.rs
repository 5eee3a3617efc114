//! A client that sends requests and batch jobs to gateways in the platform's protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, StatusCode};
use swiftshunt_http::{HttpAnswer, HttpClient, HttpError, HttpRequest};
use swiftshunt_platform::documents::{ItemDocument, JobDocument, PageDocument};
use swiftshunt_platform::words::{headers, paths, queries, values};

/// Host header of all requests of callers; routes match on it.
pub const HOST: &str = "caller.example";
/// Number of tokens that each batch item declares.
pub const ITEM_TOKENS: u64 = 100;
/// Time limit of one HTTP exchange.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Where a caller takes up a stream that broke off.
#[derive(Clone, Debug)]
pub struct TakeUp {
    /// Identifier of the attempt that brought the first event.
    pub first_attempt: String,
    /// Number of the last event that the caller has.
    pub last_event: u64,
}

/// The part of a stream that a caller read.
#[derive(Clone, Debug)]
pub struct StreamPart {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// The events, each with its number and data.
    pub events: Vec<(u64, String)>,
    /// Whether the response ended without an error.
    pub is_complete: bool,
}

impl StreamPart {
    /// Returns how the stream of `first_attempt` is taken up after this part; `None` if it has no event.
    pub fn take_up(&self, first_attempt: &str) -> Option<TakeUp> {
        let (last_event, _) = self.events.last()?;
        Some(TakeUp {
            first_attempt: first_attempt.to_owned(),
            last_event: *last_event,
        })
    }

    /// Returns the data of the events, one a line.
    pub fn text(&self) -> String {
        let data = self.events.iter().map(|(_, data)| data.as_str());
        data.collect::<Vec<_>>().join("\n")
    }
}

/// An item of a batch job as it is submitted.
#[derive(Clone, Debug)]
pub struct SubmittedItem {
    /// Path of the item's request.
    pub path: String,
    /// Body of the item's request.
    pub body: String,
    /// Parts of the prompt, each with its number of tokens; may be empty.
    pub parts: Vec<(u64, u32)>,
}

/// A caller of the gateways, with or without an API key. Clones share their connections.
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
    /// Returns a caller that authenticates with `key` and shares this caller's connections.
    pub fn with_key(&self, key: &str) -> Self {
        Self {
            client: self.client.clone(),
            key: Some(key.to_owned()),
        }
    }

    /// Adds the host header and, if the caller has an API key, the authorization header.
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

    /// Sends a request with additional headers and a deadline of 20 s.
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

    /// Sends a request that carries `deadline` in its deadline header, and reads the whole response. The
    /// exchange itself is limited to 20 s.
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

    /// Requests a stream, or takes one up, and reads it to its end or until `max_events` events have arrived. The
    /// connection is closed then.
    pub async fn read_stream(
        &self,
        gateway: SocketAddr,
        path: &str,
        id: &str,
        take_up: Option<&TakeUp>,
        max_events: usize,
    ) -> Result<StreamPart, HttpError> {
        let mut request = self.text_request(gateway, path, id, CALL_TIMEOUT);
        if let Some(take_up) = take_up {
            request = request
                .with_header(headers::FIRST_ATTEMPT, &take_up.first_attempt)
                .with_header(headers::LAST_EVENT, take_up.last_event.to_string());
        }
        let response = self.client.open(request, CALL_TIMEOUT).await?;
        let (head, body) = response.into_parts();
        let mut part = StreamPart {
            status: head.status,
            headers: head.headers,
            events: Vec::new(),
            is_complete: false,
        };
        let mut events = body.into_data_stream().eventsource();
        while part.events.len() < max_events {
            match events.next().await {
                Some(Ok(event)) => {
                    let number = event.id.parse().unwrap_or_default();
                    part.events.push((number, event.data));
                }
                Some(Err(_)) => break,
                None => {
                    part.is_complete = true;
                    break;
                }
            }
        }
        Ok(part)
    }

    /// Sends a request with the given body and a deadline of 20 s.
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

    /// Sends a request whose prompt consists of one part with `tokens` tokens.
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

    /// Sends a request whose prompt consists of `parts`: pairs of a part's identifier and its number of
    /// tokens.
    pub async fn ask_with_parts(
        &self,
        gateway: SocketAddr,
        path: &str,
        id: &str,
        parts: &[(u64, u32)],
    ) -> Result<HttpAnswer, HttpError> {
        self.ask_with_prompt_and_body(gateway, path, id, parts, "a question")
            .await
    }

    /// Sends a request with the given body whose prompt consists of `parts`, as [`Self::ask_with_parts`] does.
    pub async fn ask_with_prompt_and_body(
        &self,
        gateway: SocketAddr,
        path: &str,
        id: &str,
        parts: &[(u64, u32)],
        body: &str,
    ) -> Result<HttpAnswer, HttpError> {
        let tokens: u32 = parts.iter().map(|(_, tokens)| tokens).sum();
        let request = self
            .text_request_with_body(gateway, path, id, CALL_TIMEOUT, body)
            .with_header(headers::TOKENS, format!("{tokens},10"))
            .with_header(headers::PROMPT, prompt_text(parts));
        self.client.exchange(request, CALL_TIMEOUT).await
    }

    /// Sends a request and closes the connection after `leave_after` if the response is not complete by then.
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

    /// Sends a request with the given body and deadline, and closes the connection after `leave_after` if the response
    /// is not complete by then. Returns the response if it is.
    pub async fn ask_with_body_and_disconnect(
        &self,
        gateway: SocketAddr,
        path: &str,
        id: &str,
        body: &str,
        deadline: Duration,
        leave_after: Duration,
    ) -> Option<Result<HttpAnswer, HttpError>> {
        let request = self.text_request_with_body(gateway, path, id, deadline, body);
        let exchange = self.client.exchange(request, CALL_TIMEOUT);
        tokio::time::timeout(leave_after, exchange).await.ok()
    }

    /// Submits a batch job with `items` items whose bodies are those of [`item_body`].
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

    /// Submits a batch job with one item for each body.
    pub async fn submit_bodies(
        &self,
        gateway: SocketAddr,
        path: &str,
        job: &str,
        bodies: impl Iterator<Item = String>,
    ) -> Result<StatusCode, HttpError> {
        let items = bodies.map(|body| (body, Vec::new()));
        self.submit_prompts(gateway, path, job, items).await
    }

    /// Submits a batch job with one item for each body and the parts of its prompt, which may be empty.
    pub async fn submit_prompts(
        &self,
        gateway: SocketAddr,
        path: &str,
        job: &str,
        items: impl Iterator<Item = (String, Vec<(u64, u32)>)>,
    ) -> Result<StatusCode, HttpError> {
        let items = items
            .enumerate()
            .map(|(item, (body, parts))| SubmittedItem {
                path: format!("{path}{item}"),
                body,
                parts,
            });
        self.submit_items(gateway, path, job, items).await
    }

    /// Submits a batch job with these items.
    pub async fn submit_items(
        &self,
        gateway: SocketAddr,
        path: &str,
        job: &str,
        items: impl Iterator<Item = SubmittedItem>,
    ) -> Result<StatusCode, HttpError> {
        let items = items.enumerate().map(|(index, item)| ItemDocument {
            id: item_id(job, index),
            path: item.path,
            headers: prompt_headers(&item.parts),
            body: STANDARD.encode(item.body),
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

    /// Reads a job's results from position `from`; the gateway may delay its response by up to `wait` until
    /// there is one. If the response contains no page, as error responses do, the returned page is empty.
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
        // Error responses have no page; their status tells why.
        let document = document.unwrap_or(PageDocument {
            total: 0,
            next_token: 0,
            results: Vec::new(),
        });
        Ok((answer.status, document))
    }

    /// Reads the stored body of a batch item.
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

    /// Ends a job by a DELETE request and returns the status of the response.
    pub async fn end(&self, gateway: SocketAddr, job: &str) -> Result<StatusCode, HttpError> {
        let mut request = HttpRequest::get(gateway, format!("{}{job}", paths::JOBS));
        request.method = Method::DELETE;
        let request = self.with_caller_headers(request);
        let answer = self.client.exchange(request, CALL_TIMEOUT).await?;
        Ok(answer.status)
    }

    /// Returns all metrics of a gateway in text format, or an empty string if it does not respond.
    pub async fn metrics(&self, metrics: SocketAddr) -> String {
        let request = HttpRequest::get(metrics, "/metrics");
        let Ok(answer) = self.client.exchange(request, CALL_TIMEOUT).await else {
            return String::new();
        };
        String::from_utf8_lossy(&answer.body).into_owned()
    }

    /// Returns the value of a gateway's metric, where `name` includes its labels; 0 if the gateway does not report it.
    pub async fn metric_value(&self, metrics: SocketAddr, name: &str) -> f64 {
        let text = self.metrics(metrics).await;
        let mut lines = text.lines();
        let line = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.and_then(|value| value.parse().ok()).unwrap_or(0.0)
    }

    /// Whether a gateway's readiness endpoint responds with 200.
    pub async fn is_ready(&self, ready: SocketAddr) -> bool {
        let request = HttpRequest::get(ready, "/v1/ready");
        let answer = self.client.exchange(request, CALL_TIMEOUT).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }
}

/// Returns the value of the header that names the parts of a prompt.
fn prompt_text(parts: &[(u64, u32)]) -> String {
    let part_texts: Vec<String> = parts
        .iter()
        .map(|(part, tokens)| format!("{part:x}:{tokens}"))
        .collect();
    part_texts.join(",")
}

/// Returns the headers of an item with this prompt.
fn prompt_headers(parts: &[(u64, u32)]) -> BTreeMap<String, String> {
    let prompt = (!parts.is_empty()).then(|| (headers::PROMPT.to_owned(), prompt_text(parts)));
    prompt.into_iter().collect()
}

/// Identifier of the item with index `item` in a job.
pub fn item_id(job: &str, item: usize) -> String {
    format!("{job}-item-{item}")
}

/// Body of the item with index `item` in a job that [`PlatformCaller::submit`] submits.
pub fn item_body(job: &str, item: usize) -> String {
    format!("body of {job}/{item}")
}
