//! Runs one batch item: sends it to workers, resumes it after failures and settles it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use hyper::{Method, StatusCode, Uri};
use rand::RngCore;
use swiftshunt_http::{NumberRule, SendPermit};
use swiftshunt_jobs::{FailedRun, ItemOutcome, ItemSpec, JobSpec, Settled};
use swiftshunt_routing::{Configuration, Route};
use swiftshunt_scheduler::eligibility::OfferScope;
use swiftshunt_scheduler::selection::{AttemptOutcome, ChosenWorker, Class, Demand};
use swiftshunt_scheduler::slots::ItemTimes;
use swiftshunt_topology::Residency;
use swiftshunt_types::TenantName;

use super::Batch;
use super::item_bodies::BodyError;
use super::item_output::ItemOutput;
use crate::attempt::{OutgoingRequest, SendFailure, SendLimits};
use crate::fleet_state::lock;
use crate::metrics::ItemWait;
use crate::protocol::Identity;
use crate::quarantine::{RequestContent, RequestOrigin};
use crate::running::{ItemActivity, ItemId};
use crate::worker_answer::Answer;

/// Pause before checking again whether items of a partition may be sent, or the configuration is recent enough.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// Pause before checking again whether an item may be sent from this region.
const REGION_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed attempt.
const FAILURE_DELAY: Duration = Duration::from_millis(250);
/// Silence of a worker after which the item's attempt there is aborted.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for the end of an event while the worker is active on other requests.
const MAX_EVENT_WAIT: Duration = Duration::from_secs(6);
/// Longest duration of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(600);

/// How an attempt to run an item ended.
#[derive(Debug)]
enum Attempt {
    /// The output is complete.
    Whole,
    /// The worker answered that the item can never succeed.
    Impossible,
    /// The worker ran the item and failed.
    Failed,
    /// The attempt broke off and is to be resumed; it does not count as a failure of the item.
    BrokenOff,
    /// The worker did not run the item.
    NotTaken,
    /// The item was interrupted to free its slot or to leave an evacuated zone.
    Interrupted,
}

impl Attempt {
    /// Whether the attempt ended because its worker did not bring it to an end.
    fn is_failure(&self) -> bool {
        matches!(self, Self::Failed | Self::BrokenOff | Self::NotTaken)
    }
}

/// The run of an item at this gateway.
#[derive(Clone, Copy)]
pub(super) struct ItemRun<'r> {
    pub(super) id: &'r ItemId,
    pub(super) spec: &'r JobSpec,
    /// When the item's job was first read here.
    pub(super) first_seen: Duration,
    pub(super) times: ItemTimes,
    pub(super) activity: &'r ItemActivity,
}

