//! Leases of partitions, which the log assigns to the members of a group. A gateway runs the items of the partitions
//! that it leases.
//!
//! Leases are not exclusive locks: if two gateways run an item for a moment, it costs a repeated run and never a
//! wrong result. A gateway loses a lease when the log assigns the partition to another one, or when it does not renew
//! the lease in time. While the log does not answer, leases are kept for a limited time, since no other gateway can
//! get them either.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_journal::{Lease, Log, LogError, Topic};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::member::Member;
use super::replay::Replay;
use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::job_regions::JobRegions;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use crate::topic_follower::LogBackoff;

/// Number of renewals within the duration of one lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Number of additional lease durations for which partitions are kept while the log does not answer.
const LEASES_WHILE_UNAVAILABLE: u32 = 6;
/// Delay before items of a newly leased partition start, in which the previous holder writes their progress.
const HAND_OVER_DELAY: Duration = Duration::from_millis(400);

/// The leases as of the last answered renewal.
#[derive(Default)]
struct HeldLeases {
    generation: u64,
    /// Leased partitions, with the time since which each is leased.
    partitions: BTreeMap<u32, Duration>,
    /// Expiry of the leases while the log answers.
    until: Duration,
    /// Time of the first unanswered renewal in a row; `None` while the log answers.
    unavailable_since: Option<Duration>,
    /// Whether this gateway takes no leases for now, since it cannot run the items of their partitions.
    is_suspended: bool,
}

