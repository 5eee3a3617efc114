//! What a gateway tells the owners of cells of its own view, and what it makes of their answers.

use std::time::Duration;

use swiftshunt_topology::Residency;
use swiftshunt_types::RegionName;

use crate::candidate::Candidate;
use crate::cost::{
    USUAL_SILENCE, load_independent_cost, mean_slot_ms, prefill_rate, unexplained_wait,
};
use crate::selection::{
    ChosenWorker, Demand, Selector, missing_tokens, shared_tokens, tie_break_cost,
};
use crate::slots::cell::{Cell, cell_count};
use crate::slots::prompts::{EngineRates, PrefillEstimate};
use crate::slots::{Bid, CellWorker, HeldSlots, WorkerKey};

/// Age up to which the load that a worker told counts as what it holds now: within a few steps of
/// an engine.
const TOLD_NOW: Duration = Duration::from_millis(100);
/// Reading time of a shared beginning from which its requests are kept together in one cell: several
/// times what a worse place within another cell costs.
const KEPT_TOGETHER: Duration = Duration::from_millis(25);

impl Selector {
    /// The cells of a service.
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

    /// Regions with workers of a service that may be offered something, the own one first; one without a name
    /// where there is one alone.
    pub fn regions(&self, service: &str, residency: &Residency) -> Vec<Option<RegionName>> {
        if !self.topology.spans_regions() {
            return vec![None];
        }
        let open = self.eligible_workers(service, residency);
        let mut regions: Vec<_> = open.map(|candidate| candidate.region.clone()).collect();
        let own = self.topology.own_region();
        regions.sort_by_key(|region| (region.as_ref() != own, region.clone()));
        regions.dedup();
        regions
    }

    /// How many cells a service has in a region.
    fn cell_count(&self, service: &str, region: Option<&RegionName>) -> u32 {
        let in_region = self.ready_workers(service);
        let in_region = in_region.filter(|candidate| candidate.region.as_ref() == region);
        cell_count(in_region.count())
    }

    /// The cell that a worker is in.
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

    /// Chooses as [`Selector::choose`] does, outside of some cells of the service, and in the own region as long
    /// as a worker is left there.
    pub fn choose_outside_cells(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[String],
        full: &[Cell],
        now: Duration,
    ) -> Option<ChosenWorker> {
        let reach = self.reach(service, demand, tried, now);
        self.choose_among(service, demand, now, |candidate| {
            reach.includes(candidate) && is_left(candidate, tried, full)
        })
    }

    /// Chooses as [`Selector::choose`] does, in the own region as long as a sound worker is there.
    pub fn choose_preferring_own_region(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[String],
        now: Duration,
    ) -> Option<ChosenWorker> {
        self.choose_outside_cells(service, demand, tried, &[], now)
    }

