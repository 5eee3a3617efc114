//! Parsed statements of the operator language.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A statement of the operator language.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Statement {
    /// Reads a table.
    Show(Show),
    /// Shows the decisions about an object, with the time, place and reason of each.
    Explain {
        /// Kind of the object.
        subject: ExplainSubject,
        /// Identifier of the object.
        id: String,
    },
    /// Cancels a batch job.
    CancelJob {
        /// Identifier of the job.
        job: String,
    },
    /// Gives no new work to a node or worker, which then finishes its current work.
    Drain {
        /// Whether a node or a worker is drained.
        subject: DrainSubject,
        /// Identifier of the node or worker.
        id: String,
    },
    /// Announces expected demand during a period.
    CreateEvent {
        /// Name of the event.
        name: String,
        /// Pool that will receive the requests.
        pool: String,
        /// Start of the event: a date and time, or `+DURATION` from now.
        start: String,
        /// Duration of the event.
        lasting: Duration,
        /// Expected requests per second.
        requests_per_second: u64,
    },
    /// Creates a serving target: a number of engines that must have a model loaded by a given time.
    CreateTarget {
        /// Name of the target.
        name: String,
        /// Pool whose engines load the model.
        pool: String,
        /// Model to load.
        model: String,
        /// Number of engines in each zone.
        replicas: u64,
        /// Time by which the engines must be ready: a date and time, or `+DURATION` from now.
        ready_by: String,
    },
    /// Creates a batch job for a tenant from an uploaded file.
    CreateJob {
        /// Tenant that owns the job.
        tenant: String,
        /// Identifier of the uploaded file.
        input: String,
        /// Time from now to the deadline of the job.
        within: Duration,
    },
    /// Removes an event.
    DropEvent {
        /// Name of the event.
        name: String,
    },
    /// Removes a serving target.
    DropTarget {
        /// Name of the target.
        name: String,
    },
    /// Sets a new deadline for a batch job.
    SetJobDeadline {
        /// Identifier of the job.
        job: String,
        /// Time from now to the new deadline.
        within: Duration,
    },
}

/// A `show` statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Show {
    /// Table to read.
    pub table: TableName,
    /// Conditions that a row must all satisfy.
    pub conditions: Vec<Condition>,
    /// Order of the rows; `None` keeps the order of the table.
    pub ordering: Option<Ordering>,
    /// Maximum number of rows; `None` means no limit.
    pub limit: Option<u64>,
}

/// A table that `show` can read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableName {
    /// Nodes.
    #[display("nodes")]
    Nodes,
    /// Workers.
    #[display("workers")]
    Workers,
    /// Batch jobs.
    #[display("jobs")]
    Jobs,
    /// Items of batch jobs.
    #[display("items")]
    Items,
    /// Announced events.
    #[display("events")]
    Events,
    /// Serving targets.
    #[display("targets")]
    Targets,
    /// Fleet configuration in force at each node.
    #[display("configuration")]
    Configuration,
    /// Partitions of the ledger.
    #[display("partitions")]
    Partitions,
    /// Submissions.
    #[display("submissions")]
    Submissions,
    /// Load orders given to engines.
    #[display("orders")]
    Orders,
}

/// A condition on a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Name of the column.
    pub column: String,
    /// Comparison operator.
    pub comparison: Comparison,
    /// Value to compare the column with.
    pub value: String,
}

/// A comparison operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
    /// `contains`
    Contains,
}

/// An `order by` clause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ordering {
    /// Name of the column to sort by.
    pub column: String,
    /// Sort direction.
    pub direction: Direction,
}

/// Sort direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Direction {
    /// Smallest value first.
    #[default]
    Ascending,
    /// Largest value first.
    Descending,
}

/// Kind of object that `explain` accepts.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExplainSubject {
    /// An online request.
    #[display("request")]
    Request,
    /// A batch job.
    #[display("job")]
    Job,
    /// A worker.
    #[display("worker")]
    Worker,
    /// A load order.
    #[display("order")]
    Order,
    /// A submission.
    #[display("submission")]
    Submission,
    /// A partition of the ledger.
    #[display("partition")]
    Partition,
    /// A serving target.
    #[display("target")]
    Target,
}

/// Kind of object that `drain` accepts.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainSubject {
    /// A node.
    #[display("node")]
    Node,
    /// A worker.
    #[display("worker")]
    Worker,
}
