//! Requests that cross to another region: where their own one would make them late, and the other has room.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_scheduler::selection::ChosenWorker;
use swiftshunt_scheduler::slots::CellWorker;
use swiftshunt_scheduler::slots::cell::Cell;

use super::{MAX_PROMPT_PARTS, PlacementQuery, Slots};
use crate::fleet_state::lock;
use crate::messages::slots::{SlotMessage as Message, SlotRequest};

/// Ways to and fro that a request which crosses takes more: that of the question and its own.
const CROSS_REGION_ROUND_TRIPS: u32 = 2;
/// Pause between two looks at what is free.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Whether a request may cross to another region, and to which cell: once at most.
#[derive(Default)]
pub(super) struct RegionCrossing {
    to: Option<Cell>,
    is_over: bool,
}

impl RegionCrossing {
    /// An owner told of a cell that has room.
    pub(super) fn offer_target(&mut self, elsewhere: Option<Cell>) {
        self.to = elsewhere.or(self.to.take()).filter(|_| !self.is_over);
    }

    /// Where the request crosses to now, if it may.
    pub(super) fn take_target(&mut self) -> Option<Cell> {
        let to = self.to.take()?;
        self.is_over = true;
        Some(to)
    }
}

impl Slots {
    /// Time within which a request must get a slot of its own region's: where another one has room, it waits no
    /// longer than the way there takes.
    pub(super) fn local_slot_timeout(
        &self,
        query: &PlacementQuery<'_>,
        crossing: &RegionCrossing,
        is_last: bool,
    ) -> Option<Duration> {
        let in_time = query.in_time?;
        let Some(cell) = crossing.to.as_ref().filter(|_| is_last) else {
            return Some(in_time);
        };
        let owner = self.members.owner(cell);
        Some(in_time.min(self.cross_region_delay(owner)))
    }

    /// Tells owners in other regions how many slots are free in cells that this gateway owns, for as long as the
    /// process lives; nobody where there is one region.
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

    /// The cells that this gateway owns, also those of which nobody has reported anything.
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
        let sound: Vec<CellWorker> = workers.into_iter().filter(|it| it.accepts_batch).collect();
        let free = match lock(&self.allocators).get(cell) {
            Some(allocator) => allocator.usage(&sound).free,
            None => sound.iter().map(|worker| worker.slots).sum(),
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

    /// The owner of a cell of another region tells of its room.
    pub(super) fn record_free_slots(&self, cell: Cell, free: u32) {
        let now = self.clock.now();
        lock(&self.remote_capacity).record_free_slots(cell, free, now);
    }

    /// Where a request goes on that finds no slot in a cell of this gateway's.
    pub(super) fn overflow_cell(&self, full: &Cell) -> Option<Cell> {
        full.region.as_ref()?;
        let now = self.clock.now();
        lock(&self.remote_capacity).reserve_slot(full, now)
    }

    /// Asks for a worker in another region that was said to have room; none if none takes the request in time.
    pub(super) async fn place_in_other_region(
        &self,
        query: &PlacementQuery<'_>,
        cell: Cell,
    ) -> Option<ChosenWorker> {
        let PlacementQuery {
            demand,
            tried,
            in_time,
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
            in_time: in_time.map(|time| time.saturating_sub(self.cross_region_delay(owner))),
            may_repeat: query.may_repeat,
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
            is_placed = chosen.is_some(); "no slot in time here: another region was asked");
        if chosen.is_some() {
            self.metrics.requests_crossed.inc();
        }
        chosen
    }

    /// How much later an answer comes that is made where a gateway stands.
    fn cross_region_delay(&self, owner: SocketAddr) -> Duration {
        self.members.round_trip(owner) * CROSS_REGION_ROUND_TRIPS
    }
}
