//! Sums of token counts.

/// Returns the sum of `counts`, or `u64::MAX` on overflow. Callers state these counts and may state any value.
pub fn total_tokens(counts: impl IntoIterator<Item = u64>) -> u64 {
    counts.into_iter().fold(0, u64::saturating_add)
}
