//! The nodes that issue start permits for a worker, and the permits that a node has issued.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::permit_rate::{PermitBucket, PermitRate};
use super::{ColdBound, ISSUE_WINDOW};
use crate::readers::top_ranked;

/// Number of permit issuers of a worker: two, since one may have ended or be unreachable.
pub const MAX_ISSUERS: usize = 2;
/// Share of the bound that belongs to the first issuer.
const FIRST_ISSUER_SHARE: f64 = 0.6;
/// Smallest part of the second issuer, in permits in any one second, for which the bound is split;
/// otherwise the first issuer has the whole bound.
const MIN_SECOND_ISSUER_PERMITS: u32 = 2;
/// Time after its start in which an issuer issues no permits. An earlier life of the node may have
/// issued some just before, and other nodes have to learn first that this node is listed, from a
/// list that is read every four seconds.
pub const ISSUER_SETTLE_DELAY: Duration = Duration::from_secs(5);
/// Time for which a node that is no longer listed still counts in the order of issuers. Within it,
/// the other nodes learn that the node is gone, and the permits that it issued expire.
pub const UNLISTED_NODE_TTL: Duration = Duration::from_secs(5);

/// Returns the permit issuers of a worker by rank. `nodes` are the nodes that are listed or were
/// listed within [`UNLISTED_NODE_TTL`].
pub fn permit_issuers(
    worker: &str,
    nodes: impl IntoIterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    top_ranked(&("starts", worker), nodes, MAX_ISSUERS)
}

/// Returns the rate at which the issuer of this rank issues permits; ranks count from 0.
pub fn issue_rate(bound: &ColdBound, rank: usize) -> PermitRate {
    let total = bound.max_in_one_second.max(0.0).floor() as u32;
    let first = (f64::from(total) * FIRST_ISSUER_SHARE).ceil() as u32;
    let second = total - first;
    let (first, second) = if second < MIN_SECOND_ISSUER_PERMITS {
        (total, 0)
    } else {
        (first, second)
    };
    let part = match rank {
        0 => first,
        1 => second,
        _ => 0,
    };
    let share = f64::from(part) / f64::from(total.max(1));
    PermitRate::within(part, bound.per_second * share)
}

/// Returns whether the second issuer is asked first, by a random number from 0 to 1: with a
/// probability equal to its share of the rate.
pub fn prefers_second_issuer(bound: &ColdBound, draw: f64) -> bool {
    let (first, second) = (issue_rate(bound, 0), issue_rate(bound, 1));
    draw * (first.per_second + second.per_second) >= first.per_second && second.burst >= 1.0
}

/// The permits that this node has issued, by worker.
#[derive(Debug)]
pub struct PermitIssuer {
    settle_start: Duration,
    /// Bucket and time of the last request for a permit, keyed by the worker's identifier: all
    /// lives of a worker share one bucket.
    buckets: HashMap<String, (PermitBucket, Duration)>,
}

impl PermitIssuer {
    /// Creates the state of an issuer that starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            settle_start: now,
            buckets: HashMap::new(),
        }
    }

    /// Makes the settling delay begin no earlier than `known_since`, before which other nodes could
    /// not know of this issuer.
    pub fn settle_from(&mut self, known_since: Duration) {
        self.settle_start = self.settle_start.max(known_since);
    }

    /// Issues a permit for a worker as the issuer of this rank. If none is available, the error is
    /// the time until there may be one.
    pub fn issue_permit(
        &mut self,
        worker: &str,
        bound: &ColdBound,
        rank: usize,
        now: Duration,
    ) -> Result<(), Duration> {
        let settled_at = self.settle_start + ISSUER_SETTLE_DELAY;
        if now < settled_at {
            return Err(settled_at - now);
        }
        let permit_rate = issue_rate(bound, rank);
        self.buckets
            .retain(|_, (_, requested_at)| now < *requested_at + ISSUE_WINDOW * 2);
        let full = (PermitBucket::full(permit_rate, now), now);
        let (bucket, requested_at) = self.buckets.entry(worker.to_owned()).or_insert(full);
        *requested_at = now;
        bucket.try_take(permit_rate, now)
    }
}
