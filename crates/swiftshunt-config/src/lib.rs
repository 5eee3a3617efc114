//! Parsing and validation of a node's settings file and of the fleet configuration.

mod error;
mod fleet;
mod history;
mod settings;

pub use error::ConfigError;
pub use fleet::{
    FleetConfiguration, Operator, Pool, PoolKind, Tenant, TenantLimits, parse_fleet_configuration,
};
pub use history::{ConfigurationHistory, ConfigurationRecord, RecordOutcome, Version};
pub use settings::{
    LimitSettings, ListenSettings, LogLevel, LogSettings, OperatorSettings, PlatformSettings,
    Settings, load_settings, parse_settings,
};
