//! The book of a cell: exact loads, one item aside for each request that would wait, grants by
//! urgency, and what lost, doubled and late messages do to it.

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use swiftshunt_scheduler::residency::PromptPart;
use swiftshunt_scheduler::slots::book::{Book, Load, NotPlaced, Placement, Question};
use swiftshunt_scheduler::slots::cell::{Cell, cell_count, owner};
use swiftshunt_scheduler::slots::prompts::{EngineRates, Prompt};
use swiftshunt_scheduler::slots::{
    Bid, CellWorker, Held, ItemTimes, Rank, Report, Waiting, WorkerKey,
};
use test_case::test_case;

const SLOTS: u32 = 4;
const RATES: EngineRates = EngineRates {
    slot_ms: 700.0,
    tokens_per_ms: 40.0,
    memory_tokens: 60_000,
};
/// A book that has been open for this long knows everybody.
const SETTLED: Duration = Duration::from_secs(1);

fn gateway(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number))
}

fn key(number: u64) -> WorkerKey {
    WorkerKey(number)
}

fn workers(count: u64) -> Vec<CellWorker> {
    let worker = |number| CellWorker {
        key: key(number),
        slots: SLOTS,
        told: None,
        is_sound: true,
    };
    (0..count).map(worker).collect()
}

fn bids(costs: &[u32]) -> Vec<Bid> {
    let bid = |(number, cost)| Bid {
        worker: key(number),
        cost_ms: cost,
    };
    (0..).zip(costs.iter().copied()).map(bid).collect()
}

fn held(online: u32, batch: u32) -> Held {
    Held { online, batch }
}

fn report(number: u64, seen: u64, at_workers: &[(u64, Held)]) -> Report {
    Report {
        life: 1,
        number,
        seen,
        held: at_workers
            .iter()
            .map(|(at, held)| (key(*at), *held))
            .collect(),
        waiting: Waiting::default(),
    }
}

fn rank(due_in_ms: i64) -> Rank {
    Rank {
        is_late: false,
        due_in_ms,
    }
}

fn waiting(items: u32, due_in_ms: i64) -> Report {
    let first = rank(due_in_ms);
    Report {
        waiting: Waiting { items, first },
        ..report(1, 0, &[])
    }
}

/// A request without a prompt that may wait.
fn question(bids: &[Bid]) -> Question<'_> {
    Question {
        bids,
        prompt: Prompt::default(),
        may_wait: true,
        may_repeat: true,
    }
}

/// A request of a gateway, with a bid for each worker of the cell.
fn place(book: &mut Book, from: u16, costs: &[u32]) -> Result<Placement, NotPlaced> {
    place_at(book, from, costs, SETTLED)
}

fn place_at(
    book: &mut Book,
    from: u16,
    costs: &[u32],
    now: Duration,
) -> Result<Placement, NotPlaced> {
    let workers = workers(costs.len() as u64);
    let bids = bids(costs);
    book.place(gateway(from), &question(&bids), &workers, &RATES, now)
}

#[test]
fn a_request_goes_where_a_slot_is_free() {
    let mut book = Book::default();
    book.take(gateway(1), report(1, 0, &[(0, held(4, 0))]), SETTLED);
    book.take(gateway(2), report(1, 0, &[(1, held(2, 1))]), SETTLED);
    let placed = place(&mut book, 3, &[0, 0]);
    let placed = placed.expect("a worker");
    assert_eq!(placed.worker, key(1));
    assert!(!placed.waits);
    assert_eq!(placed.steps_aside, None);
}

#[test]
fn what_speaks_against_a_free_worker_is_weighed_against_a_slot() {
    let mut book = Book::default();
    book.take(gateway(1), report(1, 0, &[(0, held(3, 1))]), SETTLED);
    // Reading 400 ms more at the free worker is worse than an item's way out of the full one.
    let placed = place(&mut book, 2, &[0, 400]);
    assert_eq!(placed.expect("a worker").worker, key(0));
}

