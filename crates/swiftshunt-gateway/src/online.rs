//! Serving of online requests: placement, sending, retries on other workers, and the answer to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use swiftshunt_routing::RouteKind;
use swiftshunt_scheduler::admission::{self, Decision, Obstacle, Situation};
use swiftshunt_scheduler::selection::ChosenWorker;

use crate::answers::{CallerAnswer, end_to_end_headers, full_body, not_run, plain};
use crate::attempt::{Dispatcher, SendFailure, SendLimits};
use crate::batch::{Batch, JobDecoding};
use crate::body_buffers::BodyBuffers;
use crate::metrics::{Refusal, RequestEnd};
use crate::origins::TakenUpStream;
use crate::quarantine::QuarantineHold;
use crate::rates::Rates;
use crate::relay;
use crate::request_context::RequestContext;
use crate::server::Stop;
use crate::slots::{PlacementOutcome, PlacementQuery};
use crate::worker_answer::Answer;

/// Serves online requests.
pub(crate) struct OnlineHandler {
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) batch: Arc<Batch>,
    pub(crate) rates: Arc<Rates>,
    pub(crate) stop: Stop,
    /// Queue of late requests, which would miss their objective on any worker, in the order in which they were
    /// found to be late. Only the request that holds the lock tries to get a slot.
    pub(crate) late_queue: tokio::sync::Mutex<()>,
    /// Memory of the bodies of requests and jobs.
    pub(crate) bodies: BodyBuffers,
    /// Memory of jobs that are decoded.
    pub(crate) job_decoding: JobDecoding,
    /// Time since the last confirmation of the configuration after which callers with keys are refused; `None`
    /// if they are served at any age.
    pub(crate) max_config_age: Option<Duration>,
}

/// Share of a request's timeout, from its arrival, during which a late request yields to requests that can
/// still meet their objective. The rest must suffice to get a slot and to produce the first event before the
/// caller gives up.
const LATE_WAIT_SHARE: f64 = 0.5;
/// Interval at which a late request tries to get a slot.
const LATE_RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Activity of any worker within this time shows that this gateway reaches workers.
const RECENT_ACTIVITY: Duration = Duration::from_secs(1);

impl OnlineHandler {
    /// Sends a request to workers until one answers or no further attempt is allowed. Returns the answer and
    /// whether the request may have run.
    pub(crate) async fn serve(&self, mut context: RequestContext) -> (CallerAnswer, bool) {
        let answered = tokio::select! {
            biased;
            answer = self.send_until_answered(&mut context) => Some(answer),
            () = self.stop.ending.cancelled() => None,
        };
        let Some(answer) = answered else {
            return self.answer_before_end(&context);
        };
        if context.runs > 0 && answer.status().is_server_error() {
            let quarantine = &self.dispatcher.quarantine;
            quarantine
                .wait_until_reported(&context.outgoing.request_content)
                .await;
        }
        let ran = context.runs > 0 || !promises_not_run(answer.status());
        (answer, ran)
    }

    /// Returns the answer to a request that is still in progress shortly before the process ends, and whether it may have
    /// run.
    fn answer_before_end(&self, context: &RequestContext) -> (CallerAnswer, bool) {
        if context.last_send.is_none() {
            return (self.refuse_late(), false);
        }
        self.record_given_up(context, RequestEnd::Failed, "this gateway stops");
        let answer = plain(StatusCode::GATEWAY_TIMEOUT, "this gateway stops");
        (answer, true)
    }

    async fn send_until_answered(&self, context: &mut RequestContext) -> CallerAnswer {
        if let Err(refusal) = self.bind_origin(context).await {
            return refusal;
        }
        loop {
            let now = self.dispatcher.clock.now();
            if now >= context.deadline {
                return self.answer_out_of_time(context);
            }
            let request_content = &context.outgoing.request_content;
            if let Some(held) = self.dispatcher.quarantine.find_hold(request_content).await {
                return self.refuse_quarantined(context, held);
            }
            self.bind_residency(context);
            self.replace_ineligible_service(context);
            let chosen = self.place(context).await;
            // The configuration may have changed while the request waited for a slot.
            self.bind_residency(context);
            let Some(chosen) = chosen else {
                let (obstacle, decision) = self.decide_unplaced(context);
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
                Ok(answer) => match self.forward_answer(context, answer).await {
                    Some(answer) => return answer,
                    None => continue,
                },
                Err(failure) => {
                    context.log_failure(&chosen, &failure);
                    if let Some(answer) = self.handle_failure(context, &failure) {
                        return answer;
                    }
                }
            }
        }
    }

