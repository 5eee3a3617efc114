//! What a node observes of its workers: what it sends, and what comes back.

use std::time::Duration;

use crate::candidate::Candidate;
use crate::prompt_memory::PromptPart;
use crate::selection::{Chosen, Class, Demand, Ending, Selector, ToldLoad};

/// Weight of a new observation in a moving average.
const SMOOTHING: f64 = 0.2;
/// Time without a first event after which a request that was overtaken counts as left hanging.
const HANGING: Duration = Duration::from_secs(2);
/// Prompts whose missing part is at least this long show the rate.
const RATE_SAMPLE_TOKENS: u64 = 2_000;

impl Selector {
    fn get_mut(&mut self, incarnation: &str) -> Option<&mut Candidate> {
        self.candidates.get_mut(incarnation)
    }

    /// Records that a request goes to a worker.
    pub fn sent(&mut self, chosen: &Chosen, demand: &Demand, now: Duration) {
        let Some(candidate) = self.get_mut(&chosen.incarnation) else {
            return;
        };
        if candidate.own() == 0 {
            candidate.heard(now);
        }
        match demand.class {
            Class::Online => candidate.own_online += 1,
            Class::Batch => candidate.own_batch += 1,
        }
        candidate.pending_tokens += chosen.missing_tokens;
        candidate.pending_since.push(now);
        candidate.memory.touch(&demand.prompt);
    }

    /// Records that another node has sent a worker a prompt of which it is to read
    /// `missing_tokens`.
    pub fn sent_by_another(
        &mut self,
        incarnation: &str,
        prompt: &[PromptPart],
        missing_tokens: u64,
        now: Duration,
    ) {
        let Some(candidate) = self.candidates.get(incarnation) else {
            return;
        };
        let reading = self.prefill_time(&candidate.entry.service, missing_tokens);
        if let Some(candidate) = self.get_mut(incarnation) {
            candidate.reads_for_another(reading, now);
            candidate.memory.touch(prompt);
        }
    }

    /// Records that a worker gave a sign of life.
    pub fn heard(&mut self, incarnation: &str, now: Duration) {
        if let Some(candidate) = self.get_mut(incarnation) {
            candidate.heard(now);
        }
    }

    /// Records the load that an answer carried.
    pub fn told(&mut self, incarnation: &str, load: ToldLoad, now: Duration) {
        if let Some(candidate) = self.get_mut(incarnation) {
            let own = candidate.own();
            candidate.told = Some((load, own, now));
        }
    }

    /// Records that the first event of a request came after `waited`.
    pub fn first_event(&mut self, chosen: &Chosen, waited: Duration, now: Duration) {
        let Some(candidate) = self.candidates.get_mut(&chosen.incarnation) else {
            return;
        };
        candidate.heard(now);
        let sent_at = now.saturating_sub(waited);
        candidate.latest_begun = candidate.latest_begun.max(sent_at);
        candidate.no_longer_pending(sent_at, chosen.missing_tokens);
        if chosen.missing_tokens < RATE_SAMPLE_TOKENS {
            return;
        }
        let rate = chosen.missing_tokens as f64 / (waited.as_secs_f64() * 1e3).max(1.0);
        let service = candidate.entry.service.clone();
        let times = self.services.entry(service).or_default();
        times.prefill_rate += SMOOTHING * (rate - times.prefill_rate);
    }

    /// Records that a request has left a worker after `held`; `had_first_event` as told before.
    pub fn left(
        &mut self,
        chosen: &Chosen,
        class: Class,
        ending: Ending,
        had_first_event: bool,
        held: Duration,
        now: Duration,
    ) {
        let Some(candidate) = self.candidates.get_mut(&chosen.incarnation) else {
            return;
        };
        match class {
            Class::Online => candidate.own_online = candidate.own_online.saturating_sub(1),
            Class::Batch => candidate.own_batch = candidate.own_batch.saturating_sub(1),
        }
        let sent_at = now.saturating_sub(held);
        if !had_first_event {
            candidate.no_longer_pending(sent_at, chosen.missing_tokens);
        }
        let was_hanging = !had_first_event && held >= HANGING && candidate.has_overtaken(sent_at);
        candidate.doubt.observe(ending, now);
        match ending {
            Ending::Answered => {
                candidate.observe_failure(false, now);
                candidate.failures_in_row = 0;
                candidate.ejected_until = Duration::ZERO;
                candidate.heard(now);
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
            Ending::TurnedAway => candidate.heard(now),
            Ending::Broken | Ending::Failed => candidate.observe_failure(true, now),
            Ending::Unreachable => candidate.eject(now),
            Ending::Silent => {
                candidate.observe_failure(true, now);
                candidate.eject(now);
            }
            Ending::Withdrawn if was_hanging => candidate.observe_failure(true, now),
            Ending::Withdrawn => {}
        }
    }
}
