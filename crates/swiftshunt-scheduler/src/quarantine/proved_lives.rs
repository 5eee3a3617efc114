//! Lives of workers that are proved to have ended, and the lives that followed under the same
//! identifier.
//!
//! A gateway sends to a restarted worker under the name of its last life until it has read the
//! worker's new directory entry, and to a worker that has ended while a device on the network path
//! still accepts connections for it. The time at which the next life started tells the two cases
//! apart: a request that was sent before it reached the ended life or nothing.

use std::collections::HashMap;
use std::time::Duration;

use super::{Evidence, PROVED_END_TTL, WorkerEnd};
use crate::slots::WorkerKey;

/// Most ended lives that are remembered: enough to replace each worker of the largest fleet several
/// times within [`PROVED_END_TTL`].
const MAX_PROVED_LIVES: usize = 4_096;

/// The life of a worker that followed another one under the same identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextLife {
    /// The worker in its next life.
    pub worker: WorkerKey,
    /// When that life started, in milliseconds of Unix time, by the worker's clock.
    pub started_unix_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct ProvedLife {
    next: Option<NextLife>,
    /// When the life is forgotten.
    expires_at: Duration,
}

/// Lives that are proved to have ended.
#[derive(Debug, Default)]
pub(super) struct ProvedLives {
    lives: HashMap<WorkerKey, ProvedLife>,
}

impl ProvedLives {
    /// Records that a life has ended. `next` is the life that followed it, if that is known; a known
    /// one stays.
    pub(super) fn record(&mut self, worker: WorkerKey, next: Option<NextLife>, now: Duration) {
        if self.lives.len() >= MAX_PROVED_LIVES && !self.lives.contains_key(&worker) {
            self.evict_next_to_expire();
        }
        let known_next = self.lives.get(&worker).and_then(|life| life.next);
        let life = ProvedLife {
            next: next.or(known_next),
            expires_at: now + PROVED_END_TTL,
        };
        self.lives.insert(worker, life);
    }

    /// Returns whether the life is proved to have ended.
    pub(super) fn contains(&self, worker: WorkerKey) -> bool {
        self.lives.contains_key(&worker)
    }

    /// Returns the end as that of the life that the request reached, which may be a later one than
    /// the request named. The end is proved if that life is.
    pub(super) fn attribute(&self, end: WorkerEnd) -> WorkerEnd {
        let mut end = end;
        let mut life_started = 0;
        while let Some(life) = self.lives.get(&end.worker) {
            // Lives follow each other in the order of their starts, so that this ends.
            let reached = life.next.filter(|next| {
                next.started_unix_ms > life_started && end.sent_unix_ms >= next.started_unix_ms
            });
            let Some(next) = reached else {
                end.evidence = Evidence::Proved;
                return end;
            };
            life_started = next.started_unix_ms;
            end.worker = next.worker;
            end.evidence = Evidence::Suspected;
        }
        end
    }

    /// Removes a life, since the proof of its end is refuted.
    pub(super) fn forget(&mut self, worker: WorkerKey) {
        self.lives.remove(&worker);
    }

    /// Removes the lives that have expired.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.lives.retain(|_, life| life.expires_at > now);
    }

    /// Returns the lives that are proved to have ended.
    pub(super) fn workers(&self) -> impl Iterator<Item = WorkerKey> {
        self.lives.keys().copied()
    }

    fn evict_next_to_expire(&mut self) {
        let next = self.lives.iter().min_by_key(|(_, life)| life.expires_at);
        if let Some(worker) = next.map(|(worker, _)| *worker) {
            self.lives.remove(&worker);
        }
    }
}
