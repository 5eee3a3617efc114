//! Parts that all stand-ins share: the server, the announcement of its address, and locking of state.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde_json::json;
use swiftshunt_http::{BindError, Router, ServeHandle, bind, serve};

/// A stand-in that runs in tasks of this process.
pub struct RunningStandIn {
    /// Address on which the stand-in listens.
    pub address: SocketAddr,
    server: ServeHandle,
}

impl RunningStandIn {
    /// Serves `router` on `listen`. With port 0 the operating system chooses a free port.
    pub async fn start(listen: SocketAddr, router: Router) -> Result<Self, BindError> {
        let (acceptor, address) = bind(listen).await?;
        let server = serve(acceptor, router);
        Ok(Self { address, server })
    }

    /// Writes the address as one JSON line to standard output, where the parent process reads it.
    pub fn announce(&self, service: &str) {
        let line = json!({ "event": "listening", "service": service, "address": self.address });
        println!("{line}");
    }

    /// Waits until the server has stopped.
    pub async fn ended(&mut self) {
        self.server.ended().await;
    }

    /// Stops the server at once, without waiting for open requests.
    pub fn abort(&self) {
        self.server.abort();
    }
}

/// Locks a mutex and ignores poisoning, so that a panic in one request does not stop the stand-in.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
