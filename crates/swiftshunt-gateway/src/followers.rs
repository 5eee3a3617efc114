//! What is followed in the log: the configuration and the directory of workers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::Rng;
use swiftshunt_journal::{Change, KeyedView, Log, LogError, ReadOutcome, Topic};
use swiftshunt_routing::Installed;
use swiftshunt_scheduler::listed::Unlisted;

use crate::beliefs::Beliefs;
use crate::clock::Clock;
use crate::directory_news::DirectoryNews;
use crate::listing::Listing;
use crate::metrics::Metrics;
use crate::protocol::Protocol;
use crate::settings::DirectorySettings;

/// Part of the time within which a change must be in force for which a read waits at most: a read
/// that was lost on the way must not take all of it.
const WAITS_WITHIN_OBEDIENCE: u32 = 2;
/// Part of the same time after which a read is made again beside one whose answer is overdue.
const HEDGES_WITHIN_OBEDIENCE: u32 = 4;
/// Part of the time within which a change must be in force for which a change of the directory
/// rests, so that changes that come together are read together: each worker writes every second or
/// so, and each write would wake every gateway.
const GATHERINGS_WITHIN_OBEDIENCE: u32 = 5;
/// Time after the log's return in which workers whose entries lapsed meanwhile list themselves again.
const LISTED_AGAIN_WITHIN: Duration = Duration::from_secs(2);
/// Part of the time within which a change must be in force for which workers may serve on whose entries
/// lapsed: one that has left must get nothing at the end of it.
const LAPSED_WITHIN_OBEDIENCE: f64 = 0.9;
/// First and longest pause after a call that gave nothing.
const FIRST_PAUSE: Duration = Duration::from_millis(80);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Pauses while the log is away, and logs when that begins and ends.
pub(crate) struct Away {
    what: &'static str,
    partition: u32,
    failures: u32,
}

impl Away {
    pub(crate) fn new(what: &'static str, partition: u32) -> Self {
        Self {
            what,
            partition,
            failures: 0,
        }
    }

    /// Whether the last call failed.
    fn is_away(&self) -> bool {
        self.failures > 0
    }

