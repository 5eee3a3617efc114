//! Batch jobs. Items and results are stored in log streams; the ledger holds each job's status,
//! completed items and deadline.

use serde::{Deserialize, Serialize};
use swiftshunt_types::{FileId, JobId, ModelName, TenantName};

use super::ItemBitmap;

/// The parameters of a job at its creation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewJob {
    /// Identifier, derived from the idempotency key or drawn at random if there is none.
    pub id: JobId,
    /// The tenant that owns the job.
    pub tenant: TenantName,
    /// The input file, which holds the items.
    pub input: FileId,
    /// The output file, which receives the results.
    pub output: FileId,
    /// The API endpoint that each item calls.
    pub endpoint: String,
    /// Number of items in the input file.
    pub items: u32,
    /// The model that most items name; used only for planning.
    pub model: Option<ModelName>,
    /// Deadline in seconds of Unix time. Orders jobs by urgency; missing it does not change an
    /// outcome.
    pub deadline: u64,
    /// Time of creation in seconds of Unix time; used only for display.
    pub created: u64,
}

/// The status of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// Items may start.
    Running,
    /// Every item is recorded as completed.
    Completed,
    /// Cancelled on request; no further item starts.
    Cancelled {
        /// Who requested the cancellation.
        by: String,
    },
}

/// A job as recorded in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The parameters given at creation; only the deadline may change later.
    pub request: NewJob,
    /// The current status.
    pub status: JobStatus,
    /// Items whose results are in the output file.
    pub done: ItemBitmap,
    /// Increases when the job is cancelled or its deadline changes; starts at 1.
    pub revision: u64,
}

/// The outcome of [`Command::CancelJob`](super::Command::CancelJob).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelOutcome {
    /// This command cancelled the job.
    Cancelled,
    /// The job had been cancelled before.
    AlreadyCancelled {
        /// Who requested the earlier cancellation.
        by: String,
    },
    /// The job had completed before.
    AlreadyCompleted,
    /// The job does not exist.
    NotFound,
}

/// The outcome of a command that creates or changes a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// The command took effect.
    Done,
    /// A job with the same identifier, input file and endpoint exists; nothing changed.
    Existing,
    /// The identifier belongs to a job with another input file or endpoint.
    KeyReused,
    /// The job had ended before, with this status; nothing changed.
    Ended(JobStatus),
    /// The job does not exist.
    NotFound,
}

impl Job {
    /// Whether items may start.
    pub fn is_running(&self) -> bool {
        self.status == JobStatus::Running
    }

    pub(super) fn new(request: NewJob) -> Self {
        let status = if request.items == 0 {
            JobStatus::Completed
        } else {
            JobStatus::Running
        };
        Self {
            done: ItemBitmap::new(request.items),
            request,
            status,
            revision: 1,
        }
    }

    pub(super) fn complete_items(&mut self, items: &[u32]) -> JobOutcome {
        if self.status != JobStatus::Running {
            return JobOutcome::Ended(self.status.clone());
        }
        for item in items {
            self.done.insert(*item);
        }
        if self.done.count() == self.request.items {
            self.status = JobStatus::Completed;
        }
        JobOutcome::Done
    }

    pub(super) fn cancel(&mut self, by: &str) -> CancelOutcome {
        match &self.status {
            JobStatus::Completed => CancelOutcome::AlreadyCompleted,
            JobStatus::Cancelled { by } => CancelOutcome::AlreadyCancelled { by: by.clone() },
            JobStatus::Running => {
                self.status = JobStatus::Cancelled { by: by.to_owned() };
                self.revision += 1;
                CancelOutcome::Cancelled
            }
        }
    }

    pub(super) fn set_deadline(&mut self, deadline: u64) -> JobOutcome {
        if self.status != JobStatus::Running {
            return JobOutcome::Ended(self.status.clone());
        }
        self.request.deadline = deadline;
        self.revision += 1;
        JobOutcome::Done
    }
}
