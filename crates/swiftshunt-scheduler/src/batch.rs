//! Batch admission: how many batch requests may run on a worker now, and which job goes first.

use swiftshunt_types::JobId;

use crate::SchedulerConfig;
use crate::workers::Worker;

/// Returns the number of batch requests that may run on `worker`: the free slots less the headroom,
/// and none while requests wait there. `expected` is the online work that events announce for the
/// worker, in slots.
pub fn batch_slots(worker: &Worker, expected: u32, config: &SchedulerConfig) -> u32 {
    let waiting = worker.report.map_or(0, |(report, _)| report.waiting);
    if waiting > 0 {
        return 0;
    }
    let headroom = headroom_slots(worker.slots(), config);
    let online = worker.online_load().max(expected);
    worker.slots().saturating_sub(online + headroom)
}

/// Returns the number of slots that `requests_per_second` online requests will use on each of
/// `engines` engines.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn expected_slots(requests_per_second: u64, engines: usize, config: &SchedulerConfig) -> u32 {
    let concurrent = requests_per_second as f64 * config.event_request_seconds;
    (concurrent / engines.max(1) as f64).ceil() as u32
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn headroom_slots(slots: u32, config: &SchedulerConfig) -> u32 {
    (f64::from(slots) * config.batch_headroom).floor() as u32
}

/// The properties of a job that decide its order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobDemand {
    /// The job.
    pub job: JobId,
    /// The deadline of the job, in seconds of Unix time.
    pub deadline: u64,
    /// Items whose results are not recorded yet.
    pub remaining: u32,
}

/// Orders jobs by slack: the time to the deadline less the expected time for the remaining items.
///
/// `now` is in seconds of Unix time, `seconds_per_item` is the measured mean.
pub fn least_slack_first(jobs: &mut [JobDemand], now: u64, seconds_per_item: f64) {
    let slack = |job: &JobDemand| {
        let left = job.deadline as f64 - now as f64;
        left - f64::from(job.remaining) * seconds_per_item
    };
    jobs.sort_by(|one, other| {
        let by_slack = slack(one).total_cmp(&slack(other));
        by_slack.then_with(|| one.job.cmp(&other.job))
    });
}
