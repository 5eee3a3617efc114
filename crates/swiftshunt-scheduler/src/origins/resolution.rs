//! Decides what a stream that a caller takes up is bound to, from what gateways know of it.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use swiftshunt_types::OutputOrigin;

/// What a gateway without a record of a stream knows of the versions that may have begun it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// No other version has served the stream's route since before the stream can have begun, up to a recent read of the
    /// directory.
    Sole(OutputOrigin),
    /// The same, up to the last time at which the gateway read the directory, which was not recently.
    SoleBefore(OutputOrigin),
    /// Several versions may have begun it.
    Several,
    /// The gateway has not watched the directory for long enough.
    Unsure,
}

impl Evidence {
    /// Returns the only version that has served, as far as the gateway knows.
    pub fn sole_origin(&self) -> Option<&OutputOrigin> {
        match self {
            Self::Sole(origin) | Self::SoleBefore(origin) => Some(origin),
            Self::Several | Self::Unsure => None,
        }
    }
}

/// What a gateway knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginKnowledge {
    /// The gateway, or another one that told it, began the stream at this version.
    Recorded(OutputOrigin),
    /// The records of the stream contradict each other.
    Conflicting,
    /// The gateway has no record of the stream.
    Unrecorded(Evidence),
}

/// The reason why a stream cannot be continued.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum UnknownOrigin {
    /// Records contradict each other.
    #[display("records of its first attempt contradict each other")]
    Conflicting,
    /// No gateway that answered has a record, and several versions may have begun the stream.
    #[display(
        "several versions may have begun it, and no gateway that answered has a record of it"
    )]
    Several,
    /// No gateway that answered has a record or has watched the directory for long enough.
    #[display("no gateway that answered has a record of it or knows which versions have served")]
    Unsure,
}

/// What follows from the knowledge of gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A record names what began the stream.
    Recorded(OutputOrigin),
    /// No gateway has a record, and those that know which versions have served know of this one alone. Other gateways may
    /// have learned of another version since they read the directory, so that this alone does not bind the stream.
    Sole(OutputOrigin),
}

/// Finds what began a stream, from the knowledge of the gateways that were asked and of the asking one. A record decides;
/// without one, the versions that served are evidence. A gateway that knows of several outweighs others.
pub fn resolve(knowledge: &[OriginKnowledge]) -> Result<Finding, UnknownOrigin> {
    let mut recorded = BTreeSet::new();
    let mut sole = BTreeSet::new();
    let mut has_several = false;
    for known in knowledge {
        match known {
            OriginKnowledge::Conflicting => return Err(UnknownOrigin::Conflicting),
            OriginKnowledge::Recorded(origin) => drop(recorded.insert(origin)),
            OriginKnowledge::Unrecorded(Evidence::Several) => has_several = true,
            OriginKnowledge::Unrecorded(evidence) => sole.extend(evidence.sole_origin()),
        }
    }
    if recorded.len() > 1 {
        return Err(UnknownOrigin::Conflicting);
    }
    if let Some(origin) = recorded.pop_first() {
        return Ok(Finding::Recorded(origin.clone()));
    }
    if has_several || sole.len() > 1 {
        return Err(UnknownOrigin::Several);
    }
    let origin = sole.pop_first().ok_or(UnknownOrigin::Unsure)?;
    Ok(Finding::Sole(origin.clone()))
}

/// Returns the only version that has served, by the evidence of all gateways that can have begun a stream; `None` if one of
/// them is not sure, or they know of several. If each of them knows of one version alone now, none has begun the stream at
/// another, however long ago they read the directory.
pub fn unanimous_origin(evidence: &[Evidence]) -> Option<&OutputOrigin> {
    let (first, others) = evidence.split_first()?;
    let origin = first.sole_origin()?;
    let is_agreed = |evidence: &Evidence| evidence.sole_origin() == Some(origin);
    others.iter().all(is_agreed).then_some(origin)
}
