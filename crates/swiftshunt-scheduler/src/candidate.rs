//! The state that a node keeps for one worker, and how observations decay with age.

use std::time::Duration;

use swiftshunt_types::{OutputOrigin, RegionName};

use crate::cold::worker_state::{ColdSuspicion, KnownPermits};
use crate::directory::WorkerEntry;
use crate::prefix_cache::PrefixCacheEstimate;
use crate::selection::{ChosenWorker, ReportedLoad};
use crate::slots::WorkerKey;
use crate::slots::cell::Cell;
use crate::slots::prompts::PrefillEstimate;
use crate::warmup::WarmupState;

/// Half-life of a load report: at this age the reported load of other nodes' requests has half of
/// the weight, and the mean of the service has the other half.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Ejection time after the first failure to reach a worker; doubles with each failure in a row.
const FIRST_EJECTION: Duration = Duration::from_millis(400);
/// Upper bound of the ejection time.
const LONGEST_EJECTION: Duration = Duration::from_secs(5);
/// Weight of one outcome in the moving failure rate.
const FAILURE_SMOOTHING: f64 = 0.1;
/// Half-life of a failure rate: a worker that gets no requests, and thus no successes, must not be
/// avoided for ever.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(1);

/// The state that a node keeps for one worker.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) entry: WorkerEntry,
    /// End of the grace period in which the worker stays usable though its directory entry lapsed;
    /// `None` while the entry is listed.
    pub(crate) grace_until: Option<Duration>,
    pub(crate) key: WorkerKey,
    /// The region; `None` in a deployment of one region.
    pub(crate) region: Option<RegionName>,
    /// The time at which the worker is warm according to its directory entry.
    pub(crate) cold_until: Duration,
    pub(crate) cold_suspicion: ColdSuspicion,
    /// The time until which the permit issuers have no start permit, and the number of requests
    /// that the slot owner may still assign.
    pub(crate) known_permits: KnownPermits,
    pub(crate) own_online: u32,
    pub(crate) own_batch: u32,
    /// Missing tokens of this node's requests that have no first event yet.
    pub(crate) pending_tokens: u64,
    /// Times at which this node sent the requests that have no first event yet, oldest first.
    pub(crate) pending_since: Vec<Duration>,
    /// The latest send time among the requests that have had their first event.
    pub(crate) latest_started_sent_at: Duration,
    /// The time at which the worker will have prefilled the long prompts that other nodes sent.
    pub(crate) peer_prefill_until: Duration,
    /// The last load report, the number of this node's requests at that time, and the time.
    pub(crate) last_report: Option<(ReportedLoad, u32, Duration)>,
    pub(crate) prefix_cache: PrefixCacheEstimate,
    pub(crate) failure_rate: f64,
    pub(crate) failure_rate_at: Duration,
    pub(crate) failures_in_row: u32,
    pub(crate) ejected_until: Duration,
    pub(crate) last_activity_at: Duration,
    /// Moving average of the duration of online requests without a prompt, in milliseconds.
    pub(crate) duration_ms: Option<f64>,
}

impl Candidate {
    pub(crate) fn new(
        entry: WorkerEntry,
        region: Option<RegionName>,
        memory_tokens: u64,
        now: Duration,
    ) -> Self {
        Self {
            key: WorkerKey::of(&entry.incarnation),
            region,
            cold_until: now.saturating_add(entry.cold_left),
            cold_suspicion: ColdSuspicion::listed(now),
            known_permits: KnownPermits::default(),
            entry,
            grace_until: None,
            own_online: 0,
            own_batch: 0,
            pending_tokens: 0,
            pending_since: Vec::new(),
            latest_started_sent_at: Duration::ZERO,
            peer_prefill_until: Duration::ZERO,
            last_report: None,
            prefix_cache: PrefixCacheEstimate::new(memory_tokens),
            failure_rate: 0.0,
            failure_rate_at: now,
            failures_in_row: 0,
            ejected_until: Duration::ZERO,
            last_activity_at: now,
            duration_ms: None,
        }
    }

    /// Takes over this node's requests at the worker from the state before its entry lapsed.
    pub(crate) fn take_over_requests(&mut self, before: Self) {
        self.own_online = before.own_online;
        self.own_batch = before.own_batch;
        self.pending_tokens = before.pending_tokens;
        self.pending_since = before.pending_since;
        self.latest_started_sent_at = before.latest_started_sent_at;
        self.last_activity_at = before.last_activity_at;
    }

