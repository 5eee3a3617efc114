//! Probes of whether a worker accepts connections, from this gateway and from the worker's own zone.
//!
//! The operating system refuses connections to the port of a process that has ended. A device on the network path to
//! a zone that is cut off does the same while the worker runs. A probe by a gateway in the worker's zone tells the two
//! cases apart.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::seq::SliceRandom;
use swiftshunt_scheduler::selection::ChosenWorker;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::Quarantine;
use crate::fleet_state::lock;
use crate::messages::quarantine::{QuarantineMessage, Sight};

/// Time to wait until a connection is refused or accepted: a few round trips within a region.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time to wait for the answer of a gateway that was asked for a probe.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(120);
/// Pause before a probe whose connection was reset is repeated.
const RESET_RETRY_DELAY: Duration = Duration::from_millis(2);
/// Number of repetitions of a probe whose connection is reset each time.
const MAX_RESET_RETRIES: u32 = 5;
/// Number of gateways that are asked for a probe. Two, since one of them may be unavailable.
const MAX_WITNESSES: usize = 2;

impl Quarantine {
    /// Asks other gateways to probe a worker that refuses connections from here, and returns the first result. Without
    /// other gateways to ask, returns [`Sight::Refuses`].
    pub(super) async fn ask_witnesses(&self, chosen: &ChosenWorker) -> Sight {
        let witnesses = self.witnesses(&chosen.zone);
        if witnesses.is_empty() {
            return Sight::Refuses;
        }
        let seen = self.request_probes(chosen.address, &witnesses).await;
        log::info!(worker = chosen.incarnation.as_str(), zone = chosen.zone.as_str(),
            asked = witnesses.len(), seen:? = seen;
            "a worker refuses connections; asked other gateways to probe it");
        seen
    }

    /// Whether there are gateways to ask for a probe of a worker in a zone.
    pub(super) fn has_witnesses(&self, zone: &str) -> bool {
        !self.witnesses(zone).is_empty()
    }

    /// Returns the gateways to ask for a probe: gateways in the worker's zone, or any others if none is known there
    /// and this gateway is not in that zone itself.
    fn witnesses(&self, zone: &str) -> Vec<SocketAddr> {
        let mut others = self.members.others();
        others.shuffle(&mut rand::rng());
        let (mut near, far): (Vec<_>, Vec<_>) = others
            .into_iter()
            .partition(|gateway| self.members.zone_of(*gateway).as_deref() == Some(zone));
        if near.is_empty() && self.members.topology().own_zone() != zone {
            near = far;
        }
        near.truncate(MAX_WITNESSES);
        near
    }

    /// Asks gateways for a probe and returns the first answer, or [`Sight::Nothing`] without one in time.
    async fn request_probes(&self, address: SocketAddr, witnesses: &[SocketAddr]) -> Sight {
        let ask = self.last_probe.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, mut answers) = mpsc::unbounded_channel();
        lock(&self.pending_probes).insert(ask, sender);
        let message = QuarantineMessage::Look { ask, address };
        self.send(message, witnesses.to_vec());
        let first = tokio::time::timeout(WITNESS_TIMEOUT, answers.recv()).await;
        lock(&self.pending_probes).remove(&ask);
        first.ok().flatten().unwrap_or(Sight::Nothing)
    }

    /// Probes a worker for another gateway and sends it the result.
    pub(super) fn probe_for_peer(
        self: &Arc<Self>,
        from: SocketAddr,
        ask: u64,
        address: SocketAddr,
    ) {
        let quarantine = Arc::clone(self);
        tokio::spawn(async move {
            let sight = probe_connection(address).await;
            quarantine.send(QuarantineMessage::Looked { ask, sight }, vec![from]);
        });
    }

    /// Hands the result of another gateway's probe to the task that waits for it.
    pub(super) fn deliver_probe_result(&self, ask: u64, sight: Sight) {
        let answer_sender = lock(&self.pending_probes).get(&ask).cloned();
        if answer_sender.is_none_or(|answer_sender| answer_sender.send(sight).is_err()) {
            log::debug!(ask, sight:? = sight; "a probe's result arrived after the wait for it ended; ignoring it");
        }
    }
}

/// Tries a connection to an address and returns what it shows. A connection that is reset has reached a listening
/// socket that was being closed, as by a process that ends: the next one shows whether it is.
pub(crate) async fn probe_connection(address: SocketAddr) -> Sight {
    let mut resets = 0;
    loop {
        let connecting = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address));
        let error = match connecting.await {
            Ok(Ok(_)) => return Sight::Takes,
            Ok(Err(error)) => error,
            Err(_) => return Sight::Nothing,
        };
        if error.kind() == ErrorKind::ConnectionRefused {
            return Sight::Refuses;
        }
        if error.kind() != ErrorKind::ConnectionReset || resets == MAX_RESET_RETRIES {
            log::info!(address = address.to_string().as_str(), error:% = error;
                "a probe of a worker failed, which does not show whether the worker has ended");
            return Sight::Nothing;
        }
        resets += 1;
        tokio::time::sleep(RESET_RETRY_DELAY).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A process that ends closes its listening socket, which resets the connections that wait there.
    #[tokio::test]
    async fn a_probe_that_reaches_a_listener_being_closed_shows_that_it_refuses() {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("cannot listen");
        let address = listener.local_addr().expect("the listener has no address");
        // The probe's connection waits in the listener's queue when the probe is polled first.
        let close = async { drop(listener) };
        let (sight, ()) = tokio::join!(biased; probe_connection(address), close);
        assert_eq!(sight, Sight::Refuses);
    }
}