    /// Where a request is looked at first: in the own region, as long as a sound worker is there that was not
    /// tried. That one has no room is for the owners of its cells to say: they know where there is some.
    fn reach(&self, service: &str, demand: &Demand, tried: &[String], now: Duration) -> Reach<'_> {
        let own = self.topology.own_region();
        let own = own.filter(|_| self.topology.spans_regions());
        let mut open = self.eligible_workers(service, &demand.residency);
        let stays = open.any(|candidate| {
            candidate.region.as_ref() == own
                && candidate.ejected_until <= now
                && !self.lacks_start_permits(candidate, now)
                && is_left(candidate, tried, &[])
        });
        Reach(own.filter(|_| stays))
    }

    /// Where a request with a long shared beginning is looked for first, outside of some cells of the
    /// service: the worker that weighs most for the beginning, among those that answer. Every gateway
    /// finds the same first, second and third one, so that few cells read the beginning. None where
    /// it is short.
    pub fn choose_affinity_target(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[String],
        full: &[Cell],
        now: Duration,
    ) -> Option<ChosenWorker> {
        if self.prefill_time(service, shared_tokens(demand)) < KEPT_TOGETHER {
            return None;
        }
        let reach = self.reach(service, demand, tried, now);
        let is_open = |candidate: &Candidate| {
            candidate.ejected_until <= now
                && !self.lacks_start_permits(candidate, now)
                && reach.includes(candidate)
                && is_left(candidate, tried, full)
        };
        let affinity_target = self.affinity_target_among(service, demand, is_open)?;
        let missing = missing_tokens(affinity_target, demand);
        Some(self.to_chosen_worker(affinity_target, missing, true, now))
    }

    /// Cells of other regions whose owners are told of one.
    pub fn counterparts(&self, cell: &Cell) -> Vec<Cell> {
        let regions = self.topology.regions().into_iter();
        let others = regions.filter(|region| cell.region.as_ref().is_some_and(|own| own != region));
        let counterparts = others.filter_map(|region| {
            let workers = self.ready_workers(&cell.service);
            let there = workers.filter(|candidate| candidate.region.as_ref() == Some(&region));
            let workers = there.count();
            (workers > 0).then(|| cell.counterpart(&region, workers))
        });
        counterparts.collect()
    }

    fn members<'s>(&'s self, cell: &'s Cell) -> impl Iterator<Item = &'s Candidate> {
        self.ready_workers(&cell.service)
            .filter(|candidate| candidate.is_in(cell))
    }

    /// Where in a cell a request may go, and what speaks against each worker beside its load and what
    /// it has to read. Those in `tried` are left out, and ejected ones as long as others are there.
    pub fn bids(&self, cell: &Cell, demand: &Demand, tried: &[String], now: Duration) -> Vec<Bid> {
        let open: Vec<&Candidate> = self
            .members(cell)
            .filter(|candidate| self.withhold_reason(candidate, &demand.residency).is_none())
            .filter(|candidate| !tried.contains(&candidate.entry.incarnation))
            .filter(|candidate| !self.lacks_start_permits(candidate, now))
            .collect();
        let any_sound = open.iter().any(|candidate| candidate.ejected_until <= now);
        let affinity_target = self.affinity_target(&cell.service, demand);
        let affinity_miss_cost = self.affinity_miss_cost(&cell.service, demand);
        let times = self.services.get(&cell.service);
        let offered = open
            .into_iter()
            .filter(|candidate| !any_sound || candidate.ejected_until <= now);
        let bids = offered.map(|candidate| {
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

    /// The ready workers of a cell.
    pub fn cell_workers(&self, cell: &Cell, now: Duration) -> Vec<CellWorker> {
        let members = self.members(cell);
        let workers = members.map(|candidate| {
            let told = candidate
                .last_report
                .filter(|(_, _, at)| now < *at + TOLD_NOW);
            CellWorker {
                key: candidate.key,
                slots: candidate.slots(),
                reported_load: told.map(|(load, _, _)| load.running + load.waiting),
                accepts_batch: !self.is_zone_evacuated(candidate)
                    && candidate.ejected_until <= now
                    && candidate.silence(now) <= USUAL_SILENCE * 2,
            }
        });
        workers.collect()
    }

    /// What this node holds at the workers of a cell, also at those that are leaving.
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

    /// How the engines of a service work.
    pub fn engine_rates(&self, service: &str) -> EngineRates {
        let times = self.services.get(service);
        EngineRates {
            slot_ms: mean_slot_ms(times),
            tokens_per_ms: prefill_rate(times),
            memory_tokens: self.memory_tokens(service),
        }
    }

    fn open_by_key(
        &self,
        service: &str,
        key: WorkerKey,
        residency: &Residency,
    ) -> Option<&Candidate> {
        let candidate = self
            .ready_workers(service)
            .find(|candidate| candidate.key == key);
        candidate.filter(|candidate| self.withhold_reason(candidate, residency).is_none())
    }

    /// The worker that an owner assigned, if it may still be offered what may be handled in these regions.
    pub fn assigned_worker(
        &self,
        service: &str,
        key: WorkerKey,
        residency: &Residency,
        now: Duration,
    ) -> Option<ChosenWorker> {
        let candidate = self.open_by_key(service, key, residency)?;
        Some(self.to_chosen_worker(candidate, 0, true, now))
    }

    /// The same, for a request; `reading` is what the owner says that the worker has to read for it.
    pub fn assigned_worker_for(
        &self,
        service: &str,
        key: WorkerKey,
        demand: &Demand,
        reading: PrefillEstimate,
    ) -> Option<ChosenWorker> {
        let candidate = self.open_by_key(service, key, &demand.residency)?;
        Some(candidate.to_chosen_worker(reading, demand.prompt_tokens > 0))
    }
}

/// A region within which is chosen; any where there is none.
struct Reach<'s>(Option<&'s RegionName>);

impl Reach<'_> {
    fn includes(&self, candidate: &Candidate) -> bool {
        self.0.is_none() || candidate.region.as_ref() == self.0
    }
}

/// Whether a worker is neither tried nor in a full cell.
fn is_left(candidate: &Candidate, tried: &[String], full: &[Cell]) -> bool {
    !tried.contains(&candidate.entry.incarnation) && !full.iter().any(|cell| candidate.is_in(cell))
}
