//! What a leader still owes the archive, and whether the archive counts as available.

use std::time::Duration;

use swiftshunt_ledger::raft::Index;
use swiftshunt_types::Monotonic;

/// An append whose answer is missing is repeated after this long, unless the tail shows it.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The leader's side of the archive.
#[derive(Debug, Default)]
pub(super) struct ArchiveWriter {
    in_flight: bool,
    sent_up_to: Index,
    sent_at: Monotonic,
    behind_since: Option<Monotonic>,
}

impl ArchiveWriter {
    /// Notes progress: `archived` is what the tail has shown.
    pub(super) fn observe(&mut self, committed: Index, archived: Index, now: Monotonic) {
        if archived >= committed {
            self.behind_since = None;
        } else if self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    /// The tail advanced: what is left counts as new.
    pub(super) fn on_tail_advanced(&mut self) {
        self.behind_since = None;
    }

    /// Whether acknowledgements no longer wait for the archive.
    pub(super) fn is_unavailable(&self, wait: Duration, now: Monotonic) -> bool {
        self.behind_since.is_some_and(|since| now >= since + wait)
    }

    /// After which index to append now, if at all.
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

    /// The append may have taken effect: the tail is given time to show it.
    pub(super) fn on_append_failed(&mut self, archived: Index, now: Monotonic) {
        self.in_flight = false;
        self.sent_up_to = archived;
        self.sent_at = now;
    }
}
