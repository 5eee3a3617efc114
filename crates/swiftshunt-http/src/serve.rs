//! Binding an address, serving a router and stopping the server gracefully.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Acceptor, Listener, TcpListener};
use salvo::http::HeaderValue;
use salvo::http::header::CONNECTION;
use salvo::server::ServerHandle;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::acceptor::ClosableAcceptor;

/// Time from the start of a stop within which the first request on each of the connections accepted last must
/// be read. It includes the time until the listener closes.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(300);

/// The reason why an address cannot be listened on.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address}: {reason}")]
pub struct BindError {
    /// The address that was to be bound.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub reason: String,
}

/// Handle of a running server.
pub struct ServeHandle {
    handle: ServerHandle,
    draining: CancellationToken,
    closing: CancellationToken,
    task: JoinHandle<()>,
}

impl ServeHandle {
    /// Makes each further response close its connection, so that clients with persistent connections
    /// switch to another server before the stop.
    pub fn drain(&self) {
        self.draining.cancel();
    }

    /// Stops accepting connections and answers the requests that were received. The server ends when all
    /// open requests have ended, or when `limit` has passed.
    ///
    /// The library closes a connection whose first request it has not read yet. Therefore the listener is
    /// closed first, and the connections accepted last get time to deliver their request.
    pub async fn stop(&self, limit: Duration) {
        self.drain();
        self.closing.cancel();
        tokio::time::sleep(LAST_REQUEST_WAIT).await;
        self.handle.stop_graceful(Some(limit));
    }

    /// Waits until the server has ended.
    pub async fn ended(&mut self) {
        drop((&mut self.task).await);
    }

    /// Ends the server immediately, without waiting for open requests.
    pub fn abort(&self) {
        self.task.abort();
    }
}

/// Binds an address and returns the acceptor with the bound address; with port 0 the operating system
/// chooses a free port.
pub async fn bind(address: SocketAddr) -> Result<(TcpAcceptor, SocketAddr), BindError> {
    let failed = |reason: String| BindError { address, reason };
    let bound = TcpListener::new(address).try_bind().await;
    let acceptor = bound.map_err(|error| failed(error.to_string()))?;
    let holding = acceptor.holdings().first();
    let local = holding.and_then(|holding| holding.local_addr.clone().into_std());
    let local = local.ok_or_else(|| failed("no address was bound".to_owned()))?;
    Ok((acceptor, local))
}

/// Serves a router in a new task.
pub fn serve(acceptor: TcpAcceptor, router: Router) -> ServeHandle {
    let draining = CancellationToken::new();
    let closing = CancellationToken::new();
    let server = Server::new(ClosableAcceptor::new(acceptor, closing.clone()));
    let handle = server.handle();
    let router = Router::new()
        .hoop(CloseWhileDraining(draining.clone()))
        .push(router);
    let task = tokio::spawn(async move { server.serve(router).await });
    ServeHandle {
        handle,
        draining,
        closing,
        task,
    }
}

/// Makes the library close each connection after its response once the server drains.
struct CloseWhileDraining(CancellationToken);

#[async_trait]
impl Handler for CloseWhileDraining {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) {
        control.call_next(request, depot, response).await;
        if self.0.is_cancelled() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
    }
}
