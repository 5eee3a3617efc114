//! What gateways tell each other at once: the long prompts that they send, what they hold of shared
//! slots, and that they have started.
//!
//! An engine reads prompts in the order they come, and the load that answers carry is seconds old.
//! A gateway that does not know of a prompt of tens of thousands of tokens that another one has
//! just sent would put short ones behind it. A notice is a datagram: one that is lost costs a worse
//! choice and nothing else.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use swiftshunt_journal::{Change, Log, Topic};
use swiftshunt_scheduler::limits::TokenBucket;
use swiftshunt_scheduler::prompt_memory::PromptPart;

use crate::beliefs::{Beliefs, lock};
use crate::clock::Clock;
use crate::datagrams::{DATAGRAM_BYTES, Datagrams};
use crate::followed::{Away, Followed, Pace};
use crate::members::Members;
use crate::messages::Notice;
use crate::metrics::Metrics;
use crate::quarantine::Quarantine;
use crate::rates::Rates;
use crate::slots::Slots;
use crate::starts::Starts as ColdStarts;
use crate::unreadable::UnreadableRecords;
use crate::waiting_limits::WaitingLimits;

/// Reading time from which others are told of a prompt.
const WORTH_TELLING: Duration = Duration::from_millis(25);
/// Notices that a gateway sends a second on average: at more gateways than this, some of them are
/// told of each prompt and not all. Owners of cells know of the prompts that they assigned; notices
/// serve gateways that choose alone, and to tell all of hundreds costs each of them more than 5 KB a
/// second.
const NOTICES_A_SECOND: f64 = 20.0;
/// Notices that may go at once.
const MOST_AT_ONCE: f64 = 40.0;
/// Parts of a prompt in a notice at most; those at the end are its own and of no use to others.
const MOST_PARTS: usize = 32;
/// Pause between two times that a gateway lists itself.
const LISTED_EVERY: Duration = Duration::from_secs(60);
/// Pause before the listing is tried again.
const LIST_AGAIN: Duration = Duration::from_secs(2);
/// How the list is read: it changes seldom, and one that is old does little harm.
const LIST_PACE: Pace = Pace {
    wait: Duration::from_secs(20),
    hedge_after: Duration::from_secs(5),
};
/// Pause after a gateway came or went, so that those that start together are read together.
const GATHER: Duration = Duration::from_secs(1);
/// Pause after a reading that only renewed what was listed: of hundreds of gateways some list themselves
/// again in every second.
const CALM_GATHER: Duration = Duration::from_secs(4);
/// Pause between two lines on gateways that have started: hundreds may start at a time.
const STARTS_TOLD_EVERY: Duration = Duration::from_secs(1);
/// Pause after a socket error.
const SOCKET_PAUSE: Duration = Duration::from_millis(100);

/// Who takes which messages.
pub(crate) struct Receivers {
    pub(crate) slots: Arc<Slots>,
    pub(crate) waiting_limits: Arc<WaitingLimits>,
    pub(crate) rates: Arc<Rates>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) starts: Arc<ColdStarts>,
}

/// What a gateway lists of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct GatewayRecord {
    /// Its zone.
    zone: String,
}

impl GatewayRecord {
    fn encoded(&self) -> Bytes {
        let mut value = Vec::new();
        if let Err(error) = ciborium::into_writer(self, &mut value) {
            log::error!("a gateway's record has no form: {error}");
        }
        value.into()
    }

    /// None where a gateway lists nothing of itself: it is there all the same.
    fn decoded(value: &[u8]) -> Option<Self> {
        ciborium::from_reader(value).ok()
    }
}

/// Gateways that said that they have started, since the last line on them.
#[derive(Default)]
struct Starts {
    untold: usize,
    told_at: Option<Duration>,
}

