//! Whether this gateway's view of the fleet includes everything that other gateways may know already.
//!
//! A gateway learns of workers and of routes from the log alone. A read of the log that begins after a caller has asked
//! therefore shows each version and each service that can have begun the caller's stream, whereas a view that was read
//! before may lack some: this gateway may have been cut off or paused.

use std::sync::Arc;
use std::time::Duration;

use swiftshunt_journal::{KeyedRecord, Log, ReadOutcome, Topic};

use super::VersionMarks;
use crate::clock::Clock;
use crate::fleet_state::FleetState;
use crate::protocol::Protocol;
use crate::shared_call::SharedCall;

/// Time-out of a check. The log answers within some milliseconds, and a caller that is refused asks again.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the log behind what this gateway has applied.
pub(crate) struct ViewCheck {
    log: Arc<dyn Log>,
    protocol: Arc<dyn Protocol>,
    fleet_state: Arc<FleetState>,
    clock: Clock,
    reads: SharedCall<bool>,
    reads_with_marks: SharedCall<bool>,
}

impl ViewCheck {
    pub(crate) fn new(
        log: Arc<dyn Log>,
        protocol: Arc<dyn Protocol>,
        fleet_state: Arc<FleetState>,
        clock: Clock,
    ) -> Self {
        Self {
            log,
            protocol,
            fleet_state,
            clock,
            reads: SharedCall::new(clock),
            reads_with_marks: SharedCall::new(clock),
        }
    }

    /// Whether the configuration in force and the known versions of workers are those of the log at a moment after this
    /// call began. Versions that the log shows are known afterwards; their workers only once the directory is read.
    pub(crate) async fn confirm(&self) -> bool {
        let read = || within_time_limit(self.is_view_current());
        log_outcome(self.reads.result(read).await)
    }

    /// The same as [`Self::confirm`], and whether the known records of the versions of services are those of the log.
    pub(crate) async fn confirm_with_marks(&self) -> bool {
        let read = || {
            within_time_limit(async {
                let (is_view_current, are_marks_current) =
                    tokio::join!(self.is_view_current(), self.are_marks_current());
                is_view_current && are_marks_current
            })
        };
        log_outcome(self.reads_with_marks.result(read).await)
    }

    async fn are_marks_current(&self) -> bool {
        let Some(position) = self.fleet_state.positions().gateways else {
            return false;
        };
        let records = self.read_all(Topic::Gateways, position).await;
        let is_about_versions = |record: &KeyedRecord| VersionMarks::is_record_key(&record.key);
        records.is_some_and(|records| !records.iter().any(is_about_versions))
    }

    async fn is_view_current(&self) -> bool {
        let positions = self.fleet_state.positions();
        let (Some(configuration), Some(directory)) = (positions.configuration, positions.directory)
        else {
            return false;
        };
        let (configuration, directory) = tokio::join!(
            self.read_all(Topic::Configuration, configuration),
            self.read_all(Topic::Workers, directory),
        );
        let Some(workers) = directory else {
            return false;
        };
        self.record_versions(&workers);
        // A new configuration is applied by its follower.
        configuration.is_some_and(|records| records.is_empty())
    }

    /// Returns the records of a topic from an offset on, to the end that the first answer states. `None` if the log does
    /// not answer, or has dropped some of them.
    async fn read_all(&self, topic: Topic, mut from: u64) -> Option<Vec<KeyedRecord>> {
        let mut all = Vec::new();
        let mut until = None;
        loop {
            let outcome = self.log.read(topic, 0, from, Duration::ZERO).await;
            let Ok(ReadOutcome::Records { records, end }) = outcome else {
                return None;
            };
            if end < from {
                return None;
            }
            let until = *until.get_or_insert(end);
            let Some(last) = records.last() else {
                return Some(all);
            };
            from = last.offset + 1;
            all.extend(records);
            if from >= until {
                return Some(all);
            }
        }
    }

    fn record_versions(&self, records: &[KeyedRecord]) {
        let now = self.clock.now();
        let entries = records
            .iter()
            .filter(|record| !record.value.is_empty())
            .filter_map(|record| self.protocol.parse_worker(&record.key, &record.value).ok());
        let mut selector = self.fleet_state.selector();
        for entry in entries {
            selector.record_listed_software(&entry.service, &entry.software, now);
        }
    }
}

async fn within_time_limit(read: impl Future<Output = bool>) -> bool {
    let read = tokio::time::timeout(CHECK_TIMEOUT, read).await;
    read.unwrap_or(false)
}

fn log_outcome(is_current: bool) -> bool {
    if !is_current {
        log::debug!("the log does not confirm the view of the fleet");
    }
    is_current
}
