//! Which prompt parts a worker's memory is believed to hold.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// One part of a prompt: parts are shared between prompts, and count only if every part before them
/// is there as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Names the part's content.
    pub id: u64,
    /// Its size.
    pub tokens: u32,
}

/// The parts that one worker read lately, within its memory.
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
    /// Nothing held yet, in a memory of `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            held: 0,
            sequence: 0,
            parts: HashMap::new(),
        }
    }

    /// Tokens at the beginning of a prompt that need not be read again.
    pub fn cached_tokens(&self, prompt: &[PromptPart]) -> u64 {
        let held = prompt
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        held.map(|part| u64::from(part.tokens)).sum()
    }

    /// Records that the worker reads a prompt; what was unused longest gives way.
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

    /// Shrinks to three quarters of the memory, so that scans are rare.
    fn evict(&mut self) {
        let mut by_use: Vec<(u64, u64)> = self
            .parts
            .iter()
            .map(|(id, held)| (held.used, *id))
            .collect();
        by_use.sort_unstable();
        let goal = self.capacity / 4 * 3;
        for (_, id) in by_use {
            if self.held <= goal {
                return;
            }
            if let Some(held) = self.parts.remove(&id) {
                self.held -= u64::from(held.tokens);
            }
        }
    }
}
