//! Estimates which prompt prefixes the workers of a cell cache and how much prefill work is queued
//! there, from the requests assigned to them. The owner of a cell assigns nearly all of them, so
//! its estimate is far better than that of a gateway that sends a few.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WorkerKey;
use crate::prefix_cache::{PrefixCacheEstimate, PromptPart};

/// Prompt of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prompt<'p> {
    /// Parts of the prompt, in order; the last part belongs to this request alone.
    pub parts: &'p [PromptPart],
    /// Tokens of the whole prompt.
    pub tokens: u64,
}

/// Observed speed and memory of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRates {
    /// Milliseconds for which a request occupies a slot.
    pub slot_ms: f64,
    /// Prompt tokens prefilled per millisecond.
    pub tokens_per_ms: f64,
    /// Tokens that the engine's cache holds.
    pub memory_tokens: u64,
}

/// Lowest prefill rate that is assumed, in tokens per millisecond; keeps an observed rate of 0 from
/// giving an infinite time.
const MIN_TOKENS_PER_MS: f64 = 0.1;

impl EngineRates {
    /// Returns how long a request occupies a slot.
    pub fn slot_time(&self) -> Duration {
        Duration::from_secs_f64(self.slot_ms.max(0.0) / 1e3)
    }

    /// Returns how long the prefill of `tokens` takes.
    pub(super) fn prefill_time(&self, tokens: u64) -> Duration {
        let ms = tokens as f64 / self.tokens_per_ms.max(MIN_TOKENS_PER_MS);
        Duration::from_secs_f64(ms / 1e3)
    }
}

/// Estimated prompt cache and prefill queue of one worker.
#[derive(Debug)]
struct WorkerCache {
    prefixes: PrefixCacheEstimate,
    prefill_until: Duration,
}

/// Estimated prompt caches and prefill queues of a cell's workers.
#[derive(Debug, Default)]
pub(super) struct PromptCaches {
    workers: HashMap<WorkerKey, WorkerCache>,
}

/// Prefill work of a worker for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillEstimate {
    /// Prompt tokens that the worker does not have in its cache.
    pub missing_tokens: u64,
    /// Expected time until their prefill is done, behind the prompts assigned there before.
    pub time: Duration,
}

impl PromptCaches {
    /// Estimates the prefill work of a worker for a prompt.
    pub(super) fn estimate_prefill(
        &self,
        worker: WorkerKey,
        prompt: Prompt<'_>,
        rates: &EngineRates,
        now: Duration,
    ) -> PrefillEstimate {
        let cache = self.workers.get(&worker);
        let cached_tokens = cache.map_or(0, |cache| cache.prefixes.cached_tokens(prompt.parts));
        let ahead = cache.map_or(Duration::ZERO, |cache| {
            cache.prefill_until.saturating_sub(now)
        });
        let missing_tokens = prompt.tokens.saturating_sub(cached_tokens);
        PrefillEstimate {
            missing_tokens,
            time: ahead + rates.prefill_time(missing_tokens),
        }
    }

    /// Records that a request with this prompt was assigned to a worker.
    pub(super) fn record_assignment(
        &mut self,
        worker: WorkerKey,
        prompt: Prompt<'_>,
        rates: &EngineRates,
        now: Duration,
    ) {
        if prompt.tokens == 0 {
            return;
        }
        let prefill = self.estimate_prefill(worker, prompt, rates, now);
        let cache = self.workers.entry(worker).or_insert_with(|| WorkerCache {
            prefixes: PrefixCacheEstimate::new(rates.memory_tokens),
            prefill_until: Duration::ZERO,
        });
        cache.prefill_until = now + prefill.time;
        cache.prefixes.record_prompt(prompt.parts);
    }

    /// Removes workers for which `is_in_cell` returns false.
    pub(super) fn retain(&mut self, is_in_cell: impl Fn(WorkerKey) -> bool) {
        self.workers.retain(|worker, _| is_in_cell(*worker));
    }
}