    pub(crate) async fn pause<T>(&mut self, outcome: &Result<T, LogError>) {
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
pub(crate) struct Pace {
    /// How long a read waits for a change.
    pub(crate) wait: Duration,
    /// How long an answer may be overdue before the read is made again beside it.
    pub(crate) hedge_after: Duration,
}

impl Pace {
    /// A pace at which what is new is known within `obey_within`, also where a read was lost.
    fn obeying(obey_within: Duration) -> Self {
        Self {
            wait: obey_within / WAITS_WITHIN_OBEDIENCE,
            hedge_after: obey_within / HEDGES_WITHIN_OBEDIENCE,
        }
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
/// whose answer is overdue, and the first outcome counts.
async fn read_hedged(
    log: &dyn Log,
    topic: Topic,
    from: u64,
    pace: Pace,
) -> Result<HedgedRead, LogError> {
    let mut reads = FuturesUnordered::new();
    reads.push(log.read(topic, 0, from, pace.wait));
    let mut pause = pace.wait + pace.hedge_after;
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
        pause = pace.hedge_after;
    }
}

/// A keyed topic of one partition that is followed.
pub(crate) struct Followed {
    topic: Topic,
    view: KeyedView,
    listing: Listing,
    is_listed: bool,
    /// Whether the last read had to be made again.
    was_overdue: bool,
}

impl Followed {
    pub(crate) fn new(topic: Topic) -> Self {
        Self {
            topic,
            view: KeyedView::default(),
            listing: Listing::default(),
            is_listed: false,
            was_overdue: false,
        }
    }

    /// What has changed; waits for something as `pace` says.
    pub(crate) async fn changes(
        &mut self,
        log: &dyn Log,
        pace: Pace,
    ) -> Result<Vec<Change>, LogError> {
        if !self.is_listed {
            return self.list(log).await;
        }
        let from = self.view.next_offset();
        let read = read_hedged(log, self.topic, from, pace).await?;
        self.was_overdue = read.was_overdue;
        match read.outcome {
            ReadOutcome::Records { records, .. } => Ok(self.view.apply_tail(records)),
            ReadOutcome::Dropped => self.list(log).await,
        }
    }

    async fn list(&mut self, log: &dyn Log) -> Result<Vec<Change>, LogError> {
        self.is_listed = false;
        self.view.abandon_listing();
        let pages = self.listing.read(log, self.topic, 0).await?;
        let changes = pages
            .into_iter()
            .flat_map(|page| self.view.apply_page(page));
        let changes = changes.collect();
        self.is_listed = true;
        Ok(changes)
    }
}

/// Keeps the beliefs of a gateway up to date.
pub(crate) struct Followers {
    pub(crate) log: Arc<dyn Log>,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) beliefs: Arc<Beliefs>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
}

impl Followers {
    /// Follows the configuration for as long as the process lives.
    pub(crate) async fn follow_configuration(self: Arc<Self>, settings: DirectorySettings) {
        let mut followed = Followed::new(Topic::Configuration);
        let mut away = Away::new("configuration", 0);
        let pace = Pace::obeying(settings.obey_within);
        loop {
            let changes = followed.changes(self.log.as_ref(), pace).await;
            self.count(&changes);
            away.pause(&changes).await;
            for change in changes.unwrap_or_default() {
                if let Change::Set(record) = change {
                    self.take_configuration(&record.key, &record.value);
                }
            }
        }
    }

    fn take_configuration(&self, key: &[u8], value: &[u8]) {
        let configuration = match self.protocol.configuration(key, value) {
            Ok(Some(configuration)) => configuration,
            Ok(None) => return,
            Err(error) => {
                log::error!("a configuration is not readable: {error}");
                return;
            }
        };
        let version = configuration.version;
        if let Err(error) = configuration.validate() {
            log::error!(version; "a configuration is not taken: {error}");
            return;
        }
        let routes = configuration.routes.len();
        let installed = self.beliefs.install(configuration);
        if installed == Installed::Taken {
            self.metrics.configuration_version.set(version as i64);
        }
        log::info!(version, routes, outcome:? = installed; "a configuration was read");
    }

    /// Follows the directory for as long as the process lives.
    pub(crate) async fn follow_directory(self: Arc<Self>, settings: DirectorySettings) {
        let mut followed = Followed::new(Topic::Workers);
        let mut away = Away::new("directory", 0);
        let pace = Pace::obeying(settings.obey_within);
        let gather = settings.obey_within / GATHERINGS_WITHIN_OBEDIENCE;
        let lapse = LISTED_AGAIN_WITHIN.min(settings.obey_within.mul_f64(LAPSED_WITHIN_OBEDIENCE));
        let mut lapses_until = Duration::ZERO;
        loop {
            let changes = followed.changes(self.log.as_ref(), pace).await;
            self.count(&changes);
            let was_away = away.is_away() || followed.was_overdue;
            away.pause(&changes).await;
            if let Ok(changes) = changes {
                let now = self.clock.now();
                if was_away {
                    lapses_until = now + lapse;
                }
                self.take_workers(changes, lapses_until);
                tokio::time::sleep(gather).await;
            }
        }
    }

    /// Takes workers as gone whose entries lapsed and are not back in time.
    async fn end_lapse(self: Arc<Self>, until: Duration) {
        tokio::time::sleep(until.saturating_sub(self.clock.now())).await;
        let gone = self.beliefs.selector().remove_lapsed(self.clock.now());
        let mut news = DirectoryNews::default();
        news.unlisted(&Unlisted {
            gone,
            ..Unlisted::default()
        });
        news.log();
    }

    fn count<T>(&self, outcome: &Result<T, LogError>) {
        if outcome.is_err() {
            self.metrics.log_failures.inc();
        }
    }

    /// Takes what a reading changed; entries that are missing before `lapses_until` may have lapsed.
    fn take_workers(self: &Arc<Self>, changes: Vec<Change>, lapses_until: Duration) {
        let now = self.clock.now();
        let mut news = DirectoryNews::default();
        let mut unlisted = BTreeSet::new();
        for change in changes {
            match change {
                Change::Set(record) => match self.protocol.worker(&record.key, &record.value) {
                    Ok(entry) => {
                        let (incarnation, availability) =
                            (entry.incarnation.clone(), entry.availability);
                        unlisted.remove(&incarnation);
                        if self.beliefs.selector().apply(entry, now) {
                            news.listed(&incarnation, availability, record.offset);
                        }
                    }
                    Err(error) => log::error!("a directory entry is not readable: {error}"),
                },
                Change::Dropped(key) => {
                    unlisted.insert(String::from_utf8_lossy(&key).into_owned());
                }
            }
        }
        let lapses_until = (now < lapses_until).then_some(lapses_until);
        let unlisted = self.beliefs.selector().unlist(&unlisted, lapses_until);
        news.unlisted(&unlisted);
        if let Some(until) = lapses_until.filter(|_| !unlisted.lapsed.is_empty()) {
            tokio::spawn(Arc::clone(self).end_lapse(until));
        }
        news.log();
    }
}
