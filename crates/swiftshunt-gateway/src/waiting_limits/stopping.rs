//! The planned stop of a gateway that counts: it admits nothing more, waits until what it admitted is recorded,
//! and says in the register that it has stopped.

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use swiftshunt_journal::LogError;
use swiftshunt_scheduler::waiting_tokens::Register;

use super::WaitingLimits;
use crate::fleet_state::lock;
use crate::messages::waiting::Allowance;

/// Time for which what was admitted is waited for: most appends take a few tens of milliseconds, and whoever takes
/// over without word waits for it itself.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two looks.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl WaitingLimits {
    /// Has other gateways count in place of this one, which stops.
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

    /// Whether this gateway stops.
    pub(super) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    async fn stop_counting(&self, allowance: &Allowance) {
        let stopped = tokio::time::timeout(STOP_TIMEOUT, self.write_stopped_register(allowance));
        let is_said = match stopped.await {
            Ok(Ok(is_said)) => is_said,
            Ok(Err(error)) => {
                log::info!(route = allowance.route.as_str(); "a register of a limit is not kept: {error}");
                false
            }
            Err(_) => false,
        };
        lock(&self.counters).remove(allowance);
        log::info!(route = allowance.route.as_str(), is_said;
            "this gateway counts a route's waiting tokens no more, since it stops");
    }

    /// Whether the register says that this gateway has stopped: not if another one counts, or this one does not
    /// know what stands.
    async fn write_stopped_register(&self, allowance: &Allowance) -> Result<bool, LogError> {
        while self.is_counter(allowance) {
            let Some((limit, proposal)) = self.stopped(allowance) else {
                return Ok(false);
            };
            if let Some(proposal) = proposal {
                let reading = self.registers.propose(allowance, &proposal).await?;
                self.apply_reading(allowance, reading, limit);
            }
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        let register = self.registers.cached(allowance);
        Ok(register.is_some_and(|register| register.counter == self.own_life))
    }

    /// The limit and, once what was admitted is recorded, the register that says that this gateway has stopped;
    /// none if it cannot say so.
    fn stopped(&self, allowance: &Allowance) -> Option<(u64, Option<Register>)> {
        let counters = lock(&self.counters);
        let counter = counters.get(allowance)?;
        let now = self.clock.now();
        counter
            .has_no_shares_elsewhere()
            .then(|| (counter.limit(), counter.stopped_register(now)))
    }
}
