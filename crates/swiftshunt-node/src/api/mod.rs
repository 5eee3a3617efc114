//! HTTP interface for callers and operators.

mod auth;
mod batches;
mod chat;
mod files;
mod health;
mod models;
mod new_job_id;
mod operator;
mod submissions;

use std::sync::Arc;

use swiftshunt_http::{Router, endpoint};

pub(crate) use batches::{cancel_job, create_job, propose as propose_on_job};
pub(crate) use new_job_id::NewJobId;

use crate::context::Context;

/// Routes of the caller and operator interfaces.
pub(crate) fn router(context: &Arc<Context>) -> Router {
    Router::new()
        .push(Router::with_path("healthz").get(endpoint(context, health::healthz)))
        .push(Router::with_path("readyz").get(endpoint(context, health::readyz)))
        .push(Router::with_path("metrics").get(endpoint(context, health::metrics)))
        .push(
            Router::with_path("v1")
                .push(caller_routes(context))
                .push(operator_routes(context)),
        )
}

fn caller_routes(context: &Arc<Context>) -> Router {
    Router::new()
        .push(Router::with_path("chat/completions").post(endpoint(context, chat::chat)))
        .push(Router::with_path("completions").post(endpoint(context, chat::completions)))
        .push(Router::with_path("models").get(endpoint(context, models::list)))
        .push(Router::with_path("submissions").post(endpoint(context, submissions::submit)))
        .push(Router::with_path("submissions/{id}").get(endpoint(context, submissions::read)))
        .push(Router::with_path("files").post(endpoint(context, files::upload)))
        .push(Router::with_path("files/{id}").get(endpoint(context, files::info)))
        .push(Router::with_path("files/{id}/content").get(endpoint(context, files::content)))
        .push(
            Router::with_path("batches")
                .post(endpoint(context, batches::create))
                .get(endpoint(context, batches::list)),
        )
        .push(Router::with_path("batches/{id}").get(endpoint(context, batches::read)))
        .push(Router::with_path("batches/{id}/cancel").post(endpoint(context, batches::cancel)))
}

fn operator_routes(context: &Arc<Context>) -> Router {
    Router::with_path("operator")
        .push(Router::with_path("statements").post(endpoint(context, operator::statement)))
        .push(
            Router::with_path("configuration")
                .get(endpoint(context, operator::read_configuration))
                .post(endpoint(context, operator::publish_configuration)),
        )
}
