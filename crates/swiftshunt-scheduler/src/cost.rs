//! Estimates the time to the first event of a request at a worker, in milliseconds.

use std::time::Duration;

use crate::candidate::Candidate;

/// Time without activity while requests are in progress that is still normal.
pub(crate) const USUAL_SILENCE: Duration = Duration::from_millis(120);
/// Cost per second without activity, in milliseconds; there is no cost up to [`USUAL_SILENCE`].
const SILENCE_COST: f64 = 2_000.0;
/// Cost of a worker whose latest entry says that it is cold, in milliseconds.
const COLD_COST: f64 = 50.0;
/// Additional cost of a worker with full slots over an idle one, in milliseconds.
const OCCUPANCY_COST: f64 = 8.0;
/// Cost of a failure rate of 1, in milliseconds.
const FAILURE_COST: f64 = 1_000.0;
/// Prefill rate of engines in tokens per millisecond, until it has been observed.
const ASSUMED_PREFILL_RATE: f64 = 40.0;
/// Time for which a request occupies a slot, in milliseconds, until it has been observed.
const ASSUMED_DURATION: f64 = 500.0;

/// Observed averages of all workers of a service.
#[derive(Debug)]
pub(crate) struct ServiceTimes {
    /// Tokens per millisecond.
    pub(crate) prefill_rate: f64,
    pub(crate) duration_ms: f64,
    pub(crate) memory_tokens: u64,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            prefill_rate: ASSUMED_PREFILL_RATE,
            duration_ms: ASSUMED_DURATION,
            memory_tokens: u64::MAX / 2,
        }
    }
}

/// Returns the time in which engines of a service prefill `tokens` tokens, in milliseconds.
pub(crate) fn prefill_ms(times: Option<&ServiceTimes>, tokens: u64) -> f64 {
    tokens as f64 / prefill_rate(times)
}

/// Returns the prefill rate of a service's engines in tokens per millisecond.
pub(crate) fn prefill_rate(times: Option<&ServiceTimes>) -> f64 {
    times.map_or(ASSUMED_PREFILL_RATE, |times| times.prefill_rate)
}

/// Returns the time until a worker has prefilled `missing` tokens after the prompts that are
/// pending there, in milliseconds.
pub(crate) fn expected_prefill(
    candidate: &Candidate,
    times: Option<&ServiceTimes>,
    missing: u64,
    now: Duration,
) -> f64 {
    let peer_prefill = candidate.peer_prefill_time(now).as_secs_f64() * 1e3;
    prefill_ms(times, candidate.pending_tokens) + prefill_ms(times, missing) + peer_prefill
}

/// Returns the expected time until a worker has prefilled `missing` tokens of a request after the
/// work that is queued there, in milliseconds, with penalties for a worker that is slower than
/// others, has been silent, has failed or is cold.
pub(crate) fn expected_wait(
    candidate: &Candidate,
    times: Option<&ServiceTimes>,
    missing: u64,
    mean_others_load: f64,
    now: Duration,
) -> f64 {
    let mean_slot_ms = mean_slot_ms(times);
    let slots = f64::from(candidate.slots());
    let load = candidate.load(mean_others_load, now);
    let queued = (load - slots + 1.0).max(0.0);
    let queue = queued * mean_slot_ms / slots;
    let occupancy = load / slots * OCCUPANCY_COST;
    let unexplained = unexplained_wait(candidate, times, now);
    queue.max(unexplained) + occupancy + wait_in_slot(candidate, times, missing, now)
}

/// Returns the mean time for which a request occupies a slot of a service, in milliseconds.
pub(crate) fn mean_slot_ms(times: Option<&ServiceTimes>) -> f64 {
    times.map_or(ASSUMED_DURATION, |times| times.duration_ms)
}

/// Returns how much longer this node's oldest pending request has waited than the prefill of this
/// node's pending prompts takes, in milliseconds. A positive value means that other nodes' requests
/// are queued there or that the worker has stalled.
pub(crate) fn unexplained_wait(
    candidate: &Candidate,
    times: Option<&ServiceTimes>,
    now: Duration,
) -> f64 {
    let pending = prefill_ms(times, candidate.pending_tokens);
    let waited = candidate.longest_wait(now).as_secs_f64() * 1e3;
    (waited - pending).max(0.0)
}

/// The part of [`expected_wait`] that does not depend on how many requests the worker holds.
fn wait_in_slot(
    candidate: &Candidate,
    times: Option<&ServiceTimes>,
    missing: u64,
    now: Duration,
) -> f64 {
    expected_prefill(candidate, times, missing, now) + load_independent_cost(candidate, times, now)
}

/// Returns the penalties of a worker that do not depend on its load and prefill, in milliseconds:
/// it is slower than others, has been silent, has failed or is cold.
pub(crate) fn load_independent_cost(
    candidate: &Candidate,
    times: Option<&ServiceTimes>,
    now: Duration,
) -> f64 {
    let mean_slot_ms = mean_slot_ms(times);
    let own_ms = candidate.duration_ms.unwrap_or(mean_slot_ms);
    let slower = (own_ms - mean_slot_ms).max(0.0);
    let silence = candidate.silence(now);
    let silence = if silence > USUAL_SILENCE {
        silence.as_secs_f64() * SILENCE_COST
    } else {
        0.0
    };
    let cold = if candidate.entry.cold_left.is_zero() {
        0.0
    } else {
        COLD_COST
    };
    let failures = candidate.failure_rate(now) * FAILURE_COST;
    slower + silence + cold + failures
}
