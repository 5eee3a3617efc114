//! Client of the caller and operator APIs, which sends what an off-the-shelf client would send.

use std::net::SocketAddr;
use std::time::Duration;

use eventsource_stream::EventStream;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use swiftshunt_http::{HttpAnswer, HttpClient, HttpError, HttpRequest, JSON, retry_after};

/// Longest time for a whole response; for a stream, for the start of the response.
const TIMEOUT: Duration = Duration::from_secs(60);
const BOUNDARY: &str = "swiftshunt-lab-boundary";

/// An API client that authenticates with a bearer token.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    token: String,
}

/// A whole response of the API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiAnswer {
    /// The HTTP status of the response.
    pub status: u16,
    /// The body as text; invalid UTF-8 is replaced.
    pub body: String,
    /// Value of `Retry-After` in seconds; `None` without the header.
    pub retry_after: Option<u64>,
}

impl ApiAnswer {
    /// Parses the body as JSON; `Null` if the body is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Returns `error.execution` of the body; `None` if the body is not an error.
    pub fn execution(&self) -> Option<String> {
        Some(self.json()["error"]["execution"].as_str()?.to_owned())
    }

    /// Returns `error.code` of the body; `None` if the body is not an error.
    pub fn code(&self) -> Option<String> {
        Some(self.json()["error"]["code"].as_str()?.to_owned())
    }
}

/// A streamed chat completion, read until the stream ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamedAnswer {
    /// The concatenated text of all chunks.
    pub text: String,
    /// Number of chunks that carried text.
    pub chunks: usize,
    /// The finish reason; `None` if no chunk carried one.
    pub finish_reason: Option<String>,
    /// Whether the stream contained `[DONE]`.
    pub is_complete: bool,
    /// The last error event; `None` if the stream contained none.
    pub error: Option<Value>,
    /// Time from sending the request to the first chunk with text; `None` without such a chunk.
    pub time_to_first_token: Option<Duration>,
}

impl Caller {
    /// Creates a client that sends `token` as bearer token with each request.
    pub fn new(token: &str) -> Self {
        Self {
            client: HttpClient::new(None),
            token: token.to_owned(),
        }
    }

    fn authorized(&self, request: HttpRequest) -> HttpRequest {
        request.with_header("authorization", format!("Bearer {}", self.token))
    }

    async fn exchange(&self, request: HttpRequest) -> Result<ApiAnswer, HttpError> {
        let answer = self
            .client
            .exchange(self.authorized(request), TIMEOUT)
            .await?;
        Ok(api_answer(&answer))
    }

    /// Sends a GET request to any path.
    pub async fn get(&self, node: SocketAddr, path: &str) -> Result<ApiAnswer, HttpError> {
        self.exchange(HttpRequest::get(node, path)).await
    }

