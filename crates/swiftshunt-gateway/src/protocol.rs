//! The interface to a platform's protocol. Implementations only translate between the protocol and these types; they
//! make no decisions and hold no state.

use std::time::Duration;

use bytes::Bytes;
use hyper::http::response;
use hyper::{HeaderMap, Method, Uri};
use swiftshunt_jobs::qualified_job_id;
use swiftshunt_jobs::{ItemSpec, JobSpec, Page};
use swiftshunt_routing::{Caller, Configuration, Credentials};
use swiftshunt_scheduler::directory::WorkerEntry;
use swiftshunt_scheduler::prefix_cache::PromptPart;
use swiftshunt_scheduler::selection::ReportedLoad;
use swiftshunt_types::TenantName;

/// The kind of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// A request that is handled by its route.
    Routed,
    /// A query for the results of a batch job from a position on.
    JobResults {
        /// Identifier of the job.
        job: String,
        /// Position of the first result.
        from: usize,
        /// Time for which the answer may be delayed until there is a result.
        wait: Duration,
    },
    /// A query for the request body of an item.
    JobItem {
        /// Identifier of the job.
        job: String,
        /// Identifier of the item.
        item: String,
    },
    /// A request to end a batch job.
    JobEnd {
        /// Identifier of the job.
        job: String,
    },
    /// A request whose path belongs to batch jobs, but which is not a valid call about a job.
    Malformed,
}

impl Call {
    /// Returns the identifier of the job that the call is about, and the time for which its answer may be delayed;
    /// `None` for a call that is not about a job.
    pub fn job(&self) -> Option<(&str, Duration)> {
        match self {
            Self::JobResults { job, wait, .. } => Some((job, *wait)),
            Self::JobItem { job, .. } | Self::JobEnd { job } => Some((job, Duration::ZERO)),
            Self::Routed | Self::Malformed => None,
        }
    }

    /// Replaces the identifier that a tenant gave its job by the one that is unique among all tenants.
    pub fn for_tenant(mut self, tenant: Option<&TenantName>) -> Self {
        match &mut self {
            Self::JobResults { job, .. } | Self::JobItem { job, .. } | Self::JobEnd { job } => {
                *job = qualified_job_id(tenant, job);
            }
            Self::Routed | Self::Malformed => {}
        }
        self
    }
}

/// The identity for which a request runs, as its worker gets it in a header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The configuration has no tenants: callers need no keys, and their credentials are forwarded to workers.
    Unchecked,
    /// An anonymous caller of a route that is open to all.
    Anyone,
    /// A tenant, identified by its key.
    Tenant(TenantName),
}

impl From<&Caller> for Identity {
    fn from(caller: &Caller) -> Self {
        match caller {
            Caller::Unchecked => Self::Unchecked,
            Caller::Anyone => Self::Anyone,
            Caller::Tenant(tenant) => Self::Tenant(tenant.name.clone()),
        }
    }
}

/// The information that the headers of a request carry.
#[derive(Clone, Debug, Default)]
pub struct RequestFacts {
    /// Identifier of this attempt of the caller; `None` if the caller sent none.
    pub id: Option<String>,
    /// Time for which the caller waits, counted from its send; `None` if the caller sent none.
    pub caller_timeout: Option<Duration>,
    /// The parts of the prompt.
    pub prompt: Vec<PromptPart>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Largest number of tokens of the answer.
    pub output_tokens: u64,
    /// Identifier of the last event of a stream that the caller has; `None` for a new stream.
    pub last_event: Option<u64>,
    /// Identifier of the caller's attempt that brought the first event of a stream that the caller takes up; `None` if
    /// the caller names none.
    pub first_attempt: Option<String>,
}

/// The information that is added to the headers of a request for a worker.
#[derive(Clone, Debug)]
pub struct SendFacts<'s> {
    /// Identifier of the only worker that may run the request.
    pub worker: &'s str,
    /// Time left until the caller gives up; `None` if the worker gets no deadline.
    pub time_left: Option<Duration>,
    /// Identifier of the last event that was received, for a stream that is resumed.
    pub last_event: Option<u64>,
    /// The identity for which the request runs.
    pub identity: &'s Identity,
}

/// The information that the head of a worker's answer carries.
#[derive(Clone, Debug, Default)]
pub struct AnswerFacts {
    /// Identifier of the answered request; `None` if the answer names none.
    pub request_id: Option<String>,
    /// Whether the answer carries the worker's signature.
    pub signed: bool,
    /// Whether the worker declares that it did not run the request and will not run it.
    pub declined: bool,
    /// Load that the worker reports; `None` if it reports none.
    pub load: Option<ReportedLoad>,
    /// Idle time-out of the connection that the worker announces; `None` if it announces none.
    pub keep_alive: Option<Duration>,
    /// Time for which the worker will remain cold; `None` if the worker does not report it.
    pub cold_left: Option<Duration>,
}

/// A body in the platform's encoding.
pub struct Encoded {
    /// Value of the content-type header.
    pub content_type: &'static str,
    /// The encoded body.
    pub body: Bytes,
}

/// The error of a body or record that cannot be decoded.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{reason}")]
pub struct Malformed {
    /// Description and position of the error.
    pub reason: String,
}

/// The kind of a record that operators write, as determined by its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRecord {
    /// The configuration.
    Configuration,
    /// The evacuation of a zone: its workers get no new requests as long as the record exists.
    Evacuation {
        /// Name of the zone.
        zone: String,
    },
    /// A record that does not concern gateways.
    Other,
}

/// The protocol of a platform.
pub trait Protocol: Send + Sync {
    /// Returns the kind of a caller's request.
    fn classify_request(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Call;
    /// Reads the information that the headers of a request carry.
    fn request_facts(&self, headers: &HeaderMap) -> RequestFacts;
    /// Reads the credentials that a request carries.
    fn read_credentials(&self, headers: &HeaderMap) -> Credentials;
    /// Returns the authentication scheme of callers' keys, as named to callers without a known key.
    fn key_scheme(&self) -> &'static str;
    /// Sets the headers that a worker needs, and removes those that it must not see.
    fn set_worker_headers(&self, headers: &mut HeaderMap, facts: &SendFacts<'_>);
    /// Reads the information that the head of a worker's answer carries.
    fn answer_facts(&self, head: &response::Parts) -> AnswerFacts;
    /// Decodes a batch job from the body of its submission.
    fn parse_job(
        &self,
        id: &str,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Result<JobSpec, Malformed>;
    /// Returns the headers of an item's request.
    fn item_headers(&self, item: &ItemSpec) -> HeaderMap;
    /// Returns the information that the headers of an item's request carry.
    fn item_facts(&self, item: &ItemSpec) -> RequestFacts {
        self.request_facts(&self.item_headers(item))
    }
    /// Encodes a page of results that begins at position `from`.
    fn encode_job_page(&self, job: &JobSpec, page: &Page<'_>, from: usize) -> Encoded;
    /// Returns the kind of a record that operators write.
    fn classify_record(&self, key: &[u8]) -> OperatorRecord;
    /// Decodes a configuration. Returns `None` if the key is not that of the configuration.
    fn parse_configuration(
        &self,
        key: &[u8],
        value: &[u8],
    ) -> Result<Option<Configuration>, Malformed>;
    /// Decodes an entry of the directory.
    fn parse_worker(&self, key: &[u8], value: &[u8]) -> Result<WorkerEntry, Malformed>;
}
