//! Routing, without I/O: the versioned configuration in the product's own terms, the match of a
//! request to a route, and the shares of a split.

mod configuration;
mod split;

pub use configuration::{
    Configuration, ConfigurationError, EngineSpec, Installed, Limits, Repeat, Route, RouteKind,
    Service, Share, Versioned,
};
pub use split::SplitState;
