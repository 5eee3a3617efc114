//! `/v1/operator`: executes statements, reads and publishes the fleet configuration.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::json;
use swiftshunt_config::parse_fleet_configuration;
use swiftshunt_http::{Call, Reply};
use swiftshunt_types::{ErrorKind, Failure};

use super::auth::operator;
use crate::context::Context;
use crate::fleet::{PublishError, publish};
use crate::operator::execute;

/// Size limit of a request body with a statement or a configuration, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// Body of `POST /v1/operator/statements`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StatementBody {
    statement: String,
}

/// Body of `POST /v1/operator/configuration`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigurationBody {
    /// Version that the configuration is based on.
    base: u64,
    /// The complete configuration as TOML.
    toml: String,
}

/// Executes one statement and answers with its table.
pub(super) async fn statement(context: Arc<Context>, mut call: Call) -> Result<Reply, Failure> {
    let author = operator(&context, &call)?;
    let body: StatementBody = call.json(BODY_LIMIT).await?;
    let table = execute(&context, &author, &body.statement).await?;
    Ok(Reply::json(&table))
}

/// Answers with the configuration in force at this node.
pub(super) async fn read_configuration(
    context: Arc<Context>,
    call: Call,
) -> Result<Reply, Failure> {
    operator(&context, &call)?;
    let history = context.configuration.borrow().clone();
    Ok(Reply::json(&json!({
        "version": history.version,
        "author": history.author,
        "configuration": history.configuration,
    })))
}

/// Publishes a configuration. Answers once it is in force, was refused, or its outcome stays unknown.
pub(super) async fn publish_configuration(
    context: Arc<Context>,
    mut call: Call,
) -> Result<Reply, Failure> {
    let author = operator(&context, &call)?;
    let body: ConfigurationBody = call.json(BODY_LIMIT).await?;
    let parsed = parse_fleet_configuration("configuration", &body.toml).map_err(|error| {
        Failure::not_run(ErrorKind::InvalidRequest, error.to_string()).with_param("toml")
    })?;
    let published = publish(&context, body.base, author, parsed).await;
    let version = published.map_err(failure)?;
    Ok(Reply::json(&json!({ "version": version })))
}

fn failure(error: PublishError) -> Failure {
    let message = error.to_string();
    match error {
        PublishError::Stale { .. } => Failure::not_run(ErrorKind::Conflict, message),
        PublishError::NotPublished { .. } => Failure::not_run(ErrorKind::Unavailable, message),
        PublishError::Unknown => Failure::unknown(ErrorKind::Unavailable, message),
    }
}
