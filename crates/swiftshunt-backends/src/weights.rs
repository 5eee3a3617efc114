//! Client of the rate-limited weight store.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use swiftshunt_types::ModelName;

use swiftshunt_http::{HttpClient, HttpError};

/// Size and delivery rate of a model's weights, from which the time at which loading must begin is planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightInfo {
    /// Size of the weights, in bytes.
    pub bytes: u64,
    /// Rate at which the store delivers to all machines together, in bytes per second.
    pub bytes_per_second: u64,
}

/// Client of the weight store.
#[derive(Clone, Debug)]
pub struct WeightStore {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl WeightStore {
    /// Creates a client of the store at `address`; `timeout` limits each call.
    pub fn new(client: HttpClient, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }

    /// Returns the size and the delivery rate of a model's weights.
    pub async fn info(&self, model: &ModelName) -> Result<WeightInfo, HttpError> {
        let path = format!("/v1/weights/{model}");
        self.client
            .get_json(self.address, &path, self.timeout)
            .await
    }
}
