//! Submitting and ending jobs.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use swiftshunt_jobs::{JobRecord, JobSpec, qualified_job_id};
use swiftshunt_routing::Route;
use swiftshunt_scheduler::waiting_tokens::GRANT_LIFETIME;
use swiftshunt_types::TenantName;

use super::appender::Appended;
use super::{ASSUMED_CALLER_TIMEOUT, Batch};
use crate::answers::{CallerAnswer, full_body, plain};
use crate::clock::Clock;
use crate::messages::waiting::LimitedJob;
use crate::waiting_limits::MAX_ANSWER_TIMEOUT;

/// Longest time for which an append is retried before the caller is answered.
pub(super) const APPEND_TIMEOUT: Duration = Duration::from_millis(2_500);
const _: () = assert!(
    MAX_ANSWER_TIMEOUT.as_millis() + APPEND_TIMEOUT.as_millis() < GRANT_LIFETIME.as_millis(),
    "reserving and appending a job must take less time than its reservation lasts"
);
/// Part of the caller's remaining time that is left for transferring the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// A job as its caller submits it.
pub(crate) struct Submission<'s> {
    /// Identifier that the caller chose, not yet qualified by the tenant.
    pub(crate) id: &'s str,
    /// Tenant of the caller; `None` if callers are not checked.
    pub(crate) tenant: Option<&'s TenantName>,
    /// Route that the job was submitted on.
    pub(crate) route: &'s Route,
    /// Path of the submitting request.
    pub(crate) path: &'s str,
    /// Body of the submitting request, which is dropped once it is decoded.
    pub(crate) body: Bytes,
    /// Time at which the caller gives up, on the gateway's clock.
    pub(crate) deadline: Duration,
}

impl Batch {
    /// Whether this gateway knows that a job with this identifier was accepted.
    pub(crate) fn is_known(&self, tenant: Option<&TenantName>, id: &str) -> bool {
        let id = &qualified_job_id(tenant, id);
        let partition = self.replay.partition_of(id);
        self.replay.state(partition).fold.job(id).is_some()
    }

    /// Accepts a job. Answers 202 once its record is in the journal.
    pub(crate) async fn submit(&self, submission: Submission<'_>) -> CallerAnswer {
        let Submission {
            id,
            tenant,
            route,
            path,
            body,
            deadline,
        } = submission;
        let id = &qualified_job_id(tenant, id);
        let partition = self.replay.partition_of(id);
        if self.replay.state(partition).fold.job(id).is_some() {
            return accepted();
        }
        let residency = self.residency_of(route, tenant);
        let time_left = deadline.saturating_sub(self.dispatcher.clock.now());
        if let Some(refusal) = self.refuse_without_job_region(route, &residency, time_left) {
            return refusal;
        }
        let spec = match self
            .dispatcher
            .protocol
            .parse_job(id, &route.host, path, &body)
        {
            Ok(spec) => JobSpec {
                taken_unix_ms: Clock::unix_ms(),
                tenant: tenant.cloned(),
                route: Some(route.name.clone()),
                configuration_version: self.configuration_version(),
                ..spec
            },
            Err(error) => {
                log::info!(job = id, reason = error.reason.as_str();
                    "a submitted job is not readable; answering 400");
                return plain(StatusCode::BAD_REQUEST, "the job is not readable");
            }
        };
        drop(body);
        let limited = match self
            .reserve_waiting_tokens(route, &spec, partition, deadline)
            .await
        {
            Ok(limited) => limited,
            Err(refusal) => return refusal,
        };
        let items = spec.items.len();
        let now = self.dispatcher.clock.now();
        let time = deadline
            .saturating_sub(now + ANSWER_MARGIN)
            .min(APPEND_TIMEOUT);
        let record = JobRecord::Accepted(spec);
        let outcome = self.appender.append_within(partition, &record, time).await;
        let took = self.dispatcher.clock.now().saturating_sub(now);
        log::info!(job = id, partition, items, outcome:? = outcome,
            took_ms = took.as_millis() as u64; "the append of a submitted job ended");
        if let Some(limited) = &limited {
            self.report_append_outcome(limited, outcome);
        }
        match outcome {
            Appended::Done => accepted(),
            Appended::Refused => {
                let time_left = deadline.saturating_sub(self.dispatcher.clock.now());
                self.refuse_journal_unavailable(id, time_left)
            }
            Appended::Unknown => plain(StatusCode::GATEWAY_TIMEOUT, "the journal did not answer"),
        }
    }

    fn configuration_version(&self) -> Option<u64> {
        let configuration = self.dispatcher.fleet_state.configuration()?;
        Some(configuration.version)
    }

    /// Reports the outcome of the append to the gateway that counts the tokens for the job's limit.
    fn report_append_outcome(&self, limited: &LimitedJob, outcome: Appended) {
        match outcome {
            Appended::Done => self.waiting_limits.confirm_reservation(limited),
            Appended::Refused => self.waiting_limits.release_reservation(limited),
            // The record may still be appended: the reservation counts until it expires.
            Appended::Unknown => {}
        }
    }

    /// Ends a job. Answers 200 once the end is in the journal.
    pub(crate) async fn end_job(&self, id: &str) -> CallerAnswer {
        let partition = self.replay.partition_of(id);
        if let Err(answer) = self.ensure_job_known(partition, id).await {
            return answer;
        }
        let ended = self
            .replay
            .state(partition)
            .fold
            .job(id)
            .is_some_and(|job| job.ended);
        if ended {
            return plain(StatusCode::OK, "ended");
        }
        let record = JobRecord::Ended { job: id.to_owned() };
        let append = self
            .appender
            .append_within(partition, &record, APPEND_TIMEOUT);
        let outcome = append.await;
        log::info!(job = id, outcome:? = outcome; "a job was ended");
        match outcome {
            Appended::Done => {
                self.running.stop_job(id);
                plain(StatusCode::OK, "ended")
            }
            Appended::Refused => self.refuse_journal_unavailable(id, ASSUMED_CALLER_TIMEOUT),
            Appended::Unknown => plain(StatusCode::GATEWAY_TIMEOUT, "the journal did not answer"),
        }
    }
}

fn accepted() -> CallerAnswer {
    let mut answer = Response::new(full_body(Bytes::new()));
    *answer.status_mut() = StatusCode::ACCEPTED;
    answer
}
