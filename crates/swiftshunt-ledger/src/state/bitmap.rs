//! A fixed-size bitmap of item indices: 62,000 items take 8 KB.

use serde::{Deserialize, Serialize};

const BITS_PER_WORD: u32 = u64::BITS;

/// The set of a job's completed items, by item index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemBitmap {
    words: Vec<u64>,
    length: u32,
    count: u32,
}

impl ItemBitmap {
    /// An empty set that accepts the indices below `length`.
    pub fn new(length: u32) -> Self {
        let words = length.div_ceil(BITS_PER_WORD) as usize;
        Self {
            words: vec![0; words],
            length,
            count: 0,
        }
    }

    /// Adds `index`. Returns `false` if it was already in the set or is out of range.
    pub fn insert(&mut self, index: u32) -> bool {
        if index >= self.length || self.contains(index) {
            return false;
        }
        self.words[(index / BITS_PER_WORD) as usize] |= 1 << (index % BITS_PER_WORD);
        self.count += 1;
        true
    }

    /// Whether `index` is in the set; `false` for an index out of range.
    pub fn contains(&self, index: u32) -> bool {
        self.words
            .get((index / BITS_PER_WORD) as usize)
            .is_some_and(|word| word >> (index % BITS_PER_WORD) & 1 == 1)
    }

    /// Number of indices in the set.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Indices below `length` that are not in the set, in ascending order.
    pub fn missing(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.length).filter(|index| !self.contains(*index))
    }
}
