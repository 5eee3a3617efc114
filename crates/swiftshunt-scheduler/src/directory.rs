//! What the directory says of a worker.

use std::cmp::Ordering;
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

/// One life of a worker. A worker that starts again has another life, though it may keep its identifier: it
/// holds and knows nothing of what it did before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLife {
    /// The identifier, under which it is listed.
    pub id: String,
    /// When it started, in milliseconds of Unix time; none where workers do not tell. Those start again under
    /// another identifier.
    pub started_unix_ms: Option<u64>,
}

impl WorkerLife {
    /// The incarnation: a text that no other life has.
    pub fn incarnation(&self) -> String {
        match self.started_unix_ms {
            Some(started) => format!("{}@{started}", self.id),
            None => self.id.clone(),
        }
    }

    /// Whether this life of a worker came before another one, after it, or is that one. One that does not tell
    /// its start is taken for the one that does.
    pub(crate) fn compare(&self, known: &Self) -> Ordering {
        match (self.started_unix_ms, known.started_unix_ms) {
            (None, Some(_)) => Ordering::Equal,
            (own, known) => own.cmp(&known),
        }
    }
}

/// An entry of the directory: one life of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// The life.
    pub life: WorkerLife,
    /// Its incarnation.
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
