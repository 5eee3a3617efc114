//! Replays partitions of the journal into folds and keeps them up to date.
//!
//! A gateway follows the partitions whose items it runs. It follows another partition for a limited time after a call
//! about one of its jobs that no other gateway answered. If every gateway followed every partition, the log would send
//! each record once per gateway.

use std::collections::BTreeSet;
use std::hash::Hasher;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use swiftshunt_jobs::{Effect, Job, JobFold, JobRecord};
use swiftshunt_journal::{
    Assembly, Change, KeyedView, Log, LogError, LogicalRecord, ReadOutcome, Topic,
};
use tokio::sync::{Notify, watch};

use super::item_bodies::ItemBodies;
use super::listing_memory::{BoundedListing, ListingMemory};
use super::region_pages::{PageCall, RegionPages};
use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::settings::GatewaySettings;
use crate::topic_follower::LogBackoff;
use crate::unreadable::UnreadableRecords;

/// How long a read of the tail waits for a record: for a partition that is held here, and for any other.
const HELD_TAIL_WAIT: Duration = Duration::from_secs(1);
const TAIL_WAIT: Duration = Duration::from_secs(5);
/// Largest age of the last answered read at which items may be started: a job's acknowledged end must take effect
/// within seconds.
const MAX_READ_AGE: Duration = Duration::from_secs(2);
/// Pause after a read of the tail, so that records appended close together are read together.
const READ_INTERVAL: Duration = Duration::from_millis(40);
/// Time within which [`Replay::catch_up`] reads a partition up to its end, or fails.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(700);
/// How long the fold of a partition that is no longer followed is kept for the next call, as a multiple of the time
/// for which a partition is followed after a call.
const RETENTION_FACTOR: u32 = 4;

/// State of a partition as of the last record read.
#[derive(Default)]
pub(crate) struct PartitionState {
    view: KeyedView,
    assembly: Assembly,
    pub(crate) fold: JobFold,
    pub(crate) is_listed: bool,
    /// When a read of the tail was last answered.
    read_at: Option<Duration>,
    /// When the last read that reached the partition's end began: all records appended before are applied.
    known_as_of: Option<Duration>,
}

struct Partition {
    state: Mutex<PartitionState>,
    /// Incremented with each change.
    changes: watch::Sender<u64>,
    interest: Mutex<Interest>,
    /// Notified when the partition is to be followed.
    wanted: Notify,
}

/// Why a partition is followed.
#[derive(Clone, Copy, Default)]
struct Interest {
    /// Whether this gateway holds the partition and runs its items.
    held: bool,
    /// Time until which a call or a result needs the partition.
    until: Duration,
}

/// How long a partition was not followed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum IdlePeriod {
    Short,
    /// So long that the state of the partition was dropped.
    Long,
}

impl PartitionState {
    /// Returns a time before which all appends have been applied, and the offset after the last record applied; `None`
    /// until a read has reached the partition's end.
    pub(crate) fn complete_as_of(&self) -> Option<(Duration, u64)> {
        let as_of = self.known_as_of.filter(|_| self.is_listed)?;
        Some((as_of, self.view.next_offset()))
    }
}

/// The replayed state of all partitions.
pub(crate) struct Replay {
    log: Arc<dyn Log>,
    pages: Arc<RegionPages>,
    bodies: Arc<ItemBodies>,
    listing_memory: Arc<ListingMemory>,
    clock: Clock,
    partitions: Vec<Partition>,
    follow_after_call: Duration,
    unreadable: Arc<UnreadableRecords>,
    /// Incremented with each change of any partition.
    any_change: watch::Sender<u64>,
}

/// The error of a partition that could not be read up to its end within [`CATCH_UP_TIMEOUT`].
pub(crate) struct CatchUpFailed;

impl Replay {
    pub(crate) fn new(
        log: Arc<dyn Log>,
        pages: Arc<RegionPages>,
        bodies: Arc<ItemBodies>,
        listing_memory: Arc<ListingMemory>,
        settings: &GatewaySettings,
        unreadable: Arc<UnreadableRecords>,
        clock: Clock,
    ) -> Self {
        let partitions = (0..settings.log.partitions).map(|_| Partition {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
            interest: Mutex::default(),
            wanted: Notify::new(),
        });
        Self {
            log,
            pages,
            bodies,
            listing_memory,
            clock,
            partitions: partitions.collect(),
            follow_after_call: settings.batch.follow_after_call,
            unreadable,
            any_change: watch::Sender::new(0),
        }
    }

    /// Returns the partition of a job, which is the same at every gateway and in every build.
    pub(crate) fn partition_of(&self, job: &str) -> u32 {
        partition_of(job, self.partition_count())
    }

    pub(crate) fn partition_count(&self) -> u32 {
        self.partitions.len() as u32
    }

