//! What is followed in the log: the configuration and the directory of workers.

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
use crate::protocol::{OperatorRecord, Protocol};
use crate::quarantine::Quarantine;
use crate::settings::DirectorySettings;
use crate::tails::SharedTails;
use crate::topic_follower::{LogBackoff, TailTiming, TopicFollower};
use crate::unreadable::UnreadableRecords;

/// Part of the time within which a change must be in force for which a change of the directory
/// rests, so that changes that come together are read together: each worker writes every second or
/// so, and each write would wake every gateway.
const GATHERINGS_WITHIN_OBEDIENCE: u32 = 5;
/// Time after the log's return in which workers whose entries lapsed meanwhile list themselves again.
const LISTED_AGAIN_WITHIN: Duration = Duration::from_secs(2);
/// Part of the time within which a change must be in force for which workers may serve on whose entries
/// lapsed: one that has left must get nothing at the end of it.
const LAPSED_WITHIN_OBEDIENCE: f64 = 0.9;

/// Keeps the beliefs of a gateway up to date.
pub(crate) struct FleetFollowers {
    pub(crate) log: Arc<dyn Log>,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) fleet_state: Arc<FleetState>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) unreadable: Arc<UnreadableRecords>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) tails: Arc<SharedTails>,
    pub(crate) clock: Clock,
}

impl FleetFollowers {
    /// Follows the configuration for as long as the process lives.
    pub(crate) async fn follow_configuration(self: Arc<Self>, obey_within: Duration) {
        let shared = self.tails.shared_tail(Topic::Configuration, |_| true);
        let mut follower =
            TopicFollower::new(Topic::Configuration, self.clock).with_shared_tail(shared);
        let mut backoff = LogBackoff::new("configuration", 0);
        let timing = TailTiming::for_propagation_limit(obey_within);
        loop {
            let changes = follower.next_changes(self.log.as_ref(), timing).await;
            self.count(&changes);
            backoff.backoff_on_error(&changes).await;
            if changes.is_ok() {
                self.fleet_state.confirm(self.clock.now());
            }
            let mut changes = changes.unwrap_or_default();
            // A gateway that starts serves from its first configuration on: by then it knows what is evacuated.
            changes.sort_by_key(|change| !self.is_about_evacuation(change));
            for change in changes {
                self.take_operator_record(&change);
            }
        }
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

    /// Takes a change of what operators have written.
    fn take_operator_record(&self, change: &Change) {
        let (key, value) = match change {
            Change::Set(record) => (&record.key, Some(&record.value)),
            Change::Dropped(key) => (key, None),
        };
        match (self.protocol.classify_record(key), value) {
            (OperatorRecord::Configuration, Some(value)) => self.take_configuration(key, value),
            (OperatorRecord::Evacuation { zone }, Some(_)) => self.evacuate(&zone),
            (OperatorRecord::Evacuation { zone }, None) => self.withdraw_evacuation(&zone),
            (OperatorRecord::Configuration, None) | (OperatorRecord::Other, _) => {}
        }
    }

    fn evacuate(&self, zone: &str) {
        if self.fleet_state.selector().evacuate(zone, self.clock.now()) {
            log::warn!(zone; "a zone is evacuated: its workers get nothing new");
        }
    }

    fn withdraw_evacuation(&self, zone: &str) {
        let mut selector = self.fleet_state.selector();
        if selector.withdraw_evacuation(zone, self.clock.now()) {
            log::warn!(zone; "the evacuation of a zone is withdrawn");
        }
    }

    fn take_configuration(&self, key: &[u8], value: &[u8]) {
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
            log::error!(version; "a configuration is not taken: {error}");
            return;
        }
        let routes = configuration.routes.len();
        let installed = self.fleet_state.install(configuration);
        if installed == Installed::Taken {
            self.metrics.configuration_version.set(version as i64);
        }
        log::info!(version, routes, outcome:? = installed; "a configuration was read");
    }

