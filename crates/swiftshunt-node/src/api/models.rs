//! `GET /v1/models`.

use std::sync::Arc;

use serde_json::json;
use swiftshunt_http::{Call, Reply};
use swiftshunt_types::Failure;

use super::auth::admit;
use crate::context::Context;

/// Answers with the models of all pools of the fleet configuration.
pub(super) async fn list(context: Arc<Context>, call: Call) -> Result<Reply, Failure> {
    let _admitted = admit(&context, &call)?;
    let history = context.configuration.borrow();
    let pools = history.configuration.pools.iter();
    let models = pools.flat_map(|pool| {
        let owner = &pool.name;
        pool.models.iter().map(
            move |model| json!({ "id": model, "object": "model", "created": 0, "owned_by": owner }),
        )
    });
    let data: Vec<_> = models.collect();
    Ok(Reply::json(&json!({ "object": "list", "data": data })))
}