#[test]
fn exactly_one_item_steps_aside_for_each_request_that_would_wait() {
    let mut book = Book::default();
    book.take(gateway(1), report(1, 0, &[(0, held(2, 2))]), SETTLED);
    let mut place = || {
        let placed = place(&mut book, 2, &[0]);
        placed.expect("a worker")
    };
    assert_eq!(place().steps_aside, Some(gateway(1)));
    assert_eq!(place().steps_aside, Some(gateway(1)));
    let third = place();
    assert_eq!(third.steps_aside, None, "no item is left");
    assert!(third.waits);
}

#[test]
fn a_request_that_would_wait_is_told_so_if_it_may_go_elsewhere() {
    let mut book = Book::default();
    book.take(gateway(1), report(1, 0, &[(0, held(4, 0))]), SETTLED);
    let mut place = |may_wait| {
        let bids = bids(&[0]);
        let question = Question {
            may_wait,
            ..question(&bids)
        };
        book.place(gateway(2), &question, &workers(1), &RATES, SETTLED)
    };
    assert_eq!(place(false), Err(NotPlaced::Full));
    assert!(place(true).expect("a worker").waits);
    let mut unknown = Book::default();
    let none = unknown.place(gateway(2), &question(&bids(&[0])), &[], &RATES, SETTLED);
    assert_eq!(none, Err(NotPlaced::NoWorker));
}

/// A prompt of a beginning that many requests share and a part of the request's own.
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

/// A request with such a prompt, to workers that are alike.
fn place_prompt(
    book: &mut Book,
    parts: &[PromptPart],
    workers: &[CellWorker],
    may_wait: bool,
    now: Duration,
) -> Result<Placement, NotPlaced> {
    let bids: Vec<Bid> = bids(&vec![0; workers.len()]);
    let tokens = parts.iter().map(|part| u64::from(part.tokens)).sum();
    let question = Question {
        bids: &bids,
        prompt: Prompt { parts, tokens },
        may_wait,
        may_repeat: true,
    };
    book.place(gateway(2), &question, workers, &RATES, now)
}

/// Requests with a shared beginning go where it was read, whichever gateway asks and also where an
/// item has to leave its slot for that.
#[test]
fn a_shared_beginning_is_read_once() {
    let mut book = Book::default();
    let workers = workers(3);
    let first = place_prompt(&mut book, &prompt(1, 1), &workers, true, SETTLED);
    let first = first.expect("a worker");
    assert_eq!(first.reading.missing_tokens, 14_000);
    let mut now = SETTLED + Duration::from_millis(600);
    let full = [(first.worker.0, held(1, SLOTS - 1))];
    book.take(gateway(1), report(1, 0, &full), now);
    let second = place_prompt(&mut book, &prompt(1, 2), &workers, true, now);
    let second = second.expect("a worker");
    assert_eq!(second.worker, first.worker);
    assert_eq!(second.reading.missing_tokens, 1_000);
    assert_eq!(second.steps_aside, Some(gateway(1)));
    // Where all slots are taken by requests it is read at another worker, before another cell has to.
    now += Duration::from_millis(600);
    let full = [(first.worker.0, held(SLOTS, 0))];
    book.take(gateway(1), report(2, 0, &full), now);
    let third = place_prompt(&mut book, &prompt(1, 3), &workers, false, now);
    let third = third.expect("a worker");
    assert_ne!(third.worker, first.worker);
    assert!(!third.waits);
}

#[test]
fn prompts_that_wait_to_be_read_count() {
    let mut book = Book::default();
    let workers = workers(2);
    let mut place = |own| {
        let placed = place_prompt(&mut book, &prompt(own, own), &workers, true, SETTLED);
        placed.expect("a worker")
    };
    let (first, second, third) = (place(1), place(2), place(3));
    assert_ne!(first.worker, second.worker);
    assert_eq!(first.reading.time, Duration::from_millis(350));
    assert_eq!(third.reading.time, Duration::from_millis(700));
}

