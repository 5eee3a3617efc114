//! The book of a cell: exact loads, one item aside for each request that would wait, grants by
//! urgency, and what lost, doubled and late messages do to it.

mod accounts;
mod cells;
mod elsewhere;
mod failing;
mod grants;
mod healing;
mod prompts;
mod requests;
mod support;
