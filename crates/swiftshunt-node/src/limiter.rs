//! Limits of the tenants' request rates at this node.

use std::collections::HashMap;
use std::sync::Mutex;

use swiftshunt_config::Tenant;
use swiftshunt_scheduler::limits::TokenBucket;
use swiftshunt_types::{ErrorKind, Failure, Monotonic, TenantName};

use crate::lock;

/// A token bucket for each tenant.
#[derive(Default)]
pub(crate) struct TenantLimiter {
    buckets: Mutex<HashMap<TenantName, TokenBucket>>,
}

impl TenantLimiter {
    /// Takes one token from the tenant's bucket. Fails with `RateLimited` and the time until the next
    /// token if the bucket is empty.
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
