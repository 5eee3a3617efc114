//! Delivery of ends of workers to other gateways, which acknowledge what they have recorded.
//!
//! A caller whose request broke off may send it again at once, and to any gateway. Before it gets its answer, the end
//! must therefore be recorded at the request's collectors, and once the request is held, at every gateway. That a
//! datagram was sent is not enough: it may be lost, or be handled after the caller's next attempt.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_scheduler::quarantine::{Fingerprint, WorkerEnd};
use tokio::sync::mpsc;

use super::Quarantine;
use crate::fleet_state::lock;
use crate::messages::quarantine::QuarantineMessage;

/// Time within which collectors in the same region acknowledge an end. A gateway whose processor share is used up does
/// so after a tenth of a second. Requests that are innocent of the end wait as long.
const COLLECTOR_TIMEOUT: Duration = Duration::from_millis(150);
/// Time within which gateways of the same region acknowledge that a request is held. Only requests that have ended
/// workers wait as long.
const HOLD_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a message is sent again to gateways that have not acknowledged it.
const RESEND_INTERVAL: Duration = Duration::from_millis(30);
/// Time for which a collector that acknowledged nothing is not waited for. It may be frozen, or run an earlier build,
/// which does not acknowledge.
const UNRESPONSIVE_TTL: Duration = Duration::from_secs(4);

/// The reports of this gateway that are being delivered.
#[derive(Default)]
pub(super) struct Reports {
    last: AtomicU64,
    /// The tasks that wait for acknowledgements, by the number of the report.
    awaited: Mutex<HashMap<u64, mpsc::UnboundedSender<SocketAddr>>>,
    /// Number of reports under way for each request.
    under_way: Mutex<HashMap<Fingerprint, usize>>,
    /// Until when collectors that acknowledged nothing are not waited for.
    unresponsive: Mutex<HashMap<SocketAddr, Duration>>,
}

/// A report that waits for acknowledgements. Dropping this ends the wait.
struct AwaitedReport<'r> {
    reports: &'r Reports,
    number: u64,
    acknowledgements: mpsc::UnboundedReceiver<SocketAddr>,
}

impl Drop for AwaitedReport<'_> {
    fn drop(&mut self) {
        lock(&self.reports.awaited).remove(&self.number);
    }
}

impl Reports {
    fn open(&self) -> AwaitedReport<'_> {
        let number = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, acknowledgements) = mpsc::unbounded_channel();
        lock(&self.awaited).insert(number, sender);
        AwaitedReport {
            reports: self,
            number,
            acknowledgements,
        }
    }

    /// Whether any report is under way.
    pub(super) fn is_idle(&self) -> bool {
        lock(&self.under_way).is_empty()
    }

    /// Whether a report about the request is under way.
    pub(super) fn is_under_way(&self, fingerprint: &Fingerprint) -> bool {
        lock(&self.under_way).contains_key(fingerprint)
    }

    fn is_unresponsive(&self, gateway: SocketAddr, now: Duration) -> bool {
        let unresponsive = lock(&self.unresponsive);
        unresponsive.get(&gateway).is_some_and(|until| now < *until)
    }

    fn mark_unresponsive(&self, gateways: &[SocketAddr], now: Duration) {
        let mut unresponsive = lock(&self.unresponsive);
        unresponsive.retain(|_, until| now < *until);
        unresponsive.extend(gateways.iter().map(|it| (*it, now + UNRESPONSIVE_TTL)));
    }

    /// Hands an acknowledgement to the task that waits for it.
    fn record_acknowledgement(&self, number: u64, from: SocketAddr) {
        lock(&self.unresponsive).remove(&from);
        let task = lock(&self.awaited).get(&number).cloned();
        if task.is_none_or(|task| task.send(from).is_err()) {
            log::debug!(report = number, from = from.to_string().as_str();
                "a report was acknowledged after the wait for it ended");
        }
    }
}

/// Counts a report as under way until this is dropped.
struct ReportUnderWay {
    quarantine: Arc<Quarantine>,
    fingerprint: Fingerprint,
}

impl ReportUnderWay {
    fn new(quarantine: Arc<Quarantine>, fingerprint: Fingerprint) -> Self {
        *lock(&quarantine.reports.under_way)
            .entry(fingerprint)
            .or_default() += 1;
        Self {
            quarantine,
            fingerprint,
        }
    }
}

impl Drop for ReportUnderWay {
    fn drop(&mut self) {
        let mut under_way = lock(&self.quarantine.reports.under_way);
        if let Some(count) = under_way.get_mut(&self.fingerprint) {
            *count -= 1;
            if *count == 0 {
                under_way.remove(&self.fingerprint);
            }
        }
        drop(under_way);
        self.quarantine.progress.notify_waiters();
    }
}

impl Quarantine {
    /// Records the end of a worker that this gateway has noticed, here and in the log, and starts to report it to other
    /// gateways.
    pub(super) fn report_end(self: &Arc<Self>, fingerprint: Fingerprint, end: WorkerEnd) {
        let was_held = self.current_hold(&fingerprint).is_some();
        let end = lock(&self.table).attribute(end);
        self.record_end(&fingerprint, end);
        self.log_end(fingerprint, end);
        if end.part.is_some() && self.is_collector(&fingerprint, &end) {
            self.judge_parts();
        }
        let under_way = ReportUnderWay::new(Arc::clone(self), fingerprint);
        tokio::spawn(async move {
            let quarantine = &under_way.quarantine;
            quarantine.report_to_collectors(fingerprint, end).await;
            // A hold from before this end has been reported by the gateway that noticed the end which led to it.
            if !was_held && quarantine.current_hold(&fingerprint).is_some() {
                quarantine.report_hold(fingerprint).await;
            }
        });
    }

