//! A gateway's view of the fleet: the configuration in force, the workers, and their load.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftshunt_routing::{
    ColdSpec, Configuration, CurrentConfiguration, Installed, Route, SplitState,
};
use swiftshunt_scheduler::cold::ColdBound;
use swiftshunt_scheduler::eligibility::OfferScope;
use swiftshunt_scheduler::selection::Selector;
use tokio::sync::{Notify, watch};

use crate::settings::ColdSettings;

/// Up to which offsets of the log the view of the fleet reaches; `None` until a topic was read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LogPositions {
    /// Offset behind the last applied record of the configuration.
    pub(crate) configuration: Option<u64>,
    /// Offset behind the last applied record of the directory.
    pub(crate) directory: Option<u64>,
    /// Offset behind the last applied record of the gateways and the versions of services.
    pub(crate) gateways: Option<u64>,
}

/// The view of the fleet, shared by all tasks of a gateway.
pub(crate) struct FleetState {
    cold: ColdSettings,
    versioned: Mutex<CurrentConfiguration>,
    current: watch::Sender<Option<Arc<Configuration>>>,
    selector: Mutex<Selector>,
    split: Mutex<SplitState>,
    /// Time at which a read of the log last returned a configuration or the absence of changes.
    confirmed_at: Mutex<Duration>,
    /// Time at which a read of the log last returned entries of the directory or the absence of changes.
    directory_confirmed_at: Mutex<Duration>,
    /// Offsets behind the last records of the configuration and of the directory that were applied.
    positions: Mutex<LogPositions>,
    /// Time at which a configuration last gave a route other services, by the route's host and path prefix.
    moved_routes: Mutex<HashMap<(String, String), Duration>>,
    /// Notified when the requests that this gateway has at workers, or would send to them, change.
    pub(crate) load_changed: Notify,
}

impl FleetState {
    pub(crate) fn new(selector: Selector, cold: ColdSettings) -> Self {
        Self {
            cold,
            versioned: Mutex::default(),
            current: watch::Sender::new(None),
            selector: Mutex::new(selector),
            split: Mutex::default(),
            confirmed_at: Mutex::default(),
            directory_confirmed_at: Mutex::default(),
            positions: Mutex::default(),
            moved_routes: Mutex::default(),
            load_changed: Notify::new(),
        }
    }

