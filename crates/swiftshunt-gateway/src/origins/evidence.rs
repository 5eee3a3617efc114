//! What the directory and the configuration show of the versions that may have begun a stream.

use std::time::Duration;

use swiftshunt_routing::Route;
use swiftshunt_scheduler::origins::resolution::Evidence;
use swiftshunt_types::{OutputOrigin, SoftwareVersion};

use super::{RouteName, StreamOrigins};

/// Age of the last read of the directory up to which a gateway tells no other ones of the streams that it begins while it
/// knows of one version alone.
const MAX_DIRECTORY_AGE: Duration = Duration::from_secs(3);

impl StreamOrigins {
    /// Returns what this gateway knows, without a record, of the versions that may have begun a stream of a route.
    pub(super) fn evidence(&self, route: &RouteName) -> Evidence {
        self.evidence_since(route, |since| {
            let watched_since = self
                .context
                .fleet_state
                .selector()
                .directory_watched_since();
            watched_since.is_some_and(|watched_since| watched_since <= since)
        })
    }

    /// Returns the evidence of what this gateway has seen, whether it has watched the directory for long enough or not.
    pub(super) fn seen_versions(&self, route: &RouteName) -> Evidence {
        self.evidence_since(route, |_| true)
    }

    /// Returns the evidence of a gateway that has just started, from the records in the log: no other version served
    /// before the start if the service is not marked, and its version is the recorded one.
    pub(super) fn startup_evidence(&self, route: &RouteName) -> Evidence {
        if !self.context.members.is_list_loaded() {
            return Evidence::Unsure;
        }
        let evidence = self.seen_versions(route);
        match evidence {
            Evidence::Sole(origin) | Evidence::SoleBefore(origin)
                if self
                    .context
                    .version_marks
                    .is_contradicted(&origin.service, &origin.software) =>
            {
                Evidence::Several
            }
            evidence => evidence,
        }
    }

    /// Whether this gateway has read the directory recently.
    fn is_directory_recent(&self) -> bool {
        self.context.clock.now()
            < self.context.fleet_state.directory_confirmed_at() + MAX_DIRECTORY_AGE
    }

    /// Returns the evidence, given whether this gateway knows all versions that have served since a time.
    fn evidence_since(
        &self,
        route: &RouteName,
        knows_all_since: impl Fn(Duration) -> bool,
    ) -> Evidence {
        let Some(configuration) = self.context.fleet_state.configuration() else {
            return Evidence::Unsure;
        };
        let Some(route) = configuration.route(&route.host, &route.path_prefix) else {
            return Evidence::Unsure;
        };
        let now = self.context.clock.now();
        let since = now.saturating_sub(self.ttl());
        let Some(service) = self.sole_service(route, since) else {
            return Evidence::Several;
        };
        let versions = self
            .context
            .fleet_state
            .selector()
            .software_versions(service, since);
        let mut versions: Vec<SoftwareVersion> = versions.into_iter().collect();
        if versions.len() > 1 {
            return Evidence::Several;
        }
        let Some(software) = versions.pop().filter(|_| knows_all_since(since)) else {
            return Evidence::Unsure;
        };
        let origin = OutputOrigin {
            service: service.to_owned(),
            software,
        };
        if self.is_directory_recent() {
            Evidence::Sole(origin)
        } else {
            Evidence::SoleBefore(origin)
        }
    }

    /// Returns the service of a route's requests if there has been only one since a time.
    fn sole_service<'r>(&self, route: &'r Route, since: Duration) -> Option<&'r str> {
        let [share] = route.shares.as_slice() else {
            return None;
        };
        let has_moved = self.context.fleet_state.has_moved_since(route, since);
        (!has_moved).then_some(share.service.as_str())
    }
}
