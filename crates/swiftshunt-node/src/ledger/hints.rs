//! Publishes leader hints when this node starts or stops leading a partition, and when its replica sees
//! a leader of the partition's group.

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
        self.merge_own_hint(context, generation, term, Some(leader));
    }

    /// Publishes that this node has stopped leading. `term` is the term that it led, not the newer
    /// one that ended its leadership: a hint of the newer term would hide that of the next leader.
    pub(super) fn withdraw(&mut self, context: &Context, generation: Generation, term: Term) {
        self.merge_own_hint(context, generation, term, None);
    }

    /// Publishes that another node leads in `term`, as this node's replica sees it. The leader's own hints
    /// of the term replace this one. They may not reach a node that was paused or cut off while they were
    /// disseminated, whereas the leader's messages do.
    pub(super) fn publish_seen(
        &self,
        context: &Context,
        generation: Generation,
        term: Term,
        leader: LeaderAddress,
    ) {
        let hint = LeaderHint {
            partition: self.partition,
            generation,
            term,
            sequence: 0,
            leader: Some(leader),
        };
        merge(context, hint, HintSource::ConsensusGroup);
    }

    fn merge_own_hint(
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
        merge(context, hint, HintSource::OwnLeadership);
    }
}

fn merge(context: &Context, hint: LeaderHint, source: HintSource) {
    let fleet_size = lock(&context.membership).records().count();
    let mut routes = lock(&context.routes);
    routes.merge(hint, source, fleet_size);
}
