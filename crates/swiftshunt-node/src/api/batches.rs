//! `/v1/batches`: creates, reads, lists and cancels batch jobs of a tenant.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::{Value, json};
use swiftshunt_http::{Call, Reply};
use swiftshunt_ledger::state::{
    CancelOutcome, Command, Job, JobOutcome, JobStatus, NewJob, Outcome,
};
use swiftshunt_types::{ErrorKind, Failure, FileId, JobId, PartitionId, TenantName, partition_of};

use super::auth::{admit, admit_with_identifier};
use super::files::own_file;
use super::new_job_id::NewJobId;
use super::submissions::{KEY_HEADER, idempotency_key};
use crate::clock::unix_seconds;
use crate::context::Context;
use crate::ledger::{self, CallFailure};
use crate::peer::{LedgerAnswer, LedgerOperation, LedgerQuery};

/// Endpoints that a job may name.
const ENDPOINTS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];
/// Prefix of the identifier of a job's output file; the job's identifier follows.
const OUTPUT_PREFIX: &str = "file-output-";

/// Body of `POST /v1/batches`.
#[derive(Debug, Deserialize)]
struct BatchBody {
    input_file_id: FileId,
    endpoint: String,
    completion_window: String,
}

/// Creates a job. Repeated requests of a tenant with one idempotency key create a single job.
pub(super) async fn create(context: Arc<Context>, mut call: Call) -> Result<Reply, Failure> {
    let has_key = call.header(KEY_HEADER).is_some();
    let admitted = if has_key {
        admit_with_identifier(&context, &call)?
    } else {
        admit(&context, &call)?
    };
    let tenant = admitted.tenant.name.clone();
    let id = if has_key {
        NewJobId::Derived(JobId::derive(&tenant, &idempotency_key(&call)?))
    } else {
        NewJobId::generate()
    };
    let body: BatchBody = call.json(context.settings.limits.body_bytes).await?;
    if !ENDPOINTS.contains(&body.endpoint.as_str()) {
        let message = format!("`endpoint` must be one of {}", ENDPOINTS.join(", "));
        return Err(Failure::not_run(ErrorKind::InvalidRequest, message).with_param("endpoint"));
    }
    let window = completion_window(&body.completion_window)?;
    let job = create_job(
        &context,
        id,
        &tenant,
        &body.input_file_id,
        &body.endpoint,
        window,
    );
    Ok(Reply::json(&render(&job.await?)))
}

/// Creates a job for an uploaded file of the tenant; its deadline is `window` from the current time.
/// Fails with `KeyReused` if the identifier belongs to a different job.
pub(crate) async fn create_job(
    context: &Context,
    new_id: NewJobId,
    tenant: &TenantName,
    input: &FileId,
    endpoint: &str,
    window: Duration,
) -> Result<Job, Failure> {
    let id = new_id.id();
    let file = own_file(context, tenant, input).await;
    let file = file.map_err(|failure| new_id.refuse(failure))?;
    let created = unix_seconds();
    let request = NewJob {
        id: id.clone(),
        tenant: tenant.clone(),
        input: input.clone(),
        output: FileId(format!("{OUTPUT_PREFIX}{id}")),
        endpoint: endpoint.to_owned(),
        items: file.lines,
        model: None,
        deadline: created + window.as_secs(),
        created,
    };
    let created = propose(context, id, Command::CreateJob(request)).await;
    let outcome = created.map_err(|failed| new_id.to_failure(failed))?;
    if matches!(outcome, Outcome::Job(JobOutcome::KeyReused)) {
        let message = "the idempotency key was used for another job";
        let failure = Failure::not_run(ErrorKind::KeyReused, message);
        return Err(failure.with_param("Idempotency-Key"));
    }
    find(context, id).await
}

/// Answers with a job of the tenant.
pub(super) async fn read(context: Arc<Context>, call: Call) -> Result<Reply, Failure> {
    let admitted = admit_with_identifier(&context, &call)?;
    let id = JobId(call.path_parameter("id")?);
    let job = find_own(&context, &admitted.tenant.name, &id).await?;
    Ok(Reply::json(&render(&job)))
}

/// Answers with the tenant's jobs.
pub(super) async fn list(context: Arc<Context>, call: Call) -> Result<Reply, Failure> {
    let admitted = admit(&context, &call)?;
    let jobs = crate::operator::all_jobs(&context).await;
    let own = jobs
        .iter()
        .filter(|job| job.request.tenant == admitted.tenant.name);
    let data: Vec<Value> = own.map(render).collect();
    Ok(Reply::json(
        &json!({ "object": "list", "data": data, "has_more": false }),
    ))
}

