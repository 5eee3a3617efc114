//! The log as the product needs it. Implementations translate; they decide nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};

/// A topic of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The operators' configuration.
    Configuration,
    /// The directory of workers.
    Workers,
    /// Batch jobs.
    Jobs,
    /// The gateways that are there.
    Gateways,
    /// Workers that ended while they ran a request.
    Quarantine,
    /// Who counts for limits over all gateways.
    Limits,
}

/// A record under a key. An empty value drops the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord {
    /// Its place in the partition.
    pub offset: u64,
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Bytes,
}

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The records stand, the last one just before `end`.
    Done {
        /// End of the partition after them.
        end: u64,
    },
    /// Nothing was done.
    Refused,
    /// No answer: the records may stand now, later or never.
    Unknown,
}

/// What a read gave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadOutcome {
    /// Records from the offset asked for.
    Records {
        /// In the order of their offsets.
        records: Vec<KeyedRecord>,
        /// End of the partition.
        end: u64,
    },
    /// The records asked for are gone.
    Dropped,
}

/// A page of the newest records, one a key, in the order of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewestPage {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Whether more follow.
    pub more: bool,
    /// End of the partition as of this page.
    pub end: u64,
}

/// What a member of a group holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Rises with each change of the group.
    pub generation: u64,
    /// The partitions held.
    pub partitions: Vec<u32>,
}

/// Why a call to the log gave nothing.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogError {
    /// The log said no; nothing was done.
    #[display("the log refused the call (status {status})")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// No connection was made; nothing was done.
    #[display("the log is not reached: {reason}")]
    Unreachable {
        /// What the connection said.
        reason: String,
    },
    /// No answer, or none that can be read.
    #[display("the log did not answer: {reason}")]
    Unanswered {
        /// What the connection said.
        reason: String,
    },
}

/// The log.
pub trait Log: Send + Sync {
    /// Appends records of one partition, all or none.
    fn append(
        &self,
        topic: Topic,
        partition: u32,
        records: Vec<(Vec<u8>, Bytes)>,
    ) -> BoxFuture<'_, AppendOutcome>;

    /// Reads from an offset on, waiting up to `wait` for a first record.
    fn read(
        &self,
        topic: Topic,
        partition: u32,
        from: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ReadOutcome, LogError>>;

    /// Reads the newest record of each key behind `after`.
    fn newest(
        &self,
        topic: Topic,
        partition: u32,
        after: Option<Vec<u8>>,
    ) -> BoxFuture<'_, Result<NewestPage, LogError>>;

    /// Joins the group that shares a topic's partitions, or stays in it.
    fn renew<'a>(
        &'a self,
        topic: Topic,
        member: &'a str,
        ttl: Duration,
        generation: u64,
    ) -> BoxFuture<'a, Result<Lease, LogError>>;

    /// Which member of the group holds each partition of a topic.
    fn owners(&self, topic: Topic) -> BoxFuture<'_, Result<BTreeMap<u32, String>, LogError>>;

    /// Leaves the group.
    fn leave<'a>(&'a self, topic: Topic, member: &'a str) -> BoxFuture<'a, Result<(), LogError>>;
}
