//! What the workers of a cell hold of prompts and still have to read, by the requests that were
//! assigned there. The owner of a cell assigns nearly all of them, so it knows far more of it than
//! any gateway that sends a few.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WorkerKey;
use crate::prefix_cache::{PrefixCacheEstimate, PromptPart};

/// A prompt that is to be read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prompt<'p> {
    /// Its parts, in order; the last one belongs to the request alone.
    pub parts: &'p [PromptPart],
    /// Tokens in all.
    pub tokens: u64,
}

/// How the engines of a service work, as observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRates {
    /// Milliseconds for which a slot is taken.
    pub slot_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub tokens_per_ms: f64,
    /// Tokens that an engine's memory holds.
    pub memory_tokens: u64,
}

/// Slowest reading that is reckoned with, in tokens a millisecond: a rate of none is no rate.
const SLOWEST_READING: f64 = 0.1;

impl EngineRates {
    /// How long a slot is taken.
    pub fn slot_time(&self) -> Duration {
        Duration::from_secs_f64(self.slot_ms.max(0.0) / 1e3)
    }

    /// How long `tokens` take to read.
    pub(super) fn prefill_time(&self, tokens: u64) -> Duration {
        let ms = tokens as f64 / self.tokens_per_ms.max(SLOWEST_READING);
        Duration::from_secs_f64(ms / 1e3)
    }
}

/// What one worker holds and reads.
#[derive(Debug)]
struct Memory {
    resident: PrefixCacheEstimate,
    peer_prefill_until: Duration,
}

/// What the workers of a cell hold and read.
#[derive(Debug, Default)]
pub(super) struct PromptCaches {
    workers: HashMap<WorkerKey, Memory>,
}

/// What a worker has to read for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillEstimate {
    /// Tokens of the prompt that it does not hold.
    pub missing_tokens: u64,
    /// Expected time until it has read them, behind the prompts assigned there before.
    pub time: Duration,
}

impl PromptCaches {
    /// What a worker would have to read.
    pub(super) fn estimate_prefill(
        &self,
        worker: WorkerKey,
        prompt: Prompt<'_>,
        rates: &EngineRates,
        now: Duration,
    ) -> PrefillEstimate {
        let memory = self.workers.get(&worker);
        let held = memory.map_or(0, |memory| memory.resident.cached_tokens(prompt.parts));
        let ahead = memory.map_or(Duration::ZERO, |memory| {
            memory.peer_prefill_until.saturating_sub(now)
        });
        let missing_tokens = prompt.tokens.saturating_sub(held);
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
        let memory = self.workers.entry(worker).or_insert_with(|| Memory {
            resident: PrefixCacheEstimate::new(rates.memory_tokens),
            peer_prefill_until: Duration::ZERO,
        });
        memory.peer_prefill_until = now + prefill.time;
        memory.resident.record_prompt(prompt.parts);
    }

    /// Forgets workers that are no longer there.
    pub(super) fn retain(&mut self, is_there: impl Fn(WorkerKey) -> bool) {
        self.workers.retain(|worker, _| is_there(*worker));
    }
}
