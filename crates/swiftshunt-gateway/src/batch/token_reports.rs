//! Reports of the waiting tokens in the partitions that this gateway holds, for the gateways that count them for
//! the routes' limits.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use swiftshunt_jobs::JobSpec;
use swiftshunt_routing::Configuration;
use swiftshunt_types::total_tokens;

use super::Batch;
use super::replay::PartitionState;
use crate::messages::waiting::{Allowance, HeldPartition};
use crate::waiting_limits::CollectRequest;

impl Batch {
    /// Counts waiting tokens for limits until the process ends.
    pub(super) async fn count_waiting_tokens(self: Arc<Self>) {
        let partitions = self.settings.log.partitions;
        let limits = Arc::clone(&self.waiting_limits);
        limits
            .run_counting(|| self.owners.owner_addresses(partitions))
            .await;
    }

    /// Answers the requests of counting gateways until the process ends.
    pub(super) async fn answer_collect_requests(self: Arc<Self>) {
        let Some(mut requests) = self.waiting_limits.take_collect_requests() else {
            return;
        };
        while let Some(request) = requests.recv().await {
            if !request.is_exact {
                self.report_held_tokens(request);
                continue;
            }
            let batch = Arc::clone(&self);
            tokio::spawn(async move {
                batch.catch_up_held_partitions().await;
                batch.report_held_tokens(request);
            });
        }
    }

    /// Reads the held partitions up to their current ends.
    async fn catch_up_held_partitions(&self) {
        let held = self.leases.partitions();
        let reads = held
            .iter()
            .map(|partition| self.replay.catch_up(*partition));
        let outcomes = join_all(reads).await;
        let unread = outcomes.iter().filter(|read| read.is_err()).count();
        if unread > 0 {
            log::info!(unread;
                "some held partitions could not be read up to their end; reporting their last known state");
        }
    }

    fn report_held_tokens(&self, request: CollectRequest) {
        let Some(configuration) = self.dispatcher.fleet_state.configuration() else {
            return;
        };
        let now = self.dispatcher.clock.now();
        let held = self.leases.partitions().into_iter();
        let held = held.filter_map(|partition| {
            let state = self.replay.state(partition);
            held_partition(partition, &state, &request.allowance, &configuration, now)
        });
        let held = held.collect();
        self.waiting_limits.answer_collect_request(request, held);
    }
}

/// Returns the waiting tokens of an allowance in a partition; `None` before the partition has been read completely.
fn held_partition(
    partition: u32,
    state: &PartitionState,
    allowance: &Allowance,
    configuration: &Configuration,
    now: Duration,
) -> Option<HeldPartition> {
    let (as_of, end) = state.complete_as_of()?;
    let jobs = state.fold.waiting_tokens();
    let counted =
        jobs.filter(|(spec, tokens)| *tokens > 0 && counts_for(spec, allowance, configuration));
    Some(HeldPartition {
        partition,
        tokens: total_tokens(counted.map(|(_, tokens)| tokens)),
        end,
        age_ms: now.saturating_sub(as_of).as_millis() as u64,
    })
}

/// Whether a job counts for an allowance. The route is the one that the job was submitted on or, if that no longer
/// exists, the one that matches the job's host and path now.
fn counts_for(spec: &JobSpec, allowance: &Allowance, configuration: &Configuration) -> bool {
    if spec.tenant != allowance.tenant {
        return false;
    }
    let named = spec.route.as_deref();
    let route = named.and_then(|name| configuration.route_named(name));
    let route = route.or_else(|| configuration.route(&spec.host, &spec.path));
    route.is_some_and(|route| route.name == allowance.route)
}
