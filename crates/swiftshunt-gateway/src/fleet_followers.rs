//! Followers of the log's topics that describe the fleet: the configuration and the directory of workers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_journal::{Change, KeyedRecord, Log, LogError, Topic};
use swiftshunt_routing::Installed;
use swiftshunt_scheduler::directory::WorkerEntry;
use swiftshunt_scheduler::listed::UnlistOutcome;

use crate::clock::Clock;
use crate::directory_summary::DirectorySummary;
use crate::fleet_state::FleetState;
use crate::metrics::Metrics;
use crate::origins::VersionMarks;
use crate::protocol::{OperatorRecord, Protocol};
use crate::quarantine::Quarantine;
use crate::settings::DirectorySettings;
use crate::tails::SharedTails;
use crate::topic_follower::{LogBackoff, TailTiming, TopicFollower};
use crate::unreadable::UnreadableRecords;

/// The propagation limit divided by this is the pause between two reads of the directory, so that changes are read
/// in batches: each worker writes about once a second, and each write would wake every gateway.
const READS_PER_PROPAGATION_LIMIT: u32 = 5;
/// Time after the log becomes available again within which workers with lapsed entries register again.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);
/// Share of the propagation limit for which workers with lapsed entries may continue to serve: a worker that has
/// left must get no requests once the limit is over.
const MAX_LAPSE_SHARE: f64 = 0.9;

/// Keeps a gateway's view of the fleet up to date.
pub(crate) struct FleetFollowers {
    pub(crate) log: Arc<dyn Log>,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) fleet_state: Arc<FleetState>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) unreadable: Arc<UnreadableRecords>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) tails: Arc<SharedTails>,
    pub(crate) version_marks: Arc<VersionMarks>,
    pub(crate) clock: Clock,
}

impl FleetFollowers {
    /// Follows the configuration until the process ends. A change is in force within `propagation_limit`.
    pub(crate) async fn follow_configuration(self: Arc<Self>, propagation_limit: Duration) {
        let shared = self.tails.shared_tail(Topic::Configuration, |_| true);
        let mut follower =
            TopicFollower::new(Topic::Configuration, self.clock).with_shared_tail(shared);
        let mut backoff = LogBackoff::new("configuration", 0);
        let timing = TailTiming::for_propagation_limit(propagation_limit);
        loop {
            let changes = follower.next_changes(self.log.as_ref(), timing).await;
            self.count_failure(&changes);
            backoff.backoff_on_error(&changes).await;
            let is_read = changes.is_ok();
            if is_read {
                self.fleet_state.confirm(self.clock.now());
            }
            let version_before = self.configuration_version();
            let mut changes = changes.unwrap_or_default();
            // A gateway serves callers as soon as it has a configuration, so evacuations are applied first.
            changes.sort_by_key(|change| !self.is_about_evacuation(change));
            for change in changes {
                self.apply_operator_record(&change);
            }
            let is_other_version = self.configuration_version() != version_before;
            if follower.take_missed_records() && is_other_version && version_before.is_some() {
                let now = self.clock.now();
                self.fleet_state.record_missed_configurations(now);
            }
            if is_read {
                let next_offset = follower.next_offset();
                self.fleet_state.set_configuration_position(next_offset);
            }
        }
    }

    fn configuration_version(&self) -> Option<u64> {
        let configuration = self.fleet_state.configuration()?;
        Some(configuration.version)
    }

    fn is_about_evacuation(&self, change: &Change) -> bool {
        let key = match change {
            Change::Set(record) => &record.key,
            Change::Dropped(key) => key,
        };
        matches!(
            self.protocol.classify_record(key),
            OperatorRecord::Evacuation { .. }
        )
    }

    /// Applies a change of a record that an operator writes.
    fn apply_operator_record(&self, change: &Change) {
        let (key, value) = match change {
            Change::Set(record) => (&record.key, Some(&record.value)),
            Change::Dropped(key) => (key, None),
        };
        match (self.protocol.classify_record(key), value) {
            (OperatorRecord::Configuration, Some(value)) => self.install_configuration(key, value),
            (OperatorRecord::Evacuation { zone }, Some(_)) => self.evacuate(&zone),
            (OperatorRecord::Evacuation { zone }, None) => self.withdraw_evacuation(&zone),
            (OperatorRecord::Configuration, None) | (OperatorRecord::Other, _) => {}
        }
    }

