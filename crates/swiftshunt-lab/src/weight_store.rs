//! Stand-in for the weight store. Fetches run one after the other, each at the full transfer rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_backends::weights::WeightInfo;
use swiftshunt_http::{BindError, Call, ObserveFailure, Reply, Router, endpoint};
use swiftshunt_types::Failure;
use tokio::time::Instant;

use crate::stand_in::{RunningStandIn, lock};

/// Size and rate of the store, and the time until which earlier fetches occupy it.
pub struct WeightStoreState {
    info: WeightInfo,
    busy_until: Mutex<Instant>,
}

impl ObserveFailure for WeightStoreState {
    fn observe_failure(&self, _failure: &Failure) {}
}

/// Starts a weight store in tasks of this process. All models have the size and rate in `info`.
pub async fn start(
    listen: SocketAddr,
    info: WeightInfo,
) -> Result<(RunningStandIn, Arc<WeightStoreState>), BindError> {
    let state = Arc::new(WeightStoreState {
        info,
        busy_until: Mutex::new(Instant::now()),
    });
    let router = Router::new()
        .push(Router::with_path("v1/weights/{model}").get(endpoint(&state, read)))
        .push(Router::with_path("v1/weights/{model}/fetch").post(endpoint(&state, fetch)));
    let running = RunningStandIn::start(listen, router).await?;
    Ok((running, state))
}

async fn read(state: Arc<WeightStoreState>, _call: Call) -> Result<Reply, Failure> {
    Ok(Reply::json(&state.info))
}

/// Responds after the time that the transfer takes, queued behind all earlier fetches.
async fn fetch(state: Arc<WeightStoreState>, _call: Call) -> Result<Reply, Failure> {
    let seconds = state.info.bytes as f64 / state.info.bytes_per_second.max(1) as f64;
    let ready = {
        let mut busy_until = lock(&state.busy_until);
        let begin = (*busy_until).max(Instant::now());
        *busy_until = begin + Duration::from_secs_f64(seconds);
        *busy_until
    };
    tokio::time::sleep_until(ready).await;
    Ok(Reply::json(&state.info))
}