    /// Sends a POST request with a JSON body to any path.
    pub async fn post(
        &self,
        node: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<ApiAnswer, HttpError> {
        let request = HttpRequest::post(node, path, JSON, body.to_string());
        self.exchange(request).await
    }

    /// Sends a POST request whose body is labelled as JSON but need not be valid, with an optional idempotency
    /// key.
    pub async fn post_text(
        &self,
        node: SocketAddr,
        path: &str,
        body: &str,
        key: Option<&str>,
    ) -> Result<ApiAnswer, HttpError> {
        let mut request = HttpRequest::post(node, path, JSON, body.to_owned());
        if let Some(key) = key {
            request = request.with_header("idempotency-key", key);
        }
        self.exchange(request).await
    }

    /// Requests a chat completion without streaming.
    pub async fn chat(
        &self,
        node: SocketAddr,
        model: &str,
        content: &str,
        max_tokens: u32,
    ) -> Result<ApiAnswer, HttpError> {
        let body = chat_body(model, content, max_tokens, false);
        self.post(node, "/v1/chat/completions", &body).await
    }

    /// Requests a streamed chat completion and reads it to the end.
    ///
    /// A status other than success is [`HttpError::Status`]; a connection that fails during the stream is
    /// [`HttpError::BrokenOff`].
    pub async fn chat_stream(
        &self,
        node: SocketAddr,
        model: &str,
        content: &str,
        max_tokens: u32,
    ) -> Result<StreamedAnswer, HttpError> {
        let body = chat_body(model, content, max_tokens, true);
        let request = HttpRequest::post(node, "/v1/chat/completions", JSON, body.to_string());
        let began = std::time::Instant::now();
        let response = self.client.open(self.authorized(request), TIMEOUT).await?;
        let status = response.status();
        if !status.is_success() {
            let retry_after = retry_after(response.headers());
            let collected = response.into_body().collect().await;
            let body = collected.map(|body| body.to_bytes()).unwrap_or_default();
            return Err(HttpError::Status {
                address: node,
                status: status.as_u16(),
                body: String::from_utf8_lossy(&body).into_owned(),
                retry_after,
            });
        }
        let mut events = EventStream::new(response.into_body().into_data_stream());
        let mut streamed = StreamedAnswer::default();
        while let Some(event) = events.next().await {
            let event = event.map_err(|error| HttpError::BrokenOff {
                address: node,
                reason: error.to_string(),
            })?;
            streamed.add_event(&event.data, began);
        }
        Ok(streamed)
    }

    /// Sends a submission with `key` as idempotency key. `repeatable` permits sending it to a
    /// worker more than once, under the same key.
    pub async fn submit(
        &self,
        node: SocketAddr,
        pool: &str,
        key: &str,
        input: &Value,
        repeatable: bool,
    ) -> Result<ApiAnswer, HttpError> {
        let body = json!({ "pool": pool, "input": input, "repeatable": repeatable });
        let request = HttpRequest::post(node, "/v1/submissions", JSON, body.to_string())
            .with_header("idempotency-key", key);
        self.exchange(request).await
    }

    /// Uploads the items of a batch job. The `id` in the response identifies the file.
    pub async fn upload(&self, node: SocketAddr, lines: &str) -> Result<ApiAnswer, HttpError> {
        let body = format!(
            "--{BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --{BOUNDARY}\r\nContent-Disposition: form-data; name=\"file\"; filename=\"items.jsonl\"\r\n\
             Content-Type: application/jsonl\r\n\r\n{lines}\r\n--{BOUNDARY}--\r\n"
        );
        let content_type = format!("multipart/form-data; boundary={BOUNDARY}");
        self.exchange(HttpRequest::post(node, "/v1/files", &content_type, body))
            .await
    }

    /// Creates a batch job from the uploaded file with the identifier `file`, with an optional idempotency key.
    pub async fn create_batch(
        &self,
        node: SocketAddr,
        file: &str,
        key: Option<&str>,
    ) -> Result<ApiAnswer, HttpError> {
        let body = json!({
            "input_file_id": file,
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        });
        let mut request = HttpRequest::post(node, "/v1/batches", JSON, body.to_string());
        if let Some(key) = key {
            request = request.with_header("idempotency-key", key);
        }
        self.exchange(request).await
    }

    /// Sends an operator statement.
    pub async fn statement(&self, node: SocketAddr, text: &str) -> Result<ApiAnswer, HttpError> {
        let body = json!({ "statement": text });
        self.post(node, "/v1/operator/statements", &body).await
    }

    /// Publishes a fleet configuration that replaces version `base`.
    pub async fn publish(
        &self,
        node: SocketAddr,
        base: u64,
        toml: &str,
    ) -> Result<ApiAnswer, HttpError> {
        let body = json!({ "base": base, "toml": toml });
        self.post(node, "/v1/operator/configuration", &body).await
    }
}

impl StreamedAnswer {
    fn add_event(&mut self, data: &str, began: std::time::Instant) {
        if data == "[DONE]" {
            self.is_complete = true;
            return;
        }
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            return;
        };
        if !chunk["error"].is_null() {
            self.error = Some(chunk["error"].clone());
            return;
        }
        let choice = &chunk["choices"][0];
        if let Some(text) = choice["delta"]["content"].as_str() {
            self.time_to_first_token
                .get_or_insert_with(|| began.elapsed());
            self.text.push_str(text);
            self.chunks += 1;
        }
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(reason.to_owned());
        }
    }
}

fn api_answer(answer: &HttpAnswer) -> ApiAnswer {
    ApiAnswer {
        status: answer.status.as_u16(),
        body: String::from_utf8_lossy(&answer.body).into_owned(),
        retry_after: retry_after(&answer.headers),
    }
}

/// Builds the body of a chat request with one user message.
pub fn chat_body(model: &str, content: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": content }],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

/// Returns the prompt that an engine receives for one user message.
pub fn prompt_for(content: &str) -> String {
    format!("user: {content}\n")
}

/// Builds the items of a batch job as JSON Lines, each a chat request with one user message.
pub fn batch_lines(model: &str, contents: &[String], max_tokens: u32) -> String {
    let lines = contents.iter().enumerate().map(|(index, content)| {
        let line = json!({
            "custom_id": format!("item-{index}"),
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": chat_body(model, content, max_tokens, false),
        });
        format!("{line}\n")
    });
    lines.collect()
}
