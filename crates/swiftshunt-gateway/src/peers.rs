//! Registration of this gateway, the list of the others, and the notices that gateways send each other.
//!
//! Gateways notify each other of long prompts. An engine reads prompts in the order of their arrival, and the load
//! that answers carry is seconds old. So a gateway that does not know of a prompt of tens of thousands of tokens
//! that another one has just sent would queue short prompts behind it. If such a notice is lost, workers are chosen
//! less well, and nothing else follows.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use swiftshunt_journal::{AppendOutcome, Change, Log, Topic};
use swiftshunt_scheduler::limits::TokenBucket;
use swiftshunt_scheduler::prefix_cache::PromptPart;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::datagrams::{Datagrams, MAX_DATAGRAM_BYTES};
use crate::fleet_state::{FleetState, lock};
use crate::members::Members;
use crate::messages::Notice;
use crate::metrics::Metrics;
use crate::origins::{StreamOrigins, VersionMarks};
use crate::quarantine::Quarantine;
use crate::rates::Rates;
use crate::slots::Slots;
use crate::start_permits::StartPermits;
use crate::topic_follower::{LogBackoff, TailTiming, TopicFollower};
use crate::unreadable::UnreadableRecords;
use crate::waiting_limits::WaitingLimits;
use crate::worker_reach::WorkerReach;

/// Prefill time from which other gateways are notified of a prompt.
const MIN_NOTIFIED_PREFILL: Duration = Duration::from_millis(25);
/// Average number of notices that a gateway sends in a second. When it is exceeded, a random part of the other
/// gateways is notified of a prompt. Owners of cells know of the prompts that they assigned; the notices serve
/// gateways that choose workers by their own view, and notifying all of several hundred gateways would cost
/// each of them more than 5 KB/s.
const NOTICES_PER_SECOND: f64 = 20.0;
/// Number of notices that may be sent in one burst.
const NOTICE_BURST: f64 = 40.0;
/// Largest number of parts of a prompt in a notice. The last parts of a longer prompt are specific to it, so
/// other prompts do not share them.
const MAX_NOTICE_PARTS: usize = 32;
/// Interval at which a gateway renews its record in the list.
const REGISTRATION_INTERVAL: Duration = Duration::from_secs(60);
/// Pause after a registration that failed.
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Longest wait for the first registration before the list is read.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the start of the process from which this gateway takes callers although it has announced itself to no
/// other: the log may be unavailable.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timing of reads of the list. Long waits suffice, since the list changes seldom and a stale list does little harm.
const LIST_TIMING: TailTiming = TailTiming {
    wait: Duration::from_secs(20),
    hedge_after: Duration::from_secs(5),
};
/// Pause after a change of the list, so that the records of gateways that start together are read together.
const READ_PAUSE_AFTER_CHANGE: Duration = Duration::from_secs(1);
/// Pause after a read that returned only renewals: among hundreds of gateways, some renew their records every second.
const READ_PAUSE_AFTER_RENEWAL: Duration = Duration::from_secs(4);
/// Shortest interval between two log lines about gateways that have started: hundreds may start at a time.
const START_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a socket error.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(100);

/// The handlers of the kinds of notices that this module does not handle by itself.
pub(crate) struct NoticeHandlers {
    pub(crate) slots: Arc<Slots>,
    pub(crate) waiting_limits: Arc<WaitingLimits>,
    pub(crate) rates: Arc<Rates>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) start_permits: Arc<StartPermits>,
    pub(crate) origins: Arc<StreamOrigins>,
    pub(crate) worker_reach: Arc<WorkerReach>,
}

/// The record of a gateway in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct GatewayRecord {
    zone: String,
}

impl GatewayRecord {
    fn encoded(&self) -> Bytes {
        let mut value = Vec::new();
        if let Err(error) = ciborium::into_writer(self, &mut value) {
            log::error!("cannot encode the record of this gateway: {error}");
        }
        value.into()
    }