    /// Returns the configuration in force; `None` until the first one was read.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.current.borrow().clone()
    }

    /// Records that the log confirmed the configuration in force.
    pub(crate) fn confirm(&self, now: Duration) {
        *lock(&self.confirmed_at) = now;
    }

    /// Returns the time of the last confirmation of the configuration in force; zero if there was none.
    pub(crate) fn confirmed_at(&self) -> Duration {
        *lock(&self.confirmed_at)
    }

    /// Records that the log confirmed the directory.
    pub(crate) fn confirm_directory(&self, now: Duration) {
        *lock(&self.directory_confirmed_at) = now;
    }

    /// Returns the time of the last confirmation of the directory; zero if there was none.
    pub(crate) fn directory_confirmed_at(&self) -> Duration {
        *lock(&self.directory_confirmed_at)
    }

    /// Returns up to which offsets of the log the view reaches.
    pub(crate) fn positions(&self) -> LogPositions {
        *lock(&self.positions)
    }

    /// Records that the records of the configuration before an offset were applied.
    pub(crate) fn set_configuration_position(&self, next_offset: u64) {
        lock(&self.positions).configuration = Some(next_offset);
    }

    /// Records that the records of the gateways before an offset were applied.
    pub(crate) fn set_gateways_position(&self, next_offset: u64) {
        lock(&self.positions).gateways = Some(next_offset);
    }

    /// Records that the records of the directory before an offset were applied.
    pub(crate) fn set_directory_position(&self, next_offset: u64) {
        lock(&self.positions).directory = Some(next_offset);
    }

    /// Whether a configuration gave a route other services after a time. The first configuration of the process moves
    /// no route.
    pub(crate) fn has_moved_since(&self, route: &Route, since: Duration) -> bool {
        let moved = lock(&self.moved_routes);
        let moved_at = moved.get(&(route.host.clone(), route.path_prefix.clone()));
        moved_at.is_some_and(|at| *at > since)
    }

    /// Records that configurations may have been missed, which may have given any route other services.
    pub(crate) fn record_missed_configurations(&self, now: Duration) {
        let Some(configuration) = self.configuration() else {
            return;
        };
        let routes = configuration.routes.iter();
        let moved = routes.map(|route| ((route.host.clone(), route.path_prefix.clone()), now));
        lock(&self.moved_routes).extend(moved);
    }

    fn record_moved_routes(&self, before: &Configuration, after: &Configuration, now: Duration) {
        let mut moved = lock(&self.moved_routes);
        let is_configured = |host: &str, path_prefix: &str| {
            let mut routes = after.routes.iter();
            routes.any(|route| route.host == host && route.path_prefix == path_prefix)
        };
        moved.retain(|(host, path_prefix), _| is_configured(host, path_prefix));
        for route in &after.routes {
            let known = before
                .routes
                .iter()
                .find(|known| known.host == route.host && known.path_prefix == route.path_prefix);
            if known.is_some_and(|known| !has_same_services(known, route)) {
                moved.insert((route.host.clone(), route.path_prefix.clone()), now);
            }
        }
    }

    /// Whether a service runs batch items besides online requests.
    pub(crate) fn has_batch(&self, service: &str) -> bool {
        let configuration = self.current.borrow();
        configuration
            .as_ref()
            .is_some_and(|current| current.batch_services().contains(service))
    }

    /// Puts a configuration into force if it is newer than the current one.
    pub(crate) fn install(&self, configuration: Configuration, now: Duration) -> Installed {
        let mut versioned = lock(&self.versioned);
        let before = versioned.current();
        let installed = versioned.install(configuration);
        if installed == Installed::Taken {
            let current = versioned.current();
            if let Some(current) = &current {
                self.apply_services(current);
                if let Some(before) = &before {
                    self.record_moved_routes(before, current, now);
                }
            }
            self.current.send_replace(current);
        }
        installed
    }

    /// Returns the bound of requests to the cold workers of a service, scaled by the settings.
    fn cold_bound(&self, cold: &ColdSpec) -> ColdBound {
        let ColdSettings { share, requests } = self.cold;
        ColdBound::new(cold.cold_period, cold.per_second, share, requests)
    }

    fn apply_services(&self, configuration: &Configuration) {
        let mut selector = self.selector();
        for (name, service) in &configuration.services {
            selector.set_cold_bound(
                name,
                service.cold.as_ref().map(|cold| self.cold_bound(cold)),
            );
            if let Some(engine) = service.engine {
                selector.set_prefix_cache_size(name, engine.memory_tokens);
            }
        }
    }

    /// Locks and returns the selector, which holds the workers and their load.
    pub(crate) fn selector(&self) -> MutexGuard<'_, Selector> {
        lock(&self.selector)
    }

    /// Returns the service for the next request of a route. The route's split decides among the services that have
    /// an eligible worker in the given scope.
    pub(crate) fn next_service(&self, route: &Route, scope: &OfferScope) -> String {
        let selector = self.selector();
        let mut split = lock(&self.split);
        split
            .next(route, |service| {
                selector.has_eligible_worker(service, scope)
            })
            .to_owned()
    }

    /// Whether a configuration and at least one worker are known, so that callers can be served.
    pub(crate) fn is_complete(&self) -> bool {
        self.current.borrow().is_some() && !self.selector().is_empty()
    }
}

/// Whether two versions of a route have the same services, whatever their weights.
fn has_same_services(one: &Route, other: &Route) -> bool {
    let services = |route: &Route| -> BTreeSet<String> {
        let services = route.shares.iter().map(|share| share.service.clone());
        services.collect()
    };
    services(one) == services(other)
}

/// Locks a mutex. Poisoning is ignored: a panic of a background task ends the process, and one of a request or an item
/// ends that alone.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
