//! What the owner of a cell knows of one gateway: its last report, and what was decided since.

use std::collections::HashMap;
use std::time::Duration;

use super::{HeldSlots, SlotReport, WaitingItems, WorkerKey};

/// How a batch item's slot is granted or a request's worker assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    Online,
    Batch,
}

/// A slot that was given out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Assignment {
    pub(super) number: u64,
    pub(super) worker: WorkerKey,
    pub(super) class: Class,
    pub(super) at: Duration,
}

/// What is known of one gateway.
#[derive(Debug, Default)]
pub(super) struct GatewayState {
    pub(super) life: u64,
    pub(super) report: u64,
    pub(super) heard_at: Duration,
    pub(super) held: HashMap<WorkerKey, HeldSlots>,
    pub(super) waiting: WaitingItems,
    /// Assignments that no report shows yet.
    pub(super) unconfirmed: Vec<Assignment>,
    /// Items that were told to step aside and are still held, each with the time of the order.
    pub(super) leaving: Vec<(WorkerKey, Duration)>,
}

impl GatewayState {
    /// What it holds at a worker, with what was given out and no report shows yet.
    pub(super) fn held_at(&self, worker: WorkerKey) -> HeldSlots {
        let mut held = self.held.get(&worker).copied().unwrap_or_default();
        for assignment in &self.unconfirmed {
            if assignment.worker == worker {
                match assignment.class {
                    Class::Online => held.online += 1,
                    Class::Batch => held.batch += 1,
                }
            }
        }
        held
    }

    /// Items that were told to leave a worker and are still held.
    pub(super) fn preempting_items(&self, worker: WorkerKey) -> u32 {
        self.leaving.iter().filter(|(at, _)| *at == worker).count() as u32
    }

    /// Items that may still be told to step aside.
    pub(super) fn preemptible_items(&self, worker: WorkerKey) -> u32 {
        let held = self.held.get(&worker).map_or(0, |held| held.batch);
        held.saturating_sub(self.preempting_items(worker))
    }

    /// Takes a report in place of the one before.
    pub(super) fn apply_report(&mut self, report: SlotReport, now: Duration) {
        for (worker, before) in &self.held {
            let after = report.held.iter().find(|(key, _)| key == worker);
            let after = after.map_or(0, |(_, held)| held.batch);
            for _ in after..before.batch {
                let position = self.leaving.iter().position(|(at, _)| at == worker);
                position.map(|position| self.leaving.swap_remove(position));
            }
        }
        self.life = report.life;
        self.report = report.number;
        self.heard_at = now;
        self.unconfirmed.retain(|it| it.number > report.seen);
        self.held = report.held.into_iter().collect();
        self.waiting = report.waiting;
    }
}
