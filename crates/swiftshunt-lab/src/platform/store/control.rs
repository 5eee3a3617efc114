//! HTTP calls by which tests control the store stand-in while it runs in another process.

use std::sync::Mutex;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::wire::status_answer;
use super::{Shared, StoreFaults};
use crate::platform::server::{Body, BrokenOff};
use crate::stand_in::lock;

/// Path that sets the faults of the listener that receives the call; the body is a [`StoreFaults`] in JSON.
pub const CONTROL_FAULTS_PATH: &str = "/stand-in/faults";
/// Path that deletes the history of every partition; see [`super::Store::drop_history`].
pub const CONTROL_DROP_HISTORY_PATH: &str = "/stand-in/drop-history";
/// Path that reassigns all partitions; see [`super::Store::reassign_partitions`].
pub const CONTROL_REASSIGN_PATH: &str = "/stand-in/deal-anew";

/// Prefix of the paths above. Calls to it are neither counted nor subject to faults.
pub(super) const CONTROL_PATH_PREFIX: &str = "/stand-in/";

/// Executes a control call. Responds with 400 if the faults cannot be parsed, and with 404 to unknown paths.
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
