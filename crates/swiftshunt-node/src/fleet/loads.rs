//! Load reports of the workers to which this node sends requests or whose batch slots it grants.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use swiftshunt_http::HttpError;
use swiftshunt_scheduler::workers::LoadReport;
use swiftshunt_types::{PoolName, WorkerId, ZoneName};

use crate::context::Context;
use crate::lock;

/// Reads the load of the watched workers periodically until the process ends.
pub(crate) async fn poll_loads(context: Arc<Context>) {
    let mut ticker = tokio::time::interval(context.settings.scheduler.load_interval);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        let reads = watched_workers(&context)
            .into_iter()
            .map(|(id, address)| read_load(Arc::clone(&context), id, address));
        futures_util::future::join_all(reads).await;
    }
}

/// The workers whose load this node reads: its subset of each pool's workers, and all workers in its
/// zone of the pools whose batch slots it grants there.
fn watched_workers(context: &Context) -> BTreeMap<WorkerId, SocketAddr> {
    let pools: BTreeSet<PoolName> = {
        let workers = lock(&context.workers);
        workers
            .iter()
            .map(|worker| worker.machine.pool.clone())
            .collect()
    };
    let mut watched = BTreeMap::new();
    for pool in pools {
        let granters = context.placement.granters(context, &pool);
        let is_granter = granters.get(&context.own.zone) == Some(&context.own.id);
        let size = if is_granter {
            usize::MAX
        } else {
            context.settings.scheduler.subset_size
        };
        for id in subset(context, &pool, size) {
            if let Some(worker) = lock(&context.workers).get(&id) {
                watched.insert(id, worker.machine.address);
            }
        }
    }
    watched
}

/// This node's subset of a pool's workers in its own zone, at most `size`. If the zone has none, the
/// subsets of all zones.
pub(crate) fn subset(context: &Context, pool: &PoolName, size: usize) -> Vec<WorkerId> {
    let own = context.own.id;
    let workers = lock(&context.workers);
    let local = workers.subset(own, pool, &context.own.zone, size);
    if !local.is_empty() {
        return local;
    }
    let zones: BTreeSet<&ZoneName> = workers.iter().map(|worker| &worker.machine.zone).collect();
    let all_zones = zones
        .into_iter()
        .flat_map(|zone| workers.subset(own, pool, zone, size));
    all_zones.collect()
}

async fn read_load(context: Arc<Context>, id: WorkerId, address: SocketAddr) {
    let requested_at = context.clock.now();
    let timeout = context.settings.scheduler.load_interval * 2;
    match context.engines.load(address, timeout).await {
        Ok(load) => {
            let report = LoadReport {
                running: load.running,
                running_batch: load.running_batch,
                waiting: load.waiting,
                slots: load.slots,
                leaving: load.leaving,
            };
            lock(&context.workers).record_report(&id, report, load.models, requested_at);
        }
        // Behind a proxy or load balancer, the connection to a stopped worker opens and then breaks off.
        Err(HttpError::NotConnected { .. } | HttpError::BrokenOff { .. }) => {
            lock(&context.workers).record_connection_failure(&id, requested_at);
        }
        Err(_) => {}
    }
}
