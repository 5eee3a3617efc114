//! Tenants: their keys and limits, and the lookup of a caller's tenant.
//!
//! This module sees only digests of keys; the code that reads a key computes its digest.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};
use swiftshunt_topology::Residency;
use swiftshunt_types::{RateLimit, TenantName};

/// Key derivation context of BLAKE3; it separates digests of callers' keys from digests of other data.
const DIGEST_CONTEXT: &str = "swiftshunt 2026-12 caller key";

/// Size of a digest in bytes. Each configuration carries the digests of all keys, so they are short; 128 bits are
/// enough to tell keys apart.
const DIGEST_BYTES: usize = 16;

/// The digest of a caller's key. The duration of a lookup does not reveal how much of a guessed key is right,
/// because a nearly right key has an unrelated digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        hasher.update(key.as_bytes());
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }

    /// Returns the digest as hexadecimal digits.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// Parses hexadecimal digits; returns `None` unless there are exactly 32 of them.
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

/// A tenant: callers that share keys, a priority and a rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name; unique, not empty and without control characters.
    pub name: TenantName,
    /// Digests of the tenant's keys; if there are none, no caller can act as this tenant.
    pub keys: Vec<KeyDigest>,
    /// Priority, which takes precedence over that of routes; 0 is the highest.
    pub priority: u32,
    /// Limit of the tenant's requests over all gateways together; `None` if there is no limit.
    pub rate: Option<RateLimit>,
    /// Regions in which the tenant's requests may be handled.
    pub residency: Residency,
}

/// The reason why the tenants of a configuration are rejected.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum TenantError {
    /// A name that is empty or contains control characters.
    #[display("tenants: a tenant has no name, or one with control characters")]
    Name,
    /// Two tenants with the same name.
    #[display("tenants.{tenant}: there are two of that name")]
    DuplicateName {
        /// The name that is used twice.
        tenant: TenantName,
    },
    /// A key that belongs to two tenants.
    #[display("tenants.{tenant}: a key belongs to {other}, too")]
    SharedKey {
        /// One of the two tenants.
        tenant: TenantName,
        /// The other tenant.
        other: TenantName,
    },
    /// A rate limit that is negative or not finite.
    #[display("tenants.{tenant}: its limit of requests must be a number from 0 on")]
    Rate {
        /// The tenant with that limit.
        tenant: TenantName,
    },
}

/// The credentials that a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credentials {
    /// The request carries no credentials.
    Missing,
    /// The credentials are not a key: another scheme, several keys, blanks within, or too long.
    Unreadable,
    /// The digest of the key that the request carries.
    Key(KeyDigest),
}

/// The caller of a request, as identified by its credentials.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// Any caller: the configuration has no tenants, and only workers evaluate the credentials.
    Unchecked,
    /// A caller without a known key, on a public route.
    Anyone,
    /// A caller with a key of this tenant.
    Tenant(Arc<Tenant>),
}

impl Caller {
    /// Returns the caller's tenant; `None` if the caller was not identified as one.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Unchecked | Self::Anyone => None,
        }
    }

    /// Returns the name of the caller's tenant; `None` if the caller was not identified as one.
    pub fn tenant_name(&self) -> Option<&TenantName> {
        self.tenant().map(|tenant| &tenant.name)
    }
}

/// The reason why a caller is rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Rejected {
    /// The request carries no credentials.
    #[display("no key")]
    NoKey,
    /// The credentials are not a key.
    #[display("not a key")]
    Unreadable,
    /// The key belongs to no tenant.
    #[display("unknown key")]
    UnknownKey,
}

/// All tenants of a configuration, with an index by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    all: Vec<Arc<Tenant>>,
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
}

impl Tenants {
    /// Indexes the tenants by their keys. Call [`Configuration::validate`](crate::Configuration::validate) to
    /// reject duplicate names and keys of two tenants.
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

    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.all.iter()
    }

    pub(crate) fn named(&self, name: &TenantName) -> Option<&Arc<Tenant>> {
        self.all.iter().find(|tenant| tenant.name == *name)
    }

    /// Checks the names, keys and rate limits of all tenants; returns the first fault.
    pub(crate) fn validate(&self) -> Result<(), TenantError> {
        let mut names = BTreeSet::new();
        for tenant in &self.all {
            let name = &tenant.name;
            let is_printable = !name.as_str().chars().any(char::is_control);
            if name.as_str().is_empty() || !is_printable {
                return Err(TenantError::Name);
            }
            if !names.insert(name) {
                let tenant = name.clone();
                return Err(TenantError::DuplicateName { tenant });
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

    /// Identifies the caller by its credentials. A known key identifies its tenant on public routes, too.
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
    let is_finite_non_negative = |requests: f64| requests.is_finite() && requests >= 0.0;
    let is_valid = |rate: RateLimit| {
        is_finite_non_negative(rate.per_second) && is_finite_non_negative(rate.burst)
    };
    if tenant.rate.is_none_or(is_valid) {
        return Ok(());
    }
    Err(TenantError::Rate {
        tenant: tenant.name.clone(),
    })
}
