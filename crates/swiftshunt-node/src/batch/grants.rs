//! Grants of batch slots between nodes: this node grants the slots of its zone's engines for the pools
//! assigned to it, and requests grants from the granters of each zone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use swiftshunt_scheduler::batch::{batch_slots, expected_slots};
use swiftshunt_scheduler::grants::{Grant, GrantTable};
use swiftshunt_scheduler::workers::Worker;
use swiftshunt_types::{NodeId, PoolName, WorkerId, ZoneName};

use crate::context::Context;
use crate::lock;

/// Number of renewals within the lifetime of a grant.
const RENEWALS_PER_LIFETIME: u32 = 4;
/// Shortest interval between two rounds of requests to granters.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a request to one granter; a granter that does not answer is skipped in that round.
const GRANT_REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// A node's request for batch slots of a pool.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GrantRequest {
    pub(crate) holder: NodeId,
    pub(crate) pool: PoolName,
    /// Number of slots wanted, including those that the holder already holds.
    pub(crate) wanted: u32,
}

/// Grant tables of the pools whose batch slots this node grants in its zone.
#[derive(Default)]
pub(crate) struct Granter {
    tables: Mutex<BTreeMap<PoolName, GrantTable>>,
}

impl Granter {
    /// Renews a holder's grants: the slots that it may use in this node's zone until they expire.
    pub(crate) fn grant(&self, context: &Context, request: &GrantRequest) -> Vec<Grant> {
        let allowances = allowances(context, &request.pool);
        let mut tables = lock(&self.tables);
        let table = tables.entry(request.pool.clone()).or_default();
        let now = context.clock.now();
        let lifetime = context.settings.scheduler.grant_lifetime;
        table.renew(request.holder, request.wanted, &allowances, now, lifetime)
    }
}

/// Number of batch requests that each engine of the pool in this node's zone may run.
fn allowances(context: &Context, pool: &PoolName) -> Vec<(WorkerId, u32)> {
    let scheduler = &context.settings.scheduler;
    let now = context.clock.now();
    let workers = lock(&context.workers);
    // A crashed engine stays in the machine list, with its last load report, until the platform removes
    // it.
    let in_zone = |worker: &&Worker| {
        worker.machine.pool == *pool
            && worker.machine.zone == context.own.zone
            && worker.report.is_some()
            && workers.is_accepting(worker)
            && worker.is_reachable(now)
    };
    let engines: Vec<&Worker> = workers.iter().filter(in_zone).collect();
    let requests_per_second = context.announced_events.requests_per_second(context, pool);
    let zones = context.settings.zones.len();
    let expected_online_slots =
        expected_slots(requests_per_second, engines.len() * zones, scheduler);
    let allowed = engines.iter().map(|worker| {
        let slots = batch_slots(worker, expected_online_slots, scheduler);
        (worker.machine.id.clone(), slots)
    });
    allowed.collect()
}

/// Renews the grants that this node's batch items need, until the process ends.
pub(crate) async fn renew_grants(context: Arc<Context>) {
    let renewal_interval = context.settings.scheduler.grant_lifetime / RENEWALS_PER_LIFETIME;
    loop {
        for (pool, wanted) in context.batch.wanted() {
            request_from_zones(&context, &pool, wanted).await;
        }
        tokio::time::sleep(MIN_RENEWAL_INTERVAL).await;
        let demand = context.batch.demand.notified();
        drop(tokio::time::timeout(renewal_interval, demand).await);
    }
}

/// Requests grants from the node's own zone first, and from the other zones for what is still unmet.
async fn request_from_zones(context: &Arc<Context>, pool: &PoolName, wanted: u32) {
    let granters = context.placement.granters(context, pool);
    let mut zones: Vec<(ZoneName, NodeId)> = granters.into_iter().collect();
    zones.sort_by_key(|(zone, _)| *zone != context.own.zone);
    let mut unmet = wanted;
    for (zone, granter) in zones {
        let request = GrantRequest {
            holder: context.own.id,
            pool: pool.clone(),
            wanted: unmet,
        };
        let requested_at = context.clock.now();
        let Some(grants) = request_grants(context, granter, &request).await else {
            continue;
        };
        let granted: u32 = grants.iter().map(|grant| grant.slots).sum();
        unmet = unmet.saturating_sub(granted);
        let expires_at = requested_at + context.settings.scheduler.grant_lifetime;
        context.batch.set_granted(pool, &zone, grants, expires_at);
    }
}

/// Requests grants from one granter. `None` if its address is unknown or it does not answer in time.
async fn request_grants(
    context: &Context,
    granter: NodeId,
    request: &GrantRequest,
) -> Option<Vec<Grant>> {
    if granter == context.own.id {
        return Some(context.granter.grant(context, request));
    }
    let address: SocketAddr = lock(&context.membership).record(granter)?.member.peer;
    context
        .peers
        .grants(address, request, GRANT_REQUEST_TIMEOUT)
        .await
        .ok()
}
