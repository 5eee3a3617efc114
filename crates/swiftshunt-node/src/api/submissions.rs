//! `POST /v1/submissions` and `GET /v1/submissions/{id}`.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::{Value, json};
use swiftshunt_config::PoolKind;
use swiftshunt_http::{Call, Reply};
use swiftshunt_ledger::state::{Submission, SubmissionResult, SubmissionStatus};
use swiftshunt_types::{ErrorKind, Failure, PoolName, SubmissionId, TenantName};

use super::auth::{admit_with_identifier, tenant};
use super::chat::deadline;
use crate::context::Context;
use crate::lifecycle::Stage;
use crate::submissions::{self, SubmitRequest};

/// Header with the idempotency key.
pub(super) const KEY_HEADER: &str = "idempotency-key";
/// Limit of the length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Body of a submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmissionBody {
    /// The pool whose workers execute the submission.
    pool: PoolName,
    /// The request body that the worker receives.
    input: Value,
    /// Whether the submission may be sent to a worker more than once, under the same identifier.
    #[serde(default = "repeatable_by_default")]
    repeatable: bool,
}

fn repeatable_by_default() -> bool {
    true
}

/// Accepts a submission and answers with its result, or with 202 if it is not known in time.
pub(super) async fn submit(context: Arc<Context>, mut call: Call) -> Result<Reply, Failure> {
    // Counted before the node's stage is checked, so that a stop waits for a refusal as well.
    let in_progress = context.lifecycle.start_request();
    let admitted = match admit_with_identifier(&context, &call) {
        Ok(admitted) => admitted,
        Err(refusal) => return answer_refused(&context, &mut call, refusal).await,
    };
    let request = submit_request(&context, &mut call, admitted.tenant.name.clone()).await?;
    if let Err(refusal) = check_pool(&context, &request.pool) {
        return answer_accepted(&context, &request, refusal).await;
    }
    let (id, result) = submissions::submit(&context, request).await?;
    drop((admitted, in_progress));
    Ok(render(&id, result.as_ref()))
}

/// Answers a submission that is not admitted: a stopping node still looks up whether an earlier request
/// with the key was accepted. Other refusals promise nothing about earlier requests.
async fn answer_refused(
    context: &Context,
    call: &mut Call,
    refusal: Failure,
) -> Result<Reply, Failure> {
    if context.lifecycle.stage() != Stage::Draining || refusal.kind != ErrorKind::Unavailable {
        return Err(refusal);
    }
    let tenant = tenant(context, call)?.name;
    let request = submit_request(context, call, tenant).await?;
    answer_accepted(context, &request, refusal).await
}

/// Answers with the state of the submission if an earlier request with the key was accepted, and
/// otherwise with the refusal. The refusal says `not_run` only if the ledger confirms that none was.
async fn answer_accepted(
    context: &Context,
    request: &SubmitRequest,
    refusal: Failure,
) -> Result<Reply, Failure> {
    match submissions::find_accepted(context, request).await {
        Ok(Some(submission)) => Ok(render_submission(&submission)),
        Ok(None) => Err(refusal.with_no_execution()),
        Err(failure) if failure.kind == ErrorKind::KeyReused => Err(failure),
        Err(failure) => {
            log::info!(refusal:% = refusal, failure:% = failure;
                "cannot look up whether a refused submission was accepted before");
            Err(refusal.with_unknown_execution())
        }
    }
}

/// Reads the request of a tenant from a call.
async fn submit_request(
    context: &Context,
    call: &mut Call,
    tenant: TenantName,
) -> Result<SubmitRequest, Failure> {
    let key = idempotency_key(call)?;
    let body: SubmissionBody = call.json(context.settings.limits.body_bytes).await?;
    let longest_wait = context.settings.limits.submission_wait;
    let now = context.clock.now();
    let caller_wait = deadline(context, call)?.map(|deadline| deadline.saturating_sub(now));
    Ok(SubmitRequest {
        tenant,
        key,
        pool: body.pool,
        body: body.input.to_string(),
        repeatable: body.repeatable,
        wait: caller_wait.map_or(longest_wait, |caller_wait| caller_wait.min(longest_wait)),
    })
}

/// Answers with the state of a submission of the tenant.
pub(super) async fn read(context: Arc<Context>, call: Call) -> Result<Reply, Failure> {
    let admitted = admit_with_identifier(&context, &call)?;
    let id = SubmissionId(call.path_parameter("id")?);
    let submission = submissions::read(&context, &admitted.tenant.name, &id).await?;
    Ok(render_submission(&submission))
}

fn render_submission(submission: &Submission) -> Reply {
    let result = match &submission.status {
        SubmissionStatus::Completed(result) => Some(result),
        SubmissionStatus::Accepted | SubmissionStatus::Dispatched(_) => None,
    };
    render(&submission.request.id, result)
}

/// Builds the answer from recorded state alone, so that all nodes answer with the same bytes.
fn render(id: &SubmissionId, result: Option<&SubmissionResult>) -> Reply {
    let object = |status: &str, result: Value| json!({ "id": id, "object": "submission", "status": status, "result": result });
    match result {
        None => Reply::json(&object("in_progress", Value::Null)).with_status(202),
        Some(SubmissionResult::Answered { status, body }) => {
            let result = json!({ "status": status, "body": body });
            Reply::json(&object("completed", result))
        }
        Some(SubmissionResult::OutcomeUnknown) => Reply::failure(&Failure::unknown(
            ErrorKind::WorkerFailed,
            format!("submission `{id}` was sent once and may have run; it is not repeatable"),
        )),
        Some(SubmissionResult::NotRun { reason }) => Reply::failure(&Failure::not_run(
            ErrorKind::WorkerFailed,
            format!("submission `{id}` did not run: {reason}"),
        )),
    }
}

pub(super) fn idempotency_key(call: &Call) -> Result<String, Failure> {
    let key = call.header(KEY_HEADER).map(str::trim).unwrap_or_default();
    if key.is_empty() {
        let message = "the header `Idempotency-Key` is required";
        return Err(invalid_key(message));
    }
    if key.len() > MAX_KEY_BYTES {
        return Err(invalid_key("the idempotency key is longer than 255 bytes"));
    }
    Ok(key.to_owned())
}

fn invalid_key(message: &str) -> Failure {
    Failure::not_run(ErrorKind::InvalidRequest, message).with_param("Idempotency-Key")
}

fn check_pool(context: &Context, name: &PoolName) -> Result<(), Failure> {
    let history = context.configuration.borrow();
    let pool = history.configuration.pool(name);
    if pool.is_some_and(|pool| pool.kind == PoolKind::Submission) {
        return Ok(());
    }
    let message = format!("`{name}` is not a pool that takes submissions");
    Err(Failure::not_run(ErrorKind::NotFound, message).with_param("pool"))
}
