//! Entries that workers renew after they are said to have ended.

use std::collections::HashMap;

use crate::slots::WorkerKey;

/// Readings of the directory after one that ended when an accusation was known already: that one may have been
/// answered before, the next one was asked for after it, so that what comes with a later one was written after it.
const READINGS_BEFORE: u64 = 2;

/// Renewals, counted in readings of the directory's tail.
#[derive(Debug, Default)]
pub struct RenewalTracker {
    readings: u64,
    /// The first reading at whose end each accused worker was known to be.
    accused_at: HashMap<WorkerKey, u64>,
}

impl RenewalTracker {
    /// A reading has ended in which these workers renewed their entries; gives those of the accused that did so
    /// after they were accused.
    pub fn record_reading(
        &mut self,
        accused: impl Iterator<Item = WorkerKey>,
        renewed: &[WorkerKey],
    ) -> Vec<WorkerKey> {
        self.readings += 1;
        let before = std::mem::take(&mut self.accused_at);
        for worker in accused {
            let since = before.get(&worker).copied().unwrap_or(self.readings);
            self.accused_at.insert(worker, since);
        }
        let is_alive = |worker: &WorkerKey| {
            let since = self.accused_at.get(worker);
            since.is_some_and(|since| self.readings >= since + READINGS_BEFORE)
        };
        renewed.iter().copied().filter(is_alive).collect()
    }
}
