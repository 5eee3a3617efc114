//! One send of a request to one worker.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{HeaderMap, Request, StatusCode};
use swiftshunt_http::{PermitOver, PermittedBody, SendPermit};
use swiftshunt_routing::Configuration;
use swiftshunt_scheduler::eligibility::Withheld;
use swiftshunt_scheduler::selection::{AttemptOutcome, ChosenWorker, Demand};

use crate::clock::Clock;
use crate::fleet_state::FleetState;
use crate::in_flight::InFlight;
use crate::job_regions::JobRegions;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::protocol::{AnswerFacts, Identity, Protocol, SendFacts};
use crate::quarantine::{Quarantine, RequestContent};
use crate::slots::Slots;
use crate::start_permits::{StartPermit, StartPermits};
use crate::upstream::{Sender, Upstream};

/// What every send needs.
pub(crate) struct Dispatcher {
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) fleet_state: Arc<FleetState>,
    pub(crate) upstream: Upstream,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) slots: Arc<Slots>,
    pub(crate) start_permits: Arc<StartPermits>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) job_regions: Arc<JobRegions>,
    pub(crate) clock: Clock,
}

/// A request as it goes to any worker.
#[derive(Clone)]
pub(crate) struct OutgoingRequest {
    pub(crate) id: Option<String>,
    pub(crate) headers: HeaderMap,
    pub(crate) demand: Demand,
    /// What it is, however often it is sent.
    pub(crate) request_content: RequestContent,
    /// Until when it may be sent: a process that stood still on the way to a worker may have lost the right.
    pub(crate) permit: SendPermit,
}

impl OutgoingRequest {
    /// Binds the request to the regions that a configuration allows for it.
    pub(crate) fn bind_residency(&mut self, configuration: &Configuration) {
        let path = self.request_content.target().path();
        let Some(route) = configuration.route(self.request_content.host(), path) else {
            return;
        };
        let tenant = match self.request_content.identity() {
            Identity::Tenant(name) => Some(name),
            Identity::Unchecked | Identity::Anyone => None,
        };
        self.demand.residency = configuration.residency_of(route, tenant);
    }
}

/// How long a send may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendLimits {
    /// When the request is given up, on the gateway's clock.
    pub(crate) deadline: Duration,
    /// What the worker is told, if it is to be told a time.
    pub(crate) caller_deadline: Option<Duration>,
    /// Silence of the worker, on all requests of this gateway, after which the request is taken
    /// away from it; none if it may not go elsewhere.
    pub(crate) silence: Option<Duration>,
}

/// How a send ended before there was a usable head of an answer.
#[derive(Clone, Debug, Display)]
pub(crate) enum SendFailure {
    /// The request has ended too many workers: no byte was sent.
    #[display("not sent: it is held, since {ends} workers ended while they ran it")]
    Held {
        /// How many.
        ends: usize,
    },
    /// The worker may not be offered it: no byte was sent.
    #[display("not sent: {why}")]
    Withheld {
        /// Why.
        why: Withheld,
    },
    /// No byte was sent.
    #[display("not sent: {reason}")]
    NotSent {
        /// Why.
        reason: String,
    },
    /// The worker declared that it did not run the request.
    #[display("declined with status {status}")]
    Declined {
        /// Its status.
        status: u16,
    },
    /// The request was sent and there is no answer: it may have run.
    #[display("broken: {reason}")]
    Broken {
        /// Why.
        reason: String,
    },
    /// The worker was silent for too long.
    #[display("the worker is silent")]
    Silent,
    /// The time of the request is over.
    #[display("out of time")]
    OutOfTime,
}

impl SendFailure {
    /// Whether the request surely did not run.
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

/// A worker's answer whose head is there.
pub(crate) struct Answer {
    pub(crate) head: response::Parts,
    pub(crate) facts: AnswerFacts,
    pub(crate) body: Incoming,
    pub(crate) in_flight: InFlight,
    sender: Sender,
}

impl Answer {
    /// Whether it is a success that counts: the worker vouches for it, and the body is as the
    /// worker made it.
    pub(crate) fn is_signed_success(&self) -> bool {
        self.head.status.is_success()
            && self.facts.signed
            && !self.head.headers.contains_key("content-encoding")
    }

