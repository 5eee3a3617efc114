//! Start and graceful stop of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use swiftshunt_journal::Log;
use swiftshunt_scheduler::selection::Selector;
use swiftshunt_topology::TopologyError;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::answer_buffer::AnswerBuffers;
use crate::attempt::Dispatcher;
use crate::background;
use crate::batch::{Batch, BatchDependencies, JobDecoding};
use crate::body_buffers::BodyBuffers;
use crate::clock::Clock;
use crate::datagrams::Datagrams;
use crate::evacuation_monitor::EvacuationMonitor;
use crate::fleet_followers::FleetFollowers;
use crate::fleet_state::FleetState;
use crate::job_regions::JobRegions;
use crate::log_relay::RelayedLog;
use crate::members::Members;
use crate::memory::{self, MemoryShares};
use crate::metrics::Metrics;
use crate::online::OnlineHandler;
use crate::origins::{OriginContext, StreamOrigins, ViewCheck};
use crate::peers::{NoticeHandlers, Peers};
use crate::protocol::Protocol;
use crate::quarantine::Quarantine;
use crate::rates::Rates;
use crate::running::RunningItems;
use crate::server::{Stop, listen, serve_callers, serve_metrics, serve_peers, serve_ready};
use crate::settings::{GatewaySettings, StopSettings};
use crate::slots::Slots;
use crate::start_permits::StartPermits;
use crate::tails::SharedTails;
use crate::traffic::CountedLog;
use crate::unreadable::UnreadableRecords;
use crate::upstream::Upstream;
use crate::waiting_limits::{Dependencies, WaitingLimits};
use crate::worker_reach::WorkerReach;

/// Why a gateway did not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[display("{field}: cannot listen on {address}: {source}")]
    Listen {
        /// Key of the setting that names the address.
        field: &'static str,
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The zones of the settings do not form a valid topology.
    #[display("{_0}")]
    Topology(TopologyError),
}

/// A running gateway.
pub struct Gateway {
    callers: SocketAddr,
    ready: SocketAddr,
    peers_address: SocketAddr,
    stop: Stop,
    stop_settings: StopSettings,
    batch: Arc<Batch>,
    peers: Arc<Peers>,
    log: Arc<dyn Log>,
    tasks: Vec<JoinHandle<()>>,
}

/// Interval at which idle connections that have timed out are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_500);
/// Delay of a sweep from which a pause of the process is logged: after a pause, the gateway's view of the fleet is out
/// of date by the length of the pause.
const MIN_LOGGED_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which a stop checks whether all results are written.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Time limit for the hand-over of batch jobs and of the place in the list: enough for a call to the log that is not
/// answered and is then made through another gateway.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Reserve at the end of the grace period for the exit of the process.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Time before that in which requests that are still in progress get an answer.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(400);