    pub(crate) fn state(&self, partition: u32) -> MutexGuard<'_, PartitionState> {
        lock(&self.partitions[partition as usize].state)
    }

    pub(crate) fn subscribe_changes(&self, partition: u32) -> watch::Receiver<u64> {
        self.partitions[partition as usize].changes.subscribe()
    }

    pub(crate) fn subscribe_any_change(&self) -> watch::Receiver<u64> {
        self.any_change.subscribe()
    }

    /// Sets the partitions that are held here, which are followed from now on.
    pub(crate) fn set_held(&self, held: &BTreeSet<u32>) {
        for (number, partition) in (0..).zip(&self.partitions) {
            let holds = held.contains(&number);
            let is_newly_held = {
                let mut interest = lock(&partition.interest);
                let is_newly_held = holds && !interest.held;
                interest.held = holds;
                is_newly_held
            };
            if is_newly_held {
                partition.wanted.notify_one();
            }
        }
    }

    /// Follows a partition for the configured time after a call (`follow_after_call`).
    pub(crate) fn follow_for_call(&self, partition: u32) {
        let partition = &self.partitions[partition as usize];
        lock(&partition.interest).until = self.clock.now() + self.follow_after_call;
        partition.wanted.notify_one();
    }

    fn is_wanted(&self, partition: u32) -> bool {
        let interest = *lock(&self.partitions[partition as usize].interest);
        interest.held || self.clock.now() < interest.until
    }

    fn is_held(&self, partition: u32) -> bool {
        lock(&self.partitions[partition as usize].interest).held
    }

    /// Whether the state of a partition is recent enough to start items.
    pub(crate) fn is_fresh(&self, partition: u32) -> bool {
        let state = self.state(partition);
        let read_at = state.read_at.filter(|_| state.is_listed);
        read_at.is_some_and(|at| self.clock.now() < at + MAX_READ_AGE)
    }

    /// Returns when a read of a partition's tail was last answered; `None` until the partition has been listed.
    pub(crate) fn last_read_at(&self, partition: u32) -> Option<Duration> {
        let state = self.state(partition);
        let read_at = state.read_at.unwrap_or_default();
        state.is_listed.then_some(read_at)
    }

    /// Returns the offset after the last record of a partition that was applied.
    pub(crate) fn next_offset(&self, partition: u32) -> u64 {
        self.state(partition).view.next_offset()
    }

    /// Whether a partition is followed here and its listing is complete.
    pub(crate) fn is_followed(&self, partition: u32) -> bool {
        self.is_wanted(partition) && self.state(partition).is_listed
    }

    /// Waits until a partition is to be followed again. Drops its state if that takes long.
    async fn wait_until_wanted(&self, partition: u32) -> IdlePeriod {
        let wanted = &self.partitions[partition as usize].wanted;
        let retention = self.follow_after_call * RETENTION_FACTOR;
        let woken = tokio::time::timeout(retention, wanted.notified()).await;
        if woken.is_err() && !self.is_wanted(partition) {
            *self.state(partition) = PartitionState::default();
            wanted.notified().await;
            return IdlePeriod::Long;
        }
        IdlePeriod::Short
    }

    /// Follows a partition whenever it is wanted, until the process ends.
    pub(crate) async fn follow(&self, partition: u32) {
        let mut backoff = LogBackoff::new("journal partition", partition);
        let mut listing = BoundedListing::new(Arc::clone(&self.listing_memory));
        loop {
            if !self.is_wanted(partition) {
                listing.yield_turn();
                // Another call is likely, so an incomplete listing is kept for as long as a fold is.
                if self.wait_until_wanted(partition).await == IdlePeriod::Long {
                    listing.reset();
                }
                continue;
            }
            let is_listing = !self.state(partition).is_listed;
            let outcome = self.list_or_read_tail(partition, &mut listing).await;
            backoff.backoff_on_error(&outcome).await;
            if outcome.is_ok() && !is_listing {
                tokio::time::sleep(READ_INTERVAL).await;
            }
        }
    }

    async fn list_or_read_tail(
        &self,
        partition: u32,
        listing: &mut BoundedListing,
    ) -> Result<(), LogError> {
        let listed = self.state(partition).is_listed;
        if !listed {
            return self.list(partition, listing).await;
        }
        let wait = if self.is_held(partition) {
            HELD_TAIL_WAIT
        } else {
            TAIL_WAIT
        };
        self.read_tail(partition, wait).await.map(|_| ())
    }

    async fn list(&self, partition: u32, listing: &mut BoundedListing) -> Result<(), LogError> {
        let known = self.state(partition).view.next_offset();
        let page = |after, not_before: u64| {
            let call = PageCall {
                partition,
                after,
                // After `ReadOutcome::Dropped`, the tail no longer has the records after the known offset, and pages
                // read before that offset lack them, too.
                not_before: not_before.max(known),
            };
            self.pages.page(call)
        };
        let pages = listing.read(page).await?;
        let mut state = self.state(partition);
        state.view.abandon_listing();
        let mut changes = Vec::new();
        for page in pages {
            changes.extend(state.view.apply_page(page));
        }
        state.is_listed = true;
        // Pages may come from a cache, so only a read of the tail shows how recent the state is.
        state.read_at = None;
        state.known_as_of = None;
        self.apply(partition, &mut state, changes);
        drop(state);
        listing.reset();
        self.notify_changed(partition);
        Ok(())
    }

    /// Waits until the partition has been listed.
    async fn wait_until_listed(&self, partition: u32) {
        let mut changes = self.subscribe_changes(partition);
        while !self.state(partition).is_listed {
            // The sender lives as long as `self`, so waiting cannot fail.
            drop(changes.changed().await);
        }
    }

    /// Reads new records and returns the partition's end, or `None` if the log no longer has some of them.
    async fn read_tail(&self, partition: u32, wait: Duration) -> Result<Option<u64>, LogError> {
        let from = self.state(partition).view.next_offset();
        let requested_at = self.clock.now();
        match self.log.read(Topic::Jobs, partition, from, wait).await? {
            ReadOutcome::Records { records, end } => {
                let mut state = self.state(partition);
                state.read_at = Some(self.clock.now());
                let changes = state.view.apply_tail(records);
                if state.view.next_offset() >= end {
                    state.known_as_of = state.known_as_of.max(Some(requested_at));
                }
                self.apply(partition, &mut state, changes);
                Ok(Some(end))
            }
            ReadOutcome::Dropped => {
                log::info!(partition, from;
                    "journal records were dropped before they were read; listing the partition anew");
                self.state(partition).is_listed = false;
                Ok(None)
            }
        }
    }

    /// Reads a partition up to the end that it has when this is called.
    pub(crate) async fn catch_up(&self, partition: u32) -> Result<(), CatchUpFailed> {
        self.follow_for_call(partition);
        let caught_up = async {
            self.wait_until_listed(partition).await;
            let mut target_end = None;
            loop {
                let end = self
                    .read_tail(partition, Duration::ZERO)
                    .await
                    .map_err(|_| CatchUpFailed)?
                    .ok_or(CatchUpFailed)?;
                let target_end = *target_end.get_or_insert(end);
                if self.state(partition).view.next_offset() >= target_end {
                    return Ok(());
                }
            }
        };
        let caught_up = tokio::time::timeout(CATCH_UP_TIMEOUT, caught_up).await;
        caught_up.unwrap_or(Err(CatchUpFailed))
    }

    fn apply(&self, partition: u32, state: &mut PartitionState, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        let now = self.clock.now();
        for change in changes {
            let record = match change {
                Change::Set(record) => record,
                Change::Dropped(key) => {
                    state.assembly.forget(&key);
                    continue;
                }
            };
            let key = record.key.clone();
            match state
                .assembly
                .add_frame::<JobRecord>(record.key, &record.value)
            {
                Ok(Some(logical)) => self.apply_record(partition, &mut state.fold, logical, now),
                Ok(None) => {}
                Err(error) => self.unreadable.record_unreadable(Topic::Jobs, &key, &error),
            }
        }
        self.notify_changed(partition);
    }

    /// Applies a record; the bodies of an accepted job's items are kept apart from the fold.
    fn apply_record(
        &self,
        partition: u32,
        fold: &mut JobFold,
        logical: LogicalRecord<JobRecord>,
        now: Duration,
    ) {
        let LogicalRecord {
            mut record, keys, ..
        } = logical;
        if let JobRecord::Accepted(spec) = &mut record {
            let bodies = spec.take_bodies();
            if fold.job(&spec.id).is_none() {
                self.bodies.keep(partition, &spec.id, bodies);
            }
        }
        let effect = fold.apply(record, keys, now);
        if let Effect::Progress(job) | Effect::Ended(job) = &effect
            && fold.job(job).is_some_and(Job::is_closed)
        {
            self.bodies.release(partition, job);
        }
        log::debug!(partition, effect:? = effect; "a journal record was applied");
    }

    fn notify_changed(&self, partition: u32) {
        let bump = |version: &mut u64| *version += 1;
        self.partitions[partition as usize]
            .changes
            .send_modify(bump);
        self.any_change.send_modify(bump);
    }
}

/// Returns the partition of a job out of `partitions`.
pub(crate) fn partition_of(job: &str, partitions: u32) -> u32 {
    let mut hasher = StableHasher::default();
    hasher.write(job.as_bytes());
    (hasher.finish() % u64::from(partitions.max(1))) as u32
}

/// FNV-1a with the upper half folded into the lower; the hash never changes between builds.
struct StableHasher(u64);

impl Default for StableHasher {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for StableHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 ^= u64::from(*byte);
            self.0 = self.0.wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn finish(&self) -> u64 {
        self.0 ^ (self.0 >> 32)
    }
}
