//! Names and identifiers, each a type of its own so that one cannot stand in for another.

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
            /// The identifier's text.
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
    /// A failure domain inside a region; each zone has nodes of its own.
    ZoneName
);
text_identifier!(
    /// A named group of workers that serve the same models or submissions.
    PoolName
);
text_identifier!(
    /// A customer of the fleet, the unit of limits and shares.
    TenantName
);
text_identifier!(
    /// Zones close together, behind thinner and slower links to others.
    RegionName
);
text_identifier!(
    /// A back end: a model engine or a submission worker.
    WorkerId
);
text_identifier!(
    /// A model as callers name it.
    ModelName
);
text_identifier!(
    /// One caller request, for matching answers and for logs.
    RequestId
);
text_identifier!(
    /// A submission, derived from tenant and idempotency key.
    SubmissionId
);
text_identifier!(
    /// A batch job.
    JobId
);
text_identifier!(
    /// An uploaded or generated file.
    FileId
);

/// Identity of one process life of a node, drawn at random at start.
///
/// A restarted process keeps no entries and no vote, so it must never act under its old identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub u64);

impl std::fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// One shard of the ledger's key space.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartitionId(pub u16);

impl SubmissionId {
    const PREFIX: &'static str = "sub_";

    /// The one identifier of a tenant's idempotency key, the same on every node.
    pub fn derive(tenant: &TenantName, idempotency_key: &str) -> Self {
        Self(derived(Self::PREFIX, tenant, idempotency_key))
    }
}

impl JobId {
    const PREFIX: &'static str = "batch_";

    /// The one identifier of a tenant's idempotency key, the same on every node.
    pub fn derive(tenant: &TenantName, idempotency_key: &str) -> Self {
        Self(derived(Self::PREFIX, tenant, idempotency_key))
    }
}

/// Hexadecimal characters kept of a derived identifier: 128 bits, ample against collisions.
const DERIVED_LENGTH: usize = 32;

fn derived(prefix: &str, tenant: &TenantName, key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(tenant.0.len() as u64).to_le_bytes());
    hasher.update(tenant.0.as_bytes());
    hasher.update(key.as_bytes());
    format!("{prefix}{}", &hasher.finalize().to_hex()[..DERIVED_LENGTH])
}

/// The partition that owns an identifier.
pub fn partition_of(identifier: &str, partitions: u16) -> PartitionId {
    let hash = blake3::hash(identifier.as_bytes());
    let mut head = [0_u8; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    let index = u64::from_le_bytes(head) % u64::from(partitions.max(1));
    PartitionId(u16::try_from(index).unwrap_or_default())
}
