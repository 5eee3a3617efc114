//! The state of an online request in the gateway: the workers it was sent to, and whether it may be sent again.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use swiftshunt_routing::{Repeat, Route};
use swiftshunt_scheduler::selection::ChosenWorker;

use crate::attempt::{OutgoingRequest, SendFailure};
use crate::protocol::RequestFacts;

/// Lower bound of the time without activity of a worker after which a request is sent to another one.
const MIN_SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// Time and estimates of the last send of a request to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastSend {
    /// Time of the send, on the gateway's clock.
    pub(crate) at: Duration,
    /// Number of prompt tokens that the worker was expected not to have in its prefix cache.
    pub(crate) missing_tokens: u64,
    /// Expected time until the worker has read the prompt, including the work queued there before it.
    pub(crate) expected_prefill: Duration,
}

/// An online request between its arrival and its answer.
pub(crate) struct RequestContext {
    pub(crate) route: Arc<Route>,
    pub(crate) service: String,
    /// Version of the configuration that gave the regions in which the request may be handled.
    pub(crate) residency_version: u64,
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) facts: RequestFacts,
    pub(crate) arrived: Duration,
    pub(crate) deadline: Duration,
    pub(crate) tried: Vec<String>,
    pub(crate) last_send: Option<LastSend>,
    /// Number of sends after which the request may have run.
    pub(crate) runs: u32,
    /// Whether a worker has declined the request since `tried` was cleared last.
    pub(crate) was_declined: bool,
}

impl RequestContext {
    /// Returns the identifier of the request for logs; empty if the caller sent none.
    pub(crate) fn id(&self) -> &str {
        self.outgoing.id.as_deref().unwrap_or("")
    }

    /// Returns the identifier of the caller's attempt that brought the first event of the stream: an earlier one if the
    /// caller takes the stream up, else this one. `None` if the caller sent no identifier.
    pub(crate) fn first_attempt(&self) -> Option<&str> {
        let earlier = self
            .facts
            .last_event
            .and(self.facts.first_attempt.as_deref());
        earlier.or(self.outgoing.id.as_deref())
    }

    /// Returns the time at which the caller gives up, from which the deadline header for workers is derived; `None`
    /// if the caller sent no timeout.
    pub(crate) fn caller_deadline(&self) -> Option<Duration> {
        let timeout = self.facts.caller_timeout;
        timeout.map(|timeout| self.arrived + timeout)
    }

    /// Whether the route allows another attempt after the next one.
    pub(crate) fn may_repeat_after_next(&self) -> bool {
        let is_repeatable = self.route.repeat == Repeat::Allowed || self.route.resumable;
        is_repeatable && self.runs + 1 < self.route.max_attempts
    }

    /// Whether the route allows another attempt, although the request may have run.
    pub(crate) fn may_repeat(&self) -> bool {
        let is_repeatable = self.route.repeat == Repeat::Allowed || self.route.resumable;
        is_repeatable && self.runs < self.route.max_attempts
    }

    /// Returns the time without activity of a worker after which the request is sent to another one.
    pub(crate) fn silence_limit(&self) -> Duration {
        let pause = self.route.pause_target.unwrap_or_default();
        self.route.objective.max(pause).max(MIN_SILENCE_LIMIT)
    }

    /// Records that the request is sent to a worker now.
    pub(crate) fn record_send(&mut self, chosen: &ChosenWorker, now: Duration) {
        self.tried.push(chosen.incarnation.clone());
        self.last_send = Some(LastSend {
            at: now,
            missing_tokens: chosen.missing_tokens,
            expected_prefill: chosen.expected_prefill,
        });
    }

    /// Logs that the request was answered `waited` after its arrival, with the figures that explain this time:
    /// when it was sent last, and how many prompt tokens the worker had to read.
    pub(crate) fn log_answered(&self, status: StatusCode, waited: Duration) {
        let worker = self.tried.last().map_or("", String::as_str);
        let sent = self.last_send.as_ref();
        let sent_after = sent.map_or(Duration::ZERO, |sent| sent.at.saturating_sub(self.arrived));
        let missing_tokens = sent.map_or(0, |sent| sent.missing_tokens);
        let expected_prefill = sent.map_or(Duration::ZERO, |sent| sent.expected_prefill);
        log::info!(request = self.id(), route = self.route.name.as_str(), worker,
            sends = self.tried.len(), status = status.as_u16(), waited_ms = waited.as_millis() as u64,
            sent_after_ms = sent_after.as_millis() as u64,
            prompt_tokens = self.outgoing.demand.prompt_tokens, missing_tokens,
            reading_ms = expected_prefill.as_millis() as u64; "answered");
    }

    /// Logs that a send of the request failed.
    pub(crate) fn log_failure(&self, chosen: &ChosenWorker, failure: &SendFailure) {
        log::info!(request = self.id(), worker = chosen.incarnation.as_str(),
            address = chosen.address.to_string().as_str(),
            failure:% = failure, sends = self.tried.len(),
            fingerprint:% = self.outgoing.request_content.fingerprint(); "a send failed");
    }
}