impl HeldLeases {
    fn is_valid(&self, now: Duration, lease_duration: Duration) -> bool {
        if self.is_suspended {
            return false;
        }
        let until = if self.unavailable_since.is_some() {
            self.until + lease_duration * LEASES_WHILE_UNAVAILABLE
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
    duration: Duration,
    held: Mutex<HeldLeases>,
    released: CancellationToken,
    /// Notified when the leases are suspended or resumed.
    suspension_changed: Notify,
}

impl Leases {
    /// Creates the leases of the gateway that its peers reach at `own_address`.
    pub(crate) fn new(
        log: Arc<dyn Log>,
        settings: &GatewaySettings,
        own_address: SocketAddr,
        clock: Clock,
    ) -> Self {
        Self {
            log,
            clock,
            member: Member::new(own_address).to_string(),
            duration: settings.batch.lease,
            held: Mutex::default(),
            released: CancellationToken::new(),
            suspension_changed: Notify::new(),
        }
    }

    /// Returns the partitions that are leased now.
    pub(crate) fn partitions(&self) -> BTreeSet<u32> {
        let held = lock(&self.held);
        if !held.is_valid(self.clock.now(), self.duration) {
            return BTreeSet::new();
        }
        held.partitions.keys().copied().collect()
    }

    /// Whether a partition is leased now.
    pub(crate) fn holds(&self, partition: u32) -> bool {
        let held = lock(&self.held);
        held.is_valid(self.clock.now(), self.duration) && held.partitions.contains_key(&partition)
    }

    /// Returns since when a partition is leased; `None` if it is not leased now.
    pub(crate) fn leased_since(&self, partition: u32) -> Option<Duration> {
        let held = lock(&self.held);
        let is_valid = held.is_valid(self.clock.now(), self.duration);
        let since = held.partitions.get(&partition).copied();
        since.filter(|_| is_valid)
    }

    /// Gives all leases up, and takes none until [`Self::resume`].
    pub(crate) fn suspend(&self) {
        lock(&self.held).is_suspended = true;
        self.suspension_changed.notify_one();
    }

    /// Takes leases again after [`Self::suspend`].
    pub(crate) fn resume(&self) {
        lock(&self.held).is_suspended = false;
        self.suspension_changed.notify_one();
    }

    /// Whether items of a partition may be started: it has been leased for [`HAND_OVER_DELAY`].
    pub(crate) fn may_start_items(&self, partition: u32) -> bool {
        let held = lock(&self.held);
        let since = held.partitions.get(&partition);
        since.is_some_and(|since| self.clock.now() >= *since + HAND_OVER_DELAY)
    }

    /// Whether the log did not answer the last renewal. While it is unavailable, no other gateway can be assigned
    /// partitions, and ending a job most likely fails.
    pub(crate) fn is_log_unavailable(&self) -> bool {
        lock(&self.held).unavailable_since.is_some()
    }

    /// Renews the leases until they are released, and has the replay follow the leased partitions.
    pub(crate) async fn run_renewals(
        &self,
        replay: &Replay,
        regions: &JobRegions,
        metrics: &Metrics,
    ) {
        let mut backoff = LogBackoff::new("leases", 0);
        while !self.released.is_cancelled() {
            if lock(&self.held).is_suspended || !regions.includes_this_gateway() {
                self.release_if_member().await;
                metrics.leased_partitions.set(0);
                replay.set_held(&BTreeSet::new());
                self.wait_for_next_renewal().await;
                continue;
            }
            let renewed = self.renew().await;
            self.record_log_availability(renewed.is_err());
            let held = self.partitions();
            metrics.leased_partitions.set(held.len() as i64);
            replay.set_held(&held);
            backoff.backoff_on_error(&renewed).await;
            if renewed.is_ok() {
                self.wait_for_next_renewal().await;
            }
        }
    }

    async fn wait_for_next_renewal(&self) {
        let interval = self.duration / RENEWALS_PER_LEASE;
        let changed = self.suspension_changed.notified();
        // Both the interval and a change lead to the next renewal.
        drop(tokio::time::timeout(interval, changed).await);
    }

    fn record_log_availability(&self, is_unavailable: bool) {
        let now = self.clock.now();
        let mut held = lock(&self.held);
        held.unavailable_since = is_unavailable.then(|| held.unavailable_since.unwrap_or(now));
    }

    /// Returns how long the log has not answered renewals; zero while it answers.
    pub(crate) fn outage_duration(&self) -> Duration {
        let since = lock(&self.held).unavailable_since;
        since.map_or(Duration::ZERO, |since| {
            self.clock.now().saturating_sub(since)
        })
    }

    async fn renew(&self) -> Result<(), LogError> {
        let generation = lock(&self.held).generation;
        let requested_at = self.clock.now();
        let renewal = self
            .log
            .renew(Topic::Jobs, &self.member, self.duration, generation);
        // The time-out keeps a hanging call from blocking renewals until the lease expires.
        let renewed = tokio::time::timeout(self.duration / RENEWALS_PER_LEASE, renewal).await;
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
        if self.released.is_cancelled() {
            return Ok(());
        }
        let now = self.clock.now();
        let since = |partition| held.partitions.get(&partition).copied().unwrap_or(now);
        let partitions: BTreeMap<u32, Duration> = partitions
            .into_iter()
            .map(|partition| (partition, since(partition)))
            .collect();
        if !held.partitions.keys().eq(partitions.keys()) {
            let leased: Vec<&u32> = partitions.keys().collect();
            log::info!(generation, partitions:? = leased; "leases changed");
        }
        *held = HeldLeases {
            generation,
            partitions,
            until: requested_at + self.duration,
            unavailable_since: None,
            is_suspended: held.is_suspended,
        };
        Ok(())
    }

    /// Releases the leases of a gateway that may not handle jobs, or not for now. It can join the group again later.
    async fn release_if_member(&self) {
        let was_member = {
            let mut held = lock(&self.held);
            let was_member = held.generation > 0 || !held.partitions.is_empty();
            *held = HeldLeases {
                is_suspended: held.is_suspended,
                ..HeldLeases::default()
            };
            was_member
        };
        if !was_member {
            return;
        }
        log::info!("jobs may not be handled here for now; releasing the leases");
        if let Err(error) = self.log.leave(Topic::Jobs, &self.member).await {
            log::info!("leases could not be released and will expire: {error}");
        }
    }

    /// Releases all leases and ends the renewals.
    pub(crate) async fn release_all(&self) {
        self.released.cancel();
        lock(&self.held).partitions.clear();
        if let Err(error) = self.log.leave(Topic::Jobs, &self.member).await {
            log::info!("leases could not be released and will expire: {error}");
        }
    }
}
