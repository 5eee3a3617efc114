//! Senders of batch jobs: each submits a job until it is accepted, reads its results, sometimes cancels it, and at the
//! end of the round reads all results from every gateway.

use std::time::Duration;

use rand::Rng;
use swiftshunt_platform::documents::PageDocument;
use swiftshunt_platform::words::values;
use tokio::time::Instant;

use super::Load;
use crate::platform::caller::item_id;
use crate::platform::fleet::BATCH;
use crate::soak::history::{JobHistory, ListedResult, Reading, Submission};
use crate::soak::plan::Trigger;
use crate::stand_in::lock;

/// Delay before a job is submitted again.
const SUBMISSION_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Maximum number of attempts to submit a job.
const MAX_SUBMISSION_ATTEMPTS: usize = 25;
/// Time-out of a submission.
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval between reads of results.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time-out of a read of results, and of a cancellation.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Share of jobs that are cancelled by their sender.
const CANCELLED_SHARE: f64 = 0.25;
/// Exclusive upper bound of the number of reads before a cancellation.
const MAX_READS_BEFORE_CANCEL: u32 = 8;
/// Share of reads that start at a position whose result may already have been read.
const REREAD_SHARE: f64 = 0.2;
/// Maximum number of attempts to read a job from one gateway at the end.
const MAX_FINAL_READ_ATTEMPTS: usize = 10;

impl Load {
    /// Submits a job, reads it until it is complete, cancelled or stalled, and records its history.
    pub(super) async fn run_job(&self, id: String) {
        let count = self.testbed.plan.job_items;
        let mut job = JobHistory {
            items: (0..count).map(|item| item_id(&id, item)).collect(),
            id,
            ..JobHistory::default()
        };
        self.submit_job(&mut job, count).await;
        if job.accepted().is_some() {
            self.read_until_complete(&mut job).await;
            self.read_from_every_gateway(&mut job).await;
        }
        lock(&self.records).jobs.push(job);
    }

    async fn submit_job(&self, job: &mut JobHistory, count: usize) {
        for _ in 0..MAX_SUBMISSION_ATTEMPTS {
            let gateway = self.testbed.pick_gateway();
            let sent = self.testbed.now();
            let address = self.testbed.caller_address(gateway);
            let call = self.caller.submit(address, BATCH, &job.id, count);
            let answer = tokio::time::timeout(SUBMISSION_TIMEOUT, call).await;
            let status = match answer {
                Ok(Ok(status)) => Some(status.as_u16()),
                Ok(Err(_)) | Err(_) => None,
            };
            job.submissions.push(Submission {
                gateway,
                sent,
                ended: self.testbed.now(),
                status,
            });
            if status == Some(202) {
                // The items of a job that was refused until now have had no time to run.
                *lock(&self.last_progress) = Instant::now();
                return self.testbed.notify_trigger(Trigger::JobAccepted);
            }
            tokio::time::sleep(SUBMISSION_RETRY_DELAY).await;
        }
    }

    async fn read_until_complete(&self, job: &mut JobHistory) {
        let will_cancel = rand::rng().random_bool(CANCELLED_SHARE);
        let mut reads_before_cancel = rand::rng().random_range(0..MAX_READS_BEFORE_CANCEL);
        let mut listed_count = 0;
        while listed_count < job.items.len() && !self.is_stalled() {
            if will_cancel && reads_before_cancel == 0 {
                self.cancel(job).await;
                if job.cancelled_at.is_some() {
                    return;
                }
            }
            reads_before_cancel = reads_before_cancel.saturating_sub(1);
            let from = if rand::rng().random_bool(REREAD_SHARE) {
                rand::rng().random_range(0..=listed_count)
            } else {
                listed_count
            };
            let reading = self.read(self.testbed.pick_gateway(), &job.id, from).await;
            let end_position = from + reading.results.len();
            if end_position > listed_count {
                listed_count = end_position;
                *lock(&self.last_progress) = Instant::now();
            }
            job.readings.push(reading);
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }

    async fn cancel(&self, job: &mut JobHistory) {
        let gateway = self.testbed.pick_gateway();
        job.cancel_requested = true;
        let call = self
            .caller
            .end(self.testbed.caller_address(gateway), &job.id);
        let answer = tokio::time::timeout(READ_TIMEOUT, call).await;
        if matches!(answer, Ok(Ok(status)) if status.is_success()) {
            job.cancelled_at = Some(self.testbed.now());
            self.testbed.notify_trigger(Trigger::JobCancelled);
        }
    }

    async fn read(&self, gateway: usize, job: &str, from: usize) -> Reading {
        let sent = self.testbed.now();
        let address = self.testbed.caller_address(gateway);
        let call = self.caller.results(address, job, from, Duration::ZERO);
        let answer = tokio::time::timeout(READ_TIMEOUT, call).await;
        let (status, page) = match answer {
            Ok(Ok((status, page))) => (Some(status.as_u16()), Some(page)),
            Ok(Err(_)) | Err(_) => (None, None),
        };
        Reading {
            gateway,
            sent,
            ended: self.testbed.now(),
            from,
            status,
            total: page.as_ref().map_or(0, |page| page.total),
            results: page.map(results).unwrap_or_default(),
        }
    }

    /// Waits for the end of load and faults, then reads all results of the job from every gateway.
    async fn read_from_every_gateway(&self, job: &mut JobHistory) {
        while !self.has_load_ended() {
            tokio::time::sleep(READ_INTERVAL).await;
        }
        for gateway in 0..self.testbed.gateway_count() {
            let reading = self.read_all_results(gateway, job).await;
            job.final_readings.push(reading);
        }
    }

    async fn read_all_results(&self, gateway: usize, job: &JobHistory) -> Reading {
        let mut reading = self.read(gateway, &job.id, 0).await;
        for _ in 1..MAX_FINAL_READ_ATTEMPTS {
            if reading.status == Some(200) {
                break;
            }
            tokio::time::sleep(READ_INTERVAL).await;
            reading = self.read(gateway, &job.id, 0).await;
        }
        // A page does not contain all results if they are large. A refused read of a later page is repeated.
        let mut refused = 0;
        while reading.status == Some(200) && reading.results.len() < reading.total {
            let more = self.read(gateway, &job.id, reading.results.len()).await;
            if more.status != Some(200) && refused < MAX_FINAL_READ_ATTEMPTS {
                refused += 1;
                tokio::time::sleep(READ_INTERVAL).await;
                continue;
            }
            if more.results.is_empty() {
                break;
            }
            reading.results.extend(more.results);
        }
        reading
    }
}

fn results(page: PageDocument) -> Vec<ListedResult> {
    let results = page.results.into_iter().map(|result| ListedResult {
        item: result.id,
        completed: result.state == values::COMPLETED,
        text: result.text,
    });
    results.collect()
}
