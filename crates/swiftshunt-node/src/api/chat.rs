//! `POST /v1/chat/completions` and `POST /v1/completions`.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use serde_json::Value;
use swiftshunt_backends::engine::TokenEvent;
use swiftshunt_config::Pool;
use swiftshunt_http::{Call, Reply};
use swiftshunt_types::{ErrorKind, Failure, ModelName, Monotonic, RequestId};

use super::auth::admit;
use crate::clock::unix_seconds;
use crate::context::{Context, random_u64};
use crate::lifecycle::InProgress;
use crate::online::{
    AnswerRequest, AnswerStream, ChatRequest, CompletionRequest, chat_chunk, chat_completion,
    chat_usage_chunk, collect, completion_chunk, start, text_completion,
};

/// Header that states how long the caller waits for the answer, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Answers a chat request, in one body or as a stream.
pub(super) async fn chat(context: Arc<Context>, mut call: Call) -> Result<Reply, Failure> {
    let admitted = admit(&context, &call)?;
    let body: ChatRequest = call.json(context.settings.limits.body_bytes).await?;
    let (prompt, max_tokens) = (body.prompt()?, body.token_limit()?);
    let request = answer_request(&context, &call, &body.model, prompt, max_tokens)?;
    let (id, prompt) = (request.id.0.clone(), request.prompt.clone());
    let created = unix_seconds();
    let model = body.model.clone();
    let answer = start(&context, request).await?;
    if !body.stream {
        let answer_text = collect(answer).await?;
        let completion = chat_completion(&id, created, &model, &prompt, &answer_text);
        return Ok(Reply::json(&completion));
    }
    let includes_usage = body.includes_usage();
    let render = move |event: &TokenEvent| {
        let mut chunks = vec![chat_chunk(&id, created, &model, event)];
        if includes_usage && event.finish.is_some() {
            chunks.push(chat_usage_chunk(&id, created, &model, &prompt, event.index));
        }
        chunks
    };
    Ok(event_stream(answer, render, admitted.in_progress))
}

/// Answers a completion request, in one body or as a stream.
pub(super) async fn completions(context: Arc<Context>, mut call: Call) -> Result<Reply, Failure> {
    let admitted = admit(&context, &call)?;
    let body: CompletionRequest = call.json(context.settings.limits.body_bytes).await?;
    let max_tokens = body.token_limit()?;
    let prompt = body.prompt.clone();
    let request = answer_request(&context, &call, &body.model, prompt, max_tokens)?;
    let id = request.id.0.clone();
    let created = unix_seconds();
    let model = body.model.clone();
    let answer = start(&context, request).await?;
    if !body.stream {
        let answer_text = collect(answer).await?;
        let completion = text_completion(&id, created, &model, &body.prompt, &answer_text);
        return Ok(Reply::json(&completion));
    }
    let render = move |event: &TokenEvent| vec![completion_chunk(&id, created, &model, event)];
    Ok(event_stream(answer, render, admitted.in_progress))
}

fn answer_request(
    context: &Context,
    call: &Call,
    model: &ModelName,
    prompt: String,
    max_tokens: u32,
) -> Result<AnswerRequest, Failure> {
    let pool = pool_of_model(context, model)?;
    context.metrics.online_requests.inc();
    Ok(AnswerRequest {
        id: RequestId(format!("{:016x}", random_u64())),
        pool: pool.name,
        model: model.clone(),
        prompt,
        max_tokens,
        deadline: deadline(context, call)?,
    })
}

/// Returns the pool that serves the model; `ModelNotFound` if there is none.
fn pool_of_model(context: &Context, model: &ModelName) -> Result<Pool, Failure> {
    let history = context.configuration.borrow();
    let pool = history.configuration.pool_of_model(model).cloned();
    pool.ok_or_else(|| {
        let message = format!("the model `{model}` is not served here");
        Failure::not_run(ErrorKind::ModelNotFound, message).with_param("model")
    })
}

/// When the caller stops waiting; `None` without the header [`TIMEOUT_HEADER`].
pub(super) fn deadline(context: &Context, call: &Call) -> Result<Option<Monotonic>, Failure> {
    let Some(text) = call.header(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let milliseconds: u64 = text.parse().map_err(|_| {
        let message = format!("`{TIMEOUT_HEADER}` must be a whole number of milliseconds");
        Failure::not_run(ErrorKind::InvalidRequest, message).with_param(TIMEOUT_HEADER)
    })?;
    Ok(Some(
        context.clock.now() + Duration::from_millis(milliseconds),
    ))
}

/// Streams an answer as server-sent events. `[DONE]` follows the last token; after a failure the last
/// event is the error. The request counts as in progress until the stream is dropped.
fn event_stream(
    answer: AnswerStream,
    render: impl Fn(&TokenEvent) -> Vec<Value> + Send + 'static,
    in_progress: InProgress,
) -> Reply {
    let state = (answer, render, in_progress, false);
    let events = stream::unfold(
        state,
        |(mut answer, render, in_progress, ended)| async move {
            if ended {
                return None;
            }
            let event = answer.events.recv().await?;
            let (text, ended) = match event {
                Ok(event) => {
                    let mut text = String::new();
                    for chunk in render(&event) {
                        push_event(&mut text, &chunk.to_string());
                    }
                    if event.finish.is_some() {
                        push_event(&mut text, "[DONE]");
                    }
                    (text, event.finish.is_some())
                }
                Err(failure) => {
                    let mut text = String::new();
                    let envelope = serde_json::to_string(&failure.envelope()).unwrap_or_default();
                    push_event(&mut text, &envelope);
                    (text, true)
                }
            };
            Some((Ok(Bytes::from(text)), (answer, render, in_progress, ended)))
        },
    );
    Reply::events(events.boxed())
}

fn push_event(text: &mut String, data: &str) {
    text.push_str("data: ");
    text.push_str(data);
    text.push_str("\n\n");
}
