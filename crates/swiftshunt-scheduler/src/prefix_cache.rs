//! Estimates which prompt parts a worker's prefix cache holds.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// One part of a prompt. Prompts may share parts; a cached part is only of use if every part before
/// it is cached as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: u64,
    /// The size of the part in tokens.
    pub tokens: u32,
}

/// The prompt parts that one worker processed recently, within the capacity of its prefix cache.
#[derive(Debug)]
pub struct PrefixCacheEstimate {
    capacity: u64,
    held: u64,
    sequence: u64,
    parts: HashMap<u64, Held>,
}

#[derive(Debug)]
struct Held {
    tokens: u32,
    used: u64,
}

impl PrefixCacheEstimate {
    /// Creates an empty estimate for a prefix cache of `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            held: 0,
            sequence: 0,
            parts: HashMap::new(),
        }
    }

    /// Returns the number of tokens at the beginning of a prompt that are believed to be cached.
    pub fn cached_tokens(&self, prompt: &[PromptPart]) -> u64 {
        let held = prompt
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        held.map(|part| u64::from(part.tokens)).sum()
    }

    /// Records that the worker processes a prompt. The least recently used parts are evicted when
    /// the capacity is exceeded.
    pub fn record_prompt(&mut self, prompt: &[PromptPart]) {
        for part in prompt {
            self.sequence += 1;
            let used = self.sequence;
            let held = self.parts.entry(part.id).or_insert_with(|| {
                self.held += u64::from(part.tokens);
                Held {
                    tokens: part.tokens,
                    used,
                }
            });
            held.used = used;
        }
        if self.held > self.capacity {
            self.evict();
        }
    }

    /// Evicts the least recently used parts down to three quarters of the capacity, so that the
    /// scan of all parts is rare.
    fn evict(&mut self) {
        let mut by_use: Vec<(u64, u64)> = self
            .parts
            .iter()
            .map(|(id, held)| (held.used, *id))
            .collect();
        by_use.sort_unstable();
        let target = self.capacity / 4 * 3;
        for (_, id) in by_use {
            if self.held <= target {
                return;
            }
            if let Some(held) = self.parts.remove(&id) {
                self.held -= u64::from(held.tokens);
            }
        }
    }
}
