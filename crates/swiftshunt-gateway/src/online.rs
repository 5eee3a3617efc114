//! Requests that a caller waits for: routed, placed, sent, taken elsewhere, answered.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use swiftshunt_routing::RouteKind;
use swiftshunt_scheduler::admission::{self, Decision, Obstacle, Situation};
use swiftshunt_scheduler::selection::ChosenWorker;

use crate::answers::{CallerAnswer, end_to_end_headers, full_body, not_run, plain};
use crate::attempt::{Answer, Dispatcher, SendFailure, SendLimits};
use crate::batch::Batch;
use crate::metrics::{Refusal, RequestEnd};
use crate::quarantine::QuarantineHold;
use crate::rates::Rates;
use crate::relay;
use crate::request_context::RequestContext;
use crate::slots::{PlacementOutcome, PlacementQuery};

/// Serves callers.
pub(crate) struct OnlineHandler {
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) batch: Arc<Batch>,
    pub(crate) rates: Arc<Rates>,
    /// Requests that are late in any case, in the order in which they became so: one at a time looks for a
    /// slot.
    pub(crate) late_queue: tokio::sync::Mutex<()>,
    /// Age of the configuration up to which callers with keys are served, if there is one.
    pub(crate) max_config_age: Option<Duration>,
}

/// Largest answer that is read whole before it is passed on.
const WHOLE_ANSWER_LIMIT: usize = 16 << 20;
/// Part of a caller's time for which its request waits, once it is late, behind those that can be in time. It
/// must still get a slot, and its first event before the caller gives up.
const LATE_PATIENCE: f64 = 0.5;
/// Pause before such a request looks for a slot again.
const LATE_PAUSE: Duration = Duration::from_millis(40);
/// Time within which a sign of life of any worker shows that this gateway reaches workers.
const HEARD_LATELY: Duration = Duration::from_secs(1);

impl OnlineHandler {
    /// Sends until there is an answer or nothing is left to try; also tells whether it may have run.
    pub(crate) async fn serve(&self, mut context: RequestContext) -> (CallerAnswer, bool) {
        let answer = self.send_until_answered(&mut context).await;
        if context.runs > 0 && answer.status().is_server_error() {
            let quarantine = &self.dispatcher.quarantine;
            quarantine
                .wait_until_reported(&context.outgoing.request_content)
                .await;
        }
        let ran = context.runs > 0 || !promises_not_run(answer.status());
        (answer, ran)
    }

    async fn send_until_answered(&self, context: &mut RequestContext) -> CallerAnswer {
        loop {
            let now = self.dispatcher.clock.now();
            if now >= context.deadline {
                return self.out_of_time(context);
            }
            let request_content = &context.outgoing.request_content;
            if let Some(held) = self.dispatcher.quarantine.find_hold(request_content).await {
                return self.hold_back(context, held);
            }
            self.bind_residency(context);
            self.leave_closed(context);
            let chosen = self.place(context).await;
            // The configuration may have changed while it waited.
            self.bind_residency(context);
            let Some(chosen) = chosen else {
                let (obstacle, decision) = self.admit(context);
                match decision {
                    Decision::AskAgain(pause) => {
                        self.dispatcher.metrics.asked_again.inc();
                        tokio::time::sleep(pause).await;
                        context.tried.clear();
                        context.was_declined = false;
                        continue;
                    }
                    Decision::Refuse(retry_after) => {
                        let refusal = Refusal::from(obstacle);
                        return self.give_up(context, refusal, "no worker takes it", retry_after);
                    }
                }
            };
            context.record_send(&chosen, self.dispatcher.clock.now());
            let limits = self.send_limits(context, &chosen);
            let last_event = context.facts.last_event;
            let sent = self
                .dispatcher
                .send(&chosen, &context.outgoing, last_event, limits)
                .await;
            match sent {
                Ok(answer) => match self.pass_on(context, answer).await {
                    Some(answer) => return answer,
                    None => continue,
                },
                Err(failure) => {
                    context.log_failure(&chosen, &failure);
                    if let Some(answer) = self.after_failure(context, &failure) {
                        return answer;
                    }
                }
            }
        }
    }

