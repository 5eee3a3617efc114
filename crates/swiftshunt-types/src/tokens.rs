//! Numbers of tokens.

/// The sum of numbers that callers name, who may name any: the largest number where it would pass that.
pub fn total_tokens(numbers: impl IntoIterator<Item = u64>) -> u64 {
    numbers.into_iter().fold(0, u64::saturating_add)
}
