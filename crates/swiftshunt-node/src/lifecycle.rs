//! Lifecycle stages of a node, and the count of requests that a planned stop waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;

/// Stage of a node's lifecycle, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// The node has no configuration as new as that of its peers, and accepts no requests.
    Starting,
    /// The node accepts requests.
    Serving,
    /// The node finishes requests in progress and accepts no new ones.
    Draining,
}

/// The node's stage and the number of its requests in progress.
pub(crate) struct Lifecycle {
    stage: watch::Sender<Stage>,
    in_progress: Arc<AtomicU64>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self {
            stage: watch::Sender::new(Stage::Starting),
            in_progress: Arc::default(),
        }
    }
}

/// Counts one request as in progress until dropped.
pub(crate) struct InProgress(Arc<AtomicU64>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Lifecycle {
    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    pub(crate) fn start_serving(&self) {
        self.advance_to(Stage::Serving);
    }

    pub(crate) fn start_draining(&self) {
        self.advance_to(Stage::Draining);
    }

    /// Moves to a later stage; has no effect if the node is in that stage or a later one.
    fn advance_to(&self, next: Stage) {
        self.stage.send_if_modified(|stage| {
            let advances = next > *stage;
            if advances {
                *stage = next;
            }
            advances
        });
    }

    /// Waits until the node has reached the stage `wanted` or a later one.
    pub(crate) async fn wait_for(&self, wanted: Stage) {
        let mut receiver = self.stage.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        drop(receiver.wait_for(|stage| *stage >= wanted).await);
    }

    /// Counts a request as in progress, in any stage.
    pub(crate) fn start_request(&self) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        InProgress(Arc::clone(&self.in_progress))
    }

    pub(crate) fn in_progress(&self) -> u64 {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Waits until no request is in progress.
    pub(crate) async fn wait_until_idle(&self) {
        while self.in_progress() > 0 {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }
}
