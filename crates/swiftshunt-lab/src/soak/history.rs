//! What callers, operators and workers saw in a round. Times are milliseconds from its start.

use serde::{Deserialize, Serialize};

use super::disturbances::Disturbance;
use crate::platform::worker::RunEvent;

/// Kinds of online requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnlineKind {
    /// A whole answer that may be repeated.
    Ask,
    /// A whole answer that may not.
    Once,
    /// A stream that may be resumed.
    Stream,
    /// A stream that may not.
    StreamOnce,
    /// A request on a route that a configuration brought.
    Marker {
        /// Its version.
        version: u64,
    },
}

/// How a caller's call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// An answer.
    Answered {
        /// Its status.
        status: u16,
        /// Whether its body is the worker's whole answer to this request; of successes alone.
        whole: bool,
    },
    /// The connection ended without a whole answer.
    Broken,
    /// Nothing came for as long as the caller waited.
    Unanswered,
    /// The caller closed the connection before there was an answer.
    Left,
}

impl Ending {
    /// The status, if there was an answer.
    pub fn status(self) -> Option<u16> {
        match self {
            Self::Answered { status, .. } => Some(status),
            Self::Broken | Self::Unanswered | Self::Left => None,
        }
    }
}

/// An online request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnlineCall {
    /// Its identifier.
    pub id: String,
    /// Its path.
    pub path: String,
    /// Its kind.
    pub kind: OnlineKind,
    /// The gateway that it was sent to.
    pub gateway: usize,
    /// The start of that gateway's process, counted from 0, when it was sent.
    #[serde(rename = "life")]
    pub generation: usize,
    /// When it was sent.
    pub sent: u64,
    /// When it ended.
    pub ended: u64,
    /// The time that it allowed.
    pub deadline: u64,
    /// How it ended.
    pub ending: Ending,
}

/// One try to hand a job in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The gateway.
    pub gateway: usize,
    /// When it was sent.
    pub sent: u64,
    /// When it ended.
    pub ended: u64,
    /// The status, if there was an answer.
    pub status: Option<u16>,
}

/// A result as it was listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    /// The item.
    pub item: String,
    /// Whether it completed.
    pub completed: bool,
    /// Its output.
    pub text: String,
}

/// An answer to a question for results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// The gateway.
    pub gateway: usize,
    /// When it was sent.
    pub sent: u64,
    /// When it ended.
    pub ended: u64,
    /// The first position that was asked for.
    pub from: usize,
    /// The status, if there was an answer.
    pub status: Option<u16>,
    /// Items of the job, as told.
    pub total: usize,
    /// The results from that position on.
    pub results: Vec<ListedResult>,
}

/// A batch job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHistory {
    /// Its identifier.
    pub id: String,
    /// Identifiers of its items.
    pub items: Vec<String>,
    /// Tries to hand it in.
    pub submissions: Vec<Submission>,
    /// When an end of it was acknowledged first.
    #[serde(rename = "ended")]
    pub cancelled_at: Option<u64>,
    /// Whether an end of it was asked for.
    #[serde(rename = "end_asked")]
    pub cancel_requested: bool,
    /// What was listed.
    pub readings: Vec<Reading>,
    /// What every gateway listed when all was over.
    pub final_readings: Vec<Reading>,
}

impl JobHistory {
    /// When it was accepted first.
    pub fn accepted(&self) -> Option<u64> {
        let accepted = self.submissions.iter().filter(|it| it.status == Some(202));
        accepted.map(|it| it.ended).min()
    }
}

/// What a worker told of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// What happened.
    pub event: RunEvent,
    /// The worker.
    pub incarnation: String,
    /// The request.
    pub id: String,
    /// Its path.
    pub path: String,
    /// When.
    pub at: u64,
}

/// A configuration that was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedConfiguration {
    /// Its version; there is a route of that number from this version on.
    pub version: u64,
    /// When the store acknowledged it.
    pub at: u64,
}

/// A worker whose leaving was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerDrain {
    /// The worker.
    pub incarnation: String,
    /// When the store acknowledged it.
    pub at: u64,
}

/// A planned stop of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// The gateway.
    pub gateway: usize,
    /// When SIGTERM was sent.
    pub at: u64,
    /// When the process had ended.
    pub ended: u64,
}

/// Where a worker stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLocation {
    /// The worker.
    pub incarnation: String,
    /// Its zone.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
}

/// A time for which a worker is cold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdPeriod {
    /// The worker.
    pub incarnation: String,
    /// Requests that it bears a second.
    pub per_second: f64,
    /// From when; its entry has told of it.
    pub from: u64,
    /// Until when.
    pub to: u64,
}

/// An evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The zone.
    pub zone: String,
    /// When the store acknowledged it.
    pub at: u64,
    /// When its withdrawal was asked for, if it was.
    pub withdrawn: Option<u64>,
}

/// A path whose requests may be served in some regions alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidencyRule {
    /// How paths of the route begin.
    pub path_prefix: String,
    /// The regions.
    pub regions: Vec<String>,
}

/// A round.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Online requests.
    pub online: Vec<OnlineCall>,
    /// Jobs.
    pub jobs: Vec<JobHistory>,
    /// Runs, in the order in which workers told of them.
    pub runs: Vec<RunRecord>,
    /// Configurations.
    pub configurations: Vec<PublishedConfiguration>,
    /// Workers that left.
    #[serde(rename = "leaving")]
    pub drains: Vec<WorkerDrain>,
    /// Where workers stand; none in a round of one zone.
    #[serde(default)]
    #[serde(rename = "places")]
    pub worker_locations: Vec<WorkerLocation>,
    /// When workers were cold.
    #[serde(default)]
    #[serde(rename = "cold")]
    pub cold_periods: Vec<ColdPeriod>,
    /// Evacuations.
    #[serde(default)]
    pub evacuations: Vec<Evacuation>,
    /// Where requests may be served.
    #[serde(default)]
    #[serde(rename = "residences")]
    pub residency_rules: Vec<ResidencyRule>,
    /// Tokens of unfinished items that may wait on the batch route, if there is a limit.
    #[serde(default)]
    #[serde(rename = "waiting_limit")]
    pub queue_limit: Option<u64>,
    /// Planned stops.
    pub stops: Vec<PlannedStop>,
    /// Gateways whose process ended without being told to.
    #[serde(rename = "own_ends")]
    pub unexpected_exits: Vec<usize>,
    /// What was disturbed, and when.
    pub disturbances: Vec<Disturbance>,
}
