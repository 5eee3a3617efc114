//! The swiftshunt node: connects the crates whose logic does no I/O to sockets, clocks and the platform.

mod api;
mod batch;
mod clock;
mod context;
mod decisions;
mod fleet;
mod ledger;
mod lifecycle;
mod limiter;
mod metrics;
mod node;
mod online;
mod operator;
mod peer;
mod submissions;

pub use node::{RunningNode, StartError, start};

/// Locks a mutex, also if a thread panicked while it held the lock: every critical section keeps the
/// data consistent at each step, so the data is still valid.
fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
