//! The machine list at this node: polled from the platform, and fetched from peers with a newer version.

use std::net::SocketAddr;
use std::sync::Arc;

use swiftshunt_types::MachineList;

use crate::context::Context;
use crate::lock;

/// Polls the platform for the machine list until the process ends.
pub(crate) async fn poll_machines(context: Arc<Context>) {
    let mut ticker = tokio::time::interval(context.settings.platform.machines_interval);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        match context.machine_service.fetch().await {
            Ok(list) => apply(&context, list),
            Err(error) => {
                log::debug!("fetching the machine list failed, retrying at the next poll: {error}")
            }
        }
    }
}

/// Fetches the machine list from a peer and applies it if it is newer.
pub(crate) async fn fetch(context: Arc<Context>, peer: SocketAddr) {
    if let Ok(list) = context.peers.machines(peer).await {
        apply(&context, list);
    }
}

fn apply(context: &Context, list: MachineList) {
    if lock(&context.workers).apply_list(&list) {
        log::info!(version = list.version; "machine list applied, {} machines", list.machines.len());
        *lock(&context.machine_list) = list;
    }
}
