//! The view of the workers that a gateway reports to the owners of cells, and its use of the workers
//! that they assign.

use std::time::Duration;

use swiftshunt_types::RegionName;

use crate::candidate::Candidate;
use crate::cost::{
    USUAL_SILENCE, load_independent_cost, mean_slot_ms, prefill_rate, unexplained_wait,
};
use crate::eligibility::OfferScope;
use crate::selection::{
    ChosenWorker, Demand, Selector, missing_tokens, shared_tokens, tie_break_cost,
};
use crate::slots::cell::{Cell, cell_count};
use crate::slots::prompts::{EngineRates, PrefillEstimate};
use crate::slots::{Bid, CellWorker, HeldSlots, WorkerKey};

/// Age up to which a load report counts as the present load of a worker: a few steps of an engine.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_millis(100);
/// Prefill time of a shared prefix from which requests with that prefix are sent to one cell. Reuse
/// of the cached prefix then saves several times the extra cost of a worse worker in that cell.
const MIN_AFFINITY_PREFILL: Duration = Duration::from_millis(25);

impl Selector {
    /// Returns the cells of a service: one or more for each region with ready workers.
    pub fn cells(&self, service: &str) -> impl Iterator<Item = Cell> {
        let mut regions: Vec<Option<RegionName>> = self
            .ready_workers(service)
            .map(|candidate| candidate.region.clone())
            .collect();
        regions.sort();
        regions.dedup();
        let service = service.to_owned();
        let cells = regions.into_iter().flat_map(move |region| {
            let count = self.cell_count(&service, region.as_ref());
            let service = service.clone();
            (0..count).map(move |index| Cell {
                service: service.clone(),
                region: region.clone(),
                count,
                index,
            })
        });
        cells.collect::<Vec<_>>().into_iter()
    }

    /// Returns the regions with eligible workers of a service, the own region first; a single
    /// `None` in a deployment of one region.
    pub fn regions(&self, service: &str, scope: &OfferScope) -> Vec<Option<RegionName>> {
        if !self.topology.spans_regions() {
            return vec![None];
        }
        let eligible = self.eligible_workers(service, scope);
        let mut regions: Vec<_> = eligible.map(|candidate| candidate.region.clone()).collect();
        let own = self.topology.own_region();
        regions.sort_by_key(|region| (region.as_ref() != own, region.clone()));
        regions.dedup();
        regions
    }

    /// Returns the number of cells that a service has in a region.
    fn cell_count(&self, service: &str, region: Option<&RegionName>) -> u32 {
        let in_region = self.ready_workers(service);
        let in_region = in_region.filter(|candidate| candidate.region.as_ref() == region);
        cell_count(in_region.count())
    }

    /// Returns the cell of a worker.
    pub fn cell_of(&self, chosen: &ChosenWorker) -> Cell {
        let region = self.topology.dividing_region_of(&chosen.zone);
        let count = self.cell_count(&chosen.service, region);
        Cell {
            service: chosen.service.clone(),
            region: region.cloned(),
            count,
            index: WorkerKey::of(&chosen.incarnation).cell_index(count),
        }
    }

    /// Chooses like [`Selector::choose`], outside the cells in `full`, and within the own region as
    /// long as it has a healthy worker that was not tried.
    pub fn choose_outside_cells(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[String],
        full: &[Cell],
        now: Duration,
    ) -> Option<ChosenWorker> {
        let region_filter = self.region_filter(service, demand, tried, now);
        self.choose_among(service, demand, now, |candidate| {
            region_filter.includes(candidate) && is_untried_outside_cells(candidate, tried, full)
        })
    }

    /// Chooses like [`Selector::choose`], within the own region as long as it has a healthy worker
    /// that was not tried.
    pub fn choose_preferring_own_region(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[String],
        now: Duration,
    ) -> Option<ChosenWorker> {
        self.choose_outside_cells(service, demand, tried, &[], now)
    }

