//! Decides what a stream that a caller takes up is bound to, from what gateways know of it.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use swiftshunt_types::OutputOrigin;

/// Number of gateways that must agree if none has read the directory recently.
const MIN_AGREEING: usize = 2;

/// What a gateway without a record of a stream knows of the versions that may have begun it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// No other version has served the stream's route since before the stream can have begun.
    Sole(OutputOrigin),
    /// The same, up to the last time at which the gateway read the directory, which was not recently.
    SoleBefore(OutputOrigin),
    /// Several versions may have begun it.
    Several,
    /// The gateway has not watched the directory for long enough.
    Unsure,
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

/// Decides what a stream is bound to, from the knowledge of the gateways that were asked and of the asking one. A record
/// decides; without one, the versions that served are evidence.
pub fn resolve(knowledge: &[OriginKnowledge]) -> Result<OutputOrigin, UnknownOrigin> {
    let mut recorded = BTreeSet::new();
    let mut evidence = Vec::new();
    for known in knowledge {
        match known {
            OriginKnowledge::Conflicting => return Err(UnknownOrigin::Conflicting),
            OriginKnowledge::Recorded(origin) => drop(recorded.insert(origin)),
            OriginKnowledge::Unrecorded(unrecorded) => evidence.push(unrecorded),
        }
    }
    if recorded.len() > 1 {
        return Err(UnknownOrigin::Conflicting);
    }
    match recorded.pop_first() {
        Some(origin) => Ok(origin.clone()),
        None => resolve_by_evidence(&evidence),
    }
}

/// Decides by the versions that have served. A gateway that knows of several outweighs others. Gateways that do not
/// read the directory now count if two of them agree: the log is then away for others, too, and no worker can be listed.
fn resolve_by_evidence(evidence: &[&Evidence]) -> Result<OutputOrigin, UnknownOrigin> {
    let mut origins = BTreeSet::new();
    let mut is_recent = false;
    let mut agreeing = 0;
    for known in evidence {
        match known {
            Evidence::Sole(origin) => {
                origins.insert(origin);
                is_recent = true;
            }
            Evidence::SoleBefore(origin) => {
                origins.insert(origin);
                agreeing += 1;
            }
            Evidence::Several => return Err(UnknownOrigin::Several),
            Evidence::Unsure => {}
        }
    }
    if origins.len() > 1 {
        return Err(UnknownOrigin::Several);
    }
    let origin = origins.pop_first().ok_or(UnknownOrigin::Unsure)?;
    if is_recent || agreeing >= MIN_AGREEING {
        Ok(origin.clone())
    } else {
        Err(UnknownOrigin::Unsure)
    }
}