    /// Returns `None` for a record that holds no zone, as those of earlier builds; its gateway is listed
    /// nevertheless.
    fn decoded(value: &[u8]) -> Option<Self> {
        ciborium::from_reader(value).ok()
    }
}

/// Number of gateways that announced their start since the last log line about such starts.
#[derive(Default)]
struct GatewayStarts {
    unlogged: usize,
    logged_at: Option<Duration>,
}

/// Sends notices to the other gateways, receives theirs, and maintains the list of gateways.
pub(crate) struct Peers {
    datagrams: Arc<Datagrams>,
    members: Arc<Members>,
    /// Addresses from the settings at which other gateways may be reached as long as none is listed.
    seeds: Vec<SocketAddr>,
    fleet_state: Arc<FleetState>,
    metrics: Arc<Metrics>,
    unreadable: Arc<UnreadableRecords>,
    version_marks: Arc<VersionMarks>,
    clock: Clock,
    /// Limits the rate of notices of prompts and of this gateway's start.
    budget: Mutex<TokenBucket>,
    starts: Mutex<GatewayStarts>,
    /// Whether this gateway has been registered since its start.
    is_registered: watch::Sender<bool>,
    is_announced: AtomicBool,
    /// Cancelled when this gateway leaves the list.
    leaving: CancellationToken,
    /// Held while this gateway writes its record, so that no registration follows the removal.
    record_writes: tokio::sync::Mutex<()>,
}

impl Peers {
    pub(crate) fn new(
        datagrams: Arc<Datagrams>,
        members: Arc<Members>,
        seeds: &[SocketAddr],
        fleet_state: Arc<FleetState>,
        metrics: Arc<Metrics>,
        unreadable: Arc<UnreadableRecords>,
        clock: Clock,
    ) -> Self {
        let own = members.own_address();
        Self {
            datagrams,
            members,
            seeds: seeds.iter().copied().filter(|seed| *seed != own).collect(),
            fleet_state,
            metrics,
            unreadable,
            version_marks: Arc::default(),
            clock,
            budget: Mutex::new(TokenBucket::full(NOTICE_BURST, clock.now())),
            starts: Mutex::default(),
            is_registered: watch::Sender::new(false),
            is_announced: AtomicBool::new(false),
            leaving: CancellationToken::new(),
            record_writes: tokio::sync::Mutex::default(),
        }
    }

    /// Returns the marks that are read together with the list of gateways.
    pub(crate) fn version_marks(&self) -> &Arc<VersionMarks> {
        &self.version_marks
    }

    /// Notifies other gateways of the region of a long prompt that is sent to a worker. Does not block: a notice
    /// that does not fit into the socket's buffer is dropped.
    pub(crate) fn notify_prompt(
        &self,
        service: &str,
        worker: &str,
        prompt: &[PromptPart],
        missing_tokens: u64,
    ) {
        let prefill = self
            .fleet_state
            .selector()
            .prefill_time(service, missing_tokens);
        if prefill < MIN_NOTIFIED_PREFILL {
            return;
        }
        let notice = Notice::Reading {
            worker: worker.to_owned(),
            missing: missing_tokens,
            parts: prompt.iter().take(MAX_NOTICE_PARTS).copied().collect(),
        };
        // A gateway chooses workers by its own view only within its region.
        let near = self.recipients(self.members.others_in_region());
        self.datagrams.send(&notice, near);
    }

    /// Announces the start of this gateway, which takes over cells, to as many others as the budget of notices allows.
    fn announce_start(&self) {
        let notice = Notice::Here {
            from: self.members.own_address(),
            zone: Some(self.members.topology().own_zone().to_owned()),
        };
        let others = self.recipients(self.members.others());
        self.datagrams.send(&notice, others);
    }

    /// Whether this gateway has announced itself to the others, or has tried for [`ANNOUNCEMENT_TIMEOUT`]. A gateway
    /// that others do not know is not told of requests that they hold.
    pub(crate) fn is_introduced(&self) -> bool {
        self.is_announced.load(Ordering::Relaxed) || self.clock.now() >= ANNOUNCEMENT_TIMEOUT
    }