    /// Binds a request to the regions of the configuration in force.
    fn bind_residency(&self, context: &mut RequestContext) {
        let Some(configuration) = self.dispatcher.fleet_state.configuration() else {
            return;
        };
        if configuration.version == context.residency_version {
            return;
        }
        context.residency_version = configuration.version;
        context.outgoing.bind_residency(&configuration);
    }

    /// Goes to another part of a split if the one that was drawn is closed by now, and nothing ran there.
    fn leave_closed(&self, context: &mut RequestContext) {
        let fleet_state = &self.dispatcher.fleet_state;
        let residency = &context.outgoing.demand.residency;
        let is_open = fleet_state
            .selector()
            .has_eligible_worker(&context.service, residency);
        if context.runs == 0 && !is_open {
            context.service = fleet_state.next_service(&context.route, residency);
        }
    }

    /// The worker for a request. One that would be late wherever it goes waits behind those that can be in
    /// time.
    async fn place(&self, context: &RequestContext) -> Option<ChosenWorker> {
        let now = self.dispatcher.clock.now();
        let in_time = (context.arrived + context.route.objective).saturating_sub(now);
        match self.place_within(context, Some(in_time)).await {
            PlacementOutcome::Worker(chosen) => Some(chosen),
            PlacementOutcome::NoWorker => None,
            PlacementOutcome::Late => self.place_late(context).await,
        }
    }

    async fn place_late(&self, context: &RequestContext) -> Option<ChosenWorker> {
        let clock = self.dispatcher.clock;
        let came = clock.now();
        let patient = context.deadline.saturating_sub(context.arrived);
        let patient_until = context.arrived + patient.mul_f64(LATE_PATIENCE);
        let in_line = async {
            let _turn = self.late_queue.lock().await;
            loop {
                match self.place_within(context, Some(Duration::ZERO)).await {
                    PlacementOutcome::Worker(chosen) => return Some(chosen),
                    PlacementOutcome::NoWorker => return None,
                    PlacementOutcome::Late => tokio::time::sleep(LATE_PAUSE).await,
                }
            }
        };
        let left = patient_until.saturating_sub(came);
        let placed = tokio::time::timeout(left, in_line).await;
        let waited = clock.now().saturating_sub(came);
        log::info!(request = context.id(), waited_ms = waited.as_millis() as u64,
            is_placed = placed.is_ok(); "late at a peak: waited behind requests that could be in time");
        self.dispatcher.metrics.late_in_line.inc();
        match placed {
            Ok(chosen) => chosen,
            Err(_) => match self.place_within(context, None).await {
                PlacementOutcome::Worker(chosen) => Some(chosen),
                PlacementOutcome::NoWorker | PlacementOutcome::Late => None,
            },
        }
    }

    async fn place_within(
        &self,
        context: &RequestContext,
        in_time: Option<Duration>,
    ) -> PlacementOutcome {
        let query = PlacementQuery {
            request: context.id(),
            service: &context.service,
            demand: &context.outgoing.demand,
            tried: &context.tried,
            may_repeat: context.may_run_again(),
            in_time,
        };
        self.dispatcher.slots.place(query).await
    }

