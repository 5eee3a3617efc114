//! Decides whether a job fits into the limit of waiting tokens of its route.

use std::time::Duration;

use hyper::StatusCode;
use swiftshunt_jobs::JobSpec;
use swiftshunt_routing::Route;
use swiftshunt_scheduler::admission::{
    retry_after_log_outage, retry_after_route_limit, retry_after_tenant_limit,
};
use swiftshunt_types::total_tokens;

use super::Batch;
use crate::answers::{CallerAnswer, not_run, plain, too_many};
use crate::messages::waiting::{Allowance, LimitedJob};
use crate::metrics::Refusal;
use crate::waiting_limits::ReservationOutcome;

impl Batch {
    /// Returns the answer to a call about a job while the journal is unavailable, for a caller that gives up after
    /// `time_left`.
    pub(super) fn refuse_journal_unavailable(
        &self,
        job: &str,
        time_left: Duration,
    ) -> CallerAnswer {
        let outage = self.leases.outage_duration();
        let retry_after = retry_after_log_outage(outage, time_left, rand::random());
        log::info!(job, outage_ms = outage.as_millis() as u64, time_left_ms = time_left.as_millis() as u64,
            come_back_ms = retry_after.as_millis() as u64; "refused because the journal is unavailable");
        self.dispatcher
            .metrics
            .record_refusal(Refusal::LogAway, retry_after, Duration::ZERO);
        not_run("the journal is away", retry_after)
    }

    /// Reserves waiting tokens for a job within the limit of its route. Returns the reservation, which is to be
    /// confirmed or released after the append; `None` if the route has no limit or the job was accepted before. Returns
    /// a refusal if the job does not fit, or if it is not known whether it fits or was accepted before.
    pub(super) async fn reserve_waiting_tokens(
        &self,
        route: &Route,
        spec: &JobSpec,
        partition: u32,
        deadline: Duration,
    ) -> Result<Option<LimitedJob>, CallerAnswer> {
        let Some(limit) = route.waiting_tokens else {
            return Ok(None);
        };
        let job = LimitedJob {
            allowance: Allowance {
                route: route.name.clone(),
                tenant: spec.tenant.clone(),
            },
            job: LimitedJob::job_name(&spec.id),
            partition,
            tokens: total_tokens(spec.items.iter().map(|item| item.tokens)),
            limit,
        };
        let reservation = self.waiting_limits.reserve(&job).await;
        if reservation == ReservationOutcome::Reserved {
            return Ok(Some(job));
        }
        if !self.dispatcher.job_regions.includes_this_gateway() {
            let reason = "whether this job was taken before is not known here";
            return Err(plain(StatusCode::GATEWAY_TIMEOUT, reason));
        }
        // A job that was accepted before adds no load, so it is not refused.
        match self.ensure_job_known(partition, &spec.id).await {
            Ok(()) => Ok(None),
            Err(answer) if answer.status() == StatusCode::NOT_FOUND => {
                Err(self.refuse_over_limit(&job, reservation, deadline))
            }
            Err(refusal) => Err(refusal),
        }
    }

    /// Returns the refusal of a job without a reservation, for a caller that gives up at `deadline`.
    fn refuse_over_limit(
        &self,
        job: &LimitedJob,
        reservation: ReservationOutcome,
        deadline: Duration,
    ) -> CallerAnswer {
        let time_left = deadline.saturating_sub(self.dispatcher.clock.now());
        let draw = rand::random();
        let (retry_after, reason) = match reservation {
            ReservationOutcome::Undecided(settles_in) => {
                let retry_after = retry_after_tenant_limit(settles_in, time_left, draw);
                (retry_after, Refusal::LimitUnsure)
            }
            ReservationOutcome::Full | ReservationOutcome::Reserved => {
                (retry_after_route_limit(time_left, draw), Refusal::Limit)
            }
        };
        log::info!(job = job.job.as_str(), route = job.allowance.route.as_str(), tokens = job.tokens,
            limit = job.limit, reason:? = reason, come_back_ms = retry_after.as_millis() as u64;
            "a job got no reservation within its route's limit of waiting tokens; refusing it");
        self.dispatcher
            .metrics
            .record_refusal(reason, retry_after, Duration::ZERO);
        if reason == Refusal::LimitUnsure {
            return not_run("whether the job fits is not known yet", retry_after);
        }
        too_many("too many tokens wait on this route", retry_after)
    }
}
