//! Makes sure that one version alone can have begun a stream of which no gateway has a record.
//!
//! A gateway that was cut off or paused may not know of a version at which others have begun streams since. What a gateway
//! knows therefore counts only once it is known to be all that there is: either a read of the log that began after the
//! caller asked shows nothing else, or each gateway that can have begun the stream knows of no other version now.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use swiftshunt_scheduler::origins::key::AttemptKey;
use swiftshunt_scheduler::origins::resolution::{
    Evidence, OriginKnowledge, UnknownOrigin, unanimous_origin,
};
use swiftshunt_types::OutputOrigin;

use super::{RouteName, StreamOrigins};
use crate::fleet_state::lock;
use crate::metrics::OriginSource;
use crate::shared_call::SharedCall;

/// The version on which all gateways agree, if they do, by route. Streams that are taken up at the same time share a round
/// of questions.
pub(super) type RouteAgreements = Mutex<HashMap<RouteName, Arc<SharedCall<Option<OutputOrigin>>>>>;

impl StreamOrigins {
    /// Returns the only version that can have begun a stream of a route, given what the gateways that were asked know of
    /// the stream.
    pub(super) async fn confirm_sole_version(
        &self,
        route: &RouteName,
        knowledge: &[OriginKnowledge],
    ) -> Result<(OutputOrigin, OriginSource), UnknownOrigin> {
        if !self.context.view_check.confirm().await {
            let agreed = self.ask_all(route).await.ok_or(UnknownOrigin::Unsure)?;
            return Ok((agreed, OriginSource::AllGateways));
        }
        if self.evidence(route).sole_origin().is_none() {
            return self.find_by_marks(route).await;
        }
        let seen = self.seen_versions(route);
        let origin = seen.sole_origin().ok_or(unknown_by(&seen))?;
        let is_other = |known: &OriginKnowledge| match known {
            OriginKnowledge::Unrecorded(evidence) => {
                evidence.sole_origin().is_some_and(|other| other != origin)
            }
            OriginKnowledge::Recorded(_) | OriginKnowledge::Conflicting => true,
        };
        if knowledge.iter().any(is_other) {
            return Err(UnknownOrigin::Several);
        }
        Ok((origin.clone(), OriginSource::SoleVersion))
    }

    /// Returns the only version that can have begun a stream, by the records in the log: this gateway has not watched the
    /// directory for long enough.
    pub(super) async fn find_by_marks(
        &self,
        route: &RouteName,
    ) -> Result<(OutputOrigin, OriginSource), UnknownOrigin> {
        if !self.context.view_check.confirm_with_marks().await {
            return Err(UnknownOrigin::Unsure);
        }
        let evidence = self.startup_evidence(route);
        let origin = evidence.sole_origin().ok_or(unknown_by(&evidence))?;
        Ok((origin.clone(), OriginSource::NoMark))
    }

    /// Returns the version of a route that each gateway of the region, including this one, knows as the only one now.
    /// `None` if one of them does not answer.
    async fn ask_all(&self, route: &RouteName) -> Option<OutputOrigin> {
        let round = {
            let mut rounds = lock(&self.agreements);
            rounds.retain(|_, round| Arc::strong_count(round) > 1);
            let new_round = || Arc::new(SharedCall::new(self.context.clock));
            Arc::clone(rounds.entry(route.clone()).or_insert_with(new_round))
        };
        round.result(|| self.ask_all_now(route)).await
    }

    async fn ask_all_now(&self, route: &RouteName) -> Option<OutputOrigin> {
        if !self.context.members.is_list_loaded() {
            return None;
        }
        let members = &self.context.members;
        let others = members.others_in_region();
        if others.iter().any(|other| members.is_suspected(*other)) {
            return None;
        }
        let expected_answers = others.len();
        // The question is about all streams of the route, so it names none.
        let no_attempt = AttemptKey::of("", "", "");
        let answers = self.ask(others, no_attempt, route).await;
        if answers.len() < expected_answers {
            return None;
        }
        let answers = answers.into_iter().map(|known| match known {
            OriginKnowledge::Unrecorded(evidence) => evidence,
            OriginKnowledge::Recorded(_) | OriginKnowledge::Conflicting => Evidence::Several,
        });
        let evidence: Vec<Evidence> = answers.chain([self.evidence(route)]).collect();
        unanimous_origin(&evidence).cloned()
    }
}

/// Returns why evidence that names no version does not show what began a stream.
fn unknown_by(evidence: &Evidence) -> UnknownOrigin {
    match evidence {
        Evidence::Several => UnknownOrigin::Several,
        Evidence::Sole(_) | Evidence::SoleBefore(_) | Evidence::Unsure => UnknownOrigin::Unsure,
    }
}
