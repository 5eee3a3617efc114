//! A node's way from start to stop, and the requests that a planned stop waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;

/// Where a node is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Has no configuration that is as new as its peers'; takes no traffic.
    Starting,
    /// Serves.
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
}

/// The node's stage and its requests in progress.
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

    /// Stages only follow each other.
    fn advance_to(&self, next: Stage) {
        self.stage.send_if_modified(|stage| {
            let advances = next > *stage;
            if advances {
                *stage = next;
            }
            advances
        });
    }

    pub(crate) async fn wait_for(&self, wanted: Stage) {
        let mut receiver = self.stage.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        drop(receiver.wait_for(|stage| *stage >= wanted).await);
    }

    /// Counts a request in, whatever the stage.
    pub(crate) fn enter(&self) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        InProgress(Arc::clone(&self.in_progress))
    }

    pub(crate) fn in_progress(&self) -> u64 {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Waits until nothing is in progress.
    pub(crate) async fn wait_until_idle(&self) {
        while self.in_progress() > 0 {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }
}
