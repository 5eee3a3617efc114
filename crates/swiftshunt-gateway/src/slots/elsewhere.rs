//! Requests that cross to another region: where their own one would make them late, and the other has room.

use std::net::SocketAddr;
use std::time::Duration;

use swiftshunt_scheduler::slots::book::Use;
use swiftshunt_scheduler::slots::cell::Cell;

use super::{MOST_PARTS, Placing, Slots};
use crate::beliefs::lock;
use crate::messages::slots::{SlotMessage as Message, SlotRequest};
use swiftshunt_scheduler::selection::Chosen;

/// Ways to and fro that a request which crosses takes more: that of the question and its own.
const WAYS: u32 = 2;

impl Slots {
    /// Tells owners in other regions how many slots are free in cells that this gateway owns.
    pub(super) fn tell_elsewhere(&self, usages: &[(Cell, Use)]) {
        let now = self.clock.now();
        for (cell, usage) in usages {
            let is_owner = self.members.owner(cell) == self.members.own();
            let free = usage.free;
            if !is_owner || !lock(&self.elsewhere).is_to_tell(cell, free, now) {
                continue;
            }
            let counterparts = self.beliefs.selector().counterparts(cell);
            for counterpart in counterparts {
                let owner = self.members.owner(&counterpart);
                let cell = cell.clone();
                self.send(Message::Room { cell, free }, owner);
            }
        }
    }

    /// The owner of a cell of another region tells of its room.
    pub(super) fn take_room(&self, cell: Cell, free: u32) {
        let now = self.clock.now();
        lock(&self.elsewhere).told(cell, free, now);
    }

    /// Where a request goes on that finds no slot in a cell of this gateway's.
    pub(super) fn send_on(&self, full: &Cell) -> Option<Cell> {
        full.region.as_ref()?;
        let now = self.clock.now();
        lock(&self.elsewhere).send_on(full, now)
    }

    /// Asks for a worker in another region that was said to have room; none if none takes the request in time.
    pub(super) async fn cross(&self, placing: &Placing<'_>, cell: Cell) -> Option<Chosen> {
        let Placing {
            demand,
            tried,
            in_time,
            ..
        } = *placing;
        let owner = self.members.owner(&cell);
        let bids = {
            let selector = self.beliefs.selector();
            selector.bids(&cell, demand, tried, self.clock.now())
        };
        if bids.is_empty() {
            return None;
        }
        let request = SlotRequest {
            bids,
            parts: demand.prompt.iter().take(MOST_PARTS).copied().collect(),
            tokens: demand.prompt_tokens,
            may_wait: false,
            in_time: in_time.map(|time| time.saturating_sub(self.longer_way(owner))),
            may_repeat: placing.may_repeat,
        };
        let (answer, verdict) = self.ask(owner, &cell, request).await.decided();
        self.metrics.slot_asked(answer);
        let chosen = match verdict {
            Some(Ok(assigned)) => {
                self.saw(&cell, assigned.number);
                let selector = self.beliefs.selector();
                selector.assigned_to(placing.service, assigned.worker, demand, assigned.reading)
            }
            Some(Err(_)) | None => None,
        };
        log::info!(request = placing.request, cell = cell.index, answer:? = answer,
            region = cell.region.as_ref().map_or("", |region| region.0.as_str()),
            is_placed = chosen.is_some(); "no slot in time here: another region was asked");
        if chosen.is_some() {
            self.metrics.requests_crossed.inc();
        }
        chosen
    }

    /// How much later an answer comes that is made where a gateway stands.
    fn longer_way(&self, owner: SocketAddr) -> Duration {
        self.members.round_trip(owner) * WAYS
    }
}
