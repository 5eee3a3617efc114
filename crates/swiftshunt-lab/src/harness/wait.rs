//! Waiting for conditions.

use std::time::{Duration, Instant};

/// Longest wait for a condition that must come true; far above what any of them takes.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` gives a value; panics with `what` if it never does.
pub async fn eventually<T, F>(what: &str, condition: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    eventually_within(DEFAULT_TIMEOUT, what, condition).await
}

/// The same with another timeout.
pub async fn eventually_within<T, F>(
    timeout: Duration,
    what: &str,
    mut condition: impl FnMut() -> F,
) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + timeout;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < deadline, "never came true: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