impl Batch {
    /// Runs an item until it is settled.
    pub(super) async fn run_item(self: &Arc<Self>, run: ItemRun<'_>, output: &mut ItemOutput) {
        let ItemRun {
            id,
            spec,
            first_seen,
            times,
            activity,
        } = run;
        let Some(item) = spec.items.get(id.index as usize) else {
            return;
        };
        // Built once, since its digest reads the whole body.
        let mut known_content: Option<RequestContent> = None;
        let mut awaits_configuration = false;
        loop {
            let Some(configuration) = self.configuration_for(spec) else {
                if !std::mem::replace(&mut awaits_configuration, true) {
                    log::info!(job = id.job.as_str(), item = item.id.as_str(),
                        accepted_by:? = spec.configuration_version;
                        "the configuration known here is older than the one by which the job was accepted; an item waits");
                }
                activity.set_wait(ItemWait::Configuration);
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            let Some(route) = configuration.route(&spec.host, &spec.path).cloned() else {
                return self.settle(id, item, ItemOutcome::GivenUp, String::new(), "no route");
            };
            let now = self.dispatcher.clock.now();
            let limit = route.give_up_after;
            if limit.is_some_and(|limit| now >= first_seen + limit) {
                return self.settle(id, item, ItemOutcome::GivenUp, String::new(), "too late");
            }
            if self.failure_count(id, output) >= route.max_attempts {
                let reason = "too many failures";
                return self.settle(id, item, ItemOutcome::GivenUp, String::new(), reason);
            }
            if !self.may_send(id.partition) {
                activity.set_wait(ItemWait::RecentState);
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            let request_content = match known_content.take() {
                Some(known) => known,
                None => match self.request_content(id, spec, item).await {
                    Ok(Some(content)) => content,
                    Ok(None) => {
                        let reason = "item has no valid path or host";
                        return self.settle(id, item, ItemOutcome::GivenUp, String::new(), reason);
                    }
                    Err(error) => {
                        log::info!(job = id.job.as_str(), item = item.id.as_str();
                            "the body of an item cannot be read; the item waits: {error}");
                        activity.set_wait(ItemWait::Body);
                        tokio::time::sleep(RETRY_DELAY).await;
                        continue;
                    }
                },
            };
            let request_content = &*known_content.insert(request_content);
            let residency = self.residency_of(&route, spec.tenant.as_ref());
            if !self.dispatcher.job_regions.may_send_from_here(&residency) {
                log::debug!(job = id.job.as_str(), item = item.id.as_str();
                    "an item may not be sent from here");
                activity.set_wait(ItemWait::Region);
                tokio::time::sleep(REGION_POLL_INTERVAL).await;
                continue;
            }
            let scope = self.next_scope(id, item, &route, residency, output);
            let service = self.dispatcher.fleet_state.next_service(&route, &scope);
            let expected_run = self.run_time_estimate.expected().saturating_sub(output.ran);
            self.running.set_remaining_time(id, expected_run);
            let times = ItemTimes {
                expected_run,
                ..times
            };
            let Some(outgoing) = self.build_request(id, spec, item, request_content, scope) else {
                let reason = "item has no valid path or host";
                return self.settle(id, item, ItemOutcome::GivenUp, String::new(), reason);
            };
            activity.set_wait(ItemWait::Slot);
            // The route may change, or the item may expire, while it waits for a slot.
            let slot = self.acquire_slot(
                &service,
                times,
                &outgoing.demand,
                activity.progress_at(),
                output,
            );
            let Some(chosen) = slot.await else {
                continue;
            };
            if !self.may_send(id.partition) {
                continue;
            }
            output.resume_parked(&chosen.origin());
            let began = self.dispatcher.clock.now();
            activity.set_wait(ItemWait::Answer);
            let events_before = output.last_event();
            let attempt = self.attempt(run, &outgoing, &chosen, output).await;
            activity.set_wait(ItemWait::Retry);
            if output.last_event() != events_before {
                output.avoided.clear();
            } else if attempt.is_failure() {
                output.avoided.record_failure(&chosen.incarnation);
            }
            output.ran += self.dispatcher.clock.now().saturating_sub(began);
            match attempt {
                Attempt::Whole => {
                    if !output.is_taken_over {
                        self.run_time_estimate.record_run(output.ran);
                    }
                    let text = output.take_text();
                    return self.settle(id, item, ItemOutcome::Completed, text, "completed");
                }
                Attempt::Impossible => {
                    let reason = "worker answered that the item can never succeed";
                    return self.settle(id, item, ItemOutcome::GivenUp, String::new(), reason);
                }
                Attempt::Failed => {
                    let failed = FailedRun {
                        item: id.index,
                        run: output.record_failed_run(),
                    };
                    self.results.add_failed_run(id.partition, &id.job, failed);
                    if self.failure_count(id, output) < route.max_attempts {
                        tokio::time::sleep(FAILURE_DELAY).await;
                    }
                }
                Attempt::BrokenOff | Attempt::NotTaken => {
                    activity.record_failed_attempt();
                    tokio::time::sleep(FAILURE_DELAY).await;
                }
                Attempt::Interrupted => {}
            }
        }
    }

    /// Returns the content that identifies an item over all its sends; `None` if its path is not a valid URI.
    async fn request_content(
        &self,
        id: &ItemId,
        spec: &JobSpec,
        item: &ItemSpec,
    ) -> Result<Option<RequestContent>, BodyError> {
        let Ok(target) = item.path.parse::<Uri>() else {
            return Ok(None);
        };
        let body = self.body_of_item(id).await?;
        let identity = match &spec.tenant {
            Some(tenant) => Identity::Tenant(tenant.clone()),
            None => Identity::Unchecked,
        };
        let prompt = self.dispatcher.protocol.item_facts(item).prompt;
        Ok(Some(RequestContent::new(
            RequestOrigin::BatchItem,
            identity,
            &spec.host,
            Method::POST,
            target,
            body,
            &prompt,
        )))
    }

    /// Returns the configuration that decides what becomes of a job's items; `None` while only an older one is known here
    /// than that by which the job was accepted.
    fn configuration_for(&self, spec: &JobSpec) -> Option<Arc<Configuration>> {
        let configuration = self.dispatcher.fleet_state.configuration()?;
        let accepted_by = spec.configuration_version.unwrap_or_default();
        (configuration.version >= accepted_by).then_some(configuration)
    }

    /// Returns the output that the item's previous runner recorded; empty if there is none.
    pub(crate) fn recorded_output(&self, id: &ItemId) -> ItemOutput {
        let state = self.replay.state(id.partition);
        let progress = state
            .fold
            .job(&id.job)
            .and_then(|job| job.progress(id.index));
        progress.map_or_else(ItemOutput::default, ItemOutput::taken_over)
    }

    /// Returns the number of runs of an item that failed, at any gateway.
    fn failure_count(&self, id: &ItemId, output: &ItemOutput) -> u32 {
        let state = self.replay.state(id.partition);
        let job = state.fold.job(&id.job);
        output.failure_count(job.into_iter().flat_map(|job| job.failed_runs(id.index)))
    }

    /// Queues the item's progress for its next runner, unless the item has no output yet or is no longer open.
    pub(crate) fn hand_over_progress(&self, id: &ItemId, output: ItemOutput) {
        let Some(progress) = output.into_progress(id.index) else {
            return;
        };
        if !self.is_item_open(id) {
            return;
        }
        self.results.add_progress(id.partition, &id.job, progress);
    }

    fn settle(
        &self,
        id: &ItemId,
        item: &ItemSpec,
        outcome: ItemOutcome,
        text: String,
        reason: &str,
    ) {
        self.dispatcher.metrics.record_item(outcome);
        if outcome != ItemOutcome::Completed {
            log::info!(job = id.job.as_str(), item = item.id.as_str(), reason;
                "an item is given up");
        }
        let result = Settled {
            item: id.index,
            outcome,
            text,
        };
        let now = self.dispatcher.clock.now();
        self.results.add_result(id.partition, &id.job, result, now);
    }

    async fn attempt(
        &self,
        ItemRun { id, activity, .. }: ItemRun<'_>,
        outgoing: &OutgoingRequest,
        chosen: &ChosenWorker,
        output: &mut ItemOutput,
    ) -> Attempt {
        let item = outgoing.id.as_deref().unwrap_or("");
        let interrupt = self.running.set_worker(id, Some(&chosen.incarnation));
        let now = self.dispatcher.clock.now();
        let limits = SendLimits {
            deadline: now + ATTEMPT_TIMEOUT,
            caller_deadline: None,
            silence: Some(SILENCE_TIMEOUT),
        };
        let run = async {
            let sent = self
                .dispatcher
                .send(chosen, outgoing, output.last_event(), limits)
                .await;
            match sent {
                Ok(answer) => self.read_answer(answer, activity, output).await,
                Err(failure) => {
                    log::debug!(item, failure:% = failure; "an item's send failed");
                    if failure.did_not_run() {
                        Attempt::NotTaken
                    } else {
                        Attempt::BrokenOff
                    }
                }
            }
        };
        let attempt = tokio::select! {
            attempt = run => attempt,
            () = interrupt.cancelled() => Attempt::Interrupted,
        };
        self.running.set_worker(id, None);
        if !matches!(attempt, Attempt::Whole) {
            log::info!(job = id.job.as_str(), item,
                worker = chosen.incarnation.as_str(), attempt:? = attempt,
                last_event:? = output.last_event(); "an item's attempt ended");
        }
        attempt
    }

    /// Returns where the jobs of a tenant on a route may be handled by the configuration in force; anywhere before one
    /// is known.
    pub(super) fn residency_of(&self, route: &Route, tenant: Option<&TenantName>) -> Residency {
        let configuration = self.dispatcher.fleet_state.configuration();
        configuration.map_or_else(Residency::anywhere, |configuration| {
            configuration.residency_of(route, tenant)
        })
    }

    fn build_request(
        self: &Arc<Self>,
        id: &ItemId,
        spec: &JobSpec,
        item: &ItemSpec,
        request_content: &RequestContent,
        scope: OfferScope,
    ) -> Option<OutgoingRequest> {
        let protocol = &self.dispatcher.protocol;
        let facts = protocol.item_facts(item);
        let mut headers = protocol.item_headers(item);
        headers.insert("host", spec.host.parse().ok()?);
        Some(OutgoingRequest {
            id: Some(item.id.clone()),
            headers,
            demand: Demand {
                class: Class::Batch,
                prompt: facts.prompt,
                prompt_tokens: facts.prompt_tokens,
                scope,
                salt: rand::rng().next_u64(),
            },
            request_content: request_content.clone(),
            number_rule: NumberRule::Consecutive,
            permit: self.send_permit(id),
        })
    }

    /// Returns a permit that is valid while this gateway holds the item's partition, its view of the partition
    /// allows sends, and the item is open.
    fn send_permit(self: &Arc<Self>, id: &ItemId) -> SendPermit {
        let batch = Arc::clone(self);
        let id = id.clone();
        SendPermit::while_true(move || {
            batch.leases.holds(id.partition)
                && batch.may_send(id.partition)
                && batch.is_item_open(&id)
        })
    }

    async fn read_answer(
        &self,
        mut answer: Answer,
        activity: &ItemActivity,
        output: &mut ItemOutput,
    ) -> Attempt {
        let status = answer.head.status;
        // Other successes hold no output.
        if status != StatusCode::OK {
            let attempt = match status.as_u16() {
                422 if answer.facts.signed => Attempt::Impossible,
                500 => Attempt::Failed,
                _ => Attempt::BrokenOff,
            };
            answer.in_flight.set_outcome(match attempt {
                Attempt::Impossible => AttemptOutcome::Answered,
                _ => AttemptOutcome::Failed,
            });
            return attempt;
        }
        if !answer.is_signed_success() {
            answer.in_flight.set_outcome(AttemptOutcome::Broken);
            return Attempt::BrokenOff;
        }
        let read = self.read_events(&mut answer, activity, output).await;
        answer.record_number_break(&self.dispatcher);
        let whole = match read {
            Ok(()) => answer.check_stream_end(&self.dispatcher, true).await,
            Err(failure) => Err(failure),
        };
        match whole {
            Ok(()) => {
                answer.finish(&self.dispatcher);
                Attempt::Whole
            }
            Err(failure) => {
                crate::relay::record_failure(&mut answer, &failure);
                Attempt::BrokenOff
            }
        }
    }

    /// Appends events to the output until the body of the stream has ended.
    async fn read_events(
        &self,
        answer: &mut Answer,
        activity: &ItemActivity,
        output: &mut ItemOutput,
    ) -> Result<(), SendFailure> {
        let incarnation = answer.in_flight.chosen.incarnation.clone();
        answer.body.expect_events();
        let Answer {
            body, in_flight, ..
        } = answer;
        let bytes = futures_util::stream::unfold(body, |body| async move {
            let chunk = body.next_chunk().await?;
            Some((chunk.map(|chunk| chunk.bytes), body))
        });
        let mut events = std::pin::pin!(bytes.eventsource());
        let mut last_event_at = self.dispatcher.clock.now();
        loop {
            let event = match tokio::time::timeout(SILENCE_TIMEOUT, events.next()).await {
                Ok(event) => event,
                Err(_) => {
                    let now = self.dispatcher.clock.now();
                    let silence = self.dispatcher.worker_silence(&incarnation, now);
                    let is_silent = silence.unwrap_or(SILENCE_TIMEOUT) >= SILENCE_TIMEOUT;
                    if is_silent || now >= last_event_at + MAX_EVENT_WAIT {
                        return Err(SendFailure::Silent);
                    }
                    continue;
                }
            };
            last_event_at = self.dispatcher.clock.now();
            let event = match event {
                None => return Ok(()),
                Some(Err(error)) => {
                    return Err(SendFailure::Broken {
                        reason: error.to_string(),
                    });
                }
                Some(Ok(event)) => event,
            };
            in_flight.record_progress();
            activity.record_event(last_event_at);
            in_flight.record_received(event.data.len());
            output.append_event(&event)?;
            output.record_origin(|| in_flight.chosen.origin());
        }
    }
}

/// Weight of a new run in the moving average of run times.
const RUN_SMOOTHING: f64 = 0.1;

/// Moving average of the run times of items.
#[derive(Default)]
pub(crate) struct RunTimeEstimate {
    mean: Mutex<Option<Duration>>,
}

impl RunTimeEstimate {
    /// Returns the average run time; zero before the first run.
    fn expected(&self) -> Duration {
        lock(&self.mean).unwrap_or_default()
    }

    fn record_run(&self, ran: Duration) {
        let mut mean = lock(&self.mean);
        let before = mean.unwrap_or(ran);
        let updated = before.mul_f64(1.0 - RUN_SMOOTHING) + ran.mul_f64(RUN_SMOOTHING);
        *mean = Some(updated);
    }
}
