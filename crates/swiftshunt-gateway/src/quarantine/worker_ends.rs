//! Checks whether a worker at which a request broke off has ended: its process may have ended, or only a connection
//! was lost.
//!
//! Each worker is checked once, whatever the number of requests that broke off there. A worker behind a dead link gives
//! no answer, which shows nothing. A worker that refuses connections, from here and from its own zone, is suspected
//! to have ended. A worker that has restarted before the check accepts the connection. Whatever the check shows, the
//! directory proves the end if it soon lists another incarnation at the worker's address ([`super::directory`]).

use std::collections::BTreeSet;
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

/// Pause before the second probe of a worker that accepted the first connection.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time for which a worker that was found to have ended is not checked again, since its other requests break off
/// shortly after the first.
const ENDED_CHECK_TTL: Duration = Duration::from_secs(2);
/// Maximum number of workers in the list of doubted workers.
const MAX_DOUBTED_WORKERS: usize = 256;

/// A worker at which requests broke off, and whose check did not show whether it has ended.
pub(super) struct DoubtedWorker {
    chosen: ChosenWorker,
    /// The ends to record, by request, if it is proved that the worker has ended.
    ends: Vec<(Fingerprint, WorkerEnd)>,
    /// When the check ended.
    since: Duration,
}

/// The state of the check of a worker at which requests broke off.
pub(super) enum Check {
    /// The check is running; the value holds the ends to record if the worker has ended.
    UnderWay(Vec<(Fingerprint, WorkerEnd)>),
    /// The worker refused connections; the value is the time at which the check finished.
    Ended(Duration),
}

/// What shows that a worker has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndBasis {
    /// It refuses connections from this gateway after a run there. Others are asked afterwards, and may refute it.
    OwnProbe,
    /// It refuses connections from other gateways as well. Either no run of this gateway broke off there, or runs break
    /// off at so many workers that its own links may be the cause.
    OtherGateways,
}

impl Quarantine {
    /// Starts a check of a worker at which a request broke off, if none is running and no recent one found it ended. The
    /// request was sent `ago` before this call. If the cause seems to be this gateway, the worker counts as ended only if
    /// another gateway sees that it refuses connections.
    pub(crate) fn check_after_break(
        self: &Arc<Self>,
        request_content: &RequestContent,
        chosen: &ChosenWorker,
        ago: Duration,
    ) {
        let basis = if self.is_local_fault(chosen) {
            EndBasis::OtherGateways
        } else {
            EndBasis::OwnProbe
        };
        let now = self.clock.now();
        let ended_unix_ms = Clock::unix_ms();
        let end = WorkerEnd {
            worker: WorkerKey::of(&chosen.incarnation),
            sent_unix_ms: ended_unix_ms.saturating_sub(ago.as_millis() as u64),
            ended_unix_ms,
            evidence: Evidence::Suspected,
            part: None,
        };
        let accused = accused_by(request_content, end);
        let mut checks = lock(&self.checks);
        match checks.get_mut(&chosen.incarnation) {
            Some(Check::UnderWay(ends)) => ends.extend(accused),
            Some(Check::Ended(at)) if now < *at + ENDED_CHECK_TTL => {
                drop(checks);
                self.report_ended(chosen, &accused);
            }
            Some(Check::Ended(_)) | None => {
                let check = Check::UnderWay(accused);
                checks.insert(chosen.incarnation.clone(), check);
                tokio::spawn(Arc::clone(self).check(chosen.clone(), now, basis));
            }
        }
    }

    /// Handles a refused connection for a request that a worker should get.
    pub(crate) fn check_after_refusal(self: &Arc<Self>, chosen: &ChosenWorker) {
        let worker = WorkerKey::of(&chosen.incarnation);
        if !lock(&self.inconclusive_runs).has_worker_end(worker) {
            self.check_refusing(chosen, EndBasis::OtherGateways);
        }
    }

