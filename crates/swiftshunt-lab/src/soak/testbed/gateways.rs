//! Gateway processes: start, faults, planned stops, and the readiness checks that decide which gateways get requests.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex as StdMutex};
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::sync::Mutex;

use super::{PARTITIONS, Testbed};
use crate::harness::Process;
use crate::platform::caller::PlatformCaller;
use crate::platform::fleet::{
    GatewayAddresses, GatewaySettingsText, settings_text, start_gateway,
    start_gateway_on_free_addresses,
};
use crate::proxy::Link;
use crate::soak::SoakError;
use crate::soak::disturbances::Scope;
use crate::soak::history::PlannedStop;
use crate::soak::plan::Trigger;
use crate::stand_in::lock;

/// Setting for shared reads: one gateway for every two, but at least two in total, read the directory and the
/// configuration for the others.
const SHARED_READS: &str = "gateways_per_reader = 2";
/// Duration of a partition lease.
const LEASE: Duration = Duration::from_secs(1);
/// Maximum number of earlier gateways in the seed list of a gateway.
const MAX_SEEDS: usize = 3;
/// Interval between readiness checks of a gateway, and time-out of each check.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of consecutive failed readiness checks after which a gateway gets no more requests.
const MAX_READY_FAILURES: u32 = 2;
/// Maximum wait for a started gateway to become ready. It is limited because the store may be unavailable.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time-out of a planned stop, well beyond the grace period of a gateway.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which the state of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The process, links and state of a gateway.
pub(super) struct GatewayHandle {
    process: Mutex<Process>,
    pub(super) caller_link: Arc<Link>,
    pub(super) store_link: Arc<Link>,
    /// Address at which the store serves this gateway, behind `store_link`.
    pub(super) store_address: SocketAddr,
    /// Address at which other gateways reach this one.
    peer_address: SocketAddr,
    readiness_address: StdMutex<SocketAddr>,
    settings: PathBuf,
    program: StdMutex<PathBuf>,
    /// Number of restarts of the process so far.
    generation: AtomicUsize,
    is_in_rotation: AtomicBool,
    /// Whether the process has exited without a signal to do so.
    has_exited_unexpectedly: AtomicBool,
}

impl Testbed {
    pub(super) async fn new_gateway(
        &self,
        index: usize,
        store_address: SocketAddr,
    ) -> Result<GatewayHandle, SoakError> {
        let any_port = ([127, 0, 0, 1], 0).into();
        let store = Link::open(any_port, Some(store_address)).await?;
        let settings = self.scratch.join(format!("gateway-{index}.toml"));
        let seeds = self.gateways.iter().take(MAX_SEEDS);
        let seeds: Vec<String> = seeds.map(|it| format!("\"{}\"", it.peer_address)).collect();
        let more = format!("[gateways]\nseeds = [{}]\n", seeds.join(", "));
        store.set_conditions(self.store_link_way(index));
        let program = self.initial_program(index);
        let places = self.zones();
        let text = |addresses: GatewayAddresses| {
            settings_text(&GatewaySettingsText {
                index,
                zone_layout: &places,
                peers: addresses.peers,
                metrics: addresses.metrics,
                store: store.address,
                partitions: PARTITIONS,
                lease: LEASE,
                extra_directory_lines: SHARED_READS,
                extra_lines: &more,
            })
        };
        let start = || start_gateway_on_free_addresses(&program, &settings, text);
        let (process, addresses) = tokio::task::block_in_place(start)?;
        let callers = Link::open(
            any_port,
            Some(super::parse_addresses(process.announced("callers"))?[0]),
        );
        Ok(GatewayHandle {
            caller_link: Arc::new(callers.await?),
            store_link: Arc::new(store),
            store_address,
            peer_address: addresses.peers,
            readiness_address: StdMutex::new(
                super::parse_addresses(process.announced("ready"))?[0],
            ),
            settings,
            program: StdMutex::new(program),
            generation: AtomicUsize::new(0),
            is_in_rotation: AtomicBool::new(true),
            has_exited_unexpectedly: AtomicBool::new(false),
            process: Mutex::new(process),
        })
    }

