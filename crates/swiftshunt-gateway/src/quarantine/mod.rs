//! Quarantine of requests that end the workers that run them, shared by all gateways
//! ([`swiftshunt_scheduler::quarantine`]).
//!
//! The end of a worker has to be known after the attempt has failed, when the caller retries, and when the gateway that
//! saw it is gone. Each end is therefore a record in the log, keyed by request, worker and time, which all gateways
//! follow and which gateways that start later read. Datagrams carry it as well, because they are faster and work
//! without the log: to the two gateways that are first in the request's order, its collectors, and to all gateways
//! once the request is held. The caller of a request that broke off gets its answer once these gateways have
//! acknowledged the end ([`reports`]). While no worker ends, nothing is sent, recorded or hashed. Requests whose callers left
//! are kept for a moment ([`inconclusive_runs`]), since their workers may still end of them.
//!
//! Items of accepted batch jobs are neither accused nor held ([`RequestContent::may_end_workers`]), and their good runs
//! clear nothing: an online request with the same content may still end workers. A run of an item that breaks off only
//! shows that its worker may have ended.

mod directory;
mod inconclusive_runs;
mod probe;
mod prompt_parts;
mod records;
mod reports;
mod request_content;
mod worker_ends;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_journal::Log;
use swiftshunt_scheduler::quarantine::{
    Evidence, Fingerprint, InconclusiveRuns, LapsedWorkers, Quarantine as Table, QuarantineStatus,
    RenewalTracker, WorkerEnd,
};
use tokio::sync::{Notify, Semaphore, mpsc, watch};

use crate::clock::Clock;
use crate::datagrams::Datagrams;
use crate::fleet_state::{FleetState, lock};
use crate::local_faults::LocalFaultDetector;
use crate::members::Members;
use crate::messages::Notice;
use crate::messages::quarantine::{MAX_TOLD_ENDS, QuarantineMessage, Sight};
use crate::metrics::Metrics;
use crate::unreadable::UnreadableRecords;
use inconclusive_runs::{MAX_WATCHED_RUNS, RequestAtWorker};
pub(crate) use probe::probe_connection;
use prompt_parts::RunCounters;
use records::PendingRecords;
use reports::Reports;
pub(crate) use request_content::{RequestContent, RequestOrigin};
use worker_ends::{Check, DoubtedWorker};

/// Number of gateways that collect the ends of one request by datagram. Two, since one of them may be unavailable.
const MAX_COLLECTORS: usize = 2;
/// Interval after which a request that waits for checks and reports of its ends looks again whether they are finished.
const SETTLE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of these intervals after which a request goes on regardless: checks and reports take less time.
const MAX_SETTLE_INTERVALS: u32 = 10;
/// Time after the start of the process within which requests wait until the records in the log are read. If all
/// gateways start together, the requests that they ran before are retried at once. Listing the log takes some ten
/// milliseconds.
const INITIAL_READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between two removals of expired ends.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(4);

/// The state of a request that must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QuarantineHold {
    /// What is held: the request, or a part of its prompt.
    pub(crate) fingerprint: Fingerprint,
    /// Number of workers that have ended while they ran the request, or requests with the part.
    pub(crate) ends: usize,
    /// Remaining time for which the request is held.
    pub(crate) time_left: Duration,
}

/// The quarantine at this gateway: requests, and the workers that ended while they ran them.
pub(crate) struct Quarantine {
    log: Arc<dyn Log>,
    members: Arc<Members>,
    datagrams: Arc<Datagrams>,
    fleet_state: Arc<FleetState>,
    metrics: Arc<Metrics>,
    unreadable: Arc<UnreadableRecords>,
    clock: Clock,
    table: Mutex<Table>,
    /// Checks of workers at which requests of this gateway broke off, by incarnation.
    checks: Mutex<HashMap<String, Check>>,
    /// Workers at which requests recently broke off, and whose checks did not show whether they have ended.
    doubted: Mutex<Vec<DoubtedWorker>>,
    /// Ends that are being reported to other gateways.
    reports: Reports,
    /// Notifies tasks that wait for the end of a check or a report.
    progress: Notify,
    /// Workers whose directory entries lapsed recently.
    lapsed_workers: Mutex<LapsedWorkers>,
    renewal_tracker: Mutex<RenewalTracker>,
    /// Probes requested from other gateways that have no answer yet, by number, with the receivers of their answers.
    pending_probes: Mutex<HashMap<u64, mpsc::UnboundedSender<Sight>>>,
    last_probe: AtomicU64,
    local_faults: Mutex<LocalFaultDetector>,
    run_counts: RunCounters,
    inconclusive_runs: Mutex<InconclusiveRuns<RequestAtWorker>>,
    /// Until when the workers of all inconclusive runs are watched.
    watch_all_until: Mutex<Duration>,
    /// Permits to watch workers after inconclusive runs of suspect requests.
    watches: Arc<Semaphore>,
    pending_records: PendingRecords,
    /// Whether the records in the log were read since the start of the process.
    is_read: watch::Sender<bool>,
}

