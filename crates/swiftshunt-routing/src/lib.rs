//! Routing, without I/O: the versioned configuration in the product's own terms, the match of a
//! request to a route, the shares of a split, and which tenant a caller belongs to.

mod configuration;
mod split;
mod tenants;

pub use configuration::{
    ColdSpec, Configuration, ConfigurationError, CurrentConfiguration, EngineSpec, Installed,
    Limits, Repeat, Route, RouteKind, Service, Share,
};
pub use split::SplitState;
pub use tenants::{Caller, Credentials, KeyDigest, Rejected, Tenant, TenantError, Tenants};
