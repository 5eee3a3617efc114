//! Names and identifiers. Each kind has its own type, so that the compiler rejects one in place of another.

use derive_more::Display;
use serde::{Deserialize, Serialize};

macro_rules! text_identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Returns the text of the identifier.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    };
}

text_identifier!(
    /// A failure domain inside a region. Each zone has its own nodes.
    ZoneName
);
text_identifier!(
    /// A named group of workers that serve the same models or submissions.
    PoolName
);
text_identifier!(
    /// A customer of the fleet. Limits and shares apply per tenant.
    TenantName
);
text_identifier!(
    /// A group of nearby zones. Links between regions are slower and have less bandwidth than links within one.
    RegionName
);
text_identifier!(
    /// A worker: a model engine or a submission worker.
    WorkerId
);
text_identifier!(
    /// A model, under the name that callers use in requests.
    ModelName
);
text_identifier!(
    /// A request of a caller. Matches answers to requests and identifies the request in logs.
    RequestId
);
text_identifier!(
    /// A submission. The identifier is derived from the tenant and the idempotency key.
    SubmissionId
);
text_identifier!(
    /// A batch job. The identifier is derived from the tenant and the idempotency key.
    JobId
);
text_identifier!(
    /// The version of a worker's software, which is independent of the version of its weights. Workers of several
    /// versions may serve side by side; the outputs of two versions do not fit together.
    SoftwareVersion
);
text_identifier!(
    /// An uploaded or generated file.
    FileId
);

/// Identifier of one run of a node's process, drawn at random when the process starts.
///
/// A restarted process has lost its log entries and its vote, so it must never use its previous identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub u64);

impl std::fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A partition of the ledger's key space.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartitionId(pub u16);

impl SubmissionId {
    const PREFIX: &'static str = "sub_";

    /// Derives the identifier from the tenant and its idempotency key. The result is the same on all nodes.
    pub fn derive(tenant: &TenantName, idempotency_key: &str) -> Self {
        Self(derive_text(Self::PREFIX, tenant, idempotency_key))
    }
}

impl JobId {
    const PREFIX: &'static str = "batch_";

    /// Derives the identifier from the tenant and its idempotency key. The result is the same on all nodes.
    pub fn derive(tenant: &TenantName, idempotency_key: &str) -> Self {
        Self(derive_text(Self::PREFIX, tenant, idempotency_key))
    }
}

/// Hexadecimal characters of the hash in a derived identifier: 128 bits, enough to avoid collisions.
const DERIVED_LENGTH: usize = 32;

fn derive_text(prefix: &str, tenant: &TenantName, key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(tenant.0.len() as u64).to_le_bytes());
    hasher.update(tenant.0.as_bytes());
    hasher.update(key.as_bytes());
    format!("{prefix}{}", &hasher.finalize().to_hex()[..DERIVED_LENGTH])
}

/// Returns the partition that owns `identifier`, out of `partitions` partitions; 0 counts as 1.
pub fn partition_of(identifier: &str, partitions: u16) -> PartitionId {
    let hash = blake3::hash(identifier.as_bytes());
    let mut prefix = [0_u8; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    let index = u64::from_le_bytes(prefix) % u64::from(partitions.max(1));
    PartitionId(u16::try_from(index).unwrap_or_default())
}
