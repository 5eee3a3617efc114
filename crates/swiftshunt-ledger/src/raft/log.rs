//! The replicated log: the position of a compacted prefix and the entries after it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::GroupConfiguration;

/// An election term of a group; it has at most one leader.
pub type Term = u64;
/// Index of a log entry. The first entry has index 1; 0 stands for an empty log.
pub type Index = u64;

/// Index and term of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term of the entry. This is the first field, so that the derived order is Raft's "more up to
    /// date".
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// The part of the log that is known to be in the archive.
///
/// Marks are ordered by index, so the greatest one has the offset at which to continue reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ArchiveMark {
    /// Index of the last archived entry.
    pub index: Index,
    /// Offset in the archive stream after the record that contains this entry.
    pub next_offset: u64,
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload<C> {
    /// The empty entry that a leader appends at the start of its term.
    Noop,
    /// A change of the group's members, in force as soon as it is appended.
    Configuration(GroupConfiguration),
    /// A command to the state machine.
    Command(C),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Term and index of the entry.
    pub position: LogPosition,
    /// Content of the entry.
    pub payload: Payload<C>,
}

/// The entries after a compacted prefix, whose last position is `base`.
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

    /// The term at `index`; `None` unless `index` is the base or the index of a retained entry.
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

    /// Removes every entry at `index` and after it.
    pub(super) fn truncate_from(&mut self, index: Index) {
        let remaining = index.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
    }

    /// At most `limit` entries, starting at index `from`.
    pub(super) fn slice(&self, from: Index, limit: usize) -> Vec<Entry<C>> {
        let skipped = from.saturating_sub(self.base.index + 1);
        self.entries
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
            .take(limit)
            .cloned()
            .collect()
    }

    /// The configuration in force: the newest one in the log, whether committed or not.
    pub(super) fn configuration(&self) -> &GroupConfiguration {
        self.configuration_as_of(Index::MAX)
    }

    /// The configuration that was in force at `index`.
    pub(super) fn configuration_as_of(&self, index: Index) -> &GroupConfiguration {
        self.newest_configuration(index)
            .map_or(&self.base_configuration, |(_, configuration)| configuration)
    }

    /// Index of the newest configuration entry; the base index if the log has none.
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

    /// Removes entries up to and including `index` and makes the last removed one the base.
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
