//! The allocator's loads become correct again after messages are lost, duplicated or late.

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use swiftshunt_scheduler::slots::allocator::{Load, SlotAllocator};
use swiftshunt_scheduler::slots::{HeldSlots, SlotReport, WaitingItems, WorkerKey};

use crate::support::{SETTLED, SLOTS, gateway, key, place_at, rank, report, workers};

/// Actual state of a gateway, whose messages may be lost, duplicated or late.
#[derive(Default)]
struct ActualGateway {
    number: u64,
    seen: u64,
    held: [HeldSlots; 2],
}

impl ActualGateway {
    fn report(&mut self) -> SlotReport {
        self.number += 1;
        let at = [(0, self.held[0]), (1, self.held[1])];
        let some: Vec<(u64, HeldSlots)> = at
            .into_iter()
            .filter(|(_, it)| *it != HeldSlots::default())
            .collect();
        report(self.number, self.seen, &some)
    }
}

/// Removes the items that the preemption orders name from the gateways' held slots.
fn remove_preempted_items(actual: &mut [ActualGateway; 3], orders: Vec<(SocketAddr, WorkerKey)>) {
    for (holder, worker) in orders {
        let held = &mut actual[usize::from(holder.port() - 1_000)].held[worker.0 as usize];
        held.batch = held.batch.saturating_sub(1);
    }
}

proptest! {
    /// Messages are lost, duplicated or late. Once every gateway has reported again, the
    /// allocator's loads equal the held slots, and preemption leaves no worker with batch items
    /// above its slots. At no time are more slots granted than are free.
    #[test]
    fn loads_converge_after_lost_duplicate_and_late_messages(steps in proptest::collection::vec((0_u16..3, 0_u64..2, 0_u8..6, any::<bool>()), 1..120)) {
        let mut allocator = SlotAllocator::default();
        let mut actual: [ActualGateway; 3] = Default::default();
        let mut now = SETTLED;
        for (who, at, action, arrives) in steps {
            now += Duration::from_millis(7);
            let sender = gateway(who);
            let one = &mut actual[usize::from(who)];
            match action {
                0 => one.held[at as usize].online += 1,
                1 => one.held[at as usize].online = one.held[at as usize].online.saturating_sub(1),
                2 => one.held[at as usize].batch = one.held[at as usize].batch.saturating_sub(1),
                3 => {
                    let placed = place_at(&mut allocator, who, &[0, 0], now);
                    let placed = placed.expect("the request should get a worker");
                    if arrives {
                        one.seen = placed.number;
                        one.held[placed.worker.0 as usize].online += 1;
                    }
                }
                4 => {
                    let sent = one.report();
                    if arrives {
                        allocator.apply_report(sender, sent.clone(), now);
                        allocator.apply_report(sender, sent, now);
                        remove_preempted_items(&mut actual, allocator.preempt_surplus(&workers(2), now));
                    }
                }
                _ => {
                    let mut report = one.report();
                    report.waiting = WaitingItems { items: 2, first: rank(0) };
                    allocator.apply_report(sender, report, now);
                    allocator.expire(now);
                    let free: u32 = (0..2).map(|it| SLOTS.saturating_sub(allocator.load(key(it)).taken())).sum();
                    let grants = allocator.grant(&workers(2), 0.0, now);
                    prop_assert!(grants.len() as u32 <= free);
                    for grant in grants {
                        let to = &mut actual[usize::from(grant.to.port() - 1_000)];
                        if arrives {
                            to.seen = grant.number;
                            to.held[grant.worker.0 as usize].batch += 1;
                        }
                    }
                }
            }
        }
        now += Duration::from_secs(2);
        for (who, one) in (0..).zip(actual.iter_mut()) {
            allocator.apply_report(gateway(who), one.report(), now);
        }
        allocator.expire(now);
        for at in 0..2 {
            let online: u32 = actual.iter().map(|one| one.held[at].online).sum();
            let batch: u32 = actual.iter().map(|one| one.held[at].batch).sum();
            prop_assert_eq!(allocator.load(key(at as u64)), Load { online, batch });
        }
        remove_preempted_items(&mut actual, allocator.preempt_surplus(&workers(2), now));
        for at in 0..2 {
            let online: u32 = actual.iter().map(|one| one.held[at].online).sum();
            let batch: u32 = actual.iter().map(|one| one.held[at].batch).sum();
            prop_assert!(batch == 0 || online + batch <= SLOTS, "{online} online and {batch} batch slots held");
        }
    }
}
