//! Cells, requests and reports shared by the tests of the slot allocator.

use std::net::SocketAddr;
use std::time::Duration;

use swiftshunt_scheduler::slots::allocator::{
    Placement, PlacementError, PlacementRequest, SlotAllocator,
};
use swiftshunt_scheduler::slots::prompts::{EngineRates, Prompt};
use swiftshunt_scheduler::slots::{
    Bid, CellWorker, HeldSlots, Rank, SlotReport, WaitingItems, WorkerKey,
};

pub(crate) const SLOTS: u32 = 4;
pub(crate) const RATES: EngineRates = EngineRates {
    slot_ms: 700.0,
    tokens_per_ms: 40.0,
    memory_tokens: 60_000,
};
/// Age at which an allocator counts as warmed up, so that every gateway has had time to report.
pub(crate) const SETTLED: Duration = Duration::from_secs(1);

pub(crate) fn gateway(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number))
}

pub(crate) fn key(number: u64) -> WorkerKey {
    WorkerKey(number)
}

pub(crate) fn workers(count: u64) -> Vec<CellWorker> {
    let worker = |number| CellWorker {
        key: key(number),
        slots: SLOTS,
        reported_load: None,
        accepts_batch: true,
    };
    (0..count).map(worker).collect()
}

pub(crate) fn bids(costs: &[u32]) -> Vec<Bid> {
    let bid = |(number, cost)| Bid {
        worker: key(number),
        cost_ms: cost,
    };
    (0..).zip(costs.iter().copied()).map(bid).collect()
}

pub(crate) fn held(online: u32, batch: u32) -> HeldSlots {
    HeldSlots { online, batch }
}

pub(crate) fn report(number: u64, seen: u64, at_workers: &[(u64, HeldSlots)]) -> SlotReport {
    SlotReport {
        life: 1,
        number,
        seen,
        held: at_workers
            .iter()
            .map(|(at, held)| (key(*at), *held))
            .collect(),
        waiting: WaitingItems::default(),
    }
}

pub(crate) fn rank(due_in_ms: i64) -> Rank {
    Rank {
        is_late: false,
        due_in_ms,
    }
}

pub(crate) fn waiting(items: u32, due_in_ms: i64) -> SlotReport {
    let first = rank(due_in_ms);
    SlotReport {
        waiting: WaitingItems { items, first },
        ..report(1, 0, &[])
    }
}

/// Builds a request without a prompt that may wait.
pub(crate) fn placement_request(bids: &[Bid]) -> PlacementRequest<'_> {
    PlacementRequest {
        bids,
        prompt: Prompt::default(),
        may_wait: true,
        max_wait: None,
        may_repeat: true,
    }
}

/// Places a request of a gateway, with a bid for each worker of the cell.
pub(crate) fn place(
    allocator: &mut SlotAllocator,
    from: u16,
    costs: &[u32],
) -> Result<Placement, PlacementError> {
    place_at(allocator, from, costs, SETTLED)
}

pub(crate) fn place_at(
    allocator: &mut SlotAllocator,
    from: u16,
    costs: &[u32],
    now: Duration,
) -> Result<Placement, PlacementError> {
    let workers = workers(costs.len() as u64);
    let bids = bids(costs);
    allocator.place(
        gateway(from),
        &placement_request(&bids),
        &workers,
        &RATES,
        now,
    )
}
