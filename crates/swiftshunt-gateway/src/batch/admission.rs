//! Whether a job fits into the limit of what waits on its route.

use std::time::Duration;

use hyper::StatusCode;
use swiftshunt_jobs::JobSpec;
use swiftshunt_routing::Route;
use swiftshunt_scheduler::admission::{
    come_back_for_room, come_back_to_log, come_back_within_limit,
};
use swiftshunt_types::total_tokens;

use super::Batch;
use crate::answers::{CallerAnswer, not_run, plain, too_many};
use crate::messages::waiting::{Allowance, LimitedJob};
use crate::metrics::Refusal;
use crate::waiting_limits::ReservationOutcome;

impl Batch {
    /// The answer to a call about a job where the journal is away, to a caller that gives up after
    /// `time_left`.
    pub(super) fn journal_away(&self, job: &str, time_left: Duration) -> CallerAnswer {
        let outage = self.leases.outage();
        let come_back = come_back_to_log(outage, time_left, rand::random());
        log::info!(job, outage_ms = outage.as_millis() as u64, time_left_ms = time_left.as_millis() as u64,
            come_back_ms = come_back.as_millis() as u64; "refused while the journal is away");
        self.dispatcher
            .metrics
            .refused(Refusal::LogAway, come_back, Duration::ZERO);
        not_run("the journal is away", come_back)
    }

    /// Finds room for a job within the limit of its route, and gives what is told of its record; none where there
    /// is no limit. Refuses a job that finds none, unless it is there already.
    pub(super) async fn find_room(
        &self,
        route: &Route,
        spec: &JobSpec,
        partition: u32,
        until: Duration,
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
        if !self.dispatcher.job_regions.include_this() {
            let reason = "whether this job was taken before is not known here";
            return Err(plain(StatusCode::GATEWAY_TIMEOUT, reason));
        }
        // A job that was taken before is no new load, however much waits.
        match self.find(partition, &spec.id).await {
            Ok(()) => Ok(None),
            Err(answer) if answer.status() == StatusCode::NOT_FOUND => {
                Err(self.no_room(&job, reservation, until))
            }
            Err(unsure) => Err(unsure),
        }
    }

    /// The answer to a job that finds no room, to a caller that gives up at `until`.
    fn no_room(
        &self,
        job: &LimitedJob,
        reservation: ReservationOutcome,
        until: Duration,
    ) -> CallerAnswer {
        let time_left = until.saturating_sub(self.dispatcher.clock.now());
        let draw = rand::random();
        let (come_back, reason) = match reservation {
            ReservationOutcome::Undecided(settles_in) => {
                let come_back = come_back_within_limit(settles_in, time_left, draw);
                (come_back, Refusal::LimitUnsure)
            }
            ReservationOutcome::Full | ReservationOutcome::Reserved => {
                (come_back_for_room(time_left, draw), Refusal::Limit)
            }
        };
        log::info!(job = job.job.as_str(), route = job.allowance.route.as_str(), tokens = job.tokens,
            limit = job.limit, reason:? = reason, come_back_ms = come_back.as_millis() as u64;
            "a job finds no room in what may wait");
        self.dispatcher
            .metrics
            .refused(reason, come_back, Duration::ZERO);
        if reason == Refusal::LimitUnsure {
            return not_run("whether the job fits is not known yet", come_back);
        }
        too_many("too many tokens wait on this route", come_back)
    }
}
