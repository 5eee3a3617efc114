//! Reports to slot owners: all that this gateway holds in a cell, sent after each change and repeated
//! periodically.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::slots::{HeldSlots, SlotReport, WaitingItems, WorkerKey};

use super::Slots;
use crate::fleet_state::lock;
use crate::messages::slots::SlotMessage as Message;

/// Delay between a change and its report, so that changes in quick succession share one report.
const REPORT_BATCH_DELAY: Duration = Duration::from_millis(12);
/// Interval at which an unchanged report is repeated: several times within the lifetime of a report at the
/// owner.
const REPORT_REFRESH_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a message from an owner, while something is held or waits in its cell, after which a
/// report probes the owner.
const OWNER_PROBE_DELAY: Duration = Duration::from_millis(350);
/// Time without an answer to a probe after which the owner is suspected to be gone. The report in between
/// repeats the probe once.
const OWNER_PROBE_TIMEOUT: Duration = Duration::from_millis(650);

/// The last report that was made about a cell.
pub(super) struct LastReport {
    owner: SocketAddr,
    at: Duration,
    /// Time of the first of the latest consecutive probes. They are unanswered until a message of the owner arrives
    /// after this time. `None` if the owner was not probed.
    probed_at: Option<Duration>,
    report: SlotReport,
    /// The highest number of an assignment from this owner that is recorded here.
    pub(super) seen: u64,
}

/// The slots that this gateway holds in a cell, and its items that wait there.
pub(super) struct LocalUsage {
    held: Vec<(WorkerKey, HeldSlots)>,
    waiting: WaitingItems,
}

impl LocalUsage {
    fn is_idle(&self) -> bool {
        self.held.is_empty() && self.waiting.items == 0
    }
}

/// The next step towards the owner of a cell.
enum DueAction {
    Nothing,
    Report,
    /// Send a report that the owner must answer.
    ReportAndProbe,
    /// Send nothing and mark the owner as suspected: it did not answer the probes.
    OwnerGone,
}

impl Slots {
    pub(super) fn local_usage(&self, cell: &Cell) -> LocalUsage {
        LocalUsage {
            held: self.fleet_state.selector().held_slots_in(cell),
            waiting: self.queue.waiting(cell, self.clock.now()),
        }
    }

    /// Builds a report for the owner of a cell and records it as the last one.
    pub(super) fn report(
        &self,
        cell: &Cell,
        owner: SocketAddr,
        local_usage: LocalUsage,
    ) -> SlotReport {
        let now = self.clock.now();
        let LocalUsage { held, waiting } = local_usage;
        let mut last_reports = lock(&self.last_reports);
        let before = last_reports
            .remove(cell)
            .filter(|last_report| last_report.owner == owner);
        let (probed_at, seen) = before.map_or((None, 0), |last_report| {
            (last_report.probed_at, last_report.seen)
        });
        let report = SlotReport {
            life: self.life,
            number: self.next_report_number(),
            seen,
            held,
            waiting,
        };
        let last_report = LastReport {
            owner,
            at: now,
            probed_at,
            report: report.clone(),
            seen,
        };
        last_reports.insert(cell.clone(), last_report);
        report
    }

    /// Reports changes to slot owners and sweeps own cells, until the process ends.
    pub(crate) async fn run_reporting(self: Arc<Self>) {
        let mut swept_at = Duration::ZERO;
        loop {
            let changed = self.fleet_state.load_changed.notified();
            if self.has_reported_usage() {
                // Both a change and the refresh interval lead to the next report, so the result does not matter.
                drop(tokio::time::timeout(REPORT_REFRESH_INTERVAL, changed).await);
            } else {
                changed.await;
            }
            tokio::time::sleep(REPORT_BATCH_DELAY).await;
            self.report_changes();
            let now = self.clock.now();
            if now >= swept_at + REPORT_REFRESH_INTERVAL {
                swept_at = now;
                self.sweep_cells();
            }
        }
    }

    fn has_reported_usage(&self) -> bool {
        let reports = lock(&self.last_reports);
        reports.values().any(|last_report| {
            !last_report.report.held.is_empty() || last_report.report.waiting.items > 0
        })
    }

