//! Client of the platform's machine list.

use std::net::SocketAddr;
use std::time::Duration;

use swiftshunt_types::MachineList;

use crate::BoxFuture;
use swiftshunt_http::{HttpClient, HttpError};

/// Path of the machine list.
pub const MACHINES_PATH: &str = "/v1/machines";

/// A source of the machine list.
pub trait MachineListService: Send + Sync {
    /// Fetches the platform's current list.
    fn fetch(&self) -> BoxFuture<'_, Result<MachineList, HttpError>>;
}

/// Client of the HTTP interface of the machine list.
#[derive(Clone, Debug)]
pub struct HttpMachineList {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpMachineList {
    /// Creates a client of the list at `address`; `timeout` limits each call.
    pub fn new(client: HttpClient, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }
}

impl MachineListService for HttpMachineList {
    fn fetch(&self) -> BoxFuture<'_, Result<MachineList, HttpError>> {
        let fetched = self
            .client
            .get_json(self.address, MACHINES_PATH, self.timeout);
        Box::pin(fetched)
    }
}
