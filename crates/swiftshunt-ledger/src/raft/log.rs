//! The replicated log: a compacted prefix and the entries after it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::GroupConfiguration;

/// An election epoch of a group.
pub type Term = u64;
/// A position in the log; the first entry has index 1.
pub type Index = u64;

/// Index and term of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term first, so that the derived order is Raft's "more up to date".
    pub term: Term,
    /// The entry's index.
    pub index: Index,
}

/// How far the archive is known to hold the log.
///
/// Ordered by index: the offset of the newest mark is the one to read on from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ArchiveMark {
    /// The last archived index.
    pub index: Index,
    /// The archive stream's offset after the record that holds it.
    pub next_offset: u64,
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload<C> {
    /// The entry with which a leader opens its term.
    Noop,
    /// A change of the group's members; in force from the moment it is appended.
    Configuration(GroupConfiguration),
    /// A change to the state machine.
    Command(C),
}

/// One log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Where it stands.
    pub position: LogPosition,
    /// What it carries.
    pub payload: Payload<C>,
}

/// Entries after a compacted prefix.
///
/// Invariant: entry indices are contiguous from `base.index + 1`.
#[derive(Clone, Debug)]
pub(super) struct RaftLog<C> {
    base: LogPosition,
    entries: VecDeque<Entry<C>>,
    base_configuration: GroupConfiguration,
}

impl<C: Clone> RaftLog<C> {
    pub(super) fn new(base: LogPosition, base_configuration: GroupConfiguration) -> Self {
        Self {
            base,
            entries: VecDeque::new(),
            base_configuration,
        }
    }

    pub(super) fn last(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    pub(super) fn base_index(&self) -> Index {
        self.base.index
    }

    /// The term at `index`, if it is the base or a held entry.
    pub(super) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.position.term)
    }

    pub(super) fn entry(&self, index: Index) -> Option<&Entry<C>> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(super) fn push(&mut self, entry: Entry<C>) {
        debug_assert_eq!(entry.position.index, self.last().index + 1);
        self.entries.push_back(entry);
    }

    /// Drops every entry from `index` on.
    pub(super) fn truncate_from(&mut self, index: Index) {
        let kept = index.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Up to `limit` entries from `from` on.
    pub(super) fn slice(&self, from: Index, limit: usize) -> Vec<Entry<C>> {
        let skipped = from.saturating_sub(self.base.index + 1);
        self.entries
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
            .take(limit)
            .cloned()
            .collect()
    }

    /// The configuration in force: the newest in the log, committed or not.
    pub(super) fn configuration(&self) -> &GroupConfiguration {
        self.configuration_as_of(Index::MAX)
    }

    /// The configuration that was in force at `index`.
    pub(super) fn configuration_as_of(&self, index: Index) -> &GroupConfiguration {
        self.newest_configuration(index)
            .map_or(&self.base_configuration, |(_, configuration)| configuration)
    }

    /// Index of the newest configuration entry; the base index if none is held.
    pub(super) fn configuration_index(&self) -> Index {
        self.newest_configuration(Index::MAX)
            .map_or(self.base.index, |(index, _)| index)
    }

    fn newest_configuration(&self, up_to: Index) -> Option<(Index, &GroupConfiguration)> {
        let entries = self.entries.iter().rev();
        entries
            .skip_while(|entry| entry.position.index > up_to)
            .find_map(|entry| match &entry.payload {
                Payload::Configuration(found) => Some((entry.position.index, found)),
                _ => None,
            })
    }

    /// Forgets entries up to `index`.
    pub(super) fn compact(&mut self, index: Index) {
        while let Some(entry) = self.entries.front() {
            if entry.position.index > index {
                return;
            }
            self.base = entry.position;
            if let Payload::Configuration(configuration) = &entry.payload {
                self.base_configuration = configuration.clone();
            }
            self.entries.pop_front();
        }
    }

    pub(super) fn entry_count(&self) -> usize {
        self.entries.len()
    }
}
