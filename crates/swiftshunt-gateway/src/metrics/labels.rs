//! Labels of a gateway's metrics.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use swiftshunt_http::StreamEnd;
use swiftshunt_routing::Rejected;
use swiftshunt_scheduler::admission::Obstacle;
use swiftshunt_scheduler::origins::resolution::UnknownOrigin;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RequestEnd {
    /// The worker's answer was passed on.
    Answered,
    /// The request did not run, and its answer states when to retry.
    Refused,
    /// The request may have run.
    Failed,
    /// The caller disconnected before the answer was complete.
    Abandoned,
}

/// Labels of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) route: String,
    pub(crate) end: RequestEnd,
}

/// Labels of a worker's stream whose body ended without an error.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StreamEndLabels {
    /// What ended the body.
    pub(crate) framing: String,
    /// What the end says about the stream.
    pub(crate) end: StreamEndKind,
}

/// What the end of a worker's stream says about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum StreamEndKind {
    /// It is complete.
    Complete,
    /// It ended with its connection, behind an event.
    Unconfirmed,
    /// It broke off.
    BrokenOff,
}

impl From<StreamEnd> for StreamEndKind {
    fn from(end: StreamEnd) -> Self {
        match end {
            StreamEnd::Complete => Self::Complete,
            StreamEnd::Unconfirmed => Self::Unconfirmed,
            StreamEnd::BrokenOff(_) => Self::BrokenOff,
        }
    }
}

/// How the slot of a request was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum SlotAnswer {
    /// Another gateway, the owner of the cell, assigned a slot.
    Assigned,
    /// This gateway decided as owner of the cell.
    Own,
    /// This gateway owns the cell but lacks the reports of other gateways, so it chose a worker by its own view.
    Alone,
    /// This gateway chose a worker by its own view, since the owner did not answer in time.
    Late,
    /// The owner assigned no slot yet, since the cell has no free one.
    Full,
    /// This gateway chose a worker by its own view, since the owner knows none of the workers.
    Unknown,
}

/// Why a request is refused with a time to retry after.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Refusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// No worker of the service accepts new requests.
    NoWorker,
    /// No worker could be reached from here.
    Unreachable,
    /// The workers have no free slot.
    Full,
    /// The request's deadline passed.
    OutOfTime,
    /// The log is unavailable, so a record that must be durable cannot be written.
    LogAway,
    /// A limit of the route is reached.
    Limit,
    /// It is not known whether a limit of the route is reached.
    LimitUnsure,
    /// This gateway is shutting down.
    Stopping,
    /// The request rate limit of the tenant is reached.
    RateLimit,
    /// The gateway that counts the tenant's requests does not answer.
    RateUnsure,
    /// The configuration could not be confirmed for too long.
    Unconfirmed,
    /// The request is quarantined, since workers ended while they ran it.
    Held,
    /// All zones to which the request may be sent are evacuated.
    Evacuated,
    /// No worker or gateway that the request needs is in a region in which the request may be handled.
    OutsideResidency,
    /// No worker has the service and software version that began the stream.
    OriginGone,
    /// It is not known which service and software version began the stream.
    OriginUnknown,
    /// The bodies of requests take all memory that they may take.
    NoMemory,
    /// The body was not complete in time.
    IncompleteBody,
}

impl From<Obstacle> for Refusal {
    fn from(obstacle: Obstacle) -> Self {
        match obstacle {
            Obstacle::NoWorker => Self::NoWorker,
            Obstacle::Unreachable => Self::Unreachable,
            Obstacle::Full => Self::Full,
            Obstacle::Evacuated { .. } => Self::Evacuated,
            Obstacle::OutsideResidency => Self::OutsideResidency,
            Obstacle::OriginGone => Self::OriginGone,
        }
    }
}

/// What an accepted item without a result waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum ItemWait {
    /// The lease of its partition is new, and the previous holder may still write its progress.
    NewLease,
    /// The state of its partition that is known here is not recent.
    RecentState,
    /// As many items of its service run here as the service has slots.
    Capacity,
    /// Other items were started before it.
    Start,
    /// The configuration known here is older than the one by which its job was accepted.
    Configuration,
    /// It may not be sent from this region.
    Region,
    /// The read of its body from the journal.
    Body,
    /// A worker's slot.
    Slot,
    /// The pause after a failed attempt.
    Retry,
    /// A worker's answer.
    Answer,
    /// The next event of a worker's stream.
    Event,
    /// The append of its result.
    Append,
    /// The read of its result from the journal.
    ReadBack,
}