    /// Returns the executable for the first start of a gateway: every second gateway runs the earlier build, if one is
    /// given.
    fn initial_program(&self, index: usize) -> PathBuf {
        let earlier = self.binaries.earlier_node.as_ref();
        let earlier = earlier.filter(|_| index % 2 == 1);
        earlier.unwrap_or(&self.binaries.node).clone()
    }

    fn start_gateway(&self, program: &Path, settings: &Path) -> Result<Process, SoakError> {
        let start = || start_gateway(program, settings);
        Ok(tokio::task::block_in_place(start)?)
    }

    /// Starts a gateway whose process has exited, and waits until it is ready.
    async fn restart_gateway(&self, index: usize, process: &mut Process) {
        let handle = &self.gateways[index];
        let program = lock(&handle.program).clone();
        let started = self.start_gateway(&program, &handle.settings);
        let addresses = started.and_then(|started| {
            let callers = super::parse_addresses(started.announced("callers"))?[0];
            let ready = super::parse_addresses(started.announced("ready"))?[0];
            *process = started;
            Ok((callers, ready))
        });
        match addresses {
            Ok((callers, ready)) => {
                handle.generation.fetch_add(1, Ordering::SeqCst);
                handle.caller_link.set_target(callers);
                *lock(&handle.readiness_address) = ready;
            }
            Err(error) => self.record_failure(format!("cannot restart gateway {index}: {error}")),
        }
        self.wait_until_ready(index).await;
    }

