//! Records what a node observes of its workers: the requests that it sends, and their outcomes.

use std::time::Duration;

use crate::candidate::Candidate;
use crate::prefix_cache::PromptPart;
use crate::selection::{AttemptOutcome, ChosenWorker, Class, Demand, ReportedLoad, Selector};

/// Weight of a new observation in a moving average.
const SMOOTHING: f64 = 0.2;
/// Time without a first event after which an overtaken request counts as hanging.
const HANGING_TIMEOUT: Duration = Duration::from_secs(2);
/// Fewest missing tokens of a prompt from which its time to the first event is a sample of the
/// prefill rate.
const MIN_RATE_SAMPLE_TOKENS: u64 = 2_000;

impl Selector {
    /// Returns a worker that is listed, or that was listed when a request of this node was sent to it.
    fn get_mut(&mut self, incarnation: &str) -> Option<&mut Candidate> {
        let listed = self.candidates.get_mut(incarnation);
        listed.or_else(|| self.unlisted.get_mut(incarnation))
    }

    /// Records that this node sends a request to a worker.
    pub fn record_send(&mut self, chosen: &ChosenWorker, demand: &Demand, now: Duration) {
        let Some(candidate) = self.get_mut(&chosen.incarnation) else {
            return;
        };
        if candidate.own_requests() == 0 {
            candidate.record_activity(now);
        }
        match demand.class {
            Class::Online => candidate.own_online += 1,
            Class::Batch => candidate.own_batch += 1,
        }
        candidate.pending_tokens += chosen.missing_tokens;
        candidate.pending_since.push(now);
        candidate.prefix_cache.record_prompt(&demand.prompt);
    }

    /// Records that another node sent a prompt to a worker, which has to prefill `missing_tokens`
    /// of it.
    pub fn record_peer_send(
        &mut self,
        incarnation: &str,
        prompt: &[PromptPart],
        missing_tokens: u64,
        now: Duration,
    ) {
        let Some(candidate) = self.candidates.get(incarnation) else {
            return;
        };
        let prefill = self.prefill_time(&candidate.entry.service, missing_tokens);
        if let Some(candidate) = self.get_mut(incarnation) {
            candidate.add_peer_prefill(prefill, now);
            candidate.prefix_cache.record_prompt(prompt);
        }
    }

    /// Records activity of a worker.
    pub fn record_activity(&mut self, incarnation: &str, now: Duration) {
        if let Some(candidate) = self.get_mut(incarnation) {
            candidate.record_activity(now);
        }
    }

    /// Records the load that a response reported.
    pub fn record_load(&mut self, incarnation: &str, load: ReportedLoad, now: Duration) {
        if let Some(candidate) = self.get_mut(incarnation) {
            let own = candidate.own_requests();
            candidate.last_report = Some((load, own, now));
        }
    }

    /// Records that the first event of a request came after `waited`.
    pub fn record_first_event(&mut self, chosen: &ChosenWorker, waited: Duration, now: Duration) {
        let Some(candidate) = self.get_mut(&chosen.incarnation) else {
            return;
        };
        candidate.record_activity(now);
        let sent_at = now.saturating_sub(waited);
        candidate.latest_started_sent_at = candidate.latest_started_sent_at.max(sent_at);
        candidate.remove_pending(sent_at, chosen.missing_tokens);
        if chosen.missing_tokens < MIN_RATE_SAMPLE_TOKENS {
            return;
        }
        let rate = chosen.missing_tokens as f64 / (waited.as_secs_f64() * 1e3).max(1.0);
        let service = candidate.entry.service.clone();
        let times = self.services.entry(service).or_default();
        times.prefill_rate += SMOOTHING * (rate - times.prefill_rate);
    }

    /// Records the outcome of a request that was at a worker for `held`. `had_first_event` says
    /// whether [`Selector::record_first_event`] was called for the request.
    pub fn record_outcome(
        &mut self,
        chosen: &ChosenWorker,
        class: Class,
        outcome: AttemptOutcome,
        had_first_event: bool,
        held: Duration,
        now: Duration,
    ) {
        self.observe_outcome(chosen, class, outcome, had_first_event, held, now);
        let unlisted = self.unlisted.get(&chosen.incarnation);
        if unlisted.is_some_and(|candidate| candidate.own_requests() == 0) {
            self.unlisted.remove(&chosen.incarnation);
        }
    }

    fn observe_outcome(
        &mut self,
        chosen: &ChosenWorker,
        class: Class,
        outcome: AttemptOutcome,
        had_first_event: bool,
        held: Duration,
        now: Duration,
    ) {
        let Some(candidate) = self.get_mut(&chosen.incarnation) else {
            return;
        };
        match class {
            Class::Online => candidate.own_online = candidate.own_online.saturating_sub(1),
            Class::Batch => candidate.own_batch = candidate.own_batch.saturating_sub(1),
        }
        let sent_at = now.saturating_sub(held);
        if !had_first_event {
            candidate.remove_pending(sent_at, chosen.missing_tokens);
        }
        let was_hanging =
            !had_first_event && held >= HANGING_TIMEOUT && candidate.has_overtaken(sent_at);
        candidate.cold_suspicion.observe(outcome, now);
        match outcome {
            AttemptOutcome::Answered => {
                candidate.observe_failure(false, now);
                candidate.failures_in_row = 0;
                candidate.ejected_until = Duration::ZERO;
                candidate.record_activity(now);
                if class == Class::Online {
                    let service = candidate.entry.service.clone();
                    let held_ms = held.as_secs_f64() * 1e3;
                    if !chosen.has_prompt {
                        let own = candidate.duration_ms.get_or_insert(held_ms);
                        *own += SMOOTHING * (held_ms - *own);
                    }
                    let times = self.services.entry(service).or_default();
                    times.duration_ms += SMOOTHING / 4.0 * (held_ms - times.duration_ms);
                }
            }
            AttemptOutcome::Declined => candidate.record_activity(now),
            AttemptOutcome::Broken | AttemptOutcome::Failed => candidate.observe_failure(true, now),
            AttemptOutcome::Unreachable => candidate.eject(now),
            AttemptOutcome::TimedOut => {
                candidate.observe_failure(true, now);
                candidate.eject(now);
            }
            AttemptOutcome::Cancelled if was_hanging => candidate.observe_failure(true, now),
            AttemptOutcome::Cancelled => {}
        }
    }
}
