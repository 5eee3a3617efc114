//! A view of a keyed partition. It applies listings (the newest record of each key) and records of the tail (in the
//! order of their offsets), and ignores records older than those it has seen.

use std::collections::BTreeMap;

use crate::{KeyedRecord, NewestPage};

/// A change of a [`KeyedView`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This record is now the newest of its key.
    Set(KeyedRecord),
    /// This key was dropped.
    Dropped(Vec<u8>),
}

/// The offsets of the newest known records of the keys of a partition. All records before `next` have been seen.
#[derive(Debug, Default)]
pub struct KeyedView {
    /// Offset of the newest record of each key that was not dropped.
    present: BTreeMap<Vec<u8>, u64>,
    next: u64,
    listing: Option<Listing>,
}

/// A listing in progress. Its pages are not a snapshot: records from `end` on, which were appended after the listing
/// began, are applied from the tail instead.
#[derive(Debug)]
struct Listing {
    end: u64,
    records: Vec<KeyedRecord>,
}

impl KeyedView {
    /// Returns the offset from which the tail is to be read.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Applies records of the tail and returns the changes; records that have been seen are skipped.
    pub fn apply_tail(&mut self, records: Vec<KeyedRecord>) -> Vec<Change> {
        let mut changes = Vec::new();
        for record in records {
            if record.offset < self.next {
                continue;
            }
            self.next = record.offset + 1;
            changes.extend(self.apply_record(record));
        }
        changes
    }

    /// Marks all records before `next` as seen, after another reader of the tail has passed on only the relevant ones.
    pub fn advance(&mut self, next: u64) {
        self.next = self.next.max(next);
    }

    /// Adds a page of a listing. The last page returns the changes: first the keys that the listing lacks, as
    /// dropped, then the new records in the order of their offsets. A listing that ends before what has been seen
    /// changes nothing.
    pub fn apply_page(&mut self, page: NewestPage) -> Vec<Change> {
        let listing = self.listing.get_or_insert_with(|| Listing {
            end: page.end,
            records: Vec::new(),
        });
        listing.records.extend(page.records);
        if page.more {
            return Vec::new();
        }
        let Some(listing) = self.listing.take() else {
            return Vec::new();
        };
        if listing.end < self.next {
            return Vec::new();
        }
        self.apply_listing(listing)
    }

    /// Discards the pages of a listing that failed before its last page.
    pub fn abandon_listing(&mut self) {
        self.listing = None;
    }

    fn apply_listing(&mut self, listing: Listing) -> Vec<Change> {
        let Listing { end, mut records } = listing;
        let listed: std::collections::BTreeSet<&[u8]> =
            records.iter().map(|record| record.key.as_slice()).collect();
        let missing = self
            .present
            .keys()
            .filter(|key| !listed.contains(key.as_slice()));
        let missing: Vec<Vec<u8>> = missing.cloned().collect();
        let mut changes = Vec::new();
        for key in missing {
            self.present.remove(&key);
            changes.push(Change::Dropped(key));
        }
        records.sort_by_key(|record| record.offset);
        for record in records {
            if record.offset < end && record.offset >= self.next {
                changes.extend(self.apply_record(record));
            }
        }
        self.next = end;
        changes
    }

    fn apply_record(&mut self, record: KeyedRecord) -> Option<Change> {
        if record.value.is_empty() {
            let known = self.present.remove(&record.key);
            return known.map(|_| Change::Dropped(record.key));
        }
        self.present.insert(record.key.clone(), record.offset);
        Some(Change::Set(record))
    }
}