    /// Waits until this gateway is registered, for [`REGISTRATION_TIMEOUT`] at most.
    async fn wait_until_registered(&self) {
        let mut is_registered = self.is_registered.subscribe();
        let registered = is_registered.wait_for(|is_registered| *is_registered);
        drop(tokio::time::timeout(REGISTRATION_TIMEOUT, registered).await);
    }

    /// Returns the other gateways to which requests may be sent: the listed ones, or the seeds if none is
    /// listed.
    pub(crate) fn reachable(&self) -> Vec<SocketAddr> {
        let listed = self.members.others();
        if listed.is_empty() {
            self.seeds.clone()
        } else {
            listed
        }
    }

    /// Returns as many of these gateways as the budget of notices allows, at random.
    fn recipients(&self, mut peers: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut budget = lock(&self.budget);
        let allowed = peers
            .iter()
            .take_while(|_| {
                budget
                    .try_take(NOTICES_PER_SECOND, NOTICE_BURST, now)
                    .is_ok()
            })
            .count();
        if allowed < peers.len() {
            peers.shuffle(&mut rand::rng());
            peers.truncate(allowed);
        }
        peers
    }

    /// Receives and handles notices until the process ends.
    pub(crate) async fn receive_notices(self: Arc<Self>, handlers: NoticeHandlers) {
        let mut datagram = [0; MAX_DATAGRAM_BYTES];
        loop {
            match self.datagrams.receive(&mut datagram).await {
                Ok((length, from)) => self.handle_datagram(&datagram[..length], from, &handlers),
                Err(error) => {
                    log::debug!("cannot receive a notice: {error}");
                    tokio::time::sleep(SOCKET_ERROR_PAUSE).await;
                }
            }
        }
    }

    fn handle_datagram(&self, datagram: &[u8], from: SocketAddr, handlers: &NoticeHandlers) {
        let Ok(notice) = ciborium::from_reader::<Notice, _>(datagram) else {
            self.metrics.notices_dropped.inc();
            return;
        };
        self.metrics.notices_received.inc();
        self.members.record_contact(from);
        match notice {
            Notice::Reading {
                worker,
                missing,
                parts,
            } => {
                let now = self.clock.now();
                let mut selector = self.fleet_state.selector();
                selector.record_peer_send(&worker, &parts, missing, now);
            }
            Notice::Here { from, zone } => {
                self.members.set_listed(from, true);
                if let Some(zone) = zone {
                    self.members.set_zone(from, &zone);
                }
                self.log_gateway_start(from);
            }
            Notice::Slots(message) => handlers.slots.handle_message(message, from),
            Notice::Waiting(message) => handlers.waiting_limits.handle_message(message, from),
            Notice::Rate(message) => handlers.rates.handle_message(message, from),
            Notice::Quarantine(message) => handlers.quarantine.handle_message(message, from),
            Notice::Start(message) => handlers.start_permits.handle_message(message, from),
            Notice::Origin(message) => handlers.origins.handle_message(message, from),
            Notice::Reach(message) => handlers.worker_reach.handle_message(message, from),
        }
    }

    /// Logs that gateways have started, at most once in `START_LOG_INTERVAL`; `newest` is the last of them.
    fn log_gateway_start(&self, newest: SocketAddr) {
        let now = self.clock.now();
        let mut starts = lock(&self.starts);
        starts.unlogged += 1;
        let logged_at = starts.logged_at;
        if logged_at.is_some_and(|logged_at| now < logged_at + START_LOG_INTERVAL) {
            return;
        }
        log::info!(newest = newest.to_string().as_str(), count = starts.unlogged;
            "other gateways have started");
        *starts = GatewayStarts {
            unlogged: 0,
            logged_at: Some(now),
        };
    }

