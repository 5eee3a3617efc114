//! What this gateway tells the owners of cells: all that it holds there, after each change and again
//! from time to time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::slots::{HeldSlots, SlotReport, WaitingItems, WorkerKey};

use super::Slots;
use crate::beliefs::lock;
use crate::messages::slots::SlotMessage as Message;

/// Pause after a change before it is reported, so that changes that come together go together.
const GATHER: Duration = Duration::from_millis(12);
/// Pause between reports that say the same: a few of them within the time for which one counts.
const REFRESH: Duration = Duration::from_millis(400);
/// Silence of an owner, with something held or waiting in its cell, after which it is asked for a
/// sign of life.
const OWNER_QUIET: Duration = Duration::from_millis(350);
/// Time without an answer to that after which it counts as gone; one question more goes with the
/// report in between.
const OWNER_GONE: Duration = Duration::from_millis(650);

/// What was told last about a cell.
pub(super) struct Told {
    owner: SocketAddr,
    at: Duration,
    /// When it was first asked for a sign of life that has not come.
    asked_at: Option<Duration>,
    report: SlotReport,
    /// The highest assignment of this owner that was taken up here.
    pub(super) seen: u64,
}

/// What this gateway holds in a cell.
pub(super) struct Holding {
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
    pub(super) fn holding(&self, cell: &Cell) -> Holding {
        Holding {
            held: self.beliefs.selector().held_in(cell),
            waiting: self.queue.waiting(cell, self.clock.now()),
        }
    }

    /// A report for the owner of a cell, recorded as told.
    pub(super) fn report(&self, cell: &Cell, owner: SocketAddr, holding: Holding) -> SlotReport {
        let now = self.clock.now();
        let Holding { held, waiting } = holding;
        let mut all = lock(&self.told);
        let before = all.remove(cell).filter(|told| told.owner == owner);
        let (asked_at, seen) = before.map_or((None, 0), |told| (told.asked_at, told.seen));
        let report = SlotReport {
            life: self.life,
            number: self.last_report.fetch_add(1, Ordering::Relaxed) + 1,
            seen,
            held,
            waiting,
        };
        let told = Told {
            owner,
            at: now,
            asked_at,
            report: report.clone(),
            seen,
        };
        all.insert(cell.clone(), told);
        report
    }

    /// Reports what changes, for as long as the process lives.
    pub(crate) async fn keep_reporting(self: Arc<Self>) {
        let mut looked_at = Duration::ZERO;
        loop {
            let changed = self.beliefs.load_changed.notified();
            if self.has_told_something() {
                // Either a change or the refresh leads to the next report.
                drop(tokio::time::timeout(REFRESH, changed).await);
            } else {
                changed.await;
            }
            tokio::time::sleep(GATHER).await;
            self.report_changes();
            let now = self.clock.now();
            if now >= looked_at + REFRESH {
                looked_at = now;
                self.close_books();
            }
        }
    }

    fn has_told_something(&self) -> bool {
        let told = lock(&self.told);
        told.values()
            .any(|told| !told.report.held.is_empty() || told.report.waiting.items > 0)
    }

    fn report_changes(&self) {
        let Some(configuration) = self.beliefs.configuration() else {
            return;
        };
        for service in configuration.batch_services() {
            let cells: Vec<Cell> = self.beliefs.selector().cells(service).collect();
            for cell in cells {
                self.report_cell(&cell);
            }
        }
        let now = self.clock.now();
        lock(&self.told).retain(|_, told| now < told.at + REFRESH * 4);
    }

    fn report_cell(&self, cell: &Cell) {
        let owner = self.members.owner(cell);
        let holding = self.holding(cell);
        let answer = match self.due_report(cell, owner, &holding) {
            Due::Nothing => return,
            Due::Report => false,
            Due::Question => true,
            Due::Gone => return self.give_up_owner(owner),
        };
        let report = self.report(cell, owner, holding);
        if owner == self.members.own() {
            self.take_report(cell, owner, report);
            return;
        }
        if answer {
            self.asked_for_life(cell, owner);
        }
        let message = Message::Report {
            cell: cell.clone(),
            report,
            answer,
        };
        self.send(message, owner);
    }

    /// What the owner of a cell is to be told now.
    fn due_report(&self, cell: &Cell, owner: SocketAddr, holding: &Holding) -> Due {
        let now = self.clock.now();
        let Holding { held, waiting } = holding;
        let is_idle = held.is_empty() && waiting.items == 0;
        let all = lock(&self.told);
        let Some(told) = all.get(cell).filter(|told| told.owner == owner) else {
            return if is_idle { Due::Nothing } else { Due::Report };
        };
        let report = &told.report;
        let is_new = report.held != *held
            || report.waiting.items != waiting.items
            || report.seen != told.seen;
        if !is_new && (is_idle || now < told.at + REFRESH) {
            return Due::Nothing;
        }
        if is_idle || owner == self.members.own() {
            return Due::Report;
        }
        let heard_at = self.members.heard_at(owner);
        match told.asked_at.filter(|asked_at| heard_at < *asked_at) {
            Some(asked_at) if now >= asked_at + self.members.patience(owner, OWNER_GONE) => {
                Due::Gone
            }
            Some(_) => Due::Question,
            None if now >= heard_at + self.members.patience(owner, OWNER_QUIET) => Due::Question,
            None => Due::Report,
        }
    }

    /// The owner of a cell is asked for a sign of life.
    fn asked_for_life(&self, cell: &Cell, owner: SocketAddr) {
        let now = self.clock.now();
        let heard_at = self.members.heard_at(owner);
        if let Some(told) = lock(&self.told).get_mut(cell) {
            let open = told.asked_at.filter(|asked_at| heard_at < *asked_at);
            told.asked_at = open.or(Some(now));
        }
    }

    /// An owner has given no sign of life though something is held or waits in its cell.
    fn give_up_owner(&self, owner: SocketAddr) {
        self.members.mark_gone(owner);
        self.metrics.slot_owners_lost.inc();
        self.beliefs.load_changed.notify_one();
    }
}
