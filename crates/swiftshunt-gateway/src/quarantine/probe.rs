//! Whether a worker takes connections, as seen from here and from its own zone.
//!
//! A system refuses connections to the port of a process that has ended. So does whatever stands on the way to a
//! zone that is cut off, and then the worker is there all the same. A gateway in the worker's zone tells the two
//! apart.

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

/// Time within which a connection is refused or taken: a few times the way to and fro within a region.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time within which a gateway that is asked to look has answered.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(120);
/// Gateways that are asked: one of them may be away.
const MAX_WITNESSES: usize = 2;

impl Quarantine {
    /// What a second place sees of a worker that refuses connections here; the same where there is none.
    pub(super) async fn ask_witnesses(&self, chosen: &ChosenWorker) -> Sight {
        let witnesses = self.witnesses(&chosen.zone);
        if witnesses.is_empty() {
            return Sight::Refuses;
        }
        let seen = self.request_probes(chosen.address, &witnesses).await;
        log::info!(worker = chosen.incarnation.as_str(), zone = chosen.zone.as_str(),
            asked = witnesses.len(), seen:? = seen;
            "a worker refuses connections: others looked, too");
        seen
    }

    /// Gateways that look for this one: in the zone of the worker, or any where none is known there.
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

    /// What the first of some gateways to answer sees.
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

    /// Looks at a worker for another gateway.
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

    /// Another gateway has looked.
    pub(super) fn deliver_probe_result(&self, ask: u64, sight: Sight) {
        let asked = lock(&self.pending_probes).get(&ask).cloned();
        if asked.is_none_or(|asked| asked.send(sight).is_err()) {
            log::debug!(ask, sight:? = sight; "a look at a worker came to nobody");
        }
    }
}

/// What becomes of a connection to an address.
pub(super) async fn probe_connection(address: SocketAddr) -> Sight {
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Sight::Takes,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Sight::Refuses,
        Ok(Err(_)) | Err(_) => Sight::Nothing,
    }
}
