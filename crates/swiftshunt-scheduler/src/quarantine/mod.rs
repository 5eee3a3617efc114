//! Requests that end the workers that run them: by what they are known, and whether they may be sent.

mod fingerprint;

pub use fingerprint::{Fingerprint, Tried};
