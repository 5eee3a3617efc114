//! Tables that the statements `show` and `explain` return.

use std::sync::Arc;

use futures_util::future::join_all;
use swiftshunt_ledger::state::{
    Job, JobStatus, OrderStatus, PoolState, Submission, SubmissionResult, SubmissionStatus,
};
use swiftshunt_membership::Member;
use swiftshunt_query::{ExplainSubject, Table, TableName, Value};
use swiftshunt_types::{ErrorKind, Failure, PartitionId, PoolName};

use crate::context::Context;
use crate::ledger;
use crate::lock;
use crate::peer::{LedgerAnswer, LedgerOperation, LedgerQuery};

/// Builds the rows of a table, before the statement's conditions are applied.
pub(super) async fn read(context: &Arc<Context>, table: TableName) -> Result<Table, Failure> {
    match table {
        TableName::Nodes => Ok(nodes(context)),
        TableName::Workers => Ok(workers(context)),
        TableName::Jobs => Ok(jobs(context).await),
        TableName::Submissions => Ok(submissions(context).await),
        TableName::Partitions => Ok(partitions(context).await),
        TableName::Configuration => Ok(configuration(context).await),
        TableName::Items => Ok(items(context).await),
        TableName::Events => Ok(events(context).await),
        TableName::Targets => Ok(targets(context).await),
        TableName::Orders => Ok(orders(context).await),
    }
}

/// Collects the decisions about a subject from this node and the peers that answer, ordered by time.
/// `NotFound` if there are none.
pub(super) async fn explain(
    context: &Arc<Context>,
    subject: ExplainSubject,
    id: &str,
) -> Result<Table, Failure> {
    let subject = format!("{subject} {id}");
    let mut table = Table::new(&["at", "node", "decision", "reason"]);
    let mut rows = Vec::new();
    for member in members(context) {
        let decisions = if member.id == context.own.id {
            context.decisions.about(&subject)
        } else {
            let answer = context.peers.decisions(member.peer, &subject).await;
            answer.unwrap_or_default()
        };
        rows.extend(decisions.into_iter().map(|entry| (member.id, entry)));
    }
    rows.sort_by_key(|(_, entry)| entry.at);
    for (node, entry) in rows {
        table.push(vec![
            entry.at.into(),
            node.to_string().into(),
            entry.decision.into(),
            entry.reason.into(),
        ]);
    }
    if table.rows.is_empty() {
        let message = format!("nothing is known of {subject}");
        return Err(Failure::not_run(ErrorKind::NotFound, message));
    }
    Ok(table)
}

/// The members that are reachable according to this node, itself included.
fn members(context: &Context) -> Vec<Member> {
    lock(&context.membership).reachable().cloned().collect()
}

fn nodes(context: &Context) -> Table {
    let mut table = Table::new(&["id", "zone", "state", "incarnation", "api", "peer"]);
    for record in lock(&context.membership).records() {
        table.push(vec![
            record.member.id.to_string().into(),
            record.member.zone.as_str().into(),
            record.state.to_string().into(),
            record.incarnation.into(),
            record.member.api.to_string().into(),
            record.member.peer.to_string().into(),
        ]);
    }
    table
}

fn workers(context: &Context) -> Table {
    let mut table = Table::new(&[
        "id",
        "pool",
        "zone",
        "address",
        "accepting",
        "running",
        "running_batch",
        "waiting",
        "slots",
        "report_age_ms",
    ]);
    let now = context.clock.now();
    let workers = lock(&context.workers);
    for worker in workers.iter() {
        let report = worker.report.map(|(report, _)| report);
        let age = worker
            .report
            .map(|(_, at)| now.saturating_sub(at).as_millis());
        table.push(vec![
            worker.machine.id.as_str().into(),
            worker.machine.pool.as_str().into(),
            worker.machine.zone.as_str().into(),
            worker.machine.address.to_string().into(),
            workers.is_accepting(worker).into(),
            report.map(|report| report.running).into(),
            report.map(|report| report.running_batch).into(),
            report.map(|report| report.waiting).into(),
            report.map(|report| report.slots).into(),
            age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)).into(),
        ]);
    }
    table
}

/// Sends a query to the leaders of all partitions concurrently. Partitions that do not answer are left
/// out.
async fn query_all_partitions(context: &Context, query: LedgerQuery) -> Vec<LedgerAnswer> {
    let deadline = context.clock.now() + context.settings.limits.leader_wait;
    let partitions = 0..context.settings.ledger.partitions;
    let requests = partitions.map(|index| {
        let operation = LedgerOperation::Query(query.clone());
        ledger::call(context, PartitionId(index), operation, deadline)
    });
    join_all(requests).await.into_iter().flatten().collect()
}

/// All jobs of the fleet, except those of partitions that do not answer.
pub(crate) async fn all_jobs(context: &Context) -> Vec<Job> {
    let answers = query_all_partitions(context, LedgerQuery::Jobs).await;
    let jobs = answers.into_iter().filter_map(|answer| match answer {
        LedgerAnswer::Jobs(jobs) => Some(jobs),
        _ => None,
    });
    jobs.flatten().collect()
}

async fn jobs(context: &Context) -> Table {
    let mut table = Table::new(&[
        "id",
        "tenant",
        "status",
        "items",
        "done",
        "deadline",
        "revision",
        "cancelled_by",
    ]);
    for job in all_jobs(context).await {
        let (status, by) = match &job.status {
            JobStatus::Running => ("running", None),
            JobStatus::Completed => ("completed", None),
            JobStatus::Cancelled { by } => ("cancelled", Some(by.clone())),
        };
        table.push(vec![
            job.request.id.as_str().into(),
            job.request.tenant.as_str().into(),
            status.into(),
            job.request.items.into(),
            job.done.count().into(),
            job.request.deadline.into(),
            job.revision.into(),
            by.into(),
        ]);
    }
    table
}