    async fn report_to_collectors(&self, fingerprint: Fingerprint, end: WorkerEnd) {
        let runs = self.runs_to_report(&fingerprint, &end);
        let collectors = || self.other_collectors(&fingerprint, &end);
        let is_awaited = |gateway: SocketAddr| {
            let now = self.clock.now();
            !self.members.is_suspected(gateway) && !self.reports.is_unresponsive(gateway, now)
        };
        let message = |report| QuarantineMessage::Ended {
            fingerprint,
            end,
            runs,
            report: Some(report),
        };
        let missing = self.deliver(collectors, is_awaited, COLLECTOR_TIMEOUT, message);
        let missing = missing.await;
        self.reports.mark_unresponsive(&missing, self.clock.now());
        self.log_unacknowledged(&fingerprint, &missing, "the end of a worker");
        let is_alone = !missing.is_empty() && missing.len() == collectors().len();
        if end.part.is_some() && is_alone {
            self.judge_parts();
        }
    }

    async fn report_hold(&self, fingerprint: Fingerprint) {
        let ends = self.ends_to_tell(&fingerprint);
        let message = |report| QuarantineMessage::Held {
            fingerprint,
            ends: ends.clone(),
            report: Some(report),
        };
        let everyone = || self.members.others();
        let missing = self.deliver(everyone, |_| true, HOLD_TIMEOUT, message);
        self.log_unacknowledged(&fingerprint, &missing.await, "that a request is held");
    }

    /// Sends a message to the gateways that `recipients` returns until each has acknowledged it, for about
    /// `within_region`, and longer if some are in another region. `recipients` is called before each round, so that
    /// gateways that join meanwhile are included. Gateways for which `is_awaited` is false get the message but are not
    /// waited for. Returns the awaited ones that have not acknowledged it.
    async fn deliver(
        &self,
        recipients: impl Fn() -> Vec<SocketAddr>,
        is_awaited: impl Fn(SocketAddr) -> bool,
        within_region: Duration,
        message: impl Fn(u64) -> QuarantineMessage,
    ) -> Vec<SocketAddr> {
        let mut report = self.reports.open();
        let message = message(report.number);
        let mut acknowledged = BTreeSet::new();
        let mut rounds = 0;
        loop {
            let mut missing = recipients();
            missing.retain(|gateway| !acknowledged.contains(gateway));
            let awaited: Vec<SocketAddr> = missing
                .iter()
                .copied()
                .filter(|it| is_awaited(*it))
                .collect();
            let interval = self.longest_answer_timeout(&awaited, RESEND_INTERVAL);
            let time_limit = self.longest_answer_timeout(&awaited, within_region);
            // Rounds are counted instead of time, so that a pause of this process ends one of them only.
            let is_last = interval * rounds >= time_limit;
            if is_last && !awaited.is_empty() {
                return awaited;
            }
            self.send(message.clone(), missing);
            if awaited.is_empty() {
                return awaited;
            }
            rounds += 1;
            let all_acknowledged = async {
                while !awaited.iter().all(|it| acknowledged.contains(it))
                    && let Some(from) = report.acknowledgements.recv().await
                {
                    acknowledged.insert(from);
                }
            };
            drop(tokio::time::timeout(interval, all_acknowledged).await);
        }
    }

    fn longest_answer_timeout(&self, gateways: &[SocketAddr], within_region: Duration) -> Duration {
        let timeouts = gateways
            .iter()
            .map(|gateway| self.members.answer_timeout(*gateway, within_region));
        timeouts.max().unwrap_or(within_region)
    }

    fn log_unacknowledged(&self, fingerprint: &Fingerprint, missing: &[SocketAddr], what: &str) {
        if missing.is_empty() {
            return;
        }
        self.metrics.reports_unacknowledged.inc();
        log::warn!(fingerprint:% = fingerprint, gateways:? = missing, what;
            "gateways have not acknowledged a report in time; answering the caller nevertheless");
    }

    /// Acknowledges the report of an end. Tells the reporter all ends of a held request, so that it learns of the hold.
    pub(super) fn acknowledge_end(&self, report: u64, fingerprint: Fingerprint, from: SocketAddr) {
        let is_held = self.current_hold(&fingerprint).is_some();
        let ends = if is_held {
            self.ends_to_tell(&fingerprint)
        } else {
            Vec::new()
        };
        self.acknowledge(report, fingerprint, ends, from);
    }

    /// Acknowledges the report of a hold.
    pub(super) fn acknowledge_hold(&self, report: u64, fingerprint: Fingerprint, from: SocketAddr) {
        self.acknowledge(report, fingerprint, Vec::new(), from);
    }

    fn acknowledge(
        &self,
        report: u64,
        fingerprint: Fingerprint,
        ends: Vec<WorkerEnd>,
        to: SocketAddr,
    ) {
        let message = QuarantineMessage::Recorded {
            report,
            fingerprint,
            ends,
        };
        self.send(message, vec![to]);
    }

    /// Handles the acknowledgement of a report.
    pub(super) fn handle_acknowledgement(
        &self,
        report: u64,
        fingerprint: &Fingerprint,
        ends: Vec<WorkerEnd>,
        from: SocketAddr,
    ) {
        self.record_hold(fingerprint, ends);
        self.reports.record_acknowledgement(report, from);
    }
}
