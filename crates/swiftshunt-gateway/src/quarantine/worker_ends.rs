//! Whether a worker has ended at which a request broke off: its process may have ended, or only a connection
//! was lost.
//!
//! One connection is tried for each worker, whatever number of requests broke off there; a worker behind a dead
//! link gives no answer, and then nothing is known. A worker that refuses connections, here and in its own zone,
//! is suspected to have ended. A worker that is back before it is looked at takes the connection. Whatever was
//! seen, the directory proves the end if it soon lists another life at its address ([`super::directory`]).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_scheduler::quarantine::{Evidence, Fingerprint, SUSPECTED_END_TTL, WorkerEnd};
use swiftshunt_scheduler::selection::ChosenWorker;
use swiftshunt_scheduler::slots::WorkerKey;

use super::probe::probe_connection;
use super::{Quarantine, RequestContent};
use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::messages::quarantine::Sight;

/// Pause before a worker that takes connections is looked at once more.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time for which a worker that was found to have ended is not looked at again: others of its requests break
/// off a moment later.
const ENDED_CHECK_TTL: Duration = Duration::from_secs(2);
/// Workers of which that is remembered at most.
const MAX_DOUBTED_WORKERS: usize = 256;

/// A worker of which it is not known whether it has ended, though requests broke off there.
pub(super) struct DoubtedWorker {
    chosen: ChosenWorker,
    /// What has happened if it has ended.
    ends: Vec<(Fingerprint, WorkerEnd)>,
    since: Duration,
}

/// What is known of a worker at which requests broke off.
pub(super) enum Check {
    /// It is being looked at; this has happened if it has ended.
    UnderWay(Vec<(Fingerprint, WorkerEnd)>),
    /// It refuses connections.
    Ended(Duration),
}

impl Quarantine {
    /// A request broke off at a worker to which it was sent `ago`.
    pub(crate) fn check_after_break(
        self: &Arc<Self>,
        request_content: &RequestContent,
        chosen: &ChosenWorker,
        ago: Duration,
    ) {
        if self.is_local_fault(chosen) {
            return;
        }
        let now = self.clock.now();
        let ended_unix_ms = Clock::unix_ms();
        let end = WorkerEnd {
            worker: WorkerKey::of(&chosen.incarnation),
            sent_unix_ms: ended_unix_ms.saturating_sub(ago.as_millis() as u64),
            ended_unix_ms,
            evidence: Evidence::Suspected,
        };
        let end = (request_content.fingerprint(), end);
        let mut checks = lock(&self.checks);
        match checks.get_mut(&chosen.incarnation) {
            Some(Check::UnderWay(ends)) => ends.push(end),
            Some(Check::Ended(at)) if now < *at + ENDED_CHECK_TTL => {
                drop(checks);
                self.report_ended(chosen, &[end]);
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
    fn is_local_fault(&self, chosen: &ChosenWorker) -> bool {
        let now = self.clock.now();
        let workers = self.fleet_state.selector().ready_count(&chosen.service);
        let mut failures = lock(&self.local_faults);
        failures.record_failure(&chosen.incarnation, now);
        failures.is_local_fault(workers)
    }

    async fn check(self: Arc<Self>, chosen: ChosenWorker) {
        let mut sight = probe_connection(chosen.address).await;
        if sight == Sight::Takes {
            // A process that ends may close its connections before the port at which it listens.
            tokio::time::sleep(PROBE_RETRY_DELAY).await;
            sight = probe_connection(chosen.address).await;
        }
        let refuses = sight == Sight::Refuses;
        let ends = self.finish_check(&chosen, refuses);
        if !refuses {
            return self.doubt(chosen, ends);
        }
        self.report_ended(&chosen, &ends);
        self.check_finished.notify_waiters();
        // The suspicion stands meanwhile: tries of one request follow each other within milliseconds.
        match self.ask_witnesses(&chosen).await {
            Sight::Refuses => {
                self.metrics.workers_ended.inc();
                return;
            }
            Sight::Takes => {
                let worker = WorkerKey::of(&chosen.incarnation);
                let reason = "its zone does not see that it refuses connections";
                self.refute_end(worker, Evidence::Suspected, reason);
            }
            // Others may have seen more.
            Sight::Nothing => self.retract_ends(&ends),
        }
        lock(&self.checks).remove(&chosen.incarnation);
        self.doubt(chosen, ends);
    }

    /// Nobody confirms what this gateway alone has seen: it takes its own word back.
    fn retract_ends(&self, ends: &[(Fingerprint, WorkerEnd)]) {
        for (fingerprint, end) in ends {
            lock(&self.table).forget(fingerprint, end.worker, end.ended_unix_ms);
            self.pending_records.add_removal(*fingerprint, end);
        }
    }

    /// A worker was looked at; gives what has happened there if it has ended.
    fn finish_check(&self, chosen: &ChosenWorker, refuses: bool) -> Vec<(Fingerprint, WorkerEnd)> {
        let now = self.clock.now();
        let mut checks = lock(&self.checks);
        checks.retain(|_, check| match check {
            Check::UnderWay(_) => true,
            Check::Ended(at) => now < *at + ENDED_CHECK_TTL,
        });
        let checked = checks.remove(&chosen.incarnation);
        if refuses {
            checks.insert(chosen.incarnation.clone(), Check::Ended(now));
        }
        match checked {
            Some(Check::UnderWay(ends)) => ends,
            Some(Check::Ended(_)) | None => Vec::new(),
        }
    }

    fn doubt(&self, chosen: ChosenWorker, ends: Vec<(Fingerprint, WorkerEnd)>) {
        let since = self.clock.now();
        let mut doubted = lock(&self.doubted);
        doubted.retain(|worker| since < worker.since + SUSPECTED_END_TTL);
        if doubted.len() < MAX_DOUBTED_WORKERS {
            doubted.push(DoubtedWorker {
                chosen,
                ends,
                since,
            });
        }
        drop(doubted);
        self.check_finished.notify_waiters();
    }

    /// It is proved that a worker has ended: gives what had happened there, if it was not suspected.
    pub(super) fn take_doubted_ends(&self, incarnation: &str) -> Vec<(Fingerprint, WorkerEnd)> {
        let now = self.clock.now();
        let is_it = |worker: &mut DoubtedWorker| worker.chosen.incarnation == incarnation;
        let proved: Vec<DoubtedWorker> = lock(&self.doubted).extract_if(.., is_it).collect();
        let in_time = proved
            .into_iter()
            .filter(|worker| now < worker.since + SUSPECTED_END_TTL);
        let ends = in_time.flat_map(|worker| worker.ends);
        ends.map(|(request, end)| {
            let evidence = Evidence::Proved;
            (request, WorkerEnd { evidence, ..end })
        })
        .collect()
    }

    /// The incarnation of a worker that had an address, as far as requests broke off there.
    pub(super) fn doubted_at(&self, address: SocketAddr) -> Vec<String> {
        let doubted = lock(&self.doubted);
        let at = doubted
            .iter()
            .filter(|worker| worker.chosen.address == address);
        at.map(|worker| worker.chosen.incarnation.clone()).collect()
    }

    /// A worker ended while it ran requests.
    fn report_ended(&self, chosen: &ChosenWorker, ends: &[(Fingerprint, WorkerEnd)]) {
        let fingerprints: Vec<Fingerprint> = ends.iter().map(|(request, _)| *request).collect();
        log::info!(worker = chosen.incarnation.as_str(), address = chosen.address.to_string().as_str(),
            fingerprints:? = fingerprints; "a worker ended while it ran requests");
        self.publish_ends(ends);
    }
}
