//! Authentication of callers and operators by bearer tokens, of which only digests are stored, and
//! admission of tenants' requests.

use std::sync::Arc;
use std::time::Duration;

use swiftshunt_config::Tenant;
use swiftshunt_types::{Digest, ErrorKind, Failure, token_digest};

use crate::context::Context;
use crate::lifecycle::{InProgress, Stage};
use swiftshunt_http::Call;

/// `Retry-After` of refusals by a node that is starting or stopping. It is short, as another node may
/// serve the request immediately.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An admitted request, with its tenant.
pub(super) struct Admitted {
    pub(super) tenant: Tenant,
    pub(super) in_progress: InProgress,
}

/// Admits a tenant's request if the node is serving, the token is known and the tenant's request rate
/// is not exceeded.
pub(super) fn admit(context: &Arc<Context>, call: &Call) -> Result<Admitted, Failure> {
    let in_progress = start_request(context)?;
    let tenant = tenant(context, call)?;
    context.limiter.admit(&tenant, context.clock.now())?;
    Ok(Admitted {
        tenant,
        in_progress,
    })
}

/// Admits a tenant's request that names, by idempotency key or identifier, what an earlier request may have
/// created, as [`admit`] does. A refusal because of the node's stage or the tenant's rate does not say that
/// nothing ran, since the ledger was not asked.
pub(super) fn admit_with_identifier(
    context: &Arc<Context>,
    call: &Call,
) -> Result<Admitted, Failure> {
    admit(context, call).map_err(|refusal| match refusal.kind {
        ErrorKind::Unavailable | ErrorKind::RateLimited => refusal.with_unknown_execution(),
        _ => refusal,
    })
}

/// Counts a request as in progress; fails with `Unavailable` if the node is starting or draining.
fn start_request(context: &Context) -> Result<InProgress, Failure> {
    // The request is counted before the stage is checked, so that a stop that begins in between waits
    // for it.
    let in_progress = context.lifecycle.start_request();
    let message = match context.lifecycle.stage() {
        Stage::Serving => return Ok(in_progress),
        Stage::Starting => "this node has no configuration yet",
        Stage::Draining => "this node is stopping",
    };
    Err(Failure::not_run(ErrorKind::Unavailable, message).with_retry_after(RETRY_AFTER))
}

/// Returns the tenant whose token the call carries; `Unauthenticated` if there is none.
pub(super) fn tenant(context: &Context, call: &Call) -> Result<Tenant, Failure> {
    let digest = bearer_digest(call)?;
    let history = context.configuration.borrow();
    let mut tenants = history.configuration.tenants.iter();
    let found = tenants.find(|tenant| tenant.token_digests.contains(&digest));
    found.cloned().ok_or_else(unauthenticated)
}

/// Returns the name of the operator who sent a call. Operators of the settings file are recognised
/// also without a fleet configuration.
pub(super) fn operator(context: &Context, call: &Call) -> Result<String, Failure> {
    let digest = bearer_digest(call)?;
    let mut local = context.settings.operators.iter();
    if let Some(operator) = local.find(|operator| operator.token_digest == digest) {
        return Ok(operator.name.clone());
    }
    let history = context.configuration.borrow();
    let mut published = history.configuration.operators.iter();
    let found = published.find(|operator| operator.token_digests.contains(&digest));
    if let Some(operator) = found {
        return Ok(operator.name.clone());
    }
    let mut tenants = history.configuration.tenants.iter();
    if tenants.any(|tenant| tenant.token_digests.contains(&digest)) {
        let message = "this token may not send operator statements";
        return Err(Failure::not_run(ErrorKind::Forbidden, message));
    }
    Err(unauthenticated())
}

fn bearer_digest(call: &Call) -> Result<Digest, Failure> {
    let header = call.header("authorization");
    let token = header.and_then(|text| text.strip_prefix("Bearer "));
    token.map(token_digest).ok_or_else(unauthenticated)
}

fn unauthenticated() -> Failure {
    let message = "a valid bearer token is required";
    Failure::not_run(ErrorKind::Unauthenticated, message).with_param("Authorization")
}