impl Quarantine {
    pub(crate) fn new(
        log: Arc<dyn Log>,
        members: Arc<Members>,
        datagrams: Arc<Datagrams>,
        fleet_state: Arc<FleetState>,
        metrics: Arc<Metrics>,
        unreadable: Arc<UnreadableRecords>,
        clock: Clock,
    ) -> Self {
        Self {
            log,
            members,
            datagrams,
            fleet_state,
            metrics,
            unreadable,
            clock,
            table: Mutex::default(),
            checks: Mutex::default(),
            doubted: Mutex::default(),
            reports: Reports::default(),
            progress: Notify::new(),
            lapsed_workers: Mutex::default(),
            renewal_tracker: Mutex::default(),
            pending_probes: Mutex::default(),
            last_probe: AtomicU64::new(0),
            local_faults: Mutex::default(),
            run_counts: RunCounters::default(),
            inconclusive_runs: Mutex::default(),
            watch_all_until: Mutex::default(),
            watches: Arc::new(Semaphore::new(MAX_WATCHED_RUNS)),
            pending_records: PendingRecords::default(),
            is_read: watch::Sender::new(false),
        }
    }

    /// Returns the hold of a request, or `None` if the request may be sent now. Callers check before each send, since
    /// another attempt may have ended a worker meanwhile. Waits for running checks of workers at which the request
    /// broke off and for reports of their ends, whose answers may tell that the request is held.
    pub(crate) async fn find_hold(
        &self,
        request_content: &RequestContent,
    ) -> Option<QuarantineHold> {
        if !request_content.may_end_workers() {
            return None;
        }
        self.wait_until_read().await;
        // A datagram that arrived before the request may tell that it is held.
        self.datagrams.wait_until_handled().await;
        if lock(&self.table).is_empty() && self.is_settled() {
            return None;
        }
        let fingerprint = request_content.fingerprint();
        self.wait_until_settled(&fingerprint).await;
        let parts = request_content.shared_parts().iter();
        let held_part = || parts.into_iter().find_map(|part| self.current_hold(part));
        self.current_hold(&fingerprint).or_else(held_part)
    }

    /// Waits until other gateways have recorded the end of a worker at which a request broke off, if it has ended. Used
    /// before the caller learns of the failure, since it may then send the request to another gateway.
    pub(crate) async fn wait_until_reported(&self, request_content: &RequestContent) {
        if request_content.may_end_workers() && !self.is_settled() {
            self.wait_until_settled(&request_content.fingerprint())
                .await;
        }
    }

    /// Whether no worker is being checked and no end is being reported.
    fn is_settled(&self) -> bool {
        lock(&self.checks).is_empty() && self.reports.is_idle()
    }

    /// Waits until no worker at which the request broke off is being checked and no end of one is being reported. Both
    /// end by themselves; the wait is bounded in case that one of their tasks fails.
    async fn wait_until_settled(&self, fingerprint: &Fingerprint) {
        let mut intervals = 0;
        while intervals < MAX_SETTLE_INTERVALS {
            let progress = self.progress.notified();
            if !self.is_being_checked(fingerprint) && !self.reports.is_under_way(fingerprint) {
                return;
            }
            if tokio::time::timeout(SETTLE_INTERVAL, progress)
                .await
                .is_err()
            {
                intervals += 1;
            }
        }
        log::error!(fingerprint:% = fingerprint;
            "the check of a worker or the report of its end did not finish; the request goes on regardless");
    }

    /// Waits until the records in the log are read, for [`INITIAL_READ_TIMEOUT`] after the start at most.
    async fn wait_until_read(&self) {
        let left = INITIAL_READ_TIMEOUT.saturating_sub(self.clock.now());
        if *self.is_read.borrow() || left.is_zero() {
            return;
        }
        let mut is_read = self.is_read.subscribe();
        drop(tokio::time::timeout(left, is_read.wait_for(|is_read| *is_read)).await);
    }

