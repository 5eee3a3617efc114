//! Jobs at a gateway outside of the regions in which they may be handled. It accepts jobs from its own callers and
//! forwards calls about them, but reads no record of them.

use std::time::Duration;

use hyper::http::request;
use hyper::{Method, StatusCode};
use swiftshunt_routing::Route;
use swiftshunt_scheduler::admission::{Decision, Obstacle, Situation, decide};
use swiftshunt_topology::Residency;
use swiftshunt_types::TenantName;

use super::{ASSUMED_CALLER_TIMEOUT, Batch};
use crate::answers::{CallerAnswer, not_run, plain};
use crate::metrics::Refusal;

/// Attempts to reach a gateway that may answer, and the pause between them, in which the owners can be read again.
const MAX_ATTEMPTS: u32 = 3;
const RETRY_DELAY: Duration = Duration::from_millis(300);

impl Batch {
    /// Forwards a call to a gateway that may answer it. If none is reached, refuses a read with a time to retry after,
    /// and answers 504 to the end of a job.
    pub(super) async fn answer_out_of_region(
        &self,
        partition: u32,
        head: &request::Parts,
        tenant: Option<&TenantName>,
        wait: Duration,
    ) -> CallerAnswer {
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            let forwarded = self.owners.forward(partition, head, tenant, wait).await;
            if let Some(answer) = forwarded {
                return answer;
            }
        }
        let reason = "no gateway where this job may be handled is reached";
        if head.method == Method::GET {
            return self.refuse_outside(reason, ASSUMED_CALLER_TIMEOUT);
        }
        // The job's end may have been recorded although the answer was lost.
        log::info!(partition, reason; "the end of a job was not confirmed; answering 504");
        plain(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// Returns the refusal of a job that no gateway may run, because its residency does not allow the regions that
    /// handle jobs; `None` if the job may be accepted.
    pub(super) fn refuse_without_job_region(
        &self,
        route: &Route,
        residency: &Residency,
        time_left: Duration,
    ) -> Option<CallerAnswer> {
        if self.dispatcher.job_regions.may_accept(residency) {
            return None;
        }
        log::warn!(route = route.name.as_str(), residency:? = residency;
            "no gateway runs jobs where this one may be handled");
        Some(self.refuse_outside(
            "no gateway runs jobs where this one may be handled",
            time_left,
        ))
    }

    fn refuse_outside(&self, reason: &'static str, time_left: Duration) -> CallerAnswer {
        let situation = Situation {
            obstacle: Obstacle::OutsideResidency,
            waited: Duration::ZERO,
            time_left,
            slot_time: Duration::ZERO,
            slots: 0,
        };
        let retry_after = match decide(&situation, rand::random()) {
            Decision::Refuse(retry_after) | Decision::AskAgain(retry_after) => retry_after,
        };
        log::info!(reason, come_back_ms = retry_after.as_millis() as u64;
            "refused: no gateway that may handle the job can serve the call");
        let metrics = &self.dispatcher.metrics;
        metrics.record_refusal(Refusal::OutsideResidency, retry_after, Duration::ZERO);
        not_run(reason, retry_after)
    }
}