    /// Starts a check of a worker that refused a connection, unless one is running or a recent one found it ended.
    pub(super) fn check_refusing(self: &Arc<Self>, chosen: &ChosenWorker, basis: EndBasis) {
        let now = self.clock.now();
        let mut checks = lock(&self.checks);
        let is_checked = match checks.get(&chosen.incarnation) {
            Some(Check::UnderWay(_)) => true,
            Some(Check::Ended(at)) => now < *at + ENDED_CHECK_TTL,
            None => false,
        };
        if is_checked {
            return;
        }
        let check = Check::UnderWay(Vec::new());
        checks.insert(chosen.incarnation.clone(), check);
        tokio::spawn(Arc::clone(self).check(chosen.clone(), now, basis));
    }

    /// Records that a run of a request succeeded whose answer ended with its connection. If ends are recorded for the
    /// request, they are removed only if the worker still takes connections.
    pub(crate) fn confirm_success(
        self: &Arc<Self>,
        request_content: &RequestContent,
        chosen: &ChosenWorker,
    ) {
        if !request_content.may_end_workers() {
            return;
        }
        let has_ends = {
            let table = lock(&self.table);
            !table.is_empty() && table.has_ends(&request_content.fingerprint())
        };
        if !has_ends {
            return self.count_good_run(request_content);
        }
        let quarantine = Arc::clone(self);
        let request_content = request_content.clone();
        let address = chosen.address;
        tokio::spawn(async move {
            if probe_connection(address).await == Sight::Takes {
                quarantine.record_success(&request_content);
            }
        });
    }

    /// Returns whether a worker at which the request broke off is being checked.
    pub(super) fn is_being_checked(&self, fingerprint: &Fingerprint) -> bool {
        lock(&self.checks).values().any(|check| match check {
            Check::UnderWay(ends) => ends.iter().any(|(request, _)| request == fingerprint),
            Check::Ended(_) => false,
        })
    }

    /// Records a failure, and returns whether requests fail at so many workers that the cause is likely to be this
    /// gateway.
    fn is_local_fault(&self, chosen: &ChosenWorker) -> bool {
        let now = self.clock.now();
        let workers = self.fleet_state.selector().ready_count(&chosen.service);
        let mut failures = lock(&self.local_faults);
        failures.record_failure(&chosen.incarnation, now);
        failures.is_local_fault(workers)
    }

    /// Finds out whether a worker has ended, by what was noticed at `noticed_at`.
    async fn check(self: Arc<Self>, chosen: ChosenWorker, noticed_at: Duration, basis: EndBasis) {
        let mut refuses = refuses_connections(&chosen).await;
        if basis == EndBasis::OtherGateways {
            refuses = refuses && self.refuses_others(&chosen).await;
        }
        let mut ends = self.finish_check(&chosen, refuses);
        if !refuses {
            return self.add_doubted_worker(chosen, ends);
        }
        let worker = WorkerKey::of(&chosen.incarnation);
        ends.extend(self.take_accused_runs(worker, noticed_at));
        self.report_ended(&chosen, &ends);
        self.progress.notify_waiters();
        if basis == EndBasis::OtherGateways {
            return self.confirm_end(worker, noticed_at);
        }
        // The suspicion is reported before the witnesses answer, since attempts of one request follow each other
        // within milliseconds.
        match self.ask_witnesses(&chosen).await {
            Sight::Refuses => return self.confirm_end(worker, noticed_at),
            Sight::Takes => {
                let reason = "another gateway can connect to it";
                self.refute_end(worker, Evidence::Suspected, reason);
            }
            // Other gateways may have stronger evidence, so only this gateway's own ends are removed.
            Sight::Nothing => self.retract_ends(&ends),
        }
        lock(&self.inconclusive_runs).forget_worker_end(worker);
        lock(&self.checks).remove(&chosen.incarnation);
        self.add_doubted_worker(chosen, ends);
    }

    /// Whether other gateways see that a worker refuses connections, too. False if there are none to ask.
    async fn refuses_others(&self, chosen: &ChosenWorker) -> bool {
        log::info!(worker = chosen.incarnation.as_str();
            "a worker refuses connections, which may be a fault on the way; it has ended only if others see that");
        self.has_witnesses(&chosen.zone) && self.ask_witnesses(chosen).await == Sight::Refuses
    }

    fn confirm_end(&self, worker: WorkerKey, noticed_at: Duration) {
        self.metrics.workers_ended.inc();
        self.announce_worker_end(worker, noticed_at);
    }

