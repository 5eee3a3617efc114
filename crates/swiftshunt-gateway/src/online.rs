//! Requests that a caller waits for: routed, placed, sent, taken elsewhere, answered.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use swiftshunt_routing::RouteKind;
use swiftshunt_scheduler::admission::{self, Decision, Obstacle, Situation};
use swiftshunt_scheduler::selection::Chosen;

use crate::answers::{CallerAnswer, end_to_end, not_run, plain, whole};
use crate::attempt::{Answer, Dispatcher, Patience, SendFailure};
use crate::batch::Batch;
use crate::journey::Journey;
use crate::metrics::{Refusal, RequestEnd};
use crate::quarantine::QuarantineHold;
use crate::rates::Rates;
use crate::relay;
use crate::slots::{PlacementOutcome, PlacementQuery};

/// Serves callers.
pub(crate) struct Online {
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) batch: Arc<Batch>,
    pub(crate) rates: Arc<Rates>,
    /// Requests that are late in any case, in the order in which they became so: one at a time looks for a
    /// slot.
    pub(crate) late_line: tokio::sync::Mutex<()>,
    /// Age of the configuration up to which callers with keys are served, if there is one.
    pub(crate) strict_within: Option<Duration>,
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

impl Online {
    /// Sends until there is an answer or nothing is left to try; also tells whether it may have run.
    pub(crate) async fn travel(&self, mut journey: Journey) -> (CallerAnswer, bool) {
        let answer = self.send_until_answered(&mut journey).await;
        if journey.runs > 0 && answer.status().is_server_error() {
            let quarantine = &self.dispatcher.quarantine;
            quarantine
                .wait_until_reported(&journey.outgoing.request_content)
                .await;
        }
        let ran = journey.runs > 0 || !promises_not_run(answer.status());
        (answer, ran)
    }

    async fn send_until_answered(&self, journey: &mut Journey) -> CallerAnswer {
        loop {
            let now = self.dispatcher.clock.now();
            if now >= journey.until {
                return self.out_of_time(journey);
            }
            let request_content = &journey.outgoing.request_content;
            if let Some(held) = self.dispatcher.quarantine.find_hold(request_content).await {
                return self.hold_back(journey, held);
            }
            self.bind(journey);
            self.leave_closed(journey);
            let chosen = self.place(journey).await;
            // The configuration may have changed while it waited.
            self.bind(journey);
            let Some(chosen) = chosen else {
                let (obstacle, decision) = self.admit(journey);
                match decision {
                    Decision::AskAgain(pause) => {
                        self.dispatcher.metrics.asked_again.inc();
                        tokio::time::sleep(pause).await;
                        journey.tried.clear();
                        journey.was_declined = false;
                        continue;
                    }
                    Decision::Refuse(come_back) => {
                        let refusal = Refusal::from(obstacle);
                        return self.give_up(journey, refusal, "no worker takes it", come_back);
                    }
                }
            };
            journey.sent(&chosen, self.dispatcher.clock.now());
            let patience = self.patience(journey, &chosen);
            let last_event = journey.facts.last_event;
            let sent = self
                .dispatcher
                .send(&chosen, &journey.outgoing, last_event, patience)
                .await;
            match sent {
                Ok(answer) => match self.pass_on(journey, answer).await {
                    Some(answer) => return answer,
                    None => continue,
                },
                Err(failure) => {
                    journey.log_failure(&chosen, &failure);
                    if let Some(answer) = self.after_failure(journey, &failure) {
                        return answer;
                    }
                }
            }
        }
    }

    /// Binds a request to the regions of the configuration in force.
    fn bind(&self, journey: &mut Journey) {
        let Some(configuration) = self.dispatcher.beliefs.configuration() else {
            return;
        };
        if configuration.version == journey.bound_by {
            return;
        }
        journey.bound_by = configuration.version;
        journey.outgoing.bind(&configuration);
    }

    /// Goes to another part of a split if the one that was drawn is closed by now, and nothing ran there.
    fn leave_closed(&self, journey: &mut Journey) {
        let beliefs = &self.dispatcher.beliefs;
        let residency = &journey.outgoing.demand.residency;
        let is_open = beliefs.selector().is_open(&journey.service, residency);
        if journey.runs == 0 && !is_open {
            journey.service = beliefs.next_service(&journey.route, residency);
        }
    }

    /// The worker for a request. One that would be late wherever it goes waits behind those that can be in
    /// time.
    async fn place(&self, journey: &Journey) -> Option<Chosen> {
        let now = self.dispatcher.clock.now();
        let in_time = (journey.arrived + journey.route.objective).saturating_sub(now);
        match self.place_within(journey, Some(in_time)).await {
            PlacementOutcome::Worker(chosen) => Some(chosen),
            PlacementOutcome::NoWorker => None,
            PlacementOutcome::Late => self.place_late(journey).await,
        }
    }

