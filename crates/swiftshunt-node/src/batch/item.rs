//! Execution of one item of a job: acquires a slot, generates the answer, builds the result line. A
//! stream that is preempted or fails resumes after its last token in the next slot.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::{Value, json};
use swiftshunt_backends::engine::{EngineError, FinishReason, GenerateRequest, TokenEvent};
use swiftshunt_http::SendPermit;
use swiftshunt_types::{ErrorKind, Failure, PoolName, Priority, RequestId, SoftwareVersion};
use tokio_util::sync::CancellationToken;

use super::files::ItemResult;
use super::slots::Slot;
use crate::context::Context;
use crate::ledger::LeaseClock;
use crate::online::AnswerText;
use crate::online::{ChatRequest, CompletionRequest, chat_completion, text_completion};

/// Timeout for an engine to accept a request and send the response head.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one cancel call to an engine.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before an item waits for another slot after an engine failed to accept it.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay before an expired lease is checked again.
const LEASE_RECHECK_DELAY: Duration = Duration::from_millis(50);
/// Timeout for the next token. It is long because engines pause batch streams in favour of online
/// requests.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(10);

/// One line of a job's input.
#[derive(Clone, Debug, Deserialize)]
struct ItemLine {
    custom_id: String,
    #[serde(default)]
    url: Option<String>,
    body: Value,
}

/// A parsed item.
#[derive(Clone, Debug)]
pub(super) struct Item {
    index: u32,
    custom_id: String,
    request: GenerateRequest,
    pool: PoolName,
    is_chat: bool,
}

/// State that the items of a job share.
pub(super) struct ItemRunner {
    pub(super) context: Arc<Context>,
    pub(super) job: swiftshunt_types::JobId,
    /// Endpoint of items whose line names none.
    pub(super) endpoint: String,
    /// Deadline of the job in seconds of Unix time.
    pub(super) deadline: u64,
    /// Creation time of the job in seconds of Unix time.
    pub(super) created: u64,
    pub(super) lease: LeaseClock,
    pub(super) stopped: CancellationToken,
}

/// How the use of one slot ended.
enum SlotOutcome {
    Completed(FinishReason),
    /// The slot was preempted, the lease had expired or the engine failed. The tokens received so far
    /// are kept.
    Interrupted,
    /// The engine rejected the request as invalid, for the given reason.
    Refused(String),
    /// The job or the leadership ended.
    Stopped,
}

impl ItemRunner {
    /// Runs one line of the input; `None` if the job or the leadership ended first. `remaining` is the
    /// number of items that were incomplete when the job started on this node.
    pub(super) async fn run(&self, index: u32, line: &str, remaining: u32) -> Option<ItemResult> {
        match self.parse(index, line) {
            Ok(item) => self.run_item(item, remaining).await,
            Err((custom_id, failure)) => {
                Some(refused_result(&self.job, index, &custom_id, &failure))
            }
        }
    }

    fn parse(&self, index: u32, line: &str) -> Result<Item, (String, Failure)> {
        let invalid = |reason: String| Failure::not_run(ErrorKind::InvalidRequest, reason);
        let parsed: ItemLine = serde_json::from_str(line).map_err(|error| {
            (
                String::new(),
                invalid(format!("line {}: {error}", index + 1)),
            )
        })?;
        let custom_id = parsed.custom_id.clone();
        let endpoint = parsed.url.as_deref().unwrap_or(&self.endpoint);
        let built = self.build(index, &custom_id, endpoint, parsed.body);
        built.map_err(|failure| (custom_id, failure))
    }

    fn build(
        &self,
        index: u32,
        custom_id: &str,
        endpoint: &str,
        body: Value,
    ) -> Result<Item, Failure> {
        let malformed = |error: serde_json::Error| {
            Failure::not_run(ErrorKind::InvalidRequest, error.to_string())
        };
        let is_chat = endpoint.ends_with("/chat/completions");
        let (model, prompt, max_tokens) = if is_chat {
            let request: ChatRequest = serde_json::from_value(body).map_err(malformed)?;
            let (prompt, limit) = (request.prompt()?, request.token_limit()?);
            (request.model, prompt, limit)
        } else {
            let request: CompletionRequest = serde_json::from_value(body).map_err(malformed)?;
            let limit = request.token_limit()?;
            (request.model, request.prompt, limit)
        };
        let pool = {
            let history = self.context.configuration.borrow();
            let pool = history.configuration.pool_of_model(&model);
            pool.map(|pool| pool.name.clone())
        };
        let pool = pool.ok_or_else(|| {
            Failure::not_run(ErrorKind::ModelNotFound, format!("no model `{model}`"))
        })?;
        Ok(Item {
            index,
            custom_id: custom_id.to_owned(),
            request: GenerateRequest {
                request: RequestId(format!("{}-{index}", self.job)),
                model,
                prompt,
                max_tokens,
                priority: Priority::Batch,
                resume_from: 0,
                software: None,
            },
            pool,
            is_chat,
        })
    }

    async fn run_item(&self, item: Item, remaining: u32) -> Option<ItemResult> {
        let mut partial = PartialAnswer::empty();
        loop {
            let slot = tokio::select! {
                slot = self.context.batch.acquire(&self.job, &item.pool, self.deadline, remaining) => slot?,
                () = self.stopped.cancelled() => return None,
            };
            match self.run_in_slot(&item, &slot, &mut partial).await {
                SlotOutcome::Completed(finish) => {
                    partial.answer.finish = finish;
                    return Some(self.result(&item, &partial.answer));
                }
                SlotOutcome::Interrupted => {}
                SlotOutcome::Stopped => return None,
                SlotOutcome::Refused(reason) => {
                    let failure = Failure::not_run(ErrorKind::InvalidRequest, reason);
                    return Some(refused_result(
                        &self.job,
                        item.index,
                        &item.custom_id,
                        &failure,
                    ));
                }
            }
        }
    }

