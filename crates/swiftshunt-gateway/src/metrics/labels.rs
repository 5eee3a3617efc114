//! By what the figures of a gateway are told apart.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use swiftshunt_routing::Rejected;
use swiftshunt_scheduler::admission::Obstacle;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RequestEnd {
    /// The worker's answer was passed on.
    Answered,
    /// It did not run, and the caller was told when to come back.
    Refused,
    /// It may have run; nothing is promised.
    Failed,
    /// The caller left first.
    Abandoned,
}

/// Labels of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) route: String,
    pub(crate) end: RequestEnd,
}

/// Who decided where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum SlotAnswer {
    /// The owner of the cell.
    Assigned,
    /// This gateway, which owns the cell.
    Own,
    /// This gateway: it owns the cell and knows of nobody else's requests.
    Alone,
    /// This gateway: the owner did not answer in time.
    Late,
    /// Nobody yet: the cell has no slot.
    Full,
    /// This gateway: the owner knows none of the workers.
    Unknown,
}

/// Why a caller is refused and told when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Refusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// No worker of the service takes new work.
    NoWorker,
    /// No worker could be reached from here.
    Unreachable,
    /// The workers have no room.
    Full,
    /// The time of the request was over.
    OutOfTime,
    /// What must last cannot be recorded.
    LogAway,
    /// A limit of the route is reached.
    Limit,
    /// It is not known whether a limit of the route is reached.
    LimitUnsure,
    /// This gateway stops.
    Stopping,
    /// The limit of the tenant's requests is reached.
    RateLimit,
    /// The gateway that counts the tenant's requests does not answer.
    RateUnsure,
    /// The configuration could not be confirmed for too long.
    Unconfirmed,
    /// Workers ended while they ran the same request.
    Held,
    /// All zones to which it may go are evacuated.
    Evacuated,
    /// Nothing that it needs stands in a region in which it may be handled.
    OutsideResidency,
}

impl From<Obstacle> for Refusal {
    fn from(obstacle: Obstacle) -> Self {
        match obstacle {
            Obstacle::NoWorker => Self::NoWorker,
            Obstacle::Unreachable => Self::Unreachable,
            Obstacle::Full => Self::Full,
            Obstacle::Evacuated { .. } => Self::Evacuated,
            Obstacle::OutsideResidency => Self::OutsideResidency,
        }
    }
}

/// Labels of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RefusalLabels {
    pub(crate) reason: Refusal,
}

/// Labels of a question for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SlotLabels {
    pub(crate) answer: SlotAnswer,
}

/// What a slot is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum SlotUse {
    /// A request that a caller waits for.
    Online,
    /// A batch item.
    Batch,
    /// Nothing.
    Free,
}

/// How a question about a tenant's limit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RateAnswer {
    /// This gateway counts.
    Own,
    /// The counter gave credits.
    Granted,
    /// The limit is reached.
    Exhausted,
    /// Another gateway counts, or may.
    NotCounter,
    /// Nobody was asked: the request was let in by this gateway's share alone.
    Alone,
    /// The counter did not answer.
    Silent,
}

/// Labels of a question about a tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RateLabels {
    pub(crate) answer: RateAnswer,
}

/// What a decision about a batch job and its route's limit rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Basis {
    /// All that stands was known to the gateway that counts.
    Counted,
    /// The share of a gateway that has just begun to count.
    Share,
    /// Nothing: nobody told in time.
    Nothing,
}

/// Labels of a decision about a batch job and its route's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct LimitLabels {
    pub(crate) basis: Basis,
    /// 1 where the job fits, 0 where it does not.
    pub(crate) fits: u8,
}

/// Labels of what concerns a zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ZoneLabels {
    pub(crate) zone: String,
}

/// Labels of what concerns a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TenantLabels {
    pub(crate) tenant: String,
}

/// Labels of a caller that was turned away by what it showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RejectedLabels {
    pub(crate) reason: RejectedKey,
}

/// Why a caller's key is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RejectedKey {
    /// There is none.
    Missing,
    /// It is no key.
    Unreadable,
    /// No tenant has it.
    Unknown,
}

impl From<Rejected> for RejectedKey {
    fn from(rejected: Rejected) -> Self {
        match rejected {
            Rejected::NoKey => Self::Missing,
            Rejected::Unreadable => Self::Unreadable,
            Rejected::UnknownKey => Self::Unknown,
        }
    }
}

/// Labels of slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct UseLabels {
    pub(crate) used: SlotUse,
}

/// Labels of an attempt at a worker, or of an append.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    pub(crate) outcome: String,
}
