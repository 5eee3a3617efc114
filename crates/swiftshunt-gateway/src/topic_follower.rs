//! A keyed topic that is followed: listed once, then its tail, from the log or from a gateway that
//! reads it for others.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::Rng;
use swiftshunt_journal::{
    Change, KeyedRecord, KeyedView, Log, LogError, ReadOutcome, TailPart, Topic,
};

use crate::clock::Clock;
use crate::listing::Listing;
use crate::tails::SharedTail;

/// Part of the time within which a change must be in force for which a read waits at most: a read
/// that was lost on the way must not take all of it.
const WAITS_WITHIN_OBEDIENCE: u32 = 2;
/// Part of the same time after which a read is made again beside one whose answer is overdue.
const HEDGES_WITHIN_OBEDIENCE: u32 = 4;
/// First and longest pause after a call that gave nothing.
const FIRST_PAUSE: Duration = Duration::from_millis(80);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Pauses while the log is away, and logs when that begins and ends.
pub(crate) struct LogBackoff {
    what: &'static str,
    partition: u32,
    failures: u32,
}

impl LogBackoff {
    pub(crate) fn new(what: &'static str, partition: u32) -> Self {
        Self {
            what,
            partition,
            failures: 0,
        }
    }

    pub(crate) async fn backoff_on_error<T>(&mut self, outcome: &Result<T, LogError>) {
        let Err(error) = outcome else {
            if self.failures > 1 {
                log::info!(what = self.what, partition = self.partition, failures = self.failures;
                    "the log answers again");
            }
            self.failures = 0;
            return;
        };
        self.failures += 1;
        if self.failures == 2 {
            log::warn!(what = self.what, partition = self.partition; "{error}");
        }
        let longest = (FIRST_PAUSE * 2_u32.pow(self.failures.min(6))).min(LONGEST_PAUSE);
        let share = rand::rng().random_range(0.5..=1.0);
        tokio::time::sleep(longest.mul_f64(share)).await;
    }
}

/// How the tail of a topic is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TailTiming {
    /// How long a read waits for a change.
    pub(crate) wait: Duration,
    /// How long an answer may be overdue before the read is made again beside it.
    pub(crate) hedge_after: Duration,
}

impl TailTiming {
    /// A pace at which what is new is known within `obey_within`, also where a read was lost.
    pub(crate) fn for_propagation_limit(obey_within: Duration) -> Self {
        Self {
            wait: obey_within / WAITS_WITHIN_OBEDIENCE,
            hedge_after: obey_within / HEDGES_WITHIN_OBEDIENCE,
        }
    }

    /// Time within which a read is answered that was not lost.
    pub(crate) fn overdue_after(self) -> Duration {
        self.wait + self.hedge_after
    }
}

/// A read of the tail of a topic.
struct HedgedRead {
    outcome: ReadOutcome,
    /// Whether it had to be made again.
    was_overdue: bool,
}

/// Reads the tail of a topic. A log that was away never answers what it was asked meanwhile, also
/// after it is back, and one that is slow answers late: so the read is made again beside the one
/// whose answer is overdue, and the first outcome counts. `overdue` is called each time.
async fn read_hedged(
    log: &dyn Log,
    topic: Topic,
    from: u64,
    timing: TailTiming,
    overdue: impl Fn(),
) -> Result<HedgedRead, LogError> {
    let mut reads = FuturesUnordered::new();
    reads.push(log.read(topic, 0, from, timing.wait));
    let mut pause = timing.overdue_after();
    let mut was_overdue = false;
    loop {
        match tokio::time::timeout(pause, reads.next()).await {
            Ok(Some(outcome)) => {
                return outcome.map(|outcome| HedgedRead {
                    outcome,
                    was_overdue,
                });
            }
            Ok(None) | Err(_) => reads.push(log.read(topic, 0, from, Duration::ZERO)),
        }
        was_overdue = true;
        overdue();
        pause = timing.hedge_after;
    }
}

