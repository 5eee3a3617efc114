//! Routing, without I/O: the versioned configuration in a form independent of the platform's encoding, the
//! match of a request to a route, the split of a route's requests among services, and the lookup of a
//! caller's tenant.

mod configuration;
mod split;
mod tenants;

pub use configuration::{
    ColdSpec, Configuration, ConfigurationError, CurrentConfiguration, EngineSpec, Installed,
    Limits, Repeat, Route, RouteKind, Service, Share,
};
pub use split::SplitState;
pub use tenants::{Caller, Credentials, KeyDigest, Rejected, Tenant, TenantError, Tenants};
