//! Records of the log that cannot be read. Others may write there, too; what they write is passed over, counted,
//! and told in one line as long as it stays the same, however often it is read.

use std::collections::HashMap;
use std::fmt::Display;
use std::sync::{Arc, Mutex};

use swiftshunt_journal::Topic;

use crate::beliefs::lock;
use crate::metrics::Metrics;

/// Records that are remembered at most. What comes beyond is counted and told of no more.
const MOST_REMEMBERED: usize = 256;

/// Why records were passed over, by topic and key.
pub(crate) struct UnreadableRecords {
    metrics: Arc<Metrics>,
    known: Mutex<HashMap<(Topic, Vec<u8>), String>>,
}

impl UnreadableRecords {
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
            known: Mutex::default(),
        }
    }

    /// A record cannot be read.
    pub(crate) fn passed_over(&self, topic: Topic, key: &[u8], reason: &impl Display) {
        self.metrics.records_unreadable.inc();
        let reason = reason.to_string();
        let mut known = lock(&self.known);
        let place = (topic, key.to_vec());
        let is_known = known.get(&place) == Some(&reason);
        let has_room = known.len() < MOST_REMEMBERED || known.contains_key(&place);
        if is_known || !has_room {
            return;
        }
        log::warn!(topic:? = topic, key = String::from_utf8_lossy(key).as_ref(), reason = reason.as_str();
            "a record cannot be read and is passed over");
        known.insert(place, reason);
    }

    /// Whether a record was passed over when it was read last.
    pub(crate) fn is_known(&self, topic: Topic, key: &[u8]) -> bool {
        lock(&self.known).contains_key(&(topic, key.to_vec()))
    }

    /// A record can be read, or is gone.
    pub(crate) fn is_over(&self, topic: Topic, key: &[u8]) {
        lock(&self.known).remove(&(topic, key.to_vec()));
    }
}
