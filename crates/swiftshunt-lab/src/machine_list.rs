//! Stand-in for the machine list, which publishes each update after a configured lag.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;
use swiftshunt_backends::machine_list::MACHINES_PATH;
use swiftshunt_http::{BindError, Call, ObserveFailure, Reply, Router, endpoint};
use swiftshunt_types::{Failure, Machine, MachineList};

use crate::stand_in::{RunningStandIn, lock};

const BODY_LIMIT: usize = 16 << 20;
/// Number of list versions kept to serve lagging reads.
const LIST_HISTORY_LIMIT: usize = 1024;

/// Body of the control call that replaces the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachinesUpdate {
    /// All machines of the new list.
    pub machines: Vec<Machine>,
}

/// The versions of the list and the lag with which they are published.
pub struct MachineListState {
    lag: Duration,
    lists: Mutex<VecDeque<(Instant, MachineList)>>,
}

impl ObserveFailure for MachineListState {
    fn observe_failure(&self, _failure: &Failure) {}
}

/// Starts a machine list in tasks of this process.
pub async fn start(
    listen: SocketAddr,
    lag: Duration,
) -> Result<(RunningStandIn, Arc<MachineListState>), BindError> {
    let state = Arc::new(MachineListState {
        lag,
        lists: Mutex::new(VecDeque::new()),
    });
    let router = Router::new()
        .push(Router::with_path(MACHINES_PATH).get(endpoint(&state, read)))
        .push(Router::with_path("control/machines").post(endpoint(&state, update)));
    let running = RunningStandIn::start(listen, router).await?;
    Ok((running, state))
}

impl MachineListState {
    /// Replaces the list. Reads return the new list once the lag has passed.
    pub fn update(&self, machines: Vec<Machine>) {
        let mut lists = lock(&self.lists);
        let version = lists.back().map_or(0, |(_, list)| list.version) + 1;
        if lists.len() == LIST_HISTORY_LIMIT {
            lists.pop_front();
        }
        lists.push_back((Instant::now(), MachineList { version, machines }));
    }

    /// Returns the list as of `lag` ago, or the oldest kept list if all are younger; empty before the first update.
    fn visible(&self) -> MachineList {
        let lists = lock(&self.lists);
        let old_enough = lists.iter().rev().find(|(at, _)| at.elapsed() >= self.lag);
        let visible = old_enough.or_else(|| lists.front());
        visible.map_or_else(MachineList::default, |(_, list)| list.clone())
    }
}

async fn read(state: Arc<MachineListState>, _call: Call) -> Result<Reply, Failure> {
    Ok(Reply::json(&state.visible()))
}

async fn update(state: Arc<MachineListState>, mut call: Call) -> Result<Reply, Failure> {
    let update: MachinesUpdate = call.json(BODY_LIMIT).await?;
    state.update(update.machines);
    Ok(Reply::json(&json!({})))
}
