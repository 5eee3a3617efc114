//! Statements on events and serving targets, which are stored in the partition of their pool.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use swiftshunt_config::{Pool, PoolKind};
use swiftshunt_ledger::state::{
    Command, Event, Outcome, PoolCommand, PoolOutcome, PoolState, Target, pool_key,
};
use swiftshunt_query::{Statement, Table};
use swiftshunt_types::{ErrorKind, Failure, ModelName, PoolName, partition_of};

use super::commands::not_found;
use super::tables::all_pools;
use crate::clock::unix_seconds;
use crate::context::Context;
use crate::ledger;

/// Executes a statement on events or targets.
pub(super) async fn execute(
    context: &Context,
    author: &str,
    statement: Statement,
) -> Result<Table, Failure> {
    let by = format!("operator {author}");
    match statement {
        Statement::CreateEvent {
            name,
            pool,
            start,
            lasting,
            requests_per_second,
        } => {
            let pool = engine_pool(context, &pool)?;
            let event = Event {
                name: name.clone(),
                start: parse_time(&start, "start")?,
                lasting: lasting.as_secs(),
                requests_per_second,
                by,
            };
            change(context, &pool.name, PoolCommand::PutEvent(event)).await?;
            Ok(Table::message(format!("event {name} is declared")))
        }
        Statement::CreateTarget {
            name,
            pool,
            model,
            replicas,
            ready_by,
        } => {
            let pool = engine_pool(context, &pool)?;
            let model = served_model(&pool, &model)?;
            let target = Target {
                name: name.clone(),
                model,
                replicas: u32::try_from(replicas).unwrap_or(u32::MAX),
                ready_by: parse_time(&ready_by, "ready by")?,
                by,
            };
            change(context, &pool.name, PoolCommand::PutTarget(target)).await?;
            Ok(Table::message(format!("target {name} is declared")))
        }
        Statement::DropEvent { name } => {
            let contains = |state: &PoolState| state.events.contains_key(&name);
            drop_from(
                context,
                "event",
                &name,
                contains,
                PoolCommand::DropEvent(name.clone()),
            )
            .await
        }
        Statement::DropTarget { name } => {
            let contains = |state: &PoolState| state.targets.contains_key(&name);
            drop_from(
                context,
                "target",
                &name,
                contains,
                PoolCommand::DropTarget(name.clone()),
            )
            .await
        }
        _ => Err(Failure::not_run(
            ErrorKind::InvalidRequest,
            "the statement declares nothing",
        )),
    }
}

/// Drops an event or target by its name, from the first pool that contains it.
async fn drop_from(
    context: &Context,
    kind: &str,
    name: &str,
    contains: impl Fn(&PoolState) -> bool,
    command: PoolCommand,
) -> Result<Table, Failure> {
    let pools = all_pools(context).await;
    let found = pools.into_iter().find(|(_, state)| contains(state));
    let (pool, _) = found.ok_or_else(|| not_found(kind, name))?;
    match change(context, &pool, command).await? {
        PoolOutcome::NotFound => Err(not_found(kind, name)),
        _ => Ok(Table::message(format!("{kind} {name} is dropped"))),
    }
}

/// Commits a command at the partition of a pool.
async fn change(
    context: &Context,
    pool: &PoolName,
    change: PoolCommand,
) -> Result<PoolOutcome, Failure> {
    let partition = partition_of(&pool_key(pool), context.settings.ledger.partitions);
    let command = Command::Pool {
        pool: pool.clone(),
        change,
    };
    let deadline = context.clock.now() + context.settings.limits.leader_wait;
    let outcome = ledger::propose(context, partition, command, deadline).await;
    match outcome.map_err(ledger::to_failure)? {
        Outcome::Pool(outcome) => Ok(outcome),
        _ => Ok(PoolOutcome::NotFound),
    }
}

/// Returns the pool if it is a pool of engines; `NotFound` otherwise.
fn engine_pool(context: &Context, name: &str) -> Result<Pool, Failure> {
    let history = context.configuration.borrow();
    let pool = history.configuration.pool(&name.into());
    let engines = pool.filter(|pool| pool.kind == PoolKind::Engine);
    engines
        .cloned()
        .ok_or_else(|| not_found("pool of engines", name))
}

fn served_model(pool: &Pool, name: &str) -> Result<ModelName, Failure> {
    let model = ModelName::from(name);
    if pool.models.contains(&model) {
        return Ok(model);
    }
    let message = format!("pool `{}` does not serve the model `{name}`", pool.name);
    Err(Failure::not_run(ErrorKind::ModelNotFound, message))
}

/// Parses `+DURATION`, counted from the current time, or a date and time in UTC. Returns seconds of
/// Unix time.
fn parse_time(text: &str, clause: &str) -> Result<u64, Failure> {
    let from_now = text.strip_prefix('+').map(humantime::parse_duration);
    let seconds = match from_now {
        Some(Ok(duration)) => Some(unix_seconds() + duration.as_secs()),
        Some(Err(_)) => None,
        None => humantime::parse_rfc3339_weak(text)
            .ok()
            .map(unix_seconds_of),
    };
    seconds.ok_or_else(|| {
        let message = format!(
            "`{clause}` must be a date and time such as 2026-12-07T07:00:00Z, or +90s from now"
        );
        Failure::not_run(ErrorKind::InvalidRequest, message).with_param("statement")
    })
}

fn unix_seconds_of(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_secs()
}