    /// What becomes of a request that found no worker, and why it found none.
    fn admit(&self, context: &RequestContext) -> (Obstacle, Decision) {
        let now = self.dispatcher.clock.now();
        let selector = self.dispatcher.fleet_state.selector();
        let reaches_workers = selector.has_activity_since(now.saturating_sub(HEARD_LATELY));
        let residency = &context.outgoing.demand.residency;
        let closed = selector.service_obstacle(&context.service, residency, now);
        let obstacle = if let Some(closed) = closed {
            closed
        } else if context.was_declined
            || selector.awaits_start_permits(&context.service, residency, now)
        {
            Obstacle::Full
        } else if context.tried.is_empty() || reaches_workers {
            Obstacle::NoWorker
        } else {
            Obstacle::Unreachable
        };
        let situation = Situation {
            obstacle,
            waited: now.saturating_sub(context.arrived),
            time_left: context.deadline.saturating_sub(now),
            slot_time: selector.engine_rates(&context.service).slot_time(),
            slots: selector.slots(&context.service),
        };
        let decision = admission::decide(&situation, rand::random());
        log::info!(request = context.id(), situation:? = situation, decision:? = decision,
            tried = context.tried.len(), runs = context.runs; "no worker takes a request");
        let decision = match decision {
            // It may have run where it was tried: asked again, those would be asked, too.
            Decision::AskAgain(pause) if context.runs > 0 => Decision::Refuse(pause),
            decision => decision,
        };
        (obstacle, decision)
    }

    fn send_limits(&self, context: &RequestContext, chosen: &ChosenWorker) -> SendLimits {
        let limit = context.silence_limit() + chosen.expected_prefill;
        let silence = context.may_run_again().then_some(limit);
        SendLimits {
            deadline: context.deadline,
            caller_deadline: context.caller_deadline(),
            silence,
        }
    }

    /// What follows a failed send; none if the request goes on.
    fn after_failure(
        &self,
        context: &mut RequestContext,
        failure: &SendFailure,
    ) -> Option<CallerAnswer> {
        if failure.did_not_run() {
            context.was_declined |= matches!(failure, SendFailure::Declined { .. });
            return None;
        }
        context.runs += 1;
        if let SendFailure::OutOfTime = failure {
            return Some(self.out_of_time(context));
        }
        if context.may_repeat() {
            return None;
        }
        Some(self.fail(context, "it may have run and may not be repeated"))
    }

    /// Passes an answer on; none if the request goes to another worker instead.
    async fn pass_on(
        &self,
        context: &mut RequestContext,
        mut answer: Answer,
    ) -> Option<CallerAnswer> {
        if answer.head.status.is_success() && !answer.is_signed_success() {
            return self.spoiled(context, answer, "the worker does not vouch for it");
        }
        if context.route.kind == RouteKind::Stream && answer.head.status.is_success() {
            return self.open_stream(context, answer).await;
        }
        let time_left = context.deadline.saturating_sub(self.dispatcher.clock.now());
        let body = tokio::time::timeout(time_left, answer.read_body(WHOLE_ANSWER_LIMIT)).await;
        let body = match body {
            Err(_) => {
                context.runs += 1;
                return Some(self.out_of_time(context));
            }
            Ok(Err(reason)) => return self.spoiled(context, answer, &reason),
            Ok(Ok(body)) => body,
        };
        let status = answer.head.status;
        if status.is_server_error() || promises_not_run(status) {
            context.runs += 1;
            let foreign = promises_not_run(status);
            if context.may_repeat() || foreign {
                log::info!(request = context.id(),
                    worker = answer.in_flight.chosen.incarnation.as_str(),
                    status = status.as_u16(); "a worker failed the request");
                answer
                    .in_flight
                    .set_ending(swiftshunt_scheduler::selection::AttemptOutcome::Failed);
                drop(answer);
                if context.may_repeat() {
                    return None;
                }
                return Some(self.fail(context, "a worker failed it"));
            }
        }
        let head = answer.head.clone();
        answer.finish(&self.dispatcher);
        self.succeed(context, status);
        Some(passed(&head, body))
    }

    async fn open_stream(
        &self,
        context: &mut RequestContext,
        mut answer: Answer,
    ) -> Option<CallerAnswer> {
        let first = relay::first_bytes(&self.dispatcher, context, &mut answer).await;
        match first {
            Ok(first) => {
                self.succeed(context, answer.head.status);
                let head = answer.head.clone();
                let body = relay::relay_body(Arc::clone(&self.dispatcher), context, answer, first);
                let mut passed = Response::new(body);
                *passed.status_mut() = head.status;
                *passed.headers_mut() = end_to_end_headers(&head.headers);
                Some(passed)
            }
            Err(failure) => {
                context.log_failure(&answer.in_flight.chosen, &failure);
                relay::record_failure(&mut answer, &failure);
                drop(answer);
                self.after_failure(context, &failure)
            }
        }
    }