    async fn place_late(&self, journey: &Journey) -> Option<Chosen> {
        let clock = self.dispatcher.clock;
        let came = clock.now();
        let patient = journey.until.saturating_sub(journey.arrived);
        let patient_until = journey.arrived + patient.mul_f64(LATE_PATIENCE);
        let in_line = async {
            let _turn = self.late_line.lock().await;
            loop {
                match self.place_within(journey, Some(Duration::ZERO)).await {
                    PlacementOutcome::Worker(chosen) => return Some(chosen),
                    PlacementOutcome::NoWorker => return None,
                    PlacementOutcome::Late => tokio::time::sleep(LATE_PAUSE).await,
                }
            }
        };
        let left = patient_until.saturating_sub(came);
        let placed = tokio::time::timeout(left, in_line).await;
        let waited = clock.now().saturating_sub(came);
        log::info!(request = journey.id(), waited_ms = waited.as_millis() as u64,
            is_placed = placed.is_ok(); "late at a peak: waited behind requests that could be in time");
        self.dispatcher.metrics.late_in_line.inc();
        match placed {
            Ok(chosen) => chosen,
            Err(_) => match self.place_within(journey, None).await {
                PlacementOutcome::Worker(chosen) => Some(chosen),
                PlacementOutcome::NoWorker | PlacementOutcome::Late => None,
            },
        }
    }

    async fn place_within(&self, journey: &Journey, in_time: Option<Duration>) -> PlacementOutcome {
        let query = PlacementQuery {
            request: journey.id(),
            service: &journey.service,
            demand: &journey.outgoing.demand,
            tried: &journey.tried,
            may_repeat: journey.may_run_again(),
            in_time,
        };
        self.dispatcher.slots.place(query).await
    }

    /// What becomes of a request that found no worker, and why it found none.
    fn admit(&self, journey: &Journey) -> (Obstacle, Decision) {
        let now = self.dispatcher.clock.now();
        let selector = self.dispatcher.beliefs.selector();
        let reaches_workers = selector.has_heard_since(now.saturating_sub(HEARD_LATELY));
        let residency = &journey.outgoing.demand.residency;
        let closed = selector.closed(&journey.service, residency, now);
        let obstacle = if let Some(closed) = closed {
            closed
        } else if journey.was_declined || selector.awaits_starts(&journey.service, residency, now) {
            Obstacle::Full
        } else if journey.tried.is_empty() || reaches_workers {
            Obstacle::NoWorker
        } else {
            Obstacle::Unreachable
        };
        let situation = Situation {
            obstacle,
            waited: now.saturating_sub(journey.arrived),
            time_left: journey.until.saturating_sub(now),
            slot_time: selector.engine_rates(&journey.service).slot_time(),
            slots: selector.slots(&journey.service),
        };
        let decision = admission::decide(&situation, rand::random());
        log::info!(request = journey.id(), situation:? = situation, decision:? = decision,
            tried = journey.tried.len(), runs = journey.runs; "no worker takes a request");
        let decision = match decision {
            // It may have run where it was tried: asked again, those would be asked, too.
            Decision::AskAgain(pause) if journey.runs > 0 => Decision::Refuse(pause),
            decision => decision,
        };
        (obstacle, decision)
    }

    fn patience(&self, journey: &Journey, chosen: &Chosen) -> Patience {
        let limit = journey.silence_limit() + chosen.expected_reading;
        let silence = journey.may_run_again().then_some(limit);
        Patience {
            until: journey.until,
            told_until: journey.told_until(),
            silence,
        }
    }

    /// What follows a failed send; none if the request goes on.
    fn after_failure(&self, journey: &mut Journey, failure: &SendFailure) -> Option<CallerAnswer> {
        if failure.did_not_run() {
            journey.was_declined |= matches!(failure, SendFailure::Declined { .. });
            return None;
        }
        journey.runs += 1;
        if let SendFailure::OutOfTime = failure {
            return Some(self.out_of_time(journey));
        }
        if journey.may_repeat() {
            return None;
        }
        Some(self.fail(journey, "it may have run and may not be repeated"))
    }

    /// Passes an answer on; none if the request goes to another worker instead.
    async fn pass_on(&self, journey: &mut Journey, mut answer: Answer) -> Option<CallerAnswer> {
        if answer.head.status.is_success() && !answer.is_vouched_success() {
            return self.spoiled(journey, answer, "the worker does not vouch for it");
        }
        if journey.route.kind == RouteKind::Stream && answer.head.status.is_success() {
            return self.open_stream(journey, answer).await;
        }
        let until = journey.until.saturating_sub(self.dispatcher.clock.now());
        let body = tokio::time::timeout(until, answer.read_body(WHOLE_ANSWER_LIMIT)).await;
        let body = match body {
            Err(_) => {
                journey.runs += 1;
                return Some(self.out_of_time(journey));
            }
            Ok(Err(reason)) => return self.spoiled(journey, answer, &reason),
            Ok(Ok(body)) => body,
        };
        let status = answer.head.status;
        if status.is_server_error() || promises_not_run(status) {
            journey.runs += 1;
            let foreign = promises_not_run(status);
            if journey.may_repeat() || foreign {
                log::info!(request = journey.id(),
                    worker = answer.in_flight.chosen.incarnation.as_str(),
                    status = status.as_u16(); "a worker failed the request");
                answer
                    .in_flight
                    .ends(swiftshunt_scheduler::selection::Ending::Failed);
                drop(answer);
                if journey.may_repeat() {
                    return None;
                }
                return Some(self.fail(journey, "a worker failed it"));
            }
        }
        let head = answer.head.clone();
        answer.finish(&self.dispatcher);
        self.succeed(journey, status);
        Some(passed(&head, body))
    }

