//! What one reading of the directory changed, in one line of the log: a line for each worker at each
//! gateway would grow with both.

use swiftshunt_scheduler::directory::Availability;
use swiftshunt_scheduler::listed::UnlistOutcome;

/// Workers that a line names of each kind at most; the others are counted.
const NAMED: usize = 8;

/// Workers that took one turn.
#[derive(Default)]
struct Turned {
    named: Vec<String>,
    count: usize,
}

impl Turned {
    fn add(&mut self, incarnation: &str) {
        self.count += 1;
        if self.named.len() < NAMED {
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

/// What a reading changed.
#[derive(Default)]
pub(crate) struct DirectorySummary {
    ready: Turned,
    leaving: Turned,
    gone: Turned,
    lapsed: Turned,
    /// The newest entry that was read.
    offset: u64,
}

impl DirectorySummary {
    /// A worker is new, or its availability or address is.
    pub(crate) fn add_listed(
        &mut self,
        incarnation: &str,
        availability: Availability,
        offset: u64,
    ) {
        self.offset = self.offset.max(offset);
        match availability {
            Availability::Ready => self.ready.add(incarnation),
            Availability::Draining => self.leaving.add(incarnation),
        }
    }

    /// Workers are no longer listed.
    pub(crate) fn add_unlisted(&mut self, unlisted: &UnlistOutcome) {
        for departed in &unlisted.removed {
            self.gone.add(&departed.incarnation);
        }
        for incarnation in &unlisted.lapsed {
            self.lapsed.add(incarnation);
        }
    }

    /// Writes the line, if anything changed.
    pub(crate) fn log(&self) {
        if [&self.ready, &self.leaving, &self.gone, &self.lapsed]
            .iter()
            .all(|turned| turned.count == 0)
        {
            return;
        }
        log::info!(offset = self.offset, ready = self.ready.text().as_str(),
            leaving = self.leaving.text().as_str(), gone = self.gone.text().as_str(),
            lapsed = self.lapsed.text().as_str();
            "the directory of workers changed");
    }
}