    /// Returns the region to which a choice is limited: the own region, as long as it has a healthy
    /// worker that was not tried, that is, one that is not ejected and does not lack start permits.
    /// Full cells do not count here: the owners of the cells decide whether another region has free
    /// slots.
    fn region_filter(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[String],
        now: Duration,
    ) -> RegionFilter<'_> {
        let own = self.topology.own_region();
        let own = own.filter(|_| self.topology.spans_regions());
        let mut eligible = self.eligible_workers(service, &demand.scope);
        let has_healthy_worker = eligible.any(|candidate| {
            candidate.region.as_ref() == own
                && candidate.ejected_until <= now
                && !self.lacks_start_permits(candidate, now)
                && is_untried_outside_cells(candidate, tried, &[])
        });
        RegionFilter(own.filter(|_| has_healthy_worker))
    }

    /// Chooses the preferred worker for a request with a long shared prefix, outside the cells in
    /// `full`: the one with the highest rendezvous weight for the prefix among the workers that are
    /// not ejected. Every gateway of a region finds the same first, second and third worker, so
    /// that few cells cache the prefix. Returns `None` if the prefix is short.
    pub fn choose_affinity_target(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[String],
        full: &[Cell],
        now: Duration,
    ) -> Option<ChosenWorker> {
        if self.prefill_time(service, shared_tokens(demand)) < MIN_AFFINITY_PREFILL {
            return None;
        }
        let region_filter = self.region_filter(service, demand, tried, now);
        let is_acceptable = |candidate: &Candidate| {
            candidate.ejected_until <= now
                && !self.lacks_start_permits(candidate, now)
                && region_filter.includes(candidate)
                && is_untried_outside_cells(candidate, tried, full)
        };
        let affinity_target = self.affinity_target_among(service, demand, is_acceptable)?;
        let missing = missing_tokens(affinity_target, demand);
        Some(self.to_chosen_worker(affinity_target, missing, true, now))
    }

    /// Returns the cells of other regions whose owners are informed of the free slots of this cell.
    pub fn counterparts(&self, cell: &Cell) -> Vec<Cell> {
        let regions = self.topology.regions().into_iter();
        let others = regions.filter(|region| cell.region.as_ref().is_some_and(|own| own != region));
        let counterparts = others.filter_map(|region| {
            let workers = self.ready_workers(&cell.service);
            let region_workers =
                workers.filter(|candidate| candidate.region.as_ref() == Some(&region));
            let workers = region_workers.count();
            (workers > 0).then(|| cell.counterpart(&region, workers))
        });
        counterparts.collect()
    }

    fn members<'s>(&'s self, cell: &'s Cell) -> impl Iterator<Item = &'s Candidate> {
        self.ready_workers(&cell.service)
            .filter(|candidate| candidate.is_in(cell))
    }

    /// Returns the workers of a cell that a request may go to, each with its cost apart from load
    /// and prefill. Workers in `tried` are excluded, and so are ejected workers unless all are
    /// ejected.
    pub fn bids(&self, cell: &Cell, demand: &Demand, tried: &[String], now: Duration) -> Vec<Bid> {
        let eligible: Vec<&Candidate> = self
            .members(cell)
            .filter(|candidate| self.withhold_reason(candidate, &demand.scope).is_none())
            .filter(|candidate| !tried.contains(&candidate.entry.incarnation))
            .filter(|candidate| !self.lacks_start_permits(candidate, now))
            .collect();
        let any_healthy = eligible
            .iter()
            .any(|candidate| candidate.ejected_until <= now);
        let affinity_target = self.affinity_target(&cell.service, demand);
        let affinity_miss_cost = self.affinity_miss_cost(&cell.service, demand);
        let times = self.services.get(&cell.service);
        let acceptable = eligible
            .into_iter()
            .filter(|candidate| !any_healthy || candidate.ejected_until <= now);
        let bids = acceptable.map(|candidate| {
            let incarnation = candidate.entry.incarnation.as_str();
            let mut cost = load_independent_cost(candidate, times, now)
                + unexplained_wait(candidate, times, now)
                + self.distance_cost(candidate)
                + tie_break_cost(demand.salt, incarnation);
            if affinity_target != Some(incarnation) {
                cost += affinity_miss_cost;
            }
            Bid {
                worker: candidate.key,
                cost_ms: cost.round() as u32,
            }
        });
        bids.collect()
    }

    /// Returns the ready workers of a cell.
    pub fn cell_workers(&self, cell: &Cell, now: Duration) -> Vec<CellWorker> {
        let members = self.members(cell);
        let workers = members.map(|candidate| {
            let reported = candidate
                .last_report
                .filter(|(_, _, at)| now < *at + LOAD_REPORT_MAX_AGE);
            CellWorker {
                key: candidate.key,
                slots: candidate.slots(),
                reported_load: reported
                    .map(|(load, _, _)| load.running.saturating_add(load.waiting)),
                accepts_batch: !self.is_zone_evacuated(candidate)
                    && candidate.ejected_until <= now
                    && candidate.silence(now) <= USUAL_SILENCE * 2,
            }
        });
        workers.collect()
    }

    /// Returns the slots that this node uses at the workers of a cell, including workers that are
    /// draining.
    pub fn held_slots_in(&self, cell: &Cell) -> Vec<(WorkerKey, HeldSlots)> {
        let members = self.candidates.values().filter(|candidate| {
            candidate.own_requests() > 0
                && candidate.entry.service == cell.service
                && candidate.is_in(cell)
        });
        let held = members.map(|candidate| {
            let held = HeldSlots {
                online: candidate.own_online,
                batch: candidate.own_batch,
            };
            (candidate.key, held)
        });
        held.collect()
    }

    /// Returns the observed speed and the prefix cache size of a service's engines.
    pub fn engine_rates(&self, service: &str) -> EngineRates {
        let times = self.services.get(service);
        EngineRates {
            slot_ms: mean_slot_ms(times),
            tokens_per_ms: prefill_rate(times),
            memory_tokens: self.memory_tokens(service),
        }
    }

    fn eligible_worker_by_key(
        &self,
        service: &str,
        key: WorkerKey,
        scope: &OfferScope,
    ) -> Option<&Candidate> {
        let candidate = self
            .ready_workers(service)
            .find(|candidate| candidate.key == key);
        candidate.filter(|candidate| self.withhold_reason(candidate, scope).is_none())
    }

    /// Returns the worker that a slot owner assigned, if it is still eligible for this scope.
    pub fn assigned_worker(
        &self,
        service: &str,
        key: WorkerKey,
        scope: &OfferScope,
        now: Duration,
    ) -> Option<ChosenWorker> {
        let candidate = self.eligible_worker_by_key(service, key, scope)?;
        Some(self.to_chosen_worker(candidate, 0, true, now))
    }

    /// Returns the worker that a slot owner assigned for a request, if it is still eligible;
    /// `prefill` is the owner's estimate of the prefill at that worker.
    pub fn assigned_worker_for(
        &self,
        service: &str,
        key: WorkerKey,
        demand: &Demand,
        prefill: PrefillEstimate,
    ) -> Option<ChosenWorker> {
        let candidate = self.eligible_worker_by_key(service, key, &demand.scope)?;
        Some(candidate.to_chosen_worker(prefill, demand.prompt_tokens > 0))
    }
}

/// The region to which a choice is limited; `None` allows any region.
struct RegionFilter<'s>(Option<&'s RegionName>);

impl RegionFilter<'_> {
    fn includes(&self, candidate: &Candidate) -> bool {
        self.0.is_none() || candidate.region.as_ref() == self.0
    }
}

/// Returns whether a worker is neither in `tried` nor in a cell of `full`.
fn is_untried_outside_cells(candidate: &Candidate, tried: &[String], full: &[Cell]) -> bool {
    !tried.contains(&candidate.entry.incarnation) && !full.iter().any(|cell| candidate.is_in(cell))
}
