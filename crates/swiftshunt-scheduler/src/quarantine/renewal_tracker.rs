//! Finds workers that renew their directory entries after they were recorded as ended.

use std::collections::HashMap;

use crate::slots::WorkerKey;

/// A renewal counts from this many readings after the first one at whose end the worker was
/// recorded as ended. That first reading may have been answered before the end was recorded. The
/// next one was requested after it, so entries that a later reading returns were written after the
/// end was recorded.
const READINGS_UNTIL_CERTAIN: u64 = 2;

/// Renewals since workers were recorded as ended, counted in readings of the directory's tail.
#[derive(Debug, Default)]
pub struct RenewalTracker {
    readings: u64,
    /// The first reading at whose end each worker was recorded as ended.
    first_readings: HashMap<WorkerKey, u64>,
}

impl RenewalTracker {
    /// Records the end of a reading in which the workers `renewed` renewed their entries. Returns
    /// those that renewed after they were recorded as ended.
    pub fn record_reading(
        &mut self,
        ended_workers: impl Iterator<Item = WorkerKey>,
        renewed: &[WorkerKey],
    ) -> Vec<WorkerKey> {
        self.readings += 1;
        let before = std::mem::take(&mut self.first_readings);
        for worker in ended_workers {
            let first_reading = before.get(&worker).copied().unwrap_or(self.readings);
            self.first_readings.insert(worker, first_reading);
        }
        let is_alive = |worker: &WorkerKey| {
            let first_reading = self.first_readings.get(worker);
            first_reading.is_some_and(|first_reading| {
                self.readings >= first_reading + READINGS_UNTIL_CERTAIN
            })
        };
        renewed.iter().copied().filter(is_alive).collect()
    }
}
