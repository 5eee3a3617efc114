//! Request and response bodies of the OpenAI-compatible interface.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use swiftshunt_backends::engine::{FinishReason, TokenEvent};
use swiftshunt_types::{ErrorKind, Failure, ModelName};

use super::answer::AnswerText;

/// Token limit of requests that set none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Highest token limit that a request may set.
const MAX_TOKENS_LIMIT: u32 = 32_768;

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) model: ModelName,
    pub(crate) messages: Vec<ChatMessage>,
    #[serde(default)]
    pub(crate) max_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) max_completion_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) stream_options: Option<StreamOptions>,
}

/// Options of a streamed answer.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct StreamOptions {
    #[serde(default)]
    pub(crate) include_usage: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ChatMessage {
    role: String,
    #[serde(default)]
    content: Option<Content>,
}

/// Content of a message: plain text, or a list of parts, all of which must be of type `text`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct ContentPart {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    text: String,
}

impl ChatRequest {
    /// The messages as one prompt, a line `role: text` for each.
    pub(crate) fn prompt(&self) -> Result<String, Failure> {
        if self.messages.is_empty() {
            return Err(invalid("messages", "must hold at least one message"));
        }
        let mut prompt = String::new();
        for message in &self.messages {
            prompt.push_str(&message.role);
            prompt.push_str(": ");
            prompt.push_str(&message.text()?);
            prompt.push('\n');
        }
        Ok(prompt)
    }

    pub(crate) fn token_limit(&self) -> Result<u32, Failure> {
        token_limit(self.max_completion_tokens.or(self.max_tokens))
    }

    pub(crate) fn includes_usage(&self) -> bool {
        self.stream_options.unwrap_or_default().include_usage
    }
}

impl ChatMessage {
    fn text(&self) -> Result<String, Failure> {
        match &self.content {
            None => Ok(String::new()),
            Some(Content::Text(text)) => Ok(text.clone()),
            Some(Content::Parts(parts)) => {
                if parts.iter().any(|part| part.kind != "text") {
                    return Err(invalid("messages", "only text content is served"));
                }
                Ok(parts.iter().map(|part| part.text.as_str()).collect())
            }
        }
    }
}

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CompletionRequest {
    pub(crate) model: ModelName,
    pub(crate) prompt: String,
    #[serde(default)]
    pub(crate) max_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) stream: bool,
}

impl CompletionRequest {
    pub(crate) fn token_limit(&self) -> Result<u32, Failure> {
        token_limit(self.max_tokens)
    }
}

/// The requested token limit or the default; fails if it is 0 or above [`MAX_TOKENS_LIMIT`].
fn token_limit(requested: Option<u32>) -> Result<u32, Failure> {
    let limit = requested.unwrap_or(DEFAULT_MAX_TOKENS);
    if limit == 0 || limit > MAX_TOKENS_LIMIT {
        let reason = format!("must be between 1 and {MAX_TOKENS_LIMIT}");
        return Err(invalid("max_tokens", &reason));
    }
    Ok(limit)
}

fn invalid(param: &str, reason: &str) -> Failure {
    let message = format!("`{param}` {reason}");
    Failure::not_run(ErrorKind::InvalidRequest, message).with_param(param)
}

fn finish_name(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Length => "length",
        FinishReason::Stop | FinishReason::Cancelled => "stop",
    }
}

/// Approximates the number of prompt tokens by the number of words, as no tokeniser is available.
fn prompt_tokens(prompt: &str) -> usize {
    prompt.split_whitespace().count()
}

fn usage(prompt: &str, completion_tokens: u32) -> Value {
    let prompt_tokens = prompt_tokens(prompt);
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens as usize,
    })
}

/// Response body of a chat request that is not streamed.
pub(crate) fn chat_completion(
    id: &str,
    created: u64,
    model: &ModelName,
    prompt: &str,
    answer: &AnswerText,
) -> Value {
    json!({
        "id": format!("chatcmpl-{id}"),
        "object": "chat.completion",
        "created": created,
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": answer.text },
            "logprobs": null,
            "finish_reason": finish_name(answer.finish),
        }],
        "usage": usage(prompt, answer.tokens),
    })
}

/// Response body of a completion request that is not streamed.
pub(crate) fn text_completion(
    id: &str,
    created: u64,
    model: &ModelName,
    prompt: &str,
    answer: &AnswerText,
) -> Value {
    json!({
        "id": format!("cmpl-{id}"),
        "object": "text_completion",
        "created": created,
        "model": model,
        "choices": [{
            "index": 0,
            "text": answer.text,
            "logprobs": null,
            "finish_reason": finish_name(answer.finish),
        }],
        "usage": usage(prompt, answer.tokens),
    })
}

/// One chunk of a streamed chat answer.
pub(crate) fn chat_chunk(id: &str, created: u64, model: &ModelName, event: &TokenEvent) -> Value {
    let mut delta = json!({});
    if event.index == 0 {
        delta["role"] = json!("assistant");
    }
    if event.finish.is_none() {
        delta["content"] = json!(event.text);
    }
    json!({
        "id": format!("chatcmpl-{id}"),
        "object": "chat.completion.chunk",
        "created": created,
        "model": model,
        "choices": [{
            "index": 0,
            "delta": delta,
            "logprobs": null,
            "finish_reason": event.finish.map(finish_name),
        }],
    })
}

/// The final chunk of a streamed chat answer, for requests that set `include_usage`.
pub(crate) fn chat_usage_chunk(
    id: &str,
    created: u64,
    model: &ModelName,
    prompt: &str,
    tokens: u32,
) -> Value {
    json!({
        "id": format!("chatcmpl-{id}"),
        "object": "chat.completion.chunk",
        "created": created,
        "model": model,
        "choices": [],
        "usage": usage(prompt, tokens),
    })
}

/// One chunk of a streamed completion.
pub(crate) fn completion_chunk(
    id: &str,
    created: u64,
    model: &ModelName,
    event: &TokenEvent,
) -> Value {
    json!({
        "id": format!("cmpl-{id}"),
        "object": "text_completion",
        "created": created,
        "model": model,
        "choices": [{
            "index": 0,
            "text": event.text,
            "logprobs": null,
            "finish_reason": event.finish.map(finish_name),
        }],
    })
}
