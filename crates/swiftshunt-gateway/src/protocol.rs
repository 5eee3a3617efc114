//! What a platform's protocol says, in the product's own terms. Implementations translate; they
//! decide nothing and keep nothing.

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

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Something that a route decides about.
    Routed,
    /// Results of a batch job from a position on.
    JobResults {
        /// The job.
        job: String,
        /// First position.
        from: usize,
        /// How long the answer may be held until there is a result.
        wait: Duration,
    },
    /// The body of an item.
    JobItem {
        /// The job.
        job: String,
        /// The item.
        item: String,
    },
    /// The end of a batch job.
    JobEnd {
        /// The job.
        job: String,
    },
    /// The path belongs to batch jobs but the call is none.
    Malformed,
}

impl Call {
    /// The job that it is about, and how long its answer may be held.
    pub fn job(&self) -> Option<(&str, Duration)> {
        match self {
            Self::JobResults { job, wait, .. } => Some((job, *wait)),
            Self::JobItem { job, .. } | Self::JobEnd { job } => Some((job, Duration::ZERO)),
            Self::Routed | Self::Malformed => None,
        }
    }

    /// The same call about the job of that identifier that a tenant handed in.
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

/// For whom a request runs, as its worker is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// Callers need no keys; what they show is passed on.
    Unchecked,
    /// Anyone.
    Anyone,
    /// A tenant.
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

/// What a request says of itself.
#[derive(Clone, Debug, Default)]
pub struct RequestFacts {
    /// Identifier of this attempt of the caller.
    pub id: Option<String>,
    /// How long the caller waits, as of sending.
    pub caller_timeout: Option<Duration>,
    /// The parts of the prompt.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that come out at most.
    pub output_tokens: u64,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What is added to a request for a worker.
#[derive(Clone, Debug)]
pub struct SendFacts<'s> {
    /// Identifier of the worker that alone may run it.
    pub worker: &'s str,
    /// Time left.
    pub time_left: Option<Duration>,
    /// The last event that is already here, for a stream that goes on.
    pub last_event: Option<u64>,
    /// For whom it runs.
    pub identity: &'s Identity,
}

/// What the head of a worker's answer says.
#[derive(Clone, Debug, Default)]
pub struct AnswerFacts {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// Whether the worker vouches for it.
    pub signed: bool,
    /// Whether the worker declares that it did not run the request and will not.
    pub declined: bool,
    /// The worker's load.
    pub load: Option<ReportedLoad>,
    /// How long the connection may rest.
    pub keep_alive: Option<Duration>,
    /// How much longer the worker is cold, if it says so.
    pub cold_left: Option<Duration>,
}

/// A body in the platform's encoding.
pub struct Encoded {
    /// Content type.
    pub content_type: &'static str,
    /// The bytes.
    pub body: Bytes,
}

/// Why a body was not understood.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{reason}")]
pub struct Malformed {
    /// What and where.
    pub reason: String,
}

/// What a record of the operators is about, by its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRecord {
    /// The configuration.
    Configuration,
    /// A zone's workers are to get nothing for as long as the record is there.
    Evacuation {
        /// The zone.
        zone: String,
    },
    /// Something else.
    Other,
}

/// A platform's protocol.
pub trait Protocol: Send + Sync {
    /// Sorts a caller's request.
    fn classify_request(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Call;
    /// Reads what a request says of itself.
    fn request_facts(&self, headers: &HeaderMap) -> RequestFacts;
    /// Reads what a caller shows of itself.
    fn read_credentials(&self, headers: &HeaderMap) -> Credentials;
    /// The scheme under which callers show their keys.
    fn key_scheme(&self) -> &'static str;
    /// Sets what a worker needs to be told, and takes off what it must not learn.
    fn set_worker_headers(&self, headers: &mut HeaderMap, facts: &SendFacts<'_>);
    /// Reads the head of a worker's answer.
    fn answer_facts(&self, head: &response::Parts) -> AnswerFacts;
    /// Reads a batch job.
    fn parse_job(
        &self,
        id: &str,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Result<JobSpec, Malformed>;
    /// Headers of an item's request.
    fn item_headers(&self, item: &ItemSpec) -> HeaderMap;
    /// What an item's request says of itself.
    fn item_facts(&self, item: &ItemSpec) -> RequestFacts {
        self.request_facts(&self.item_headers(item))
    }
    /// Writes a page of results that begins at position `from`.
    fn encode_job_page(&self, job: &JobSpec, page: &Page<'_>, from: usize) -> Encoded;
    /// What a record of the operators is about.
    fn classify_record(&self, key: &[u8]) -> OperatorRecord;
    /// Reads a configuration.
    fn parse_configuration(
        &self,
        key: &[u8],
        value: &[u8],
    ) -> Result<Option<Configuration>, Malformed>;
    /// Reads an entry of the directory.
    fn parse_worker(&self, key: &[u8], value: &[u8]) -> Result<WorkerEntry, Malformed>;
}
