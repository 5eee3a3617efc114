//! How many long reads are under way.

use std::time::Duration;

use swiftshunt_journal::BulkWindow;

const SOON: Option<Duration> = Some(Duration::from_millis(40));
const LATE: Option<Duration> = Some(Duration::from_secs(2));

/// Reads that may begin at once.
fn room(window: &mut BulkWindow) -> u32 {
    let mut begun = 0;
    while window.try_begin() {
        begun += 1;
    }
    begun
}

/// A window after reads that took this long, one after the other.
fn after(took: Option<Duration>, reads: u32) -> BulkWindow {
    let mut window = BulkWindow::default();
    for _ in 0..reads {
        assert!(window.try_begin());
        window.record_end(took);
    }
    window
}

#[test]
fn more_reads_begin_while_answers_come_soon() {
    let at_first = room(&mut BulkWindow::default());
    assert!(room(&mut after(SOON, 20)) > at_first);
}

#[test]
fn one_read_is_left_while_answers_come_late_or_never() {
    assert_eq!(room(&mut after(LATE, 20)), 1);
    assert_eq!(room(&mut after(None, 20)), 1);
}

#[test]
fn there_is_a_bound_also_where_answers_come_soon() {
    assert_eq!(room(&mut after(SOON, 40)), room(&mut after(SOON, 4_000)));
}

#[test]
fn a_read_that_ended_makes_room() {
    let mut window = after(LATE, 20);
    assert!(window.try_begin());
    assert!(!window.try_begin());
    window.record_end(LATE);
    assert!(window.try_begin());
}
