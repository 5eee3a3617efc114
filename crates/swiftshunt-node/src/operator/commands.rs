//! Statements that change state. The ledger orders conflicting statements, and each author receives the
//! outcome of its own statement.

use std::sync::Arc;
use std::time::Duration;

use swiftshunt_ledger::state::{CancelOutcome, Command, JobOutcome, JobStatus, Outcome};
use swiftshunt_query::{DrainSubject, Statement, Table};
use swiftshunt_types::{ErrorKind, Failure, FileId, JobId, TenantName, WorkerId};

use super::declarations;
use crate::api::{NewJobId, cancel_job, create_job, propose_on_job};
use crate::clock::unix_seconds;
use crate::context::Context;
use crate::ledger;
use crate::lock;

/// Endpoint of items whose line names none.
const DEFAULT_ENDPOINT: &str = "/v1/chat/completions";

/// Executes a statement that changes state; fails with `InvalidRequest` for one that only reads.
pub(super) async fn execute(
    context: &Arc<Context>,
    author: &str,
    statement: Statement,
) -> Result<Table, Failure> {
    match statement {
        Statement::CancelJob { job } => cancel(context, author, JobId(job)).await,
        Statement::Drain { subject, id } => match subject {
            DrainSubject::Node => drain_node(context, &id).await,
            DrainSubject::Worker => drain_worker(context, &id),
        },
        Statement::SetJobDeadline { job, within } => {
            set_deadline(context, author, JobId(job), within).await
        }
        Statement::CreateJob {
            tenant,
            input,
            within,
        } => create(context, &TenantName(tenant), &FileId(input), within).await,
        Statement::CreateEvent { .. }
        | Statement::CreateTarget { .. }
        | Statement::DropEvent { .. }
        | Statement::DropTarget { .. } => declarations::execute(context, author, statement).await,
        Statement::Show(_) | Statement::Explain { .. } => Err(Failure::not_run(
            ErrorKind::InvalidRequest,
            "the statement changes nothing",
        )),
    }
}

async fn cancel(context: &Context, author: &str, job: JobId) -> Result<Table, Failure> {
    let by = format!("operator {author}");
    let outcome = cancel_job(context, &job, by).await?;
    let message = match outcome {
        CancelOutcome::Cancelled => format!("job {job} is cancelled; no item of it starts"),
        CancelOutcome::AlreadyCancelled { by } => format!("job {job} was cancelled before by {by}"),
        CancelOutcome::AlreadyCompleted => {
            let message = format!("job {job} was complete before");
            return Err(Failure::not_run(ErrorKind::Conflict, message));
        }
        CancelOutcome::NotFound => return Err(not_found("job", job.as_str())),
    };
    Ok(Table::message(message))
}

/// Sets the deadline of a running job to `within` from the current time.
async fn set_deadline(
    context: &Context,
    author: &str,
    job: JobId,
    within: Duration,
) -> Result<Table, Failure> {
    let command = Command::SetJobDeadline {
        job: job.clone(),
        deadline: unix_seconds() + within.as_secs(),
        by: format!("operator {author}"),
    };
    let outcome = propose_on_job(context, &job, command).await;
    match outcome.map_err(ledger::to_failure)? {
        Outcome::Job(JobOutcome::Done) => {
            Ok(Table::message(format!("job {job} has a new deadline")))
        }
        Outcome::Job(JobOutcome::Ended(status)) => {
            let message = match status {
                JobStatus::Cancelled { by } => format!("job {job} was cancelled before by {by}"),
                _ => format!("job {job} was complete before"),
            };
            Err(Failure::not_run(ErrorKind::Conflict, message))
        }
        _ => Err(not_found("job", job.as_str())),
    }
}

async fn create(
    context: &Context,
    tenant: &TenantName,
    input: &FileId,
    within: Duration,
) -> Result<Table, Failure> {
    let id = NewJobId::generate();
    let job = create_job(context, id, tenant, input, DEFAULT_ENDPOINT, within).await?;
    let mut table = Table::new(&["id", "items"]);
    table.push(vec![
        job.request.id.as_str().into(),
        job.request.items.into(),
    ]);
    Ok(table)
}

/// Starts draining a reachable node. If the call to another node fails, that node may drain all the same.
async fn drain_node(context: &Context, id: &str) -> Result<Table, Failure> {
    let member = {
        let membership = lock(&context.membership);
        let found = membership
            .reachable()
            .find(|member| member.id.to_string() == id);
        found.cloned()
    };
    let member = member.ok_or_else(|| not_found("node", id))?;
    if member.id == context.own.id {
        context.lifecycle.start_draining();
    } else {
        let drained = context.peers.drain(member.peer).await;
        drained.map_err(|error| {
            let failure = Failure::unknown(ErrorKind::Unavailable, error.to_string());
            failure.with_retry_after(Duration::from_secs(1))
        })?;
    }
    Ok(Table::message(format!("node {id} drains")))
}

/// Marks a worker as leaving; gossip carries the mark to the other nodes.
fn drain_worker(context: &Context, id: &str) -> Result<Table, Failure> {
    let worker = WorkerId(id.to_owned());
    let mut workers = lock(&context.workers);
    let address = workers.get(&worker).map(|worker| worker.machine.address);
    let address = address.ok_or_else(|| not_found("worker", id))?;
    workers.mark_leaving(worker, address);
    Ok(Table::message(format!("worker {id} is given nothing new")))
}

pub(super) fn not_found(kind: &str, id: &str) -> Failure {
    Failure::not_run(ErrorKind::NotFound, format!("no {kind} `{id}`"))
}
