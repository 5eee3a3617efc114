//! Whether a worker has ended at which a request broke off: its process may have ended, or only a connection
//! was lost.
//!
//! A system refuses connections to the port of a process that has ended. So one connection is tried for each
//! worker, whatever number of requests broke off there; a worker behind a dead link gives no answer, and then
//! nothing is known. A worker that is back before it is looked at takes the connection: it has ended all the
//! same if the directory soon lists another life at its address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_scheduler::quarantine::{Fingerprint, WorkerEnd};
use swiftshunt_scheduler::selection::Chosen;
use swiftshunt_scheduler::slots::WorkerKey;
use tokio::net::TcpStream;

use super::{Quarantine, Subject};
use crate::beliefs::lock;
use crate::clock::Clock;

/// Time within which a connection is refused or taken: a few times the way to and fro within a region.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a worker that was found to have ended is not looked at again: others of its requests break
/// off a moment later.
const ENDED_FOR: Duration = Duration::from_secs(2);
/// Time for which it is remembered that requests broke off at a worker that takes connections: a worker that
/// has started again lists itself at once, and that is read within two seconds.
const DOUBTED_FOR: Duration = Duration::from_secs(5);
/// Workers of which that is remembered at most.
const MOST_DOUBTED: usize = 256;

/// A worker that takes connections, though requests broke off there.
pub(super) struct Doubted {
    chosen: Chosen,
    /// What has happened if it has ended.
    ends: Vec<(Fingerprint, WorkerEnd)>,
    since: Duration,
}

/// What is known of a worker at which requests broke off.
pub(super) enum Check {
    /// It is being looked at; this has happened if it has ended.
    UnderWay(Vec<(Fingerprint, WorkerEnd)>),
    /// It has ended.
    Ended(Duration),
}

impl Quarantine {
    /// A request broke off at a worker to which it was sent `ago`.
    pub(crate) fn broke_off(self: &Arc<Self>, subject: &Subject, chosen: &Chosen, ago: Duration) {
        if self.is_own_fault(chosen) {
            return;
        }
        let now = self.clock.now();
        let ended_unix_ms = Clock::unix_ms();
        let end = WorkerEnd {
            worker: WorkerKey::of(&chosen.incarnation),
            sent_unix_ms: ended_unix_ms.saturating_sub(ago.as_millis() as u64),
            ended_unix_ms,
        };
        let end = (subject.fingerprint(), end);
        let mut checks = lock(&self.checks);
        match checks.get_mut(&chosen.incarnation) {
            Some(Check::UnderWay(ends)) => ends.push(end),
            Some(Check::Ended(at)) if now < *at + ENDED_FOR => {
                drop(checks);
                self.ended(chosen, &[end]);
            }
            Some(Check::Ended(_)) | None => {
                let check = Check::UnderWay(vec![end]);
                checks.insert(chosen.incarnation.clone(), check);
                tokio::spawn(Arc::clone(self).check(chosen.clone()));
            }
        }
    }

    /// Whether the word is awaited on a worker at which a request broke off.
    pub(super) fn is_being_checked(&self, fingerprint: &Fingerprint) -> bool {
        lock(&self.checks).values().any(|check| match check {
            Check::UnderWay(ends) => ends.iter().any(|(request, _)| request == fingerprint),
            Check::Ended(_) => false,
        })
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
            checks.retain(|_, check| match check {
                Check::UnderWay(_) => true,
                Check::Ended(at) => now < *at + ENDED_FOR,
            });
            let checked = checks.remove(&chosen.incarnation);
            if has_ended {
                checks.insert(chosen.incarnation.clone(), Check::Ended(now));
            }
            checked
        };
        if let Some(Check::UnderWay(ends)) = checked {
            if has_ended {
                self.metrics.workers_ended.inc();
                self.ended(&chosen, &ends);
            } else {
                self.doubt(chosen, ends);
            }
        }
        self.checked.notify_waiters();
    }

    fn doubt(&self, chosen: Chosen, ends: Vec<(Fingerprint, WorkerEnd)>) {
        let since = self.clock.now();
        let mut doubted = lock(&self.doubted);
        doubted.retain(|worker| since < worker.since + DOUBTED_FOR);
        if doubted.len() < MOST_DOUBTED {
            doubted.push(Doubted {
                chosen,
                ends,
                since,
            });
        }
    }

    /// The directory lists a worker that was not known, or not so. Another one that had its address has ended.
    pub(crate) fn listed(&self, incarnation: &str, address: SocketAddr) {
        let now = self.clock.now();
        let ended: Vec<Doubted> = {
            let mut doubted = lock(&self.doubted);
            let is_ended = |worker: &mut Doubted| {
                let is_another = worker.chosen.incarnation != incarnation;
                is_another && worker.chosen.address == address
            };
            doubted.extract_if(.., is_ended).collect()
        };
        for worker in ended {
            if now < worker.since + DOUBTED_FOR {
                self.metrics.workers_ended.inc();
                self.ended(&worker.chosen, &worker.ends);
            }
        }
    }

    /// A worker ended while it ran requests.
    fn ended(&self, chosen: &Chosen, ends: &[(Fingerprint, WorkerEnd)]) {
        let fingerprints: Vec<Fingerprint> = ends.iter().map(|(request, _)| *request).collect();
        log::info!(worker = chosen.incarnation.as_str(), address = chosen.address.to_string().as_str(),
            fingerprints:? = fingerprints; "a worker ended while it ran requests");
        self.saw(ends);
    }
}

/// Whether nobody listens at an address whose system answers.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
