//! The expected time to the first event of a request at a worker, in milliseconds, and what it is
//! reckoned from.

use std::time::Duration;

use crate::candidate::Candidate;

/// Silence, with requests in progress, that is nothing unusual.
pub(crate) const USUAL_SILENCE: Duration = Duration::from_millis(120);
/// Cost of a second of silence beyond that, in milliseconds.
const SILENCE_COST: f64 = 2_000.0;
/// Cost of a worker that has just started, in milliseconds.
const COLD_COST: f64 = 50.0;
/// Cost of full slots against empty ones, in milliseconds.
const OCCUPANCY_COST: f64 = 8.0;
/// Cost of a certain failure, in milliseconds.
const FAILURE_COST: f64 = 1_000.0;
/// Tokens a millisecond that engines read, until it has been observed.
const ASSUMED_PREFILL_RATE: f64 = 40.0;
/// Time that a slot is taken, in milliseconds, until it has been observed.
const ASSUMED_DURATION: f64 = 500.0;

/// What is known of a service's workers as a whole.
#[derive(Debug)]
pub(crate) struct ServiceTimes {
    /// Tokens a millisecond.
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

/// How long engines of a service take to read `tokens`.
pub(crate) fn prefill_ms(times: Option<&ServiceTimes>, tokens: u64) -> f64 {
    tokens as f64 / prefill_rate(times)
}

/// Tokens that an engine of a service reads in a millisecond.
pub(crate) fn prefill_rate(times: Option<&ServiceTimes>) -> f64 {
    times.map_or(ASSUMED_PREFILL_RATE, |times| times.prefill_rate)
}

/// How long a worker reads until it has read `missing` tokens behind what waits there.
pub(crate) fn expected_prefill(
    candidate: &Candidate,
    times: Option<&ServiceTimes>,
    missing: u64,
    now: Duration,
) -> f64 {
    let for_others = candidate.peer_prefill_time(now).as_secs_f64() * 1e3;
    prefill_ms(times, candidate.pending_tokens) + prefill_ms(times, missing) + for_others
}

/// The time until a worker has read `missing` tokens of a request, behind what waits there, with
/// what speaks against it: a slower worker, one that has been silent, failed or just started.
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
    let ahead = (load - slots + 1.0).max(0.0);
    let queue = ahead * mean_slot_ms / slots;
    let occupancy = load / slots * OCCUPANCY_COST;
    let unexplained = unexplained_wait(candidate, times, now);
    queue.max(unexplained) + occupancy + wait_in_slot(candidate, times, missing, now)
}

/// How long a slot of a service is taken, in milliseconds.
pub(crate) fn mean_slot_ms(times: Option<&ServiceTimes>) -> f64 {
    times.map_or(ASSUMED_DURATION, |times| times.duration_ms)
}

/// How long this node's request that waits longest has waited beyond the reading of what it sent:
/// others wait there, or the worker has stopped.
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

/// What speaks against a worker whatever it holds and reads: that it is slower than others, has been
/// silent, failed or just started.
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
