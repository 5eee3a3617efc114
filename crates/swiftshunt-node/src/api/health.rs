//! Health, readiness and metrics.

use std::sync::Arc;

use serde_json::json;
use swiftshunt_http::{Call, Reply};
use swiftshunt_ledger::routes::LeaderHint;
use swiftshunt_types::Failure;

use crate::context::Context;
use crate::lifecycle::Stage;

/// Answers 200 as long as the process handles requests.
pub(super) async fn healthz(_context: Arc<Context>, _call: Call) -> Result<Reply, Failure> {
    Ok(Reply::json(&json!({ "status": "ok" })))
}

/// Answers 200 if the node is serving, every partition has a known leader and the node's replicas are
/// settled; otherwise 503. A partition that this node led counts only while its lease is valid: a node
/// that was paused may not have noticed yet that others have replaced it.
pub(super) async fn readyz(context: Arc<Context>, _call: Call) -> Result<Reply, Failure> {
    let partitions = context.settings.ledger.partitions;
    let led_here = context.ledger.led_partitions().await;
    let is_led = |hint: &&LeaderHint| {
        hint.leader.is_some_and(|leader| {
            leader.node != context.own.id || led_here.contains(&hint.partition)
        })
    };
    let led = {
        let routes = crate::lock(&context.routes);
        routes.table.hints().filter(is_led).count()
    };
    let serving = context.lifecycle.stage() == Stage::Serving;
    let holds_replicas = context.ledger.is_settled().await;
    let ready = serving && led == usize::from(partitions) && holds_replicas;
    let body = json!({
        "ready": ready,
        "node": context.own.id.to_string(),
        "stage": format!("{:?}", context.lifecycle.stage()).to_lowercase(),
        "partitions_led": led,
        "partitions": partitions,
        "replicas_settled": holds_replicas,
        "configuration": context.configuration.borrow().version,
    });
    Ok(Reply::json(&body).with_status(if ready { 200 } else { 503 }))
}

/// Answers with the metrics in the Prometheus text format.
pub(super) async fn metrics(context: Arc<Context>, _call: Call) -> Result<Reply, Failure> {
    Ok(Reply::bytes(
        "text/plain; version=0.0.4",
        context.metrics.text(),
    ))
}
