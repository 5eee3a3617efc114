//! The origins of streams that a gateway remembers: those that it began, and those that others reported to it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use swiftshunt_types::OutputOrigin;

use super::key::AttemptKey;

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service and software version.
    pub output: OutputOrigin,
    /// The incarnation of the worker.
    pub worker: String,
}

/// What a table knows of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded<'t> {
    /// The stream was begun by this origin, which was recorded at the given time.
    Origin(&'t StreamOrigin, Duration),
    /// Attempts with the same key were begun by different versions, so the origin is not known.
    Conflicting,
}

struct Entry {
    /// `None` if different versions were recorded.
    origin: Option<StreamOrigin>,
    recorded_at: Duration,
    expires_at: Duration,
}

/// A table of limited size. Each entry expires; beyond the limit, the oldest entry is dropped.
pub struct OriginTable {
    entries: HashMap<AttemptKey, Entry>,
    /// Keys in the order in which they were recorded, with the expiry known then.
    order: VecDeque<(Duration, AttemptKey)>,
    capacity: usize,
}

impl OriginTable {
    /// Creates a table of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: HashMap::new(),
            order: VecDeque::new(),
            capacity,
        }
    }

    /// Records the origin of a stream for the time `ttl`. The first origin stands; one of another service or version
    /// makes the entry conflicting.
    pub fn record(&mut self, key: AttemptKey, origin: StreamOrigin, ttl: Duration, now: Duration) {
        self.remove_expired(now);
        let expires_at = now + ttl;
        match self.entries.get_mut(&key) {
            Some(entry) => {
                let is_same = |known: &StreamOrigin| known.output == origin.output;
                if !entry.origin.as_ref().is_some_and(is_same) {
                    entry.origin = None;
                }
                entry.expires_at = entry.expires_at.max(expires_at);
            }
            None => {
                let entry = Entry {
                    origin: Some(origin),
                    recorded_at: now,
                    expires_at,
                };
                self.entries.insert(key, entry);
                self.order.push_back((expires_at, key));
            }
        }
        while self.entries.len() > self.capacity {
            let Some((_, oldest)) = self.order.pop_front() else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }

    /// Returns what is known of a stream; `None` if nothing is, or no longer.
    pub fn find(&self, key: &AttemptKey, now: Duration) -> Option<Recorded<'_>> {
        let entry = self.entries.get(key)?;
        if now >= entry.expires_at {
            return None;
        }
        Some(match &entry.origin {
            Some(origin) => Recorded::Origin(origin, entry.recorded_at),
            None => Recorded::Conflicting,
        })
    }

    /// Returns the streams that a service began, with the remaining lifetime of their entries.
    pub fn begun_by<'t>(
        &'t self,
        service: &'t str,
        now: Duration,
    ) -> impl Iterator<Item = (AttemptKey, &'t StreamOrigin, Duration)> + 't {
        let entries = self.entries.iter();
        entries.filter_map(move |(key, entry)| {
            let origin = entry.origin.as_ref()?;
            let time_left = entry.expires_at.checked_sub(now)?;
            (origin.output.service == service).then_some((*key, origin, time_left))
        })
    }

    /// Returns the number of entries, including expired ones that were not removed yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_expired(&mut self, now: Duration) {
        while let Some((expires_at, key)) = self.order.front().copied() {
            if now < expires_at {
                return;
            }
            self.order.pop_front();
            let Some(entry) = self.entries.get(&key) else {
                continue;
            };
            if now >= entry.expires_at {
                self.entries.remove(&key);
            } else {
                self.order.push_back((entry.expires_at, key));
            }
        }
    }
}
