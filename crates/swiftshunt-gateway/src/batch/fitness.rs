//! Suspends this gateway's leases while it cannot run the items of its partitions, so that other gateways run them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_journal::Topic;
use swiftshunt_scheduler::lease_fitness::absence_after;

use super::Batch;
use crate::metrics::{ItemWait, SuspensionReason};

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two comparisons with other gateways.
const COMPARISON_INTERVAL: Duration = Duration::from_secs(2);
/// Time without an answered read of a leased partition, longer than a read that the log holds and a repetition take.
const UNREADABLE_TIME: Duration = Duration::from_secs(3);
/// The same for a partition whose listing is not complete, which may be long.
const UNLISTED_TIME: Duration = Duration::from_secs(12);

/// Why this gateway cannot run items although it renews its leases.
#[derive(Debug)]
enum Unfitness {
    /// It cannot read these partitions, and another gateway can read one of them.
    UnreadablePartitions(BTreeSet<u32>),
    /// No worker of this service answers it, and other gateways fare better.
    UnreachedWorkers { service: String },
    /// It does not learn of the configuration of this version, by which another gateway has accepted a job.
    OutdatedConfiguration { needed: u64 },
}

/// The result of a check.
enum Check {
    /// Nothing suggests that this gateway is unfit.
    Fit,
    /// It makes no progress, and other gateways do not fare better.
    Undecided,
    Unfit(Unfitness),
}

impl Unfitness {
    fn reason(&self) -> SuspensionReason {
        match self {
            Self::UnreadablePartitions(_) => SuspensionReason::UnreadablePartitions,
            Self::UnreachedWorkers { .. } => SuspensionReason::UnreachedWorkers,
            Self::OutdatedConfiguration { .. } => SuspensionReason::OutdatedConfiguration,
        }
    }
}

/// Time for which items may wait for a configuration.
const OUTDATED_TIME: Duration = Duration::from_secs(3);

/// The last suspension because no worker of a service answered.
struct UnreachedPeriod {
    service: String,
    ended_at: Duration,
    /// Number of such suspensions in a row, without an answer in between.
    count: u32,
}

