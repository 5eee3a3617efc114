//! A single log line for all changes of one read of the directory. With a line for each worker, the log would grow
//! with the number of workers times the number of gateways.

use std::collections::BTreeSet;

use swiftshunt_scheduler::directory::Availability;
use swiftshunt_scheduler::listed::UnlistOutcome;
use swiftshunt_types::SoftwareVersion;

/// Largest number of workers that a line names for each kind of change; further ones are only counted.
const MAX_NAMED_WORKERS: usize = 8;

/// The workers with the same kind of change.
#[derive(Default)]
struct WorkerGroup {
    named: Vec<String>,
    count: usize,
}

impl WorkerGroup {
    fn add(&mut self, incarnation: &str) {
        self.count += 1;
        if self.named.len() < MAX_NAMED_WORKERS {
            self.named.push(incarnation.to_owned());
        }
    }

    fn text(&self) -> String {
        let named = self.named.join(" ");
        match self.count - self.named.len() {
            0 => named,
            more => format!("{named} and {more} more"),
        }
    }
}

/// The changes of one read of the directory.
#[derive(Default)]
pub(crate) struct DirectorySummary {
    ready: WorkerGroup,
    leaving: WorkerGroup,
    gone: WorkerGroup,
    lapsed: WorkerGroup,
    /// Software versions of the listed workers.
    software: BTreeSet<SoftwareVersion>,
    /// Highest offset among the entries that were read.
    offset: u64,
}

impl DirectorySummary {
    /// Adds a worker that is new, or whose availability or address changed.
    pub(crate) fn add_listed(
        &mut self,
        incarnation: &str,
        availability: Availability,
        software: SoftwareVersion,
        offset: u64,
    ) {
        self.offset = self.offset.max(offset);
        self.software.insert(software);
        match availability {
            Availability::Ready => self.ready.add(incarnation),
            Availability::Draining => self.leaving.add(incarnation),
        }
    }

    /// Adds workers that are no longer listed.
    pub(crate) fn add_unlisted(&mut self, unlisted: &UnlistOutcome) {
        for departed in &unlisted.removed {
            self.gone.add(&departed.incarnation);
        }
        for incarnation in &unlisted.lapsed {
            self.lapsed.add(incarnation);
        }
    }

    /// Writes the log line if anything changed.
    pub(crate) fn log(&self) {
        if [&self.ready, &self.leaving, &self.gone, &self.lapsed]
            .iter()
            .all(|group| group.count == 0)
        {
            return;
        }
        let software = self.software.iter().map(SoftwareVersion::as_str);
        let software = software.collect::<Vec<_>>().join(" ");
        log::info!(offset = self.offset, software, ready = self.ready.text().as_str(),
            leaving = self.leaving.text().as_str(), gone = self.gone.text().as_str(),
            lapsed = self.lapsed.text().as_str();
            "the directory of workers changed");
    }
}