    /// Removes ends that only this gateway has seen and no other gateway confirmed.
    fn retract_ends(&self, ends: &[(Fingerprint, WorkerEnd)]) {
        for (fingerprint, end) in ends {
            lock(&self.table).forget(fingerprint, end.worker, end.ended_unix_ms);
            self.pending_records.add_removal(*fingerprint, end);
        }
    }

    /// Finishes the check of a worker. Returns the ends to record if the worker has ended.
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

    fn add_doubted_worker(&self, chosen: ChosenWorker, ends: Vec<(Fingerprint, WorkerEnd)>) {
        if ends.is_empty() {
            return self.progress.notify_waiters();
        }
        let since = self.clock.now();
        let fingerprints: Vec<Fingerprint> = ends.iter().map(|(request, _)| *request).collect();
        log::info!(worker = chosen.incarnation.as_str(), fingerprints:? = fingerprints;
            "the check of a worker did not show whether it has ended; waiting for the directory to prove it");
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
        self.progress.notify_waiters();
    }

    /// Removes a worker that is proved to have ended from the doubted workers. Returns its ends as proved, unless it was
    /// added too long ago.
    pub(super) fn take_doubted_ends(&self, incarnation: &str) -> Vec<(Fingerprint, WorkerEnd)> {
        let now = self.clock.now();
        let is_same_incarnation =
            |worker: &mut DoubtedWorker| worker.chosen.incarnation == incarnation;
        let proved: Vec<DoubtedWorker> = lock(&self.doubted)
            .extract_if(.., is_same_incarnation)
            .collect();
        let recent = proved
            .into_iter()
            .filter(|worker| now < worker.since + SUSPECTED_END_TTL);
        let ends = recent.flat_map(|worker| worker.ends);
        ends.map(|(request, end)| {
            let evidence = Evidence::Proved;
            (request, WorkerEnd { evidence, ..end })
        })
        .collect()
    }

    /// Returns the incarnations of doubted workers that had the given address.
    pub(super) fn doubted_incarnations_at(&self, address: SocketAddr) -> Vec<String> {
        let doubted = lock(&self.doubted);
        let at_address = doubted
            .iter()
            .filter(|worker| worker.chosen.address == address);
        at_address
            .map(|worker| worker.chosen.incarnation.clone())
            .collect()
    }

    /// Logs and reports the ends of a worker that ran requests.
    pub(super) fn report_ended(
        self: &Arc<Self>,
        chosen: &ChosenWorker,
        ends: &[(Fingerprint, WorkerEnd)],
    ) {
        let fingerprints: Vec<Fingerprint> = ends.iter().map(|(request, _)| *request).collect();
        log::info!(worker = chosen.incarnation.as_str(), address = chosen.address.to_string().as_str(),
            fingerprints:? = fingerprints, gateways = self.members.count(); "a worker ended while it ran requests");
        self.count_ended_runs(ends);
        let mut reported_parts = BTreeSet::new();
        for (fingerprint, end) in ends {
            // One report tells the end for all requests with the part.
            if end.part.is_none() || reported_parts.insert(*fingerprint) {
                self.report_end(*fingerprint, *end);
            }
        }
    }
}

/// Whether a worker refuses connections.
async fn refuses_connections(chosen: &ChosenWorker) -> bool {
    let mut sight = probe_connection(chosen.address).await;
    if sight == Sight::Takes {
        // A process that ends may close its connections before its listening socket.
        tokio::time::sleep(PROBE_RETRY_DELAY).await;
        sight = probe_connection(chosen.address).await;
    }
    sight == Sight::Refuses
}

/// Returns the ends to record if the worker has ended: of the request, and of each part of its prompt that other requests
/// may share. None if the request cannot be the cause.
pub(super) fn accused_by(
    request_content: &RequestContent,
    end: WorkerEnd,
) -> Vec<(Fingerprint, WorkerEnd)> {
    if !request_content.may_end_workers() {
        return Vec::new();
    }
    let parts = (0..).zip(request_content.shared_parts());
    let part_ends = parts.map(|(depth, part)| {
        let part_end = WorkerEnd {
            part: Some(depth),
            ..end
        };
        (*part, part_end)
    });
    std::iter::once((request_content.fingerprint(), end))
        .chain(part_ends)
        .collect()
}
