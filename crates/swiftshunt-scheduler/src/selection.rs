//! Chooses a worker by the expected time to the first event of a response. A node's view of the
//! load is partly stale: it counts its own requests at once and learns of other nodes' requests
//! only from the load that responses report.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use swiftshunt_topology::{Distance, Topology};
use swiftshunt_types::{OutputOrigin, SoftwareVersion};

use crate::candidate::Candidate;
use crate::cold::ColdBound;
use crate::cost::{ServiceTimes, expected_prefill, expected_wait, prefill_ms};
use crate::directory::Availability;
use crate::eligibility::OfferScope;
use crate::evacuations::Evacuations;
use crate::prefix_cache::PromptPart;
use crate::slots::prompts::PrefillEstimate;
use crate::software::SoftwareHistory;

/// The load that a worker reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that the worker runs concurrently.
    pub slots: u32,
}

/// The class of a request, which decides the capacity that the request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A caller waits for the response.
    Online,
    /// The request may be delayed and interrupted.
    Batch,
}

/// The requirements of a request.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The class, which decides the capacity that the request may use.
    pub class: Class,
    /// The parts of the prompt; empty where the number of tokens does not matter.
    pub prompt: Vec<PromptPart>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The workers that the request may be offered to.
    pub scope: OfferScope,
    /// A random number that breaks ties, so that many nodes spread their requests over equally good
    /// workers.
    pub salt: u64,
}

/// A chosen worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenWorker {
    /// The service that the worker belongs to.
    pub service: String,
    /// The identifier, which may be the same after a restart.
    pub id: String,
    /// The incarnation, which identifies one life of the worker.
    pub incarnation: String,
    /// The address of the worker.
    pub address: SocketAddr,
    /// The zone of the worker.
    pub zone: String,
    /// The version of the worker's software.
    pub software: SoftwareVersion,
    /// Prompt tokens that the worker is expected not to have in its prefix cache.
    pub missing_tokens: u64,
    /// Expected prefill time until the first event: the prompts that are pending at the worker and
    /// the missing tokens of this request.
    pub expected_prefill: Duration,
    /// Whether the request has a prompt. The duration of a stream depends on its length and is no
    /// measure of the worker's speed.
    pub has_prompt: bool,
}

impl ChosenWorker {
    /// Returns what an output that this worker begins is bound to.
    pub fn origin(&self) -> OutputOrigin {
        OutputOrigin {
            service: self.service.clone(),
            software: self.software.clone(),
        }
    }
}

/// The outcome of sending a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker returned a complete response.
    Answered,
    /// The worker declared that it did not run the request.
    Declined,
    /// The connection could not be made.
    Unreachable,
    /// The connection or the response broke off or was corrupted.
    Broken,
    /// The worker responded that it failed.
    Failed,
    /// The worker did not respond within the timeout.
    TimedOut,
    /// The caller disconnected, or the gateway cancelled the request.
    Cancelled,
}

/// Cost of a worker in another zone of the same region, in milliseconds.
const OTHER_ZONE_COST: f64 = 2.0;
/// Cost of a worker in another region, in milliseconds.
const OTHER_REGION_COST: f64 = 60.0;
/// Upper bound of the random cost that breaks ties, in milliseconds: smaller differences of cost do
/// not matter.
const MAX_TIE_BREAK_COST: f64 = 2.0;
/// Cost of a worker other than the affinity target, as a share of the time to prefill the prompt's
/// shared prefix. It lets nodes that do not know yet where the prefix is cached choose the same
/// worker.
const AFFINITY_MISS_FACTOR: f64 = 0.1;

/// The workers that a node knows and the observations by which it chooses among them.
#[derive(Debug)]
pub struct Selector {
    pub(crate) topology: Topology,
    pub(crate) evacuations: Evacuations,
    /// Keyed by incarnation.
    pub(crate) candidates: BTreeMap<String, Candidate>,
    /// Workers that are no longer listed while requests of this node are still there, keyed by incarnation.
    pub(crate) unlisted: BTreeMap<String, Candidate>,
    /// The incarnation of each known worker, keyed by the worker's identifier.
    pub(crate) incarnations: BTreeMap<String, String>,
    pub(crate) services: BTreeMap<String, ServiceTimes>,
    pub(crate) software: SoftwareHistory,
    /// Bounds of the services whose workers sustain less than their usual load after a start.
    pub(crate) cold: BTreeMap<String, ColdBound>,
}

impl Selector {
    /// Creates the selector of a node in `zone` of a deployment with one region.
    pub fn new(zone: &str) -> Self {
        Self::with_topology(Topology::one_region(zone))
    }