    fn current_hold(&self, fingerprint: &Fingerprint) -> Option<QuarantineHold> {
        let now = self.clock.now();
        match lock(&self.table).status(fingerprint, now) {
            QuarantineStatus::Allowed => None,
            QuarantineStatus::Quarantined { ends, time_left } => Some(QuarantineHold {
                fingerprint: *fingerprint,
                ends,
                time_left,
            }),
        }
    }

    /// Records that a run of a request succeeded, and removes the ends that were recorded for it.
    pub(crate) fn record_success(&self, request_content: &RequestContent) {
        if !request_content.may_end_workers() {
            return;
        }
        self.count_good_run(request_content);
        if lock(&self.table).is_empty() {
            return;
        }
        let fingerprint = request_content.fingerprint();
        let cleared = lock(&self.table).clear(&fingerprint);
        if cleared.is_empty() {
            return;
        }
        log::info!(fingerprint:% = fingerprint, ends = cleared.len();
            "a request succeeded; removing the ends of workers recorded for it");
        for end in cleared {
            self.pending_records.add_removal(fingerprint, &end);
        }
        let message = QuarantineMessage::RanWell {
            fingerprint,
            runs: None,
        };
        let collectors = self.members.ranked_gateways(&fingerprint, MAX_COLLECTORS);
        self.send(message, self.without_self(collectors));
    }

    /// Records ends that the directory proves, here and in the log, and tells the collectors.
    fn publish_ends(&self, ends: &[(Fingerprint, WorkerEnd)]) {
        for (fingerprint, end) in ends.iter().copied() {
            let end = lock(&self.table).attribute(end);
            self.collect_end(&fingerprint, end);
            self.log_end(fingerprint, end);
            let message = QuarantineMessage::Ended {
                fingerprint,
                end,
                runs: self.runs_to_report(&fingerprint, &end),
                report: None,
            };
            self.send(message, self.other_collectors(&fingerprint, &end));
        }
    }

    /// Adds an end to the log. Of parts, only those that were found harmful are recorded there.
    fn log_end(&self, fingerprint: Fingerprint, end: WorkerEnd) {
        if end.part.is_none() || lock(&self.table).is_harmful_part(&fingerprint) {
            self.pending_records.add_end(fingerprint, end);
        }
    }

    /// Adds the end of a worker to the table. If this gateway is one of the collectors, finds out what is held because of
    /// it, and tells all other gateways: the gateway that reported the end may have been lost.
    fn collect_end(&self, fingerprint: &Fingerprint, end: WorkerEnd) {
        let is_held_now = self.record_end(fingerprint, end);
        if !self.is_collector(fingerprint, &end) {
            return;
        }
        if end.part.is_some() {
            self.judge_parts();
        } else if is_held_now {
            self.announce_hold(fingerprint);
        }
    }

    /// Tells all other gateways that a request, or each one with a part, must not be sent any more.
    fn announce_hold(&self, fingerprint: &Fingerprint) {
        let message = QuarantineMessage::Held {
            fingerprint: *fingerprint,
            ends: self.ends_to_tell(fingerprint),
            report: None,
        };
        self.send(message, self.members.others());
    }

    /// Returns the known ends of a request or part, the newest if they do not fit into a datagram.
    fn ends_to_tell(&self, fingerprint: &Fingerprint) -> Vec<WorkerEnd> {
        let mut ends: Vec<WorkerEnd> = lock(&self.table).ends(fingerprint).collect();
        if ends.len() > MAX_TOLD_ENDS && ends.iter().any(|end| end.part.is_some()) {
            ends.sort_unstable_by_key(|end| std::cmp::Reverse(end.ended_unix_ms));
            ends.truncate(MAX_TOLD_ENDS);
        }
        ends
    }

    /// Records the ends of a request or part that another gateway holds.
    fn record_hold(&self, fingerprint: &Fingerprint, ends: Vec<WorkerEnd>) {
        for end in ends {
            self.record_end(fingerprint, end);
            if end.part.is_some() {
                self.mark_harmful(fingerprint);
            }
        }
    }