    /// The answer was read to its end.
    pub(crate) fn finish(self, dispatcher: &Dispatcher) {
        let Self {
            head,
            facts,
            mut in_flight,
            sender,
            ..
        } = self;
        in_flight.set_ending(ending_by_status(head.status));
        if head.status.is_success() {
            dispatcher
                .quarantine
                .record_success(&in_flight.request_content);
        }
        let now = dispatcher.clock.now();
        let incarnation = &in_flight.chosen.incarnation;
        dispatcher
            .upstream
            .return_idle(incarnation, sender, facts.keep_alive, now);
    }

    /// Reads the whole body, up to `limit` bytes.
    pub(crate) async fn read_body(&mut self, limit: usize) -> Result<Bytes, String> {
        let mut whole = bytes::BytesMut::new();
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.in_flight.record_progress();
            self.in_flight.record_received(data.len());
            if whole.len() + data.len() > limit {
                return Err("the answer is too long".to_owned());
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }
}

/// Limits of silence after which a request that was overtaken counts as left hanging: long prompts
/// are overtaken without being left.
const HANGING: u32 = 4;
/// Pause between looks at a worker that is silent.
const SILENCE_CHECK: Duration = Duration::from_millis(50);

impl Dispatcher {
    /// Sends to the chosen worker and waits for the head of the answer.
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
        self.may_offer(chosen, outgoing)?;
        let mut in_flight = InFlight::new(self, chosen, outgoing);
        let prompt = &outgoing.demand.prompt;
        let missing = chosen.missing_tokens;
        self.peers
            .notify_prompt(&chosen.service, &chosen.incarnation, prompt, missing);
        let sent = self.exchange(chosen, outgoing, last_event, limits);
        let outcome = tokio::select! {
            outcome = sent => outcome,
            failure = self.wait_until_limit(chosen, limits) => Err(failure),
        };
        let (response, sender) = match outcome {
            Ok(answered) => answered,
            Err(failure) => {
                in_flight.set_ending(ending_of(&failure));
                self.metrics.record_attempt(name_of(&failure));
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
            in_flight.set_ending(ending_of(&failure));
            self.metrics.record_attempt(name_of(&failure));
            return Err(failure);
        }
        Ok(Answer {
            head,
            facts,
            body,
            in_flight,
            sender,
        })
    }

    /// Why an answer is no answer to this request.
    fn refuse_answer(
        &self,
        chosen: &ChosenWorker,
        outgoing: &OutgoingRequest,
        head: &response::Parts,
        facts: &AnswerFacts,
    ) -> Option<SendFailure> {
        if facts.declined {
            return Some(SendFailure::Declined {
                status: head.status.as_u16(),
            });
        }
        if facts.request_id == outgoing.id {
            return None;
        }
        let now = self.clock.now();
        self.upstream.require_single_use(&chosen.incarnation, now);
        log::warn!(request = outgoing.id.as_deref().unwrap_or(""),
            worker = chosen.incarnation.as_str(),
            answered = facts.request_id.as_deref().unwrap_or("");
            "an answer belongs to another request");
        Some(SendFailure::Broken {
            reason: "the answer belongs to another request".to_owned(),
        })
    }