/// A keyed topic of one partition that is followed.
pub(crate) struct TopicFollower {
    topic: Topic,
    clock: Clock,
    view: KeyedView,
    listing: Listing,
    is_listed: bool,
    shared: Option<SharedTail>,
    came_from_peer: bool,
    /// Whether the last call to the log gave nothing.
    has_failed: bool,
    /// When the log was back after it had not answered.
    returned_at: Option<Duration>,
}

impl TopicFollower {
    pub(crate) fn new(topic: Topic, clock: Clock) -> Self {
        Self {
            topic,
            clock,
            view: KeyedView::default(),
            listing: Listing::default(),
            is_listed: false,
            shared: None,
            came_from_peer: false,
            has_failed: false,
            returned_at: None,
        }
    }

    /// The same, with its tail shared between gateways.
    pub(crate) fn with_shared_tail(self, shared: SharedTail) -> Self {
        Self {
            shared: Some(shared),
            ..self
        }
    }

    /// When the log was back last after it had not answered, as far as it was noticed.
    pub(crate) fn returned_at(&self) -> Option<Duration> {
        self.returned_at
    }

    /// Whether the last changes came from another gateway.
    pub(crate) fn came_from_peer(&self) -> bool {
        self.came_from_peer
    }

    /// What has changed; waits for something as `timing` says.
    pub(crate) async fn next_changes(
        &mut self,
        log: &dyn Log,
        timing: TailTiming,
    ) -> Result<Vec<Change>, LogError> {
        if let Some(part) = self.by_a_reader(timing).await {
            return Ok(self.take_part(part));
        }
        self.came_from_peer = false;
        let changes = self.read(log, timing).await;
        self.has_failed = changes.is_err();
        if let (Err(_), Some(shared)) = (&changes, &self.shared) {
            shared.not_sure();
        }
        changes
    }

    async fn by_a_reader(&self, timing: TailTiming) -> Option<TailPart> {
        let shared = self.shared.as_ref().filter(|_| self.is_listed)?;
        let from = self.view.next_offset();
        shared.read_from_reader(from, timing).await
    }

    fn take_part(&mut self, part: TailPart) -> Vec<Change> {
        self.came_from_peer = true;
        self.has_failed = false;
        let ago = part.returned_ago;
        let returned_at = ago.map(|ago| self.clock.now().saturating_sub(ago));
        self.returned_at = self.returned_at.max(returned_at);
        let changes = self.view.apply_tail(part.records);
        self.view.advance(part.next);
        changes
    }

    async fn read(&mut self, log: &dyn Log, timing: TailTiming) -> Result<Vec<Change>, LogError> {
        if !self.is_listed {
            return self.list(log).await;
        }
        let from = self.view.next_offset();
        let overdue = || {
            if let Some(shared) = &self.shared {
                shared.not_sure();
            }
        };
        let read = read_hedged(log, self.topic, from, timing, overdue).await?;
        self.answered(read.was_overdue);
        match read.outcome {
            ReadOutcome::Records { records, .. } => {
                self.publish(from, &records, timing);
                Ok(self.view.apply_tail(records))
            }
            ReadOutcome::Dropped => self.list(log).await,
        }
    }

    /// The log answered.
    fn answered(&mut self, was_overdue: bool) {
        if self.has_failed || was_overdue {
            self.returned_at = Some(self.clock.now());
        }
    }

    fn publish(&self, from: u64, records: &[KeyedRecord], timing: TailTiming) {
        if let Some(shared) = &self.shared {
            shared.publish(from, records, timing, self.returned_at);
        }
    }

    async fn list(&mut self, log: &dyn Log) -> Result<Vec<Change>, LogError> {
        self.is_listed = false;
        self.view.abandon_listing();
        let topic = self.topic;
        let page = |after, _| log.newest(topic, 0, after);
        let pages = self.listing.read(page).await?;
        self.answered(false);
        let changes = pages
            .into_iter()
            .flat_map(|page| self.view.apply_page(page));
        let changes = changes.collect();
        self.is_listed = true;
        Ok(changes)
    }
}
