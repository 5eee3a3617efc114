//! Planning of model loads for serving targets, at the leader of the pool's partition. Loads start early
//! enough to end by the target's deadline. Each load order is committed, then sent with a fencing token.

use std::sync::Arc;
use std::time::Duration;

use swiftshunt_backends::engine::{Fence, LoadOrder};
use swiftshunt_backends::weights::WeightInfo;
use swiftshunt_ledger::state::{
    Command, Order, OrderStatus, Outcome, PoolCommand, PoolOutcome, PoolState, Target,
};
use swiftshunt_scheduler::targets::{EngineView, ReplicaTarget, due_loads};
use swiftshunt_types::{ModelName, PartitionId, PoolName, WorkerId};
use tokio_util::sync::CancellationToken;

use crate::clock::unix_seconds;
use crate::context::Context;
use crate::ledger::LeaseClock;
use crate::lock;
use crate::peer::{LedgerAnswer, LedgerOperation, LedgerQuery, PartitionView};

/// Interval at which targets are planned.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of sending one order to an engine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an order that has not failed counts as outstanding, in seconds. After it, the load may
/// be ordered again if the engine does not have the model.
const ORDER_TTL_SECONDS: u64 = 120;
/// Assumed duration of a load if the weight store is not configured or fails, in seconds.
const ASSUMED_SECONDS_PER_LOAD: f64 = 10.0;

/// Planner of the pools of one partition, for the duration of one leadership.
pub(crate) struct Planner {
    pub(crate) context: Arc<Context>,
    pub(crate) partition: PartitionId,
    pub(crate) lease: LeaseClock,
}

