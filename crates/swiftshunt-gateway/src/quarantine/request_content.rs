//! The content of a request and its fingerprint. The fingerprint is computed on first use only, so that no body is
//! hashed while no worker ends.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use hyper::{Method, Uri};
use swiftshunt_scheduler::quarantine::{Fingerprint, RequestIdentity};

use crate::protocol::Identity;

/// The content of a request, which is the same in all its attempts.
#[derive(Clone, Debug)]
pub(crate) struct RequestContent(Arc<Parts>);

#[derive(Debug)]
struct Parts {
    identity: Identity,
    host: String,
    method: Method,
    target: Uri,
    body: Bytes,
    fingerprint: OnceLock<Fingerprint>,
}

impl RequestContent {
    pub(crate) fn new(
        identity: Identity,
        host: &str,
        method: Method,
        target: Uri,
        body: Bytes,
    ) -> Self {
        Self(Arc::new(Parts {
            identity,
            host: host.to_owned(),
            method,
            target,
            body,
            fingerprint: OnceLock::new(),
        }))
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
}
