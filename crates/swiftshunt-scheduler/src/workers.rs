//! What a node knows of each worker: its place in the machine list, its lagging load report, and
//! what the node itself has sent since that report.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::affinity::rendezvous_weight;
use swiftshunt_types::{
    Machine, MachineKind, MachineList, MachineState, ModelName, Monotonic, NodeId, PoolName,
    WorkerId, ZoneName,
};

/// A load report of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Of those, batch requests.
    pub running_batch: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests the worker runs at once.
    pub slots: u32,
    /// The worker itself says that it takes nothing new.
    pub leaving: bool,
}

/// One worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its entry in the machine list.
    pub machine: Machine,
    /// Models loaded; empty if the worker does not say.
    pub models: Vec<ModelName>,
    /// The newest report and when it was asked for.
    pub report: Option<(LoadReport, Monotonic)>,
    /// This node's online requests in progress on it.
    pub own_online: u32,
    /// This node's batch requests in progress on it.
    pub own_batch: u32,
    /// When this node last failed to connect to it.
    pub failed_at: Option<Monotonic>,
}

impl Worker {
    /// Online requests that it holds, as far as known: the report's, or this node's own if those
    /// are more, since a report lags behind.
    pub fn online_load(&self) -> u32 {
        let reported = self.report.map_or(0, |(report, _)| {
            (report.running + report.waiting).saturating_sub(report.running_batch)
        });
        reported.max(self.own_online)
    }

    /// Requests the worker runs at once; 1 until it has reported.
    pub fn slots(&self) -> u32 {
        self.report.map_or(1, |(report, _)| report.slots.max(1))
    }

    /// Whether no connection to it failed a short while ago.
    pub fn is_reachable(&self, now: Monotonic) -> bool {
        self.failed_at.is_none_or(|at| now >= at + FAILURE_PENALTY)
    }

    /// Whether it serves `model`, as far as known.
    pub fn serves(&self, model: &ModelName) -> bool {
        self.models.is_empty() || self.models.contains(model)
    }
}

/// Every worker that a node knows.
#[derive(Clone, Debug, Default)]
pub struct WorkerTable {
    version: u64,
    workers: BTreeMap<WorkerId, Worker>,
    leaving: BTreeSet<(WorkerId, SocketAddr)>,
}

/// A worker that could not be connected to is passed over for this long, unless none is left.
const FAILURE_PENALTY: Duration = Duration::from_millis(500);

impl WorkerTable {
    /// Takes over a machine list if it is newer than the one held; returns whether it was.
    pub fn apply_list(&mut self, list: &MachineList) -> bool {
        if list.version <= self.version {
            return false;
        }
        self.version = list.version;
        let listed = list.machines.iter();
        let machines = listed.filter(|machine| machine.kind != MachineKind::Node);
        let mut workers = BTreeMap::new();
        for machine in machines {
            let known = self.workers.remove(&machine.id);
            let same = known.filter(|worker| worker.machine.address == machine.address);
            let worker = same.unwrap_or(Worker {
                machine: machine.clone(),
                models: Vec::new(),
                report: None,
                own_online: 0,
                own_batch: 0,
                failed_at: None,
            });
            let machine = machine.clone();
            workers.insert(machine.id.clone(), Worker { machine, ..worker });
        }
        self.workers = workers;
        true
    }

    /// Version of the machine list held.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records a report that was asked for at `asked_at`.
    pub fn record_report(
        &mut self,
        id: &WorkerId,
        report: LoadReport,
        models: Vec<ModelName>,
        asked_at: Monotonic,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.models = models;
        worker.report = Some((report, asked_at));
        worker.failed_at = None;
        if report.leaving {
            self.leaving.insert((id.clone(), worker.machine.address));
        }
    }

    /// Records that a worker at an address takes nothing new, learnt from another node.
    pub fn mark_leaving(&mut self, id: WorkerId, address: SocketAddr) {
        self.leaving.insert((id, address));
    }

    /// Workers known to be leaving by their own word, for passing on.
    pub fn self_declared_leaving(&self) -> impl Iterator<Item = &(WorkerId, SocketAddr)> {
        self.leaving.iter()
    }

    /// Records that a connection to the worker failed.
    pub fn record_connection_failure(&mut self, id: &WorkerId, now: Monotonic) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.failed_at = Some(now);
        }
    }

    /// Whether the worker may be given new work, by the list and by its own word.
    pub fn is_accepting(&self, worker: &Worker) -> bool {
        let key = (worker.machine.id.clone(), worker.machine.address);
        worker.machine.state == MachineState::Live && !self.leaving.contains(&key)
    }

    /// Workers of a pool that may be given new work, those of `zone` first if any is there.
    /// Recently unreachable ones are left out as long as others remain.
    pub fn candidates(&self, pool: &PoolName, zone: &ZoneName, now: Monotonic) -> Vec<&Worker> {
        let accepting: Vec<&Worker> = self
            .workers
            .values()
            .filter(|worker| worker.machine.pool == *pool && self.is_accepting(worker))
            .collect();
        let healthy: Vec<&Worker> = accepting
            .iter()
            .copied()
            .filter(|worker| worker.is_reachable(now))
            .collect();
        let preferred = if healthy.is_empty() {
            accepting
        } else {
            healthy
        };
        let in_zone: Vec<&Worker> = preferred
            .iter()
            .copied()
            .filter(|worker| worker.machine.zone == *zone)
            .collect();
        if in_zone.is_empty() {
            preferred
        } else {
            in_zone
        }
    }

    /// The workers of a pool in a zone among which a node chooses: all of them, or a stable subset
    /// of `size` that differs from node to node, so that a node's costs do not grow with the fleet.
    pub fn subset(
        &self,
        node: NodeId,
        pool: &PoolName,
        zone: &ZoneName,
        size: usize,
    ) -> Vec<WorkerId> {
        let members = self.workers.values();
        let in_zone =
            members.filter(|worker| worker.machine.pool == *pool && worker.machine.zone == *zone);
        let mut weighted: Vec<(u64, &WorkerId)> = in_zone
            .map(|worker| {
                (
                    rendezvous_weight(node.0, &worker.machine.id),
                    &worker.machine.id,
                )
            })
            .collect();
        weighted.sort_unstable();
        weighted.truncate(size);
        weighted.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// A worker by name.
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// A worker by name, for counting this node's own requests.
    pub fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        self.workers.get_mut(id)
    }

    /// Every worker.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }
}
