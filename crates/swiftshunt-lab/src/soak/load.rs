//! Callers and job senders whose arrivals do not wait for answers.

mod jobs;
mod online;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::Rng;
use swiftshunt_http::HttpError;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use super::history::{Ending, JobHistory, OnlineCall};
use super::testbed::Testbed;
use crate::platform::caller::PlatformCaller;
use crate::stand_in::lock;

/// Pause between requests on routes that configurations brought.
const MARKER_INTERVAL: Duration = Duration::from_millis(60);
/// Time without a new result, once nothing is disturbed any more, after which jobs that are open stay
/// so: several times what an item takes, a lease, and the pauses of items that failed.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// What callers saw.
#[derive(Default)]
struct CallerRecords {
    online: Vec<OnlineCall>,
    jobs: Vec<JobHistory>,
}

/// The callers of a round.
pub(super) struct Load {
    testbed: Arc<Testbed>,
    caller: PlatformCaller,
    records: Mutex<CallerRecords>,
    tasks: TaskTracker,
    /// When the load and the faults were over.
    load_end: Mutex<Option<Instant>>,
    /// When a new result was listed last.
    last_progress: Mutex<Instant>,
}

impl Load {
    pub(super) fn new(testbed: Arc<Testbed>) -> Arc<Self> {
        Arc::new(Self {
            testbed,
            caller: PlatformCaller::default(),
            records: Mutex::default(),
            tasks: TaskTracker::new(),
            load_end: Mutex::default(),
            last_progress: Mutex::new(Instant::now()),
        })
    }

    /// Sends load for as long as the plan says.
    pub(super) async fn send(self: &Arc<Self>) {
        let time = Duration::from_millis(self.testbed.plan.load_ms);
        let sending = async {
            tokio::join!(
                self.send_requests(),
                self.send_markers(),
                self.send_job_bursts()
            );
        };
        // Sending does not end by itself.
        drop(tokio::time::timeout(time, sending).await);
    }

    async fn send_requests(self: &Arc<Self>) {
        let began = Instant::now();
        loop {
            let rate = self.rate(began.elapsed());
            let uniform: f64 = rand::rng().random_range(f64::EPSILON..1.0);
            tokio::time::sleep(Duration::from_secs_f64(-uniform.ln() / rate)).await;
            let load = Arc::clone(self);
            self.tasks
                .spawn(async move { load.send_random_request().await });
        }
    }

    /// Requests a second, in waves.
    fn rate(&self, at: Duration) -> f64 {
        let plan = &self.testbed.plan;
        let phase = at.as_millis() as f64 / plan.wave_ms as f64;
        let height = (phase * std::f64::consts::TAU).sin().max(0.0);
        plan.requests_per_s * (1.0 + plan.wave_height * height)
    }

    async fn send_markers(self: &Arc<Self>) {
        loop {
            tokio::time::sleep(MARKER_INTERVAL).await;
            let load = Arc::clone(self);
            self.tasks
                .spawn(async move { load.send_marker_request().await });
        }
    }

    async fn send_job_bursts(self: &Arc<Self>) {
        let plan = &self.testbed.plan;
        for burst in 0.. {
            for job in 0..plan.jobs_per_burst {
                let load = Arc::clone(self);
                let id = format!("job-{burst}-{job}");
                self.tasks.spawn(async move { load.run_job(id).await });
            }
            tokio::time::sleep(Duration::from_millis(plan.job_burst_interval_ms)).await;
        }
    }

    /// Waits until every call and every job is over; jobs that make no progress stay open.
    pub(super) async fn finish(&self) {
        *lock(&self.load_end) = Some(Instant::now());
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Whether load and faults are over.
    fn has_load_ended(&self) -> bool {
        lock(&self.load_end).is_some()
    }

    /// Whether open jobs make no progress though nothing is disturbed any more.
    fn is_stalled(&self) -> bool {
        let Some(load_end) = *lock(&self.load_end) else {
            return false;
        };
        let last = load_end.max(*lock(&self.last_progress));
        last.elapsed() >= STALL_TIMEOUT
    }

    /// What callers saw.
    pub(super) fn records(&self) -> (Vec<OnlineCall>, Vec<JobHistory>) {
        let records = std::mem::take(&mut *lock(&self.records));
        (records.online, records.jobs)
    }
}

/// How a failed call ended.
fn ending_of_error(error: &HttpError) -> Ending {
    match error {
        HttpError::TimedOut { .. } => Ending::Unanswered,
        _ => Ending::Broken,
    }
}