    /// Adds the end of a worker to the table. Returns whether the request is held because of it and was not before.
    fn record_end(&self, fingerprint: &Fingerprint, end: WorkerEnd) -> bool {
        let was_held = self.current_hold(fingerprint).is_some();
        let now = self.clock.now();
        let is_new = {
            let mut table = lock(&self.table);
            if end.evidence == Evidence::Proved {
                // Other gateways prove the same life and publish their own ends of it; all of them are one.
                table.mark_proved(end.worker, Clock::unix_ms(), now);
            }
            table.record_end(*fingerprint, end, Clock::unix_ms(), now)
        };
        let held = self.current_hold(fingerprint);
        let Some(held) = held.filter(|_| is_new && !was_held) else {
            return false;
        };
        self.metrics.requests_held.inc();
        log::warn!(fingerprint:% = fingerprint, ends = held.ends,
            for_s = held.time_left.as_secs(); "a request ended its workers and is no longer sent");
        true
    }

    /// Returns the gateways that collect the ends of a request, or of all prompt parts, which are compared in one place.
    fn collectors(&self, fingerprint: &Fingerprint, end: &WorkerEnd) -> Vec<SocketAddr> {
        match end.part {
            None => self.members.ranked_gateways(fingerprint, MAX_COLLECTORS),
            Some(_) => self.part_collectors(),
        }
    }

    fn is_collector(&self, fingerprint: &Fingerprint, end: &WorkerEnd) -> bool {
        let collectors = self.collectors(fingerprint, end);
        collectors.contains(&self.members.own_address())
    }

    fn other_collectors(&self, fingerprint: &Fingerprint, end: &WorkerEnd) -> Vec<SocketAddr> {
        self.without_self(self.collectors(fingerprint, end))
    }

    fn without_self(&self, mut gateways: Vec<SocketAddr>) -> Vec<SocketAddr> {
        gateways.retain(|gateway| *gateway != self.members.own_address());
        gateways
    }

    fn send(&self, message: QuarantineMessage, to: Vec<SocketAddr>) {
        self.datagrams.send(&Notice::Quarantine(message), to);
    }

    /// Handles a message from another gateway.
    pub(crate) fn handle_message(self: &Arc<Self>, message: QuarantineMessage, from: SocketAddr) {
        match message {
            QuarantineMessage::Ended {
                fingerprint,
                end,
                runs,
                report,
            } => {
                log::info!(fingerprint:% = fingerprint, worker = end.worker.0, from = from.to_string().as_str(),
                    part = end.part; "another gateway reports the end of a worker");
                self.record_reported_runs(&fingerprint, from, runs);
                self.collect_end(&fingerprint, end);
                if let Some(report) = report {
                    self.acknowledge_end(report, fingerprint, from);
                }
            }
            QuarantineMessage::RanWell {
                fingerprint,
                runs: None,
            } => {
                let mut table = lock(&self.table);
                if table.is_harmful_part(&fingerprint) {
                    table.acquit(&fingerprint, self.clock.now());
                } else {
                    table.clear(&fingerprint);
                }
            }
            QuarantineMessage::RanWell { fingerprint, runs } => {
                self.record_reported_runs(&fingerprint, from, runs);
                self.acquit(&fingerprint);
            }
            QuarantineMessage::Held {
                fingerprint,
                ends,
                report,
            } => {
                if ends.iter().any(|end| end.part.is_some()) {
                    self.record_hold(&fingerprint, ends);
                } else {
                    for end in ends {
                        self.collect_end(&fingerprint, end);
                    }
                }
                if let Some(report) = report {
                    self.acknowledge_hold(report, fingerprint, from);
                }
            }
            QuarantineMessage::Recorded {
                report,
                fingerprint,
                ends,
            } => self.handle_acknowledgement(report, &fingerprint, ends, from),
            QuarantineMessage::WorkerEnded { worker, ago_ms } => {
                self.handle_worker_end(worker, ago_ms, from);
            }
            QuarantineMessage::Look { ask, address } => self.probe_for_peer(from, ask, address),
            QuarantineMessage::Looked { ask, sight } => self.deliver_probe_result(ask, sight),
            QuarantineMessage::Refuted { worker, evidence } => {
                lock(&self.table).refute(worker, evidence);
                lock(&self.inconclusive_runs).forget_worker_end(worker);
            }
        }
    }

    /// Removes expired ends periodically, until the process ends. The first gateway in a request's order also removes
    /// their records from the log.
    pub(crate) async fn run_expiry(self: Arc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let expired = lock(&self.table).remove_expired(self.clock.now());
            for (fingerprint, end) in expired {
                let collectors = self.collectors(&fingerprint, &end);
                if collectors.first() == Some(&self.members.own_address()) {
                    self.pending_records.add_removal(fingerprint, &end);
                }
            }
        }
    }
}
