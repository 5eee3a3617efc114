//! How many long reads are under way at a time. Pure: the times that they took are given.

use std::time::Duration;

/// Reads under way at first, at least and at most.
const FIRST: f64 = 2.0;
const FEWEST: f64 = 1.0;
const MOST: f64 = 6.0;
/// Time of a read up to which there may be more of them: what is urgent waits as long behind one at most.
const SHORT: Duration = Duration::from_millis(250);
/// Time of a read from which there are to be fewer.
const LONG: Duration = Duration::from_millis(500);
/// Factor by which there are fewer after a read that took long or failed.
const BACK_OFF: f64 = 0.5;

/// The reads under way, and how many there may be: more while their answers come soon, half as many after one that
/// came late or never. What is in flight towards a thin link stays near what it delivers within that time.
#[derive(Debug)]
pub struct BulkWindow {
    limit: f64,
    under_way: u32,
}

impl Default for BulkWindow {
    fn default() -> Self {
        Self {
            limit: FIRST,
            under_way: 0,
        }
    }
}

impl BulkWindow {
    /// Whether a read may begin; if so, it is under way from now on.
    pub fn try_begin(&mut self) -> bool {
        let may_begin = f64::from(self.under_way) + 1.0 <= self.limit;
        self.under_way += u32::from(may_begin);
        may_begin
    }

    /// A read has ended, with how long it took, or without an answer.
    pub fn record_end(&mut self, took: Option<Duration>) {
        self.under_way = self.under_way.saturating_sub(1);
        match took {
            Some(took) if took <= SHORT => self.limit = (self.limit + 1.0 / self.limit).min(MOST),
            Some(took) if took < LONG => {}
            Some(_) | None => self.limit = (self.limit * BACK_OFF).max(FEWEST),
        }
    }
}
