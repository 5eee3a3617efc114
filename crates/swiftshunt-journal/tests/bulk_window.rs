//! The limit of concurrent bulk reads.

use std::time::Duration;

use swiftshunt_journal::BulkWindow;

const SOON: Option<Duration> = Some(Duration::from_millis(40));
const LATE: Option<Duration> = Some(Duration::from_secs(2));

/// Starts as many reads as the window allows, and returns their number.
fn start_all(window: &mut BulkWindow) -> u32 {
    let mut started = 0;
    while window.try_begin() {
        started += 1;
    }
    started
}

/// Returns a window after consecutive reads of this duration; `None` stands for reads that failed.
fn window_after(duration: Option<Duration>, reads: u32) -> BulkWindow {
    let mut window = BulkWindow::default();
    for _ in 0..reads {
        assert!(window.try_begin());
        window.record_end(duration);
    }
    window
}

#[test]
fn short_reads_raise_the_limit() {
    let at_first = start_all(&mut BulkWindow::default());
    assert!(start_all(&mut window_after(SOON, 20)) > at_first);
}

#[test]
fn long_or_failed_reads_lower_the_limit_to_one() {
    assert_eq!(start_all(&mut window_after(LATE, 20)), 1);
    assert_eq!(start_all(&mut window_after(None, 20)), 1);
}

#[test]
fn the_limit_stays_bounded_after_many_short_reads() {
    assert_eq!(
        start_all(&mut window_after(SOON, 40)),
        start_all(&mut window_after(SOON, 4_000))
    );
}

#[test]
fn the_end_of_a_read_allows_another_one() {
    let mut window = window_after(LATE, 20);
    assert!(window.try_begin());
    assert!(!window.try_begin());
    window.record_end(LATE);
    assert!(window.try_begin());
}
