//! Records in the log of the versions of services.
//!
//! After all gateways were lost, none has watched the directory for long enough to know which versions have served. Two
//! records of a service tell: the only version that served when gateways last knew that there was one, and a mark while
//! several have served a short time ago. A service has been served by one version alone if it has no mark, and the workers
//! of the directory have the recorded version. Marks are written when a second version appears, and removed once it has
//! been gone for as long as the origins of streams matter; then the version that is left is recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use swiftshunt_journal::{AppendOutcome, Topic};
use swiftshunt_types::SoftwareVersion;
use tokio::sync::Notify;

use super::{StreamOrigins, begun_stream};
use crate::fleet_state::lock;

/// Prefix of the keys of marks among the records of gateways; the service's name follows.
const MARK_PREFIX: &[u8] = b"several-versions/";
/// Value of a mark.
const MARK: Bytes = Bytes::from_static(b"1");
/// Prefix of the keys of the only versions of services among the records of gateways; the service's name follows. The
/// value is the version.
const ONLY_VERSION_PREFIX: &[u8] = b"only-version/";
/// Number of gateways that write and remove the marks of a service. Two, since one of them may be unavailable.
const WRITERS: usize = 2;
/// Time after which any gateway writes a mark that the writers have not written.
const WRITERS_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of reviews while a service has several versions or a mark.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// The records that this gateway has read or written.
#[derive(Default)]
pub(crate) struct VersionMarks {
    /// The marked services.
    services: Mutex<BTreeSet<String>>,
    /// The only version of each service, when it last had a single one.
    only_versions: Mutex<BTreeMap<String, SoftwareVersion>>,
    /// Notified when the directory, the configuration or the marks change.
    changed: Notify,
}

impl VersionMarks {
    /// Whether a key of the topic of gateways is that of a record about the versions of a service.
    pub(super) fn is_record_key(key: &[u8]) -> bool {
        key.starts_with(MARK_PREFIX) || key.starts_with(ONLY_VERSION_PREFIX)
    }

    /// Applies a record of the topic of gateways; `value` is `None` if it was dropped. Returns whether it is about the
    /// versions of a service.
    pub(crate) fn apply(&self, key: &[u8], value: Option<&[u8]>) -> bool {
        if let Some(service) = key.strip_prefix(MARK_PREFIX) {
            self.set(&String::from_utf8_lossy(service), value.is_some());
            return true;
        }
        let Some(service) = key.strip_prefix(ONLY_VERSION_PREFIX) else {
            return false;
        };
        let service = String::from_utf8_lossy(service).into_owned();
        let mut only_versions = lock(&self.only_versions);
        match value {
            Some(version) => {
                let version = String::from_utf8_lossy(version).into_owned();
                only_versions.insert(service, SoftwareVersion(version));
            }
            None => drop(only_versions.remove(&service)),
        }
        true
    }

    /// Whether another version than this one may have served a service before this process began, by the records.
    pub(super) fn is_contradicted(&self, service: &str, version: &SoftwareVersion) -> bool {
        let only_versions = lock(&self.only_versions);
        let recorded = only_versions.get(service);
        self.is_marked(service) || recorded.is_some_and(|recorded| recorded != version)
    }

    fn only_version(&self, service: &str) -> Option<SoftwareVersion> {
        lock(&self.only_versions).get(service).cloned()
    }

    fn set(&self, service: &str, is_set: bool) {
        let mut services = lock(&self.services);
        let has_changed = if is_set {
            services.insert(service.to_owned())
        } else {
            services.remove(service)
        };
        drop(services);
        if has_changed {
            log::info!(service, is_set; "the mark of a service with several software versions changed");
            self.changed.notify_one();
        }
    }

    pub(super) fn is_marked(&self, service: &str) -> bool {
        lock(&self.services).contains(service)
    }

    fn services(&self) -> BTreeSet<String> {
        lock(&self.services).clone()
    }

    /// Requests a review because the directory or the configuration changed.
    pub(crate) fn request_review(&self) {
        self.changed.notify_one();
    }
}

/// The versions of a service as this gateway sees them.
struct Review {
    service: String,
    /// When this gateway first saw several versions; `None` if it sees a single one.
    several_since: Option<Duration>,
}

/// A record about the versions of a service that is to be written.
#[derive(Debug)]
enum DueRecord {
    /// The only version.
    OnlyVersion(SoftwareVersion),
    /// The mark of several versions.
    Mark,
    /// The removal of the mark.
    NoMark,
}

impl StreamOrigins {
    /// Tells the origins of streams once a second version appears, and keeps the marks, until the process ends.
    pub(crate) async fn run_reviews(self: Arc<Self>) {
        let mut reviews: Vec<Review> = Vec::new();
        loop {
            let has_several = !lock(&self.several_versions).is_empty();
            let has_marks = !self.context.version_marks.services().is_empty();
            let changed = self.context.version_marks.changed.notified();
            if has_several || has_marks || self.lacks_only_version() {
                drop(tokio::time::timeout(REVIEW_INTERVAL, changed).await);
            } else {
                changed.await;
            }
            self.review_services(&mut reviews).await;
        }
    }

    async fn review_services(&self, reviews: &mut Vec<Review>) {
        let Some(configuration) = self.context.fleet_state.configuration() else {
            return;
        };
        let mut services: BTreeSet<String> = self.context.version_marks.services();
        services.extend(
            configuration
                .stream_services()
                .into_iter()
                .map(str::to_owned),
        );
        reviews.retain(|review| services.contains(&review.service));
        for service in services {
            let position = reviews.iter().position(|review| review.service == service);
            let position = position.unwrap_or_else(|| {
                reviews.push(Review {
                    service,
                    several_since: None,
                });
                reviews.len() - 1
            });
            self.review(&mut reviews[position]).await;
        }
    }

