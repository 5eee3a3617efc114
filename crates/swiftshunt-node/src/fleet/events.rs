//! Online load announced by events, as last read from the partitions that hold the pools' state.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_ledger::state::{Event, PoolState, pool_key};
use swiftshunt_types::{PoolName, partition_of};

use crate::clock::unix_seconds;
use crate::context::Context;
use crate::ledger;
use crate::lock;
use crate::peer::{LedgerAnswer, LedgerOperation, LedgerQuery};

/// Interval at which the events of the pools are read.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The announced events of each pool for which this node grants batch slots.
#[derive(Default)]
pub(crate) struct AnnouncedEvents {
    events: Mutex<BTreeMap<PoolName, Vec<Event>>>,
}

impl AnnouncedEvents {
    /// Requests per second that the active events of a pool announce. An event is active from the
    /// configured lead before its start until its end.
    pub(crate) fn requests_per_second(&self, context: &Context, pool: &PoolName) -> u64 {
        let lead_seconds = context.settings.scheduler.event_lead.as_secs();
        let now = unix_seconds();
        let events = lock(&self.events);
        let active =
            events.get(pool).into_iter().flatten().filter(|event| {
                now + lead_seconds >= event.start && now < event.start + event.lasting
            });
        active.map(|event| event.requests_per_second).sum()
    }
}

/// Reads the events of the pools periodically until the process ends.
pub(crate) async fn follow_events(context: Arc<Context>) {
    let mut ticker = tokio::time::interval(POLL_INTERVAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        let pools: Vec<PoolName> = {
            let history = context.configuration.borrow();
            let pools = history.configuration.pools.iter();
            pools.map(|pool| pool.name.clone()).collect()
        };
        // Only granters use the events. If every node read them, the load on the pools' partitions
        // would grow with the fleet.
        let granted_pools = pools.into_iter().filter(|pool| {
            let granters = context.placement.granters(&context, pool);
            granters.get(&context.own.zone) == Some(&context.own.id)
        });
        let granted_pools: Vec<PoolName> = granted_pools.collect();
        for pool in granted_pools {
            if let Some(state) = read_pool(&context, &pool).await {
                let events = state.events.into_values().collect();
                lock(&context.announced_events.events).insert(pool, events);
            }
        }
    }
}

/// Reads a pool's state from the leader of its partition; `None` if that fails.
async fn read_pool(context: &Context, pool: &PoolName) -> Option<PoolState> {
    let partition = partition_of(&pool_key(pool), context.settings.ledger.partitions);
    let operation = LedgerOperation::Query(LedgerQuery::Pool(pool.clone()));
    let deadline = context.clock.now() + context.settings.limits.leader_wait;
    match ledger::call(context, partition, operation, deadline).await {
        Ok(LedgerAnswer::Pool(state)) => Some(state),
        _ => None,
    }
}
