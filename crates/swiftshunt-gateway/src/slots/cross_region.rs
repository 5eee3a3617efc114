//! Placement of requests in another region, if their own region has no slot in time and the other one has room.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_scheduler::selection::ChosenWorker;
use swiftshunt_scheduler::slots::CellWorker;
use swiftshunt_scheduler::slots::cell::Cell;

use super::{MAX_PROMPT_PARTS, PlacementQuery, Slots};
use crate::fleet_state::lock;
use crate::messages::slots::{SlotMessage as Message, SlotRequest};

/// Additional round trips of a request that goes to another region: one for the slot request and one for itself.
const CROSS_REGION_ROUND_TRIPS: u32 = 2;
/// Interval between two checks of the free slots of own cells.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// The cell of another region to which a request may go. A request goes to another region at most once.
#[derive(Default)]
pub(super) struct RegionCrossing {
    target: Option<Cell>,
    was_taken: bool,
}

impl RegionCrossing {
    /// Records the cell with room that a slot owner named, or keeps the one recorded before if the owner named none.
    pub(super) fn offer_target(&mut self, elsewhere: Option<Cell>) {
        self.target = elsewhere.or(self.target.take()).filter(|_| !self.was_taken);
    }

    /// Returns the cell to which the request goes now, if any. After a call has returned a cell, all later calls
    /// return `None`.
    pub(super) fn take_target(&mut self) -> Option<Cell> {
        let target = self.target.take()?;
        self.was_taken = true;
        Some(target)
    }
}

impl Slots {
    /// Returns the time within which a request must get a slot in its own region. If a cell of another region has
    /// room, waiting longer than the additional delay of going there does not pay.
    pub(super) fn local_slot_timeout(
        &self,
        query: &PlacementQuery<'_>,
        crossing: &RegionCrossing,
        is_last: bool,
    ) -> Option<Duration> {
        let max_wait = query.max_wait?;
        let Some(cell) = crossing.target.as_ref().filter(|_| is_last) else {
            return Some(max_wait);
        };
        let owner = self.members.owner(cell);
        Some(max_wait.min(self.cross_region_delay(owner)))
    }

    /// Announces the free slots of cells that this gateway owns to the owners of the corresponding cells in other
    /// regions, until the process ends. Returns at once if there is only one region.
    pub(crate) async fn run_free_slot_announcements(self: Arc<Self>) {
        if !self.members.topology().spans_regions() {
            return;
        }
        loop {
            tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            for cell in self.own_cells() {
                self.announce_free_slots(&cell);
            }
        }
    }

    /// Returns the cells that this gateway owns, including those without any reports.
    fn own_cells(&self) -> Vec<Cell> {
        let Some(configuration) = self.fleet_state.configuration() else {
            return Vec::new();
        };
        let services = configuration.batch_services();
        let selector = self.fleet_state.selector();
        let cells = services
            .into_iter()
            .flat_map(|service| selector.cells(service));
        let own = self.members.own_address();
        cells
            .filter(|cell| self.members.owner(cell) == own)
            .collect()
    }

    fn announce_free_slots(&self, cell: &Cell) {
        let now = self.clock.now();
        let (workers, counterparts) = {
            let selector = self.fleet_state.selector();
            (
                selector.cell_workers(cell, now),
                selector.counterparts(cell),
            )
        };
        let accepting_batch: Vec<CellWorker> = workers
            .into_iter()
            .filter(|worker| worker.accepts_batch)
            .collect();
        let free = match lock(&self.allocators).get(cell) {
            Some(allocator) => allocator.usage(&accepting_batch).free,
            None => accepting_batch.iter().map(|worker| worker.slots).sum(),
        };
        if !lock(&self.remote_capacity).should_announce(cell, free, now) {
            return;
        }
        for counterpart in counterparts {
            let owner = self.members.owner(&counterpart);
            let cell = cell.clone();
            self.send(Message::Room { cell, free }, owner);
        }
    }

    /// Records the free slots that the owner of a cell in another region announced.
    pub(super) fn record_free_slots(&self, cell: Cell, free: u32) {
        let now = self.clock.now();
        lock(&self.remote_capacity).record_free_slots(cell, free, now);
    }

    /// Reserves a slot in a cell of another region for a request that the given full cell cannot place, and returns that
    /// cell. Returns `None` if regions are not configured or no such cell has room.
    pub(super) fn overflow_cell(&self, full: &Cell) -> Option<Cell> {
        full.region.as_ref()?;
        let now = self.clock.now();
        lock(&self.remote_capacity).reserve_slot(full, now)
    }

    /// Asks the owner of a cell in another region for a worker. Returns `None` if it assigns none in time.
    pub(super) async fn place_in_other_region(
        &self,
        query: &PlacementQuery<'_>,
        cell: Cell,
    ) -> Option<ChosenWorker> {
        let PlacementQuery {
            demand,
            tried,
            max_wait,
            ..
        } = *query;
        let owner = self.members.owner(&cell);
        let bids = {
            let selector = self.fleet_state.selector();
            selector.bids(&cell, demand, tried, self.clock.now())
        };
        if bids.is_empty() {
            return None;
        }
        let request = SlotRequest {
            bids,
            parts: demand
                .prompt
                .iter()
                .take(MAX_PROMPT_PARTS)
                .copied()
                .collect(),
            tokens: demand.prompt_tokens,
            may_wait: false,
            max_wait: max_wait.map(|time| time.saturating_sub(self.cross_region_delay(owner))),
            may_repeat: query.may_repeat,
            for_item: false,
        };
        let (answer, verdict) = self.ask(owner, &cell, request).await.into_verdict();
        self.metrics.record_slot_answer(answer);
        let chosen = match verdict {
            Some(Ok(assigned)) => {
                self.record_assignment(&cell, assigned.number);
                let selector = self.fleet_state.selector();
                selector.assigned_worker_for(
                    query.service,
                    assigned.worker,
                    demand,
                    assigned.reading,
                )
            }
            Some(Err(_)) | None => None,
        };
        log::info!(request = query.request, cell = cell.index, answer:? = answer,
            region = cell.region.as_ref().map_or("", |region| region.0.as_str()),
            is_placed = chosen.is_some(); "no slot in time in the own region; asked a cell of another region");
        if chosen.is_some() {
            self.metrics.requests_crossed.inc();
        }
        chosen
    }

    /// Returns the additional delay of a request that is sent to the region of the given slot owner.
    fn cross_region_delay(&self, owner: SocketAddr) -> Duration {
        self.members.round_trip(owner) * CROSS_REGION_ROUND_TRIPS
    }
}
