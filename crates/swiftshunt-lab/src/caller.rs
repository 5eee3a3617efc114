//! A caller's client: what an off-the-shelf client would send, with the answers as values.

use std::net::SocketAddr;
use std::time::Duration;

use eventsource_stream::EventStream;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use swiftshunt_http::{HttpAnswer, HttpClient, HttpError, HttpRequest, JSON, retry_after};

/// Time for a whole answer.
const TIMEOUT: Duration = Duration::from_secs(60);
const BOUNDARY: &str = "swiftshunt-lab-boundary";

/// A caller with a token.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    token: String,
}

/// An answer as a caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
    /// Seconds of `Retry-After`.
    pub retry_after: Option<u64>,
}

impl ApiAnswer {
    /// The body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// `execution` of the error envelope.
    pub fn execution(&self) -> Option<String> {
        Some(self.json()["error"]["execution"].as_str()?.to_owned())
    }

    /// `code` of the error envelope.
    pub fn code(&self) -> Option<String> {
        Some(self.json()["error"]["code"].as_str()?.to_owned())
    }
}

/// A streamed answer, read to its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamedAnswer {
    /// The text of all chunks.
    pub text: String,
    /// Chunks that carried text.
    pub chunks: usize,
    /// The finish reason.
    pub finish_reason: Option<String>,
    /// Whether `[DONE]` came.
    pub is_complete: bool,
    /// An error event, if one came.
    pub error: Option<Value>,
    /// Time to the first chunk with text.
    pub time_to_first_token: Option<Duration>,
}

impl Caller {
    /// A caller with a bearer token.
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

    /// Any GET.
    pub async fn get(&self, node: SocketAddr, path: &str) -> Result<ApiAnswer, HttpError> {
        self.exchange(HttpRequest::get(node, path)).await
    }

    /// Any POST of JSON.
    pub async fn post(
        &self,
        node: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<ApiAnswer, HttpError> {
        let request = HttpRequest::post(node, path, JSON, body.to_string());
        self.exchange(request).await
    }

    /// Any POST of text that claims to be JSON, with an idempotency key if one is given.
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

    /// A chat answer in one piece.
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

    /// A chat answer as a stream.
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

    /// A submission.
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

    /// Uploads the items of a job and returns the file's identifier.
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

    /// Creates a job over an uploaded file.
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

    /// An operator statement.
    pub async fn statement(&self, node: SocketAddr, text: &str) -> Result<ApiAnswer, HttpError> {
        let body = json!({ "statement": text });
        self.post(node, "/v1/operator/statements", &body).await
    }

    /// Publishes a fleet configuration.
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

/// Body of a chat request with one user message.
pub fn chat_body(model: &str, content: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": content }],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

/// The prompt that an engine sees for one user message.
pub fn prompt_for(content: &str) -> String {
    format!("user: {content}\n")
}

/// Items of a job, one a line, each a chat with one user message.
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
