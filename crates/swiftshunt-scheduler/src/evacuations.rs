//! Zones whose workers are to get nothing, as operators say.

use std::collections::BTreeMap;
use std::time::Duration;

/// The zones that are evacuated, and those that were.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Since when, on the own clock.
    evacuated: BTreeMap<String, Duration>,
    /// When each was withdrawn, on the own clock.
    withdrawn: BTreeMap<String, Duration>,
}

impl Evacuations {
    /// A zone is to be evacuated; gives whether that is new.
    pub fn begin(&mut self, zone: &str, now: Duration) -> bool {
        self.withdrawn.remove(zone);
        let is_new = !self.evacuated.contains_key(zone);
        self.evacuated.entry(zone.to_owned()).or_insert(now);
        is_new
    }

    /// A zone is no longer to be evacuated; gives whether it was.
    pub fn withdraw(&mut self, zone: &str, now: Duration) -> bool {
        let was_evacuated = self.evacuated.remove(zone).is_some();
        if was_evacuated {
            self.withdrawn.insert(zone.to_owned(), now);
        }
        was_evacuated
    }

    /// Since when a zone is evacuated, if it is.
    pub fn since(&self, zone: &str) -> Option<Duration> {
        self.evacuated.get(zone).copied()
    }

    /// When the evacuation of a zone was withdrawn last, unless it is evacuated again.
    pub fn withdrawn_at(&self, zone: &str) -> Option<Duration> {
        self.withdrawn.get(zone).copied()
    }

    /// The zones that are evacuated.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.evacuated.keys().map(String::as_str)
    }
}
