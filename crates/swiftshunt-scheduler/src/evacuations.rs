//! The zones that operators have evacuated: no request is placed there.

use std::collections::BTreeMap;
use std::time::Duration;

/// The evacuated zones, and the zones whose evacuation was withdrawn.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Start of the evacuation on the own clock, by zone.
    evacuated: BTreeMap<String, Duration>,
    /// Time of the withdrawal on the own clock, by zone.
    withdrawn: BTreeMap<String, Duration>,
}

impl Evacuations {
    /// Starts the evacuation of a zone. Returns whether the zone was not evacuated before.
    pub fn begin(&mut self, zone: &str, now: Duration) -> bool {
        self.withdrawn.remove(zone);
        let is_new = !self.evacuated.contains_key(zone);
        self.evacuated.entry(zone.to_owned()).or_insert(now);
        is_new
    }

    /// Ends the evacuation of a zone. Returns whether the zone was evacuated.
    pub fn withdraw(&mut self, zone: &str, now: Duration) -> bool {
        let was_evacuated = self.evacuated.remove(zone).is_some();
        if was_evacuated {
            self.withdrawn.insert(zone.to_owned(), now);
        }
        was_evacuated
    }

    /// Returns the start of a zone's evacuation; `None` if the zone is not evacuated.
    pub fn since(&self, zone: &str) -> Option<Duration> {
        self.evacuated.get(zone).copied()
    }

    /// Returns when the evacuation of a zone was last withdrawn; `None` if it never was or if the
    /// zone is evacuated again.
    pub fn withdrawn_at(&self, zone: &str) -> Option<Duration> {
        self.withdrawn.get(zone).copied()
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.evacuated.keys().map(String::as_str)
    }
}
