//! When a request that found no worker goes on looking, and when a caller that is refused is to come
//! back. Pure: what was observed goes in, a decision comes out.
//!
//! A caller that is refused loses a part of its time and one of its few tries, so a request waits while
//! slots are likely to become free for it: until each has been taken and left once. Workers that turn
//! it away for longer than that do so for another reason, or serve others first; holding it on would
//! only cost its caller time. What surely cannot be served is refused at once.

use std::time::Duration;

/// Why no worker has taken a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// No worker of the service takes new work.
    NoWorker,
    /// None could be reached from here, though others may reach them.
    Unreachable,
    /// Those that answered have no room.
    Full,
    /// All zones of the service's workers to which it may go are evacuated.
    Evacuated {
        /// For how long.
        lasted: Duration,
    },
    /// No worker of the service stands in a region in which it may be handled.
    OutsideResidency,
}

/// What is known of a request that found no worker.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
    /// Why.
    pub obstacle: Obstacle,
    /// Time since it came.
    pub waited: Duration,
    /// Time until its caller gives up.
    pub time_left: Duration,
    /// Time for which a slot of its service is taken.
    pub slot_time: Duration,
    /// Slots of the service.
    pub slots: u32,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The workers are asked again after this time.
    AskAgain(Duration),
    /// It is refused; its caller may come back after this time.
    Refuse(Duration),
}

/// Shortest and longest pause before full workers are asked again.
const SHORTEST_PAUSE: Duration = Duration::from_millis(15);
const LONGEST_PAUSE: Duration = Duration::from_millis(100);
/// When a caller comes back whose gateway stops or reaches no worker.
const COME_BACK_ELSEWHERE: Duration = Duration::from_millis(100);
/// When a caller comes back to a service without workers: its entries are listed again within two
/// seconds after the log is back, a restarted worker's sooner.
const COME_BACK_FOR_WORKERS: Duration = Duration::from_millis(800);
/// Time that a gateway takes from its start until it serves, where the log answers: 0.8 s at 295
/// gateways that start together, as their logs show.
const STARTS_WITHIN: Duration = Duration::from_millis(900);
/// Shortest time after which a caller comes back to a gateway that knows no configuration.
const SHORTEST_COME_BACK: Duration = Duration::from_millis(250);
/// When a caller comes back to a route whose limit is reached.
const ROOM_AFTER: Duration = Duration::from_secs(1);
/// Part of a caller's time that a refusal may take: with more it has no time left for a second one.
const SHARE_OF_TIME_LEFT: u32 = 3;
/// Share by which come-back times differ, so that those who were refused together do not return
/// together.
const SPREAD: f64 = 0.3;

/// Decides about a request that found no worker. `draw` is a random number from 0 to 1.
pub fn decide(situation: &Situation, draw: f64) -> Decision {
    let refuse = |come_back| Decision::Refuse(spread(come_back, situation.time_left, draw));
    match situation.obstacle {
        Obstacle::NoWorker | Obstacle::OutsideResidency => refuse(COME_BACK_FOR_WORKERS),
        Obstacle::Evacuated { lasted } => refuse(come_back_to_zones(lasted)),
        Obstacle::Unreachable => refuse(COME_BACK_ELSEWHERE),
        Obstacle::Full => {
            let next_slot = situation.slot_time / situation.slots.max(1);
            let pause = next_slot.clamp(SHORTEST_PAUSE, LONGEST_PAUSE);
            let all_turned_over = situation.waited >= situation.slot_time;
            // Served after that it would not be done in its time.
            let is_too_late = pause + situation.slot_time >= situation.time_left;
            if all_turned_over || is_too_late {
                return refuse(situation.slot_time);
            }
            Decision::AskAgain(pause)
        }
    }
}

/// When a caller comes back to a service whose zones have been evacuated for `lasted`: nobody here knows when an
/// operator withdraws it, so after as long again.
fn come_back_to_zones(lasted: Duration) -> Duration {
    lasted.max(COME_BACK_FOR_WORKERS)
}

/// When a caller comes back that a gateway refuses which knows no configuration, `age` after its
/// start.
pub fn retry_after_startup(age: Duration, draw: f64) -> Duration {
    let rest = STARTS_WITHIN.saturating_sub(age);
    let overdue = age.saturating_sub(STARTS_WITHIN);
    jittered(rest.max(overdue).max(SHORTEST_COME_BACK), draw)
}

/// When a caller comes back whose request needs the log, which has been away for `outage`: after as
/// long again. A caller that has the time for it is refused five times in an outage of 7 s, and one of
/// any length costs it about twice its length at most.
pub fn retry_after_log_outage(outage: Duration, time_left: Duration, draw: f64) -> Duration {
    spread(outage.max(SHORTEST_COME_BACK), time_left, draw)
}

/// When a caller comes back to a route whose limit is reached: some items have ended by then.
pub fn retry_after_route_limit(time_left: Duration, draw: f64) -> Duration {
    spread(ROOM_AFTER, time_left, draw)
}

/// When a caller comes back whose tenant has reached its limit, and for which there may be room again after
/// `again_after`: those that are refused meanwhile come back spread over the next second, as room comes evenly.
pub fn retry_after_tenant_limit(again_after: Duration, time_left: Duration, draw: f64) -> Duration {
    let come_back = again_after + ROOM_AFTER.mul_f64(draw.clamp(0.0, 1.0));
    come_back.min(time_left / SHARE_OF_TIME_LEFT)
}

/// When a caller comes back whose gateway stops or reaches nobody: at once, since it comes to another.
pub fn retry_after_elsewhere(draw: f64) -> Duration {
    jittered(COME_BACK_ELSEWHERE, draw)
}

/// A come-back time within a part of the time that a caller has left.
fn spread(come_back: Duration, time_left: Duration, draw: f64) -> Duration {
    jittered(come_back, draw).min(time_left / SHARE_OF_TIME_LEFT)
}

fn jittered(time: Duration, draw: f64) -> Duration {
    time.mul_f64(1.0 - SPREAD + 2.0 * SPREAD * draw.clamp(0.0, 1.0))
}