/// The other gateways.
pub(crate) struct Peers {
    datagrams: Arc<Datagrams>,
    members: Arc<Members>,
    /// Where others may be reached until the list was read.
    seeds: Vec<SocketAddr>,
    beliefs: Arc<Beliefs>,
    metrics: Arc<Metrics>,
    unreadable: Arc<UnreadableRecords>,
    clock: Clock,
    budget: Mutex<TokenBucket>,
    starts: Mutex<Starts>,
}

impl Peers {
    pub(crate) fn new(
        datagrams: Arc<Datagrams>,
        members: Arc<Members>,
        seeds: &[SocketAddr],
        beliefs: Arc<Beliefs>,
        metrics: Arc<Metrics>,
        unreadable: Arc<UnreadableRecords>,
        clock: Clock,
    ) -> Self {
        let own = members.own();
        Self {
            datagrams,
            members,
            seeds: seeds.iter().copied().filter(|seed| *seed != own).collect(),
            beliefs,
            metrics,
            unreadable,
            clock,
            budget: Mutex::new(TokenBucket::full(MOST_AT_ONCE, clock.now())),
            starts: Mutex::default(),
        }
    }

    /// Tells the others that a prompt goes to a worker, if it is long. Never waits: what does not
    /// fit into the socket's buffer is dropped.
    pub(crate) fn tell(
        &self,
        service: &str,
        worker: &str,
        prompt: &[PromptPart],
        missing_tokens: u64,
    ) {
        let reading = self
            .beliefs
            .selector()
            .prefill_time(service, missing_tokens);
        if reading < WORTH_TELLING {
            return;
        }
        let notice = Notice::Reading {
            worker: worker.to_owned(),
            missing: missing_tokens,
            parts: prompt.iter().take(MOST_PARTS).copied().collect(),
        };
        // Each gateway chooses alone only within its region.
        let near = self.recipients(self.members.others_near());
        self.datagrams.send(&notice, near);
    }

    /// Tells the others that this gateway has started: who owns what is to be known everywhere.
    fn tell_start(&self) {
        let notice = Notice::Here {
            from: self.members.own(),
            zone: Some(self.members.topology().own_zone().to_owned()),
        };
        let others = self.recipients(self.members.others());
        self.datagrams.send(&notice, others);
    }

    /// Those of the others that may be asked for something.
    pub(crate) fn reachable(&self) -> Vec<SocketAddr> {
        let listed = self.members.others();
        if listed.is_empty() {
            self.seeds.clone()
        } else {
            listed
        }
    }

    /// As many of some others as the budget allows.
    fn recipients(&self, mut peers: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut budget = lock(&self.budget);
        let allowed = peers
            .iter()
            .take_while(|_| budget.take(NOTICES_A_SECOND, MOST_AT_ONCE, now).is_ok())
            .count();
        if allowed < peers.len() {
            peers.shuffle(&mut rand::rng());
            peers.truncate(allowed);
        }
        peers
    }

    /// Takes in what others tell, for as long as the process lives.
    pub(crate) async fn listen(self: Arc<Self>, receivers: Receivers) {
        let mut datagram = [0; DATAGRAM_BYTES];
        loop {
            match self.datagrams.receive(&mut datagram).await {
                Ok((length, from)) => self.take(&datagram[..length], from, &receivers),
                Err(error) => {
                    log::debug!("a notice was not received: {error}");
                    tokio::time::sleep(SOCKET_PAUSE).await;
                }
            }
        }
    }

    fn take(&self, datagram: &[u8], from: SocketAddr, receivers: &Receivers) {
        let Ok(notice) = ciborium::from_reader::<Notice, _>(datagram) else {
            self.metrics.notices_dropped.inc();
            return;
        };
        self.metrics.notices_received.inc();
        self.members.heard(from);
        match notice {
            Notice::Reading {
                worker,
                missing,
                parts,
            } => {
                let now = self.clock.now();
                let mut selector = self.beliefs.selector();
                selector.sent_by_another(&worker, &parts, missing, now);
            }
            Notice::Here { from, zone } => {
                self.members.list(from, true);
                if let Some(zone) = zone {
                    self.members.stands_in(from, &zone);
                }
                self.tell_of_start(from);
            }
            Notice::Slots(message) => receivers.slots.take(message, from),
            Notice::Waiting(message) => receivers.waiting_limits.take(message, from),
            Notice::Rate(message) => receivers.rates.take(message, from),
            Notice::Quarantine(message) => receivers.quarantine.take(message, from),
            Notice::Start(message) => receivers.starts.take(message, from),
        }
    }

