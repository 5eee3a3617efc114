//! The nodes that hand out the starts at a worker, and what each of them has handed out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::permit_rate::{PermitBucket, PermitRate};
use super::{ColdBound, ISSUE_WINDOW};
use crate::readers::top_ranked;

/// Keepers of a worker: one may be gone or out of touch.
pub const MAX_ISSUERS: usize = 2;
/// Part of the bound that is the first keeper's.
const FIRST_PART: f64 = 0.6;
/// Fewest starts in a second for which a second keeper is worth the parting.
const FEWEST_FOR_SECOND: u32 = 2;
/// Time from its start in which a keeper hands out nothing: another life of it may have handed out some a moment
/// ago, and others have to learn first that it is there, by a list that is read every four seconds.
pub const ISSUER_SETTLE_DELAY: Duration = Duration::from_secs(5);
/// Time for which a node that is no longer listed still counts in the order of keepers: others learn of it by
/// then, and what it has handed out is over.
pub const UNLISTED_NODE_TTL: Duration = Duration::from_secs(5);

/// The keepers of a worker among the nodes that are listed or were a moment ago, by their rank.
pub fn permit_issuers(
    worker: &str,
    nodes: impl IntoIterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    top_ranked(&("starts", worker), nodes, MAX_ISSUERS)
}

/// The pace of the keeper of this rank, from 0 on.
pub fn issue_rate(bound: &ColdBound, rank: usize) -> PermitRate {
    let whole = bound.max_in_one_second.max(0.0).floor() as u32;
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
    PermitRate::within(part, bound.per_second * share)
}

/// Whether the keeper of the second rank is asked first, by a random number from 0 to 1: as often as its part is
/// large.
pub fn prefers_second_issuer(bound: &ColdBound, draw: f64) -> bool {
    let (first, second) = (issue_rate(bound, 0), issue_rate(bound, 1));
    draw * (first.per_second + second.per_second) >= first.per_second && second.burst >= 1.0
}

/// What a keeper has handed out, by worker.
#[derive(Debug)]
pub struct PermitIssuer {
    began_at: Duration,
    /// By the worker's identifier: another life of it counts as the same.
    buckets: HashMap<String, (PermitBucket, Duration)>,
}

impl PermitIssuer {
    /// Those of a keeper that starts now.
    pub fn new(now: Duration) -> Self {
        Self {
            began_at: now,
            buckets: HashMap::new(),
        }
    }

    /// Others could not know of this keeper before this moment.
    pub fn settle_from(&mut self, known_since: Duration) {
        self.began_at = self.began_at.max(known_since);
    }

    /// Hands out a start at a worker as the keeper of this rank; gives the time until there may be one where
    /// there is none.
    pub fn issue_permit(
        &mut self,
        worker: &str,
        bound: &ColdBound,
        rank: usize,
        now: Duration,
    ) -> Result<(), Duration> {
        let settled = self.began_at + ISSUER_SETTLE_DELAY;
        if now < settled {
            return Err(settled - now);
        }
        let permit_rate = issue_rate(bound, rank);
        self.buckets
            .retain(|_, (_, asked_at)| now < *asked_at + ISSUE_WINDOW * 2);
        let full = (PermitBucket::full(permit_rate, now), now);
        let (bucket, asked_at) = self.buckets.entry(worker.to_owned()).or_insert(full);
        *asked_at = now;
        bucket.try_take(permit_rate, now)
    }
}
