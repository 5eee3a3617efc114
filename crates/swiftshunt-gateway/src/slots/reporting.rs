//! What this gateway tells the owners of cells: all that it holds there, after each change and again
//! from time to time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::slots::{HeldSlots, SlotReport, WaitingItems, WorkerKey};

use super::Slots;
use crate::fleet_state::lock;
use crate::messages::slots::SlotMessage as Message;

/// Pause after a change before it is reported, so that changes that come together go together.
const REPORT_BATCH_DELAY: Duration = Duration::from_millis(12);
/// Pause between reports that say the same: a few of them within the time for which one counts.
const REPORT_REFRESH_INTERVAL: Duration = Duration::from_millis(400);
/// Silence of an owner, with something held or waiting in its cell, after which it is asked for a
/// sign of life.
const OWNER_PROBE_DELAY: Duration = Duration::from_millis(350);
/// Time without an answer to that after which it counts as gone; one question more goes with the
/// report in between.
const OWNER_PROBE_TIMEOUT: Duration = Duration::from_millis(650);

/// What was told last about a cell.
pub(super) struct LastReport {
    owner: SocketAddr,
    at: Duration,
    /// When it was first asked for a sign of life that has not come.
    asked_at: Option<Duration>,
    report: SlotReport,
    /// The highest assignment of this owner that was taken up here.
    pub(super) seen: u64,
}

/// What this gateway holds in a cell.
pub(super) struct LocalUsage {
    held: Vec<(WorkerKey, HeldSlots)>,
    waiting: WaitingItems,
}

/// What the owner of a cell is to be told.
enum Due {
    Nothing,
    Report,
    /// A report, and it is to give a sign of life.
    Question,
    /// Nothing any more: it gives none.
    Gone,
}

impl Slots {
    /// What this gateway holds in a cell now.
    pub(super) fn local_usage(&self, cell: &Cell) -> LocalUsage {
        LocalUsage {
            held: self.fleet_state.selector().held_slots_in(cell),
            waiting: self.queue.waiting(cell, self.clock.now()),
        }
    }

    /// A report for the owner of a cell, recorded as told.
    pub(super) fn report(
        &self,
        cell: &Cell,
        owner: SocketAddr,
        local_usage: LocalUsage,
    ) -> SlotReport {
        let now = self.clock.now();
        let LocalUsage { held, waiting } = local_usage;
        let mut all = lock(&self.last_reports);
        let before = all
            .remove(cell)
            .filter(|last_report| last_report.owner == owner);
        let (asked_at, seen) = before.map_or((None, 0), |last_report| {
            (last_report.asked_at, last_report.seen)
        });
        let report = SlotReport {
            life: self.life,
            number: self.last_report_number.fetch_add(1, Ordering::Relaxed) + 1,
            seen,
            held,
            waiting,
        };
        let last_report = LastReport {
            owner,
            at: now,
            asked_at,
            report: report.clone(),
            seen,
        };
        all.insert(cell.clone(), last_report);
        report
    }

    /// Reports what changes, for as long as the process lives.
    pub(crate) async fn run_reporting(self: Arc<Self>) {
        let mut looked_at = Duration::ZERO;
        loop {
            let changed = self.fleet_state.load_changed.notified();
            if self.has_reported_usage() {
                // Either a change or the refresh leads to the next report.
                drop(tokio::time::timeout(REPORT_REFRESH_INTERVAL, changed).await);
            } else {
                changed.await;
            }
            tokio::time::sleep(REPORT_BATCH_DELAY).await;
            self.report_changes();
            let now = self.clock.now();
            if now >= looked_at + REPORT_REFRESH_INTERVAL {
                looked_at = now;
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
        let answer = match self.due_report(cell, owner, &local_usage) {
            Due::Nothing => return,
            Due::Report => false,
            Due::Question => true,
            Due::Gone => return self.mark_owner_gone(owner),
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

    /// What the owner of a cell is to be told now.
    fn due_report(&self, cell: &Cell, owner: SocketAddr, local_usage: &LocalUsage) -> Due {
        let now = self.clock.now();
        let LocalUsage { held, waiting } = local_usage;
        let is_idle = held.is_empty() && waiting.items == 0;
        let all = lock(&self.last_reports);
        let Some(last_report) = all
            .get(cell)
            .filter(|last_report| last_report.owner == owner)
        else {
            return if is_idle { Due::Nothing } else { Due::Report };
        };
        let report = &last_report.report;
        let is_new = report.held != *held
            || report.waiting.items != waiting.items
            || report.seen != last_report.seen;
        if !is_new && (is_idle || now < last_report.at + REPORT_REFRESH_INTERVAL) {
            return Due::Nothing;
        }
        if is_idle || owner == self.members.own_address() {
            return Due::Report;
        }
        let heard_at = self.members.heard_at(owner);
        match last_report.asked_at.filter(|asked_at| heard_at < *asked_at) {
            Some(asked_at)
                if now >= asked_at + self.members.answer_timeout(owner, OWNER_PROBE_TIMEOUT) =>
            {
                Due::Gone
            }
            Some(_) => Due::Question,
            None if now >= heard_at + self.members.answer_timeout(owner, OWNER_PROBE_DELAY) => {
                Due::Question
            }
            None => Due::Report,
        }
    }

    /// The owner of a cell is asked for a sign of life.
    fn record_probe(&self, cell: &Cell, owner: SocketAddr) {
        let now = self.clock.now();
        let heard_at = self.members.heard_at(owner);
        if let Some(last_report) = lock(&self.last_reports).get_mut(cell) {
            let open = last_report.asked_at.filter(|asked_at| heard_at < *asked_at);
            last_report.asked_at = open.or(Some(now));
        }
    }

    /// An owner has given no sign of life though something is held or waits in its cell.
    fn mark_owner_gone(&self, owner: SocketAddr) {
        self.members.mark_suspected(owner);
        self.metrics.slot_owners_lost.inc();
        self.fleet_state.load_changed.notify_one();
    }
}