    /// Restricts a stream that the caller takes up to the service and software version that began it. The error is the
    /// answer that refuses the request, if that version is not known.
    async fn bind_origin(&self, context: &mut RequestContext) -> Result<(), CallerAnswer> {
        if context.route.kind != RouteKind::Stream || context.facts.last_event.is_none() {
            return Ok(());
        }
        let stream = TakenUpStream {
            request_content: &context.outgoing.request_content,
            first_attempt: context.first_attempt().unwrap_or_default(),
            route: &context.route,
        };
        let found = self.dispatcher.origins.find(&stream).await;
        let fleet_state = &self.dispatcher.fleet_state;
        let now = self.dispatcher.clock.now();
        let directory_age = now.saturating_sub(fleet_state.directory_confirmed_at());
        log::info!(request = context.id(), first_attempt:? = context.facts.first_attempt,
            last_event:? = context.facts.last_event, found:? = found,
            directory_age_ms = directory_age.as_millis() as u64; "the caller takes up a stream");
        match found {
            Ok(origin) => {
                context.outgoing.demand.scope.origin = Some(origin);
                let scope = &context.outgoing.demand.scope;
                let fleet_state = &self.dispatcher.fleet_state;
                context.service = fleet_state.next_service(&context.route, scope);
                Ok(())
            }
            Err(_) => {
                let now = self.dispatcher.clock.now();
                let time_left = context.deadline.saturating_sub(now);
                let retry_after = admission::retry_after_unknown_origin(time_left, rand::random());
                let reason = "it is not known which software version began the stream";
                Err(self.give_up(context, Refusal::OriginUnknown, reason, retry_after))
            }
        }
    }

    /// Restricts a request to the regions that the configuration in force allows.
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

    /// Draws another service of the route's split if the current one has no eligible worker any more. A request
    /// that may have run keeps its service.
    fn replace_ineligible_service(&self, context: &mut RequestContext) {
        let fleet_state = &self.dispatcher.fleet_state;
        let scope = &context.outgoing.demand.scope;
        let is_eligible = fleet_state
            .selector()
            .has_eligible_worker(&context.service, scope);
        if context.runs == 0 && !is_eligible {
            context.service = fleet_state.next_service(&context.route, scope);
        }
    }

    /// Chooses the worker for a request. A request that would miss its objective on any worker waits behind
    /// those that can still meet theirs.
    async fn place(&self, context: &RequestContext) -> Option<ChosenWorker> {
        let now = self.dispatcher.clock.now();
        let max_wait = (context.arrived + context.route.objective).saturating_sub(now);
        match self.place_within(context, Some(max_wait)).await {
            PlacementOutcome::Worker(chosen) => Some(chosen),
            PlacementOutcome::NoWorker => None,
            PlacementOutcome::Late => self.place_late(context).await,
        }
    }

    /// Chooses the worker for a late request: waits in the queue until a worker has a free slot, and accepts any
    /// worker after `LATE_WAIT_SHARE` of the timeout.
    async fn place_late(&self, context: &RequestContext) -> Option<ChosenWorker> {
        let clock = self.dispatcher.clock;
        let queued_at = clock.now();
        let timeout = context.deadline.saturating_sub(context.arrived);
        let yields_until = context.arrived + timeout.mul_f64(LATE_WAIT_SHARE);
        let wait_for_slot = async {
            // A stream bound to one version must not hold up requests that other workers could serve.
            let is_bound = context.outgoing.demand.scope.origin.is_some();
            let _turn = if is_bound {
                None
            } else {
                Some(self.late_queue.lock().await)
            };
            loop {
                match self.place_within(context, Some(Duration::ZERO)).await {
                    PlacementOutcome::Worker(chosen) => return Some(chosen),
                    PlacementOutcome::NoWorker => return None,
                    PlacementOutcome::Late => tokio::time::sleep(LATE_RETRY_INTERVAL).await,
                }
            }
        };
        let wait_limit = yields_until.saturating_sub(queued_at);
        let placed = tokio::time::timeout(wait_limit, wait_for_slot).await;
        let waited = clock.now().saturating_sub(queued_at);
        log::info!(request = context.id(), waited_ms = waited.as_millis() as u64,
            is_placed = placed.is_ok(); "request cannot meet its objective; it waited behind requests that can");
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
        max_wait: Option<Duration>,
    ) -> PlacementOutcome {
        let query = PlacementQuery {
            request: context.id(),
            service: &context.service,
            demand: &context.outgoing.demand,
            tried: &context.tried,
            may_repeat: context.may_repeat_after_next(),
            max_wait,
        };
        self.dispatcher.slots.place(query).await
    }

