//! Records of the log that cannot be decoded, since other programs may write to the log, too. Such records are
//! skipped, counted, and logged at most once a minute for each key, however often they are written and read.

use std::collections::HashMap;
use std::fmt::Display;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_journal::Topic;

use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::metrics::Metrics;

/// Largest number of keys that are remembered. Records under further keys are counted, but not logged.
const MAX_REMEMBERED_KEYS: usize = 256;
/// Shortest interval between two log lines about the same key.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// The state of a key under which a record could not be read.
struct KeyState {
    /// Whether the latest record under the key is unreadable.
    is_unreadable: bool,
    logged_at: Duration,
}

/// The keys under which records were skipped, by topic.
pub(crate) struct UnreadableRecords {
    metrics: Arc<Metrics>,
    clock: Clock,
    known: Mutex<HashMap<(Topic, Vec<u8>), KeyState>>,
}

impl UnreadableRecords {
    pub(crate) fn new(metrics: Arc<Metrics>, clock: Clock) -> Self {
        Self {
            metrics,
            clock,
            known: Mutex::default(),
        }
    }

    /// Counts a record that cannot be read, and logs it unless its key was logged within `LOG_INTERVAL`.
    pub(crate) fn record_unreadable(&self, topic: Topic, key: &[u8], reason: &impl Display) {
        self.metrics.records_unreadable.inc();
        let now = self.clock.now();
        let mut known = lock(&self.known);
        let topic_key = (topic, key.to_vec());
        if let Some(known) = known.get_mut(&topic_key) {
            known.is_unreadable = true;
            if now < known.logged_at + LOG_INTERVAL {
                return;
            }
        } else if known.len() >= MAX_REMEMBERED_KEYS {
            return;
        }
        log::warn!(topic:? = topic, key = String::from_utf8_lossy(key).as_ref();
            "a record cannot be read and is passed over: {reason}");
        let state = KeyState {
            is_unreadable: true,
            logged_at: now,
        };
        known.insert(topic_key, state);
    }

    /// Whether the latest record under a key is known to be unreadable.
    pub(crate) fn is_known(&self, topic: Topic, key: &[u8]) -> bool {
        let known = lock(&self.known);
        let state = known.get(&(topic, key.to_vec()));
        state.is_some_and(|state| state.is_unreadable)
    }

    /// Records that the record under a key can be read, or was removed.
    pub(crate) fn mark_readable(&self, topic: Topic, key: &[u8]) {
        let mut known = lock(&self.known);
        if known.is_empty() {
            return;
        }
        if let Some(state) = known.get_mut(&(topic, key.to_vec())) {
            state.is_unreadable = false;
        }
    }
}
