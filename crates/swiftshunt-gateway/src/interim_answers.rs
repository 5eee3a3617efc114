//! Limit of interim answers (status 1xx) that a worker may send before its answer. The HTTP library skips them, however
//! many there are.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use hyper::Request;
use tokio::sync::Notify;

/// Most interim answers to one request. Sound workers send none, or one for the body and a few hints.
const MAX_INTERIM_ANSWERS: u32 = 16;

/// Counts the interim answers to one request.
#[derive(Default)]
pub(crate) struct InterimAnswers {
    count: AtomicU32,
    exceeded: Notify,
}

impl InterimAnswers {
    /// Counts the interim answers to a request that is about to be sent.
    pub(crate) fn count_for<B>(request: &mut Request<B>) -> Arc<Self> {
        let counter = Arc::new(Self::default());
        let counted = Arc::clone(&counter);
        hyper::ext::on_informational(request, move |_| counted.record());
        counter
    }

    fn record(&self) {
        if self.count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_ANSWERS {
            self.exceeded.notify_one();
        }
    }

    /// Waits until there are more than [`MAX_INTERIM_ANSWERS`].
    pub(crate) async fn exceed_limit(&self) {
        self.exceeded.notified().await;
    }
}
