//! Choice of a worker by expected time to the first event, under a slow view: a node sees its own
//! requests at once, those of others through the load that answers carry.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use swiftshunt_topology::{Distance, Residency, Topology};

use crate::candidate::Candidate;
use crate::cold::ColdBound;
use crate::cost::{ServiceTimes, expected_prefill, expected_wait, prefill_ms};
use crate::directory::Availability;
use crate::evacuations::Evacuations;
use crate::prefix_cache::PromptPart;
use crate::slots::prompts::PrefillEstimate;

/// Load that a worker told with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
}

/// Which capacity a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A caller waits for it.
    Online,
    /// It may wait, and may be interrupted.
    Batch,
}

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Its class.
    pub class: Class,
    /// Its prompt; empty where tokens do not matter.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Where it may be handled.
    pub residency: Residency,
    /// A random number: spreads requests of many nodes over workers that are equally good.
    pub salt: u64,
}

/// A chosen worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenWorker {
    /// Its service.
    pub service: String,
    /// Its identifier.
    pub id: String,
    /// Its incarnation.
    pub incarnation: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Prompt tokens that it is expected to read.
    pub missing_tokens: u64,
    /// How long it is expected to read until the first event: what waits there, and these tokens.
    pub expected_prefill: Duration,
    /// Whether there is a prompt: the time of a stream is that of its length and tells nothing of
    /// the worker's speed.
    pub has_prompt: bool,
}

/// How a request left a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// With a whole answer.
    Answered,
    /// The worker declared that it did not run it.
    Declined,
    /// The connection could not be made.
    Unreachable,
    /// The connection or the answer broke off, or was spoiled.
    Broken,
    /// The worker answered that it failed.
    Failed,
    /// No answer in the time it had.
    TimedOut,
    /// The caller left, or the product took it back.
    Cancelled,
}

/// Cost of a worker in another zone, in milliseconds.
const OTHER_ZONE_COST: f64 = 2.0;
/// Cost of a worker in another region, in milliseconds.
const OTHER_REGION_COST: f64 = 60.0;
/// Differences of cost that do not matter, in milliseconds.
const SPREAD: f64 = 2.0;
/// Cost of a worker at which a shared beginning is not looked for first, against the time of reading
/// it: nodes that do not know yet where it was read choose the same worker.
const AFFINITY_MISS_FACTOR: f64 = 0.1;
/// The workers that a node knows, and the choice among them.
#[derive(Debug)]
pub struct Selector {
    pub(crate) topology: Topology,
    pub(crate) evacuations: Evacuations,
    /// By incarnation.
    pub(crate) candidates: BTreeMap<String, Candidate>,
    /// The incarnation of each worker that is listed, by its identifier.
    pub(crate) incarnations: BTreeMap<String, String>,
    pub(crate) services: BTreeMap<String, ServiceTimes>,
    /// Services whose workers bear less after a start.
    pub(crate) cold: BTreeMap<String, ColdBound>,
}

impl Selector {
    /// A selector of a node in `zone` of a deployment of one region.
    pub fn new(zone: &str) -> Self {
        Self::with_topology(Topology::one_region(zone))
    }

    /// A selector of a node at its place.
    pub fn with_topology(topology: Topology) -> Self {
        Self {
            topology,
            evacuations: Evacuations::default(),
            candidates: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            services: BTreeMap::new(),
            cold: BTreeMap::new(),
        }
    }

    /// Tells how much the memory of a service's engines holds.
    pub fn set_prefix_cache_size(&mut self, service: &str, tokens: u64) {
        let times = self.services.entry(service.to_owned()).or_default();
        times.memory_tokens = tokens;
    }

    /// Tokens that the memory of a service's engines holds; as good as no limit where none is told.
    pub(crate) fn memory_tokens(&self, service: &str) -> u64 {
        let times = self.services.get(service);
        times.map_or(u64::MAX / 2, |times| times.memory_tokens)
    }

