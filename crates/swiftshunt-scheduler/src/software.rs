//! The software versions that the workers of a service have, or had a short time ago.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use swiftshunt_types::SoftwareVersion;

use crate::selection::Selector;

/// Time after which a version that no worker has any more is forgotten.
const VERSION_MEMORY: Duration = Duration::from_secs(3_600);

/// What a node remembers of the software of workers that are gone.
#[derive(Debug, Default)]
pub(crate) struct SoftwareHistory {
    /// When a worker of a service and version was last known.
    last_known: BTreeMap<(String, SoftwareVersion), Duration>,
    /// When a worker's life was followed by one with other software, by the incarnation of the earlier life.
    replaced: BTreeMap<String, Duration>,
    /// Since when every change of the directory was read.
    watched_since: Option<Duration>,
}

impl SoftwareHistory {
    /// Records that a worker of a service was listed with this software, whether it still is or not.
    pub(crate) fn record_listed(
        &mut self,
        service: &str,
        software: &SoftwareVersion,
        now: Duration,
    ) {
        let version = (service.to_owned(), software.clone());
        self.last_known.insert(version, now);
    }

    /// Records that a life of a worker was followed by one with other software.
    pub(crate) fn record_replaced(&mut self, incarnation: &str, now: Duration) {
        self.replaced.insert(incarnation.to_owned(), now);
    }
}

impl Selector {
    /// Records the versions of all known workers. Called before changes of the directory are applied, so that a version
    /// whose last worker goes is remembered until now.
    pub fn record_software(&mut self, now: Duration) {
        let history = &mut self.software;
        history.watched_since.get_or_insert(now);
        let forget_before = now.saturating_sub(VERSION_MEMORY);
        history.last_known.retain(|_, at| *at >= forget_before);
        history.replaced.retain(|_, at| *at >= forget_before);
        for candidate in self.candidates.values() {
            let entry = &candidate.entry;
            let version = (entry.service.clone(), entry.software.clone());
            self.software.last_known.insert(version, now);
        }
    }

    /// Records that a worker of a service was listed with this software. Serves reads of the directory whose records are
    /// not applied.
    pub fn record_listed_software(
        &mut self,
        service: &str,
        software: &SoftwareVersion,
        now: Duration,
    ) {
        self.software.record_listed(service, software, now);
    }

    /// Records that changes of the directory were missed, so that versions may have been listed that this node does not
    /// know of.
    pub fn restart_software_watch(&mut self, now: Duration) {
        self.software.watched_since = Some(now);
    }

    /// Returns the time since which this node has read every change of the directory; `None` if it has not read it.
    pub fn directory_watched_since(&self) -> Option<Duration> {
        self.software.watched_since
    }

    /// Returns the software versions of a service's known workers, and of those that were known at or after `since`.
    pub fn software_versions(&self, service: &str, since: Duration) -> BTreeSet<SoftwareVersion> {
        let known = self.candidates.values().map(|candidate| &candidate.entry);
        let known = known.filter(|entry| entry.service == service);
        let known = known.map(|entry| entry.software.clone());
        let gone = self.software.last_known.iter();
        let gone = gone.filter(|((of, _), at)| of == service && **at >= since);
        known
            .chain(gone.map(|((_, software), _)| software.clone()))
            .collect()
    }

    /// Returns whether a stream that was sent to a worker at `began_at` may have been run by a later life of the worker
    /// with other software: that life was noticed within `notice_time` after the send.
    pub fn may_have_been_replaced(
        &self,
        incarnation: &str,
        began_at: Duration,
        notice_time: Duration,
    ) -> bool {
        let replaced_at = self.software.replaced.get(incarnation);
        replaced_at.is_some_and(|at| *at >= began_at && *at < began_at + notice_time)
    }
}
