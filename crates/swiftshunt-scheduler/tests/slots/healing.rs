//! Whatever was lost, doubled or late, the book heals.

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use swiftshunt_scheduler::slots::allocator::{Load, SlotAllocator};
use swiftshunt_scheduler::slots::{HeldSlots, SlotReport, WaitingItems, WorkerKey};

use crate::support::{SETTLED, SLOTS, gateway, key, place_at, rank, report, workers};

/// A gateway as it really is, behind a network that loses, doubles and delays.
#[derive(Default)]
struct Real {
    number: u64,
    seen: u64,
    held: [HeldSlots; 2],
}

impl Real {
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

/// Each gateway takes the items away that it was told to.
fn obey(real: &mut [Real; 3], orders: Vec<(SocketAddr, WorkerKey)>) {
    for (holder, worker) in orders {
        let held = &mut real[usize::from(holder.port() - 1_000)].held[worker.0 as usize];
        held.batch = held.batch.saturating_sub(1);
    }
}

proptest! {
    /// Whatever was lost, doubled or late: once every gateway has reported again, the book holds
    /// what is really held, grants nothing that is not free, and no worker with items holds more
    /// than its slots.
    #[test]
    fn the_book_heals(steps in proptest::collection::vec((0_u16..3, 0_u64..2, 0_u8..6, any::<bool>()), 1..120)) {
        let mut allocator = SlotAllocator::default();
        let mut real: [Real; 3] = Default::default();
        let mut now = SETTLED;
        for (who, at, action, arrives) in steps {
            now += Duration::from_millis(7);
            let gateway_of = gateway(who);
            let one = &mut real[usize::from(who)];
            match action {
                0 => one.held[at as usize].online += 1,
                1 => one.held[at as usize].online = one.held[at as usize].online.saturating_sub(1),
                2 => one.held[at as usize].batch = one.held[at as usize].batch.saturating_sub(1),
                3 => {
                    let placed = place_at(&mut allocator, who, &[0, 0], now);
                    let placed = placed.expect("a worker");
                    if arrives {
                        one.seen = placed.number;
                        one.held[placed.worker.0 as usize].online += 1;
                    }
                }
                4 => {
                    let sent = one.report();
                    if arrives {
                        allocator.apply_report(gateway_of, sent.clone(), now);
                        allocator.apply_report(gateway_of, sent, now);
                        obey(&mut real, allocator.preempt_surplus(&workers(2), now));
                    }
                }
                _ => {
                    let mut wants = one.report();
                    wants.waiting = WaitingItems { items: 2, first: rank(0) };
                    allocator.apply_report(gateway_of, wants, now);
                    allocator.expire(now);
                    let free: u32 = (0..2).map(|it| SLOTS.saturating_sub(allocator.load(key(it)).taken())).sum();
                    let grants = allocator.grant(&workers(2), 0.0, now);
                    prop_assert!(grants.len() as u32 <= free);
                    for grant in grants {
                        let to = &mut real[usize::from(grant.to.port() - 1_000)];
                        if arrives {
                            to.seen = grant.number;
                            to.held[grant.worker.0 as usize].batch += 1;
                        }
                    }
                }
            }
        }
        now += Duration::from_secs(2);
        for (who, one) in (0..).zip(real.iter_mut()) {
            allocator.apply_report(gateway(who), one.report(), now);
        }
        allocator.expire(now);
        for at in 0..2 {
            let online: u32 = real.iter().map(|one| one.held[at].online).sum();
            let batch: u32 = real.iter().map(|one| one.held[at].batch).sum();
            prop_assert_eq!(allocator.load(key(at as u64)), Load { online, batch });
        }
        obey(&mut real, allocator.preempt_surplus(&workers(2), now));
        for at in 0..2 {
            let online: u32 = real.iter().map(|one| one.held[at].online).sum();
            let batch: u32 = real.iter().map(|one| one.held[at].batch).sum();
            prop_assert!(batch == 0 || online + batch <= SLOTS, "{online} and {batch}");
        }
    }
}
