//! Following of a keyed topic: it is listed once, then its tail is read, from the log or from another gateway that
//! reads it for several.

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

/// The propagation limit divided by this is the time for which a read waits for a change: a read that is lost must
/// not use up the whole limit.
const WAITS_PER_PROPAGATION_LIMIT: u32 = 2;
/// The propagation limit divided by this is the time for which an answer may be overdue before its read is repeated.
const HEDGES_PER_PROPAGATION_LIMIT: u32 = 4;
/// Base of the exponential pause after a failed call.
const BACKOFF_BASE: Duration = Duration::from_millis(80);
/// Upper bound of that pause.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Pauses after failed calls to the log. Logs the second failure in a row, and the first answer after that.
pub(crate) struct LogBackoff {
    /// What the caller reads or writes, for log lines.
    what: &'static str,
    partition: u32,
    /// Failed calls in a row.
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
        let longest = (BACKOFF_BASE * 2_u32.pow(self.failures.min(6))).min(MAX_BACKOFF);
        let jitter = rand::rng().random_range(0.5..=1.0);
        tokio::time::sleep(longest.mul_f64(jitter)).await;
    }
}

/// Timing of the reads of a topic's tail.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TailTiming {
    /// Time for which a read waits for a change.
    pub(crate) wait: Duration,
    /// Time for which an answer may be overdue before the read is repeated.
    pub(crate) hedge_after: Duration,
}

impl TailTiming {
    /// Returns a timing by which a change is known within `propagation_limit`, even if a read is lost.
    pub(crate) fn for_propagation_limit(propagation_limit: Duration) -> Self {
        Self {
            wait: propagation_limit / WAITS_PER_PROPAGATION_LIMIT,
            hedge_after: propagation_limit / HEDGES_PER_PROPAGATION_LIMIT,
        }
    }

    /// Returns the time after which a read counts as lost and is repeated.
    pub(crate) fn overdue_after(self) -> Duration {
        self.wait + self.hedge_after
    }
}

/// The outcome of a read of a topic's tail.
struct HedgedRead {
    outcome: ReadOutcome,
    /// Whether the read had to be repeated.
    was_overdue: bool,
}

/// Reads the tail of a topic. Calls made while the log was unavailable are never answered, not even once the log is
/// available again, and a slow log answers late. So the read is repeated while the overdue one is still open, and the
/// first outcome counts. `overdue` is called whenever the read has been repeated.
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

/// Follows a keyed topic of one partition.
pub(crate) struct TopicFollower {
    topic: Topic,
    clock: Clock,
    view: KeyedView,
    listing: Listing,
    is_listed: bool,
    /// Whether records may have been missed, since the last call of [`Self::take_missed_records`].
    has_missed_records: bool,
    /// When the last read was answered.
    read_at: Option<Duration>,
    shared: Option<SharedTail>,
    came_from_peer: bool,
    /// Whether the last call to the log failed.
    has_failed: bool,
    /// Time at which the log answered for the first time after its last unavailability.
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
            has_missed_records: false,
            read_at: None,
            shared: None,
            came_from_peer: false,
            has_failed: false,
            returned_at: None,
        }
    }

    /// Shares the reads of the tail with other gateways.
    pub(crate) fn with_shared_tail(self, shared: SharedTail) -> Self {
        Self {
            shared: Some(shared),
            ..self
        }
    }

    /// Returns the time at which the log answered again after it was last unavailable; `None` if no
    /// unavailability was noticed.
    pub(crate) fn returned_at(&self) -> Option<Duration> {
        self.returned_at
    }

    /// Whether the last changes came from another gateway.
    pub(crate) fn came_from_peer(&self) -> bool {
        self.came_from_peer
    }

    /// Returns the changes since the last call. Waits for a change for the time that `timing` gives.
    pub(crate) async fn next_changes(
        &mut self,
        log: &dyn Log,
        timing: TailTiming,
    ) -> Result<Vec<Change>, LogError> {
        if let Some(part) = self.read_from_peer(timing).await {
            self.note_skipped_records(timing);
            return Ok(self.apply_part(part));
        }
        self.came_from_peer = false;
        let changes = self.read(log, timing).await;
        self.has_failed = changes.is_err();
        if changes.is_ok() {
            self.read_at = Some(self.clock.now());
        }
        if let (Err(_), Some(shared)) = (&changes, &self.shared) {
            shared.invalidate();
        }
        changes
    }

    async fn read_from_peer(&self, timing: TailTiming) -> Option<TailPart> {
        let shared = self.shared.as_ref().filter(|_| self.is_listed)?;
        let from = self.view.next_offset();
        shared.read_from_reader(from, timing).await
    }

    /// Another gateway passes on the newest record of each key alone. Between reads that follow each other as planned none
    /// is missed but those that stood for a moment.
    fn note_skipped_records(&mut self, timing: TailTiming) {
        let now = self.clock.now();
        let read_at = self.read_at.replace(now);
        self.has_missed_records |= read_at.is_none_or(|at| now > at + timing.overdue_after());
    }

    fn apply_part(&mut self, part: TailPart) -> Vec<Change> {
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
                shared.invalidate();
            }
        };
        let read = read_hedged(log, self.topic, from, timing, overdue).await?;
        self.record_log_answer(read.was_overdue);
        match read.outcome {
            ReadOutcome::Records { records, .. } => {
                self.publish(from, &records, timing);
                Ok(self.view.apply_tail(records))
            }
            ReadOutcome::Dropped => {
                self.has_missed_records = true;
                self.list(log).await
            }
        }
    }

    /// Returns whether records may have been missed since the last call: keys may have been written and dropped meanwhile.
    pub(crate) fn take_missed_records(&mut self) -> bool {
        std::mem::take(&mut self.has_missed_records)
    }

    /// Returns the offset behind the last record that was returned.
    pub(crate) fn next_offset(&self) -> u64 {
        self.view.next_offset()
    }

    /// Records that the log answered, and whether the answer was overdue.
    fn record_log_answer(&mut self, was_overdue: bool) {
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
        self.record_log_answer(false);
        let changes = pages
            .into_iter()
            .flat_map(|page| self.view.apply_page(page));
        let changes = changes.collect();
        self.is_listed = true;
        Ok(changes)
    }
}
