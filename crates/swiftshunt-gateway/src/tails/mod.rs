//! Tails of the log that a few gateways read for all.
//!
//! Each worker writes its entry every second or so, and hundreds of gateways that read each of thousands
//! of entries cost the log more than all jobs do. So a few gateways, the readers, read the tail of the
//! directory and of the configuration, and pass on what of it matters; the others wait at one of them
//! for the next change ([`readers`]). Which gateways read follows from the list of gateways alone.
//!
//! A reader answers only while its own reads are answered in time. Where it refuses, dies or is silent,
//! whoever waits at it reads the log, at once or after the time that a lost read of its own would cost:
//! changes are obeyed as soon as where each gateway reads for itself.

pub(crate) mod message;
mod published;
mod readers;

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use swiftshunt_journal::{KeyedRecord, TailPart, Topic, relevant_records};
use tokio::sync::watch;

use crate::answers::{CallerAnswer, plain};
use crate::clock::Clock;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::peer_http::{encode_answer, read_call};
use crate::topic_follower::TailTiming;
use message::TailCall;
use published::PublishedTail;
use readers::TailReaders;

/// Where gateways take calls for tails from each other.
pub(crate) const PATH: &str = "/peer/tail";
/// Largest call.
const CALL_BYTES: usize = 4 << 10;
/// Share by which the time between two answers of the log exceeds that of one read: the pause between
/// reads.
const PAUSE_SHARE: f64 = 0.25;

/// The tails that gateways share.
pub(crate) struct SharedTails {
    readers: TailReaders,
    configuration: PublishedTail,
    workers: PublishedTail,
    quarantine: PublishedTail,
    /// Whether the log turns this gateway away.
    log_unavailable: watch::Receiver<bool>,
    clock: Clock,
}

impl SharedTails {
    pub(crate) fn new(
        members: Arc<Members>,
        gateways_per_reader: usize,
        metrics: Arc<Metrics>,
        log_unavailable: watch::Receiver<bool>,
        clock: Clock,
    ) -> Self {
        Self {
            readers: TailReaders::new(members, gateways_per_reader, metrics, clock),
            configuration: PublishedTail::default(),
            workers: PublishedTail::default(),
            quarantine: PublishedTail::default(),
            log_unavailable,
            clock,
        }
    }

    /// What this gateway publishes of a topic; none if the topic is not shared.
    fn published(&self, topic: Topic) -> Option<&PublishedTail> {
        match topic {
            Topic::Configuration => Some(&self.configuration),
            Topic::Workers => Some(&self.workers),
            Topic::Quarantine => Some(&self.quarantine),
            Topic::Jobs | Topic::Gateways | Topic::Limits => None,
        }
    }

    /// The shared tail of a topic; `is_news` tells which records matter to others.
    pub(crate) fn shared_tail(
        self: &Arc<Self>,
        topic: Topic,
        is_news: impl Fn(&KeyedRecord) -> bool + Send + Sync + 'static,
    ) -> SharedTail {
        SharedTail {
            tails: Arc::clone(self),
            topic,
            is_news: Box::new(is_news),
        }
    }

    /// Answers a gateway that waits for a change.
    pub(crate) async fn answer_peer(&self, request: Request<Incoming>) -> CallerAnswer {
        let call: TailCall = match read_call(request, CALL_BYTES).await {
            Ok(call) => call,
            Err(refusal) => return refusal,
        };
        let Some(published) = self.published(call.topic) else {
            return plain(StatusCode::NOT_FOUND, "this topic is not shared");
        };
        let part = published
            .wait_for_records(call.from, call.wait, self.clock)
            .await;
        match part {
            Some(part) => encode_answer(&part),
            None => plain(
                StatusCode::SERVICE_UNAVAILABLE,
                "not read here, or not of late",
            ),
        }
    }
}

/// A topic's tail as one that follows it sees it.
pub(crate) struct SharedTail {
    tails: Arc<SharedTails>,
    topic: Topic,
    is_news: Box<dyn Fn(&KeyedRecord) -> bool + Send + Sync>,
}

impl SharedTail {
    /// What has changed from an offset on, by a reader; none if this gateway is to read the log.
    pub(crate) async fn read_from_reader(&self, from: u64, timing: TailTiming) -> Option<TailPart> {
        let call = TailCall {
            topic: self.topic,
            from,
            wait: timing.wait,
        };
        let reader = self.tails.readers.assigned_reader()?;
        // Others may still take this gateway for a reader.
        self.not_sure();
        self.tails
            .readers
            .fetch(reader, &call, timing.overdue_after())
            .await
    }

    /// The log answered this gateway with the records from an offset on.
    pub(crate) fn publish(
        &self,
        from: u64,
        records: &[KeyedRecord],
        timing: TailTiming,
        returned_at: Option<Duration>,
    ) {
        let Some(published) = self.tails.published(self.topic) else {
            return;
        };
        // What comes through another gateway comes late: others had better read for themselves.
        let is_direct = !*self.tails.log_unavailable.borrow();
        if !is_direct || !self.tails.readers.is_reader() {
            return published.not_sure();
        }
        let next = records.last().map_or(from, |record| record.offset + 1);
        let next_answer = timing.overdue_after().mul_f64(1.0 + PAUSE_SHARE);
        let sure_until = self.tails.clock.now() + next_answer;
        let records = relevant_records(records, &self.is_news);
        published.record_read(from, records, next, sure_until, returned_at);
    }

    /// The log does not answer this gateway in time.
    pub(crate) fn not_sure(&self) {
        if let Some(published) = self.tails.published(self.topic) {
            published.not_sure();
        }
    }
}
