//! Counters of the bytes that this gateway sends and receives, by content and distance: the bandwidth between two
//! regions is small, and operators must see what uses it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use swiftshunt_journal::{
    AppendOutcome, KeyedRecord, Lease, Log, LogError, NewestPage, ReadOutcome, Topic,
};
use swiftshunt_topology::Distance;

use crate::messages::Notice;
use crate::messages::slots::SlotMessage;

/// The content of counted bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Content {
    /// Notices of long prompts.
    Prompts,
    /// Notices by which gateways announce their start.
    Gateways,
    /// Reports to owners of cells, and the owners' acknowledgements.
    SlotReports,
    /// Requests for slots to owners of cells, and the owners' answers.
    SlotQuestions,
    /// Grants and orders of owners of cells, and failures reported to them.
    SlotOrders,
    /// Announcements of free slots to other regions.
    Room,
    /// Messages about the limits of tokens that wait on batch routes.
    WaitingLimits,
    /// Messages about the rate limits of tenants.
    Rates,
    /// Messages about requests in quarantine.
    Quarantine,
    /// Requests for start permits for cold workers, and the issuers' answers.
    ColdStarts,
    /// Messages about the origins of streams.
    Origins,
    /// Questions about how other gateways reach the workers of a service, and the answers.
    WorkerReach,
    /// Tails of topics that one gateway reads for others.
    Tails,
    /// Requests to workers.
    Requests,
    /// Answers of workers.
    Answers,
}

impl From<&Notice> for Content {
    fn from(notice: &Notice) -> Self {
        match notice {
            Notice::Reading { .. } => Self::Prompts,
            Notice::Here { .. } => Self::Gateways,
            Notice::Slots(SlotMessage::Report { .. } | SlotMessage::Noted) => Self::SlotReports,
            Notice::Slots(SlotMessage::Ask { .. } | SlotMessage::Assigned { .. }) => {
                Self::SlotQuestions
            }
            Notice::Slots(SlotMessage::Room { .. }) => Self::Room,
            Notice::Slots(_) => Self::SlotOrders,
            Notice::Waiting(_) => Self::WaitingLimits,
            Notice::Rate(_) => Self::Rates,
            Notice::Quarantine(_) => Self::Quarantine,
            Notice::Start(_) => Self::ColdStarts,
            Notice::Origin(_) => Self::Origins,
            Notice::Reach(_) => Self::WorkerReach,
        }
    }
}

/// The distance over which bytes are sent, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum Way {
    SameZone,
    SameRegion,
    OtherRegion,
}

impl From<Distance> for Way {
    fn from(distance: Distance) -> Self {
        match distance {
            Distance::SameZone => Self::SameZone,
            Distance::SameRegion => Self::SameRegion,
            Distance::OtherRegion => Self::OtherRegion,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    content: Content,
    way: Way,
}

/// A kind of call to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum LogCall {
    Append,
    Read,
    List,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LogLabels {
    topic: String,
    call: LogCall,
}

/// The byte counters. Clones share them.
#[derive(Clone, Default)]
pub(crate) struct Traffic {
    bytes: Family<TrafficLabels, Counter>,
    log_bytes: Family<LogLabels, Counter>,
}

impl Traffic {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "traffic_bytes",
            "Bytes to and from gateways and workers, without headers, by content and way",
            self.bytes.clone(),
        );
        registry.register(
            "log_bytes",
            "Bytes of records written to the log and read from it, by topic and call",
            self.log_bytes.clone(),
        );
    }

    /// Counts bytes sent or received over a distance.
    pub(crate) fn count_bytes(&self, content: Content, distance: Distance, bytes: usize) {
        let way = distance.into();
        self.bytes
            .get_or_create(&TrafficLabels { content, way })
            .inc_by(bytes as u64);
    }

    fn count_log_bytes(&self, topic: Topic, call: LogCall, bytes: usize) {
        let topic = format!("{topic:?}").to_lowercase();
        self.log_bytes
            .get_or_create(&LogLabels { topic, call })
            .inc_by(bytes as u64);
    }
}

/// A log that counts the bytes of the records that are written to it and read from it.
pub(crate) struct CountedLog {
    log: Arc<dyn Log>,
    traffic: Traffic,
}

impl CountedLog {
    pub(crate) fn new(log: Arc<dyn Log>, traffic: Traffic) -> Self {
        Self { log, traffic }
    }
}

fn record_bytes(records: &[KeyedRecord]) -> usize {
    let bytes = records
        .iter()
        .map(|record| record.key.len() + record.value.len());
    bytes.sum()
}

impl Log for CountedLog {
    fn append(
        &self,
        topic: Topic,
        partition: u32,
        records: Vec<(Vec<u8>, Bytes)>,
    ) -> BoxFuture<'_, AppendOutcome> {
        let bytes = records.iter().map(|(key, value)| key.len() + value.len());
        self.traffic
            .count_log_bytes(topic, LogCall::Append, bytes.sum());
        self.log.append(topic, partition, records)
    }

    fn read(
        &self,
        topic: Topic,
        partition: u32,
        from: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ReadOutcome, LogError>> {
        async move {
            let outcome = self.log.read(topic, partition, from, wait).await;
            if let Ok(ReadOutcome::Records { records, .. }) = &outcome {
                let bytes = record_bytes(records);
                self.traffic.count_log_bytes(topic, LogCall::Read, bytes);
            }
            outcome
        }
        .boxed()
    }

    fn newest(
        &self,
        topic: Topic,
        partition: u32,
        after: Option<Vec<u8>>,
    ) -> BoxFuture<'_, Result<NewestPage, LogError>> {
        async move {
            let outcome = self.log.newest(topic, partition, after).await;
            if let Ok(page) = &outcome {
                let bytes = record_bytes(&page.records);
                self.traffic.count_log_bytes(topic, LogCall::List, bytes);
            }
            outcome
        }
        .boxed()
    }

    fn renew<'a>(
        &'a self,
        topic: Topic,
        member: &'a str,
        ttl: Duration,
        generation: u64,
    ) -> BoxFuture<'a, Result<Lease, LogError>> {
        self.log.renew(topic, member, ttl, generation)
    }

    fn owners(&self, topic: Topic) -> BoxFuture<'_, Result<BTreeMap<u32, String>, LogError>> {
        self.log.owners(topic)
    }

    fn leave<'a>(&'a self, topic: Topic, member: &'a str) -> BoxFuture<'a, Result<(), LogError>> {
        self.log.leave(topic, member)
    }
}
