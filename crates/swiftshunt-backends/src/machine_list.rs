//! The platform's machine list.

use std::net::SocketAddr;
use std::time::Duration;

use swiftshunt_types::MachineList;

use crate::BoxFuture;
use swiftshunt_http::{HttpClient, HttpError};

/// Path of the list.
pub const MACHINES_PATH: &str = "/v1/machines";

/// The machine list.
pub trait MachineListService: Send + Sync {
    /// The list as the platform has it now.
    fn fetch(&self) -> BoxFuture<'_, Result<MachineList, HttpError>>;
}

/// Client of the list's HTTP interface.
#[derive(Clone, Debug)]
pub struct HttpMachineList {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpMachineList {
    /// A client of the list at `address`.
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
