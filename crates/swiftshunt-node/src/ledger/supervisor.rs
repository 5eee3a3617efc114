//! Starts the drivers of the partitions of which this node should hold a replica.

use std::sync::Arc;
use std::time::Duration;

use swiftshunt_types::PartitionId;

use crate::context::Context;

const SUPERVISE_INTERVAL: Duration = Duration::from_millis(50);

/// Runs until the process ends. Evaluates the placement only when its version has changed.
pub(crate) async fn supervise(context: Arc<Context>) {
    let mut ticker = tokio::time::interval(SUPERVISE_INTERVAL);
    let mut seen_version = None;
    loop {
        ticker.tick().await;
        let version = context.placement.version(&context);
        if version == seen_version {
            continue;
        }
        seen_version = version;
        for index in 0..context.settings.ledger.partitions {
            let partition = PartitionId(index);
            let candidates = context.placement.candidates(&context, partition);
            if candidates.get(&context.own.zone) == Some(&context.own.id) {
                context.ledger.ensure_driver(&context, partition);
            }
        }
    }
}