    /// Waits until a gateway is ready, at most for [`READY_TIMEOUT`].
    pub(super) async fn wait_until_ready(&self, index: usize) {
        let caller = PlatformCaller::default();
        let ready = *lock(&self.gateways[index].readiness_address);
        let until_ready = async {
            while !caller.is_ready(ready).await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        drop(tokio::time::timeout(READY_TIMEOUT, until_ready).await);
    }

    fn detect_unexpected_exit(&self, index: usize, process: &mut Process) {
        if !process.is_running() {
            let handle = &self.gateways[index];
            handle.has_exited_unexpectedly.store(true, Ordering::SeqCst);
        }
    }

    pub(super) async fn kill_gateway(&self, index: usize, duration: Duration) {
        let Some(handle) = self.gateways.get(index) else {
            return;
        };
        let mut process = handle.process.lock().await;
        let from = self.now();
        self.detect_unexpected_exit(index, &mut process);
        tokio::task::block_in_place(|| process.kill());
        handle.caller_link.clear_target();
        tokio::time::sleep(duration).await;
        self.restart_gateway(index, &mut process).await;
        self.record_disturbance(Scope::Gateway(index), from);
    }

    pub(super) async fn pause_gateway(&self, index: usize, duration: Duration) {
        let Some(handle) = self.gateways.get(index) else {
            return;
        };
        let process = handle.process.lock().await;
        let from = self.now();
        process.pause();
        tokio::time::sleep(duration).await;
        process.resume();
        self.record_disturbance(Scope::Gateway(index), from);
    }

    pub(super) async fn stop_gateway(&self, index: usize) {
        let Some(handle) = self.gateways.get(index) else {
            return;
        };
        let mut process = handle.process.lock().await;
        self.detect_unexpected_exit(index, &mut process);
        let at = self.now();
        process.terminate();
        self.notify_trigger(Trigger::PlannedStop);
        let until_exit = async {
            while process.is_running() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(STOP_TIMEOUT, until_exit)
            .await
            .is_err()
        {
            self.record_failure(format!(
                "gateway {index} did not exit within {STOP_TIMEOUT:?} after SIGTERM"
            ));
            tokio::task::block_in_place(|| process.kill());
        }
        handle.caller_link.clear_target();
        let ended = self.now();
        let stop = PlannedStop {
            gateway: index,
            at,
            ended,
        };
        lock(&self.history).stops.push(stop);
        // A gateway with the earlier build is upgraded to the current one by its planned stop.
        lock(&handle.program).clone_from(&self.binaries.node);
        self.restart_gateway(index, &mut process).await;
        self.record_disturbance(Scope::PlannedStop(index), at);
    }

    /// Sends SIGHUP with the unchanged settings file or with an invalid one, which is restored after `duration`.
    pub(super) async fn hang_up(&self, index: usize, readable: bool, duration: Duration) {
        let Some(handle) = self.gateways.get(index) else {
            return;
        };
        let process = handle.process.lock().await;
        let text = std::fs::read_to_string(&handle.settings).unwrap_or_default();
        let changed = if readable {
            text.clone()
        } else {
            format!("{text}\nnot = [settings")
        };
        if let Err(error) = std::fs::write(&handle.settings, changed) {
            self.record_failure(format!(
                "cannot write the settings of gateway {index}: {error}"
            ));
        }
        process.hang_up();
        tokio::time::sleep(duration).await;
        if let Err(error) = std::fs::write(&handle.settings, text) {
            self.record_failure(format!(
                "cannot write the settings of gateway {index}: {error}"
            ));
        }
    }

    /// Returns the indexes of gateways whose process exited without a signal to do so.
    pub(super) fn unexpected_exits(&self) -> Vec<usize> {
        let has_exited = |index: &usize| {
            let handle = &self.gateways[*index];
            if let Ok(mut process) = handle.process.try_lock() {
                self.detect_unexpected_exit(*index, &mut process);
            }
            handle.has_exited_unexpectedly.load(Ordering::SeqCst)
        };
        (0..self.gateways.len()).filter(has_exited).collect()
    }

    /// Checks the readiness of a gateway periodically, as a platform does, and takes it out of rotation or back in.
    /// Never returns.
    pub(in crate::soak) async fn poll_readiness(&self, index: usize) {
        let caller = PlatformCaller::default();
        let mut consecutive_failures = 0;
        loop {
            let ready = *lock(&self.gateways[index].readiness_address);
            let answer = tokio::time::timeout(READY_POLL_INTERVAL, caller.is_ready(ready)).await;
            consecutive_failures = if answer.unwrap_or(false) {
                0
            } else {
                consecutive_failures + 1
            };
            let is_in_rotation = consecutive_failures < MAX_READY_FAILURES;
            self.gateways[index]
                .is_in_rotation
                .store(is_in_rotation, Ordering::SeqCst);
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Returns a random gateway for a request: one in rotation, or any if fewer than half are in rotation.
    pub(in crate::soak) fn pick_gateway(&self) -> usize {
        let all: Vec<usize> = (0..self.gateways.len()).collect();
        let is_in_rotation =
            |index: &usize| self.gateways[*index].is_in_rotation.load(Ordering::SeqCst);
        let in_rotation: Vec<usize> = all.iter().copied().filter(is_in_rotation).collect();
        let are_too_few = in_rotation.len() * 2 < all.len();
        let choice = if are_too_few { &all } else { &in_rotation };
        choice.choose(&mut rand::rng()).copied().unwrap_or(0)
    }

    /// Returns the number of gateways.
    pub(in crate::soak) fn gateway_count(&self) -> usize {
        self.gateways.len()
    }

    /// Returns the address at which callers reach a gateway.
    pub(in crate::soak) fn caller_address(&self, index: usize) -> SocketAddr {
        self.gateways[index].caller_link.address
    }

    /// Returns the number of restarts of a gateway's process so far.
    pub(in crate::soak) fn generation(&self, index: usize) -> usize {
        self.gateways[index].generation.load(Ordering::SeqCst)
    }
}