    /// Generates in one slot until the answer is complete or the slot is lost.
    async fn run_in_slot(
        &self,
        item: &Item,
        slot: &Slot,
        partial: &mut PartialAnswer,
    ) -> SlotOutcome {
        let request = GenerateRequest {
            resume_from: partial.answer.tokens,
            software: partial.software.clone(),
            ..item.request.clone()
        };
        if self.stopped.is_cancelled() {
            return SlotOutcome::Stopped;
        }
        // An expired lease may still be renewed; otherwise the leadership ends and cancels `stopped`.
        if !self.lease.is_valid(self.context.clock.now()) {
            tokio::time::sleep(LEASE_RECHECK_DELAY).await;
            return SlotOutcome::Interrupted;
        }
        let engines = &self.context.engines;
        let opened = engines
            .generate(slot.address, &request, self.permit(), RESPONSE_HEAD_TIMEOUT)
            .await;
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(EngineError::Refused { reason }) => return SlotOutcome::Refused(reason),
            Err(EngineError::OtherSoftware { reason }) => {
                log::info!(item = request.request.as_str(), worker = slot.worker.as_str(),
                    tokens = partial.answer.tokens, reason; "an item begins anew at an engine of another version");
                *partial = PartialAnswer::empty();
                return SlotOutcome::Interrupted;
            }
            Err(_) => {
                tokio::time::sleep(FAILURE_RETRY_DELAY).await;
                return SlotOutcome::Interrupted;
            }
        };
        loop {
            let received = tokio::select! {
                received = tokio::time::timeout(TOKEN_TIMEOUT, stream.next()) => received,
                () = slot.preempted.cancelled() => {
                    self.cancel(slot, &request.request).await;
                    return SlotOutcome::Interrupted;
                }
                () = self.stopped.cancelled() => {
                    self.cancel(slot, &request.request).await;
                    return SlotOutcome::Stopped;
                }
            };
            let Ok(Some(Ok(event))) = received else {
                return SlotOutcome::Interrupted;
            };
            match apply_event(&event, &request.request, partial) {
                EventEffect::Continue => {}
                EventEffect::Finished(finish) => return SlotOutcome::Completed(finish),
                EventEffect::Unusable => return SlotOutcome::Interrupted,
            }
        }
    }

    /// Permits the send only while the job runs and the lease is valid: a process that is suspended
    /// before the send, while another leader takes over or the job is cancelled, must not start the item.
    fn permit(&self) -> SendPermit {
        let clock = self.context.clock;
        let lease = self.lease.clone();
        let stopped = self.stopped.clone();
        SendPermit::while_true(move || !stopped.is_cancelled() && lease.is_valid(clock.now()))
    }

    async fn cancel(&self, slot: &Slot, request: &RequestId) {
        let engines = &self.context.engines;
        drop(engines.cancel(slot.address, request, CANCEL_TIMEOUT).await);
    }

    fn result(&self, item: &Item, answer: &AnswerText) -> ItemResult {
        let request = &item.request;
        let id = request.request.as_str();
        let render = if item.is_chat {
            chat_completion
        } else {
            text_completion
        };
        let body = render(id, self.created, &request.model, &request.prompt, answer);
        let line = json!({
            "id": format!("batch_req_{id}"),
            "custom_id": item.custom_id,
            "response": { "status_code": 200, "request_id": id, "body": body },
            "error": null,
        });
        ItemResult {
            index: item.index,
            line: line.to_string(),
        }
    }
}

/// The tokens of an item so far, and the version that generated them.
struct PartialAnswer {
    answer: AnswerText,
    /// Software version of the engine; `None` without tokens, and if the engine names none.
    software: Option<SoftwareVersion>,
}

impl PartialAnswer {
    fn empty() -> Self {
        Self {
            answer: AnswerText::empty(),
            software: None,
        }
    }
}

/// Effect of an event on the partial answer.
enum EventEffect {
    Continue,
    Finished(FinishReason),
    /// The event belongs to another request, leaves a gap or reports a cancellation.
    Unusable,
}

/// Appends the token of an event to the partial answer if it is the next one. A repeated token is skipped.
fn apply_event(
    event: &TokenEvent,
    request: &RequestId,
    partial: &mut PartialAnswer,
) -> EventEffect {
    let PartialAnswer { answer, software } = partial;
    if event.request != *request || event.index > answer.tokens {
        return EventEffect::Unusable;
    }
    match event.finish {
        Some(FinishReason::Cancelled) => EventEffect::Unusable,
        Some(finish) if event.index == answer.tokens => EventEffect::Finished(finish),
        None if event.index == answer.tokens => {
            answer.text.push_str(&event.text);
            answer.tokens += 1;
            if software.is_none() {
                software.clone_from(&event.software);
            }
            EventEffect::Continue
        }
        _ => EventEffect::Continue,
    }
}

fn refused_result(
    job: &swiftshunt_types::JobId,
    index: u32,
    custom_id: &str,
    failure: &Failure,
) -> ItemResult {
    let line = json!({
        "id": format!("batch_req_{job}-{index}"),
        "custom_id": custom_id,
        "response": {
            "status_code": failure.kind.status(),
            "request_id": format!("{job}-{index}"),
            "body": failure.envelope(),
        },
        "error": { "code": failure.kind.code(), "message": failure.message },
    });
    ItemResult {
        index,
        line: line.to_string(),
    }
}
