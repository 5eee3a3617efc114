//! Decides what a stream that a caller takes up is bound to, from what gateways know of it.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use swiftshunt_types::OutputOrigin;

/// What a gateway without a record of a stream knows of the versions that may have begun it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// No other version has served the stream's route since before the stream can have begun.
    Sole(OutputOrigin),
    /// Several versions may have begun it.
    Several,
    /// The gateway has not watched the directory for long enough, or has not read it recently.
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
/// decides; without one, the versions that served are evidence, and a gateway that knows of several outweighs others.
pub fn resolve(knowledge: &[OriginKnowledge]) -> Result<OutputOrigin, UnknownOrigin> {
    let mut recorded = None;
    let mut sole = None;
    let mut is_several = false;
    for known in knowledge {
        let (agreed, origin) = match known {
            OriginKnowledge::Conflicting => return Err(UnknownOrigin::Conflicting),
            OriginKnowledge::Recorded(origin) => (&mut recorded, origin),
            OriginKnowledge::Unrecorded(Evidence::Sole(origin)) => (&mut sole, origin),
            OriginKnowledge::Unrecorded(Evidence::Several) => {
                is_several = true;
                continue;
            }
            OriginKnowledge::Unrecorded(Evidence::Unsure) => continue,
        };
        let agreed = agreed.get_or_insert(origin);
        if *agreed != origin {
            match known {
                OriginKnowledge::Recorded(_) => return Err(UnknownOrigin::Conflicting),
                _ => is_several = true,
            }
        }
    }
    match (recorded, sole) {
        (Some(origin), _) => Ok(origin.clone()),
        (None, _) if is_several => Err(UnknownOrigin::Several),
        (None, Some(origin)) => Ok(origin.clone()),
        (None, None) => Err(UnknownOrigin::Unsure),
    }
}
