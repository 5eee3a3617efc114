//! What tests tell the store's stand-in to do.

use std::sync::Mutex;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::wire::status_answer;
use super::{Shared, StoreFaults};
use crate::platform::server::{Body, BrokenOff};
use crate::stand_in::lock;

/// Where a test sets the faults of the door that it calls (a body of [`StoreFaults`]).
pub const CONTROL_FAULTS_PATH: &str = "/stand-in/faults";
/// Where a test has the store drop its history.
pub const CONTROL_DROP_HISTORY_PATH: &str = "/stand-in/drop-history";
/// Where a test has the store deal all partitions anew.
pub const CONTROL_REASSIGN_PATH: &str = "/stand-in/deal-anew";

/// Beginning of the paths that tests call.
pub(super) const CONTROL_PATH_PREFIX: &str = "/stand-in/";

/// Obeys a test.
pub(super) async fn handle_control_call(
    shared: &Shared,
    faults: &Mutex<StoreFaults>,
    request: Request<Incoming>,
) -> Result<Response<Body>, BrokenOff> {
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await;
    let body = body.map_err(|_| BrokenOff)?.to_bytes();
    match path.as_str() {
        CONTROL_FAULTS_PATH => match serde_json::from_slice(&body) {
            Ok(wanted) => *lock(faults) = wanted,
            Err(_) => return Ok(status_answer(StatusCode::BAD_REQUEST)),
        },
        CONTROL_DROP_HISTORY_PATH => shared.drop_history(),
        CONTROL_REASSIGN_PATH => shared.reassign_partitions(),
        _ => return Ok(status_answer(StatusCode::NOT_FOUND)),
    }
    Ok(status_answer(StatusCode::OK))
}