async fn items(context: &Context) -> Table {
    let mut table = Table::new(&["job", "item", "done"]);
    for job in all_jobs(context).await {
        for index in 0..job.request.items {
            let done = job.done.contains(index);
            table.push(vec![
                job.request.id.as_str().into(),
                index.into(),
                done.into(),
            ]);
        }
    }
    table
}

/// Events, targets and orders of all pools, except those of partitions that do not answer.
pub(super) async fn all_pools(context: &Context) -> Vec<(PoolName, PoolState)> {
    let answers = query_all_partitions(context, LedgerQuery::Pools).await;
    let pools = answers.into_iter().filter_map(|answer| match answer {
        LedgerAnswer::Pools(pools) => Some(pools),
        _ => None,
    });
    pools.flatten().collect()
}

async fn events(context: &Context) -> Table {
    let mut table = Table::new(&[
        "name",
        "pool",
        "start",
        "lasting_s",
        "requests_per_second",
        "by",
    ]);
    for (pool, state) in all_pools(context).await {
        for event in state.events.into_values() {
            table.push(vec![
                event.name.into(),
                pool.as_str().into(),
                event.start.into(),
                event.lasting.into(),
                event.requests_per_second.into(),
                event.by.into(),
            ]);
        }
    }
    table
}

async fn targets(context: &Context) -> Table {
    let mut table = Table::new(&[
        "name", "pool", "model", "replicas", "ready_by", "loaded", "by",
    ]);
    for (pool, state) in all_pools(context).await {
        for target in state.targets.into_values() {
            let loaded = {
                let workers = lock(&context.workers);
                let in_pool = workers.iter().filter(|worker| worker.machine.pool == pool);
                in_pool
                    .filter(|worker| worker.models.contains(&target.model))
                    .count()
            };
            table.push(vec![
                target.name.into(),
                pool.as_str().into(),
                target.model.as_str().into(),
                target.replicas.into(),
                target.ready_by.into(),
                (loaded as u64).into(),
                target.by.into(),
            ]);
        }
    }
    table
}

async fn orders(context: &Context) -> Table {
    let mut table = Table::new(&[
        "order", "pool", "target", "worker", "model", "given_at", "status", "reason",
    ]);
    for (pool, state) in all_pools(context).await {
        for order in state.orders {
            let (status, reason) = match order.status {
                OrderStatus::Given => ("given", None),
                OrderStatus::Taken => ("taken", None),
                OrderStatus::Failed { reason } => ("failed", Some(reason)),
            };
            table.push(vec![
                order.sequence.into(),
                pool.as_str().into(),
                order.target.into(),
                order.worker.as_str().into(),
                order.model.as_str().into(),
                order.given_at.into(),
                status.into(),
                reason.into(),
            ]);
        }
    }
    table
}

async fn submissions(context: &Context) -> Table {
    let mut table = Table::new(&["id", "tenant", "pool", "repeatable", "status", "worker"]);
    let answers = query_all_partitions(context, LedgerQuery::Submissions).await;
    for answer in answers {
        let LedgerAnswer::Submissions(submissions) = answer else {
            continue;
        };
        for submission in &submissions {
            table.push(submission_row(submission));
        }
    }
    table
}

fn submission_row(submission: &Submission) -> Vec<Value> {
    let (status, worker) = match &submission.status {
        SubmissionStatus::Accepted => ("accepted", None),
        SubmissionStatus::Dispatched(dispatch) => ("dispatched", Some(dispatch.worker.as_str())),
        SubmissionStatus::Completed(SubmissionResult::Answered { .. }) => ("completed", None),
        SubmissionStatus::Completed(SubmissionResult::OutcomeUnknown) => ("outcome_unknown", None),
        SubmissionStatus::Completed(SubmissionResult::NotRun { .. }) => ("not_run", None),
    };
    let request = &submission.request;
    vec![
        request.id.as_str().into(),
        request.tenant.as_str().into(),
        request.pool.as_str().into(),
        request.repeatable.into(),
        status.into(),
        worker.into(),
    ]
}

async fn partitions(context: &Context) -> Table {
    let mut table = Table::new(&[
        "partition",
        "generation",
        "term",
        "leader",
        "voters",
        "learners",
        "committed",
        "archived",
        "open_submissions",
        "running_jobs",
    ]);
    for answer in query_all_partitions(context, LedgerQuery::Partition).await {
        let LedgerAnswer::Partition(view) = answer else {
            continue;
        };
        let names = |nodes: &[swiftshunt_types::NodeId]| {
            let names: Vec<String> = nodes.iter().map(ToString::to_string).collect();
            names.join(" ")
        };
        table.push(vec![
            u64::from(view.partition.0).into(),
            view.generation.into(),
            view.term.into(),
            view.leader.to_string().into(),
            names(&view.voters).into(),
            names(&view.learners).into(),
            view.committed.into(),
            view.archived.into(),
            view.open_submissions.into(),
            view.running_jobs.into(),
        ]);
    }
    table
}

/// The version and author of the configuration in force at each reachable member.
async fn configuration(context: &Context) -> Table {
    let mut table = Table::new(&["node", "zone", "version", "author"]);
    let requests = members(context).into_iter().map(|member| async move {
        let history = if member.id == context.own.id {
            Some(context.configuration.borrow().clone())
        } else {
            context.peers.configuration(member.peer).await.ok()
        };
        (member, history)
    });
    for (member, history) in join_all(requests).await {
        table.push(vec![
            member.id.to_string().into(),
            member.zone.as_str().into(),
            history.as_ref().map(|history| history.version).into(),
            history.map(|history| history.author).into(),
        ]);
    }
    table
}
