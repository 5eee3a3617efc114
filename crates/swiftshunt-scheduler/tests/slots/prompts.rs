//! Placement by the prompt caches and the prefill queues of workers.

use std::time::Duration;

use swiftshunt_scheduler::prefix_cache::PromptPart;
use swiftshunt_scheduler::slots::allocator::{
    Placement, PlacementError, PlacementRequest, SlotAllocator,
};
use swiftshunt_scheduler::slots::prompts::Prompt;
use swiftshunt_scheduler::slots::{Bid, CellWorker};

use crate::support::{RATES, SETTLED, SLOTS, bids, gateway, held, key, place, report, workers};

/// A prompt with a prefix that many requests share and a part of its own.
fn prompt(subject: u64, own: u64) -> [PromptPart; 2] {
    [
        PromptPart {
            id: subject,
            tokens: 13_000,
        },
        PromptPart {
            id: 1_000 + own,
            tokens: 1_000,
        },
    ]
}

/// Places a request with this prompt at workers of equal cost.
fn place_prompt(
    allocator: &mut SlotAllocator,
    parts: &[PromptPart],
    workers: &[CellWorker],
    may_wait: bool,
    now: Duration,
) -> Result<Placement, PlacementError> {
    let bids: Vec<Bid> = bids(&vec![0; workers.len()]);
    let tokens = parts.iter().map(|part| u64::from(part.tokens)).sum();
    let request = PlacementRequest {
        bids: &bids,
        prompt: Prompt { parts, tokens },
        may_wait,
        max_wait: None,
        may_repeat: true,
    };
    allocator.place(gateway(2), &request, workers, &RATES, now)
}

/// Requests with a shared prefix go to the worker that has it cached, whichever gateway asks and
/// even if an item has to be preempted there.
#[test]
fn a_shared_prefix_is_prefilled_once() {
    let mut allocator = SlotAllocator::default();
    let workers = workers(3);
    let first = place_prompt(&mut allocator, &prompt(1, 1), &workers, true, SETTLED);
    let first = first.expect("the request should get a worker");
    assert_eq!(first.prefill.missing_tokens, 14_000);
    let mut now = SETTLED + Duration::from_millis(600);
    let full = [(first.worker.0, held(1, SLOTS - 1))];
    allocator.apply_report(gateway(1), report(1, 0, &full), now);
    let second = place_prompt(&mut allocator, &prompt(1, 2), &workers, true, now);
    let second = second.expect("the request should get a worker");
    assert_eq!(second.worker, first.worker);
    assert_eq!(second.prefill.missing_tokens, 1_000);
    assert_eq!(second.preempted_gateway, Some(gateway(1)));
    // If requests use all slots there, the prefix is prefilled at another worker of the cell before
    // the request is refused.
    now += Duration::from_millis(600);
    let full = [(first.worker.0, held(SLOTS, 0))];
    allocator.apply_report(gateway(1), report(2, 0, &full), now);
    let third = place_prompt(&mut allocator, &prompt(1, 3), &workers, false, now);
    let third = third.expect("the request should get a worker");
    assert_ne!(third.worker, first.worker);
    assert!(!third.waits);
}

#[test]
fn queued_prefills_add_to_the_expected_time() {
    let mut allocator = SlotAllocator::default();
    let workers = workers(2);
    let mut place = |own| {
        let placed = place_prompt(&mut allocator, &prompt(own, own), &workers, true, SETTLED);
        placed.expect("the request should get a worker")
    };
    let (first, second, third) = (place(1), place(2), place(3));
    assert_ne!(first.worker, second.worker);
    assert_eq!(first.prefill.time, Duration::from_millis(350));
    assert_eq!(third.prefill.time, Duration::from_millis(700));
}

/// A stream pauses while its engine prefills a long prompt; a batch item may pause without harm.
#[test]
fn a_long_prompt_goes_where_it_disturbs_the_fewest_streams() {
    let mut allocator = SlotAllocator::default();
    let at_workers = [(0, held(1, 0)), (1, held(0, SLOTS))];
    allocator.apply_report(gateway(1), report(1, 0, &at_workers), SETTLED);
    let long = place_prompt(&mut allocator, &prompt(1, 1), &workers(2), true, SETTLED);
    assert_eq!(
        long.expect("the request should get a worker").worker,
        key(1)
    );
    // A request without a prompt goes where a slot is free.
    let short = place(&mut allocator, 2, &[0, 0]);
    assert_eq!(
        short.expect("the request should get a worker").worker,
        key(0)
    );
}

/// A prefix that was evicted from the cache counts as missing again.
#[test]
fn an_evicted_prefix_counts_as_missing() {
    let mut allocator = SlotAllocator::default();
    let workers = workers(1);
    let mut place = |subject, own| {
        let placed = place_prompt(
            &mut allocator,
            &prompt(subject, own),
            &workers,
            true,
            SETTLED,
        );
        placed
            .expect("the request should get a worker")
            .prefill
            .missing_tokens
    };
    assert_eq!(place(1, 1), 14_000);
    assert_eq!(place(1, 2), 1_000);
    for other in 2..7 {
        place(other, 10 + other);
    }
    assert_eq!(place(1, 3), 14_000);
}