/// A stream pauses while its engine reads a long prompt; an item may.
#[test]
fn a_long_prompt_is_read_where_few_streams_run() {
    let mut book = Book::default();
    let at_workers = [(0, held(1, 0)), (1, held(0, SLOTS))];
    book.take(gateway(1), report(1, 0, &at_workers), SETTLED);
    let long = place_prompt(&mut book, &prompt(1, 1), &workers(2), true, SETTLED);
    assert_eq!(long.expect("a worker").worker, key(1));
    // A short one goes where a slot is free.
    let short = place(&mut book, 2, &[0, 0]);
    assert_eq!(short.expect("a worker").worker, key(0));
}

/// What a memory has no room for any more counts as missing again.
#[test]
fn a_beginning_that_gave_way_is_read_again() {
    let mut book = Book::default();
    let workers = workers(1);
    let mut place = |subject, own| {
        let placed = place_prompt(&mut book, &prompt(subject, own), &workers, true, SETTLED);
        placed.expect("a worker").reading.missing_tokens
    };
    assert_eq!(place(1, 1), 14_000);
    assert_eq!(place(1, 2), 1_000);
    for other in 2..7 {
        place(other, 10 + other);
    }
    assert_eq!(place(1, 3), 14_000);
}

/// A request that may not be repeated, or may, to two workers of which the first would be better.
fn place_unless_failing(book: &mut Book, may_repeat: bool, now: Duration) -> WorkerKey {
    let bids = bids(&[0, 50]);
    let question = Question {
        may_repeat,
        ..question(&bids)
    };
    let placed = book.place(gateway(2), &question, &workers(2), &RATES, now);
    placed.expect("a worker").worker
}

/// What one gateway saw keeps the requests of all away, and those that may not be repeated longest.
#[test]
fn requests_keep_clear_of_a_worker_that_failed_another_gateway() {
    let mut book = Book::default();
    assert_eq!(place_unless_failing(&mut book, false, SETTLED), key(0));
    assert!(book.failed(key(0), SETTLED));
    let at = |ms| SETTLED + Duration::from_millis(ms);
    for (ms, may_repeat, worker) in [
        (10, true, 1),
        (390, true, 1),
        (410, false, 1),
        (410, true, 0),
        (1_190, false, 1),
        (1_210, false, 0),
    ] {
        let placed = place_unless_failing(&mut book, may_repeat, at(ms));
        assert_eq!(placed, key(worker), "after {ms} ms, repeated: {may_repeat}");
    }
}

#[test]
fn a_worker_that_fails_again_is_left_for_longer() {
    let mut book = Book::default();
    let mut now = SETTLED;
    assert!(book.failed(key(0), now));
    assert!(!book.failed(key(0), now), "one more request that was there");
    now += Duration::from_millis(450);
    assert!(book.failed(key(0), now));
    now += Duration::from_millis(750);
    assert_eq!(place_unless_failing(&mut book, true, now), key(1));
    now += Duration::from_millis(100);
    assert_eq!(place_unless_failing(&mut book, true, now), key(0));
    // What is long ago does not count.
    now += Duration::from_secs(10);
    assert!(book.failed(key(0), now));
    now += Duration::from_millis(450);
    assert_eq!(place_unless_failing(&mut book, true, now), key(0));
}

/// A worker that loses an answer now and then is not left: the others could not carry its part.
#[test]
fn a_worker_that_fails_seldom_is_not_left() {
    let mut book = Book::default();
    let mut now = SETTLED;
    for _ in 0..20 {
        now += Duration::from_millis(50);
        place_unless_failing(&mut book, false, now);
    }
    assert!(!book.failed(key(0), now));
    assert_eq!(place_unless_failing(&mut book, false, now), key(0));
    // One at which all that runs breaks is.
    let failed = (0..8).filter(|_| book.failed(key(0), now));
    assert_eq!(failed.count(), 1);
    assert_eq!(place_unless_failing(&mut book, true, now), key(1));
}