impl Gateway {
    /// Starts a gateway. It is listening when this returns.
    pub async fn start(
        settings: GatewaySettings,
        protocol: Arc<dyn Protocol>,
        log: Arc<dyn Log>,
    ) -> Result<Self, StartError> {
        let settings = Arc::new(settings);
        let bind = |field, address| {
            listen(address).map_err(|source| StartError::Listen {
                field,
                address,
                source,
            })
        };
        let caller_listener = bind("listen.callers", settings.listen.callers)?;
        let ready_listener = bind("listen.ready", settings.listen.ready)?;
        let peer_listener = bind("listen.peers", settings.listen.peers)?;
        let peers_address = peer_listener.local_addr().unwrap_or(settings.listen.peers);
        let metrics_listener = settings
            .listen
            .metrics
            .map(|address| bind("listen.metrics", address));
        let metrics_listener = metrics_listener.transpose()?;
        let clock = Clock::start();
        let memory_limit = memory::limit_bytes(settings.memory);
        let memory_shares = MemoryShares::of(memory_limit);
        let metrics = Arc::new(Metrics::new());
        let topology = settings.topology().map_err(StartError::Topology)?;
        let selector = Selector::with_topology(topology.clone());
        let fleet_state = Arc::new(FleetState::new(selector, settings.cold));
        let notice_socket = bind_datagrams(peers_address).map_err(|source| StartError::Listen {
            field: "listen.peers",
            address: peers_address,
            source,
        })?;
        let members = Arc::new(Members::new(peers_address, topology, clock));
        let datagrams = Arc::new(Datagrams::new(
            notice_socket,
            Arc::clone(&members),
            Arc::clone(&metrics),
        ));
        let unreadable = Arc::new(UnreadableRecords::new(Arc::clone(&metrics), clock));
        let other_gateways = Arc::new(Peers::new(
            Arc::clone(&datagrams),
            Arc::clone(&members),
            &settings.gateways.seeds,
            Arc::clone(&fleet_state),
            Arc::clone(&metrics),
            Arc::clone(&unreadable),
            clock,
        ));
        let job_regions = Arc::new(JobRegions::new(
            Arc::clone(&fleet_state),
            Arc::clone(&members),
        ));
        let log = CountedLog::new(log, metrics.traffic.clone());
        let relayed = Arc::new(RelayedLog::new(
            Arc::new(log),
            Arc::clone(&other_gateways),
            Arc::clone(&job_regions),
            Arc::clone(&metrics),
            clock,
            settings.log.call_timeout,
        ));
        let log: Arc<dyn Log> = Arc::clone(&relayed) as _;
        let tails = Arc::new(SharedTails::new(
            Arc::clone(&members),
            settings.directory.gateways_per_reader,
            Arc::clone(&metrics),
            relayed.subscribe_unavailable(),
            clock,
        ));
        let running = Arc::new(RunningItems::default());
        let waiting_limits = Arc::new(WaitingLimits::new(Dependencies {
            log: Arc::clone(&log),
            members: Arc::clone(&members),
            datagrams: Arc::clone(&datagrams),
            metrics: Arc::clone(&metrics),
            unreadable: Arc::clone(&unreadable),
            clock,
            partitions: settings.log.partitions,
        }));
        let rates = Arc::new(Rates::new(
            Arc::clone(&members),
            Arc::clone(&datagrams),
            Arc::clone(&metrics),
            clock,
            settings.tenants.tolerance(),
        ));
        let quarantine = Arc::new(Quarantine::new(
            Arc::clone(&log),
            Arc::clone(&members),
            Arc::clone(&datagrams),
            Arc::clone(&fleet_state),
            Arc::clone(&metrics),
            Arc::clone(&unreadable),
            clock,
        ));
        let start_permits = Arc::new(StartPermits::new(
            Arc::clone(&members),
            Arc::clone(&datagrams),
            Arc::clone(&fleet_state),
            Arc::clone(&metrics),
            clock,
        ));
        let view_check = ViewCheck::new(
            Arc::clone(&log),
            Arc::clone(&protocol),
            Arc::clone(&fleet_state),
            clock,
        );
        let origins = Arc::new(StreamOrigins::new(OriginContext {
            log: Arc::clone(&log),
            members: Arc::clone(&members),
            datagrams: Arc::clone(&datagrams),
            fleet_state: Arc::clone(&fleet_state),
            metrics: Arc::clone(&metrics),
            version_marks: Arc::clone(other_gateways.version_marks()),
            view_check,
            clock,
        }));
        let worker_reach = Arc::new(WorkerReach::new(
            Arc::clone(&members),
            Arc::clone(&datagrams),
            Arc::clone(&fleet_state),
            clock,
        ));
        let slots = Arc::new(Slots::new(
            Arc::clone(&members),
            datagrams,
            Arc::clone(&fleet_state),
            Arc::clone(&running),
            Arc::clone(&metrics),
            clock,
            settings.batch.headroom,
        ));
        let dispatcher = Arc::new(Dispatcher {
            protocol: Arc::clone(&protocol),
            fleet_state: Arc::clone(&fleet_state),
            upstream: Upstream::new(settings.workers.source),
            metrics: Arc::clone(&metrics),
            peers: Arc::clone(&other_gateways),
            slots: Arc::clone(&slots),
            start_permits: Arc::clone(&start_permits),
            quarantine: Arc::clone(&quarantine),
            origins: Arc::clone(&origins),
            job_regions,
            worker_reach: Arc::clone(&worker_reach),
            answer_buffers: AnswerBuffers::new(memory_shares.answers),
            clock,
        });
        let batch = Arc::new(Batch::new(BatchDependencies {
            dispatcher: Arc::clone(&dispatcher),
            settings: Arc::clone(&settings),
            relayed: Arc::clone(&relayed),
            members,
            running: Arc::clone(&running),
            waiting_limits: Arc::clone(&waiting_limits),
            unreadable: Arc::clone(&unreadable),
            memory_shares,
        }));
        let stop = Stop::default();
        let online = Arc::new(OnlineHandler {
            dispatcher: Arc::clone(&dispatcher),
            stop: stop.clone(),
            batch: Arc::clone(&batch),
            rates: Arc::clone(&rates),
            late_queue: tokio::sync::Mutex::default(),
            bodies: BodyBuffers::new(memory_shares.bodies),
            job_decoding: JobDecoding::new(memory_shares.decoding),
            max_config_age: settings.tenants.max_config_age(),
        });
        let fleet_followers = Arc::new(FleetFollowers {
            log: Arc::clone(&log),
            protocol: Arc::clone(&protocol),
            fleet_state: Arc::clone(&fleet_state),
            metrics: Arc::clone(&metrics),
            unreadable: Arc::clone(&unreadable),
            quarantine: Arc::clone(&quarantine),
            tails: Arc::clone(&tails),
            version_marks: Arc::clone(other_gateways.version_marks()),
            clock,
        });
        let callers_address = caller_listener
            .local_addr()
            .unwrap_or(settings.listen.callers);
        let ready_address = ready_listener.local_addr().unwrap_or(settings.listen.ready);
        let directory = settings.directory.clone();
        let propagation_limit = directory.obey_within.min(settings.evacuation.obey_within);
        let evacuation_monitor = EvacuationMonitor {
            fleet_state: Arc::clone(&fleet_state),
            running: Arc::clone(&running),
            metrics: Arc::clone(&metrics),
            clock,
            items_leave_after: settings.evacuation.items_leave_after,
        };
        let mut tasks = vec![
            background::spawn(Arc::clone(&fleet_followers).follow_configuration(propagation_limit)),
            background::spawn(fleet_followers.follow_directory(directory)),
            background::spawn(serve_callers(
                caller_listener,
                online,
                Arc::clone(&fleet_state),
                stop.clone(),
            )),
            background::spawn(serve_ready(
                ready_listener,
                Arc::clone(&fleet_state),
                Arc::clone(&other_gateways),
                stop.clone(),
            )),
            background::spawn(serve_peers(
                peer_listener,
                Arc::clone(&protocol),
                Arc::clone(&batch),
                Arc::clone(&relayed),
                Arc::clone(&tails),
                BodyBuffers::new(memory_shares.calls),
            )),
            background::spawn(relayed.probe_log()),
            background::spawn(Arc::clone(&other_gateways).receive_notices(NoticeHandlers {
                slots: Arc::clone(&slots),
                waiting_limits,
                rates: Arc::clone(&rates),
                quarantine: Arc::clone(&quarantine),
                start_permits,
                origins: Arc::clone(&origins),
                worker_reach,
            })),
            background::spawn(origins.run_reviews()),
            background::spawn(Arc::clone(&quarantine).follow(tails)),
            background::spawn(Arc::clone(&quarantine).run_recording()),
            background::spawn(quarantine.run_expiry()),
            background::spawn(rates.run_cleanup()),
            background::spawn(Arc::clone(&slots).run_reporting()),
            background::spawn(slots.run_free_slot_announcements()),
            background::spawn(Arc::clone(&other_gateways).run_registration(Arc::clone(&log))),
            background::spawn(Arc::clone(&other_gateways).follow_membership(Arc::clone(&log))),
            background::spawn(sweep(dispatcher)),
            background::spawn(evacuation_monitor.run()),
        ];
        if let Some(listener) = metrics_listener {
            tasks.push(background::spawn(serve_metrics(listener, metrics)));
        }
        batch.start();
        log::info!(name = settings.name.as_str(), zone = settings.zone.as_str(),
            callers = callers_address.to_string().as_str(), memory_limit; "gateway listens");
        Ok(Self {
            callers: callers_address,
            ready: ready_address,
            peers_address,
            stop,
            stop_settings: settings.stop.clone(),
            batch,
            peers: other_gateways,
            log,
            tasks,
        })
    }

