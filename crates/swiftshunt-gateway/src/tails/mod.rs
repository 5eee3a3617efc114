//! Tails of the log that a few gateways read for all.
//!
//! Each worker writes its entry about once per second. If hundreds of gateways read each of thousands of entries, these
//! reads cost the log more than all jobs do. Therefore a few gateways, the readers, read the tails of the worker
//! directory, the configuration and the quarantine, and pass on the relevant records. The other gateways wait at one
//! of the readers for the next change ([`readers`]). Which gateways are readers depends only on the list of gateways.
//!
//! A reader answers only while its own reads are answered in time. If it refuses, ends or does not answer, the gateways
//! that wait at it read the log themselves, at once or after the time that a lost read of their own would cost. Thus
//! changes take effect as soon as if each gateway read the log itself.

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
use crate::body_buffers::BodyBuffers;
use crate::clock::Clock;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::peer_http::{encode_answer, read_call};
use crate::topic_follower::TailTiming;
use message::TailCall;
use published::PublishedTail;
use readers::TailReaders;

/// Path at which gateways serve tails to each other.
pub(crate) const PATH: &str = "/peer/tail";
/// Largest call, in bytes.
const CALL_BYTES: usize = 4 << 10;
/// Allowance for the pause between two reads, as a fraction of the time after which an answer is overdue.
const PAUSE_SHARE: f64 = 0.25;

/// The tails of topics that gateways share.
pub(crate) struct SharedTails {
    readers: TailReaders,
    configuration: PublishedTail,
    workers: PublishedTail,
    quarantine: PublishedTail,
    /// Whether the log is unavailable to this gateway, so that its reads are relayed.
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

    /// Returns the published tail of a topic; `None` if the topic is not shared.
    fn published(&self, topic: Topic) -> Option<&PublishedTail> {
        match topic {
            Topic::Configuration => Some(&self.configuration),
            Topic::Workers => Some(&self.workers),
            Topic::Quarantine => Some(&self.quarantine),
            Topic::Jobs | Topic::Gateways | Topic::Limits => None,
        }
    }

    /// Returns the shared tail of a topic. `is_relevant` selects the records that readers pass on; see
    /// [`relevant_records`].
    pub(crate) fn shared_tail(
        self: &Arc<Self>,
        topic: Topic,
        is_relevant: impl Fn(&KeyedRecord) -> bool + Send + Sync + 'static,
    ) -> SharedTail {
        SharedTail {
            tails: Arc::clone(self),
            topic,
            is_relevant: Box::new(is_relevant),
        }
    }

    /// Answers another gateway that waits for a change.
    pub(crate) async fn answer_peer(
        &self,
        request: Request<Incoming>,
        calls: &BodyBuffers,
    ) -> CallerAnswer {
        let call: TailCall = match read_call(request, CALL_BYTES, calls).await {
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

/// The shared tail of one topic, as used by the follower of the topic.
pub(crate) struct SharedTail {
    tails: Arc<SharedTails>,
    topic: Topic,
    is_relevant: Box<dyn Fn(&KeyedRecord) -> bool + Send + Sync>,
}

impl SharedTail {
    /// Requests the records from an offset on from a reader. Returns `None` if this gateway is to read the log itself.
    pub(crate) async fn read_from_reader(&self, from: u64, timing: TailTiming) -> Option<TailPart> {
        let call = TailCall {
            topic: self.topic,
            from,
            wait: timing.wait,
        };
        let reader = self.tails.readers.assigned_reader()?;
        // Gateways with an older list may still use this one as a reader, so it must stop answering them.
        self.invalidate();
        self.tails
            .readers
            .fetch(reader, &call, timing.overdue_after())
            .await
    }

    /// Publishes the records that the log returned to this gateway from an offset on. If this gateway is not a reader
    /// or its reads are relayed, stops answering instead.
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
        // Relayed reads arrive late, so it is faster for the other gateways to read the log themselves.
        let is_direct = !*self.tails.log_unavailable.borrow();
        if !is_direct || !self.tails.readers.is_reader() {
            return published.invalidate();
        }
        let next = records.last().map_or(from, |record| record.offset + 1);
        let next_answer = timing.overdue_after().mul_f64(1.0 + PAUSE_SHARE);
        let valid_until = self.tails.clock.now() + next_answer;
        let records = relevant_records(records, &self.is_relevant);
        published.record_read(from, records, next, valid_until, returned_at);
    }

    /// Stops answering other gateways until the next read is published, since the log does not answer this gateway in
    /// time or this gateway does not read it.
    pub(crate) fn invalidate(&self) {
        if let Some(published) = self.tails.published(self.topic) {
            published.invalidate();
        }
    }
}
