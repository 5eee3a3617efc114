//! Which partitions' items run here: a lease of the log's group.
//!
//! The lease is soft: two runners of an item for a moment cost a repeated run and never a wrong
//! result. So it is given up when the log says so, or when this process did not ask in time; while
//! the log does not answer it is kept for a while, since nobody else can get it either.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_journal::{Lease, Log, LogError, Topic};
use tokio_util::sync::CancellationToken;

use super::member::Member;
use super::replay::Replay;
use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::job_regions::JobRegions;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use crate::topic_follower::LogBackoff;

/// Renewals within one lease.
const RENEWALS: u32 = 3;
/// Leases for which partitions are kept while the log does not answer.
const LEASES_WHILE_UNAVAILABLE: u32 = 6;
/// Time after which items of a new partition start: its last runner leaves word how far it came.
const HAND_OVER_DELAY: Duration = Duration::from_millis(400);

#[derive(Default)]
struct Held {
    generation: u64,
    /// Partitions, and since when.
    partitions: BTreeMap<u32, Duration>,
    until: Duration,
    /// Since when the log has not answered a renewal.
    unavailable_since: Option<Duration>,
}

impl Held {
    fn is_valid(&self, now: Duration, lease: Duration) -> bool {
        let until = if self.unavailable_since.is_some() {
            self.until + lease * LEASES_WHILE_UNAVAILABLE
        } else {
            self.until
        };
        now < until
    }
}

/// The leases of this process.
pub(crate) struct Leases {
    log: Arc<dyn Log>,
    clock: Clock,
    member: String,
    time: Duration,
    held: Mutex<Held>,
    left: CancellationToken,
}

impl Leases {
    /// `peers` is where this process is reached by others.
    pub(crate) fn new(
        log: Arc<dyn Log>,
        settings: &GatewaySettings,
        peers: SocketAddr,
        clock: Clock,
    ) -> Self {
        Self {
            log,
            clock,
            member: Member::new(peers).to_string(),
            time: settings.batch.lease,
            held: Mutex::default(),
            left: CancellationToken::new(),
        }
    }

    /// The partitions held now.
    pub(crate) fn partitions(&self) -> BTreeSet<u32> {
        let held = lock(&self.held);
        if !held.is_valid(self.clock.now(), self.time) {
            return BTreeSet::new();
        }
        held.partitions.keys().copied().collect()
    }

    /// Whether a partition is held now.
    pub(crate) fn holds(&self, partition: u32) -> bool {
        let held = lock(&self.held);
        held.is_valid(self.clock.now(), self.time) && held.partitions.contains_key(&partition)
    }

    /// Whether items of a partition may be started.
    pub(crate) fn may_start_items(&self, partition: u32) -> bool {
        let held = lock(&self.held);
        let since = held.partitions.get(&partition);
        since.is_some_and(|since| self.clock.now() >= *since + HAND_OVER_DELAY)
    }

    /// Whether the log did not answer the last renewal: nobody else can be dealt partitions then, and
    /// hardly anybody can end a job.
    pub(crate) fn is_log_unavailable(&self) -> bool {
        lock(&self.held).unavailable_since.is_some()
    }

    /// Renews for as long as the process takes work, and has what is held followed.
    pub(crate) async fn run_renewals(
        &self,
        replay: &Replay,
        regions: &JobRegions,
        metrics: &Metrics,
    ) {
        let mut backoff = LogBackoff::new("leases", 0);
        while !self.left.is_cancelled() {
            if !regions.includes_this_gateway() {
                self.release_if_member().await;
                metrics.leased_partitions.set(0);
                replay.set_held(&BTreeSet::new());
                tokio::time::sleep(self.time / RENEWALS).await;
                continue;
            }
            let renewed = self.renew().await;
            self.record_log_availability(renewed.is_err());
            let held = self.partitions();
            metrics.leased_partitions.set(held.len() as i64);
            replay.set_held(&held);
            backoff.backoff_on_error(&renewed).await;
            if renewed.is_ok() {
                tokio::time::sleep(self.time / RENEWALS).await;
            }
        }
    }

    fn record_log_availability(&self, is_unavailable: bool) {
        let now = self.clock.now();
        let mut held = lock(&self.held);
        held.unavailable_since = is_unavailable.then(|| held.unavailable_since.unwrap_or(now));
    }

    /// How long the log has been away, as the renewals show; nothing while it answers them.
    pub(crate) fn outage_duration(&self) -> Duration {
        let since = lock(&self.held).unavailable_since;
        since.map_or(Duration::ZERO, |since| {
            self.clock.now().saturating_sub(since)
        })
    }

    async fn renew(&self) -> Result<(), LogError> {
        let generation = lock(&self.held).generation;
        let asked = self.clock.now();
        let renewal = self
            .log
            .renew(Topic::Jobs, &self.member, self.time, generation);
        // A call that hangs must not take so long that the lease runs out unnoticed.
        let renewed = tokio::time::timeout(self.time / RENEWALS, renewal).await;
        let renewed = renewed.unwrap_or_else(|_| {
            Err(LogError::Unanswered {
                reason: "a renewal timed out".to_owned(),
            })
        });
        let Lease {
            generation,
            partitions,
        } = renewed?;
        let mut held = lock(&self.held);
        if self.left.is_cancelled() {
            return Ok(());
        }
        let now = self.clock.now();
        let since = |partition| held.partitions.get(&partition).copied().unwrap_or(now);
        let partitions: BTreeMap<u32, Duration> = partitions
            .into_iter()
            .map(|partition| (partition, since(partition)))
            .collect();
        if !held.partitions.keys().eq(partitions.keys()) {
            let named: Vec<&u32> = partitions.keys().collect();
            log::info!(generation, partitions:? = named; "leases changed");
        }
        *held = Held {
            generation,
            partitions,
            until: asked + self.time,
            ..Held::default()
        };
        Ok(())
    }

    /// Gives up the leases of a gateway that may not handle jobs, until it may.
    async fn release_if_member(&self) {
        let was_member = {
            let mut held = lock(&self.held);
            let was_member = held.generation > 0 || !held.partitions.is_empty();
            *held = Held::default();
            was_member
        };
        if !was_member {
            return;
        }
        log::info!("jobs may not be handled here: the leases are given up");
        if let Err(error) = self.log.leave(Topic::Jobs, &self.member).await {
            log::info!("leases run out by themselves: {error}");
        }
    }

    /// Gives up all leases.
    pub(crate) async fn release_all(&self) {
        self.left.cancel();
        lock(&self.held).partitions.clear();
        if let Err(error) = self.log.leave(Topic::Jobs, &self.member).await {
            log::info!("leases run out by themselves: {error}");
        }
    }
}
