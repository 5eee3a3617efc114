//! Worker processes behind proxied links: start, directory entries and faults.

use std::sync::Arc;
use std::time::Duration;

use swiftshunt_http::HttpRequest;
use swiftshunt_platform::documents::WorkerDocument;
use swiftshunt_platform::words::values;
use tokio::sync::Mutex;

use super::{CONTROL_TIMEOUT, Testbed};
use crate::harness::Process;
use crate::platform::worker::{CONTROL_BEHAVIOUR_PATH, WorkerBehaviour};
use crate::proxy::Link;
use crate::soak::SoakError;
use crate::soak::disturbances::Scope;
use crate::soak::history::{ColdPeriod, WorkerDrain, WorkerLocation};
use crate::soak::plan::{ColdStarts, Service};
use crate::stand_in::lock;

/// Number of events of a stream.
pub(in crate::soak) const EVENTS: u64 = 12;
/// Delay before a unary response and between the events of a stream, in milliseconds.
const PAUSE_MS: u64 = 15;
/// Maximum time after a crash until the directory entry of a worker is removed: three missed heartbeats at intervals of
/// 1 s. The entry is removed earlier if the fault is shorter.
const ENTRY_TTL: Duration = Duration::from_secs(3);
/// Minimum time for which a draining worker continues to serve: the time for its open requests, and twice the time
/// within which the drain must take effect at the gateways.
const DRAIN_DURATION: Duration = Duration::from_secs(5);

/// A position in the fleet, held by a worker and its successive replacements.
pub(super) struct WorkerHandle {
    pub(super) state: Mutex<WorkerState>,
}

/// The current worker of a [`WorkerHandle`].
pub(super) struct WorkerState {
    process: Process,
    pub(super) incarnation: String,
    pub(super) link: Arc<Link>,
    /// Number of workers that held the position before this one.
    generation: u32,
    zone: &'static str,
    /// Start time in milliseconds since the start of the round.
    started: u64,
}

fn service_name(service: Service) -> &'static str {
    match service {
        Service::Whole => "whole",
        Service::Engine => "engine",
    }
}

impl Testbed {
    pub(super) async fn new_worker(
        &self,
        service: Service,
        index: usize,
    ) -> Result<WorkerHandle, SoakError> {
        let state = self.start_worker(service, index, 0, None).await?;
        let state = Mutex::new(state);
        Ok(WorkerHandle { state })
    }

    /// Starts a worker and lists it in the directory. Opens a new link if `link` is `None`.
    async fn start_worker(
        &self,
        service: Service,
        index: usize,
        generation: u32,
        link: Option<Arc<Link>>,
    ) -> Result<WorkerState, SoakError> {
        let incarnation = format!("{}-{index}-{generation}", service_name(service));
        let mut arguments = vec!["platform-worker".to_owned()];
        let mut option = |name: &str, value: String| {
            arguments.extend([format!("--{name}"), value]);
        };
        option("incarnation", incarnation.clone());
        option("slots", self.plan.slots.to_string());
        option("pause-ms", PAUSE_MS.to_string());
        if service == Service::Engine {
            option("events", EVENTS.to_string());
            if let Some(delay) = self.plan.item_event_delay_ms {
                option("item-pause-ms", delay.to_string());
            }
        }
        let log = self.scratch.join(format!("worker-{incarnation}.log"));
        let process =
            tokio::task::block_in_place(|| Process::start(&self.binaries.lab, &arguments, &log))?;
        let target = super::parse_addresses(process.announced("address"))?[0];
        let link = match link {
            Some(link) => {
                link.set_target(target);
                link
            }
            None => Arc::new(Link::open(([127, 0, 0, 1], 0).into(), Some(target)).await?),
        };
        let state = WorkerState {
            zone: self.zones().zone(index),
            started: self.now(),
            process,
            incarnation,
            link,
            generation,
        };
        self.record_worker_start(index, &state);
        self.publish_worker(service, &state, values::READY).await;
        Ok(state)
    }

    /// Returns the zone in the directory entry of a worker.
    fn announced_zone(&self, worker: &WorkerState) -> String {
        let regions = self.plan.regions;
        let is_announced = regions.is_none_or(|regions| regions.is_announced);
        let zone = if is_announced {
            worker.zone
        } else {
            self.zones().zone(0)
        };
        zone.to_owned()
    }

    /// Returns the remaining cold time in the directory entry of a worker, in milliseconds; 0 if none is announced.
    fn cold_left_ms(&self, worker: &WorkerState) -> f64 {
        let cold = self.cold_start(worker.generation);
        let announced = cold.filter(|cold| cold.is_announced);
        let until = announced.map_or(0, |cold| worker.started + cold.duration_ms);
        until.saturating_sub(self.now()) as f64
    }

    /// Records the location and the cold period of a worker that starts.
    fn record_worker_start(&self, index: usize, worker: &WorkerState) {
        let mut history = lock(&self.history);
        if self.plan.regions.is_some() {
            let places = self.zones();
            history.worker_locations.push(WorkerLocation {
                incarnation: worker.incarnation.clone(),
                zone: places.zone(index).to_owned(),
                region: places.region(index).to_owned(),
            });
        }
        if let Some(cold) = self.cold_start(worker.generation) {
            let from = self.now();
            history.cold_periods.push(ColdPeriod {
                incarnation: worker.incarnation.clone(),
                per_second: cold.per_second,
                from,
                to: from + cold.duration_ms,
            });
        }
    }