    /// Creates the selector of a node with the given topology.
    pub fn with_topology(topology: Topology) -> Self {
        Self {
            topology,
            evacuations: Evacuations::default(),
            candidates: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            services: BTreeMap::new(),
            software: SoftwareHistory::default(),
            cold: BTreeMap::new(),
        }
    }

    /// Sets the capacity of the prefix caches of a service's engines, in tokens.
    pub fn set_prefix_cache_size(&mut self, service: &str, tokens: u64) {
        let times = self.services.entry(service.to_owned()).or_default();
        times.memory_tokens = tokens;
    }

    /// Returns the capacity of the prefix caches of a service's engines, in tokens; practically
    /// unlimited until it is set.
    pub(crate) fn memory_tokens(&self, service: &str) -> u64 {
        let times = self.services.get(service);
        times.map_or(u64::MAX / 2, |times| times.memory_tokens)
    }

    /// Returns whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Returns whether a service has a worker to which new requests may be sent.
    pub fn is_served(&self, service: &str) -> bool {
        self.has_eligible_worker(service, &OfferScope::anywhere())
    }

    pub(crate) fn ready_workers<'s>(
        &'s self,
        service: &str,
    ) -> impl Iterator<Item = &'s Candidate> + use<'s> {
        let service = service.to_owned();
        self.candidates.values().filter(move |candidate| {
            candidate.entry.service == service
                && candidate.entry.availability == Availability::Ready
        })
    }

    /// Returns whether a worker accepts new requests.
    pub fn is_ready(&self, incarnation: &str) -> bool {
        self.candidates
            .get(incarnation)
            .is_some_and(|candidate| candidate.entry.availability == Availability::Ready)
    }

    /// Returns whether any worker has shown activity after `since`.
    pub fn has_activity_since(&self, since: Duration) -> bool {
        let mut candidates = self.candidates.values();
        candidates.any(|candidate| candidate.last_activity_at > since)
    }

    /// Returns the number of workers of a service that accept new requests.
    pub fn ready_count(&self, service: &str) -> usize {
        self.ready_workers(service).count()
    }

    /// Returns the total number of slots of the service's eligible workers.
    pub fn slots(&self, service: &str) -> u32 {
        let eligible = self.eligible_workers(service, &OfferScope::anywhere());
        eligible.map(Candidate::slots).sum()
    }

    /// Chooses the worker with the shortest expected time to the first event. Workers in `tried`
    /// are excluded; ejected workers are chosen only if no other worker is left.
    pub fn choose(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[String],
        now: Duration,
    ) -> Option<ChosenWorker> {
        self.choose_among(service, demand, now, |candidate| {
            !tried.contains(&candidate.entry.incarnation)
        })
    }

    /// Chooses like [`Selector::choose`], among the workers that `is_allowed` accepts.
    pub(crate) fn choose_among(
        &self,
        service: &str,
        demand: &Demand,
        now: Duration,
        is_allowed: impl Fn(&Candidate) -> bool,
    ) -> Option<ChosenWorker> {
        let affinity_target = self.affinity_target(service, demand);
        let eligible = self.eligible_workers(service, &demand.scope);
        let eligible = eligible
            .filter(|candidate| is_allowed(candidate) && !self.lacks_start_permits(candidate, now));
        let times = self.services.get(service);
        let mean_others_load = self.mean_others_load(service, now);
        let affinity_miss_cost = self.affinity_miss_cost(service, demand);
        let scored = eligible.map(|candidate| {
            let missing = missing_tokens(candidate, demand);
            let mut cost = expected_wait(candidate, times, missing, mean_others_load, now)
                + self.distance_cost(candidate);
            cost += tie_break_cost(demand.salt, &candidate.entry.incarnation);
            if affinity_target != Some(candidate.entry.incarnation.as_str()) {
                cost += affinity_miss_cost;
            }
            let ejected = candidate.ejected_until > now;
            (ejected, cost, missing, candidate)
        });
        let best =
            scored.min_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        best.map(|(_, _, missing, candidate)| {
            let has_prompt = demand.prompt_tokens > 0;
            self.to_chosen_worker(candidate, missing, has_prompt, now)
        })
    }

    pub(crate) fn to_chosen_worker(
        &self,
        candidate: &Candidate,
        missing_tokens: u64,
        has_prompt: bool,
        now: Duration,
    ) -> ChosenWorker {
        let times = self.services.get(&candidate.entry.service);
        let prefill = expected_prefill(candidate, times, missing_tokens, now);
        let prefill = PrefillEstimate {
            missing_tokens,
            time: Duration::from_secs_f64(prefill / 1e3),
        };
        candidate.to_chosen_worker(prefill, has_prompt)
    }

    /// Returns how long a worker that holds requests of this node has shown no activity; zero if it
    /// holds none, `None` if the worker is not known.
    pub fn silence(&self, incarnation: &str, now: Duration) -> Option<Duration> {
        let candidate = self.candidates.get(incarnation);
        candidate.map(|candidate| candidate.silence(now))
    }

    /// Returns whether the worker has started a request that was sent after `sent_at`.
    pub fn has_overtaken(&self, incarnation: &str, sent_at: Duration) -> bool {
        self.candidates
            .get(incarnation)
            .is_some_and(|candidate| candidate.has_overtaken(sent_at))
    }

    /// Returns whether an online request would have to queue at the worker, by the known load;
    /// false for an unknown worker.
    pub fn is_full(&self, incarnation: &str, now: Duration) -> bool {
        let Some(candidate) = self.candidates.get(incarnation) else {
            return false;
        };
        let mean_others_load = self.mean_others_load(&candidate.entry.service, now);
        candidate.load(mean_others_load, now) >= f64::from(candidate.slots())
    }

    /// Returns the mean number of other nodes' requests at a ready worker of the service, weighted
    /// by the age of the load reports.
    fn mean_others_load(&self, service: &str, now: Duration) -> f64 {
        let reported = self
            .ready_workers(service)
            .filter_map(|candidate| candidate.others_load(now));
        let (sum, weights) = reported.fold((0.0, 0.0), |(sum, weights), (others, weight)| {
            (sum + others * weight, weights + weight)
        });
        // A total weight below 1 counts as 1, so that the mean decays to zero when no reports
        // arrive.
        sum / weights.max(1.0)
    }

    /// Returns the cost of a worker that is not the affinity target of the prompt's shared prefix,
    /// in milliseconds.
    pub(crate) fn affinity_miss_cost(&self, service: &str, demand: &Demand) -> f64 {
        let times = self.services.get(service);
        prefill_ms(times, shared_tokens(demand)) * AFFINITY_MISS_FACTOR
    }

    /// Returns the distance class of a zone as seen from this node.
    pub fn distance_to(&self, zone: &str) -> Distance {
        self.topology.distance_to(zone)
    }

    pub(crate) fn distance_cost(&self, candidate: &Candidate) -> f64 {
        match self.topology.distance_to(&candidate.entry.zone) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => OTHER_ZONE_COST,
            Distance::OtherRegion => OTHER_REGION_COST,
        }
    }

    /// Returns the incarnation of the worker that every node of a region prefers for the prompt's
    /// shared prefix, so that few workers cache the prefix although the nodes do not coordinate.
    pub(crate) fn affinity_target(&self, service: &str, demand: &Demand) -> Option<&str> {
        let affinity_target = self.affinity_target_among(service, demand, |_| true);
        affinity_target.map(|candidate| candidate.entry.incarnation.as_str())
    }

    /// Returns the affinity target among the workers that `is_allowed` accepts.
    pub(crate) fn affinity_target_among(
        &self,
        service: &str,
        demand: &Demand,
        is_allowed: impl Fn(&Candidate) -> bool,
    ) -> Option<&Candidate> {
        let (_, shared) = demand.prompt.split_last()?;
        let last = shared.last()?;
        let eligible = self.eligible_workers(service, &demand.scope);
        let eligible = eligible.filter(|candidate| is_allowed(candidate));
        let weighted = eligible.map(|candidate| {
            let mut hasher = DefaultHasher::new();
            last.id.hash(&mut hasher);
            candidate.entry.incarnation.hash(&mut hasher);
            let is_near = self.distance_to(&candidate.entry.zone) != Distance::OtherRegion;
            ((is_near, hasher.finish()), candidate)
        });
        let best = weighted.max_by_key(|(weight, _)| *weight);
        best.map(|(_, candidate)| candidate)
    }

    /// Returns the time in which the service's engines prefill `tokens` tokens.
    pub fn prefill_time(&self, service: &str, tokens: u64) -> Duration {
        let times = self.services.get(service);
        Duration::from_secs_f64(prefill_ms(times, tokens) / 1e3)
    }
}

/// Returns a small pseudo-random cost that differs between requests and workers.
pub(crate) fn tie_break_cost(salt: u64, incarnation: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    salt.hash(&mut hasher);
    incarnation.hash(&mut hasher);
    (hasher.finish() % 1_024) as f64 / 1_024.0 * MAX_TIE_BREAK_COST
}

pub(crate) fn missing_tokens(candidate: &Candidate, demand: &Demand) -> u64 {
    let cached = candidate.prefix_cache.cached_tokens(&demand.prompt);
    demand.prompt_tokens.saturating_sub(cached)
}

/// Returns the number of tokens in the prompt's shared prefix: the parts before the last one, which
/// is assumed to differ between requests.
pub(crate) fn shared_tokens(demand: &Demand) -> u64 {
    let shared = demand.prompt.split_last();
    let shared = shared.map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| u64::from(part.tokens)).sum()
}