    async fn open_stream(&self, journey: &mut Journey, mut answer: Answer) -> Option<CallerAnswer> {
        let first = relay::first_bytes(&self.dispatcher, journey, &mut answer).await;
        match first {
            Ok(first) => {
                self.succeed(journey, answer.head.status);
                let head = answer.head.clone();
                let body = relay::body(Arc::clone(&self.dispatcher), journey, answer, first);
                let mut passed = Response::new(body);
                *passed.status_mut() = head.status;
                *passed.headers_mut() = end_to_end(&head.headers);
                Some(passed)
            }
            Err(failure) => {
                journey.log_failure(&answer.in_flight.chosen, &failure);
                relay::ends_by(&mut answer, &failure);
                drop(answer);
                self.after_failure(journey, &failure)
            }
        }
    }

    fn spoiled(
        &self,
        journey: &mut Journey,
        mut answer: Answer,
        reason: &str,
    ) -> Option<CallerAnswer> {
        let failure = SendFailure::Broken {
            reason: reason.to_owned(),
        };
        journey.log_failure(&answer.in_flight.chosen, &failure);
        relay::ends_by(&mut answer, &failure);
        drop(answer);
        self.after_failure(journey, &failure)
    }

    fn succeed(&self, journey: &Journey, status: StatusCode) {
        let waited = self.dispatcher.clock.now().saturating_sub(journey.arrived);
        let metrics = &self.dispatcher.metrics;
        metrics.first_event_seconds.observe(waited.as_secs_f64());
        metrics.request_ended(&journey.route.name, RequestEnd::Answered);
        let unusual = journey.tried.len() > 1 || waited > journey.route.objective;
        if unusual || !status.is_success() {
            journey.log_answered(status, waited);
        }
    }

    /// The final answer to a request that is given up; a caller whose request did not run may come
    /// back after `come_back`.
    fn give_up(
        &self,
        journey: &Journey,
        refusal: Refusal,
        reason: &'static str,
        come_back: Duration,
    ) -> CallerAnswer {
        if journey.runs > 0 {
            return self.fail(journey, reason);
        }
        let waited = self.dispatcher.clock.now().saturating_sub(journey.arrived);
        self.dispatcher.metrics.refused(refusal, come_back, waited);
        self.ended(journey, RequestEnd::Refused, reason);
        not_run(reason, come_back)
    }

    /// The final answer to a request that has ended too many workers: at once, as it would end more of them,
    /// and their other requests with each. The caller of one that did not run in this try may come back when
    /// it is sent again; a status of the caller's own fault would be final, also for one that was wronged.
    fn hold_back(&self, journey: &Journey, held: QuarantineHold) -> CallerAnswer {
        log::info!(request = journey.id(), fingerprint:% = journey.outgoing.request_content.fingerprint(),
            ends = held.ends, held_for_ms = held.time_left.as_millis() as u64, runs = journey.runs;
            "a request is held back, since it ended its workers");
        let reason =
            "workers ended while they ran this request, and it is not sent to more of them";
        self.give_up(journey, Refusal::Held, reason, held.time_left)
    }

    /// The final answer to a request that may have run.
    fn fail(&self, journey: &Journey, reason: &'static str) -> CallerAnswer {
        self.ended(journey, RequestEnd::Failed, reason);
        plain(StatusCode::BAD_GATEWAY, reason)
    }

    fn out_of_time(&self, journey: &Journey) -> CallerAnswer {
        if journey.runs == 0 {
            let refusal = Refusal::OutOfTime;
            return self.give_up(journey, refusal, "its time is over", Duration::ZERO);
        }
        self.ended(journey, RequestEnd::Failed, "its time is over");
        plain(StatusCode::GATEWAY_TIMEOUT, "its time is over")
    }

    fn ended(&self, journey: &Journey, end: RequestEnd, reason: &str) {
        let waited = self.dispatcher.clock.now().saturating_sub(journey.arrived);
        log::info!(request = journey.id(), route = journey.route.name.as_str(),
            end:? = end, reason, runs = journey.runs, tried:? = journey.tried,
            waited_ms = waited.as_millis() as u64; "given up");
        let metrics = &self.dispatcher.metrics;
        metrics.request_ended(&journey.route.name, end);
    }
}

/// Statuses that promise to a caller that its request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn passed(head: &hyper::http::response::Parts, body: Bytes) -> CallerAnswer {
    let mut answer = Response::new(whole(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = end_to_end(&head.headers);
    answer.headers_mut().remove(CONTENT_LENGTH);
    answer
}
