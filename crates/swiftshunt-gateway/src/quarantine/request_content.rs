//! The content of a request and its fingerprint. The fingerprint is computed on first use only, so that no body is
//! hashed while no worker ends.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use hyper::{Method, Uri};
use swiftshunt_scheduler::prefix_cache::PromptPart;
use swiftshunt_scheduler::quarantine::{Fingerprint, RequestIdentity};

use crate::protocol::Identity;

/// Most shared parts of a prompt that are looked at; parts further behind are shared by fewer requests.
const MAX_SHARED_PARTS: usize = 8;

/// What a request is part of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A caller waits for its answer.
    Online,
    /// It is an item of an accepted batch job.
    BatchItem,
}

/// The content of a request, which is the same in all its attempts.
#[derive(Clone, Debug)]
pub(crate) struct RequestContent(Arc<Parts>);

#[derive(Debug)]
struct Parts {
    origin: RequestOrigin,
    identity: Identity,
    host: String,
    method: Method,
    target: Uri,
    body: Bytes,
    /// Identifiers of the parts of the prompt that other requests may share: all but the last.
    shared_parts: Vec<u64>,
    fingerprint: OnceLock<Fingerprint>,
    part_fingerprints: OnceLock<Vec<Fingerprint>>,
}

impl RequestContent {
    pub(crate) fn new(
        origin: RequestOrigin,
        identity: Identity,
        host: &str,
        method: Method,
        target: Uri,
        body: Bytes,
        prompt: &[PromptPart],
    ) -> Self {
        let shared = prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared = shared.iter().take(MAX_SHARED_PARTS);
        Self(Arc::new(Parts {
            origin,
            identity,
            host: host.to_owned(),
            method,
            target,
            body,
            shared_parts: shared.map(|part| part.id).collect(),
            fingerprint: OnceLock::new(),
            part_fingerprints: OnceLock::new(),
        }))
    }

    /// Whether ends of workers may be the fault of the request. Items of accepted jobs are owed and never end workers by
    /// themselves, so that the ends of workers that ran them are the fault of something else.
    pub(crate) fn may_end_workers(&self) -> bool {
        self.0.origin == RequestOrigin::Online
    }

    /// Returns the identity of the caller.
    pub(crate) fn identity(&self) -> &Identity {
        &self.0.identity
    }

    /// Returns the host that the request names.
    pub(crate) fn host(&self) -> &str {
        &self.0.host
    }

    /// Returns the HTTP method.
    pub(crate) fn method(&self) -> &Method {
        &self.0.method
    }

    /// Returns the request target: path and query.
    pub(crate) fn target(&self) -> &Uri {
        &self.0.target
    }

    /// Returns the body.
    pub(crate) fn body(&self) -> &Bytes {
        &self.0.body
    }

    /// Returns the fingerprint; the first call computes it.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let parts = &self.0;
        *parts.fingerprint.get_or_init(|| {
            Fingerprint::of(&RequestIdentity {
                caller: match &parts.identity {
                    Identity::Tenant(name) => name.as_str(),
                    // Callers without a checked key cannot be told apart.
                    Identity::Unchecked | Identity::Anyone => "",
                },
                host: &parts.host,
                method: parts.method.as_str(),
                path: parts
                    .target
                    .path_and_query()
                    .map_or("", |path| path.as_str()),
                body: &parts.body,
            })
        })
    }

    /// Returns the fingerprints of the parts of the prompt that other requests may share, in the order of the prompt.
    pub(crate) fn shared_parts(&self) -> &[Fingerprint] {
        let parts = &self.0;
        parts.part_fingerprints.get_or_init(|| {
            let parts = parts.shared_parts.iter();
            parts.map(|id| Fingerprint::of_prompt_part(*id)).collect()
        })
    }
}
