//! Calls whose results several tasks share.

use std::future::Future;
use std::time::Duration;

use tokio::sync::Mutex;

use crate::clock::Clock;

/// A call that is made for all tasks that wait for its result. A task gets the result of a call that began after it asked,
/// so that it holds for what had happened before; at most one call is open at a time.
pub(crate) struct SharedCall<T> {
    clock: Clock,
    /// When the last call that returned began, and its result.
    last: Mutex<Option<(Duration, T)>>,
}

impl<T: Clone> SharedCall<T> {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            last: Mutex::default(),
        }
    }

    /// Returns the result of a call that began after this function was called: of `call`, or of one that another task
    /// made.
    pub(crate) async fn result<F: Future<Output = T>>(&self, call: impl FnOnce() -> F) -> T {
        let asked_at = self.clock.now();
        let mut last = self.last.lock().await;
        if let Some((began_at, result)) = last.as_ref()
            && *began_at >= asked_at
        {
            return result.clone();
        }
        let began_at = self.clock.now();
        let result = call().await;
        *last = Some((began_at, result.clone()));
        result
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;
    use std::sync::atomic::{AtomicUsize, Ordering};

    use super::*;

    #[tokio::test]
    async fn a_task_gets_no_result_of_a_call_that_began_before_it_asked() {
        let shared = Arc::new(SharedCall::new(Clock::start()));
        let calls = Arc::new(AtomicUsize::new(0));
        let ask = || {
            let (shared, calls) = (Arc::clone(&shared), Arc::clone(&calls));
            tokio::spawn(async move {
                let call = || async {
                    let number = calls.fetch_add(1, Ordering::Relaxed);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    number
                };
                shared.result(call).await
            })
        };
        let first = ask();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let later = [ask(), ask(), ask()];
        assert_eq!(first.await.expect("the task panicked"), 0);
        for task in later {
            assert_eq!(task.await.expect("the task panicked"), 1);
        }
        assert_eq!(calls.load(Ordering::Relaxed), 2);
    }
}
