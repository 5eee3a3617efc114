//! Slot allocator of a cell: exact loads, preemption of one item for each request that would wait,
//! grants by urgency, and the effects of lost, duplicate and late messages.

mod cells;
mod failing;
mod grants;
mod healing;
mod prompts;
mod remote_capacity;
mod reports;
mod requests;
mod support;
