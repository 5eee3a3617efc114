//! What a gateway believes of the fleet: the configuration in force, the workers and their load.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftshunt_routing::{
    ColdSpec, Configuration, CurrentConfiguration, Installed, Route, SplitState,
};
use swiftshunt_scheduler::cold::ColdBound;
use swiftshunt_scheduler::selection::Selector;
use swiftshunt_topology::Residency;
use tokio::sync::{Notify, watch};

use crate::settings::ColdSettings;

/// Shared beliefs.
pub(crate) struct FleetState {
    cold: ColdSettings,
    versioned: Mutex<CurrentConfiguration>,
    current: watch::Sender<Option<Arc<Configuration>>>,
    selector: Mutex<Selector>,
    split: Mutex<SplitState>,
    /// When the log last told what the configuration is, or that it has not changed.
    confirmed_at: Mutex<Duration>,
    /// What this gateway holds at workers, or would, has changed.
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
            load_changed: Notify::new(),
        }
    }

    /// The configuration in force.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.current.borrow().clone()
    }

    /// The configuration in force was confirmed.
    pub(crate) fn confirm(&self, now: Duration) {
        *lock(&self.confirmed_at) = now;
    }

    /// When the configuration in force was confirmed last.
    pub(crate) fn confirmed_at(&self) -> Duration {
        *lock(&self.confirmed_at)
    }

    /// Whether a service has batch items beside callers' requests.
    pub(crate) fn has_batch(&self, service: &str) -> bool {
        let configuration = self.current.borrow();
        configuration
            .as_ref()
            .is_some_and(|it| it.batch_services().contains(service))
    }

    /// Puts a configuration into force if it is newer.
    pub(crate) fn install(&self, configuration: Configuration) -> Installed {
        let mut versioned = lock(&self.versioned);
        let installed = versioned.install(configuration);
        if installed == Installed::Taken {
            let current = versioned.current();
            if let Some(current) = &current {
                self.learn_services(current);
            }
            self.current.send_replace(current);
        }
        installed
    }

    /// What the cold workers of a service may get, by the settings.
    fn cold_bound(&self, cold: &ColdSpec) -> ColdBound {
        let ColdSettings { share, requests } = self.cold;
        ColdBound::new(cold.cold_period, cold.per_second, share, requests)
    }

    fn learn_services(&self, configuration: &Configuration) {
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

    /// The workers.
    pub(crate) fn selector(&self) -> MutexGuard<'_, Selector> {
        lock(&self.selector)
    }

    /// The service of the next request of a route that may be handled in these regions, by the shares of its
    /// split among those that are open.
    pub(crate) fn next_service(&self, route: &Route, residency: &Residency) -> String {
        let selector = self.selector();
        let mut split = lock(&self.split);
        split
            .next(route, |service| {
                selector.has_eligible_worker(service, residency)
            })
            .to_owned()
    }

    /// Whether enough is known to serve callers.
    pub(crate) fn is_complete(&self) -> bool {
        self.current.borrow().is_some() && !self.selector().is_empty()
    }
}

/// Locks; a panic of another holder has stopped the process before this could matter.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
