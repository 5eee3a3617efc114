//! Decides whether a request for which no worker was found retries placement or is refused, and
//! when a refused caller should retry. The functions are pure.
//!
//! A refused caller loses part of its time and one of its few attempts, so a request waits while
//! slots are likely to become free for it: for one slot time, in which each slot has been released
//! once. Workers that still reject the request after that time do so for another reason or serve
//! other requests first, so more waiting would only cost the caller time. A request that certainly
//! cannot be served is refused at once.

use std::time::Duration;

/// The reason why no worker has accepted a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// No worker of the service accepts new requests.
    NoWorker,
    /// This node could not reach any worker; other nodes may reach them.
    Unreachable,
    /// The workers that responded have no free slot.
    Full,
    /// All zones in which the service has workers and the request may be handled are evacuated.
    Evacuated {
        /// How long ago the last of these zones was evacuated.
        lasted: Duration,
    },
    /// No worker of the service is in a region in which the request may be handled.
    OutsideResidency,
    /// No worker has the service and software version that began the request's output.
    OriginGone,
}

/// The state of a request for which no worker was found.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
    /// The reason why no worker was found.
    pub obstacle: Obstacle,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Mean time for which a request occupies a slot of the service.
    pub slot_time: Duration,
    /// Number of slots of the service.
    pub slots: u32,
}

/// The decision about a request for which no worker was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Try the workers again after this time.
    AskAgain(Duration),
    /// Refuse the request; the caller should retry after this time.
    Refuse(Duration),
}

/// Bounds of the pause before full workers are tried again.
const MIN_PLACEMENT_PAUSE: Duration = Duration::from_millis(15);
const MAX_PLACEMENT_PAUSE: Duration = Duration::from_millis(100);
/// Retry-After for callers of a gateway that stops or reaches no worker.
const RETRY_AFTER_ELSEWHERE: Duration = Duration::from_millis(100);
/// Retry-After for callers of a service without workers. The directory lists the entries again
/// within two seconds after the log has recovered, and a restarted worker's entry sooner.
const RETRY_AFTER_NO_WORKER: Duration = Duration::from_millis(800);
/// Time from the start of a gateway until it serves requests, if the log is available: 0.8 s in the
/// logs of 295 gateways that started at the same time.
const STARTUP_TIME: Duration = Duration::from_millis(900);
/// Lower bound of Retry-After while a gateway has no configuration or the log is unavailable.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Retry-After for a stream whose origin is not known: a gateway that has just started knows the others by then.
const RETRY_AFTER_UNKNOWN_ORIGIN: Duration = Duration::from_millis(300);
/// Retry-After for callers of a route whose limit is reached.
const RETRY_AFTER_LIMIT: Duration = Duration::from_secs(1);
/// Retry-After is at most the caller's remaining time divided by this number; a longer wait would
/// leave no time for a second attempt.
const TIME_LEFT_DIVISOR: u32 = 3;
/// Relative jitter of Retry-After, so that callers that were refused at the same time do not return
/// at the same time.
const RETRY_AFTER_JITTER: f64 = 0.3;

/// Decides about a request for which no worker was found. `draw` is a random number from 0 to 1.
pub fn decide(situation: &Situation, draw: f64) -> Decision {
    let refuse =
        |retry_after| Decision::Refuse(limited_retry_after(retry_after, situation.time_left, draw));
    match situation.obstacle {
        Obstacle::NoWorker | Obstacle::OutsideResidency | Obstacle::OriginGone => {
            refuse(RETRY_AFTER_NO_WORKER)
        }
        Obstacle::Evacuated { lasted } => refuse(retry_after_evacuation(lasted)),
        Obstacle::Unreachable => refuse(RETRY_AFTER_ELSEWHERE),
        Obstacle::Full => {
            let next_slot = situation.slot_time / situation.slots.max(1);
            let pause = next_slot.clamp(MIN_PLACEMENT_PAUSE, MAX_PLACEMENT_PAUSE);
            let all_slots_released = situation.waited >= situation.slot_time;
            // A request that starts after the pause would miss its deadline.
            let is_too_late = pause + situation.slot_time >= situation.time_left;
            if all_slots_released || is_too_late {
                return refuse(situation.slot_time);
            }
            Decision::AskAgain(pause)
        }
    }
}

/// Returns Retry-After for a service whose zones have been evacuated for `lasted`. Gateways do not
/// know when an operator will withdraw the evacuation, so the estimate is the elapsed time.
fn retry_after_evacuation(lasted: Duration) -> Duration {
    lasted.max(RETRY_AFTER_NO_WORKER)
}

/// Returns Retry-After for a caller that is refused because the gateway has no configuration yet,
/// `age` after the start of the gateway.
pub fn retry_after_startup(age: Duration, draw: f64) -> Duration {
    let remaining = STARTUP_TIME.saturating_sub(age);
    let overdue = age.saturating_sub(STARTUP_TIME);
    jittered(remaining.max(overdue).max(MIN_RETRY_AFTER), draw)
}

/// Returns Retry-After for a request that needs the log, which has been unavailable for `outage`:
/// the elapsed time of the outage. With enough time left, a caller is refused five times in an
/// outage of 7 s, and an outage of any length delays it by at most about twice that length.
pub fn retry_after_log_outage(outage: Duration, time_left: Duration, draw: f64) -> Duration {
    limited_retry_after(outage.max(MIN_RETRY_AFTER), time_left, draw)
}

/// Returns Retry-After for a stream that the caller takes up and whose origin is not known: another gateway may know
/// it, or this one a little later.
pub fn retry_after_unknown_origin(time_left: Duration, draw: f64) -> Duration {
    limited_retry_after(RETRY_AFTER_UNKNOWN_ORIGIN, time_left, draw)
}

/// Returns Retry-After for a route whose limit is reached; some items have ended by then.
pub fn retry_after_route_limit(time_left: Duration, draw: f64) -> Duration {
    limited_retry_after(RETRY_AFTER_LIMIT, time_left, draw)
}

/// Returns Retry-After for a tenant that has reached its limit and may have capacity again after
/// `again_after`. Callers that are refused meanwhile are spread over the following second, since
/// capacity returns evenly.
pub fn retry_after_tenant_limit(again_after: Duration, time_left: Duration, draw: f64) -> Duration {
    let retry_after = again_after + RETRY_AFTER_LIMIT.mul_f64(draw.clamp(0.0, 1.0));
    retry_after.min(time_left / TIME_LEFT_DIVISOR)
}

/// Returns Retry-After for a caller whose gateway stops or reaches no worker: a short time, since
/// the retry goes to another gateway.
pub fn retry_after_elsewhere(draw: f64) -> Duration {
    jittered(RETRY_AFTER_ELSEWHERE, draw)
}

/// Returns Retry-After with jitter, limited to a part of the caller's remaining time.
fn limited_retry_after(retry_after: Duration, time_left: Duration, draw: f64) -> Duration {
    jittered(retry_after, draw).min(time_left / TIME_LEFT_DIVISOR)
}

fn jittered(time: Duration, draw: f64) -> Duration {
    time.mul_f64(1.0 - RETRY_AFTER_JITTER + 2.0 * RETRY_AFTER_JITTER * draw.clamp(0.0, 1.0))
}