impl Planner {
    /// Plans periodically until `stopped` is cancelled at the end of the leadership.
    pub(crate) async fn run(self, stopped: CancellationToken) {
        let mut ticker = tokio::time::interval(PLAN_INTERVAL);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticker.tick() => self.plan_all_targets().await,
                () = stopped.cancelled() => return,
            }
        }
    }

    async fn plan_all_targets(&self) {
        let Some(LedgerAnswer::Pools(pools)) = self.query(LedgerQuery::Pools).await else {
            return;
        };
        for (pool, state) in pools {
            self.resend_given_orders(&pool, &state).await;
            for target in state.targets.values() {
                self.plan_target(&pool, &state, target).await;
            }
        }
    }

    /// Sends orders that were committed without a recorded outcome: an earlier planner may have
    /// crashed before it sent them. This planner records the outcome of its own orders before it plans
    /// again.
    async fn resend_given_orders(&self, pool: &PoolName, state: &PoolState) {
        let given = state
            .orders
            .iter()
            .filter(|order| matches!(order.status, OrderStatus::Given));
        for order in given {
            let Some(LedgerAnswer::Partition(view)) = self.query(LedgerQuery::Partition).await
            else {
                return;
            };
            let sequence = order.sequence;
            log::info!(sequence, worker = order.worker.as_str(); "resending a load order without a recorded outcome");
            let status = self
                .send(&view, &order.worker, &order.model, sequence)
                .await;
            self.change(pool, PoolCommand::EndOrder { sequence, status })
                .await;
        }
    }

    async fn plan_target(&self, pool: &PoolName, state: &PoolState, target: &Target) {
        let now = unix_seconds();
        let demand = ReplicaTarget {
            model: target.model.clone(),
            replicas: target.replicas,
            ready_by: target.ready_by,
        };
        let engines = self.engines(pool, state, &target.model, now);
        if engines.iter().all(|engine| engine.has_model) {
            return;
        }
        let seconds = self.seconds_per_load(&target.model).await;
        for worker in due_loads(&demand, &engines, seconds, now) {
            self.order(pool, target, &worker, now).await;
        }
    }

    fn engines(
        &self,
        pool: &PoolName,
        state: &PoolState,
        model: &ModelName,
        now: u64,
    ) -> Vec<EngineView> {
        let workers = lock(&self.context.workers);
        let in_pool = workers
            .iter()
            .filter(|worker| worker.machine.pool == *pool && workers.is_accepting(worker));
        let views = in_pool.map(|worker| EngineView {
            worker: worker.machine.id.clone(),
            zone: worker.machine.zone.clone(),
            has_model: worker.models.contains(model),
            is_ordered: is_outstanding(state, &worker.machine.id, model, now),
            load: worker.online_load(),
        });
        views.collect()
    }

    /// Duration of one load of the model, from its size and the rate of the weight store.
    async fn seconds_per_load(&self, model: &ModelName) -> f64 {
        let Some(store) = &self.context.weights else {
            return ASSUMED_SECONDS_PER_LOAD;
        };
        match store.info(model).await {
            Ok(WeightInfo {
                bytes,
                bytes_per_second,
            }) => bytes as f64 / bytes_per_second.max(1) as f64,
            Err(_) => ASSUMED_SECONDS_PER_LOAD,
        }
    }

    /// Commits an order, sends it and records its outcome.
    async fn order(&self, pool: &PoolName, target: &Target, worker: &WorkerId, now: u64) {
        let change = PoolCommand::GiveOrder {
            target: target.name.clone(),
            worker: worker.clone(),
            model: target.model.clone(),
            at: now,
        };
        let Some(PoolOutcome::Ordered(sequence)) = self.change(pool, change).await else {
            return;
        };
        let Some(LedgerAnswer::Partition(view)) = self.query(LedgerQuery::Partition).await else {
            return;
        };
        self.record_decisions(target, worker, sequence);
        let status = self.send(&view, worker, &target.model, sequence).await;
        self.change(pool, PoolCommand::EndOrder { sequence, status })
            .await;
    }

    async fn send(
        &self,
        view: &PartitionView,
        worker: &WorkerId,
        model: &ModelName,
        sequence: u64,
    ) -> OrderStatus {
        let failed = |reason: &str| OrderStatus::Failed {
            reason: reason.to_owned(),
        };
        let address = lock(&self.context.workers)
            .get(worker)
            .map(|worker| worker.machine.address);
        let Some(address) = address else {
            return failed("the engine is no longer listed");
        };
        if !self.lease.is_valid(self.context.clock.now()) {
            return failed("the leadership ended before the order was sent");
        }
        let order = LoadOrder {
            fence: Fence {
                generation: view.generation,
                term: view.term,
                sequence,
            },
            model: model.clone(),
        };
        match self
            .context
            .engines
            .order(address, &order, ORDER_TIMEOUT)
            .await
        {
            Ok(()) => OrderStatus::Taken,
            Err(error) => failed(&error.to_string()),
        }
    }

    async fn change(&self, pool: &PoolName, change: PoolCommand) -> Option<PoolOutcome> {
        let command = Command::Pool {
            pool: pool.clone(),
            change,
        };
        let operation = LedgerOperation::Propose(command);
        match self
            .context
            .ledger
            .execute_local(self.partition, operation)
            .await
        {
            Ok(LedgerAnswer::Outcome(Outcome::Pool(outcome))) => Some(outcome),
            _ => None,
        }
    }

    async fn query(&self, query: LedgerQuery) -> Option<LedgerAnswer> {
        let operation = LedgerOperation::Query(query);
        self.context
            .ledger
            .execute_local(self.partition, operation)
            .await
            .ok()
    }

    /// Records the decision under the target, the order and the worker, as operators may ask for any of
    /// them.
    fn record_decisions(&self, target: &Target, worker: &WorkerId, sequence: u64) {
        let decision = format!("order {sequence}: worker {worker} loads {}", target.model);
        let reason = format!(
            "target {} needs {} replicas in each zone by {}",
            target.name, target.replicas, target.ready_by
        );
        let decisions = &self.context.decisions;
        decisions.record(
            format!("target {}", target.name),
            decision.clone(),
            reason.clone(),
        );
        decisions.record(
            format!("order {sequence}"),
            decision.clone(),
            reason.clone(),
        );
        decisions.record(format!("worker {worker}"), decision, reason);
    }
}

/// Whether an order to load the model on the worker has not failed and is younger than
/// [`ORDER_TTL_SECONDS`].
fn is_outstanding(state: &PoolState, worker: &WorkerId, model: &ModelName, now: u64) -> bool {
    let is_same_load = |order: &&Order| order.worker == *worker && order.model == *model;
    state.orders.iter().filter(is_same_load).any(|order| {
        let failed = matches!(order.status, OrderStatus::Failed { .. });
        !failed && now < order.given_at + ORDER_TTL_SECONDS
    })
}
