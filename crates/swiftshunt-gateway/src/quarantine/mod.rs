//! Requests that end the workers that run them.

mod ends;
mod subject;

pub(crate) use ends::WorkerEnds;
pub(crate) use subject::Subject;
