//! A single send of a request to one worker.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{HeaderMap, Request};
use swiftshunt_http::{
    EventNumbers, EventStreamBody, NumberRule, PermitOver, PermittedBody, SendPermit,
    is_final_status,
};
use swiftshunt_routing::Configuration;
use swiftshunt_scheduler::eligibility::Withheld;
use swiftshunt_scheduler::selection::{AttemptOutcome, ChosenWorker, Demand};
use swiftshunt_types::OutputOrigin;

use crate::answer_buffer::AnswerBuffers;
use crate::clock::Clock;
use crate::fleet_state::FleetState;
use crate::in_flight::InFlight;
use crate::interim_answers::InterimAnswers;
use crate::job_regions::JobRegions;
use crate::metrics::Metrics;
use crate::origins::StreamOrigins;
use crate::peers::Peers;
use crate::protocol::{AnswerFacts, Identity, Protocol, SendFacts};
use crate::quarantine::{Quarantine, RequestContent};
use crate::slots::Slots;
use crate::start_permits::{StartPermit, StartPermits};
use crate::upstream::{Sender, Upstream};
use crate::worker_answer::Answer;
use crate::worker_reach::WorkerReach;

/// Sends requests to workers; shared by all sends of this gateway.
pub(crate) struct Dispatcher {
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) fleet_state: Arc<FleetState>,
    pub(crate) upstream: Upstream,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) slots: Arc<Slots>,
    pub(crate) start_permits: Arc<StartPermits>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) origins: Arc<StreamOrigins>,
    pub(crate) job_regions: Arc<JobRegions>,
    pub(crate) worker_reach: Arc<WorkerReach>,
    pub(crate) answer_buffers: AnswerBuffers,
    pub(crate) clock: Clock,
}

/// A request as it is sent to any worker.
#[derive(Clone)]
pub(crate) struct OutgoingRequest {
    pub(crate) id: Option<String>,
    pub(crate) headers: HeaderMap,
    pub(crate) demand: Demand,
    /// The content, the same in every send.
    pub(crate) request_content: RequestContent,
    /// Which number may follow another one in the events of the answer.
    pub(crate) number_rule: NumberRule,
    /// The right to send the request, checked when the body is written: a process that was paused before that
    /// may have lost it.
    pub(crate) permit: SendPermit,
}

impl OutgoingRequest {
    /// Restricts the request to workers that may continue an output of this origin.
    pub(crate) fn continuing(mut self, origin: OutputOrigin) -> Self {
        self.demand.scope.origin = Some(origin);
        self
    }

    /// Restricts the request to the regions that a configuration allows for it.
    pub(crate) fn bind_residency(&mut self, configuration: &Configuration) {
        let path = self.request_content.target().path();
        let Some(route) = configuration.route(self.request_content.host(), path) else {
            return;
        };
        let tenant = match self.request_content.identity() {
            Identity::Tenant(name) => Some(name),
            Identity::Unchecked | Identity::Anyone => None,
        };
        self.demand.scope.residency = configuration.residency_of(route, tenant);
    }
}

/// The time limits of a send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendLimits {
    /// Time at which the request is given up, on the gateway's clock.
    pub(crate) deadline: Duration,
    /// Deadline that the worker gets in a header, on the gateway's clock; `None` if it gets none.
    pub(crate) caller_deadline: Option<Duration>,
    /// Time without activity of the worker, on all requests of this gateway, after which the send fails; `None`
    /// if the request may not be sent to another worker.
    pub(crate) silence: Option<Duration>,
}

/// Why a send ended without a usable answer.
#[derive(Clone, Debug, Display)]
pub(crate) enum SendFailure {
    /// The request is in quarantine, since too many workers ended while they ran it: no byte was sent.
    #[display("not sent: it is held, since {ends} workers ended while they ran it")]
    Held {
        /// Number of these workers.
        ends: usize,
    },
    /// The worker may not get the request: no byte was sent.
    #[display("not sent: {why}")]
    Withheld {
        /// The rule that forbids it.
        why: Withheld,
    },
    /// No byte was sent, since the connection failed, the deadline passed, or the send permit was no longer valid.
    #[display("not sent: {reason}")]
    NotSent {
        /// The error, for logs.
        reason: String,
    },
    /// The worker declared that it did not run the request.
    #[display("declined with status {status}")]
    Declined {
        /// Status of the worker's answer.
        status: u16,
    },
    /// The request was sent and there is no usable answer: it may have run.
    #[display("broken: {reason}")]
    Broken {
        /// The error, for logs.
        reason: String,
    },
    /// The worker showed no activity within the limit; the request may have run.
    #[display("the worker is silent")]
    Silent,
    /// The deadline of the request passed; it may have run.
    #[display("out of time")]
    OutOfTime,
}

