//! Metrics of a gateway.

mod labels;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Mutex;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use swiftshunt_http::{Framing, StreamEnd};
use swiftshunt_routing::Rejected;
use swiftshunt_scheduler::selection::AttemptOutcome;
use swiftshunt_scheduler::slots::allocator::SlotUsage;

use crate::fleet_state::lock;
use crate::traffic::Traffic;
pub(crate) use labels::{
    Basis, ItemWait, OriginSource, RateAnswer, Refusal, RequestEnd, SlotAnswer, SuspensionReason,
};
use labels::{
    LimitLabels, OutcomeLabels, RateLabels, RefusalLabels, RejectedLabels, RequestLabels,
    SlotLabels, SlotUse, StallLabels, StreamEndLabels, SuspensionLabels, TakeUpLabels,
    TenantLabels, UseLabels, ZoneLabels,
};

/// Largest number of tenants with a label value of their own; later tenants share [`OTHER_TENANTS`].
const MAX_LABELLED_TENANTS: usize = 64;
/// Label value for the tenants beyond [`MAX_LABELLED_TENANTS`].
const OTHER_TENANTS: &str = "(others)";

/// The metrics of a gateway and their registry.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) traffic: Traffic,
    pub(crate) requests: Family<RequestLabels, Counter>,
    pub(crate) attempts: Family<OutcomeLabels, Counter>,
    inconclusive_runs: Family<OutcomeLabels, Counter>,
    pub(crate) appends: Family<OutcomeLabels, Counter>,
    pub(crate) items: Family<OutcomeLabels, Counter>,
    stalled_items: Family<StallLabels, Gauge>,
    longest_stall_seconds: Gauge,
    lease_suspensions: Family<SuspensionLabels, Counter>,
    take_ups: Family<TakeUpLabels, Counter>,
    stream_ends: Family<StreamEndLabels, Counter>,
    pub(crate) slot_questions: Family<SlotLabels, Counter>,
    pub(crate) slots: Family<UseLabels, Gauge>,
    pub(crate) refusals: Family<RefusalLabels, Counter>,
    rejected_keys: Family<RejectedLabels, Counter>,
    rate_questions: Family<RateLabels, Counter>,
    rate_refusals: Family<TenantLabels, Counter>,
    limit_decisions: Family<LimitLabels, Counter>,
    labelled_tenants: Mutex<BTreeSet<String>>,
    evacuated_zones: Family<ZoneLabels, Gauge>,
    evacuated_in_progress: Family<ZoneLabels, Gauge>,
    pub(crate) asked_again: Counter,
    pub(crate) late_in_line: Counter,
    pub(crate) streams_paused: Counter,
    pub(crate) events_out_of_order: Counter,
    pub(crate) slot_owners_lost: Counter,
    pub(crate) requests_crossed: Counter,
    pub(crate) items_stepped_aside: Counter,
    pub(crate) items_begun_anew: Counter,
    pub(crate) workers_relieved: Counter,
    pub(crate) workers_failing: Counter,
    pub(crate) starts_handed_out: Counter,
    pub(crate) starts_missing: Counter,
    pub(crate) workers_ended: Counter,
    pub(crate) ends_refuted: Counter,
    pub(crate) requests_held: Counter,
    pub(crate) parts_held: Counter,
    pub(crate) parts_freed: Counter,
    pub(crate) reports_unacknowledged: Counter,
    pub(crate) records_unreadable: Counter,
    pub(crate) first_event_seconds: Histogram,
    pub(crate) retry_after_seconds: Histogram,
    pub(crate) refused_after_seconds: Histogram,
    pub(crate) in_flight: Gauge,
    pub(crate) configuration_version: Gauge,
    pub(crate) leased_partitions: Gauge,
    pub(crate) unreadable_partitions: Gauge,
    pub(crate) log_away: Gauge,
    pub(crate) log_failures: Counter,
    pub(crate) log_calls_relayed: Counter,
    pub(crate) tails_read_through: Counter,
    pub(crate) notices_sent: Counter,
    pub(crate) notices_received: Counter,
    pub(crate) notices_dropped: Counter,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("swiftshunt");
        let traffic = Traffic::default();
        traffic.register(&mut registry);
        let requests = Family::default();
        registry.register("requests", "Requests by route and end", requests.clone());
        let attempts = Family::default();
        registry.register("attempts", "Sends to workers by outcome", attempts.clone());
        let inconclusive_runs = Family::default();
        registry.register(
            "inconclusive_runs",
            "Runs that ended neither with an answer nor with a broken connection, by outcome",
            inconclusive_runs.clone(),
        );
        let appends = Family::default();
        registry.register("appends", "Journal appends by outcome", appends.clone());
        let items = Family::default();
        registry.register("items", "Batch items by outcome", items.clone());
        let stalled_items = Family::default();
        registry.register(
            "stalled_items",
            "Accepted items of leased partitions that have made no progress for some seconds, by what they wait for",
            stalled_items.clone(),
        );
        let longest_stall_seconds = Gauge::default();
        registry.register(
            "longest_item_stall_seconds",
            "Longest time for which an accepted item of a leased partition has made no progress",
            longest_stall_seconds.clone(),
        );
        let lease_suspensions = Family::default();
        registry.register(
            "lease_suspensions",
            "Times that this gateway gave its leases up because it could not run the items of their partitions, by reason",
            lease_suspensions.clone(),
        );
        let take_ups = Family::default();
        registry.register(
            "streams_taken_up",
            "Streams that callers take up, by what showed the version that began them, or why it is not known",
            take_ups.clone(),
        );
        let stream_ends = Family::default();
        registry.register(
            "stream_ends",
            "Streams of workers whose body ended without an error, by what ended it and whether they are complete",
            stream_ends.clone(),
        );
        let slot_questions = Family::default();
        registry.register(
            "slot_questions",
            "Requests for a slot, by how the slot was decided",
            slot_questions.clone(),
        );
        let slots = Family::default();
        registry.register(
            "slots",
            "Slots of the cells that this gateway owns, by use",
            slots.clone(),
        );
        let refusals = Family::default();
        registry.register(
            "refusals",
            "Requests refused with a time to retry after, by reason",
            refusals.clone(),
        );
        let rejected_keys = Family::default();
        registry.register(
            "rejected_keys",
            "Requests rejected because of their key, by reason",
            rejected_keys.clone(),
        );
        let rate_questions = Family::default();
        registry.register(
            "rate_questions",
            "Checks of tenants' rate limits, by answer",
            rate_questions.clone(),
        );
        let rate_refusals = Family::default();
        registry.register(
            "rate_refusals",
            "Requests refused by the rate limit of their tenant, by tenant",
            rate_refusals.clone(),
        );
        let limit_decisions = Family::default();
        registry.register(
            "limit_decisions",
            "Decisions whether a batch job fits into its route's limit of waiting tokens, by basis and result",
            limit_decisions.clone(),
        );
        let evacuated_zones = Family::default();
        registry.register(
            "evacuated_zones",
            "1 for each evacuated zone",
            evacuated_zones.clone(),
        );
        let evacuated_in_progress = Family::default();
        registry.register(
            "evacuated_in_progress",
            "Requests and items of this gateway in progress at workers of evacuated zones, by zone",
            evacuated_in_progress.clone(),
        );
        let first_event_seconds = Histogram::new(exponential_buckets(0.005, 2.0, 12));
        registry.register(
            "first_event_seconds",
            "Seconds until a stream's first event or a complete answer",
            first_event_seconds.clone(),
        );
        let in_flight = Gauge::default();
        registry.register("in_flight", "Requests in progress", in_flight.clone());
        let configuration_version = Gauge::default();
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            configuration_version.clone(),
        );
        let leased_partitions = Gauge::default();
        registry.register(
            "leased_partitions",
            "Journal partitions leased by this gateway",
            leased_partitions.clone(),
        );
        let unreadable_partitions = Gauge::default();
        registry.register(
            "unreadable_partitions",
            "Leased partitions of which no read has been answered for some seconds",
            unreadable_partitions.clone(),
        );
        let log_away = Gauge::default();
        registry.register(
            "log_away",
            "1 while the log does not answer this gateway's direct calls",
            log_away.clone(),
        );
        let mut counter = |name, help| {
            let counter = Counter::default();
            registry.register(name, help, Counter::clone(&counter));
            counter
        };
        let asked_again = counter(
            "asked_again",
            "Times that a request found all workers full and tried again after a pause",
        );
        let late_in_line = counter(
            "late_in_line",
            "Late requests that waited behind requests that could still meet their deadline",
        );
        let streams_paused = counter(
            "streams_paused",
            "Completed streams that paused for longer than their route allows",
        );
        let events_out_of_order = counter(
            "events_out_of_order",
            "Runs at workers with an event whose number does not continue the stream",
        );
        let log_failures = counter(
            "log_failures",
            "Failed reads of the log by the followers of its topics",
        );
        let log_calls_relayed = counter(
            "log_calls_relayed",
            "Calls to the log that other gateways made for this one",
        );
        let tails_read_through = counter(
            "tails_read_through",
            "Reads of shared tails (directory, configuration, quarantine) that another gateway answered",
        );
        let notices_sent = counter("notices_sent", "Datagrams sent to other gateways");
        let notices_received = counter(
            "notices_received",
            "Readable datagrams received from other gateways",
        );
        let notices_dropped = counter(
            "notices_dropped",
            "Datagrams that could not be sent or decoded",
        );
        let slot_owners_lost = counter(
            "slot_owners_lost",
            "Times that a slot owner stopped answering",
        );
        let requests_crossed = counter(
            "requests_crossed",
            "Requests sent to another region because their own region would have made them late",
        );
        let items_begun_anew = counter(
            "items_begun_anew",
            "Batch items whose output was dropped, since the software version that began it could not continue it",
        );
        let items_stepped_aside = counter(
            "items_stepped_aside",
            "Batch items interrupted to free their slot or to leave an evacuated zone",
        );
        let workers_relieved = counter(
            "workers_relieved",
            "Orders to preempt a batch item at a worker that has more requests than slots",
        );
        let workers_failing = counter(
            "workers_failing",
            "Times that requests began to avoid a worker because sends to it failed",
        );
        let starts_handed_out = counter(
            "starts_handed_out",
            "Permits for sends to cold workers that this gateway issued",
        );
        let starts_missing = counter(
            "starts_missing",
            "Requests not sent to a cold worker because no permit was available",
        );
        let workers_ended = counter(
            "workers_ended",
            "Workers found to have ended while they ran requests of this gateway",
        );
        let ends_refuted = counter(
            "ends_refuted",
            "Workers whose reported end this gateway refuted or withdrew",
        );
        let requests_held = counter(
            "requests_held",
            "Requests quarantined because workers ended while they ran them",
        );
        let parts_held = counter(
            "prompt_parts_held",
            "Prompt parts held because workers ended while they ran requests with them",
        );
        let parts_freed = counter(
            "prompt_parts_freed",
            "Prompt parts that this gateway freed because requests with them ran well",
        );
        let reports_unacknowledged = counter(
            "reports_unacknowledged",
            "Reports of ended workers that some gateways did not acknowledge in time",
        );
        let records_unreadable = counter(
            "records_unreadable",
            "Records of the log that could not be read and were skipped",
        );
        let mut histogram = |name, help| {
            let histogram = Histogram::new(exponential_buckets(0.005, 2.0, 12));
            registry.register(name, help, Histogram::clone(&histogram));
            histogram
        };
        let retry_after_seconds =
            histogram("come_back", "Seconds after which refused callers may retry");
        let refused_after_seconds = histogram(
            "refused_after",
            "Seconds that refused requests waited before the refusal",
        );
        Self {
            registry,
            traffic,
            retry_after_seconds,
            refused_after_seconds,
            slot_questions,
            slots,
            refusals,
            rejected_keys,
            rate_questions,
            rate_refusals,
            limit_decisions,
            labelled_tenants: Mutex::default(),
            evacuated_zones,
            evacuated_in_progress,
            asked_again,
            late_in_line,
            streams_paused,
            events_out_of_order,
            slot_owners_lost,
            requests_crossed,
            items_stepped_aside,
            items_begun_anew,
            workers_relieved,
            workers_failing,
            starts_handed_out,
            starts_missing,
            workers_ended,
            ends_refuted,
            requests_held,
            parts_held,
            parts_freed,
            reports_unacknowledged,
            records_unreadable,
            requests,
            attempts,
            inconclusive_runs,
            appends,
            items,
            stalled_items,
            longest_stall_seconds,
            lease_suspensions,
            take_ups,
            stream_ends,
            first_event_seconds,
            in_flight,
            configuration_version,
            leased_partitions,
            unreadable_partitions,
            log_away,
            log_failures,
            log_calls_relayed,
            tails_read_through,
            notices_sent,
            notices_received,
            notices_dropped,
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode_text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }

    pub(crate) fn record_request_end(&self, route: &str, end: RequestEnd) {
        let labels = RequestLabels {
            route: route.to_owned(),
            end,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records a refusal: the caller waited for `waited` and may retry after `retry_after`.
    pub(crate) fn record_refusal(&self, reason: Refusal, retry_after: Duration, waited: Duration) {
        self.refusals.get_or_create(&RefusalLabels { reason }).inc();
        self.retry_after_seconds.observe(retry_after.as_secs_f64());
        self.refused_after_seconds.observe(waited.as_secs_f64());
    }

    /// Records that a caller's key was rejected.
    pub(crate) fn record_rejected_key(&self, rejected: Rejected) {
        let reason = rejected.into();
        let labels = RejectedLabels { reason };
        self.rejected_keys.get_or_create(&labels).inc();
    }

    pub(crate) fn record_rate_answer(&self, answer: RateAnswer) {
        let labels = RateLabels { answer };
        self.rate_questions.get_or_create(&labels).inc();
    }

    /// Records the decision whether a batch job fits into its route's limit.
    pub(crate) fn record_limit_decision(&self, basis: Basis, fits: bool) {
        let fits = u8::from(fits);
        self.limit_decisions
            .get_or_create(&LimitLabels { basis, fits })
            .inc();
    }

    /// Records that a request was refused by its tenant's rate limit.
    pub(crate) fn record_rate_refusal(&self, tenant: &str) {
        let mut labelled = lock(&self.labelled_tenants);
        let has_own_label = labelled.contains(tenant) || labelled.len() < MAX_LABELLED_TENANTS;
        let tenant = if has_own_label { tenant } else { OTHER_TENANTS };
        labelled.insert(tenant.to_owned());
        let tenant = tenant.to_owned();
        self.rate_refusals
            .get_or_create(&TenantLabels { tenant })
            .inc();
    }

    pub(crate) fn record_slot_answer(&self, answer: SlotAnswer) {
        self.slot_questions
            .get_or_create(&SlotLabels { answer })
            .inc();
    }

    /// Sets the evacuated zones, with the number of requests and items in progress in each.
    pub(crate) fn set_evacuated_zones(&self, zones: &BTreeMap<String, u32>) {
        self.evacuated_zones.clear();
        self.evacuated_in_progress.clear();
        for (zone, in_progress) in zones {
            let labels = ZoneLabels { zone: zone.clone() };
            self.evacuated_zones.get_or_create(&labels).set(1);
            let gauge = self.evacuated_in_progress.get_or_create(&labels);
            gauge.set(i64::from(*in_progress));
        }
    }

    pub(crate) fn set_slot_usage(&self, usage: SlotUsage) {
        let uses = [
            (SlotUse::Online, usage.online),
            (SlotUse::Batch, usage.batch),
            (SlotUse::Free, usage.free),
        ];
        for (used, slots) in uses {
            let gauge = self.slots.get_or_create(&UseLabels { used });
            gauge.set(i64::from(slots));
        }
    }

    pub(crate) fn record_attempt(&self, outcome: impl std::fmt::Debug) {
        self.attempts.get_or_create(&outcome_labels(outcome)).inc();
    }

    /// Counts a stream that a caller takes up.
    pub(crate) fn record_take_up(&self, origin: OriginSource) {
        self.take_ups.get_or_create(&TakeUpLabels { origin }).inc();
    }

    /// Counts a worker's stream whose body ended without an error.
    pub(crate) fn record_stream_end(&self, framing: Framing, end: StreamEnd) {
        let labels = StreamEndLabels {
            framing: framing.to_string(),
            end: end.into(),
        };
        self.stream_ends.get_or_create(&labels).inc();
    }

    /// Counts a run whose end shows neither that it succeeded nor that its worker failed.
    pub(crate) fn record_inconclusive_run(&self, outcome: AttemptOutcome) {
        let labels = outcome_labels(outcome);
        self.inconclusive_runs.get_or_create(&labels).inc();
    }

    /// Sets the number of stalled items by what they wait for, and how long the longest of them has been stalled.
    pub(crate) fn set_stalled_items(&self, stalled: &HashMap<ItemWait, i64>, longest: Duration) {
        self.stalled_items.clear();
        for (waits_for, items) in stalled {
            let labels = StallLabels {
                waits_for: *waits_for,
            };
            self.stalled_items.get_or_create(&labels).set(*items);
        }
        let seconds = i64::try_from(longest.as_secs()).unwrap_or(i64::MAX);
        self.longest_stall_seconds.set(seconds);
    }

    pub(crate) fn record_lease_suspension(&self, reason: SuspensionReason) {
        let labels = SuspensionLabels { reason };
        self.lease_suspensions.get_or_create(&labels).inc();
    }

    pub(crate) fn record_append(&self, outcome: impl std::fmt::Debug) {
        self.appends.get_or_create(&outcome_labels(outcome)).inc();
    }

    pub(crate) fn record_item(&self, outcome: impl std::fmt::Debug) {
        self.items.get_or_create(&outcome_labels(outcome)).inc();
    }
}

fn outcome_labels(outcome: impl std::fmt::Debug) -> OutcomeLabels {
    OutcomeLabels {
        outcome: format!("{outcome:?}").to_lowercase(),
    }
}
