//! The journal: durable records in the partitions of an append-only log that keeps the newest record of each key.
//!
//! Each journal record has a key of its own, so the newest records of all keys are the complete journal even if the
//! log keeps only a short history. Records that are no longer needed are dropped by key. State is the fold of a
//! partition's records in the order of their offsets.

mod assembly;
mod bulk_window;
mod keyed_view;
mod log;
mod tail_window;

pub use assembly::{Assembly, FramingError, LogicalRecord, frames, record_prefix};
pub use bulk_window::BulkWindow;
pub use keyed_view::{Change, KeyedView};
pub use log::{AppendOutcome, KeyedRecord, Lease, Log, LogError, NewestPage, ReadOutcome, Topic};
pub use tail_window::{TailPart, TailWindow, relevant_records};
