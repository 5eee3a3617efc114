//! What operators declared of a pool, and the load orders that followed from it.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use swiftshunt_types::{ModelName, PoolName, WorkerId};

/// Ended orders kept for `show orders` and `explain`.
const MAX_RETAINED_ORDERS: usize = 256;

/// Demand at a fixed moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Its name within the pool.
    pub name: String,
    /// When it starts, in seconds of Unix time.
    pub start: u64,
    /// How long it lasts, in seconds.
    pub lasting: u64,
    /// Expected requests a second.
    pub requests_per_second: u64,
    /// Who declared it.
    pub by: String,
}

/// What must be ready by when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its name within the pool.
    pub name: String,
    /// The model.
    pub model: ModelName,
    /// Engines in each zone.
    pub replicas: u32,
    /// By when, in seconds of Unix time.
    pub ready_by: u64,
    /// Who declared it.
    pub by: String,
}

/// What became of a load order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderStatus {
    /// Decided; the engine may or may not have heard of it.
    Given,
    /// The engine took it.
    Taken,
    /// The engine refused it, or could not be reached.
    Failed {
        /// Why.
        reason: String,
    },
}

/// An order to an engine to load a model. Committed before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Rises with each order of the pool; part of the order's fence.
    pub sequence: u64,
    /// For which target.
    pub target: String,
    /// To which engine.
    pub worker: WorkerId,
    /// Which model.
    pub model: ModelName,
    /// When it was decided, in seconds of Unix time.
    pub given_at: u64,
    /// What became of it.
    pub status: OrderStatus,
}

/// Everything declared of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolState {
    /// By name.
    pub events: BTreeMap<String, Event>,
    /// By name.
    pub targets: BTreeMap<String, Target>,
    /// Oldest first.
    pub orders: VecDeque<Order>,
    next_sequence: u64,
}

/// A change to a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolCommand {
    /// Declare an event, or replace the one of the same name.
    PutEvent(Event),
    /// Forget an event.
    DropEvent(String),
    /// Declare a target, or replace the one of the same name.
    PutTarget(Target),
    /// Forget a target.
    DropTarget(String),
    /// Decide to order an engine to load a model.
    GiveOrder {
        /// For which target.
        target: String,
        /// To which engine.
        worker: WorkerId,
        /// Which model.
        model: ModelName,
        /// When, in seconds of Unix time.
        at: u64,
    },
    /// Record what became of an order.
    EndOrder {
        /// Which.
        sequence: u64,
        /// What became of it.
        status: OrderStatus,
    },
}

/// What came of a change to a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolOutcome {
    /// Done.
    Done,
    /// The order with this sequence may be sent.
    Ordered(u64),
    /// No such event, target or order.
    NotFound,
}

impl PoolState {
    pub(super) fn apply(&mut self, command: &PoolCommand) -> PoolOutcome {
        match command {
            PoolCommand::PutEvent(event) => {
                self.events.insert(event.name.clone(), event.clone());
                PoolOutcome::Done
            }
            PoolCommand::DropEvent(name) => done_or_not_found(self.events.remove(name).is_some()),
            PoolCommand::PutTarget(target) => {
                self.targets.insert(target.name.clone(), target.clone());
                PoolOutcome::Done
            }
            PoolCommand::DropTarget(name) => done_or_not_found(self.targets.remove(name).is_some()),
            PoolCommand::GiveOrder {
                target,
                worker,
                model,
                at,
            } => self.add_order(target, worker, model, *at),
            PoolCommand::EndOrder { sequence, status } => {
                let mut orders = self.orders.iter_mut();
                let order = orders.find(|order| order.sequence == *sequence);
                done_or_not_found(order.map(|order| order.status.clone_from(status)).is_some())
            }
        }
    }

    /// An order is given only while its target stands.
    fn add_order(
        &mut self,
        target: &str,
        worker: &WorkerId,
        model: &ModelName,
        at: u64,
    ) -> PoolOutcome {
        if !self.targets.contains_key(target) {
            return PoolOutcome::NotFound;
        }
        self.next_sequence += 1;
        if self.orders.len() == MAX_RETAINED_ORDERS {
            self.orders.pop_front();
        }
        self.orders.push_back(Order {
            sequence: self.next_sequence,
            target: target.to_owned(),
            worker: worker.clone(),
            model: model.clone(),
            given_at: at,
            status: OrderStatus::Given,
        });
        PoolOutcome::Ordered(self.next_sequence)
    }
}

fn done_or_not_found(found: bool) -> PoolOutcome {
    if found {
        PoolOutcome::Done
    } else {
        PoolOutcome::NotFound
    }
}

/// The identifier whose partition keeps a pool.
pub fn pool_key(pool: &PoolName) -> String {
    format!("pool:{pool}")
}
