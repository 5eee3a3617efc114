//! The text that the engine stand-in generates: a pure function of prompt and token index, so that a test can
//! compute the exact output of every request.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use swiftshunt_backends::engine::FinishReason;
use swiftshunt_types::SoftwareVersion;

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

/// Returns the text of the token at `index` of the output for `prompt`.
pub fn token_text(prompt: &str, index: u32) -> String {
    let hashed = hash((prompt, index));
    let word = VOCABULARY[(hashed % VOCABULARY.len() as u64) as usize];
    format!("{word}{} ", hashed >> 48)
}

/// Separates the text of a token from the software version that generated it.
const VERSION_SEPARATOR: char = '@';

/// Returns the text of a token that an engine of a software version generates.
pub fn versioned_token_text(prompt: &str, index: u32, software: &SoftwareVersion) -> String {
    let text = token_text(prompt, index);
    format!("{}{VERSION_SEPARATOR}{software} ", text.trim_end())
}

/// Returns the software versions that generated the tokens of a text, without repetitions.
pub fn versions_in(text: &str) -> BTreeSet<&str> {
    let versions = text
        .split_whitespace()
        .filter_map(|token| token.rsplit_once(VERSION_SEPARATOR));
    versions.map(|(_, version)| version).collect()
}

/// Returns the number of tokens of the complete output for `prompt`, from 16 to 63.
pub fn natural_length(prompt: &str) -> u32 {
    (MIN_ANSWER_TOKENS + hash(prompt) % ANSWER_LENGTH_RANGE) as u32
}

/// Returns the output for `prompt`, cut off after `max_tokens`, and the finish reason.
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