    /// Decides whether a request that found no worker is placed again later or refused, and returns why it
    /// found none.
    fn decide_unplaced(&self, context: &RequestContext) -> (Obstacle, Decision) {
        let now = self.dispatcher.clock.now();
        let selector = self.dispatcher.fleet_state.selector();
        let reaches_workers = selector.has_activity_since(now.saturating_sub(RECENT_ACTIVITY));
        let scope = &context.outgoing.demand.scope;
        let service_obstacle = selector.service_obstacle(&context.service, scope, now);
        let obstacle = if let Some(service_obstacle) = service_obstacle {
            service_obstacle
        } else if context.was_declined
            || selector.awaits_start_permits(&context.service, scope, now)
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
            tried = context.tried.len(), runs = context.runs; "found no worker for a request");
        let decision = match decision {
            // Another round clears the list of tried workers, and would repeat the request on a worker where it
            // may have run.
            Decision::AskAgain(pause) if context.runs > 0 => Decision::Refuse(pause),
            decision => decision,
        };
        (obstacle, decision)
    }

    fn send_limits(&self, context: &RequestContext, chosen: &ChosenWorker) -> SendLimits {
        let limit = context.silence_limit() + chosen.expected_prefill;
        let silence = context.may_repeat_after_next().then_some(limit);
        SendLimits {
            deadline: context.deadline,
            caller_deadline: context.caller_deadline(),
            silence,
        }
    }

    /// Handles a failed send. Returns the final answer, or `None` if the request is sent to another worker.
    fn handle_failure(
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
            return Some(self.answer_out_of_time(context));
        }
        if context.may_repeat() {
            return None;
        }
        Some(self.fail(context, "it may have run and may not be repeated"))
    }

    /// Forwards a worker's answer to the caller. Returns `None` if the request is sent to another worker
    /// instead.
    async fn forward_answer(
        &self,
        context: &mut RequestContext,
        mut answer: Answer,
    ) -> Option<CallerAnswer> {
        if answer.head.status.is_success() && !answer.is_signed_success() {
            return self.reject_answer(context, answer, "the worker does not vouch for it");
        }
        if context.route.kind == RouteKind::Stream && answer.head.status.is_success() {
            return self.open_stream(context, answer).await;
        }
        let time_left = context.deadline.saturating_sub(self.dispatcher.clock.now());
        let read = answer.read_body(&self.dispatcher);
        let body = tokio::time::timeout(time_left, read).await;
        let body = match body {
            Err(_) => {
                context.runs += 1;
                return Some(self.answer_out_of_time(context));
            }
            Ok(Err(reason)) => return self.reject_answer(context, answer, &reason),
            Ok(Ok(body)) => body,
        };
        let status = answer.head.status;
        if status.is_server_error() || promises_not_run(status) {
            context.runs += 1;
            // A status that promises the caller that the request did not run is never forwarded: the worker did not
            // declare that, so the request may have run.
            let is_false_promise = promises_not_run(status);
            if context.may_repeat() || is_false_promise {
                log::info!(request = context.id(),
                    worker = answer.in_flight.chosen.incarnation.as_str(),
                    status = status.as_u16(); "request failed at its worker");
                answer
                    .in_flight
                    .set_outcome(swiftshunt_scheduler::selection::AttemptOutcome::Failed);
                drop(answer);
                if context.may_repeat() {
                    return None;
                }
                return Some(self.fail(context, "a worker failed it"));
            }
        }
        let head = answer.head.clone();
        answer.finish(&self.dispatcher);
        self.record_answered(context, status);
        Some(buffered_answer(&head, body))
    }

    async fn open_stream(
        &self,
        context: &mut RequestContext,
        mut answer: Answer,
    ) -> Option<CallerAnswer> {
        let first = relay::first_chunk(&self.dispatcher, context, &mut answer).await;
        match first {
            Ok(first) => {
                self.record_origin(context, &answer);
                self.record_answered(context, answer.head.status);
                let head = answer.head.clone();
                let body = relay::relay_body(Arc::clone(&self.dispatcher), context, answer, first);
                let mut forwarded = Response::new(body);
                *forwarded.status_mut() = head.status;
                *forwarded.headers_mut() = end_to_end_headers(&head.headers);
                // A stream that breaks off or is resumed has another length than the worker's answer states.
                forwarded.headers_mut().remove(CONTENT_LENGTH);
                Some(forwarded)
            }
            Err(failure) => {
                context.log_failure(&answer.in_flight.chosen, &failure);
                relay::record_failure(&mut answer, &failure);
                drop(answer);
                self.handle_failure(context, &failure)
            }
        }
    }

    /// Remembers what began a stream that may be taken up, before its first event is forwarded.
    fn record_origin(&self, context: &RequestContext, answer: &Answer) {
        if !context.route.resumable {
            return;
        }
        let Some(first_attempt) = context.first_attempt() else {
            return;
        };
        self.dispatcher.origins.record(
            &context.outgoing.request_content,
            first_attempt,
            &context.route,
            &answer.in_flight.chosen,
        );
    }

    /// Treats an answer that cannot be forwarded as a broken send.
    fn reject_answer(
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
        self.handle_failure(context, &failure)
    }

    fn record_answered(&self, context: &RequestContext, status: StatusCode) {
        let waited = self.dispatcher.clock.now().saturating_sub(context.arrived);
        let metrics = &self.dispatcher.metrics;
        metrics.first_event_seconds.observe(waited.as_secs_f64());
        metrics.record_request_end(&context.route.name, RequestEnd::Answered);
        let unusual = context.tried.len() > 1 || waited > context.route.objective;
        if unusual || !status.is_success() {
            context.log_answered(status, waited);
        }
    }

    /// Returns the final answer to a request that is given up. If the request did not run, the caller may
    /// repeat it after `retry_after`.
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
        self.record_given_up(context, RequestEnd::Refused, reason);
        not_run(reason, retry_after)
    }

    /// Returns the final answer to a request in quarantine. Workers ended while they ran it, and a further send
    /// could end another worker together with the other requests there. If this gateway has sent the request to no
    /// worker that may have run it, the caller may repeat it after the hold. The status is no 4xx: callers would
    /// treat that as final, even if the request was not what ended the workers.
    fn refuse_quarantined(&self, context: &RequestContext, held: QuarantineHold) -> CallerAnswer {
        log::info!(request = context.id(), fingerprint:% = context.outgoing.request_content.fingerprint(),
            held:% = held.fingerprint, ends = held.ends, held_for_ms = held.time_left.as_millis() as u64, runs = context.runs;
            "request is in quarantine, since workers ended while they ran it or others with a part of its prompt; refusing it");
        let reason = "workers ended while they ran this request or others with a part of its prompt, \
                      and it is not sent to more of them";
        self.give_up(context, Refusal::Held, reason, held.time_left)
    }

    /// Returns the final answer to a request that may have run.
    fn fail(&self, context: &RequestContext, reason: &'static str) -> CallerAnswer {
        self.record_given_up(context, RequestEnd::Failed, reason);
        plain(StatusCode::BAD_GATEWAY, reason)
    }

    fn answer_out_of_time(&self, context: &RequestContext) -> CallerAnswer {
        if context.runs == 0 {
            let refusal = Refusal::OutOfTime;
            return self.give_up(context, refusal, "its time is over", Duration::ZERO);
        }
        self.record_given_up(context, RequestEnd::Failed, "its time is over");
        plain(StatusCode::GATEWAY_TIMEOUT, "its time is over")
    }

    fn record_given_up(&self, context: &RequestContext, end: RequestEnd, reason: &str) {
        let waited = self.dispatcher.clock.now().saturating_sub(context.arrived);
        log::info!(request = context.id(), route = context.route.name.as_str(),
            end:? = end, reason, runs = context.runs, tried:? = context.tried,
            waited_ms = waited.as_millis() as u64; "given up");
        let metrics = &self.dispatcher.metrics;
        metrics.record_request_end(&context.route.name, end);
    }
}

/// Whether a status promises the caller that its request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn buffered_answer(head: &hyper::http::response::Parts, body: Bytes) -> CallerAnswer {
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = end_to_end_headers(&head.headers);
    answer.headers_mut().remove(CONTENT_LENGTH);
    answer
}