impl SendFailure {
    /// Whether it is certain that the request did not run.
    pub(crate) fn did_not_run(&self) -> bool {
        matches!(
            self,
            Self::Held { .. }
                | Self::Withheld { .. }
                | Self::NotSent { .. }
                | Self::Declined { .. }
        )
    }
}

/// Multiple of the silence limit after which a request fails if its worker has begun requests that were sent
/// later. A lower multiple would fail long prompts, which are overtaken while the worker still reads them.
const OVERTAKEN_SILENCE_LIMITS: u32 = 4;
/// Interval between two checks of a silent worker.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Dispatcher {
    /// Sends a request to the chosen worker and waits for the head of the answer.
    pub(crate) async fn send(
        &self,
        chosen: &ChosenWorker,
        outgoing: &OutgoingRequest,
        last_event: Option<u64>,
        limits: SendLimits,
    ) -> Result<Answer, SendFailure> {
        if let Some(held) = self.quarantine.find_hold(&outgoing.request_content).await {
            return Err(SendFailure::Held { ends: held.ends });
        }
        self.check_eligibility(chosen, outgoing)?;
        let mut in_flight = InFlight::new(self, chosen, outgoing);
        let prompt = &outgoing.demand.prompt;
        let missing = chosen.missing_tokens;
        self.peers
            .notify_prompt(&chosen.service, &chosen.incarnation, prompt, missing);
        let sent = self.exchange(&in_flight, outgoing, last_event, limits);
        let outcome = tokio::select! {
            outcome = sent => outcome,
            failure = self.wait_until_limit(chosen, limits) => Err(failure),
        };
        let (response, sender) = match outcome {
            Ok(answered) => answered,
            Err(failure) => {
                in_flight.set_outcome(outcome_of(&failure));
                self.metrics.record_attempt(metric_label(&failure));
                return Err(failure);
            }
        };
        let (head, body) = response.into_parts();
        let facts = self.protocol.answer_facts(&head);
        let now = self.clock.now();
        if let Some(load) = facts.load {
            let mut selector = self.fleet_state.selector();
            selector.record_load(&chosen.incarnation, load, now);
        }
        let failure = self.refuse_answer(chosen, outgoing, &head, &facts);
        if let Some(failure) = failure {
            in_flight.set_outcome(outcome_of(&failure));
            self.metrics.record_attempt(metric_label(&failure));
            return Err(failure);
        }
        let numbers = EventNumbers::new(outgoing.number_rule, last_event);
        let body = EventStreamBody::new(&head.headers, body, numbers);
        Ok(Answer::new(head, facts, body, in_flight, sender))
    }

    /// Returns a failure if the worker declined the request, the answer belongs to another request, or its status is that of
    /// no final answer.
    fn refuse_answer(
        &self,
        chosen: &ChosenWorker,
        outgoing: &OutgoingRequest,
        head: &response::Parts,
        facts: &AnswerFacts,
    ) -> Option<SendFailure> {
        let status = head.status.as_u16();
        if !is_final_status(head.status) {
            return Some(SendFailure::Broken {
                reason: format!("status {status} is that of no final answer"),
            });
        }
        // An answer speaks of the request that it names: a surplus refusal of an earlier one refuses nothing else.
        if facts.request_id == outgoing.id {
            return facts.declined.then_some(SendFailure::Declined { status });
        }
        let now = self.clock.now();
        self.upstream.require_single_use(&chosen.incarnation, now);
        log::warn!(request = outgoing.id.as_deref().unwrap_or(""),
            worker = chosen.incarnation.as_str(),
            answered = facts.request_id.as_deref().unwrap_or("");
            "answer belongs to another request; for some time, using each connection to its worker only once");
        Some(SendFailure::Broken {
            reason: "the answer belongs to another request".to_owned(),
        })
    }

    async fn exchange(
        &self,
        in_flight: &InFlight,
        outgoing: &OutgoingRequest,
        last_event: Option<u64>,
        limits: SendLimits,
    ) -> Result<(hyper::Response<Incoming>, Sender), SendFailure> {
        let chosen = &in_flight.chosen;
        let permit = Some(self.ensure_start_permit(chosen, outgoing, None).await?);
        let idle = self
            .upstream
            .take_idle(&chosen.incarnation, self.clock.now());
        if let Some(mut sender) = idle {
            let request = self.build_request(chosen, outgoing, last_event, limits);
            in_flight.record_sent();
            match send_on(&mut sender, request).await {
                Ok(response) => return Ok((response, sender)),
                // No byte was sent: a new connection is tried below.
                Err(ConnectionFailure::Unsent { .. }) => {}
                Err(ConnectionFailure::Failed(failure)) => return Err(failure),
            }
        }
        let connected = self.upstream.connect(chosen.address).await;
        let mut sender = connected.map_err(|error| {
            if error.is_refused {
                self.quarantine.check_after_refusal(chosen);
            }
            SendFailure::NotSent {
                reason: error.to_string(),
            }
        })?;
        if self.clock.now() >= limits.deadline {
            return Err(SendFailure::NotSent {
                reason: "the deadline passed before the request was sent".to_owned(),
            });
        }
        self.ensure_start_permit(chosen, outgoing, permit).await?;
        let request = self.build_request(chosen, outgoing, last_event, limits);
        in_flight.record_sent();
        match send_on(&mut sender, request).await {
            Ok(response) => Ok((response, sender)),
            Err(ConnectionFailure::Unsent { reason }) => Err(SendFailure::NotSent { reason }),
            Err(ConnectionFailure::Failed(failure)) => Err(failure),
        }
    }

    /// Checks that the request may be sent now: the worker may get it, and for a cold worker there is a start
    /// permit, either `held` or a new one. Returns the permit.
    async fn ensure_start_permit(
        &self,
        chosen: &ChosenWorker,
        outgoing: &OutgoingRequest,
        held: Option<StartPermit>,
    ) -> Result<StartPermit, SendFailure> {
        let permit = self.start_permits.ensure_permit(chosen, held).await;
        self.check_eligibility(chosen, outgoing)?;
        permit.ok_or_else(|| withheld(chosen, outgoing, Withheld::Cold))
    }

    /// Checks that the worker may still get the request: the fleet state may have changed since it was chosen.
    fn check_eligibility(
        &self,
        chosen: &ChosenWorker,
        outgoing: &OutgoingRequest,
    ) -> Result<(), SendFailure> {
        let selector = self.fleet_state.selector();
        let offered = selector.may_offer(&chosen.incarnation, &outgoing.demand.scope);
        offered.map_err(|why| withheld(chosen, outgoing, why))
    }

    fn build_request(
        &self,
        chosen: &ChosenWorker,
        outgoing: &OutgoingRequest,
        last_event: Option<u64>,
        limits: SendLimits,
    ) -> Request<PermittedBody> {
        let mut headers = outgoing.headers.clone();
        let now = self.clock.now();
        let facts = SendFacts {
            worker: &chosen.id,
            time_left: limits
                .caller_deadline
                .map(|deadline| deadline.saturating_sub(now)),
            last_event,
            identity: outgoing.request_content.identity(),
        };
        self.protocol.set_worker_headers(&mut headers, &facts);
        let body = PermittedBody::new(
            outgoing.request_content.body().clone(),
            outgoing.permit.clone(),
        );
        let mut request = Request::new(body);
        *request.method_mut() = outgoing.request_content.method().clone();
        *request.uri_mut() = outgoing.request_content.target().clone();
        *request.headers_mut() = headers;
        request
    }

    /// Waits until a limit of the send is reached, and returns the failure.
    async fn wait_until_limit(&self, chosen: &ChosenWorker, limits: SendLimits) -> SendFailure {
        let started = self.clock.now();
        let now = started;
        let Some(silence) = limits.silence else {
            tokio::time::sleep(limits.deadline.saturating_sub(now)).await;
            return SendFailure::OutOfTime;
        };
        tokio::time::sleep(silence.min(limits.deadline.saturating_sub(now))).await;
        loop {
            let now = self.clock.now();
            if now >= limits.deadline {
                return SendFailure::OutOfTime;
            }
            let worker_silence = self.worker_silence(&chosen.incarnation, now);
            let waited = now.saturating_sub(started);
            let hangs =
                waited >= silence * OVERTAKEN_SILENCE_LIMITS && self.has_overtaken(chosen, started);
            if hangs || worker_silence.unwrap_or(waited) >= silence {
                return SendFailure::Silent;
            }
            tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
        }
    }

    /// Whether the worker has begun requests that were sent after `sent_at`.
    fn has_overtaken(&self, chosen: &ChosenWorker, sent_at: Duration) -> bool {
        let selector = self.fleet_state.selector();
        selector.has_overtaken(&chosen.incarnation, sent_at)
    }

    /// Returns the time since the last activity of a worker on any request of this gateway; `None` if the
    /// worker is no longer listed.
    pub(crate) fn worker_silence(&self, incarnation: &str, now: Duration) -> Option<Duration> {
        self.fleet_state.selector().silence(incarnation, now)
    }
}

