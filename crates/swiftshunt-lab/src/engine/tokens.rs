//! The engine's "model": a pure function from prompt and index to text, so that a test knows every
//! answer to the byte.

use std::hash::{DefaultHasher, Hash, Hasher};

use swiftshunt_backends::engine::FinishReason;

const VOCABULARY: [&str; 16] = [
    "desk", "meter", "zone", "lot", "split", "rijeka", "osijek", "galle", "matara", "reading",
    "plan", "seat", "bill", "gate", "floor", "reply",
];
const MIN_ANSWER_TOKENS: u64 = 16;
const ANSWER_LENGTH_RANGE: u64 = 48;

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The text of the token at `index` of the answer to `prompt`.
pub fn token_text(prompt: &str, index: u32) -> String {
    let hashed = hash((prompt, index));
    let word = VOCABULARY[(hashed % VOCABULARY.len() as u64) as usize];
    format!("{word}{} ", hashed >> 48)
}

/// How many tokens the whole answer to `prompt` has.
pub fn natural_length(prompt: &str) -> u32 {
    (MIN_ANSWER_TOKENS + hash(prompt) % ANSWER_LENGTH_RANGE) as u32
}

/// The whole answer to `prompt` within `max_tokens`.
pub fn expected_answer(prompt: &str, max_tokens: u32) -> (String, FinishReason) {
    let natural = natural_length(prompt);
    let length = natural.min(max_tokens);
    let text = (0..length).map(|index| token_text(prompt, index)).collect();
    let finish = if natural <= max_tokens {
        FinishReason::Stop
    } else {
        FinishReason::Length
    };
    (text, finish)
}
