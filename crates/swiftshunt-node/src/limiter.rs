//! Request rates of tenants at this node.

use std::collections::HashMap;
use std::sync::Mutex;

use swiftshunt_config::Tenant;
use swiftshunt_scheduler::limits::TokenBucket;
use swiftshunt_types::{ErrorKind, Failure, Monotonic, TenantName};

use crate::lock;

/// One bucket a tenant.
#[derive(Default)]
pub(crate) struct TenantLimiter {
    buckets: Mutex<HashMap<TenantName, TokenBucket>>,
}

impl TenantLimiter {
    /// Takes one request out of the tenant's rate.
    pub(crate) fn admit(&self, tenant: &Tenant, now: Monotonic) -> Result<(), Failure> {
        let limits = &tenant.limits;
        let mut buckets = lock(&self.buckets);
        let bucket = buckets
            .entry(tenant.name.clone())
            .or_insert_with(|| TokenBucket::full(limits.burst, now));
        let taken = bucket.try_take(limits.requests_per_second, limits.burst, now);
        taken.map_err(|wait| {
            let message = format!("tenant `{}` exceeds its request rate", tenant.name);
            Failure::not_run(ErrorKind::RateLimited, message).with_retry_after(wait)
        })
    }
}