    async fn review(&self, review: &mut Review) {
        let now = self.context.clock.now();
        let since = now.saturating_sub(self.ttl());
        let service = review.service.as_str();
        let versions = self
            .context
            .fleet_state
            .selector()
            .software_versions(service, since);
        let is_marked = self.context.version_marks.is_marked(service);
        if versions.len() > 1 {
            if review.several_since.is_none() {
                log::info!(service, versions:? = versions;
                    "workers of several software versions serve; telling other gateways which of them begin streams");
                lock(&self.several_versions).insert(service.to_owned());
                self.tell_remembered(service);
            }
            let several_since = *review.several_since.get_or_insert(now);
            let is_overdue = now >= several_since + WRITERS_TIMEOUT;
            if !is_marked && (is_overdue || self.writes_marks_of(service)) {
                self.write_mark(service, true).await;
            }
            return;
        }
        if review.several_since.take().is_some() {
            lock(&self.several_versions).remove(service);
            log::info!(service, versions:? = versions; "a single software version serves again");
        }
        let watched_since = self
            .context
            .fleet_state
            .selector()
            .directory_watched_since();
        let has_watched = watched_since.is_some_and(|watched_since| watched_since <= since);
        if !self.writes_marks_of(service) {
            return;
        }
        let due = self.due_record(service, &versions, has_watched);
        let Some(due) = due else {
            return;
        };
        // This gateway may be out of step, and other versions may serve.
        let seen_versions = || {
            let selector = self.context.fleet_state.selector();
            selector.software_versions(service, since)
        };
        let is_current = matches!(due, DueRecord::Mark) || self.context.view_check.confirm().await;
        if !is_current || seen_versions() != versions {
            return;
        }
        match due {
            DueRecord::OnlyVersion(version) => self.record_only_version(service, &version).await,
            DueRecord::Mark => self.write_mark(service, true).await,
            DueRecord::NoMark => self.write_mark(service, false).await,
        }
    }

    /// Returns the next record to be written about a service that has one version, as far as this gateway knows; `None` if
    /// the records are right.
    fn due_record(
        &self,
        service: &str,
        versions: &BTreeSet<SoftwareVersion>,
        has_watched: bool,
    ) -> Option<DueRecord> {
        let is_marked = self.context.version_marks.is_marked(service);
        let recorded = self.context.version_marks.only_version(service);
        match (versions.first(), recorded) {
            (Some(version), None) if self.context.members.is_list_loaded() => {
                Some(DueRecord::OnlyVersion(version.clone()))
            }
            // No stream of the recorded version can be taken up any more.
            (Some(version), Some(recorded)) if recorded != *version && has_watched => {
                Some(DueRecord::OnlyVersion(version.clone()))
            }
            // Workers were replaced while no gateway ran: streams of both versions may be taken up.
            (Some(version), Some(recorded)) if recorded != *version => {
                (!is_marked).then_some(DueRecord::Mark)
            }
            _ => (is_marked && has_watched).then_some(DueRecord::NoMark),
        }
    }

    async fn record_only_version(&self, service: &str, version: &SoftwareVersion) {
        let key = [ONLY_VERSION_PREFIX, service.as_bytes()].concat();
        let value = Bytes::from(version.0.clone());
        let outcome = self
            .context
            .log
            .append(Topic::Gateways, 0, vec![(key.clone(), value.clone())])
            .await;
        log::info!(service, version:% = version, outcome:? = outcome; "recorded the only software version of a service");
        // An append without an outcome is repeated by a later review.
        if matches!(outcome, AppendOutcome::Done { .. }) {
            self.context.version_marks.apply(&key, Some(&value));
        }
    }

    /// Whether a service of streams has another version than the recorded one, or none is recorded.
    fn lacks_only_version(&self) -> bool {
        let Some(configuration) = self.context.fleet_state.configuration() else {
            return false;
        };
        let selector = self.context.fleet_state.selector();
        let since = self.context.clock.now().saturating_sub(self.ttl());
        configuration.stream_services().into_iter().any(|service| {
            let versions = selector.software_versions(service, since);
            let recorded = self.context.version_marks.only_version(service);
            versions
                .first()
                .is_some_and(|version| recorded.as_ref() != Some(version))
        })
    }

    /// Whether this gateway is one of those that write the marks of a service.
    fn writes_marks_of(&self, service: &str) -> bool {
        let writers = self.context.members.ranked_gateways(&service, WRITERS);
        writers.contains(&self.context.members.own_address())
    }

    async fn write_mark(&self, service: &str, is_set: bool) {
        let key = [MARK_PREFIX, service.as_bytes()].concat();
        let value = if is_set { MARK } else { Bytes::new() };
        let appended = self
            .context
            .log
            .append(Topic::Gateways, 0, vec![(key, value)]);
        let outcome = appended.await;
        log::info!(service, is_set, outcome:? = outcome; "wrote the mark of a service with several software versions");
        // An append without an outcome is repeated by a later review; repeating it does no harm.
        if matches!(outcome, AppendOutcome::Done { .. }) {
            self.context.version_marks.set(service, is_set);
        }
    }

    /// Tells the holders the origins of all remembered streams of a service.
    fn tell_remembered(&self, service: &str) {
        let now = self.context.clock.now();
        let streams = lock(&self.table)
            .begun_by(service, now)
            .map(|(key, origin, time_left)| begun_stream(key, origin, time_left))
            .collect();
        self.tell_holders(streams);
    }
}