#[test]
fn where_all_workers_fail_requests_are_still_served() {
    let mut book = Book::default();
    for worker in 0..2 {
        book.failed(key(worker), SETTLED);
    }
    assert_eq!(place_unless_failing(&mut book, false, SETTLED), key(0));
}

#[test]
fn items_are_granted_no_slot_of_a_failing_worker() {
    let mut book = Book::default();
    book.take(gateway(1), waiting(9, 1_000), Duration::ZERO);
    book.take(
        gateway(1),
        Report {
            number: 2,
            ..waiting(9, 1_000)
        },
        SETTLED,
    );
    book.failed(key(0), SETTLED);
    let grants = book.grant(&workers(2), 0.0, SETTLED);
    assert_eq!(grants.len() as u32, SLOTS);
    assert!(grants.iter().all(|grant| grant.worker == key(1)));
}

#[test]
fn a_gateway_gives_up_its_own_item_first() {
    let mut book = Book::default();
    book.take(gateway(1), report(1, 0, &[(0, held(0, 3))]), SETTLED);
    book.take(gateway(2), report(1, 0, &[(0, held(0, 1))]), SETTLED);
    let placed = place(&mut book, 2, &[0]);
    assert_eq!(placed.expect("a worker").steps_aside, Some(gateway(2)));
}

#[test]
fn an_order_that_was_lost_is_given_again() {
    let mut book = Book::default();
    book.take(gateway(1), report(1, 0, &[(0, held(3, 1))]), SETTLED);
    let mut now = SETTLED;
    let first = place_at(&mut book, 2, &[0], now);
    assert_eq!(first.expect("a worker").steps_aside, Some(gateway(1)));
    now += Duration::from_millis(300);
    book.take(gateway(2), report(1, 1, &[(0, held(1, 0))]), now);
    let second = place_at(&mut book, 2, &[0], now);
    assert_eq!(second.expect("a worker").steps_aside, Some(gateway(1)));
}

/// Found by a test with real processes: a new owner had granted items slots that another gateway's
/// items held, and a stream waited behind the surplus until an item ended.
#[test]
fn items_leave_a_worker_that_holds_more_than_its_slots() {
    let mut book = Book::default();
    book.take(gateway(1), report(1, 0, &[(0, held(1, 3))]), SETTLED);
    assert_eq!(book.relieve(&workers(1), SETTLED), []);
    // Two gateways whose requests and items did not know of each other.
    book.take(gateway(2), report(1, 0, &[(0, held(1, 1))]), SETTLED);
    let orders = book.relieve(&workers(1), SETTLED);
    assert_eq!(orders, [(gateway(1), key(0)), (gateway(1), key(0))]);
    assert_eq!(book.relieve(&workers(1), SETTLED), [], "told twice");
    book.take(gateway(1), report(2, 0, &[(0, held(1, 1))]), SETTLED);
    assert_eq!(book.relieve(&workers(1), SETTLED), [], "it fits");
}

#[test]
fn an_order_of_relief_that_was_lost_is_given_again() {
    let mut book = Book::default();
    book.take(gateway(1), report(1, 0, &[(0, held(4, 1))]), SETTLED);
    assert_eq!(book.relieve(&workers(1), SETTLED), [(gateway(1), key(0))]);
    let later = SETTLED + Duration::from_millis(300);
    assert_eq!(book.relieve(&workers(1), later), [(gateway(1), key(0))]);
}

#[test]
fn requests_that_wait_without_an_item_at_their_worker_move_nobody() {
    let mut book = Book::default();
    book.take(
        gateway(1),
        report(1, 0, &[(0, held(7, 0)), (1, held(0, 4))]),
        SETTLED,
    );
    assert_eq!(book.relieve(&workers(2), SETTLED), []);
}

