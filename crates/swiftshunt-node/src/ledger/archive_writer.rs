//! Decides what a leader appends to the archive next and whether the archive counts as available.

use std::time::Duration;

use swiftshunt_ledger::raft::Index;
use swiftshunt_types::Monotonic;

/// Delay after which acknowledged entries are appended again if the tail does not show them.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(250);

/// State of the leader's appends to the archive.
#[derive(Debug, Default)]
pub(super) struct ArchiveWriter {
    in_flight: bool,
    /// Index of the last entry whose append was acknowledged; set back to the archived index if the
    /// entries after that must be appended again.
    sent_up_to: Index,
    /// Time at which the last append was started, acknowledged or reported as failed.
    sent_at: Monotonic,
    /// Time since which committed entries have been missing in the archive without progress; `None`
    /// if none are missing or the tail has just advanced.
    behind_since: Option<Monotonic>,
}

impl ArchiveWriter {
    /// Updates the time since which committed entries have been missing in the archive. `archived` is
    /// the index that the tail shows.
    pub(super) fn observe(&mut self, committed: Index, archived: Index, now: Monotonic) {
        if archived >= committed {
            self.behind_since = None;
        } else if self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    /// Restarts the wait for the archive, because the tail has advanced.
    pub(super) fn on_tail_advanced(&mut self) {
        self.behind_since = None;
    }

    /// Whether the archive has made no progress on committed entries for `wait`; acknowledgements
    /// then do not wait for it.
    pub(super) fn is_unavailable(&self, wait: Duration, now: Monotonic) -> bool {
        self.behind_since.is_some_and(|since| now >= since + wait)
    }

    /// The index after which to append entries at `now`; `None` if an append is in flight or no
    /// committed entry is missing.
    pub(super) fn next_append_after(
        &mut self,
        committed: Index,
        archived: Index,
        now: Monotonic,
    ) -> Option<Index> {
        if self.in_flight || committed <= archived {
            return None;
        }
        let is_unconfirmed = self.sent_up_to > archived;
        if is_unconfirmed && now >= self.sent_at + APPEND_RETRY_DELAY {
            self.sent_up_to = archived;
        }
        let after = self.sent_up_to.max(archived);
        (committed > after).then_some(after)
    }

    pub(super) fn on_append_started(&mut self, now: Monotonic) {
        self.in_flight = true;
        self.sent_at = now;
    }

    pub(super) fn on_append_succeeded(&mut self, up_to: Index, now: Monotonic) {
        self.in_flight = false;
        self.sent_up_to = self.sent_up_to.max(up_to);
        self.sent_at = now;
    }

    /// Handles a failed append. Entries after `archived` count as not appended, although the append may
    /// have taken effect; replay drops the entries of a repeated append.
    pub(super) fn on_append_failed(&mut self, archived: Index, now: Monotonic) {
        self.in_flight = false;
        self.sent_up_to = archived;
        self.sent_at = now;
    }
}
