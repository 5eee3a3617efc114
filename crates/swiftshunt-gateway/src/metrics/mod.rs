//! Counters and histograms of a gateway.

mod labels;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use swiftshunt_routing::Rejected;
use swiftshunt_scheduler::slots::allocator::SlotUsage;

use crate::fleet_state::lock;
use crate::traffic::Traffic;
pub(crate) use labels::{Basis, RateAnswer, Refusal, RequestEnd, SlotAnswer};
use labels::{
    LimitLabels, OutcomeLabels, RateLabels, RefusalLabels, RejectedLabels, RequestLabels,
    SlotLabels, SlotUse, TenantLabels, UseLabels, ZoneLabels,
};

/// Tenants that have figures of their own at a gateway; those that come after share one.
const MAX_LABELLED_TENANTS: usize = 64;
/// The name of that one.
const OTHER_TENANTS: &str = "(others)";

/// The figures.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) traffic: Traffic,
    pub(crate) requests: Family<RequestLabels, Counter>,
    pub(crate) attempts: Family<OutcomeLabels, Counter>,
    pub(crate) appends: Family<OutcomeLabels, Counter>,
    pub(crate) items: Family<OutcomeLabels, Counter>,
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
    pub(crate) slot_owners_lost: Counter,
    pub(crate) requests_crossed: Counter,
    pub(crate) items_stepped_aside: Counter,
    pub(crate) workers_relieved: Counter,
    pub(crate) workers_failing: Counter,
    pub(crate) starts_handed_out: Counter,
    pub(crate) starts_missing: Counter,
    pub(crate) workers_ended: Counter,
    pub(crate) ends_refuted: Counter,
    pub(crate) requests_held: Counter,
    pub(crate) records_unreadable: Counter,
    pub(crate) first_event_seconds: Histogram,
    pub(crate) retry_after_seconds: Histogram,
    pub(crate) refused_after_seconds: Histogram,
    pub(crate) in_flight: Gauge,
    pub(crate) configuration_version: Gauge,
    pub(crate) leased_partitions: Gauge,
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
        let appends = Family::default();
        registry.register("appends", "Journal appends by outcome", appends.clone());
        let items = Family::default();
        registry.register("items", "Batch items by outcome", items.clone());
        let slot_questions = Family::default();
        registry.register(
            "slot_questions",
            "Requests that looked for a slot, by who decided",
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
            "Callers that were refused and told when to come back, by reason",
            refusals.clone(),
        );
        let rejected_keys = Family::default();
        registry.register(
            "rejected_keys",
            "Callers that were not served by what they showed of themselves, by reason",
            rejected_keys.clone(),
        );
        let rate_questions = Family::default();
        registry.register(
            "rate_questions",
            "Questions about limits of tenants' requests, by answer",
            rate_questions.clone(),
        );
        let rate_refusals = Family::default();
        registry.register(
            "rate_refusals",
            "Requests beyond the limit of their tenant, by tenant",
            rate_refusals.clone(),
        );
        let limit_decisions = Family::default();
        registry.register(
            "limit_decisions",
            "Decisions whether a batch job fits into its route's limit, by what they rest on",
            limit_decisions.clone(),
        );
        let evacuated_zones = Family::default();
        registry.register(
            "evacuated_zones",
            "1 for each zone that is evacuated",
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
            "Time to a stream's first event or to a whole answer",
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
            "Journal partitions whose items run here",
            leased_partitions.clone(),
        );
        let log_away = Gauge::default();
        registry.register(
            "log_away",
            "1 while the log turns this gateway away",
            log_away.clone(),
        );
        let mut counter = |name, help| {
            let counter = Counter::default();
            registry.register(name, help, Counter::clone(&counter));
            counter
        };
        let asked_again = counter(
            "asked_again",
            "Times that a request found all workers full and went on looking",
        );
        let late_in_line = counter(
            "late_in_line",
            "Requests that were late at a peak and waited behind those that could be in time",
        );
        let streams_paused = counter(
            "streams_paused",
            "Streams that ended whole and paused for longer than their route allows",
        );
        let log_failures = counter("log_failures", "Calls to the log without a use");
        let log_calls_relayed = counter(
            "log_calls_relayed",
            "Calls to the log that others made for this gateway",
        );
        let tails_read_through = counter(
            "tails_read_through",
            "Reads of the directory and the configuration that another gateway answered",
        );
        let notices_sent = counter("notices_sent", "Datagrams sent to other gateways");
        let notices_received = counter("notices_received", "Datagrams of other gateways");
        let notices_dropped = counter("notices_dropped", "Datagrams not sent or not readable");
        let slot_owners_lost = counter(
            "slot_owners_lost",
            "Times that an owner of slots did not answer any more",
        );
        let requests_crossed = counter(
            "requests_crossed",
            "Requests that went to another region, since their own would have made them late",
        );
        let items_stepped_aside = counter(
            "items_stepped_aside",
            "Batch items that left a slot to a request",
        );
        let workers_relieved = counter(
            "workers_relieved",
            "Batch items ordered away from workers that held more than their slots",
        );
        let workers_failing = counter(
            "workers_failing",
            "Times that requests began to keep clear of a worker whose sends failed",
        );
        let starts_handed_out = counter(
            "starts_handed_out",
            "Requests that this gateway, as a keeper, let go to a cold worker",
        );
        let starts_missing = counter(
            "starts_missing",
            "Requests that went elsewhere, since no start at a cold worker was to be had",
        );
        let workers_ended = counter(
            "workers_ended",
            "Workers that were found to have ended while they ran requests of this gateway",
        );
        let ends_refuted = counter(
            "ends_refuted",
            "Workers that were said to have ended and gave a sign of life to this gateway",
        );
        let requests_held = counter(
            "requests_held",
            "Requests that are not sent any more, since workers ended while they ran them",
        );
        let records_unreadable = counter(
            "records_unreadable",
            "Records of the log that could not be read and were passed over",
        );
        let mut seconds = |name, help| {
            let seconds = Histogram::new(exponential_buckets(0.005, 2.0, 12));
            registry.register(name, help, Histogram::clone(&seconds));
            seconds
        };
        let retry_after_seconds = seconds(
            "come_back",
            "Seconds after which refused callers may come back",
        );
        let refused_after_seconds = seconds(
            "refused_after",
            "Seconds for which refused requests were held",
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
            slot_owners_lost,
            requests_crossed,
            items_stepped_aside,
            workers_relieved,
            workers_failing,
            starts_handed_out,
            starts_missing,
            workers_ended,
            ends_refuted,
            requests_held,
            records_unreadable,
            requests,
            attempts,
            appends,
            items,
            first_event_seconds,
            in_flight,
            configuration_version,
            leased_partitions,
            log_away,
            log_failures,
            log_calls_relayed,
            tails_read_through,
            notices_sent,
            notices_received,
            notices_dropped,
        }
    }

    /// All figures as text.
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

    /// A caller was refused `waited` after it asked, and may come back after `retry_after`.
    pub(crate) fn record_refusal(&self, reason: Refusal, retry_after: Duration, waited: Duration) {
        self.refusals.get_or_create(&RefusalLabels { reason }).inc();
        self.retry_after_seconds.observe(retry_after.as_secs_f64());
        self.refused_after_seconds.observe(waited.as_secs_f64());
    }

    /// A caller was not served by what it showed.
    pub(crate) fn record_rejected_key(&self, rejected: Rejected) {
        let reason = rejected.into();
        let labels = RejectedLabels { reason };
        self.rejected_keys.get_or_create(&labels).inc();
    }

    pub(crate) fn record_rate_answer(&self, answer: RateAnswer) {
        let labels = RateLabels { answer };
        self.rate_questions.get_or_create(&labels).inc();
    }

    /// It was decided whether a batch job fits into its route's limit.
    pub(crate) fn record_limit_decision(&self, basis: Basis, fits: bool) {
        let fits = u8::from(fits);
        self.limit_decisions
            .get_or_create(&LimitLabels { basis, fits })
            .inc();
    }

    /// A request was beyond its tenant's limit.
    pub(crate) fn record_rate_refusal(&self, tenant: &str) {
        let mut told = lock(&self.labelled_tenants);
        let has_own = told.contains(tenant) || told.len() < MAX_LABELLED_TENANTS;
        let tenant = if has_own { tenant } else { OTHER_TENANTS };
        told.insert(tenant.to_owned());
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

    /// Tells which zones are evacuated, and what is in progress in each.
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
        self.attempts.get_or_create(&labels(outcome)).inc();
    }

    pub(crate) fn record_append(&self, outcome: impl std::fmt::Debug) {
        self.appends.get_or_create(&labels(outcome)).inc();
    }

    pub(crate) fn record_item(&self, outcome: impl std::fmt::Debug) {
        self.items.get_or_create(&labels(outcome)).inc();
    }
}

fn labels(outcome: impl std::fmt::Debug) -> OutcomeLabels {
    OutcomeLabels {
        outcome: format!("{outcome:?}").to_lowercase(),
    }
}
