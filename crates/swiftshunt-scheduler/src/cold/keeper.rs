//! The nodes that hand out the starts at a worker, and what each of them has handed out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::pace::{Left, Pace};
use super::{ColdBound, HANDED_OUT_WITHIN};
use crate::readers::first_ranked;

/// Keepers of a worker: one may be gone or out of touch.
pub const KEEPERS: usize = 2;
/// Part of the bound that is the first keeper's.
const FIRST_PART: f64 = 0.6;
/// Fewest starts in a second for which a second keeper is worth the parting.
const FEWEST_FOR_SECOND: u32 = 2;
/// Time from its start in which a keeper hands out nothing: another life of it may have handed out some a moment
/// ago, and others have to learn first that it is there, by a list that is read every four seconds.
pub const SETTLES: Duration = Duration::from_secs(5);
/// Time for which a node that is no longer listed still counts in the order of keepers: others learn of it by
/// then, and what it has handed out is over.
pub const REMEMBERED: Duration = Duration::from_secs(5);

/// The keepers of a worker among the nodes that are listed or were a moment ago, by their rank.
pub fn keepers(worker: &str, nodes: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    first_ranked(&("starts", worker), nodes, KEEPERS)
}

/// The pace of the keeper of this rank, from 0 on.
pub fn pace_of(bound: &ColdBound, rank: usize) -> Pace {
    let whole = bound.in_a_second.max(0.0).floor() as u32;
    let first = (f64::from(whole) * FIRST_PART).ceil() as u32;
    let second = whole - first;
    let (first, second) = if second < FEWEST_FOR_SECOND {
        (whole, 0)
    } else {
        (first, second)
    };
    let part = match rank {
        0 => first,
        1 => second,
        _ => 0,
    };
    let share = f64::from(part) / f64::from(whole.max(1));
    Pace::within(part, bound.per_second * share)
}

/// Whether the keeper of the second rank is asked first, by a random number from 0 to 1: as often as its part is
/// large.
pub fn asks_second_first(bound: &ColdBound, draw: f64) -> bool {
    let (first, second) = (pace_of(bound, 0), pace_of(bound, 1));
    draw * (first.per_second + second.per_second) >= first.per_second && second.burst >= 1.0
}

/// What a keeper has handed out, by worker.
#[derive(Debug)]
pub struct Starts {
    began_at: Duration,
    /// By the worker's identifier: another life of it counts as the same.
    left: HashMap<String, (Left, Duration)>,
}

impl Starts {
    /// Those of a keeper that starts now.
    pub fn new(now: Duration) -> Self {
        Self {
            began_at: now,
            left: HashMap::new(),
        }
    }

    /// Others could not know of this keeper before this moment.
    pub fn settles_from(&mut self, known_since: Duration) {
        self.began_at = self.began_at.max(known_since);
    }

    /// Hands out a start at a worker as the keeper of this rank; gives the time until there may be one where
    /// there is none.
    pub fn hand_out(
        &mut self,
        worker: &str,
        bound: &ColdBound,
        rank: usize,
        now: Duration,
    ) -> Result<(), Duration> {
        let settled = self.began_at + SETTLES;
        if now < settled {
            return Err(settled - now);
        }
        let pace = pace_of(bound, rank);
        self.left
            .retain(|_, (_, asked_at)| now < *asked_at + HANDED_OUT_WITHIN * 2);
        let full = (Left::full(pace, now), now);
        let (left, asked_at) = self.left.entry(worker.to_owned()).or_insert(full);
        *asked_at = now;
        left.take(pace, now)
    }
}
