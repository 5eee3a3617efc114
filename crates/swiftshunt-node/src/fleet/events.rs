//! Online work that events announce, as this node has last heard from the pools' partitions.

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

/// How often the pools' partitions are asked.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Known events of each pool.
#[derive(Default)]
pub(crate) struct AnnouncedEvents {
    events: Mutex<BTreeMap<PoolName, Vec<Event>>>,
}

impl AnnouncedEvents {
    /// Requests a second that events announce for now.
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

/// Keeps the known events up to date until the process ends.
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
        // Only a granter uses what events announce; if every node asked, the pools' partitions
        // would be asked more the larger the fleet is.
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

/// What is declared of a pool, from its partition's leader.
async fn read_pool(context: &Context, pool: &PoolName) -> Option<PoolState> {
    let partition = partition_of(&pool_key(pool), context.settings.ledger.partitions);
    let operation = LedgerOperation::Query(LedgerQuery::Pool(pool.clone()));
    let deadline = context.clock.now() + context.settings.limits.leader_wait;
    match ledger::call(context, partition, operation, deadline).await {
        Ok(LedgerAnswer::Pool(state)) => Some(state),
        _ => None,
    }
}
