//! The interface to the log. Implementations translate calls and results and make no decisions of their own.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};

/// A topic of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The configuration that operators publish.
    Configuration,
    /// The directory of workers.
    Workers,
    /// The records of batch jobs.
    Jobs,
    /// The gateways that are running.
    Gateways,
    /// Workers that ended while they ran a request, as evidence for the quarantine of requests.
    Quarantine,
    /// The registers of limits that apply to all gateways together: which gateway counts each of them.
    Limits,
}

/// A record of a keyed partition. An empty value drops the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord {
    /// Offset of the record in the partition.
    pub offset: u64,
    /// Key; a newer record replaces older ones with the same key.
    pub key: Vec<u8>,
    /// Content; empty if the record drops its key.
    pub value: Bytes,
}

/// The outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The records were appended; the last one is just before `end`.
    Done {
        /// End offset of the partition after the append.
        end: u64,
    },
    /// No record was appended or will be: the log rejected the append or could not be reached.
    Refused,
    /// The log did not answer: the records may have been appended, may still be appended later, or never.
    Unknown,
}

/// The outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadOutcome {
    /// Records from the requested offset on; possibly none.
    Records {
        /// The records, in the order of their offsets.
        records: Vec<KeyedRecord>,
        /// End offset of the partition.
        end: u64,
    },
    /// The log no longer keeps the records at the requested offset.
    Dropped,
}

/// A page of a listing of the newest record of each key, in the order of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewestPage {
    /// The records of this page.
    pub records: Vec<KeyedRecord>,
    /// Whether more pages follow.
    pub more: bool,
    /// End offset of the partition when this page was read.
    pub end: u64,
}

/// The partitions that the group assigns to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Generation of the group, which rises with each change of its members.
    pub generation: u64,
    /// The partitions that the member holds.
    pub partitions: Vec<u32>,
}

/// The reason why a call to the log failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogError {
    /// The log rejected the call; it had no effect.
    #[display("the log refused the call (status {status})")]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// No connection could be made; the call had no effect.
    #[display("the log is not reached: {reason}")]
    Unreachable {
        /// The error of the connection.
        reason: String,
    },
    /// The log sent no response, or one that cannot be decoded; the call may have taken effect.
    #[display("the log did not answer: {reason}")]
    Unanswered {
        /// The error of the connection or the decoder.
        reason: String,
    },
}

/// An append-only log with keyed partitions and groups that share the partitions of a topic.
pub trait Log: Send + Sync {
    /// Appends records, as pairs of key and value, to one partition: all or none.
    fn append(
        &self,
        topic: Topic,
        partition: u32,
        records: Vec<(Vec<u8>, Bytes)>,
    ) -> BoxFuture<'_, AppendOutcome>;

    /// Reads records from an offset on; if there are none yet, waits up to `wait` for the first one.
    fn read(
        &self,
        topic: Topic,
        partition: u32,
        from: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ReadOutcome, LogError>>;

    /// Reads a page of the newest records of the keys that follow `after`, or of all keys if it is `None`.
    fn newest(
        &self,
        topic: Topic,
        partition: u32,
        after: Option<Vec<u8>>,
    ) -> BoxFuture<'_, Result<NewestPage, LogError>>;

    /// Joins the group that shares a topic's partitions, or renews the membership for `ttl`; returns the partitions
    /// that the member holds. `generation` is the newest generation that the member has received.
    fn renew<'a>(
        &'a self,
        topic: Topic,
        member: &'a str,
        ttl: Duration,
        generation: u64,
    ) -> BoxFuture<'a, Result<Lease, LogError>>;

    /// Returns the member of the group that holds each partition of a topic; partitions that no member holds are
    /// missing.
    fn owners(&self, topic: Topic) -> BoxFuture<'_, Result<BTreeMap<u32, String>, LogError>>;

    /// Leaves the group that shares a topic's partitions.
    fn leave<'a>(&'a self, topic: Topic, member: &'a str) -> BoxFuture<'a, Result<(), LogError>>;
}