impl Batch {
    /// Suspends the leases whenever this gateway is not fit to hold them, until the process ends.
    pub(crate) async fn monitor_fitness(self: Arc<Self>) {
        let mut last_unreached: Option<UnreachedPeriod> = None;
        let mut outdated_since: Option<Duration> = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let check = match self.find_outdated_configuration(&mut outdated_since) {
                Some(unfitness) => Check::Unfit(unfitness),
                None => self.compare_with_others().await,
            };
            let unfitness = match check {
                Check::Fit => continue,
                Check::Undecided => {
                    tokio::time::sleep(COMPARISON_INTERVAL).await;
                    continue;
                }
                Check::Unfit(unfitness) => unfitness,
            };
            let reason = unfitness.reason();
            log::warn!(unfitness:? = unfitness, partitions:? = self.leases.partitions();
                "this gateway cannot run the items of its partitions; suspending its leases");
            self.dispatcher.metrics.record_lease_suspension(reason);
            self.leases.suspend();
            match unfitness {
                Unfitness::UnreadablePartitions(partitions) => {
                    self.wait_until_readable(&partitions).await;
                }
                Unfitness::UnreachedWorkers { service } => {
                    let ended = self.wait_for_reach(service, last_unreached.take()).await;
                    last_unreached = Some(ended);
                }
                Unfitness::OutdatedConfiguration { needed } => {
                    self.wait_for_configuration(needed).await;
                }
            }
            log::info!(reason:? = reason; "resuming the leases of this gateway");
            self.leases.resume();
        }
    }

    /// Checks whether this gateway fails where other gateways do not.
    async fn compare_with_others(&self) -> Check {
        let held = self.leases.partitions();
        let unreadable: BTreeSet<u32> = held
            .iter()
            .copied()
            .filter(|partition| self.is_unreadable(*partition))
            .collect();
        if let Some(first) = unreadable.first() {
            return if self.is_read_by_peer(*first).await {
                Check::Unfit(Unfitness::UnreadablePartitions(unreadable))
            } else {
                Check::Undecided
            };
        }
        if held.is_empty() {
            return Check::Fit;
        }
        let reach = &self.dispatcher.worker_reach;
        let Some(service) = reach.unanswered_services().into_iter().next() else {
            return Check::Fit;
        };
        if reach.is_own_fault(&service).await {
            Check::Unfit(Unfitness::UnreachedWorkers { service })
        } else {
            Check::Undecided
        }
    }

    /// Returns the configuration that items have been waiting for since `outdated_since`, if that is long ago.
    fn find_outdated_configuration(
        &self,
        outdated_since: &mut Option<Duration>,
    ) -> Option<Unfitness> {
        let Some(needed) = self.awaited_configuration() else {
            *outdated_since = None;
            return None;
        };
        let now = self.dispatcher.clock.now();
        let since = *outdated_since.get_or_insert(now);
        (now >= since + OUTDATED_TIME).then_some(Unfitness::OutdatedConfiguration { needed })
    }

    /// Returns the latest configuration that items of this gateway wait for.
    fn awaited_configuration(&self) -> Option<u64> {
        let items = self.running.snapshot().into_iter();
        let waiting = items.filter(|item| item.activity.waits_for == ItemWait::Configuration);
        let needed = waiting.filter_map(|item| {
            let state = self.replay.state(item.id.partition);
            state.fold.job(&item.id.job)?.spec.configuration_version
        });
        needed.max()
    }

    async fn wait_for_configuration(&self, needed: u64) {
        let is_known = || {
            let configuration = self.dispatcher.fleet_state.configuration();
            configuration.is_some_and(|configuration| configuration.version >= needed)
        };
        while !is_known() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Whether another gateway reads a partition that this one cannot read.
    async fn is_read_by_peer(&self, partition: u32) -> bool {
        let from = self.replay.next_offset(partition);
        let read = self.peer_log.is_read_by_peer(Topic::Jobs, partition, from);
        let is_readable = read.await;
        log::info!(partition, is_readable;
            "a leased partition cannot be read; asked another gateway to read it");
        is_readable
    }

    /// Whether a leased partition has not been read for some time although the log answers renewals.
    fn is_unreadable(&self, partition: u32) -> bool {
        let Some(unread_since) = self.unread_since(partition) else {
            return false;
        };
        let limit = match self.replay.last_read_at(partition) {
            Some(_) => UNREADABLE_TIME,
            None => UNLISTED_TIME,
        };
        let now = self.dispatcher.clock.now();
        !self.leases.is_log_unavailable() && now >= unread_since + limit
    }

    /// Waits until partitions can be read.
    async fn wait_until_readable(&self, partitions: &BTreeSet<u32>) {
        while !partitions
            .iter()
            .all(|partition| self.replay.is_fresh(*partition))
        {
            for partition in partitions {
                self.replay.follow_for_call(*partition);
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits until a worker of a service answers this gateway, or until it may try again to run items. `last` is the previous
    /// suspension of this kind.
    async fn wait_for_reach(
        &self,
        service: String,
        last: Option<UnreachedPeriod>,
    ) -> UnreachedPeriod {
        let clock = self.dispatcher.clock;
        let reach = &self.dispatcher.worker_reach;
        let answered_at = reach.answered_at(&service);
        let continues = |last: &UnreachedPeriod| {
            last.service == service && answered_at.is_none_or(|at| at < last.ended_at)
        };
        let count = last.filter(continues).map_or(0, |last| last.count + 1);
        let until = clock.now() + absence_after(count);
        while clock.now() < until && reach.answered_at(&service) == answered_at {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        UnreachedPeriod {
            service,
            ended_at: clock.now(),
            count,
        }
    }
}