    /// Returns the limits of a cold start; `None` if the worker is not cold. Only replacements start cold.
    fn cold_start(&self, generation: u32) -> Option<ColdStarts> {
        self.plan.cold.filter(|_| generation > 0)
    }

    async fn publish_worker(&self, service: Service, worker: &WorkerState, state: &str) -> bool {
        let document = WorkerDocument {
            service: service_name(service).to_owned(),
            address: worker.link.address.to_string(),
            zone: self.announced_zone(worker),
            version: "v1".to_owned(),
            slots: self.plan.slots as u32,
            state: state.to_owned(),
            cold_left_ms: self.cold_left_ms(worker),
            call_seq: 1,
            born: None,
        };
        self.put_worker(&worker.incarnation, &document).await
    }

    /// Starts a replacement for a worker that has been killed.
    async fn replace_worker(
        &self,
        service: Service,
        index: usize,
        worker: &mut WorkerState,
        link: Option<Arc<Link>>,
    ) {
        let generation = worker.generation + 1;
        match self.start_worker(service, index, generation, link).await {
            Ok(state) => *worker = state,
            Err(error) => {
                self.record_failure(format!("cannot start a replacement worker: {error}"))
            }
        }
    }

    pub(super) async fn crash_worker(
        &self,
        service: Service,
        index: usize,
        same_address: bool,
        duration: Duration,
    ) {
        let Some(handle) = self.worker(service, index) else {
            return;
        };
        let mut worker = handle.state.lock().await;
        let from = self.now();
        worker.link.refuse_connections();
        worker.process.kill();
        tokio::time::sleep(duration.min(ENTRY_TTL)).await;
        self.remove_worker(&worker.incarnation).await;
        tokio::time::sleep(duration.saturating_sub(ENTRY_TTL)).await;
        self.record_disturbance(Scope::Worker(worker.incarnation.clone()), from);
        let link = same_address.then(|| Arc::clone(&worker.link));
        self.replace_worker(service, index, &mut worker, link).await;
    }

    /// Removes the directory entry of a worker that lives on, and lists it again unless it was replaced meanwhile.
    pub(super) async fn lapse_entry(&self, service: Service, index: usize, duration: Duration) {
        let Some(handle) = self.worker(service, index) else {
            return;
        };
        let from = self.now();
        let incarnation = handle.state.lock().await.incarnation.clone();
        self.remove_worker(&incarnation).await;
        tokio::time::sleep(duration).await;
        let worker = handle.state.lock().await;
        if worker.incarnation == incarnation {
            self.publish_worker(service, &worker, values::READY).await;
        }
        self.record_disturbance(Scope::Worker(incarnation), from);
    }

    pub(super) async fn pause_worker(&self, service: Service, index: usize, duration: Duration) {
        let Some(handle) = self.worker(service, index) else {
            return;
        };
        let worker = handle.state.lock().await;
        let from = self.now();
        worker.process.pause();
        tokio::time::sleep(duration).await;
        worker.process.resume();
        self.record_disturbance(Scope::Worker(worker.incarnation.clone()), from);
    }

    /// Announces a worker as draining, and kills and replaces it later. Only the kill is recorded as a fault: the drain
    /// itself excuses no time limit.
    pub(super) async fn drain_worker(&self, service: Service, index: usize, duration: Duration) {
        let Some(handle) = self.worker(service, index) else {
            return;
        };
        let mut worker = handle.state.lock().await;
        if self
            .publish_worker(service, &worker, values::DRAINING)
            .await
        {
            let drain = WorkerDrain {
                incarnation: worker.incarnation.clone(),
                at: self.now(),
            };
            lock(&self.history).drains.push(drain);
        }
        tokio::time::sleep(DRAIN_DURATION + duration / 4).await;
        self.remove_worker(&worker.incarnation).await;
        let from = self.now();
        worker.link.refuse_connections();
        worker.process.kill();
        self.record_disturbance(Scope::Worker(worker.incarnation.clone()), from);
        self.replace_worker(service, index, &mut worker, None).await;
    }

    pub(super) async fn set_worker_manner(
        &self,
        service: Service,
        index: usize,
        manner: WorkerBehaviour,
        duration: Duration,
    ) {
        let Some(handle) = self.worker(service, index) else {
            return;
        };
        let worker = handle.state.lock().await;
        let from = self.now();
        self.send_manner(&worker, manner).await;
        tokio::time::sleep(duration).await;
        self.send_manner(&worker, WorkerBehaviour::Normal).await;
        self.record_disturbance(Scope::Worker(worker.incarnation.clone()), from);
    }

    async fn send_manner(&self, worker: &WorkerState, manner: WorkerBehaviour) {
        let body = serde_json::to_vec(&manner).unwrap_or_default();
        let Ok(addresses) = super::parse_addresses(worker.process.announced("address")) else {
            return;
        };
        let request = HttpRequest::post(
            addresses[0],
            CONTROL_BEHAVIOUR_PATH,
            "application/json",
            body,
        );
        if let Err(error) = self.client.expect_success(request, CONTROL_TIMEOUT).await {
            self.record_failure(format!(
                "the worker stand-in did not accept a behaviour: {error}"
            ));
        }
    }
}