    fn spoiled(
        &self,
        context: &mut RequestContext,
        mut answer: Answer,
        reason: &str,
    ) -> Option<CallerAnswer> {
        let failure = SendFailure::Broken {
            reason: reason.to_owned(),
        };
        context.log_failure(&answer.in_flight.chosen, &failure);
        relay::record_failure(&mut answer, &failure);
        drop(answer);
        self.after_failure(context, &failure)
    }

    fn succeed(&self, context: &RequestContext, status: StatusCode) {
        let waited = self.dispatcher.clock.now().saturating_sub(context.arrived);
        let metrics = &self.dispatcher.metrics;
        metrics.first_event_seconds.observe(waited.as_secs_f64());
        metrics.record_request_end(&context.route.name, RequestEnd::Answered);
        let unusual = context.tried.len() > 1 || waited > context.route.objective;
        if unusual || !status.is_success() {
            context.log_answered(status, waited);
        }
    }

    /// The final answer to a request that is given up; a caller whose request did not run may come
    /// back after `retry_after`.
    fn give_up(
        &self,
        context: &RequestContext,
        refusal: Refusal,
        reason: &'static str,
        retry_after: Duration,
    ) -> CallerAnswer {
        if context.runs > 0 {
            return self.fail(context, reason);
        }
        let waited = self.dispatcher.clock.now().saturating_sub(context.arrived);
        self.dispatcher
            .metrics
            .record_refusal(refusal, retry_after, waited);
        self.ended(context, RequestEnd::Refused, reason);
        not_run(reason, retry_after)
    }

    /// The final answer to a request that has ended too many workers: at once, as it would end more of them,
    /// and their other requests with each. The caller of one that did not run in this try may come back when
    /// it is sent again; a status of the caller's own fault would be final, also for one that was wronged.
    fn hold_back(&self, context: &RequestContext, held: QuarantineHold) -> CallerAnswer {
        log::info!(request = context.id(), fingerprint:% = context.outgoing.request_content.fingerprint(),
            ends = held.ends, held_for_ms = held.time_left.as_millis() as u64, runs = context.runs;
            "a request is held back, since it ended its workers");
        let reason =
            "workers ended while they ran this request, and it is not sent to more of them";
        self.give_up(context, Refusal::Held, reason, held.time_left)
    }

    /// The final answer to a request that may have run.
    fn fail(&self, context: &RequestContext, reason: &'static str) -> CallerAnswer {
        self.ended(context, RequestEnd::Failed, reason);
        plain(StatusCode::BAD_GATEWAY, reason)
    }

    fn out_of_time(&self, context: &RequestContext) -> CallerAnswer {
        if context.runs == 0 {
            let refusal = Refusal::OutOfTime;
            return self.give_up(context, refusal, "its time is over", Duration::ZERO);
        }
        self.ended(context, RequestEnd::Failed, "its time is over");
        plain(StatusCode::GATEWAY_TIMEOUT, "its time is over")
    }

    fn ended(&self, context: &RequestContext, end: RequestEnd, reason: &str) {
        let waited = self.dispatcher.clock.now().saturating_sub(context.arrived);
        log::info!(request = context.id(), route = context.route.name.as_str(),
            end:? = end, reason, runs = context.runs, tried:? = context.tried,
            waited_ms = waited.as_millis() as u64; "given up");
        let metrics = &self.dispatcher.metrics;
        metrics.record_request_end(&context.route.name, end);
    }
}

/// Statuses that promise to a caller that its request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn passed(head: &hyper::http::response::Parts, body: Bytes) -> CallerAnswer {
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = end_to_end_headers(&head.headers);
    answer.headers_mut().remove(CONTENT_LENGTH);
    answer
}
