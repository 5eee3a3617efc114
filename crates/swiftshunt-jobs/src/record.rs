//! The records of batch jobs.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use swiftshunt_types::TenantName;

/// An item of a batch job, as its caller handed it in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// Its identifier, unique within the job.
    pub id: String,
    /// The path that it is sent to.
    pub path: String,
    /// Headers to send.
    pub headers: Vec<(String, String)>,
    /// Body to send.
    pub body: Bytes,
    /// Tokens of the prompt and the most that come out.
    pub tokens: u64,
}

/// A batch job, as its caller handed it in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its identifier.
    pub id: String,
    /// The host that the caller named.
    pub host: String,
    /// The path that it was handed in at.
    pub path: String,
    /// Its items.
    pub items: Vec<ItemSpec>,
    /// When it was taken, in milliseconds of Unix time by the clock of the gateway that took it; 0 if
    /// that is not known. Clocks differ and jump: it decides which item goes first, and nothing else.
    #[serde(default)]
    pub taken_unix_ms: u64,
    /// The tenant that handed it in, and for which its items run, whatever becomes of the tenant; none
    /// where callers need no keys.
    #[serde(default)]
    pub tenant: Option<TenantName>,
    /// The route that it was handed in on, whose limit it counts for; none in records of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
}

/// The identifier of a job within the system. Callers choose identifiers: those of two tenants never
/// meet, so that a tenant's job is for another as if it did not exist.
pub fn qualified_job_id(tenant: Option<&TenantName>, id: &str) -> String {
    match tenant {
        None => id.to_owned(),
        Some(tenant) => format!("{}:{tenant}:{id}", tenant.as_str().len()),
    }
}

/// Largest age that is believed: a clock that was set wrong tells of any.
const OLDEST: Duration = Duration::from_secs(600);

impl JobSpec {
    /// How long ago the job was taken by the clocks, at `unix_ms`; nothing if that is not known.
    pub fn age(&self, unix_ms: u64) -> Duration {
        if self.taken_unix_ms == 0 {
            return Duration::ZERO;
        }
        let age = unix_ms.saturating_sub(self.taken_unix_ms);
        Duration::from_millis(age).min(OLDEST)
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The whole output is there.
    Completed,
    /// It will not be tried again.
    GivenUp,
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// Index of the item in the job.
    pub item: u32,
    /// How it ended.
    pub outcome: ItemOutcome,
    /// The output; empty unless completed.
    pub text: String,
}

/// The output of an item so far, left by a runner for the next one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Index of the item in the job.
    pub item: u32,
    /// The last event that is in the text.
    pub last_event: u64,
    /// Data of all events so far.
    pub text: String,
    /// Runs that failed.
    pub failures: u32,
}

/// A record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobRecord {
    /// The job is the system's to keep.
    Accepted(JobSpec),
    /// Results of items of a job.
    Settled {
        /// The job.
        job: String,
        /// The results.
        results: Vec<Settled>,
    },
    /// Items of a job that go on with another runner.
    HandedOver {
        /// The job.
        job: String,
        /// How far they are.
        progress: Vec<Progress>,
    },
    /// The caller ended the job.
    Ended {
        /// The job.
        job: String,
    },
}

impl JobRecord {
    /// The job that the record is about.
    pub fn job(&self) -> &str {
        match self {
            Self::Accepted(spec) => &spec.id,
            Self::Settled { job, .. } | Self::HandedOver { job, .. } | Self::Ended { job } => job,
        }
    }
}
