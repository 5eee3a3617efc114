//! The records of batch jobs, as they are stored in the journal.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use swiftshunt_types::{OutputOrigin, TenantName};

/// An item of a batch job, as its caller submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// Identifier, unique within the job.
    pub id: String,
    /// Path of the request to the worker.
    pub path: String,
    /// Headers of the request to the worker.
    pub headers: Vec<(String, String)>,
    /// Body of the request to the worker.
    pub body: Bytes,
    /// Tokens of the prompt plus the maximum number of output tokens.
    pub tokens: u64,
}

/// A batch job, as its caller submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identifier within the system; see [`qualified_job_id`].
    pub id: String,
    /// Host that the caller named in the submission.
    pub host: String,
    /// Path of the submission.
    pub path: String,
    /// The items; results refer to them by index.
    pub items: Vec<ItemSpec>,
    /// When the job was accepted, in milliseconds of Unix time by the clock of the accepting gateway; 0 if unknown.
    /// Clocks of gateways differ and jump, so this time serves only to decide which item runs first.
    #[serde(default)]
    pub taken_unix_ms: u64,
    /// The tenant that submitted the job; its items run for this tenant even if the tenant is removed later. `None`
    /// if the caller was not identified as a tenant.
    #[serde(default)]
    pub tenant: Option<TenantName>,
    /// The route of the submission, whose limit of waiting tokens the job counts towards; `None` in records of
    /// earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// Version of the configuration that the accepting gateway had; one with an older configuration does not decide what
    /// becomes of the items. `None` in records of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration_version: Option<u64>,
}

/// Returns the identifier of a job within the system, from the one that the caller chose. Identifiers of different
/// tenants never collide, so that no tenant can see another tenant's job.
pub fn qualified_job_id(tenant: Option<&TenantName>, id: &str) -> String {
    match tenant {
        None => id.to_owned(),
        Some(tenant) => format!("{}:{tenant}:{id}", tenant.as_str().len()),
    }
}

/// Upper bound of a job's computed age, because a clock that is set wrong can yield any age.
const MAX_AGE: Duration = Duration::from_secs(600);

impl JobSpec {
    /// Removes the bodies of the items and returns them, in the order of the items.
    pub fn take_bodies(&mut self) -> Vec<Bytes> {
        let items = self.items.iter_mut();
        items.map(|item| std::mem::take(&mut item.body)).collect()
    }

    /// Returns how long before `unix_ms` the job was accepted, by wall clocks; zero if unknown, and 600 s at most.
    pub fn age(&self, unix_ms: u64) -> Duration {
        if self.taken_unix_ms == 0 {
            return Duration::ZERO;
        }
        let age = unix_ms.saturating_sub(self.taken_unix_ms);
        Duration::from_millis(age).min(MAX_AGE)
    }
}

/// The final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The output is complete.
    Completed,
    /// The item has no output and will not be tried again: it failed too often, is too old or cannot be sent.
    GivenUp,
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// Index of the item in the job.
    pub item: u32,
    /// The final state of the item.
    pub outcome: ItemOutcome,
    /// The output; empty unless the outcome is `Completed`.
    pub text: String,
}

/// The partial output of an item, which one runner records so that the next one can continue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Index of the item in the job.
    pub item: u32,
    /// Number of the last event whose data `text` contains.
    pub last_event: u64,
    /// Data of all events up to `last_event`.
    pub text: String,
    /// Number of runs of the item that failed.
    pub failures: u32,
    /// The service and software version that wrote `text`; `None` in records of earlier builds, whose text cannot be
    /// continued.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<OutputOrigin>,
}

/// A run of an item that its worker has failed, which counts towards the limit of attempts whoever runs the item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FailedRun {
    /// Index of the item in the job.
    pub item: u32,
    /// Random identifier of the run, so that a record that is written twice counts once.
    pub run: u64,
}

/// A record about a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobRecord {
    /// The system accepted the job and is responsible for it from now on.
    Accepted(JobSpec),
    /// Results of items of a job.
    Settled {
        /// Identifier of the job.
        job: String,
        /// The results; only the first one of each item counts.
        results: Vec<Settled>,
    },
    /// Partial outputs of items of a job that another runner is to continue, and what it has to know of their runs.
    HandedOver {
        /// Identifier of the job.
        job: String,
        /// The partial outputs.
        progress: Vec<Progress>,
        /// Runs that failed; none in records of earlier builds, which pass over those of later ones.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        failed_runs: Vec<FailedRun>,
    },
    /// The caller ended the job.
    Ended {
        /// Identifier of the job.
        job: String,
    },
}

impl JobRecord {
    /// Returns the identifier of the job that the record is about.
    pub fn job(&self) -> &str {
        match self {
            Self::Accepted(spec) => &spec.id,
            Self::Settled { job, .. } | Self::HandedOver { job, .. } | Self::Ended { job } => job,
        }
    }
}
