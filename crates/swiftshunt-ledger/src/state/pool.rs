//! Events and targets that operators declared for a pool, and the load orders issued for them.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use swiftshunt_types::{ModelName, PoolName, WorkerId};

/// Most load orders kept per pool for `show orders` and `explain`; a new one evicts the oldest.
const MAX_RETAINED_ORDERS: usize = 256;

/// Expected demand during a fixed period.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Name, unique among the pool's events.
    pub name: String,
    /// Start in seconds of Unix time.
    pub start: u64,
    /// Duration in seconds.
    pub lasting: u64,
    /// Expected request rate during the event.
    pub requests_per_second: u64,
    /// Who declared the event.
    pub by: String,
}

/// A number of engines that must have a model loaded by a given time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name, unique among the pool's targets.
    pub name: String,
    /// The model to load.
    pub model: ModelName,
    /// Number of engines in each zone that must have loaded the model.
    pub replicas: u32,
    /// Time by which the engines must be ready, in seconds of Unix time.
    pub ready_by: u64,
    /// Who declared the target.
    pub by: String,
}

/// The status of a load order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderStatus {
    /// Committed; the engine may or may not have received the order.
    Given,
    /// The engine accepted the order.
    Taken,
    /// The engine refused the order or could not be reached.
    Failed {
        /// Description of the refusal or of the failed call.
        reason: String,
    },
}

/// An order to an engine to load a model. Committed before it is sent to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Increases with each order of the pool; part of the order's fencing token.
    pub sequence: u64,
    /// Name of the target that the order serves.
    pub target: String,
    /// The engine that is to load the model.
    pub worker: WorkerId,
    /// The model to load.
    pub model: ModelName,
    /// Time of the order in seconds of Unix time, as given by the proposer.
    pub given_at: u64,
    /// The last recorded status.
    pub status: OrderStatus,
}

/// The declarations and recent load orders of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolState {
    /// Declared events by name.
    pub events: BTreeMap<String, Event>,
    /// Declared targets by name.
    pub targets: BTreeMap<String, Target>,
    /// The newest load orders, oldest first; their number is limited.
    pub orders: VecDeque<Order>,
    next_sequence: u64,
}

/// A command on a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolCommand {
    /// Declare an event, replacing an event of the same name.
    PutEvent(Event),
    /// Remove the event with this name.
    DropEvent(String),
    /// Declare a target, replacing a target of the same name.
    PutTarget(Target),
    /// Remove the target with this name.
    DropTarget(String),
    /// Add an order for an engine to load a model.
    GiveOrder {
        /// Name of the target that the order serves.
        target: String,
        /// The engine that is to load the model.
        worker: WorkerId,
        /// The model to load.
        model: ModelName,
        /// Time of the order in seconds of Unix time.
        at: u64,
    },
    /// Record the status of an order.
    EndOrder {
        /// Sequence number of the order.
        sequence: u64,
        /// The status to record.
        status: OrderStatus,
    },
}

/// The outcome of a [`PoolCommand`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolOutcome {
    /// The command took effect.
    Done,
    /// The order was added with this sequence number and may be sent.
    Ordered(u64),
    /// The event, target or order does not exist.
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

    /// Adds an order, provided that its target is still declared.
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

/// The key whose partition stores the pool's state.
pub fn pool_key(pool: &PoolName) -> String {
    format!("pool:{pool}")
}
