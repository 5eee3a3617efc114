//! Records of the log that cannot be read. Others may write there, too; what they write is passed over, counted,
//! and told in one line a minute for each key, however often it is written and read.

use std::collections::HashMap;
use std::fmt::Display;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_journal::Topic;

use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::metrics::Metrics;

/// Records that are remembered at most. What comes beyond is counted and told of no more.
const MOST_REMEMBERED: usize = 256;
/// Pause between two lines about one key.
const TOLD_EVERY: Duration = Duration::from_secs(60);

/// A key under which a record could not be read.
struct Unreadable {
    is_unreadable: bool,
    told_at: Duration,
}

/// Where records were passed over, by topic and key.
pub(crate) struct UnreadableRecords {
    metrics: Arc<Metrics>,
    clock: Clock,
    known: Mutex<HashMap<(Topic, Vec<u8>), Unreadable>>,
}

impl UnreadableRecords {
    pub(crate) fn new(metrics: Arc<Metrics>, clock: Clock) -> Self {
        Self {
            metrics,
            clock,
            known: Mutex::default(),
        }
    }

    /// A record cannot be read.
    pub(crate) fn record_unreadable(&self, topic: Topic, key: &[u8], reason: &impl Display) {
        self.metrics.records_unreadable.inc();
        let now = self.clock.now();
        let mut known = lock(&self.known);
        let place = (topic, key.to_vec());
        if let Some(known) = known.get_mut(&place) {
            known.is_unreadable = true;
            if now < known.told_at + TOLD_EVERY {
                return;
            }
        } else if known.len() >= MOST_REMEMBERED {
            return;
        }
        log::warn!(topic:? = topic, key = String::from_utf8_lossy(key).as_ref();
            "a record cannot be read and is passed over: {reason}");
        let unreadable = Unreadable {
            is_unreadable: true,
            told_at: now,
        };
        known.insert(place, unreadable);
    }

    /// Whether a record could not be read when it was read last.
    pub(crate) fn is_known(&self, topic: Topic, key: &[u8]) -> bool {
        let known = lock(&self.known);
        let unreadable = known.get(&(topic, key.to_vec()));
        unreadable.is_some_and(|unreadable| unreadable.is_unreadable)
    }

    /// A record can be read, or is gone.
    pub(crate) fn mark_readable(&self, topic: Topic, key: &[u8]) {
        let mut known = lock(&self.known);
        if known.is_empty() {
            return;
        }
        if let Some(unreadable) = known.get_mut(&(topic, key.to_vec())) {
            unreadable.is_unreadable = false;
        }
    }
}