    /// Keeps this gateway registered in the list until it leaves.
    pub(crate) async fn run_registration(self: Arc<Self>, log: Arc<dyn Log>) {
        while !self.leaving.is_cancelled() {
            let pause = match self.register(log.as_ref()).await {
                AppendOutcome::Done { .. } => {
                    self.is_registered.send_replace(true);
                    REGISTRATION_INTERVAL
                }
                AppendOutcome::Refused | AppendOutcome::Unknown => REGISTRATION_RETRY_DELAY,
            };
            // The next iteration checks whether this gateway leaves.
            drop(tokio::time::timeout(pause, self.leaving.cancelled()).await);
        }
    }

    async fn register(&self, log: &dyn Log) -> AppendOutcome {
        let _writing = self.record_writes.lock().await;
        if self.leaving.is_cancelled() {
            return AppendOutcome::Refused;
        }
        let record = GatewayRecord {
            zone: self.members.topology().own_zone().to_owned(),
        };
        let records = vec![self.record(record.encoded())];
        log.append(Topic::Gateways, 0, records).await
    }

    /// Removes this gateway from the list for good, behind a registration that is being written. If that fails, the others
    /// remove it when its record expires.
    pub(crate) async fn unregister(&self, log: &dyn Log) {
        self.leaving.cancel();
        let _writing = self.record_writes.lock().await;
        let records = vec![self.record(Bytes::new())];
        let outcome = log.append(Topic::Gateways, 0, records).await;
        log::info!(outcome:? = outcome; "tried to remove this gateway from the list");
    }

    fn record(&self, value: Bytes) -> (Vec<u8>, Bytes) {
        let key = self.members.own_address().to_string().into_bytes();
        (key, value)
    }

    /// Follows the list of gateways until the process ends. It is read only after this gateway's own registration: of
    /// two gateways that start together, the one that registers later finds the other one in the list and announces
    /// itself to it.
    pub(crate) async fn follow_membership(self: Arc<Self>, log: Arc<dyn Log>) {
        self.wait_until_registered().await;
        let mut follower = TopicFollower::new(Topic::Gateways, self.clock);
        let mut backoff = LogBackoff::new("gateways", 0);
        loop {
            let changes = follower.next_changes(log.as_ref(), LIST_TIMING).await;
            backoff.backoff_on_error(&changes).await;
            if let Ok(changes) = changes {
                let has_changed = self.apply(changes);
                self.fleet_state
                    .set_gateways_position(follower.next_offset());
                self.members.mark_list_loaded();
                // Which gateways record the versions of services depends on the list.
                self.version_marks.request_review();
                if has_changed {
                    log::info!(gateways = self.members.count(); "the list of gateways changed");
                }
                if !self.is_announced.load(Ordering::Relaxed) {
                    self.announce_start();
                    self.is_announced.store(true, Ordering::Relaxed);
                }
                tokio::time::sleep(if has_changed {
                    READ_PAUSE_AFTER_CHANGE
                } else {
                    READ_PAUSE_AFTER_RENEWAL
                })
                .await;
            }
        }
    }

    /// Applies changes of the list. Returns whether a gateway was added or removed.
    fn apply(&self, changes: Vec<Change>) -> bool {
        let mut has_changed = false;
        for change in changes {
            let (key, value) = match change {
                Change::Set(record) => (record.key, Some(record.value)),
                Change::Dropped(key) => (key, None),
            };
            if self.version_marks.apply(&key, value.as_deref()) {
                continue;
            }
            match String::from_utf8_lossy(&key).parse::<SocketAddr>() {
                Ok(address) => {
                    has_changed |= self.members.set_listed(address, value.is_some());
                    if let Some(record) = value.as_deref().and_then(GatewayRecord::decoded) {
                        self.members.set_zone(address, &record.zone);
                    }
                }
                Err(error) => self
                    .unreadable
                    .record_unreadable(Topic::Gateways, &key, &error),
            }
        }
        self.members.remove_expired();
        has_changed
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::earlier_builds::entry;

    #[test]
    fn a_record_of_an_earlier_build_is_read_as_one_without_a_zone() {
        let value = entry("gateway-record");
        assert!(!value.is_empty());
        assert_eq!(GatewayRecord::decoded(&value), None);
    }
}
