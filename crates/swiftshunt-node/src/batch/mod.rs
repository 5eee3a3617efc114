//! Batch jobs: files in log streams, and items that run on capacity that online requests leave free.

mod files;
mod grants;
mod item;
mod job;
mod slots;

pub(crate) use files::{FileError, FileInfo, FilePurpose, read_content, read_info, store};
pub(crate) use grants::{GrantRequest, Granter, renew_grants};
pub(crate) use job::run_job;
pub(crate) use slots::BatchState;
