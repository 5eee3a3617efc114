//! What a request on its way is, and its fingerprint, made only when it is asked for: while no worker ends, no
//! body is digested.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use hyper::{Method, Uri};
use swiftshunt_scheduler::quarantine::{Fingerprint, RequestIdentity};

use crate::protocol::Identity;

/// What a request is, however often it is sent.
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

    /// For whom it runs.
    pub(crate) fn identity(&self) -> &Identity {
        &self.0.identity
    }

    /// The host that it names.
    pub(crate) fn host(&self) -> &str {
        &self.0.host
    }

    /// Its method.
    pub(crate) fn method(&self) -> &Method {
        &self.0.method
    }

    /// Path and query.
    pub(crate) fn target(&self) -> &Uri {
        &self.0.target
    }

    /// Its body.
    pub(crate) fn body(&self) -> &Bytes {
        &self.0.body
    }

    /// The digest, made at the first call.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let parts = &self.0;
        *parts.fingerprint.get_or_init(|| {
            Fingerprint::of(&RequestIdentity {
                caller: match &parts.identity {
                    Identity::Tenant(name) => name.as_str(),
                    // Nothing tells such callers apart.
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