    fn report_changes(&self) {
        let Some(configuration) = self.fleet_state.configuration() else {
            return;
        };
        for service in configuration.batch_services() {
            let cells: Vec<Cell> = self.fleet_state.selector().cells(service).collect();
            for cell in cells {
                self.report_cell(&cell);
            }
        }
        let now = self.clock.now();
        lock(&self.last_reports)
            .retain(|_, last_report| now < last_report.at + REPORT_REFRESH_INTERVAL * 4);
    }

    fn report_cell(&self, cell: &Cell) {
        let owner = self.members.owner(cell);
        let local_usage = self.local_usage(cell);
        if !local_usage.is_idle() {
            self.probe_suspects(cell, owner);
        }
        let answer = match self.due_report(cell, owner, &local_usage) {
            DueAction::Nothing => return,
            DueAction::Report => false,
            DueAction::ReportAndProbe => true,
            DueAction::OwnerGone => return self.mark_owner_gone(owner),
        };
        let report = self.report(cell, owner, local_usage);
        if owner == self.members.own_address() {
            self.apply_report(cell, owner, report);
            return;
        }
        if answer {
            self.record_probe(cell, owner);
        }
        let message = Message::Report {
            cell: cell.clone(),
            report,
            answer,
        };
        self.send(message, owner);
    }

    /// Returns what is due for the owner of a cell now.
    fn due_report(&self, cell: &Cell, owner: SocketAddr, local_usage: &LocalUsage) -> DueAction {
        let now = self.clock.now();
        let LocalUsage { held, waiting } = local_usage;
        let is_idle = local_usage.is_idle();
        let heard_at = self.members.heard_at(owner);
        let is_silent = now >= heard_at + self.members.answer_timeout(owner, OWNER_PROBE_DELAY);
        let last_reports = lock(&self.last_reports);
        let Some(last_report) = last_reports
            .get(cell)
            .filter(|last_report| last_report.owner == owner)
        else {
            return match (is_idle, is_silent && owner != self.members.own_address()) {
                (true, _) => DueAction::Nothing,
                (false, true) => DueAction::ReportAndProbe,
                (false, false) => DueAction::Report,
            };
        };
        let report = &last_report.report;
        let is_new = report.held != *held
            || report.waiting.items != waiting.items
            || report.seen != last_report.seen;
        if !is_new && (is_idle || now < last_report.at + REPORT_REFRESH_INTERVAL) {
            return DueAction::Nothing;
        }
        if is_idle || owner == self.members.own_address() {
            return DueAction::Report;
        }
        match last_report
            .probed_at
            .filter(|probed_at| heard_at < *probed_at)
        {
            Some(probed_at)
                if now >= probed_at + self.members.answer_timeout(owner, OWNER_PROBE_TIMEOUT) =>
            {
                DueAction::OwnerGone
            }
            Some(_) => DueAction::ReportAndProbe,
            None if is_silent => DueAction::ReportAndProbe,
            None => DueAction::Report,
        }
    }

    /// Probes gateways that do not own a cell only because they are suspected. The report in a probe names nothing, since the
    /// acting owner grants slots for what is held and waits here.
    fn probe_suspects(&self, cell: &Cell, owner: SocketAddr) {
        for suspect in self.members.take_due_probes(cell, owner) {
            let report = SlotReport {
                life: self.life,
                number: self.next_report_number(),
                ..SlotReport::default()
            };
            let message = Message::Report {
                cell: cell.clone(),
                report,
                answer: true,
            };
            self.send(message, suspect);
        }
    }

    fn next_report_number(&self) -> u64 {
        self.last_report_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Records that the owner of a cell is probed now, unless an earlier probe is still unanswered.
    fn record_probe(&self, cell: &Cell, owner: SocketAddr) {
        let now = self.clock.now();
        let heard_at = self.members.heard_at(owner);
        if let Some(last_report) = lock(&self.last_reports).get_mut(cell) {
            let unanswered_probe = last_report
                .probed_at
                .filter(|probed_at| heard_at < *probed_at);
            last_report.probed_at = unanswered_probe.or(Some(now));
        }
    }

    /// Marks an owner as suspected after it left the probes unanswered.
    fn mark_owner_gone(&self, owner: SocketAddr) {
        self.members.mark_suspected(owner);
        self.metrics.slot_owners_lost.inc();
        self.fleet_state.load_changed.notify_one();
    }
}