    /// Returns the address on which callers are served.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address on which readiness checks are served.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready
    }

    /// Returns the address on which other gateways are served.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers_address
    }

    /// Stops the gateway gracefully: hands over its batch jobs, serves callers until no new connections are
    /// expected, closes idle connections, and waits for requests in progress. Ends within the grace period, whatever the
    /// log and other gateways do.
    pub async fn stop(self) {
        let time_limit = self.stop_settings.grace.saturating_sub(GRACE_MARGIN);
        log::info!(limit_ms = time_limit.as_millis() as u64; "gateway is stopping; handing over its batch jobs and draining connections");
        let mut drain = std::pin::pin!(self.drain());
        let answer_after = time_limit.saturating_sub(LAST_ANSWERS_TIME);
        let mut drained = tokio::time::timeout(answer_after, &mut drain).await;
        if drained.is_err() {
            log::warn!(connections = self.stop.connections.len();
                "requests are still in progress near the end of the grace period; answering them");
            // The time to the closing stage may be set to more than the grace period.
            self.stop.closing.cancel();
            self.stop.ending.cancel();
            drained = tokio::time::timeout(LAST_ANSWERS_TIME, drain).await;
        }
        if drained.is_err() {
            log::warn!(connections = self.stop.connections.len();
                "graceful stop did not complete within the grace period; stopping nevertheless");
        }
        log::info!("gateway stops");
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Hands over what other gateways can take, and drains connections at the same time: when callers are told to go
    /// elsewhere must not depend on the log.
    async fn drain(&self) {
        self.stop.draining.cancel();
        tokio::join!(self.hand_over(), self.drain_connections());
        stop_step("results written", self.wait_for_results()).await;
    }

    /// Hands over the batch jobs and removes this gateway from the list. Other gateways take over what could not be
    /// handed over once the leases and the record have expired.
    async fn hand_over(&self) {
        let jobs = stop_step("batch jobs handed over", self.batch.stop());
        let unregister = self.peers.unregister(self.log.as_ref());
        let unregister = stop_step("removed from the list of gateways", unregister);
        let handed_over = async { tokio::join!(jobs, unregister) };
        if tokio::time::timeout(HAND_OVER_TIMEOUT, handed_over)
            .await
            .is_err()
        {
            log::warn!(limit_ms = HAND_OVER_TIMEOUT.as_millis() as u64;
                "the hand-over did not end in time; leases and the record of this gateway will expire");
        }
    }

    /// Serves callers until no new connections are expected, then closes idle connections and waits for the others.
    async fn drain_connections(&self) {
        tokio::time::sleep(self.stop_settings.unlisted_after).await;
        log::info!(connections = self.stop.connections.len(); "closing idle connections");
        self.stop.closing.cancel();
        self.stop.connections.close();
        stop_step("connections closed", self.stop.connections.wait()).await;
    }

    async fn wait_for_results(&self) {
        while !self.batch.are_results_written() {
            tokio::time::sleep(STOP_POLL).await;
        }
    }
}

/// Runs a step of a stop and logs how long it took.
async fn stop_step<T>(step: &str, run: impl Future<Output = T>) -> T {
    let began = Instant::now();
    let outcome = run.await;
    log::info!(step, took_ms = began.elapsed().as_millis() as u64; "a step of the stop has ended");
    outcome
}

/// Binds the socket for notices.
fn bind_datagrams(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Closes timed-out idle connections to workers at a fixed interval, and logs pauses of the process.
async fn sweep(dispatcher: Arc<Dispatcher>) {
    loop {
        let sleep_began_at = dispatcher.clock.now();
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = dispatcher.clock.now();
        let late = now.saturating_sub(sleep_began_at + SWEEP_INTERVAL);
        if late >= MIN_LOGGED_PAUSE {
            log::warn!(late_ms = late.as_millis() as u64; "this process stood still");
        }
        let fleet_state = &dispatcher.fleet_state;
        dispatcher.upstream.close_expired(now, |incarnation| {
            fleet_state.selector().is_ready(incarnation)
        });
    }
}
