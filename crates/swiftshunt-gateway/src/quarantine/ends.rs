//! Whether a worker has ended at which a request broke off: its process may have ended, or only a connection
//! was lost.
//!
//! A system refuses connections to the port of a process that has ended. So one connection is tried for each
//! worker, whatever number of requests broke off there; a worker behind a dead link gives no answer, and then
//! nothing is known.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_scheduler::quarantine::Fingerprint;
use swiftshunt_scheduler::selection::Chosen;
use tokio::net::TcpStream;

use crate::beliefs::{Beliefs, lock};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::own_failures::OwnFailures;

/// Time within which a connection is refused or taken: a few times the way to and fro within a region.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a worker that was found to have ended is not looked at again: others of its requests break
/// off a moment later.
const ENDED_FOR: Duration = Duration::from_secs(2);

/// What is known of a worker at which requests broke off.
enum Check {
    /// It is being looked at, for these requests.
    UnderWay(Vec<Fingerprint>),
    /// It has ended.
    Ended(Duration),
}

/// Looks at workers at which requests broke off.
pub(crate) struct WorkerEnds {
    beliefs: Arc<Beliefs>,
    metrics: Arc<Metrics>,
    clock: Clock,
    checks: Mutex<HashMap<String, Check>>,
    own_failures: Mutex<OwnFailures>,
}

impl WorkerEnds {
    pub(crate) fn new(beliefs: Arc<Beliefs>, metrics: Arc<Metrics>, clock: Clock) -> Self {
        Self {
            beliefs,
            metrics,
            clock,
            checks: Mutex::default(),
            own_failures: Mutex::default(),
        }
    }

    /// A request broke off at a worker.
    pub(crate) fn broke_off(self: &Arc<Self>, fingerprint: Fingerprint, chosen: &Chosen) {
        if self.is_own_fault(chosen) {
            return;
        }
        let now = self.clock.now();
        let mut checks = lock(&self.checks);
        checks.retain(|_, check| match check {
            Check::UnderWay(_) => true,
            Check::Ended(at) => now < *at + ENDED_FOR,
        });
        match checks.get_mut(&chosen.incarnation) {
            Some(Check::UnderWay(requests)) => requests.push(fingerprint),
            Some(Check::Ended(_)) => {
                drop(checks);
                self.ended(chosen, &[fingerprint]);
            }
            None => {
                let check = Check::UnderWay(vec![fingerprint]);
                checks.insert(chosen.incarnation.clone(), check);
                tokio::spawn(Arc::clone(self).check(chosen.clone()));
            }
        }
    }

    /// Whether requests break off at so many workers together that the cause is likely to be here.
    fn is_own_fault(&self, chosen: &Chosen) -> bool {
        let now = self.clock.now();
        let workers = self.beliefs.selector().ready_count(&chosen.service);
        let mut failures = lock(&self.own_failures);
        failures.add(&chosen.incarnation, now);
        failures.are_own(workers)
    }

    async fn check(self: Arc<Self>, chosen: Chosen) {
        let has_ended = refuses_connections(chosen.address).await;
        let now = self.clock.now();
        let checked = {
            let mut checks = lock(&self.checks);
            let checked = checks.remove(&chosen.incarnation);
            if has_ended {
                checks.insert(chosen.incarnation.clone(), Check::Ended(now));
            }
            checked
        };
        if let Some(Check::UnderWay(requests)) = checked.filter(|_| has_ended) {
            self.metrics.workers_ended.inc();
            self.ended(&chosen, &requests);
        }
    }

    /// A worker ended while it ran requests.
    fn ended(&self, chosen: &Chosen, requests: &[Fingerprint]) {
        log::info!(worker = chosen.incarnation.as_str(), address = chosen.address.to_string().as_str(),
            fingerprints:? = requests; "a worker ended while it ran requests");
    }
}

/// Whether nobody listens at an address whose system answers.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