    fn evacuate(&self, zone: &str) {
        if self.fleet_state.selector().evacuate(zone, self.clock.now()) {
            log::warn!(zone; "zone is being evacuated; sending no new requests to its workers");
        }
    }

    fn withdraw_evacuation(&self, zone: &str) {
        let mut selector = self.fleet_state.selector();
        if selector.withdraw_evacuation(zone, self.clock.now()) {
            log::warn!(zone; "evacuation of a zone was withdrawn; its workers get requests again");
        }
    }

    fn install_configuration(&self, key: &[u8], value: &[u8]) {
        let configuration = match self.protocol.parse_configuration(key, value) {
            Ok(Some(configuration)) => configuration,
            Ok(None) => return,
            Err(error) => {
                let topic = Topic::Configuration;
                return self.unreadable.record_unreadable(topic, key, &error);
            }
        };
        self.unreadable.mark_readable(Topic::Configuration, key);
        let version = configuration.version;
        if let Err(error) = configuration.validate() {
            log::error!(version; "configuration is invalid, ignoring it: {error}");
            return;
        }
        let routes = configuration.routes.len();
        let installed = self.fleet_state.install(configuration, self.clock.now());
        self.version_marks.request_review();
        if installed == Installed::Taken {
            self.metrics.configuration_version.set(version as i64);
        }
        log::info!(version, routes, outcome:? = installed; "configuration read from the log");
    }

    /// Follows the directory until the process ends.
    pub(crate) async fn follow_directory(self: Arc<Self>, settings: DirectorySettings) {
        let followers = Arc::clone(&self);
        let has_new_information = move |record: &KeyedRecord| followers.has_new_information(record);
        let shared = self.tails.shared_tail(Topic::Workers, has_new_information);
        let mut follower = TopicFollower::new(Topic::Workers, self.clock).with_shared_tail(shared);
        let mut backoff = LogBackoff::new("directory", 0);
        let timing = TailTiming::for_propagation_limit(settings.obey_within);
        let read_pause = settings.obey_within / READS_PER_PROPAGATION_LIMIT;
        let max_lapse = REREGISTRATION_TIME.min(settings.obey_within.mul_f64(MAX_LAPSE_SHARE));
        loop {
            let changes = follower.next_changes(self.log.as_ref(), timing).await;
            self.count_failure(&changes);
            backoff.backoff_on_error(&changes).await;
            if let Ok(changes) = changes {
                let now = self.clock.now();
                self.fleet_state.confirm_directory(now);
                if follower.take_missed_records() {
                    self.fleet_state.selector().restart_software_watch(now);
                }
                let returned_at = follower.returned_at();
                let lapses_until = returned_at.map_or(Duration::ZERO, |at| at + max_lapse);
                if !follower.came_from_peer() {
                    self.quarantine.handle_renewals(&self.renewed(&changes));
                }
                self.apply_directory_changes(changes, lapses_until);
                self.fleet_state
                    .set_directory_position(follower.next_offset());
                if !follower.came_from_peer() {
                    tokio::time::sleep(read_pause).await;
                }
            }
        }
    }

    /// Whether a record of the directory changes this gateway's view of the fleet.
    fn has_new_information(&self, record: &KeyedRecord) -> bool {
        match self.protocol.parse_worker(&record.key, &record.value) {
            Ok(entry) => {
                let selector = self.fleet_state.selector();
                selector.differs_from_known(&entry)
                    || selector.extends_cold_period(&entry, self.clock.now())
            }
            // An unreadable record is new information once per key: the worker under its key is removed.
            Err(_) => !self.unreadable.is_known(Topic::Workers, &record.key),
        }
    }

