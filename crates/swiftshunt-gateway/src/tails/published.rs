//! Tail of a topic as a reader publishes it to gateways that wait for changes.

use std::time::Duration;

use swiftshunt_journal::{KeyedRecord, TailPart, TailWindow};
use tokio::sync::watch;

use crate::clock::Clock;

/// The tail of a topic as this gateway has read it.
#[derive(Debug, Default)]
pub(super) struct PublishedTail {
    window: watch::Sender<TailWindow>,
}

impl PublishedTail {
    /// Publishes records that were read; see [`TailWindow::record_read`].
    pub(super) fn record_read(
        &self,
        from: u64,
        records: Vec<KeyedRecord>,
        next: u64,
        valid_until: Duration,
        returned_at: Option<Duration>,
    ) {
        self.window.send_if_modified(|window| {
            window.record_read(from, records, next, valid_until, returned_at)
        });
    }

    /// Stops answering until the next read is recorded; see [`TailWindow::invalidate`].
    pub(super) fn invalidate(&self) {
        self.window.send_if_modified(TailWindow::invalidate);
    }

    /// Returns the records from an offset on as soon as there are some, or an empty part after `wait`. Returns `None`
    /// if this gateway cannot answer for that offset.
    pub(super) async fn wait_for_records(
        &self,
        from: u64,
        wait: Duration,
        clock: Clock,
    ) -> Option<TailPart> {
        let mut changes = self.window.subscribe();
        let decided = changes.wait_for(|window| window.can_answer(from, clock.now()));
        // After a time-out, the part below is the answer, possibly without records.
        drop(tokio::time::timeout(wait, decided).await);
        self.window.borrow().part(from, clock.now())
    }
}
