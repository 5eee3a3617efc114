//! Polling until a condition holds.

use std::time::{Duration, Instant};

/// Time-out of [`eventually`], far above the time that any condition of the tests needs.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it returns a value. Panics with `description` if it returns none within 60 s.
pub async fn eventually<T, F>(description: &str, condition: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    eventually_within(DEFAULT_TIMEOUT, description, condition).await
}

/// Like [`eventually`], with another time-out. A running call of `condition` is not interrupted by the time-out.
pub async fn eventually_within<T, F>(
    timeout: Duration,
    description: &str,
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
        assert!(
            Instant::now() < deadline,
            "condition did not hold within {timeout:?}: {description}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