#[test]
fn an_assignment_counts_at_once_and_only_until_it_is_reported_or_lost() {
    let mut book = Book::default();
    book.take(gateway(1), report(1, 0, &[]), SETTLED);
    let placed = place(&mut book, 1, &[0]);
    let number = placed.expect("a worker").number;
    assert_eq!(book.load(key(0)).taken(), 1);
    book.take(gateway(1), report(2, number, &[(0, held(1, 0))]), SETTLED);
    assert_eq!(book.load(key(0)).taken(), 1, "counted twice");
    let lost = place(&mut book, 1, &[0]);
    assert!(lost.is_ok());
    assert_eq!(book.load(key(0)).taken(), 2);
    book.expire(SETTLED + Duration::from_millis(400));
    assert_eq!(book.load(key(0)).taken(), 1, "it was lost on the way");
}

#[test]
fn a_report_that_comes_late_or_twice_changes_nothing() {
    let mut book = Book::default();
    book.take(gateway(1), report(2, 0, &[(0, held(1, 0))]), SETTLED);
    book.take(gateway(1), report(1, 0, &[(0, held(4, 0))]), SETTLED);
    book.take(gateway(1), report(2, 0, &[(0, held(1, 0))]), SETTLED);
    assert_eq!(book.load(key(0)).taken(), 1);
}

#[test]
fn a_gateway_that_started_again_is_believed_anew() {
    let mut book = Book::default();
    book.take(gateway(1), report(900, 0, &[(0, held(4, 0))]), SETTLED);
    let after = Report {
        life: 2,
        ..report(1, 0, &[])
    };
    book.take(gateway(1), after, SETTLED);
    assert_eq!(book.load(key(0)), Load::default());
}

#[test]
fn what_a_silent_gateway_held_counts_no_more() {
    let mut book = Book::default();
    book.take(gateway(1), report(1, 0, &[(0, held(4, 0))]), SETTLED);
    let later = SETTLED + Duration::from_secs(2);
    assert!(book.is_abandoned(later));
    book.expire(later);
    assert_eq!(book.load(key(0)), Load::default());
}

#[test]
fn grants_go_to_the_most_urgent_and_leave_the_headroom() {
    let mut book = Book::default();
    book.take(gateway(1), waiting(5, 9_000), Duration::ZERO);
    book.take(gateway(2), waiting(2, 1_000), Duration::ZERO);
    assert!(
        book.grant(&workers(2), 0.25, Duration::ZERO).is_empty(),
        "nobody else has had the time to report"
    );
    let grants = book.grant(&workers(2), 0.25, SETTLED);
    // A quarter of eight slots stays free.
    assert_eq!(grants.len(), 6);
    let to: Vec<SocketAddr> = grants.iter().map(|grant| grant.to).collect();
    assert_eq!(to[..2], [gateway(2), gateway(2)]);
    assert_eq!(to[2..], [gateway(1); 4]);
    let at = |number| grants.iter().filter(|it| it.worker == key(number)).count();
    assert_eq!([at(0), at(1)], [3, 3], "spread over the workers");
    assert!(book.grant(&workers(2), 0.25, SETTLED).is_empty());
}

/// Due after 18 s, given up after 58 s, 5 s of work.
#[test_case(0, false; "in time")]
#[test_case(14, false; "perhaps in time")]
#[test_case(16, true; "late in any case")]
#[test_case(30, true; "late")]
#[test_case(40, false; "late for long")]
fn items_that_will_be_late_go_behind_the_others_for_a_while(now: u64, is_late: bool) {
    let times = ItemTimes {
        due: Duration::from_secs(18),
        given_up: Duration::from_secs(58),
        needs: Duration::from_secs(5),
    };
    assert_eq!(times.rank(Duration::from_secs(now)).is_late, is_late);
}