/// Labels of stalled items.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StallLabels {
    pub(crate) waits_for: ItemWait,
}

/// Labels of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RefusalLabels {
    pub(crate) reason: Refusal,
}

/// Labels of a slot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SlotLabels {
    pub(crate) answer: SlotAnswer,
}

/// What showed which version began a stream that a caller takes up, or why that is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum OriginSource {
    /// This gateway has a record of the stream.
    OwnRecord,
    /// Another gateway has a record of the stream.
    PeerRecord,
    /// One version alone has served for long enough, by a view that the log confirmed.
    SoleVersion,
    /// No gateway of the region knows of another version, and the log does not answer.
    AllGateways,
    /// One version serves, and no mark in the log says that another has served a short time ago.
    NoMark,
    /// Records contradict each other.
    Conflicting,
    /// Several versions may have begun the stream, and no gateway that answered has a record.
    Several,
    /// No gateway that answered knows which versions have served.
    Unsure,
}

impl From<UnknownOrigin> for OriginSource {
    fn from(unknown: UnknownOrigin) -> Self {
        match unknown {
            UnknownOrigin::Conflicting => Self::Conflicting,
            UnknownOrigin::Several => Self::Several,
            UnknownOrigin::Unsure => Self::Unsure,
        }
    }
}

/// Why a gateway suspends its leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum SuspensionReason {
    /// It cannot read a leased partition, and another gateway can.
    UnreadablePartitions,
    /// No worker of a service answers it, and other gateways fare better.
    UnreachedWorkers,
    /// It does not learn of the configuration by which a job was accepted.
    OutdatedConfiguration,
}

/// Labels of a suspension of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SuspensionLabels {
    pub(crate) reason: SuspensionReason,
}

/// Labels of a stream that a caller takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TakeUpLabels {
    pub(crate) origin: OriginSource,
}

/// What a slot is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum SlotUse {
    /// An online request.
    Online,
    /// A batch item.
    Batch,
    /// The slot is free.
    Free,
}

/// How a check of a tenant's rate limit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RateAnswer {
    /// This gateway counts the tenant's requests itself.
    Own,
    /// The gateway that counts granted credits.
    Granted,
    /// The limit is reached.
    Exhausted,
    /// The gateway that received the call does not count the tenant's requests, or not yet.
    NotCounter,
    /// No counting gateway answered, and this gateway admitted the request within its own share of the limit; or the
    /// counting gateway answered that this gateway is to decide by its own share.
    Alone,
    /// The gateway that counts did not answer.
    Silent,
}

/// Labels of a check of a tenant's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RateLabels {
    pub(crate) answer: RateAnswer,
}

/// Basis of the decision whether a batch job fits into its route's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Basis {
    /// The counting gateway knew all waiting tokens.
    Counted,
    /// The counting gateway has just begun to count and admits jobs only within a share of the limit.
    Share,
    /// No information arrived in time.
    Nothing,
}

/// Labels of the decision whether a batch job fits into its route's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct LimitLabels {
    pub(crate) basis: Basis,
    /// 1 where the job fits, 0 where it does not.
    pub(crate) fits: u8,
}

/// Labels of metrics per zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ZoneLabels {
    pub(crate) zone: String,
}

/// Labels of metrics per tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TenantLabels {
    pub(crate) tenant: String,
}

/// Labels of a caller whose key was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RejectedLabels {
    pub(crate) reason: RejectedKey,
}

/// Why a caller's key is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RejectedKey {
    /// The request has no key.
    Missing,
    /// The text is not a well-formed key.
    Unreadable,
    /// The key belongs to no tenant.
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

/// Labels of slots by use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct UseLabels {
    pub(crate) used: SlotUse,
}

/// Labels of an attempt at a worker, an append or a batch item.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    pub(crate) outcome: String,
}
