//! What the directory says of a worker.

use std::net::SocketAddr;
use std::time::Duration;

/// Whether a worker may be given new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It takes new work.
    Ready,
    /// It is leaving.
    Draining,
}

/// An entry of the directory: one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// The incarnation; a restarted worker has another one.
    pub incarnation: String,
    /// The service it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may be given new work.
    pub availability: Availability,
    /// How much longer it is slow after its start.
    pub cold_left: Duration,
}