#[test]
fn an_item_that_can_be_in_time_goes_before_one_that_cannot() {
    let late = Rank {
        is_late: true,
        due_in_ms: -4_000,
    };
    assert!(rank(9_000) < late);
    let mut book = Book::default();
    let mut of_late = waiting(1, 0);
    of_late.waiting.first = late;
    book.take(gateway(1), of_late, SETTLED);
    book.take(gateway(2), waiting(1, 9_000), SETTLED);
    let grants = book.grant(&workers(1), 0.0, SETTLED + SETTLED / 2);
    assert_eq!(grants[0].to, gateway(2));
}

#[test]
fn no_item_is_granted_where_a_worker_tells_of_more_than_is_known_or_is_silent() {
    let mut book = Book::default();
    book.take(gateway(1), waiting(9, 0), Duration::ZERO);
    let mut cell = workers(2);
    cell[0].told = Some(SLOTS);
    cell[1].is_sound = false;
    assert!(book.grant(&cell, 0.0, SETTLED).is_empty());
}

#[test_case(1, 1)]
#[test_case(16, 1)]
#[test_case(17, 2)]
#[test_case(89, 8)]
#[test_case(710, 64)]
fn cells_are_small(count: usize, cells: u32) {
    assert_eq!(cell_count(count), cells);
}

#[test]
fn only_the_cells_of_a_gateway_that_goes_get_another_owner() {
    let all: Vec<SocketAddr> = (0..9).map(gateway).collect();
    let cells = (0..64).map(|index| Cell {
        service: "engine".to_owned(),
        count: 64,
        index,
    });
    let mut moved = 0;
    for cell in cells {
        let before = owner(&cell, all.iter().copied()).expect("an owner");
        let left = all.iter().copied().filter(|it| *it != gateway(4));
        let after = owner(&cell, left).expect("an owner");
        if before == gateway(4) {
            moved += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!((1..32).contains(&moved), "{moved} of 64 cells moved");
}

/// A gateway as it really is, behind a network that loses, doubles and delays.
#[derive(Default)]
struct Real {
    number: u64,
    seen: u64,
    held: [Held; 2],
}

impl Real {
    fn report(&mut self) -> Report {
        self.number += 1;
        let at = [(0, self.held[0]), (1, self.held[1])];
        let some: Vec<(u64, Held)> = at
            .into_iter()
            .filter(|(_, it)| *it != Held::default())
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
        let mut book = Book::default();
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
                    let placed = place_at(&mut book, who, &[0, 0], now);
                    let placed = placed.expect("a worker");
                    if arrives {
                        one.seen = placed.number;
                        one.held[placed.worker.0 as usize].online += 1;
                    }
                }
                4 => {
                    let sent = one.report();
                    if arrives {
                        book.take(gateway_of, sent.clone(), now);
                        book.take(gateway_of, sent, now);
                        obey(&mut real, book.relieve(&workers(2), now));
                    }
                }
                _ => {
                    let mut wants = one.report();
                    wants.waiting = Waiting { items: 2, first: rank(0) };
                    book.take(gateway_of, wants, now);
                    book.expire(now);
                    let free: u32 = (0..2).map(|it| SLOTS.saturating_sub(book.load(key(it)).taken())).sum();
                    let grants = book.grant(&workers(2), 0.0, now);
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
            book.take(gateway(who), one.report(), now);
        }
        book.expire(now);
        for at in 0..2 {
            let online: u32 = real.iter().map(|one| one.held[at].online).sum();
            let batch: u32 = real.iter().map(|one| one.held[at].batch).sum();
            prop_assert_eq!(book.load(key(at as u64)), Load { online, batch });
        }
        obey(&mut real, book.relieve(&workers(2), now));
        for at in 0..2 {
            let online: u32 = real.iter().map(|one| one.held[at].online).sum();
            let batch: u32 = real.iter().map(|one| one.held[at].batch).sum();
            prop_assert!(batch == 0 || online + batch <= SLOTS, "{online} and {batch}");
        }
    }
}
