//! State of one gateway as the owner of a cell knows it: its last report, and the decisions since.

use std::collections::HashMap;
use std::time::Duration;

use super::{HeldSlots, SlotReport, WaitingItems, WorkerKey};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    Online,
    Batch,
}

/// A slot assigned to a gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct Assignment {
    pub(super) number: u64,
    pub(super) worker: WorkerKey,
    pub(super) class: Class,
    pub(super) at: Duration,
}

/// State of one gateway.
#[derive(Debug, Default)]
pub(super) struct GatewayState {
    pub(super) life: u64,
    pub(super) report_number: u64,
    pub(super) last_report_at: Duration,
    pub(super) held: HashMap<WorkerKey, HeldSlots>,
    pub(super) waiting: WaitingItems,
    /// Assignments that no report shows yet.
    pub(super) unconfirmed: Vec<Assignment>,
    /// Workers at which an item is being preempted but still held, each with the time of the order.
    pub(super) preempting: Vec<(WorkerKey, Duration)>,
}

impl GatewayState {
    /// Returns the slots held at a worker, including assignments that no report shows yet.
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

    /// Returns the number of items at a worker that are being preempted but still held.
    pub(super) fn preempting_items(&self, worker: WorkerKey) -> u32 {
        self.preempting
            .iter()
            .filter(|(key, _)| *key == worker)
            .count() as u32
    }

    /// Returns the number of items at a worker that may still be preempted.
    pub(super) fn preemptible_items(&self, worker: WorkerKey) -> u32 {
        let held = self.held.get(&worker).map_or(0, |held| held.batch);
        held.saturating_sub(self.preempting_items(worker))
    }

    /// Replaces the previous report. Each batch item that is no longer held at a worker completes
    /// one preemption order there.
    pub(super) fn apply_report(&mut self, report: SlotReport, now: Duration) {
        for (worker, before) in &self.held {
            let after = report.held.iter().find(|(key, _)| key == worker);
            let after = after.map_or(0, |(_, held)| held.batch);
            for _ in after..before.batch {
                let position = self.preempting.iter().position(|(key, _)| key == worker);
                position.map(|position| self.preempting.swap_remove(position));
            }
        }
        self.life = report.life;
        self.report_number = report.number;
        self.last_report_at = now;
        self.unconfirmed.retain(|it| it.number > report.seen);
        self.held = report.held.into_iter().collect();
        self.waiting = report.waiting;
    }
}
