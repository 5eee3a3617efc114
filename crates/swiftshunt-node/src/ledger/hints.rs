//! Publishes leader hints when this node starts or stops leading a partition.

use swiftshunt_ledger::archive::Generation;
use swiftshunt_ledger::raft::Term;
use swiftshunt_ledger::routes::{LeaderAddress, LeaderHint};
use swiftshunt_types::PartitionId;

use crate::context::{Context, HintSource};
use crate::lock;

/// Publishes the leader hints of one partition.
#[derive(Debug)]
pub(super) struct LeaderHintPublisher {
    partition: PartitionId,
    sequence: u64,
}

impl LeaderHintPublisher {
    pub(super) fn new(partition: PartitionId) -> Self {
        Self {
            partition,
            sequence: 0,
        }
    }

    /// Publishes that this node leads in `term`.
    pub(super) fn publish(&mut self, context: &Context, generation: Generation, term: Term) {
        let leader = LeaderAddress {
            node: context.own.id,
            address: context.own.peer,
        };
        self.merge_hint(context, generation, term, Some(leader));
    }

    /// Publishes that this node has stopped leading. `term` is the term that it led, not the newer
    /// one that ended its leadership: a hint of the newer term would hide that of the next leader.
    pub(super) fn withdraw(&mut self, context: &Context, generation: Generation, term: Term) {
        self.merge_hint(context, generation, term, None);
    }

    fn merge_hint(
        &mut self,
        context: &Context,
        generation: Generation,
        term: Term,
        leader: Option<LeaderAddress>,
    ) {
        self.sequence += 1;
        let hint = LeaderHint {
            partition: self.partition,
            generation,
            term,
            sequence: self.sequence,
            leader,
        };
        let fleet_size = lock(&context.membership).records().count();
        let mut routes = lock(&context.routes);
        routes.merge(hint, HintSource::OwnLeadership, fleet_size);
    }
}