    /// Whether the directory lists any worker.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Whether a service has a worker that takes new work.
    pub fn is_served(&self, service: &str) -> bool {
        self.has_eligible_worker(service, &Residency::anywhere())
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

    /// Whether a worker still takes new work.
    pub fn is_ready(&self, incarnation: &str) -> bool {
        self.candidates
            .get(incarnation)
            .is_some_and(|candidate| candidate.entry.availability == Availability::Ready)
    }

    /// Whether any worker gave a sign of life after `since`.
    pub fn has_activity_since(&self, since: Duration) -> bool {
        let mut candidates = self.candidates.values();
        candidates.any(|candidate| candidate.last_activity_at > since)
    }

    /// How many workers of a service take new work.
    pub fn ready_count(&self, service: &str) -> usize {
        self.ready_workers(service).count()
    }

    /// Slots together of a service's workers that may be offered something.
    pub fn slots(&self, service: &str) -> u32 {
        let open = self.eligible_workers(service, &Residency::anywhere());
        open.map(Candidate::slots).sum()
    }

    /// Chooses the worker with the shortest expected time to the first event. Workers in `tried`
    /// are passed over, and ejected ones as long as others are there.
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

    /// The same among the workers that `may` accepts.
    pub(crate) fn choose_among(
        &self,
        service: &str,
        demand: &Demand,
        now: Duration,
        may: impl Fn(&Candidate) -> bool,
    ) -> Option<ChosenWorker> {
        let affinity_target = self.affinity_target(service, demand);
        let open = self.eligible_workers(service, &demand.residency);
        let open =
            open.filter(|candidate| may(candidate) && !self.lacks_start_permits(candidate, now));
        let times = self.services.get(service);
        let mean_others_load = self.mean_others_load(service, now);
        let affinity_miss_cost = self.affinity_miss_cost(service, demand);
        let scored = open.map(|candidate| {
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
        let reading = expected_prefill(candidate, times, missing_tokens, now);
        let reading = PrefillEstimate {
            missing_tokens,
            time: Duration::from_secs_f64(reading / 1e3),
        };
        candidate.to_chosen_worker(reading, has_prompt)
    }

    /// How long a worker with requests of this node has given no sign of life; none if the worker
    /// is no longer listed.
    pub fn silence(&self, incarnation: &str, now: Duration) -> Option<Duration> {
        let candidate = self.candidates.get(incarnation);
        candidate.map(|candidate| candidate.silence(now))
    }

    /// Whether a worker has begun requests that were sent after `sent_at`.
    pub fn has_overtaken(&self, incarnation: &str, sent_at: Duration) -> bool {
        self.candidates
            .get(incarnation)
            .is_some_and(|candidate| candidate.has_overtaken(sent_at))
    }

    /// Whether an online request would have to wait at a worker as far as known.
    pub fn is_full(&self, incarnation: &str, now: Duration) -> bool {
        let Some(candidate) = self.candidates.get(incarnation) else {
            return false;
        };
        let mean_others_load = self.mean_others_load(&candidate.entry.service, now);
        candidate.load(mean_others_load, now) >= f64::from(candidate.slots())
    }

    /// Requests of other nodes that a ready worker of the service holds in the mean, by what was
    /// told last.
    fn mean_others_load(&self, service: &str, now: Duration) -> f64 {
        let told = self
            .ready_workers(service)
            .filter_map(|candidate| candidate.others_load(now));
        let (sum, weights) = told.fold((0.0, 0.0), |(sum, weights), (others, weight)| {
            (sum + others * weight, weights + weight)
        });
        // Where nobody tells anything any more, the memory of it fades.
        sum / weights.max(1.0)
    }

    /// Cost of a worker that is not the home of the prompt's shared beginning, in milliseconds.
    pub(crate) fn affinity_miss_cost(&self, service: &str, demand: &Demand) -> f64 {
        let times = self.services.get(service);
        prefill_ms(times, shared_tokens(demand)) * AFFINITY_MISS_FACTOR
    }

    /// How far a zone is from this node.
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

    /// The worker at which every node of a region first looks for a shared beginning of a prompt, so that it
    /// is read at few workers without a word between nodes.
    pub(crate) fn affinity_target(&self, service: &str, demand: &Demand) -> Option<&str> {
        let affinity_target = self.affinity_target_among(service, demand, |_| true);
        affinity_target.map(|candidate| candidate.entry.incarnation.as_str())
    }

    /// The same among the workers that `may` accepts.
    pub(crate) fn affinity_target_among(
        &self,
        service: &str,
        demand: &Demand,
        may: impl Fn(&Candidate) -> bool,
    ) -> Option<&Candidate> {
        let (_, shared) = demand.prompt.split_last()?;
        let last = shared.last()?;
        let open = self.eligible_workers(service, &demand.residency);
        let open = open.filter(|candidate| may(candidate));
        let weighted = open.map(|candidate| {
            let mut hasher = DefaultHasher::new();
            last.id.hash(&mut hasher);
            candidate.entry.incarnation.hash(&mut hasher);
            let is_near = self.distance_to(&candidate.entry.zone) != Distance::OtherRegion;
            ((is_near, hasher.finish()), candidate)
        });
        let best = weighted.max_by_key(|(weight, _)| *weight);
        best.map(|(_, candidate)| candidate)
    }

    /// How long a service's engines take to read `tokens`.
    pub fn prefill_time(&self, service: &str, tokens: u64) -> Duration {
        let times = self.services.get(service);
        Duration::from_secs_f64(prefill_ms(times, tokens) / 1e3)
    }
}

/// A small cost that differs between requests.
pub(crate) fn tie_break_cost(salt: u64, incarnation: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    salt.hash(&mut hasher);
    incarnation.hash(&mut hasher);
    (hasher.finish() % 1_024) as f64 / 1_024.0 * SPREAD
}

pub(crate) fn missing_tokens(candidate: &Candidate, demand: &Demand) -> u64 {
    let resident = candidate.prefix_cache.cached_tokens(&demand.prompt);
    demand.prompt_tokens.saturating_sub(resident)
}

/// Tokens of a prompt that other requests may have, too.
pub(crate) fn shared_tokens(demand: &Demand) -> u64 {
    let shared = demand.prompt.split_last();
    let shared = shared.map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| u64::from(part.tokens)).sum()
}