    /// Follows the directory for as long as the process lives.
    pub(crate) async fn follow_directory(self: Arc<Self>, settings: DirectorySettings) {
        let followers = Arc::clone(&self);
        let is_news = move |record: &KeyedRecord| followers.is_news(record);
        let shared = self.tails.shared_tail(Topic::Workers, is_news);
        let mut follower = TopicFollower::new(Topic::Workers, self.clock).with_shared_tail(shared);
        let mut backoff = LogBackoff::new("directory", 0);
        let timing = TailTiming::for_propagation_limit(settings.obey_within);
        let gather = settings.obey_within / GATHERINGS_WITHIN_OBEDIENCE;
        let lapse = LISTED_AGAIN_WITHIN.min(settings.obey_within.mul_f64(LAPSED_WITHIN_OBEDIENCE));
        loop {
            let changes = follower.next_changes(self.log.as_ref(), timing).await;
            self.count(&changes);
            backoff.backoff_on_error(&changes).await;
            if let Ok(changes) = changes {
                let returned_at = follower.returned_at();
                let lapses_until = returned_at.map_or(Duration::ZERO, |at| at + lapse);
                if !follower.came_from_peer() {
                    self.quarantine.handle_renewals(&self.renewed(&changes));
                }
                self.take_workers(changes, lapses_until);
                if !follower.came_from_peer() {
                    tokio::time::sleep(gather).await;
                }
            }
        }
    }

    /// Whether a record of the directory says something that is not known here.
    fn is_news(&self, record: &KeyedRecord) -> bool {
        match self.protocol.parse_worker(&record.key, &record.value) {
            Ok(entry) => {
                let selector = self.fleet_state.selector();
                selector.differs_from_known(&entry)
                    || selector.extends_cold_period(&entry, self.clock.now())
            }
            // Each gateway that takes it has to know once that it names no worker.
            Err(_) => !self.unreadable.is_known(Topic::Workers, &record.key),
        }
    }

    /// Workers that have written their entries anew in the life that is known.
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

    /// Takes workers as gone whose entries lapsed and are not back in time.
    async fn end_lapse(self: Arc<Self>, until: Duration) {
        tokio::time::sleep(until.saturating_sub(self.clock.now())).await;
        let removed = self.fleet_state.selector().remove_lapsed(self.clock.now());
        let mut summary = DirectorySummary::default();
        self.quarantine.handle_lapsed_workers(&removed);
        summary.add_unlisted(&UnlistOutcome {
            removed,
            ..UnlistOutcome::default()
        });
        summary.log();
    }

    fn take_worker(
        &self,
        entry: WorkerEntry,
        offset: u64,
        now: Duration,
        summary: &mut DirectorySummary,
    ) {
        let id = entry.life.id.clone();
        let (address, availability) = (entry.address, entry.availability);
        let (before, listed) = {
            let mut selector = self.fleet_state.selector();
            let before = selector.incarnation(&id).map(str::to_owned);
            let has_changed = selector.apply_entry(entry, now);
            let incarnation = selector.incarnation(&id).filter(|_| has_changed);
            (before, incarnation.map(str::to_owned))
        };
        if let Some(incarnation) = listed {
            let quarantine = &self.quarantine;
            quarantine.handle_listing(&incarnation, address, before.as_deref());
            summary.add_listed(&incarnation, availability, offset);
        }
    }

    fn count<T>(&self, outcome: &Result<T, LogError>) {
        if outcome.is_err() {
            self.metrics.log_failures.inc();
        }
    }

    /// Takes what a reading changed; entries that are missing before `lapses_until` may have lapsed.
    fn take_workers(self: &Arc<Self>, changes: Vec<Change>, lapses_until: Duration) {
        let now = self.clock.now();
        let mut summary = DirectorySummary::default();
        let mut unlisted = BTreeSet::new();
        for change in changes {
            match change {
                Change::Set(record) => match self.protocol.parse_worker(&record.key, &record.value)
                {
                    Ok(entry) => {
                        self.unreadable.mark_readable(Topic::Workers, &record.key);
                        unlisted.remove(&entry.life.id);
                        self.take_worker(entry, record.offset, now, &mut summary);
                    }
                    Err(error) => {
                        // It names no worker to use: neither itself nor the one that it has replaced.
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
            tokio::spawn(Arc::clone(self).end_lapse(until));
        }
        summary.log();
    }
}