    /// Returns this worker as the choice for a request with the given prefill.
    pub(crate) fn to_chosen_worker(
        &self,
        prefill: PrefillEstimate,
        has_prompt: bool,
    ) -> ChosenWorker {
        ChosenWorker {
            service: self.entry.service.clone(),
            id: self.entry.life.id.clone(),
            incarnation: self.entry.incarnation.clone(),
            address: self.entry.address,
            zone: self.entry.zone.clone(),
            software: self.entry.software.clone(),
            missing_tokens: prefill.missing_tokens,
            expected_prefill: prefill.time,
            has_prompt,
        }
    }

    /// Returns whether the worker has the service and software version that began an output.
    pub(crate) fn is_of(&self, origin: &OutputOrigin) -> bool {
        self.entry.service == origin.service && self.entry.software == origin.software
    }

    /// Returns whether the worker belongs to a cell of its service.
    pub(crate) fn is_in(&self, cell: &Cell) -> bool {
        self.region == cell.region && self.key.cell_index(cell.count) == cell.index
    }

    pub(crate) fn warmup_state(&self, now: Duration) -> WarmupState {
        if now < self.cold_until {
            WarmupState::ColdUntil(self.cold_until)
        } else {
            WarmupState::Warm
        }
    }

    pub(crate) fn own_requests(&self) -> u32 {
        self.own_online + self.own_batch
    }

    pub(crate) fn slots(&self) -> u32 {
        let reported = self.last_report.map(|(load, _, _)| load.slots);
        reported
            .filter(|slots| *slots > 0)
            .unwrap_or(self.entry.slots)
            .max(1)
    }

    /// Returns the number of other nodes' requests in the last load report, and the weight of that
    /// report by its age.
    pub(crate) fn others_load(&self, now: Duration) -> Option<(f64, f64)> {
        let (reported, own_at_report, at) = self.last_report?;
        let others = f64::from(
            (reported.running.saturating_add(reported.waiting)).saturating_sub(own_at_report),
        );
        let age = now.saturating_sub(at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        Some((others, 0.5_f64.powf(age)))
    }

    /// Returns the estimated number of requests at the worker. `mean_others_load` is the mean
    /// number of other nodes' requests at the service's workers. That mean is no evidence that this
    /// worker is full, so it counts for at most half of the slots.
    pub(crate) fn load(&self, mean_others_load: f64, now: Duration) -> f64 {
        let own = f64::from(self.own_requests());
        let mean_others_load = mean_others_load.min(f64::from(self.slots()) / 2.0);
        match self.others_load(now) {
            Some((others, weight)) => own + others * weight + mean_others_load * (1.0 - weight),
            None => own + mean_others_load,
        }
    }

    /// Returns how long this node's oldest pending request has waited for its first event.
    pub(crate) fn longest_wait(&self, now: Duration) -> Duration {
        let oldest = self.pending_since.first();
        oldest.map_or(Duration::ZERO, |sent| now.saturating_sub(*sent))
    }

    /// Adds the prefill time of a prompt that another node sent.
    pub(crate) fn add_peer_prefill(&mut self, prefill: Duration, now: Duration) {
        self.peer_prefill_until = self.peer_prefill_until.max(now) + prefill;
    }

    /// Returns the remaining time in which the worker prefills the prompts that other nodes sent.
    pub(crate) fn peer_prefill_time(&self, now: Duration) -> Duration {
        self.peer_prefill_until.saturating_sub(now)
    }

    pub(crate) fn remove_pending(&mut self, sent_at: Duration, tokens: u64) {
        self.pending_tokens = self.pending_tokens.saturating_sub(tokens);
        let position = self.pending_since.iter().position(|sent| *sent == sent_at);
        if let Some(position) = position {
            self.pending_since.remove(position);
        }
    }

    /// Returns whether a request that was sent after `sent_at` has had its first event. Workers
    /// start requests in the order of arrival, so one that was sent earlier and is still pending is
    /// hanging.
    pub(crate) fn has_overtaken(&self, sent_at: Duration) -> bool {
        self.latest_started_sent_at > sent_at
    }

    pub(crate) fn silence(&self, now: Duration) -> Duration {
        if self.own_requests() == 0 {
            return Duration::ZERO;
        }
        now.saturating_sub(self.last_activity_at)
    }

    pub(crate) fn record_activity(&mut self, now: Duration) {
        self.last_activity_at = now;
    }

    pub(crate) fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_rate_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    pub(crate) fn observe_failure(&mut self, failed: bool, now: Duration) {
        let value = if failed { 1.0 } else { 0.0 };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_SMOOTHING * (value - rate);
        self.failure_rate_at = now;
    }

    pub(crate) fn eject(&mut self, now: Duration) {
        let doublings = self.failures_in_row.min(8);
        let pause = (FIRST_EJECTION * 2_u32.pow(doublings)).min(LONGEST_EJECTION);
        self.failures_in_row += 1;
        self.ejected_until = now + pause;
    }
}
