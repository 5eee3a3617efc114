//! Open-loop load: callers and job senders that do not wait for earlier responses before they send more.

mod jobs;
mod online;
mod streams;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::Rng;
use swiftshunt_http::HttpError;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use super::history::{History, JobHistory, OnlineCall, Outcome, TakenUpStream};
use super::testbed::Testbed;
use crate::platform::caller::PlatformCaller;
use crate::stand_in::lock;

/// Interval of requests on the marker route of the latest configuration.
const MARKER_INTERVAL: Duration = Duration::from_millis(60);
/// Senders stop reading unfinished jobs if no job has listed a new result for this time after the end of load and
/// faults. It is several times the run time of an item, a lease, and the retry delays of failed items.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Records of online requests whose outcome is known, and of finished jobs.
#[derive(Default)]
struct CallerRecords {
    online: Vec<OnlineCall>,
    taken_up: Vec<TakenUpStream>,
    jobs: Vec<JobHistory>,
}

/// The load of a round: online callers and job senders.
pub(super) struct Load {
    testbed: Arc<Testbed>,
    caller: PlatformCaller,
    records: Mutex<CallerRecords>,
    tasks: TaskTracker,
    /// End of the load and of the faults; `None` before it.
    load_end: Mutex<Option<Instant>>,
    /// Time at which a job listed a new result for the last time.
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

    /// Sends load for the time given in the plan.
    pub(super) async fn send(self: &Arc<Self>) {
        let time = Duration::from_millis(self.testbed.plan.load_ms);
        let sending = async {
            tokio::join!(
                self.send_requests(),
                self.send_markers(),
                self.send_job_bursts()
            );
        };
        // The senders run in endless loops, so the time-out always ends them.
        drop(tokio::time::timeout(time, sending).await);
    }

    async fn send_requests(self: &Arc<Self>) {
        let start = Instant::now();
        loop {
            let rate = self.rate(start.elapsed());
            let uniform: f64 = rand::rng().random_range(f64::EPSILON..1.0);
            tokio::time::sleep(Duration::from_secs_f64(-uniform.ln() / rate)).await;
            let load = Arc::clone(self);
            let share = self.testbed.plan.take_up_share;
            if share > 0.0 && rand::rng().random_bool(share) {
                self.tasks
                    .spawn(async move { load.send_taken_up_stream().await });
                continue;
            }
            self.tasks
                .spawn(async move { load.send_random_request().await });
        }
    }

    /// Returns the rate of online requests per second at a time since the start of the load. It rises and falls in
    /// waves.
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

    /// Marks the end of load and faults and waits until all calls have ended and all senders have finished. Senders
    /// stop reading unfinished jobs after [`STALL_TIMEOUT`] without progress.
    pub(super) async fn finish(&self) {
        *lock(&self.load_end) = Some(Instant::now());
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Whether load and faults have ended.
    fn has_load_ended(&self) -> bool {
        lock(&self.load_end).is_some()
    }

    /// Whether no job has made progress for [`STALL_TIMEOUT`] after the end of load and faults.
    fn is_stalled(&self) -> bool {
        let Some(load_end) = *lock(&self.load_end) else {
            return false;
        };
        let last = load_end.max(*lock(&self.last_progress));
        last.elapsed() >= STALL_TIMEOUT
    }

    /// Moves the records of callers into a history.
    pub(super) fn move_records(&self, history: &mut History) {
        let records = std::mem::take(&mut *lock(&self.records));
        history.online = records.online;
        history.taken_up = records.taken_up;
        history.jobs = records.jobs;
    }
}

/// Maps the error of a failed call to its outcome.
fn outcome_of_error(error: &HttpError) -> Outcome {
    match error {
        HttpError::TimedOut { .. } => Outcome::Unanswered,
        _ => Outcome::Broken,
    }
}
