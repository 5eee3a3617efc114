//! Calls to the log as one gateway makes them for another, and their answers.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use swiftshunt_journal::{AppendOutcome, Lease, Log, LogError, NewestPage, ReadOutcome, Topic};

/// A call to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LogCall {
    /// See [`Log::append`].
    Append {
        topic: Topic,
        partition: u32,
        records: Vec<(Vec<u8>, Bytes)>,
    },
    /// See [`Log::read`].
    Read {
        topic: Topic,
        partition: u32,
        from: u64,
        wait: Duration,
    },
    /// See [`Log::newest`].
    Newest {
        topic: Topic,
        partition: u32,
        after: Option<Vec<u8>>,
    },
    /// See [`Log::renew`].
    Renew {
        topic: Topic,
        member: String,
        ttl: Duration,
        generation: u64,
    },
    /// See [`Log::owners`].
    Owners { topic: Topic },
    /// See [`Log::leave`].
    Leave { topic: Topic, member: String },
}

/// What a call gave, by its kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LogAnswer {
    /// Of an append.
    Appended(AppendOutcome),
    /// Of a read.
    Read(Result<ReadOutcome, LogError>),
    /// Of a listing.
    Newest(Result<NewestPage, LogError>),
    /// Of a renewal.
    Renewed(Result<Lease, LogError>),
    /// Of a question for the owners.
    Owners(Result<BTreeMap<u32, String>, LogError>),
    /// Of a farewell.
    Left(Result<(), LogError>),
}

impl LogCall {
    /// How long the log may hold it on purpose.
    pub(crate) fn wait(&self) -> Duration {
        match self {
            Self::Read { wait, .. } => *wait,
            _ => Duration::ZERO,
        }
    }

    /// Whether it or its answer has batch jobs in it.
    pub(crate) fn carries_jobs(&self) -> bool {
        match self {
            Self::Append { topic, .. } | Self::Read { topic, .. } | Self::Newest { topic, .. } => {
                *topic == Topic::Jobs
            }
            Self::Renew { .. } | Self::Owners { .. } | Self::Leave { .. } => false,
        }
    }

    /// Makes the call.
    pub(crate) async fn execute(self, log: &dyn Log) -> LogAnswer {
        match self {
            Self::Append {
                topic,
                partition,
                records,
            } => LogAnswer::Appended(log.append(topic, partition, records).await),
            Self::Read {
                topic,
                partition,
                from,
                wait,
            } => LogAnswer::Read(log.read(topic, partition, from, wait).await),
            Self::Newest {
                topic,
                partition,
                after,
            } => LogAnswer::Newest(log.newest(topic, partition, after).await),
            Self::Renew {
                topic,
                member,
                ttl,
                generation,
            } => LogAnswer::Renewed(log.renew(topic, &member, ttl, generation).await),
            Self::Owners { topic } => LogAnswer::Owners(log.owners(topic).await),
            Self::Leave { topic, member } => LogAnswer::Left(log.leave(topic, &member).await),
        }
    }
}

impl LogAnswer {
    /// Whether the log was of no use.
    pub(crate) fn is_failure(&self) -> bool {
        match self {
            Self::Appended(outcome) => !matches!(outcome, AppendOutcome::Done { .. }),
            Self::Read(outcome) => outcome.is_err(),
            Self::Newest(outcome) => outcome.is_err(),
            Self::Renewed(outcome) => outcome.is_err(),
            Self::Owners(outcome) => outcome.is_err(),
            Self::Left(outcome) => outcome.is_err(),
        }
    }

    /// Whether the call may not be made again as it is: it was perhaps done, and no key is written
    /// twice.
    pub(crate) fn forbids_retry(&self) -> bool {
        matches!(self, Self::Appended(AppendOutcome::Unknown))
    }
}
