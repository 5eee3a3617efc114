//! Prefix affinity: requests that share a prompt prefix go to the same worker, so that its prefix
//! cache is used, unless that worker carries more than its share.

use std::hash::{DefaultHasher, Hash, Hasher};

use swiftshunt_types::WorkerId;

/// Returns the hash of the first `block` characters of a prompt, which decides the worker that
/// requests with this prefix prefer.
pub fn prefix_hash(prompt: &str, block: usize) -> u64 {
    let head: String = prompt.chars().take(block).collect();
    let mut hasher = DefaultHasher::new();
    head.hash(&mut hasher);
    hasher.finish()
}

/// Returns the rendezvous weight of a worker for a prefix, which does not change when other workers
/// come and go.
pub fn rendezvous_weight(prefix: u64, worker: &WorkerId) -> u64 {
    let mut hasher = DefaultHasher::new();
    prefix.hash(&mut hasher);
    worker.hash(&mut hasher);
    hasher.finish()
}
