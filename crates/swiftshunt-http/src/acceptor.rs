//! A listener that can be closed while its connections are still served.

use std::io::Result as IoResult;

use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::ArcFusePolicy;
use tokio_util::sync::CancellationToken;

/// Accepts until its token is cancelled; then takes what still waits and closes the listener.
pub(crate) struct ClosableAcceptor {
    listening: Option<TcpAcceptor>,
    holdings: Vec<Holding>,
    closing: CancellationToken,
}

impl ClosableAcceptor {
    pub(crate) fn new(acceptor: TcpAcceptor, closing: CancellationToken) -> Self {
        Self {
            holdings: acceptor.holdings().to_vec(),
            listening: Some(acceptor),
            closing,
        }
    }
}

impl Acceptor for ClosableAcceptor {
    type Coupler = <TcpAcceptor as Acceptor>::Coupler;
    type Stream = <TcpAcceptor as Acceptor>::Stream;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> IoResult<Accepted<Self::Coupler, Self::Stream>> {
        if let Some(acceptor) = &mut self.listening {
            // Connections that were made before the close come first.
            tokio::select! {
                biased;
                accepted = acceptor.accept(fuse_policy) => return accepted,
                () = self.closing.cancelled() => self.listening = None,
            }
        }
        std::future::pending().await
    }
}
