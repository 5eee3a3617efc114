//! Prompt parts that end workers: the runs with which their ends are compared, and what follows from the comparison
//! ([`swiftshunt_scheduler::quarantine`]).
//!
//! All ends that accuse parts go to the same few gateways, since the part that explains them is found by comparison.
//! Gateways count their runs and the time of these at workers all the time, by part, and tell the counts together with an
//! end, and now and then while a part of their good runs is accused.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use swiftshunt_scheduler::quarantine::{Fingerprint, RecentRuns, RunCounts, WorkerEnd};

use super::{Quarantine, RequestContent};
use crate::fleet_state::lock;
use crate::messages::quarantine::QuarantineMessage;

/// Number of gateways that collect the ends of prompt parts. Three, since all parts share them and some may be
/// unavailable.
const MAX_PART_COLLECTORS: usize = 3;
/// Subject whose order of the gateways gives the collectors.
const COLLECTORS_SUBJECT: &str = "prompt parts";
/// Interval between two messages about good runs with one part.
const GOOD_RUNS_INTERVAL: Duration = Duration::from_millis(500);

/// Recent runs at this gateway.
#[derive(Default)]
pub(super) struct RunCounters {
    runs: Mutex<RecentRuns>,
    /// When the good runs of accused parts were told last.
    told_at: Mutex<HashMap<Fingerprint, Duration>>,
}

impl RunCounters {
    /// Whether the good runs of a part are to be told now, after it was so last [`GOOD_RUNS_INTERVAL`] ago or earlier.
    fn is_due(&self, part: Fingerprint, now: Duration) -> bool {
        let mut told_at = lock(&self.told_at);
        told_at.retain(|_, at| now < *at + GOOD_RUNS_INTERVAL);
        let is_due = !told_at.contains_key(&part);
        told_at.entry(part).or_insert(now);
        is_due
    }
}

impl Quarantine {
    /// Returns the gateways that collect the ends of prompt parts.
    pub(super) fn part_collectors(&self) -> Vec<SocketAddr> {
        self.members
            .ranked_gateways(&COLLECTORS_SUBJECT, MAX_PART_COLLECTORS)
    }

    /// Counts the time that a run of a request was at its worker, however it ended. Only requests that may end workers are
    /// compared.
    pub(crate) fn count_exposure(&self, request_content: &RequestContent, exposure: Duration) {
        if !request_content.may_end_workers() {
            return;
        }
        let now = self.clock.now();
        let parts = request_content.shared_parts();
        lock(&self.run_counts.runs).record_exposure(parts, exposure, now);
    }

    /// Counts a run that ended well, and tells the collectors if a part of its prompt is accused.
    pub(super) fn count_good_run(&self, request_content: &RequestContent) {
        let now = self.clock.now();
        let parts = request_content.shared_parts();
        lock(&self.run_counts.runs).record_good(parts, now);
        for part in parts {
            let is_accused = lock(&self.table).is_accused_part(part);
            if is_accused && self.run_counts.is_due(*part, now) {
                self.tell_good_runs(part, now);
            }
        }
    }

    fn tell_good_runs(&self, part: &Fingerprint, now: Duration) {
        let counts = lock(&self.run_counts.runs).counts(part, now);
        lock(&self.table).record_runs(part, self.members.own_address(), counts, now);
        let message = QuarantineMessage::RanWell {
            fingerprint: *part,
            runs: Some(counts),
        };
        self.send(message, self.without_self(self.part_collectors()));
        self.acquit(part);
    }

    /// Counts the runs of a worker that has ended. `ends` holds one of each request, followed by those of its parts.
    pub(super) fn count_ended_runs(&self, ends: &[(Fingerprint, WorkerEnd)]) {
        let now = self.clock.now();
        let mut runs = lock(&self.run_counts.runs);
        let is_next_request = |_: &(_, WorkerEnd), next: &(_, WorkerEnd)| next.1.part.is_none();
        for of_request in ends.chunk_by(|one, next| !is_next_request(one, next)) {
            let parts = of_request.iter().filter(|(_, end)| end.part.is_some());
            let parts: Vec<Fingerprint> = parts.map(|(part, _)| *part).collect();
            runs.record_ended(&parts, now);
        }
    }

    /// Returns the runs to tell with an end; `None` unless it accuses a part.
    pub(super) fn runs_to_report(
        &self,
        fingerprint: &Fingerprint,
        end: &WorkerEnd,
    ) -> Option<RunCounts> {
        end.part?;
        Some(lock(&self.run_counts.runs).counts(fingerprint, self.clock.now()))
    }

    /// Records the runs that another gateway tells.
    pub(super) fn record_reported_runs(
        &self,
        part: &Fingerprint,
        from: SocketAddr,
        runs: Option<RunCounts>,
    ) {
        if let Some(runs) = runs {
            lock(&self.table).record_runs(part, from, runs, self.clock.now());
        }
    }

    /// Finds the parts that explain the ends known here, holds them, and tells all other gateways.
    pub(super) fn judge_parts(&self) {
        let now = self.clock.now();
        let own = self.members.own_address();
        let found = {
            let mut table = lock(&self.table);
            let mut runs = lock(&self.run_counts.runs);
            for part in table.suspected_parts() {
                table.record_runs(&part, own, runs.counts(&part, now), now);
            }
            table.find_harmful_parts(now)
        };
        for part in found {
            self.log_held_part(&part);
            let ends: Vec<WorkerEnd> = lock(&self.table).ends(&part).collect();
            for end in ends {
                self.pending_records.add_end(part, end);
            }
            self.announce_hold(&part);
        }
    }

    /// Holds a part that another gateway has found to be harmful.
    pub(super) fn mark_harmful(&self, part: &Fingerprint) {
        let is_new = lock(&self.table).mark_harmful(part, self.clock.now());
        if is_new {
            self.log_held_part(part);
        }
    }

    fn log_held_part(&self, part: &Fingerprint) {
        self.metrics.parts_held.inc();
        let ends = lock(&self.table).ends(part).count();
        log::warn!(part:% = part, ends;
            "requests with a part of prompts end their workers and are no longer sent");
    }

    /// Frees a part that is held, if more of its runs ended well than ended workers, here, in the log and at all other
    /// gateways.
    pub(super) fn acquit(&self, part: &Fingerprint) {
        let now = self.clock.now();
        let cleared = {
            let mut table = lock(&self.table);
            if !table.is_innocent(part, now) {
                return;
            }
            table.acquit(part, now)
        };
        log::warn!(part:% = part, ends = cleared.len();
            "requests with a part of prompts run well; sending them again");
        self.metrics.parts_freed.inc();
        for end in &cleared {
            self.pending_records.add_removal(*part, end);
        }
        let message = QuarantineMessage::RanWell {
            fingerprint: *part,
            runs: None,
        };
        self.send(message, self.members.others());
    }
}
