//! A caller's request on its way through the gateway: where it was sent, and whether it may go on.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use swiftshunt_routing::{Repeat, Route};
use swiftshunt_scheduler::selection::ChosenWorker;

use crate::attempt::{OutgoingRequest, SendFailure};
use crate::protocol::RequestFacts;

/// Silence of a worker that is never a reason to take a request away.
const SHORTEST_SILENCE: Duration = Duration::from_millis(600);

/// What was known when a request was sent to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastSend {
    /// When, on the gateway's clock.
    pub(crate) at: Duration,
    /// Prompt tokens that the worker was expected to read for it.
    pub(crate) missing_tokens: u64,
    /// How long it was expected to read, what waited there included.
    pub(crate) expected_prefill: Duration,
}

/// A request on its way.
pub(crate) struct RequestContext {
    pub(crate) route: Arc<Route>,
    pub(crate) service: String,
    /// The version of the configuration by which it may be handled where it may.
    pub(crate) residency_version: u64,
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) facts: RequestFacts,
    pub(crate) arrived: Duration,
    pub(crate) deadline: Duration,
    pub(crate) tried: Vec<String>,
    pub(crate) last_send: Option<LastSend>,
    /// Sends after which the request may have run.
    pub(crate) runs: u32,
    /// Whether a worker has declined it since all were asked last.
    pub(crate) was_declined: bool,
}

impl RequestContext {
    /// Its identifier, for the log.
    pub(crate) fn id(&self) -> &str {
        self.outgoing.id.as_deref().unwrap_or("")
    }

    /// When the caller gives up, if it said so: what workers are told.
    pub(crate) fn caller_deadline(&self) -> Option<Duration> {
        let timeout = self.facts.caller_timeout;
        timeout.map(|timeout| self.arrived + timeout)
    }

    /// Whether the route lets it run again at all.
    pub(crate) fn may_run_again(&self) -> bool {
        let again = self.route.repeat == Repeat::Allowed || self.route.resumable;
        again && self.runs + 1 < self.route.max_attempts
    }

    /// Whether it goes to another worker after a send after which it may have run.
    pub(crate) fn may_repeat(&self) -> bool {
        let again = self.route.repeat == Repeat::Allowed || self.route.resumable;
        again && self.runs < self.route.max_attempts
    }

    /// Silence of a worker after which the request is taken away from it.
    pub(crate) fn silence_limit(&self) -> Duration {
        let pause = self.route.pause_target.unwrap_or_default();
        self.route.objective.max(pause).max(SHORTEST_SILENCE)
    }

    /// It goes to a worker now.
    pub(crate) fn record_send(&mut self, chosen: &ChosenWorker, now: Duration) {
        self.tried.push(chosen.incarnation.clone());
        self.last_send = Some(LastSend {
            at: now,
            missing_tokens: chosen.missing_tokens,
            expected_prefill: chosen.expected_prefill,
        });
    }

    /// Logs that it was answered `waited` after it came, with what tells why it took that long: when it
    /// was sent last, and what the worker had to read for it.
    pub(crate) fn log_answered(&self, status: StatusCode, waited: Duration) {
        let worker = self.tried.last().map_or("", String::as_str);
        let sent = self.last_send.as_ref();
        let sent_after = sent.map_or(Duration::ZERO, |sent| sent.at.saturating_sub(self.arrived));
        let missing_tokens = sent.map_or(0, |sent| sent.missing_tokens);
        let reading = sent.map_or(Duration::ZERO, |sent| sent.expected_prefill);
        log::info!(request = self.id(), route = self.route.name.as_str(), worker,
            sends = self.tried.len(), status = status.as_u16(), waited_ms = waited.as_millis() as u64,
            sent_after_ms = sent_after.as_millis() as u64,
            prompt_tokens = self.outgoing.demand.prompt_tokens, missing_tokens,
            reading_ms = reading.as_millis() as u64; "answered");
    }

    /// Logs that a send of it failed.
    pub(crate) fn log_failure(&self, chosen: &ChosenWorker, failure: &SendFailure) {
        log::info!(request = self.id(), worker = chosen.incarnation.as_str(),
            address = chosen.address.to_string().as_str(),
            failure:% = failure, sends = self.tried.len(),
            fingerprint:% = self.outgoing.request_content.fingerprint(); "a send failed");
    }
}