/// Cancels a job of the tenant.
pub(super) async fn cancel(context: Arc<Context>, call: Call) -> Result<Reply, Failure> {
    let admitted = admit_with_identifier(&context, &call)?;
    let tenant = &admitted.tenant.name;
    let id = JobId(call.path_parameter("id")?);
    find_own(&context, tenant, &id).await?;
    let outcome = cancel_job(&context, &id, format!("tenant {tenant}")).await?;
    if outcome == CancelOutcome::AlreadyCompleted {
        let message = format!("job `{id}` was complete before");
        return Err(Failure::not_run(ErrorKind::Conflict, message));
    }
    let job = find_own(&context, tenant, &id).await?;
    Ok(Reply::json(&render(&job)))
}

/// Cancels a job. Once this returns without an error, no item of it starts.
pub(crate) async fn cancel_job(
    context: &Context,
    id: &JobId,
    by: String,
) -> Result<CancelOutcome, Failure> {
    let command = Command::CancelJob {
        job: id.clone(),
        by,
    };
    let outcome = propose(context, id, command).await;
    match outcome.map_err(ledger::to_failure)? {
        Outcome::Cancel(outcome) => Ok(outcome),
        _ => Ok(CancelOutcome::NotFound),
    }
}

/// Commits a command at the partition of a job.
pub(crate) async fn propose(
    context: &Context,
    id: &JobId,
    command: Command,
) -> Result<Outcome, CallFailure> {
    let deadline = context.clock.now() + context.settings.limits.leader_wait;
    ledger::propose(context, partition(context, id), command, deadline).await
}

/// Reads a job from the leader of its partition, whichever tenant it belongs to; `NotFound` if there is
/// none.
pub(crate) async fn find(context: &Context, id: &JobId) -> Result<Job, Failure> {
    let operation = LedgerOperation::Query(LedgerQuery::Job(id.clone()));
    let deadline = context.clock.now() + context.settings.limits.leader_wait;
    let answer = ledger::call(context, partition(context, id), operation, deadline).await;
    match answer.map_err(ledger::to_failure)? {
        LedgerAnswer::Job(Some(job)) => Ok(job),
        _ => Err(no_such_job(id)),
    }
}

async fn find_own(context: &Context, tenant: &TenantName, id: &JobId) -> Result<Job, Failure> {
    let job = find(context, id).await?;
    if job.request.tenant != *tenant {
        return Err(no_such_job(id));
    }
    Ok(job)
}

/// Whether a file is the output of one of the tenant's jobs. `NotFound` if it is named like an output
/// but belongs to no job of the tenant.
pub(super) async fn owns_output(
    context: &Context,
    tenant: &TenantName,
    file: &FileId,
) -> Result<bool, Failure> {
    let Some(job) = file.as_str().strip_prefix(OUTPUT_PREFIX) else {
        return Ok(false);
    };
    find_own(context, tenant, &JobId(job.to_owned())).await?;
    Ok(true)
}

fn partition(context: &Context, id: &JobId) -> PartitionId {
    partition_of(id.as_str(), context.settings.ledger.partitions)
}

fn no_such_job(id: &JobId) -> Failure {
    Failure::not_run(ErrorKind::NotFound, format!("no job `{id}`"))
}

const SECONDS_PER_MINUTE: u64 = 60;
const SECONDS_PER_HOUR: u64 = 3600;

/// Parses a completion window such as `24h` or `15m`.
fn completion_window(text: &str) -> Result<Duration, Failure> {
    let malformed = || {
        let message = "`completion_window` must be hours or minutes, such as `24h` or `15m`";
        Failure::not_run(ErrorKind::InvalidRequest, message).with_param("completion_window")
    };
    let (digits, seconds) = match (text.strip_suffix('h'), text.strip_suffix('m')) {
        (Some(digits), _) => (digits, SECONDS_PER_HOUR),
        (_, Some(digits)) => (digits, SECONDS_PER_MINUTE),
        _ => return Err(malformed()),
    };
    let count: u32 = digits.parse().map_err(|_| malformed())?;
    if count == 0 {
        return Err(malformed());
    }
    Ok(Duration::from_secs(u64::from(count) * seconds))
}

fn render(job: &Job) -> Value {
    let request = &job.request;
    let done = job.done.count();
    let (status, cancelled_by) = match &job.status {
        JobStatus::Running => ("in_progress", None),
        JobStatus::Completed => ("completed", None),
        JobStatus::Cancelled { by } => ("cancelled", Some(by.as_str())),
    };
    let output = (done > 0).then_some(&request.output);
    json!({
        "id": request.id,
        "object": "batch",
        "endpoint": request.endpoint,
        "errors": null,
        "input_file_id": request.input,
        "completion_window": format!("{}m", (request.deadline - request.created) / SECONDS_PER_MINUTE),
        "status": status,
        "output_file_id": output,
        "error_file_id": null,
        "created_at": request.created,
        "expires_at": request.deadline,
        "request_counts": { "total": request.items, "completed": done, "failed": 0 },
        "metadata": cancelled_by.map(|by| json!({ "cancelled_by": by })),
    })
}
