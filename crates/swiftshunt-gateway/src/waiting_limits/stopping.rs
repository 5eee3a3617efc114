//! The planned stop of a counter: it admits no more jobs, waits until the admitted ones are recorded, and marks the
//! register as stopped.

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use swiftshunt_journal::LogError;
use swiftshunt_scheduler::waiting_tokens::Register;

use super::WaitingLimits;
use crate::fleet_state::lock;
use crate::messages::waiting::Allowance;

/// Time to wait for the records of admitted jobs. Most appends take a few tens of milliseconds, and a gateway that takes
/// over without a stopped register waits for them itself.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two checks whether all admitted jobs are recorded.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl WaitingLimits {
    /// Stops counting for all limits, so that other gateways can take over.
    pub(crate) async fn stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
        let counted: Vec<Allowance> = {
            let mut counters = lock(&self.counters);
            counters.values_mut().for_each(|counter| counter.stop());
            counters.keys().cloned().collect()
        };
        join_all(
            counted
                .iter()
                .map(|allowance| self.stop_counting(allowance)),
        )
        .await;
    }

    /// Returns whether this gateway is stopping.
    pub(super) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    async fn stop_counting(&self, allowance: &Allowance) {
        let stopped = tokio::time::timeout(STOP_TIMEOUT, self.write_stopped_register(allowance));
        let is_marked = match stopped.await {
            Ok(Ok(is_marked)) => is_marked,
            Ok(Err(error)) => {
                log::info!(route = allowance.route.as_str();
                    "cannot mark the register of a limit as stopped: {error}");
                false
            }
            Err(_) => false,
        };
        lock(&self.counters).remove(allowance);
        log::info!(route = allowance.route.as_str(), is_said = is_marked;
            "this gateway is stopping and no longer counts a route's waiting tokens");
    }

    /// Marks the register as stopped. Returns `false` if another gateway is the counter, or this one does not know the
    /// outstanding tokens or all assigned shares.
    async fn write_stopped_register(&self, allowance: &Allowance) -> Result<bool, LogError> {
        while self.is_counter(allowance) {
            let Some((limit, proposal)) = self.stop_proposal(allowance) else {
                return Ok(false);
            };
            if let Some(proposal) = proposal {
                let reading = self.registers.propose(allowance, &proposal).await?;
                self.apply_reading(allowance, reading, limit);
            }
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        let register = self.registers.cached(allowance);
        Ok(register.is_some_and(|register| register.counter == self.own_member_name))
    }

    /// Returns the limit and, once all admitted jobs are recorded, the register that marks this gateway as stopped.
    /// Returns `None` if this gateway does not know the outstanding tokens or other gateways have shares.
    fn stop_proposal(&self, allowance: &Allowance) -> Option<(u64, Option<Register>)> {
        let counters = lock(&self.counters);
        let counter = counters.get(allowance)?;
        let now = self.clock.now();
        counter
            .has_no_shares_elsewhere()
            .then(|| (counter.limit(), counter.stopped_register(now)))
    }
}
