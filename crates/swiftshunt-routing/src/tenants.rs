//! Tenants: their keys, their limits, and to which of them a caller belongs.
//!
//! Keys themselves never come this far: whoever reads them hands over their digests.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};
use swiftshunt_topology::Residency;
use swiftshunt_types::{RateLimit, TenantName};

/// What sets digests of keys apart from those of anything else.
const DIGEST_CONTEXT: &str = "swiftshunt 2026-12 caller key";

/// Bytes of a digest: it is passed on with each configuration, and 128 bits tell keys apart.
const DIGEST_BYTES: usize = 16;

/// A digest of a caller's key. How long a look-up takes says nothing of how much of a key was right, since
/// a key that is nearly right has another digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        hasher.update(key.as_bytes());
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }

    /// In hexadecimal digits.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// From hexadecimal digits; none if they are no digest.
    pub fn from_hex(digits: &str) -> Option<Self> {
        let mut digest = [0; DIGEST_BYTES];
        hex::decode_to_slice(digits, &mut digest).ok()?;
        Some(Self(digest))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// Digests of its keys; without any nobody can call in its name.
    pub keys: Vec<KeyDigest>,
    /// Rank, which goes before that of routes; 0 is highest.
    pub priority: u32,
    /// Limit of its requests over all gateways together; none if there is none.
    pub rate: Option<RateLimit>,
    /// Where its requests may be handled.
    pub residency: Residency,
}

/// Why tenants are not taken.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum TenantError {
    /// A name that is empty or no text.
    #[display("tenants: a tenant has no name, or one with control characters")]
    Name,
    /// Two tenants of one name.
    #[display("tenants.{tenant}: there are two of that name")]
    TwoOfAName {
        /// The name.
        tenant: TenantName,
    },
    /// A key that belongs to two tenants.
    #[display("tenants.{tenant}: a key belongs to {other}, too")]
    SharedKey {
        /// One of them.
        tenant: TenantName,
        /// The other.
        other: TenantName,
    },
    /// A limit that is no number of requests.
    #[display("tenants.{tenant}: its limit of requests must be a number from 0 on")]
    Rate {
        /// The tenant.
        tenant: TenantName,
    },
}

/// What a caller shows of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credentials {
    /// Nothing.
    Missing,
    /// Something that is no key: another scheme, several keys, blanks, too long.
    Unreadable,
    /// A key.
    Key(KeyDigest),
}

/// Who calls.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// Anyone: the configuration has no tenants, and what callers show concerns workers alone.
    Unchecked,
    /// Anyone, on a route that is open to all.
    Anyone,
    /// A tenant.
    Tenant(Arc<Tenant>),
}

impl Caller {
    /// The tenant, if it is one.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Unchecked | Self::Anyone => None,
        }
    }

    /// The tenant's name, if it is one.
    pub fn tenant_name(&self) -> Option<&TenantName> {
        self.tenant().map(|tenant| &tenant.name)
    }
}

/// Why a caller is not served.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Rejected {
    /// It shows no key.
    #[display("no key")]
    NoKey,
    /// What it shows is no key.
    #[display("not a key")]
    Unreadable,
    /// No tenant has the key.
    #[display("unknown key")]
    UnknownKey,
}

/// All tenants of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    all: Vec<Arc<Tenant>>,
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
}

impl Tenants {
    /// The tenants, by their keys.
    pub fn new(tenants: Vec<Tenant>) -> Self {
        let all: Vec<Arc<Tenant>> = tenants.into_iter().map(Arc::new).collect();
        let by_key = all.iter().flat_map(|tenant| {
            let keys = tenant.keys.iter();
            keys.map(|key| (*key, Arc::clone(tenant)))
        });
        Self {
            by_key: by_key.collect(),
            all,
        }
    }

    /// All tenants.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.all.iter()
    }

    /// The tenant of a name.
    pub(crate) fn named(&self, name: &TenantName) -> Option<&Arc<Tenant>> {
        self.all.iter().find(|tenant| tenant.name == *name)
    }

    /// Refuses tenants that cannot be told apart or limited.
    pub(crate) fn validate(&self) -> Result<(), TenantError> {
        let mut names = BTreeSet::new();
        for tenant in &self.all {
            let name = &tenant.name;
            let is_text = !name.as_str().chars().any(char::is_control);
            if name.as_str().is_empty() || !is_text {
                return Err(TenantError::Name);
            }
            if !names.insert(name) {
                let tenant = name.clone();
                return Err(TenantError::TwoOfAName { tenant });
            }
            self.validate_keys(tenant)?;
            validate_rate(tenant)?;
        }
        Ok(())
    }

    fn validate_keys(&self, tenant: &Tenant) -> Result<(), TenantError> {
        let holders = tenant.keys.iter().filter_map(|key| self.by_key.get(key));
        let mut others = holders.filter(|holder| holder.name != tenant.name);
        match others.next() {
            None => Ok(()),
            Some(other) => Err(TenantError::SharedKey {
                tenant: tenant.name.clone(),
                other: other.name.clone(),
            }),
        }
    }

    /// Who calls with these credentials. A key that is known names its tenant on public routes, too.
    pub(crate) fn caller(
        &self,
        is_public: bool,
        credentials: &Credentials,
    ) -> Result<Caller, Rejected> {
        let rejected = match credentials {
            Credentials::Missing => Rejected::NoKey,
            Credentials::Unreadable => Rejected::Unreadable,
            Credentials::Key(key) => match self.by_key.get(key) {
                Some(tenant) => return Ok(Caller::Tenant(Arc::clone(tenant))),
                None => Rejected::UnknownKey,
            },
        };
        if is_public {
            Ok(Caller::Anyone)
        } else {
            Err(rejected)
        }
    }
}

fn validate_rate(tenant: &Tenant) -> Result<(), TenantError> {
    let is_number = |requests: f64| requests.is_finite() && requests >= 0.0;
    let is_sound = |rate: RateLimit| is_number(rate.per_second) && is_number(rate.burst);
    if tenant.rate.is_none_or(is_sound) {
        return Ok(());
    }
    Err(TenantError::Rate {
        tenant: tenant.name.clone(),
    })
}
