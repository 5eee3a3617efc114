//! What a reader has read of a topic, for gateways that wait for changes.

use std::time::Duration;

use swiftshunt_journal::{KeyedRecord, TailPart, TailWindow};
use tokio::sync::watch;

use crate::clock::Clock;

/// A tail as it was read here.
#[derive(Debug, Default)]
pub(super) struct PublishedTail {
    window: watch::Sender<TailWindow>,
}

impl PublishedTail {
    /// See [`TailWindow::record_read`].
    pub(super) fn record_read(
        &self,
        from: u64,
        records: Vec<KeyedRecord>,
        next: u64,
        sure_until: Duration,
        returned_at: Option<Duration>,
    ) {
        self.window.send_if_modified(|window| {
            window.record_read(from, records, next, sure_until, returned_at)
        });
    }

    /// See [`TailWindow::invalidate`].
    pub(super) fn not_sure(&self) {
        self.window.send_if_modified(TailWindow::invalidate);
    }

    /// What stands from an offset on, as soon as there is something and after `wait` at the latest;
    /// none if this gateway does not know.
    pub(super) async fn wait_for_records(
        &self,
        from: u64,
        wait: Duration,
        clock: Clock,
    ) -> Option<TailPart> {
        let mut changes = self.window.subscribe();
        let decided = changes.wait_for(|window| window.can_answer(from, clock.now()));
        // Without a change the answer is that there is none.
        drop(tokio::time::timeout(wait, decided).await);
        self.window.borrow().part(from, clock.now())
    }
}