    /// Logs that gateways have started, in a line a second at most; `newest` is the last of them.
    fn tell_of_start(&self, newest: SocketAddr) {
        let now = self.clock.now();
        let mut starts = lock(&self.starts);
        starts.untold += 1;
        let told_at = starts.told_at;
        if told_at.is_some_and(|told_at| now < told_at + STARTS_TOLD_EVERY) {
            return;
        }
        log::info!(newest = newest.to_string().as_str(), count = starts.untold;
            "other gateways have started");
        *starts = Starts {
            untold: 0,
            told_at: Some(now),
        };
    }

    /// Lists this gateway for as long as the process lives.
    pub(crate) async fn keep_listed(self: Arc<Self>, log: Arc<dyn Log>) {
        loop {
            let record = GatewayRecord {
                zone: self.members.topology().own_zone().to_owned(),
            };
            let appended = log.append(Topic::Gateways, 0, vec![self.record(record.encoded())]);
            let pause = match appended.await {
                swiftshunt_journal::AppendOutcome::Done { .. } => LISTED_EVERY,
                _ => LIST_AGAIN,
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Takes this gateway from the list; without success it is forgotten by its silence.
    pub(crate) async fn unlist(&self, log: &dyn Log) {
        let appended = log.append(Topic::Gateways, 0, vec![self.record(Bytes::new())]);
        log::debug!(outcome:? = appended.await; "this gateway is no longer listed");
    }

    fn record(&self, value: Bytes) -> (Vec<u8>, Bytes) {
        let key = self.members.own().to_string().into_bytes();
        (key, value)
    }

    /// Follows the list of gateways for as long as the process lives.
    pub(crate) async fn follow(self: Arc<Self>, log: Arc<dyn Log>) {
        let mut followed = Followed::new(Topic::Gateways, self.clock);
        let mut away = Away::new("gateways", 0);
        let mut is_known = false;
        loop {
            let changes = followed.changes(log.as_ref(), LIST_PACE).await;
            away.pause(&changes).await;
            if let Ok(changes) = changes {
                let is_news = self.apply(changes);
                self.members.list_is_read();
                if !is_known {
                    self.tell_start();
                    is_known = true;
                }
                tokio::time::sleep(if is_news { GATHER } else { CALM_GATHER }).await;
            }
        }
    }

    /// Takes changes of the list; tells whether a gateway came or went.
    fn apply(&self, changes: Vec<Change>) -> bool {
        let mut is_news = false;
        for change in changes {
            let (key, value) = match change {
                Change::Set(record) => (record.key, Some(record.value)),
                Change::Dropped(key) => (key, None),
            };
            match String::from_utf8_lossy(&key).parse::<SocketAddr>() {
                Ok(address) => {
                    is_news |= self.members.list(address, value.is_some());
                    if let Some(record) = value.as_deref().and_then(GatewayRecord::decoded) {
                        self.members.stands_in(address, &record.zone);
                    }
                }
                Err(error) => self.unreadable.passed_over(Topic::Gateways, &key, &error),
            }
        }
        self.members.forget_old();
        is_news
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::earlier_builds::entry;

    #[test]
    fn a_gateway_of_the_build_in_production_is_there_and_tells_no_zone() {
        let value = entry("gateway-record");
        assert!(!value.is_empty());
        assert_eq!(GatewayRecord::decoded(&value), None);
    }
}
