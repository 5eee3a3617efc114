//! Messages for calls to the log that one gateway makes for another.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use swiftshunt_journal::{AppendOutcome, Lease, Log, LogError, NewestPage, ReadOutcome, Topic};

/// A call to the log, one variant for each method of [`Log`].
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

/// The outcome of a [`LogCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LogAnswer {
    /// Outcome of [`LogCall::Append`].
    Appended(AppendOutcome),
    /// Outcome of [`LogCall::Read`].
    Read(Result<ReadOutcome, LogError>),
    /// Outcome of [`LogCall::Newest`].
    Newest(Result<NewestPage, LogError>),
    /// Outcome of [`LogCall::Renew`].
    Renewed(Result<Lease, LogError>),
    /// Outcome of [`LogCall::Owners`].
    Owners(Result<BTreeMap<u32, String>, LogError>),
    /// Outcome of [`LogCall::Leave`].
    Left(Result<(), LogError>),
}

impl LogCall {
    /// Returns how long the call itself lets the log delay the answer; zero unless it is a read.
    pub(crate) fn wait(&self) -> Duration {
        match self {
            Self::Read { wait, .. } => *wait,
            _ => Duration::ZERO,
        }
    }

    /// Whether the call or its answer contains records of batch jobs.
    pub(crate) fn carries_jobs(&self) -> bool {
        match self {
            Self::Append { topic, .. } | Self::Read { topic, .. } | Self::Newest { topic, .. } => {
                *topic == Topic::Jobs
            }
            Self::Renew { .. } | Self::Owners { .. } | Self::Leave { .. } => false,
        }
    }

    /// Makes the call on `log`.
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
    /// Whether the call failed. An append with an unknown outcome counts as failed.
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

    /// Whether the call must not be repeated with the same keys: an append that was not answered may have succeeded,
    /// and no key may be written twice.
    pub(crate) fn forbids_retry(&self) -> bool {
        matches!(self, Self::Appended(AppendOutcome::Unknown))
    }
}