/// Why a connection brought no answer.
enum ConnectionFailure {
    /// No byte of the request was sent.
    Unsent {
        /// The error, for logs.
        reason: String,
    },
    /// The request may have been sent.
    Failed(SendFailure),
}

/// Sends a request on a connection and waits for the head of the answer.
async fn send_on(
    sender: &mut Sender,
    mut request: Request<PermittedBody>,
) -> Result<hyper::Response<Incoming>, ConnectionFailure> {
    let interim_answers = InterimAnswers::count_for(&mut request);
    let sent = tokio::select! {
        sent = sender.try_send_request(request) => sent,
        () = interim_answers.exceed_limit() => {
            return Err(ConnectionFailure::Failed(SendFailure::Broken {
                reason: "the worker sent too many interim answers".to_owned(),
            }));
        }
    };
    sent.map_err(|mut error| match error.take_message() {
        Some(_) => ConnectionFailure::Unsent {
            reason: error.error().to_string(),
        },
        None => ConnectionFailure::Failed(send_failure(error.error())),
    })
}

/// Logs that a worker may not get a request, and returns the failure.
fn withheld(chosen: &ChosenWorker, outgoing: &OutgoingRequest, why: Withheld) -> SendFailure {
    log::info!(request = outgoing.id.as_deref().unwrap_or(""),
        worker = chosen.incarnation.as_str(), why:% = why; "send withheld, since the worker may not get the request");
    SendFailure::Withheld { why }
}

