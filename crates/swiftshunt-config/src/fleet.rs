//! The fleet configuration, on which all nodes must agree. It is published through the log.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use swiftshunt_types::{Digest, ModelName, PoolName, TenantName};

use crate::ConfigError;

/// Tenants, operators and worker pools of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfiguration {
    /// Tenants that may send requests.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// People and programs that may send operator statements.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Worker pools.
    #[serde(default)]
    pub pools: Vec<Pool>,
}

/// A tenant: a customer with its credentials and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Unique name, used in logs and query results.
    pub name: TenantName,
    /// Digests of the bearer tokens that authenticate this tenant.
    pub token_digests: Vec<Digest>,
    /// Limits of this tenant.
    #[serde(default)]
    pub limits: TenantLimits,
}

/// Limits of a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TenantLimits {
    /// Rate limit of each node for online requests and submissions, per second. Zero or more; with zero, each node
    /// accepts only the first `burst` requests.
    pub requests_per_second: f64,
    /// Number of requests that each node accepts at once after an idle period. At least 1.
    pub burst: f64,
    /// Weight of this tenant's batch work relative to other tenants. Accepted and published, but not evaluated.
    pub batch_share: u32,
}

impl Default for TenantLimits {
    fn default() -> Self {
        Self {
            requests_per_second: 1000.0,
            burst: 2000.0,
            batch_share: 1,
        }
    }
}

/// A person or program that may send operator statements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name under which commands are recorded.
    pub name: String,
    /// Digests of the bearer tokens that authenticate this operator.
    pub token_digests: Vec<Digest>,
}

/// Kind of the workers in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Workers that perform submissions.
    Submission,
}

/// A group of workers that serve the same models or submissions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name, as used in the machine list.
    pub name: PoolName,
    /// Kind of the workers.
    pub kind: PoolKind,
    /// Models that callers may request from this pool. Empty for submission pools.
    #[serde(default)]
    pub models: Vec<ModelName>,
}

/// Parses and validates a fleet configuration. Errors name `file` as the source of the text.
pub fn parse_fleet_configuration(
    file: &str,
    text: &str,
) -> Result<FleetConfiguration, ConfigError> {
    let configuration: FleetConfiguration =
        toml::from_str(text).map_err(|error| ConfigError::malformed(file, text, &error))?;
    configuration.validate(file)?;
    Ok(configuration)
}

impl FleetConfiguration {
    /// Rejects duplicate names, digests and models, malformed digests, and limits out of range.
    pub fn validate(&self, file: &str) -> Result<(), ConfigError> {
        self.validate_tenants(file)?;
        self.validate_operators(file)?;
        self.validate_pools(file)
    }

    /// Returns the pool that serves `model`, if any.
    pub fn pool_of_model(&self, model: &ModelName) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.models.contains(model))
    }

    /// Returns the pool called `name`, if any.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == *name)
    }

    fn validate_tenants(&self, file: &str) -> Result<(), ConfigError> {
        let mut names = BTreeSet::new();
        let mut digests = BTreeSet::new();
        for (index, tenant) in self.tenants.iter().enumerate() {
            let field = |name: &str| format!("tenants[{index}].{name}");
            if !names.insert(&tenant.name) {
                return Err(ConfigError::invalid(file, &field("name"), "is used twice"));
            }
            check_digests(
                file,
                &field("token_digests"),
                &tenant.token_digests,
                &mut digests,
            )?;
            let rate = tenant.limits.requests_per_second;
            if !rate.is_finite() || rate < 0.0 {
                let reason = "must be zero or more";
                return Err(ConfigError::invalid(
                    file,
                    &field("limits.requests_per_second"),
                    reason,
                ));
            }
            if !tenant.limits.burst.is_finite() || tenant.limits.burst < 1.0 {
                let reason = "must be at least 1";
                return Err(ConfigError::invalid(file, &field("limits.burst"), reason));
            }
        }
        Ok(())
    }

    fn validate_operators(&self, file: &str) -> Result<(), ConfigError> {
        let mut names = BTreeSet::new();
        let mut digests = BTreeSet::new();
        for (index, operator) in self.operators.iter().enumerate() {
            let field = |name: &str| format!("operators[{index}].{name}");
            if !names.insert(&operator.name) {
                return Err(ConfigError::invalid(file, &field("name"), "is used twice"));
            }
            check_digests(
                file,
                &field("token_digests"),
                &operator.token_digests,
                &mut digests,
            )?;
        }
        Ok(())
    }

    fn validate_pools(&self, file: &str) -> Result<(), ConfigError> {
        let mut names = BTreeSet::new();
        let mut models = BTreeSet::new();
        for (index, pool) in self.pools.iter().enumerate() {
            let field = |name: &str| format!("pools[{index}].{name}");
            if !names.insert(&pool.name) {
                return Err(ConfigError::invalid(file, &field("name"), "is used twice"));
            }
            if pool.kind == PoolKind::Submission && !pool.models.is_empty() {
                let reason = "a submission pool serves no models";
                return Err(ConfigError::invalid(file, &field("models"), reason));
            }
            for model in &pool.models {
                if !models.insert(model) {
                    let reason = format!("model `{model}` is served by two pools");
                    return Err(ConfigError::invalid(file, &field("models"), reason));
                }
            }
        }
        Ok(())
    }
}

fn check_digests<'a>(
    file: &str,
    field: &str,
    digests: &'a [Digest],
    seen: &mut BTreeSet<&'a Digest>,
) -> Result<(), ConfigError> {
    for digest in digests {
        if !digest.is_well_formed() {
            let reason = "must be 64 hexadecimal digits";
            return Err(ConfigError::invalid(file, field, reason));
        }
        if !seen.insert(digest) {
            return Err(ConfigError::invalid(
                file,
                field,
                "holds a digest used twice",
            ));
        }
    }
    Ok(())
}