    /// Returns the workers that renewed their entries without a restart, as incarnations.
    fn renewed(&self, changes: &[Change]) -> Vec<String> {
        let selector = self.fleet_state.selector();
        let entries = changes.iter().filter_map(|change| match change {
            Change::Set(record) => self.protocol.parse_worker(&record.key, &record.value).ok(),
            Change::Dropped(_) => None,
        });
        let renewed = entries.filter(|entry| {
            selector.incarnation(&entry.life.id) == Some(entry.incarnation.as_str())
        });
        renewed.map(|entry| entry.incarnation).collect()
    }

    /// Waits until `until`, then removes the workers whose entries lapsed and have not been written again.
    async fn remove_lapsed_workers(self: Arc<Self>, until: Duration) {
        tokio::time::sleep(until.saturating_sub(self.clock.now())).await;
        let now = self.clock.now();
        let removed = {
            let mut selector = self.fleet_state.selector();
            selector.record_software(now);
            selector.remove_lapsed(now)
        };
        let mut summary = DirectorySummary::default();
        self.quarantine.handle_lapsed_workers(&removed);
        summary.add_unlisted(&UnlistOutcome {
            removed,
            ..UnlistOutcome::default()
        });
        summary.log();
    }

    fn apply_worker(
        &self,
        entry: WorkerEntry,
        offset: u64,
        now: Duration,
        summary: &mut DirectorySummary,
    ) {
        let life = entry.life.clone();
        let (address, availability) = (entry.address, entry.availability);
        let software = entry.software.clone();
        let (before, listed) = {
            let mut selector = self.fleet_state.selector();
            let before = selector.incarnation(&life.id).map(str::to_owned);
            let has_changed = selector.apply_entry(entry, now);
            let incarnation = selector.incarnation(&life.id).filter(|_| has_changed);
            (before, incarnation.map(str::to_owned))
        };
        if let Some(incarnation) = listed {
            let quarantine = &self.quarantine;
            let started_unix_ms = life
                .started_unix_ms
                .filter(|_| life.incarnation() == incarnation);
            quarantine.handle_listing(&incarnation, started_unix_ms, address, before.as_deref());
            summary.add_listed(&incarnation, availability, software, offset);
        }
    }

    fn count_failure<T>(&self, outcome: &Result<T, LogError>) {
        if outcome.is_err() {
            self.metrics.log_failures.inc();
        }
    }

    /// Applies the changes of one read of the directory. Before `lapses_until`, workers whose entries are missing
    /// may have lapsed, and continue to serve until then.
    fn apply_directory_changes(self: &Arc<Self>, changes: Vec<Change>, lapses_until: Duration) {
        let now = self.clock.now();
        self.fleet_state.selector().record_software(now);
        let mut summary = DirectorySummary::default();
        let mut unlisted = BTreeSet::new();
        for change in changes {
            match change {
                Change::Set(record) => match self.protocol.parse_worker(&record.key, &record.value)
                {
                    Ok(entry) => {
                        self.unreadable.mark_readable(Topic::Workers, &record.key);
                        unlisted.remove(&entry.life.id);
                        self.apply_worker(entry, record.offset, now, &mut summary);
                    }
                    Err(error) => {
                        // An unreadable record replaces the entry under its key, whose worker is removed.
                        let topic = Topic::Workers;
                        self.unreadable
                            .record_unreadable(topic, &record.key, &error);
                        unlisted.insert(String::from_utf8_lossy(&record.key).into_owned());
                    }
                },
                Change::Dropped(key) => {
                    self.unreadable.mark_readable(Topic::Workers, &key);
                    unlisted.insert(String::from_utf8_lossy(&key).into_owned());
                }
            }
        }
        let lapses_until = (now < lapses_until).then_some(lapses_until);
        let unlisted = self
            .fleet_state
            .selector()
            .remove_unlisted(&unlisted, lapses_until);
        self.quarantine.handle_lapsed_workers(&unlisted.removed);
        summary.add_unlisted(&unlisted);
        if let Some(until) = lapses_until.filter(|_| !unlisted.lapsed.is_empty()) {
            tokio::spawn(Arc::clone(self).remove_lapsed_workers(until));
        }
        self.version_marks.request_review();
        summary.log();
    }
}
