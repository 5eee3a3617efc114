//! Accounting for a request while it is at a worker.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use swiftshunt_scheduler::selection::{AttemptOutcome, ChosenWorker, Class};
use swiftshunt_topology::Distance;

use crate::attempt::{Dispatcher, OutgoingRequest};
use crate::clock::Clock;
use crate::fleet_state::FleetState;
use crate::metrics::Metrics;
use crate::quarantine::{Quarantine, RequestContent};
use crate::slots::Slots;
use crate::traffic::{Content, Traffic};
use crate::worker_reach::WorkerReach;

/// A request at a worker. Dropping this records the outcome of the attempt in the selector.
pub(crate) struct InFlight {
    fleet_state: Arc<FleetState>,
    slots: Arc<Slots>,
    quarantine: Arc<Quarantine>,
    worker_reach: Arc<WorkerReach>,
    metrics: Arc<Metrics>,
    /// Identifier of the attempt, for logs.
    id: String,
    pub(crate) request_content: RequestContent,
    clock: Clock,
    pub(crate) chosen: ChosenWorker,
    distance: Distance,
    traffic: Traffic,
    class: Class,
    sent_at: Duration,
    /// Whether the request was handed to a connection, so that the worker may run it.
    was_sent: AtomicBool,
    had_first_event: bool,
    outcome: AttemptOutcome,
}

impl InFlight {
    pub(crate) fn new(
        dispatcher: &Dispatcher,
        chosen: &ChosenWorker,
        outgoing: &OutgoingRequest,
    ) -> Self {
        let now = dispatcher.clock.now();
        let demand = &outgoing.demand;
        let distance = {
            let mut selector = dispatcher.fleet_state.selector();
            selector.record_send(chosen, demand, now);
            selector.distance_to(&chosen.zone)
        };
        let traffic = dispatcher.metrics.traffic.clone();
        let body = outgoing.request_content.body().len();
        traffic.count_bytes(Content::Requests, distance, body);
        dispatcher.fleet_state.load_changed.notify_one();
        Self {
            fleet_state: Arc::clone(&dispatcher.fleet_state),
            slots: Arc::clone(&dispatcher.slots),
            quarantine: Arc::clone(&dispatcher.quarantine),
            worker_reach: Arc::clone(&dispatcher.worker_reach),
            metrics: Arc::clone(&dispatcher.metrics),
            id: outgoing.id.clone().unwrap_or_default(),
            request_content: outgoing.request_content.clone(),
            clock: dispatcher.clock,
            chosen: chosen.clone(),
            distance,
            traffic,
            class: demand.class,
            sent_at: now,
            was_sent: AtomicBool::new(false),
            had_first_event: false,
            outcome: AttemptOutcome::Cancelled,
        }
    }

    /// Records that the request is handed to a connection.
    pub(crate) fn record_sent(&self) {
        self.was_sent.store(true, Ordering::Relaxed);
    }

    /// Records that a part of the answer arrived; the first one counts as the first event.
    pub(crate) fn record_progress(&mut self) {
        let now = self.clock.now();
        if self.had_first_event {
            let mut selector = self.fleet_state.selector();
            selector.record_activity(&self.chosen.incarnation, now);
            return;
        }
        self.had_first_event = true;
        self.worker_reach.record_answer(&self.chosen.service);
        let mut selector = self.fleet_state.selector();
        selector.record_first_event(&self.chosen, now - self.sent_at, now);
    }

    /// Returns the time since the request was sent.
    pub(crate) fn time_at_worker(&self) -> Duration {
        self.clock.now().saturating_sub(self.sent_at)
    }

    /// Counts received bytes of the answer.
    pub(crate) fn record_received(&self, bytes: usize) {
        self.traffic
            .count_bytes(Content::Answers, self.distance, bytes);
    }

    /// Sets the outcome of the attempt. Without this call, the attempt counts as cancelled.
    pub(crate) fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }

    /// Records whether the worker answered; a stream did so with its first event.
    fn record_reach(&self) {
        let service = &self.chosen.service;
        match self.outcome {
            AttemptOutcome::Answered | AttemptOutcome::Declined | AttemptOutcome::Failed => {
                self.worker_reach.record_answer(service);
            }
            AttemptOutcome::Unreachable | AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                if !self.had_first_event {
                    let incarnation = &self.chosen.incarnation;
                    self.worker_reach.record_failure(service, incarnation);
                }
            }
            AttemptOutcome::Cancelled => {}
        }
    }

    /// Whether the worker may have begun the run, which neither succeeded nor broke off.
    fn is_inconclusive(&self) -> bool {
        let was_sent = self.was_sent.load(Ordering::Relaxed);
        was_sent
            && matches!(
                self.outcome,
                AttemptOutcome::Failed | AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
            )
    }

    /// Logs and counts a run whose end shows neither that it succeeded nor that its worker failed.
    fn log_inconclusive_run(&self, time_at_worker: Duration) {
        self.metrics.record_inconclusive_run(self.outcome);
        log::info!(request = self.id.as_str(), worker = self.chosen.incarnation.as_str(),
            outcome:? = self.outcome, waited_ms = time_at_worker.as_millis() as u64;
            "the run of a request is inconclusive, since it did not end with an answer or a broken connection");
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.clock.now();
        let time_at_worker = self.time_at_worker();
        self.fleet_state.selector().record_outcome(
            &self.chosen,
            self.class,
            self.outcome,
            self.had_first_event,
            time_at_worker,
            now,
        );
        self.fleet_state.load_changed.notify_one();
        self.record_reach();
        if let AttemptOutcome::Unreachable | AttemptOutcome::Broken | AttemptOutcome::TimedOut =
            self.outcome
        {
            self.slots.report_send_failure(&self.chosen);
        }
        let (content, chosen) = (&self.request_content, &self.chosen);
        if self.is_inconclusive() {
            self.log_inconclusive_run(time_at_worker);
            self.quarantine
                .record_inconclusive_run(content, chosen, time_at_worker);
            return;
        }
        self.quarantine.count_exposure(content, time_at_worker);
        if self.outcome == AttemptOutcome::Broken {
            self.quarantine
                .check_after_break(content, chosen, time_at_worker);
        }
    }
}
