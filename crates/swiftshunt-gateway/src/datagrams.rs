//! The socket over which gateways send each other datagrams. Sending does not block: a datagram that does not fit
//! into the socket's buffer is dropped.

use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::Arc;

use socket2::SockRef;
use tokio::net::UdpSocket;

use crate::members::Members;
use crate::messages::Notice;
use crate::metrics::Metrics;

/// Largest datagram that is received, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Number of times that a task yields to the one that handles datagrams. At each, that task handles a hundred or more.
const MAX_YIELDS: usize = 64;

/// Sends and receives datagrams, and counts those that are sent or dropped.
pub(crate) struct Datagrams {
    socket: UdpSocket,
    members: Arc<Members>,
    metrics: Arc<Metrics>,
}

impl Datagrams {
    pub(crate) fn new(socket: UdpSocket, members: Arc<Members>, metrics: Arc<Metrics>) -> Self {
        Self {
            socket,
            members,
            metrics,
        }
    }

    /// Sends a message to each gateway in `to`.
    pub(crate) fn send(&self, message: &Notice, to: impl IntoIterator<Item = SocketAddr>) {
        let mut datagram = Vec::new();
        if let Err(error) = ciborium::into_writer(message, &mut datagram) {
            log::error!("cannot encode a message to other gateways: {error}");
            return;
        }
        let content = message.into();
        for gateway in to {
            match self.socket.try_send_to(&datagram, gateway) {
                Ok(bytes) => {
                    self.metrics.notices_sent.inc();
                    let distance = self.members.distance_to(gateway);
                    self.metrics.traffic.count_bytes(content, distance, bytes);
                }
                Err(_) => drop(self.metrics.notices_dropped.inc()),
            }
        }
    }

    /// Waits until the datagrams that have arrived before this call are handled. The task that handles them may run
    /// after one whose connection was written to later.
    pub(crate) async fn wait_until_handled(&self) {
        for _ in 0..MAX_YIELDS {
            if !self.has_unhandled() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Whether a datagram waits in the socket's buffer. The runtime's own view is as old as its last poll.
    fn has_unhandled(&self) -> bool {
        let mut first_byte = [MaybeUninit::uninit()];
        SockRef::from(&self.socket).peek(&mut first_byte).is_ok()
    }

    /// Waits for a datagram and returns its length and its sender.
    pub(crate) async fn receive(&self, buffer: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }
}