/// Returns the failure of a request that was handed to a connection.
fn send_failure(error: &hyper::Error) -> SendFailure {
    if PermitOver::caused(error) {
        let reason = PermitOver.to_string();
        return SendFailure::NotSent { reason };
    }
    broken(error)
}

fn broken(error: &hyper::Error) -> SendFailure {
    SendFailure::Broken {
        reason: error.to_string(),
    }
}

fn outcome_of(failure: &SendFailure) -> AttemptOutcome {
    match failure {
        SendFailure::Held { .. } | SendFailure::Withheld { .. } => AttemptOutcome::Cancelled,
        SendFailure::NotSent { .. } => AttemptOutcome::Unreachable,
        SendFailure::Declined { .. } => AttemptOutcome::Declined,
        SendFailure::Broken { .. } => AttemptOutcome::Broken,
        SendFailure::Silent | SendFailure::OutOfTime => AttemptOutcome::TimedOut,
    }
}

fn metric_label(failure: &SendFailure) -> &'static str {
    match failure {
        SendFailure::Held { .. } => "held",
        SendFailure::Withheld { .. } => "withheld",
        SendFailure::NotSent { .. } => "not_sent",
        SendFailure::Declined { .. } => "declined",
        SendFailure::Broken { .. } => "broken",
        SendFailure::Silent => "silent",
        SendFailure::OutOfTime => "out_of_time",
    }
}
