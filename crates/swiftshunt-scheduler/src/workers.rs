//! The state that a node keeps for each worker: its entry in the machine list, its last load
//! report, which lags behind, and the node's own requests in progress.

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
    /// Requests that are running.
    pub running: u32,
    /// Batch requests among the running ones.
    pub running_batch: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that the worker runs concurrently.
    pub slots: u32,
    /// Whether the worker reports that it accepts no new requests.
    pub leaving: bool,
}

/// The state of one worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker's entry in the machine list.
    pub machine: Machine,
    /// Loaded models; empty if the worker does not report them.
    pub models: Vec<ModelName>,
    /// The latest load report and the time of the request for it.
    pub report: Option<(LoadReport, Monotonic)>,
    /// This node's online requests in progress at the worker.
    pub own_online: u32,
    /// This node's batch requests in progress at the worker.
    pub own_batch: u32,
    /// When this node last failed to connect to the worker; `None` after a later load report.
    pub failed_at: Option<Monotonic>,
}

impl Worker {
    /// Returns the estimated number of online requests at the worker: that of the report, or of
    /// this node's own requests if there are more, since a report lags behind.
    pub fn online_load(&self) -> u32 {
        let reported = self.report.map_or(0, |(report, _)| {
            let load = report.running.saturating_add(report.waiting);
            load.saturating_sub(report.running_batch)
        });
        reported.max(self.own_online)
    }

    /// Returns the number of requests that the worker runs concurrently; 1 until it has reported.
    pub fn slots(&self) -> u32 {
        self.report.map_or(1, |(report, _)| report.slots.max(1))
    }

    /// Returns whether no connection to the worker has failed recently.
    pub fn is_reachable(&self, now: Monotonic) -> bool {
        self.failed_at.is_none_or(|at| now >= at + FAILURE_PENALTY)
    }

    /// Returns whether the worker serves `model`; true if it does not report its models.
    pub fn serves(&self, model: &ModelName) -> bool {
        self.models.is_empty() || self.models.contains(model)
    }
}

/// All workers that a node knows.
#[derive(Clone, Debug, Default)]
pub struct WorkerTable {
    version: u64,
    workers: BTreeMap<WorkerId, Worker>,
    leaving: BTreeSet<(WorkerId, SocketAddr)>,
}

/// Time for which a worker is avoided after a failed connection, unless no other worker is left.
const FAILURE_PENALTY: Duration = Duration::from_millis(500);

impl WorkerTable {
    /// Applies a machine list if it is newer than the current one. Returns whether it was.
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

    /// Returns the version of the current machine list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records a report that was requested at `asked_at`.
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

    /// Records that a worker at an address accepts no new requests, as learned from another node.
    pub fn mark_leaving(&mut self, id: WorkerId, address: SocketAddr) {
        self.leaving.insert((id, address));
    }

    /// Returns the workers that accept no new requests, according to their own reports or to other
    /// nodes, so that further nodes can be informed.
    pub fn self_declared_leaving(&self) -> impl Iterator<Item = &(WorkerId, SocketAddr)> {
        self.leaving.iter()
    }

    /// Records that a connection to the worker failed.
    pub fn record_connection_failure(&mut self, id: &WorkerId, now: Monotonic) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.failed_at = Some(now);
        }
    }

    /// Returns whether the worker accepts new requests, according to the machine list, its own
    /// reports and other nodes.
    pub fn is_accepting(&self, worker: &Worker) -> bool {
        let key = (worker.machine.id.clone(), worker.machine.address);
        worker.machine.state == MachineState::Live && !self.leaving.contains(&key)
    }

    /// Returns the workers of a pool that accept new requests, only those in `zone` if there are
    /// any. Recently unreachable workers are excluded as long as others remain.
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

    /// Returns the workers of a pool in a zone among which a node chooses: all of them, or a stable
    /// subset of `size` that differs between nodes, so that the cost of a node does not grow with
    /// the fleet.
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

    /// Returns a worker by its identifier.
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns a worker by its identifier, to update the count of this node's requests.
    pub fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        self.workers.get_mut(id)
    }

    /// Iterates over all workers.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }
}
