//! Prefix cache of limited capacity, which evicts the least recently used block.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Bytes of a prompt in one block.
const BLOCK_BYTES: usize = 64;

/// Cached prompt blocks. The key of a block is the hash of the prompt up to the end of the block.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_use_by_block: HashMap<u64, u64>,
    block_by_last_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_use_by_block: HashMap::new(),
            block_by_last_use: BTreeMap::new(),
        }
    }

    /// Marks all blocks of a prompt as used and returns how many of them were not cached.
    pub(super) fn access_prompt(&mut self, prompt: &str) -> u32 {
        let mut hasher = DefaultHasher::new();
        let mut missing_blocks = 0;
        for block in prompt.as_bytes().chunks(BLOCK_BYTES) {
            block.hash(&mut hasher);
            if !self.touch(hasher.finish()) {
                missing_blocks += 1;
            }
        }
        missing_blocks
    }

    /// Marks a block as used, evicting another if the cache is full. Returns whether the block was cached.
    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let previous_use = self.last_use_by_block.insert(block, self.clock);
        if let Some(previous_use) = previous_use {
            self.block_by_last_use.remove(&previous_use);
        }
        self.block_by_last_use.insert(self.clock, block);
        if self.last_use_by_block.len() > self.capacity
            && let Some((_, oldest)) = self.block_by_last_use.pop_first()
        {
            self.last_use_by_block.remove(&oldest);
        }
        previous_use.is_some()
    }
}
