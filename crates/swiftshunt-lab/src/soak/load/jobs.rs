//! Batch jobs: handed in until accepted, read all the time, sometimes ended, and read by every gateway
//! when all is over.

use std::time::Duration;

use rand::Rng;
use swiftshunt_platform::documents::PageDocument;
use swiftshunt_platform::words::values;
use tokio::time::Instant;

use super::Load;
use crate::platform::caller::item_id;
use crate::platform::fleet::BATCH;
use crate::soak::history::{JobHistory, Listed, Reading, Submission};
use crate::soak::plan::Moment;
use crate::stand_in::lock;

/// Pause before a job is handed in again.
const AGAIN_AFTER: Duration = Duration::from_millis(700);
/// Tries to hand a job in.
const MOST_TRIES: usize = 25;
/// Longest wait for an answer to a job that is handed in.
const SUBMISSION_PATIENCE: Duration = Duration::from_secs(4);
/// Pause between questions for results.
const READ_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for an answer to such a question.
const READ_PATIENCE: Duration = Duration::from_millis(1_500);
/// Share of jobs that are ended by their sender.
const ENDED_SHARE: f64 = 0.25;
/// Rounds of questions after which such a job is ended at the latest.
const ENDED_WITHIN: u32 = 8;
/// Share of questions that begin at an earlier position.
const EARLIER_SHARE: f64 = 0.2;
/// Tries to read the whole job from one gateway at the end.
const FINAL_TRIES: usize = 10;

impl Load {
    /// Follows a job from its first submission to its end.
    pub(super) async fn run_job(&self, id: String) {
        let count = self.testbed.plan.job_items;
        let mut job = JobHistory {
            items: (0..count).map(|item| item_id(&id, item)).collect(),
            id,
            ..JobHistory::default()
        };
        self.hand_in(&mut job, count).await;
        if job.accepted().is_some() {
            self.read_until_over(&mut job).await;
            self.read_everywhere(&mut job).await;
        }
        lock(&self.seen).jobs.push(job);
    }

    async fn hand_in(&self, job: &mut JobHistory, count: usize) {
        for _ in 0..MOST_TRIES {
            let gateway = self.testbed.pick_gateway();
            let sent = self.testbed.now();
            let address = self.testbed.callers(gateway);
            let asked = self.caller.submit(address, BATCH, &job.id, count);
            let answer = tokio::time::timeout(SUBMISSION_PATIENCE, asked).await;
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
                return self.testbed.reached(Moment::JobAccepted);
            }
            tokio::time::sleep(AGAIN_AFTER).await;
        }
    }

    async fn read_until_over(&self, job: &mut JobHistory) {
        let ends = rand::rng().random_bool(ENDED_SHARE);
        let mut rounds_left = rand::rng().random_range(0..ENDED_WITHIN);
        let mut listed = 0;
        while listed < job.items.len() && !self.is_stalled() {
            if ends && rounds_left == 0 {
                self.end(job).await;
                if job.ended.is_some() {
                    return;
                }
            }
            rounds_left = rounds_left.saturating_sub(1);
            let from = if rand::rng().random_bool(EARLIER_SHARE) {
                rand::rng().random_range(0..=listed)
            } else {
                listed
            };
            let reading = self.read(self.testbed.pick_gateway(), &job.id, from).await;
            let known = from + reading.results.len();
            if known > listed {
                listed = known;
                *lock(&self.progress) = Instant::now();
            }
            job.readings.push(reading);
            tokio::time::sleep(READ_PAUSE).await;
        }
    }

    async fn end(&self, job: &mut JobHistory) {
        let gateway = self.testbed.pick_gateway();
        job.end_asked = true;
        let asked = self.caller.end(self.testbed.callers(gateway), &job.id);
        let answer = tokio::time::timeout(READ_PATIENCE, asked).await;
        if matches!(answer, Ok(Ok(status)) if status.is_success()) {
            job.ended = Some(self.testbed.now());
            self.testbed.reached(Moment::JobEnded);
        }
    }

    async fn read(&self, gateway: usize, job: &str, from: usize) -> Reading {
        let sent = self.testbed.now();
        let address = self.testbed.callers(gateway);
        let asked = self.caller.results(address, job, from, Duration::ZERO);
        let answer = tokio::time::timeout(READ_PATIENCE, asked).await;
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

    /// Reads the job from its beginning at every gateway, once nothing is disturbed any more.
    async fn read_everywhere(&self, job: &mut JobHistory) {
        while !self.is_over() {
            tokio::time::sleep(READ_PAUSE).await;
        }
        for gateway in 0..self.testbed.gateway_count() {
            let reading = self.read_whole(gateway, job).await;
            job.final_readings.push(reading);
        }
    }

    async fn read_whole(&self, gateway: usize, job: &JobHistory) -> Reading {
        let mut reading = self.read(gateway, &job.id, 0).await;
        for _ in 1..FINAL_TRIES {
            if reading.status == Some(200) {
                break;
            }
            tokio::time::sleep(READ_PAUSE).await;
            reading = self.read(gateway, &job.id, 0).await;
        }
        // Pages are short only where results are large.
        while reading.status == Some(200) && reading.results.len() < reading.total {
            let more = self.read(gateway, &job.id, reading.results.len()).await;
            if more.results.is_empty() {
                break;
            }
            reading.results.extend(more.results);
        }
        reading
    }
}

fn results(page: PageDocument) -> Vec<Listed> {
    let results = page.results.into_iter().map(|result| Listed {
        item: result.id,
        completed: result.state == values::COMPLETED,
        text: result.text,
    });
    results.collect()
}
