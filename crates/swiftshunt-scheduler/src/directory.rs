//! Entries of the worker directory.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

use swiftshunt_types::SoftwareVersion;

/// Whether a worker accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The worker accepts new requests.
    Ready,
    /// The worker finishes its requests and accepts no new ones.
    Draining,
}

/// One life of a worker: the time from a start of its process to its end. A worker that restarts
/// has a new life, even under the same identifier, and keeps none of its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLife {
    /// The identifier under which the worker is listed.
    pub id: String,
    /// The start of the life, in milliseconds of Unix time; `None` for workers that do not report
    /// it. Those restart under another identifier.
    pub started_unix_ms: Option<u64>,
}

impl WorkerLife {
    /// Returns the incarnation, a string that is unique to this life.
    pub fn incarnation(&self) -> String {
        match self.started_unix_ms {
            Some(started) => format!("{}@{started}", self.id),
            None => self.id.clone(),
        }
    }

    /// Compares this life of a worker with a known one by the time of the start. A life without a
    /// start time is taken to be the known one.
    pub(crate) fn compare(&self, known: &Self) -> Ordering {
        match (self.started_unix_ms, known.started_unix_ms) {
            (None, Some(_)) => Ordering::Equal,
            (own, known) => own.cmp(&known),
        }
    }
}

/// A directory entry, which describes one life of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// The life that the entry describes.
    pub life: WorkerLife,
    /// The incarnation of that life.
    pub incarnation: String,
    /// The service that the worker belongs to.
    pub service: String,
    /// The address on which the worker accepts requests.
    pub address: SocketAddr,
    /// The zone of the worker.
    pub zone: String,
    /// The version of the worker's software.
    pub software: SoftwareVersion,
    /// Requests that the worker runs concurrently.
    pub slots: u32,
    /// Whether the worker accepts new requests.
    pub availability: Availability,
    /// Remaining time for which the worker is cold after its start; zero if it is warm.
    pub cold_left: Duration,
}
