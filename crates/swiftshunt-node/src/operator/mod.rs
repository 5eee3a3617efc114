//! Execution of operator statements.

mod commands;
mod declarations;
mod tables;

use std::sync::Arc;

use swiftshunt_query::{Statement, Table, parse, select};
use swiftshunt_types::{ErrorKind, Failure};

pub(crate) use tables::all_jobs;

use crate::context::Context;

/// Parses and executes one statement of the operator `author`.
pub(crate) async fn execute(
    context: &Arc<Context>,
    author: &str,
    text: &str,
) -> Result<Table, Failure> {
    let statement = parse(text).map_err(|error| {
        Failure::not_run(ErrorKind::InvalidRequest, error.to_string()).with_param("statement")
    })?;
    match statement {
        Statement::Show(show) => {
            let table = tables::read(context, show.table).await?;
            select(&show, table).map_err(|error| {
                let failure = Failure::not_run(ErrorKind::InvalidRequest, error.to_string());
                failure.with_param("statement")
            })
        }
        Statement::Explain { subject, id } => tables::explain(context, subject, &id).await,
        command => commands::execute(context, author, command).await,
    }
}
