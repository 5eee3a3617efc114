//! A view of a keyed partition: takes listings and tails in any order and never goes back.

use std::collections::BTreeMap;

use crate::{KeyedRecord, NewestPage};

/// What a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key has this record now.
    Set(KeyedRecord),
    /// The key is gone.
    Dropped(Vec<u8>),
}

/// The newest record of each key, as far as known. Everything before `next` has been seen.
#[derive(Debug, Default)]
pub struct KeyedView {
    /// Offset of the newest record of each key that is there.
    present: BTreeMap<Vec<u8>, u64>,
    next: u64,
    listing: Option<Listing>,
}

/// A listing in progress. Its pages are no snapshot: what was appended after it began is left to
/// the tail.
#[derive(Debug)]
struct Listing {
    end: u64,
    records: Vec<KeyedRecord>,
}

impl KeyedView {
    /// Offset from which the tail is to be read.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Takes records of the tail.
    pub fn apply_tail(&mut self, records: Vec<KeyedRecord>) -> Vec<Change> {
        let mut changes = Vec::new();
        for record in records {
            if record.offset < self.next {
                continue;
            }
            self.next = record.offset + 1;
            changes.extend(self.take(record));
        }
        changes
    }

    /// Everything before `next` has been seen, as somebody says who read the tail and passed on what
    /// of it matters.
    pub fn advance(&mut self, next: u64) {
        self.next = self.next.max(next);
    }

    /// Takes a page of a listing. The last page gives the changes, in the order of offsets; keys
    /// that the listing lacks are gone. A listing that is older than what is known changes nothing.
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
        self.replace(listing)
    }

    /// Gives up a listing that broke off.
    pub fn abandon_listing(&mut self) {
        self.listing = None;
    }

    fn replace(&mut self, listing: Listing) -> Vec<Change> {
        let Listing { end, mut records } = listing;
        let listed: std::collections::BTreeSet<&[u8]> =
            records.iter().map(|record| record.key.as_slice()).collect();
        let gone = self
            .present
            .keys()
            .filter(|key| !listed.contains(key.as_slice()));
        let gone: Vec<Vec<u8>> = gone.cloned().collect();
        let mut changes = Vec::new();
        for key in gone {
            self.present.remove(&key);
            changes.push(Change::Dropped(key));
        }
        records.sort_by_key(|record| record.offset);
        for record in records {
            if record.offset < end && record.offset >= self.next {
                changes.extend(self.take(record));
            }
        }
        self.next = end;
        changes
    }

    fn take(&mut self, record: KeyedRecord) -> Option<Change> {
        if record.value.is_empty() {
            let known = self.present.remove(&record.key);
            return known.map(|_| Change::Dropped(record.key));
        }
        self.present.insert(record.key.clone(), record.offset);
        Some(Change::Set(record))
    }
}