    async fn exchange(
        &self,
        chosen: &ChosenWorker,
        outgoing: &OutgoingRequest,
        last_event: Option<u64>,
        limits: SendLimits,
    ) -> Result<(hyper::Response<Incoming>, Sender), SendFailure> {
        let start = Some(self.start(chosen, outgoing, None).await?);
        let resting = self
            .upstream
            .take_idle(&chosen.incarnation, self.clock.now());
        if let Some(mut sender) = resting {
            let request = self.request(chosen, outgoing, last_event, limits);
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, sender)),
                // If nothing of it was sent, a new connection serves as well.
                Err(mut error) => {
                    if error.take_message().is_none() {
                        return Err(send_failure(error.error()));
                    }
                }
            }
        }
        let connected = self.upstream.connect(chosen.address).await;
        let mut sender = connected.map_err(|error| SendFailure::NotSent {
            reason: error.to_string(),
        })?;
        if self.clock.now() >= limits.deadline {
            return Err(SendFailure::NotSent {
                reason: "the time was over before it was sent".to_owned(),
            });
        }
        self.start(chosen, outgoing, start).await?;
        let request = self.request(chosen, outgoing, last_event, limits);
        match sender.try_send_request(request).await {
            Ok(response) => Ok((response, sender)),
            Err(mut error) => {
                if error.take_message().is_none() {
                    return Err(send_failure(error.error()));
                }
                Err(SendFailure::NotSent {
                    reason: error.error().to_string(),
                })
            }
        }
    }

    /// Whether the request may be sent now: the worker may be offered it, and if it is cold, there is a start
    /// there, `held` from before or a new one.
    async fn start(
        &self,
        chosen: &ChosenWorker,
        outgoing: &OutgoingRequest,
        held: Option<StartPermit>,
    ) -> Result<StartPermit, SendFailure> {
        let start = self.start_permits.ensure_permit(chosen, held).await;
        self.may_offer(chosen, outgoing)?;
        start.ok_or_else(|| withheld(chosen, outgoing, Withheld::Cold))
    }

    /// Whether the worker may still be offered the request: it was chosen a moment ago.
    fn may_offer(
        &self,
        chosen: &ChosenWorker,
        outgoing: &OutgoingRequest,
    ) -> Result<(), SendFailure> {
        let selector = self.fleet_state.selector();
        let offered = selector.may_offer(&chosen.incarnation, &outgoing.demand.residency);
        offered.map_err(|why| withheld(chosen, outgoing, why))
    }

    fn request(
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

    /// Ends when the request is to be taken away from the worker.
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
            let quiet = self.worker_silence(&chosen.incarnation, now);
            let waited = now.saturating_sub(started);
            let hangs = waited >= silence * HANGING && self.has_overtaken(chosen, started);
            if hangs || quiet.unwrap_or(waited) >= silence {
                return SendFailure::Silent;
            }
            tokio::time::sleep(SILENCE_CHECK).await;
        }
    }

    /// Whether the worker has begun requests that were sent after `sent_at`.
    fn has_overtaken(&self, chosen: &ChosenWorker, sent_at: Duration) -> bool {
        let selector = self.fleet_state.selector();
        selector.has_overtaken(&chosen.incarnation, sent_at)
    }

    /// How long a worker has given no sign of life on any request of this gateway.
    pub(crate) fn worker_silence(&self, incarnation: &str, now: Duration) -> Option<Duration> {
        self.fleet_state.selector().silence(incarnation, now)
    }
}

/// The failure of a send that the worker may not be offered, logged.
fn withheld(chosen: &ChosenWorker, outgoing: &OutgoingRequest, why: Withheld) -> SendFailure {
    log::info!(request = outgoing.id.as_deref().unwrap_or(""),
        worker = chosen.incarnation.as_str(), why:% = why; "a send is withheld");
    SendFailure::Withheld { why }
}

/// What a whole answer says of its worker: errors of its own count against it, also where the
/// answer is passed on; a worker that errs at once would else look idle and draw requests.
fn ending_by_status(status: StatusCode) -> AttemptOutcome {
    if status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    }
}

/// The failure of a request that was handed to a connection.
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

fn ending_of(failure: &SendFailure) -> AttemptOutcome {
    match failure {
        SendFailure::Held { .. } | SendFailure::Withheld { .. } => AttemptOutcome::Cancelled,
        SendFailure::NotSent { .. } => AttemptOutcome::Unreachable,
        SendFailure::Declined { .. } => AttemptOutcome::Declined,
        SendFailure::Broken { .. } => AttemptOutcome::Broken,
        SendFailure::Silent | SendFailure::OutOfTime => AttemptOutcome::TimedOut,
    }
}

fn name_of(failure: &SendFailure) -> &'static str {
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
