//! Which service and software version began a stream, so that a caller who takes it up at any gateway goes on there.
//!
//! What two software versions write does not fit together, and workers do not check who began a stream. A gateway
//! remembers the streams that it began and those that others reported to it ([`table`]), under keys that name the
//! caller and the first attempt ([`key`]). While a single version serves, no records are needed: the versions that have
//! served are the evidence ([`resolution`], [`crate::software`]).

pub mod key;
pub mod resolution;
pub mod table;
