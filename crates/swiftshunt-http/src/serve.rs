//! Listening and the graceful stop.

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

/// Time in which a request on a connection accepted last is read; a part of it passes before the listener
/// closes.
const LAST_REQUEST: Duration = Duration::from_millis(300);

/// Why an address cannot be listened on.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address}: {reason}")]
pub struct BindError {
    /// The address.
    pub address: SocketAddr,
    /// The system's reason.
    pub reason: String,
}

/// A server that runs.
pub struct ServeHandle {
    handle: ServerHandle,
    draining: CancellationToken,
    closing: CancellationToken,
    task: JoinHandle<()>,
}

impl ServeHandle {
    /// From here on each answer closes its connection, so that callers with kept connections go
    /// elsewhere before the stop.
    pub fn drain(&self) {
        self.draining.cancel();
    }

    /// Accepts nothing new, answers what has come, and ends once open requests have, or after
    /// `limit`.
    ///
    /// The library closes a connection whose first request it has not read yet; so the listener is
    /// closed first, and what was accepted last gets time for its request.
    pub async fn stop(&self, limit: Duration) {
        self.drain();
        self.closing.cancel();
        tokio::time::sleep(LAST_REQUEST).await;
        self.handle.stop_graceful(Some(limit));
    }

    /// Waits until the server has ended.
    pub async fn ended(&mut self) {
        drop((&mut self.task).await);
    }

    /// Ends at once.
    pub fn abort(&self) {
        self.task.abort();
    }
}

/// Binds an address; port 0 lets the system choose one.
pub async fn bind(address: SocketAddr) -> Result<(TcpAcceptor, SocketAddr), BindError> {
    let failed = |reason: String| BindError { address, reason };
    let bound = TcpListener::new(address).try_bind().await;
    let acceptor = bound.map_err(|error| failed(error.to_string()))?;
    let holding = acceptor.holdings().first();
    let local = holding.and_then(|holding| holding.local_addr.clone().into_std());
    let local = local.ok_or_else(|| failed("no address was bound".to_owned()))?;
    Ok((acceptor, local))
}

/// Serves a router as a task.
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

/// Asks the library to close each connection behind its answer.
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
