//! Slots for batch items that only some workers of a cell may run.
//!
//! Items that may run anywhere wait in the queue, and the owner of a cell grants them any of its slots. An item that is
//! bound to a software version asks for a slot at workers of that version instead: granted any other slot, it could not
//! use it. An item that some workers have failed asks for a slot at the others.

use swiftshunt_scheduler::selection::{ChosenWorker, Demand};
use swiftshunt_scheduler::slots::cell::Cell;

use super::{MAX_PROMPT_PARTS, Slots};
use crate::messages::slots::SlotRequest;

impl Slots {
    /// Asks the owners of a service's cells, those of the own region first, for a free slot at a worker that may run an
    /// item, but for those in `avoided`. Returns `None` if none has one now.
    pub(crate) async fn place_item(
        &self,
        service: &str,
        demand: &Demand,
        avoided: &[String],
    ) -> Option<ChosenWorker> {
        for cell in self.cells_own_region_first(service) {
            let bids = {
                let selector = self.fleet_state.selector();
                selector.bids(&cell, demand, avoided, self.clock.now())
            };
            if bids.is_empty() {
                continue;
            }
            let parts = demand.prompt.iter().take(MAX_PROMPT_PARTS);
            let request = SlotRequest {
                bids,
                parts: parts.copied().collect(),
                tokens: demand.prompt_tokens,
                may_wait: false,
                max_wait: None,
                may_repeat: true,
                for_item: true,
            };
            let owner = self.members.owner(&cell);
            let (answer, verdict) = self.ask(owner, &cell, request).await.into_verdict();
            self.metrics.record_slot_answer(answer);
            let Some(Ok(assigned)) = verdict else {
                continue;
            };
            self.record_assignment(&cell, assigned.number);
            let selector = self.fleet_state.selector();
            let chosen =
                selector.assigned_worker_for(service, assigned.worker, demand, assigned.reading);
            if chosen.is_some() {
                return chosen;
            }
        }
        None
    }

    fn cells_own_region_first(&self, service: &str) -> Vec<Cell> {
        let mut cells: Vec<Cell> = self.fleet_state.selector().cells(service).collect();
        let own_region = self.members.topology().own_region();
        cells.sort_by_key(|cell| cell.region.as_ref() != own_region);
        cells
    }
}
